//! The core: all decisions of a daemon, without input or output.
//!
//! Each module takes typed events and the current time and returns typed actions, which `io`
//! carries out (docs/DESIGN.md).

pub mod admit;
pub mod attempt;
pub mod config;
pub mod daemon;
pub mod fair;
pub mod fleet;
pub mod intake;
pub mod limit;
pub mod load;
pub mod member;
pub mod once;
pub mod order;
pub mod packed;
pub mod pipe;
pub mod plain;
pub mod poison;
pub mod position;
pub mod reach;
pub mod roster;
pub mod route;
pub mod session;
pub mod site;
pub mod stop;
pub mod sync;
