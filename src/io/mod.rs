//! Sockets, timers, logs and metrics: everything that the core, which does no I/O, needs from
//! outside.

pub mod command;
pub mod daemon;
mod hop;
pub mod http;
pub(crate) mod lines;
pub mod listen;
pub mod log;
pub mod mailbox;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod runtime;
mod serve;
pub mod shell;
mod stream;
pub mod timeout;
