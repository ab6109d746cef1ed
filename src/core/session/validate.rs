//! Validation of a request before its first hop.

use std::sync::Arc;

use crate::clock::Millis;
use crate::core::session::chain;
use crate::core::session::event::Leg;
use crate::core::session::event::Start;
use crate::error::Code;
use crate::error::Failure;

/// Checks the prompt, the token limit, the event id to resume from, the deadline and the chain.
///
/// # Errors
///
/// Returns the failure to report to the caller, marked as not run.
pub fn validate(now: Millis, start: &Start) -> Result<(), Failure> {
    let tokens = u32::try_from(start.prompt.len())
        .ok()
        .and_then(|len| len.checked_add(start.max_tokens));
    if start.prompt.is_empty() || start.max_tokens == 0 || tokens.is_none() {
        return Err(Failure::not_run(
            Code::BadRequest,
            "the prompt or the number of tokens is empty or too large",
        ));
    }
    if start
        .resume
        .is_some_and(|event| event.index >= start.max_tokens)
    {
        return Err(Failure::not_run(
            Code::BadRequest,
            "the event id lies beyond the number of tokens",
        ));
    }
    if now >= start.deadline {
        return Err(Failure::not_run(
            Code::DeadlinePassed,
            "the deadline passed",
        ));
    }
    require_coverage(Arc::clone(&start.chain), start.layers).map(drop)
}

/// Returns the chain unchanged if it covers all `layers` of the model.
///
/// # Errors
///
/// Returns [`Code::NoCapacity`], marked as not run.
pub fn require_coverage(legs: Arc<[Leg]>, layers: u32) -> Result<Arc<[Leg]>, Failure> {
    match chain::check(&legs, layers) {
        Ok(()) => Ok(legs),
        Err(error) => Err(Failure::not_run(Code::NoCapacity, error.to_string())),
    }
}
