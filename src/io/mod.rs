//! Sockets, timers, logs and metrics round the core.

pub mod http;
pub mod listen;
pub mod log;
pub mod mailbox;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod runtime;
