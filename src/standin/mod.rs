//! Minimal stand-ins for the systems around the daemons: the platform, model engines and services.
//!
//! They implement the protocols of docs/PROTOCOLS.md, and `PUT /faults` injects faults into them.
//! They are not simulators: each implements only the behavior that its clients rely on.

pub mod engine;
pub mod fleet;
pub mod platform;
pub mod serve;
pub mod service;
pub mod site;

/// Decrements the counter of a fault and returns whether the fault applies to this call.
fn take_one(count: &mut u32) -> bool {
    let on = *count > 0;
    *count = count.saturating_sub(1);
    on
}
