//! Sockets, timers, logs and metrics round the core.

pub mod http;
pub mod runtime;
