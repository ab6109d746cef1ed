//! The core: every decision of a daemon, without input or output.
//!
//! Each module takes typed events and the time, and answers with typed actions; `io` carries
//! them out (docs/DESIGN.md).

pub mod config;
pub mod daemon;
pub mod limit;
pub mod member;
pub mod once;
pub mod order;
pub mod poison;
pub mod route;
pub mod session;
pub mod sync;
