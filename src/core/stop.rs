//! What a stopping VM still takes.
//!
//! The load that this answers: callers use an address for seconds after its VM was told to stop. A request
//! that the VM refuses at once, unrun, goes to another VM within milliseconds; one that is cut off when the VM
//! exits has cost its caller all the time until then, and must not be repeated if it may run only once.

use crate::clock::Millis;

/// How long after it was told to stop a VM takes requests. Callers cache its address for a while, but what it
/// takes later than 3 s it must finish however long that takes (the users' rule for planned stops).
pub const ACCEPT_TIME: Millis = Millis(2800);
/// The end of the grace period in which nothing runs any more: requests are answered, the answers written,
/// and the process exits.
pub const END_MARGIN: Millis = Millis(400);
/// How many times longer than usual a stream that can be resumed may take and still end in time.
const USUAL_FACTOR: f64 = 1.5;

/// How long a request may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunLimit {
    /// The time until its deadline.
    pub longest: Millis,
    /// The usual time, in milliseconds, if its caller can have it continued where it was cut off.
    pub usual: Option<f64>,
}

/// Returns how long what a VM runs may still take, if it was told to stop `passed` ago.
#[must_use]
pub fn time_left(passed: Millis, grace: Millis) -> Millis {
    grace.since(passed + END_MARGIN)
}

/// Returns whether a VM that was told to stop `passed` ago takes a request: it ends in time even if it takes
/// as long as it may, or usually does so and loses nothing otherwise.
#[must_use]
pub fn takes_request(passed: Millis, grace: Millis, limit: RunLimit) -> bool {
    let left = time_left(passed, grace);
    let usually_ends = |usual: f64| usual * USUAL_FACTOR <= left.0 as f64;
    passed <= ACCEPT_TIME && (limit.longest <= left || limit.usual.is_some_and(usually_ends))
}
