//! Pipeline sessions: one model request carried hop by hop over a chain of endpoints.
//!
//! The daemon sends every hop itself, one at a time, so each reply can be checked against the one
//! pending hop. After a fault the whole attempt is given up, and the next attempt is prefilled
//! with the prompt and the tokens generated so far (docs/SESSIONS.md).

mod answer;
pub mod chain;
pub mod event;
mod pending;
mod reply;
mod reroute;
pub mod resume;
mod state;
pub mod table;
mod validate;
pub mod wire;

pub use event::Action;
pub use event::Event;
pub use event::RequestId;
pub use pending::PROBE_LIMIT;
pub use reroute::FAILURE_LIMIT;
pub use state::ATTEMPT_LIMIT;
pub use state::Session;
pub use table::Sessions;
