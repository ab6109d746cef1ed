//! Whether an endpoint works, as the requests that met it tell.

use crate::clock::Millis;

/// How long an endpoint is left alone after its first failure.
const AVOID_SPAN: Millis = Millis(600);
/// The longest that an endpoint is left alone between two tries.
const AVOID_MOST: Millis = Millis(2400);
/// The failures in a row after which an endpoint is left alone for a while.
const AVOID_AFTER: u32 = 1;
/// The factor on the cost of an endpoint whose last request failed some seconds ago.
const DOUBT_COST: f64 = 3.0;

/// Failures in a row, and until when the endpoint is left alone for them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    fails: u32,
    until: Millis,
}

impl Health {
    /// Takes in a request that the endpoint served.
    pub fn succeed(&mut self) {
        self.fails = 0;
        self.until = Millis(0);
    }

    /// Takes in a request that it failed; each further failure doubles the time it is left alone.
    pub fn fail(&mut self, now: Millis) {
        if now < self.until {
            return;
        }
        self.fails += 1;
        if self.fails >= AVOID_AFTER {
            let doubled = AVOID_SPAN.0 << (self.fails - AVOID_AFTER).min(4);
            self.until = now + Millis(doubled.min(AVOID_MOST.0));
        }
    }

    /// Says whether the endpoint gets no work now.
    pub fn avoids(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Returns the factor on the endpoint's cost: over one while its last request failed.
    pub fn penalty(&self, _now: Millis) -> f64 {
        if self.fails > 0 { DOUBT_COST } else { 1.0 }
    }
}
