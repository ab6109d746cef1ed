//! The pending hop of a session, its timeout and its probes.

use crate::clock::Millis;
use crate::consts::PROBE_TIMEOUT;

/// How often a slow hop is probed before its endpoint is given up. The timeout doubles with each
/// probe, so that an endpoint with a growing queue is not treated as failed: the retry would add
/// to the load.
pub const PROBE_LIMIT: u8 = 4;

/// A hop that was sent and whose answer is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingHop {
    /// The index of its leg in the chain.
    pub leg: usize,
    /// The index of the first token that it produces or contributes to.
    pub first_token: u32,
    /// When the hop, or the probe if one is running, times out.
    pub due: Millis,
    /// Whether a probe was sent and its result is not known.
    pub is_probing: bool,
    probes: u8,
}

impl PendingHop {
    /// Returns a hop that was just sent and times out at `due`.
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

    /// Returns the hop with a new timeout and no probes, after a line of its answer arrived.
    #[must_use]
    pub fn progressed(self, due: Millis) -> Self {
        Self::new(self.leg, self.first_token, due)
    }

    /// Returns the hop with a probe started, or `None` if the endpoint should be given up: the
    /// running probe timed out, or [`PROBE_LIMIT`] probes were sent already.
    #[must_use]
    pub fn probe(self, now: Millis) -> Option<Self> {
        if self.is_probing || self.probes >= PROBE_LIMIT {
            return None;
        }
        Some(Self {
            due: now + PROBE_TIMEOUT,
            is_probing: true,
            probes: self.probes + 1,
            ..self
        })
    }

    /// Returns the hop with a longer timeout, after a probe found the endpoint working on it:
    /// `timeout` doubled once for each probe.
    #[must_use]
    pub fn extended(self, now: Millis, timeout: Millis) -> Self {
        Self {
            due: now + Millis(timeout.0 << self.probes),
            is_probing: false,
            ..self
        }
    }
}
