//! Whether an endpoint works, as the requests that met it tell.

use crate::clock::Millis;

/// How long an endpoint is left alone after a failure, unless a probe succeeds.
const AVOID_SPAN: Millis = Millis(500);
/// The longest that an endpoint that goes on failing is left alone.
const AVOID_MOST: Millis = Millis(4000);
/// The factor on the cost of an endpoint for each failure that was not followed by a success.
const DOUBT_COST: f64 = 2.0;
/// The most failures that count.
const DOUBT_MOST: u32 = 4;
/// The weight of the newest answer in the share of answers that are errors.
const ERROR_WEIGHT: f64 = 0.15;
/// The factor on the cost of an endpoint whose every answer is an error, less one. The share counts
/// squared: a few errors are usual for some services, and all endpoints give them alike.
const ERROR_COST: f64 = 15.0;

/// What requests and probes met at an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    fails: u32,
    down: bool,
    until: Millis,
    errors: f64,
}

impl Health {
    /// Takes in a request that the endpoint served.
    pub fn record_success(&mut self) {
        self.fails = self.fails.saturating_sub(1);
        self.down = false;
        self.until = Millis(0);
    }

    /// Takes in an answer of its own: whether it is an error. Such an endpoint may call itself healthy.
    pub fn answer(&mut self, error: bool) {
        self.errors += (f64::from(u8::from(error)) - self.errors) * ERROR_WEIGHT;
        self.record_success();
    }

    /// Takes in a request that it failed; each further failure doubles the time it is left alone.
    pub fn record_failure(&mut self, now: Millis) {
        if now < self.until {
            return;
        }
        let doubled = AVOID_SPAN.0 << self.fails;
        self.fails = (self.fails + 1).min(DOUBT_MOST);
        self.until = now + Millis(doubled.min(AVOID_MOST.0));
    }

    /// Takes in that the endpoint may be gone: it gets work only where no other can, and after one
    /// failure none.
    pub fn record_lapse(&mut self) {
        self.fails = DOUBT_MOST;
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
        self.down || now < self.until
    }

    /// Returns the factor on the endpoint's cost: over one while requests have failed there.
    pub fn penalty(&self) -> f64 {
        let errors = 1.0 + ERROR_COST * self.errors * self.errors;
        DOUBT_COST.powi(self.fails.cast_signed()) * errors
    }
}
