//! Sockets, timers, logs and metrics round the core.

pub mod http;
pub mod listen;
pub mod log;
pub mod platform;
pub mod runtime;
