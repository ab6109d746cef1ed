//! Outlier ejection: consecutive failures take an endpoint out of rotation for a while, and one
//! successful probe request brings it back.

use crate::clock::Millis;

/// The number of consecutive failures that ejects an endpoint.
const EJECT_FAILURES: u32 = 2;
/// The length of the first ejection; each further one lasts twice as long.
const FIRST_EJECTION: Millis = Millis(500);
/// The longest ejection.
const MAX_EJECTION: Millis = Millis::seconds(30);

/// The failures and ejections of one endpoint since its last success.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    probing: bool,
}

impl Health {
    /// Returns whether new work may go to the endpoint: it is not ejected, or its ejection is over
    /// and no probe is in progress.
    #[must_use]
    pub fn usable(&self, now: Millis) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until && !self.probing)
    }

    /// Returns when the latest ejection ends or ended; `None` if there was none since the last
    /// success.
    #[must_use]
    pub fn ejected_until(&self) -> Option<Millis> {
        self.ejected_until
    }

    /// Records that work was sent to the endpoint. After an ejection, this work is the probe.
    pub fn started(&mut self) {
        self.probing = self.ejected_until.is_some();
    }

    /// Records a success, which clears all failures and ejections.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records that the endpoint refused work without running it. This indicates load, not a fault,
    /// so it isn't counted as a failure.
    pub fn refused(&mut self) {
        self.probing = false;
    }

    /// Records a failure. Failures during an ejection are of work sent before it, and do not extend
    /// it.
    pub fn failed(&mut self, now: Millis) {
        if self.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        self.failures += 1;
        if self.probing || self.failures >= EJECT_FAILURES {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Millis) {
        let duration = FIRST_EJECTION.0.saturating_mul(1 << self.ejections.min(16));
        self.ejected_until = Some(now + Millis(duration).min(MAX_EJECTION));
        self.ejections += 1;
        self.probing = false;
    }
}
