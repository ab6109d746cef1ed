//! The one outstanding hop of a session and the patience with it.

use crate::clock::Millis;
use crate::consts::PROBE_SPAN;

/// How often a slow hop is probed before its endpoint is given up. The patience doubles each time,
/// so that a queue that grows under load is not taken for a fault, which would add to the load.
pub const PROBE_LIMIT: u8 = 4;

/// An outstanding hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingHop {
    /// The place of its leg in the chain.
    pub leg: usize,
    /// The first token that it works towards.
    pub first_token: u32,
    /// When the patience with it, or with the probe, ends.
    pub due: Millis,
    /// Whether a probe is on its way.
    pub is_probing: bool,
    probes: u8,
}

impl PendingHop {
    /// Returns a hop that was just sent.
    #[must_use]
    pub fn new(leg: usize, first_token: u32, due: Millis) -> Self {
        Self {
            leg,
            first_token,
            due,
            is_probing: false,
            probes: 0,
        }
    }

    /// Returns the hop with one more line of its answer received.
    #[must_use]
    pub fn progressed(self, due: Millis) -> Self {
        Self::new(self.leg, self.first_token, due)
    }

    /// Returns the hop with a probe on its way, or nothing when the patience is used up: the
    /// last probe had no answer, or the endpoint was slow too often.
    #[must_use]
    pub fn probe(self, now: Millis) -> Option<Self> {
        if self.is_probing || self.probes >= PROBE_LIMIT {
            return None;
        }
        Some(Self {
            due: now + PROBE_SPAN,
            is_probing: true,
            probes: self.probes + 1,
            ..self
        })
    }

    /// Returns the hop with more time, since the endpoint still works on it: `span` doubled once
    /// for each probe.
    #[must_use]
    pub fn extended(self, now: Millis, span: Millis) -> Self {
        Self {
            due: now + Millis(span.0 << self.probes),
            is_probing: false,
            ..self
        }
    }
}
