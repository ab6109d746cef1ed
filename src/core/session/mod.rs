//! Pipeline sessions: one model request carried hop by hop over a chain of endpoints.
//!
//! The daemon drives every hop, so each answer can be held against the one question that it
//! belongs to. An attempt that meets a fault is given up whole, and the next one is prefilled
//! with the prompt and the tokens given so far (docs/SESSIONS.md).

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
