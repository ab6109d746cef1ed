//! Connections between daemons.
//!
//! A connection carries messages one way, from the VM that opened it: a handshake by a shared
//! secret ([`auth`]), then frames with a length before them, each a JSON-RPC notification
//! (docs/PROTOCOLS.md). Messages can be lost with a connection; the core does without any one.

mod auth;
mod frame;
mod links;
mod listen;

pub use auth::AuthError;
pub use auth::Greeting;
pub use frame::decode;
pub use frame::encode;
pub use links::Links;
pub use listen::listen;
