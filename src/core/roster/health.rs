//! Whether an endpoint works, as the requests that met it tell.

use crate::clock::Millis;

/// How long an endpoint is left alone after a failure, unless a probe succeeds.
const BASE_BACKOFF: Millis = Millis(500);
/// The longest that an endpoint that goes on failing is left alone.
const MAX_BACKOFF: Millis = Millis(4000);
/// The factor on the cost of an endpoint for each failure that was not followed by a success.
const FAILURE_COST: f64 = 2.0;
/// The most failures that count.
const MAX_FAILURES: u32 = 4;
/// The weight of the newest answer in the share of answers that are errors.
const ERROR_RATE_WEIGHT: f64 = 0.15;
/// The factor on the cost of an endpoint whose every answer is an error, less one. The share counts
/// squared: a few errors are usual for some services, and all endpoints give them alike.
const ERROR_RATE_COST: f64 = 15.0;

/// What requests and probes met at an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    failures: u32,
    down: bool,
    avoid_until: Millis,
    error_rate: f64,
}

impl Health {
    /// Takes in a request that the endpoint served.
    pub fn record_success(&mut self) {
        self.failures = self.failures.saturating_sub(1);
        self.down = false;
        self.avoid_until = Millis(0);
    }

    /// Takes in an answer of its own: whether it is an error. Such an endpoint may call itself healthy.
    pub fn record_answer(&mut self, is_error: bool) {
        self.error_rate += (f64::from(u8::from(is_error)) - self.error_rate) * ERROR_RATE_WEIGHT;
        self.record_success();
    }

    /// Takes in a request that it failed; each further failure doubles the time it is left alone.
    pub fn record_failure(&mut self, now: Millis) {
        if now < self.avoid_until {
            return;
        }
        let doubled = BASE_BACKOFF.0 << self.failures;
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        self.avoid_until = now + Millis(doubled.min(MAX_BACKOFF.0));
    }

    /// Takes in that the endpoint may be gone: it gets work only where no other can, and after one
    /// failure none.
    pub fn record_lapse(&mut self) {
        self.failures = MAX_FAILURES;
    }

    /// Takes in that the endpoint stands still: it gets no work until a probe is answered.
    pub fn record_stall(&mut self, now: Millis) {
        self.record_failure(now);
        self.down = true;
    }

    /// Takes in a probe that was answered.
    pub fn record_liveness(&mut self) {
        self.down = false;
    }

    /// Says whether the endpoint waits for a probe.
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// Says whether the endpoint gets no work now.
    pub fn is_avoided(&self, now: Millis) -> bool {
        self.down || now < self.avoid_until
    }

    /// Returns the factor on the endpoint's cost: over one while requests have failed there.
    pub fn penalty(&self) -> f64 {
        let error_factor = 1.0 + ERROR_RATE_COST * self.error_rate * self.error_rate;
        FAILURE_COST.powi(self.failures.cast_signed()) * error_factor
    }
}
