//! Small stand-ins for what surrounds the daemons: the platform, model engines, plain services.
//!
//! They serve the protocols of docs/PROTOCOLS.md and take fault switches by `PUT /faults`.
//! They are no simulators: each does the least that shows what its clients rely on.

pub mod engine;
pub mod fleet;
pub mod platform;
mod serve;
pub mod service;
pub mod site;

/// Counts one use of a fault switch down and says whether it was on.
fn take(count: &mut u32) -> bool {
    let on = *count > 0;
    *count = count.saturating_sub(1);
    on
}
