//! Connections between daemons.
//!
//! A connection carries messages in one direction, from the VM that opened it. It starts with a
//! handshake based on a shared secret ([`auth`]); length-prefixed frames follow, each with one
//! JSON-RPC notification (docs/PROTOCOLS.md). Messages are lost when a connection breaks; the core
//! tolerates the loss of any message.

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
