//! The health of an endpoint, judged by the outcome of this VM's requests and probes.

use crate::clock::Millis;

/// How long an endpoint gets no requests after a failure that follows no other.
const BASE_BACKOFF: Millis = Millis(500);
/// The upper bound of the backoff, which doubles with each further failure.
const MAX_BACKOFF: Millis = Millis(4000);
/// The factor on the endpoint's cost for each failure that no later success has made up for.
const FAILURE_COST: f64 = 2.0;
/// The highest failure count; further failures do not raise the cost or the backoff.
const MAX_FAILURES: u32 = 4;
/// The weight of the newest answer in the moving average of the error rate.
const ERROR_RATE_WEIGHT: f64 = 0.15;
/// What an error rate of 1 adds to the cost factor, which is 1 without errors. The rate counts
/// squared, because some services normally return a few errors from every endpoint.
const ERROR_RATE_COST: f64 = 15.0;

/// Failure count, backoff and error rate of one endpoint, as seen by this VM.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    failures: u32,
    down: bool,
    avoid_until: Millis,
    /// Until when the endpoint asked this VM to send it nothing.
    paused_until: Millis,
    error_rate: f64,
}

impl Health {
    /// Records a request that the endpoint served: lowers the failure count by one and ends the
    /// backoff.
    pub fn record_success(&mut self) {
        self.failures = self.failures.saturating_sub(1);
        self.down = false;
        self.avoid_until = Millis(0);
    }

    /// Records a response that the endpoint itself produced, which counts as a success even if it
    /// is an error. Only the error rate shows that an endpoint fails while its health check passes.
    pub fn record_answer(&mut self, is_error: bool) {
        self.error_rate += (f64::from(u8::from(is_error)) - self.error_rate) * ERROR_RATE_WEIGHT;
        self.record_success();
    }

    /// Records a failed request and starts a backoff, which doubles with each further failure up to
    /// a bound. Failures during a backoff are ignored.
    pub fn record_failure(&mut self, now: Millis) {
        if now < self.avoid_until {
            return;
        }
        let doubled = BASE_BACKOFF.0 << self.failures;
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        self.avoid_until = now + Millis(doubled.min(MAX_BACKOFF.0));
    }

    /// Records that the entry lapsed, so the endpoint may be gone: its cost rises so far that it
    /// gets work only where no other endpoint can, and its next failure starts the longest backoff.
    pub fn record_lapse(&mut self) {
        self.failures = MAX_FAILURES;
    }

    /// Records that the endpoint has stalled: it gets no work until a probe is answered.
    pub fn record_stall(&mut self, now: Millis) {
        self.record_failure(now);
        self.down = true;
    }

    /// Records a sign of life, such as an answered probe. Does not end a backoff.
    pub fn record_liveness(&mut self) {
        self.down = false;
    }

    /// Returns whether the endpoint stalled and gets no work until it shows a sign of life.
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// Records that the endpoint asked for a pause until the given time. Neither a success nor a sign
    /// of life ends it.
    pub fn record_pause(&mut self, until: Millis) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Returns how long the endpoint still wants nothing from this VM; `None` if it did not ask for
    /// a pause, or the pause has ended.
    pub fn paused_for(&self, now: Millis) -> Option<Millis> {
        (now < self.paused_until).then(|| self.paused_until.since(now))
    }

    /// Returns whether the endpoint should get no work at `now`: it is stalled, paused or in a
    /// backoff.
    pub fn is_avoided(&self, now: Millis) -> bool {
        self.down || now < self.avoid_until || now < self.paused_until
    }

    /// Returns the health of an endpoint of which nothing is known any more, as after its entry lapsed
    /// and was written again: only the pause that it asked for still holds.
    #[must_use]
    pub fn after_lapse(&self) -> Self {
        Self {
            paused_until: self.paused_until,
            ..Self::default()
        }
    }

    /// Returns the factor on the endpoint's cost: 1 without failures and errors, higher with them.
    pub fn penalty(&self) -> f64 {
        let error_factor = 1.0 + ERROR_RATE_COST * self.error_rate * self.error_rate;
        FAILURE_COST.powi(self.failures.cast_signed()) * error_factor
    }
}
