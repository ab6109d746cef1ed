//! Whether an endpoint may get work: failures eject it for a while, and one probe lets it back.

use crate::clock::Millis;

/// This many failures in a row eject an endpoint.
const EJECT_FAILURES: u32 = 2;
/// The first ejection lasts this long; each further one twice as long.
const FIRST_EJECTION: Millis = Millis(500);
/// No ejection lasts longer than this.
const MAX_EJECTION: Millis = Millis::seconds(30);

/// The failure record of one endpoint.
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

    /// Returns when the ejection ends, if the endpoint is ejected.
    #[must_use]
    pub fn ejected_until(&self) -> Option<Millis> {
        self.ejected_until
    }

    /// Notes that work went to the endpoint; after an ejection this is the probe.
    pub fn started(&mut self) {
        self.probing = self.ejected_until.is_some();
    }

    /// Notes a success, which clears the record.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes that the endpoint refused work unrun: a sign of load, not of a fault.
    pub fn refused(&mut self) {
        self.probing = false;
    }

    /// Notes a failure. Those of work sent before the ejection do not lengthen it.
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
