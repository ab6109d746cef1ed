//! Small stand-ins for what surrounds the daemons: the platform, model engines, plain services.
//!
//! They serve the protocols of docs/PROTOCOLS.md and take fault switches by `PUT /faults`.
//! They are no simulators: each does the least that shows what its clients rely on.

pub mod engine;
pub mod platform;
mod serve;
pub mod service;
pub mod site;
