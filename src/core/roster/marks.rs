//! Marks of endpoints that are slow or have stalled, which VMs tell each other.

use serde::Deserialize;
use serde::Serialize;

use super::Roster;
use crate::clock::Millis;
use crate::names::EndpointName;

/// How long a mark is valid unless it is renewed.
const MARK_TTL: Millis = Millis(1500);
/// The largest number of marks in one message.
const MAX_MARKS: usize = 16;
/// The pace of a stalled endpoint, high enough that it is used only where no other can be.
const STALLED_PACE: f64 = 50.0;

/// A notice between VMs that an endpoint is slow or has stalled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The endpoint that is slow.
    pub endpoint: EndpointName,
    /// How many times longer than usual the endpoint takes.
    pub pace: f64,
    /// How long the mark is still valid, counted by the receiver from the arrival of the message.
    pub ttl: Millis,
}

impl Roster {
    /// Marks an endpoint as slow for a limited time and starts probing it; a `pace` of `None` means
    /// that it stalled. Returns whether the endpoint is known and had no valid mark before.
    pub fn mark(&mut self, now: Millis, endpoint: &EndpointName, pace: Option<f64>) -> bool {
        let mark = Mark {
            endpoint: endpoint.clone(),
            pace: pace.unwrap_or(STALLED_PACE),
            ttl: MARK_TTL,
        };
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.watched = true;
        }
        self.apply_mark(now, &mark)
    }

    /// Ends the mark and the probes of an endpoint that works at its usual pace again.
    pub fn unwatch(&mut self, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.watched = false;
            state.pace = None;
        }
    }

    /// Applies a mark, its own or another VM's, unless the current one is valid for longer. Returns
    /// whether the endpoint is known and had no valid mark before.
    pub fn apply_mark(&mut self, now: Millis, mark: &Mark) -> bool {
        let Some(state) = self.endpoints.get_mut(&mark.endpoint) else {
            return false;
        };
        let until = now + mark.ttl.min(MARK_TTL);
        let old = state.pace.filter(|(_, old)| now < *old);
        if old.is_some_and(|(_, old)| old >= until) {
            return false;
        }
        state.pace = Some((mark.pace.clamp(1.0, STALLED_PACE), until));
        old.is_none()
    }

    /// Returns marks that are valid at `now`, to pass on to other VMs: as many as fit a
    /// message.
    pub fn marks(&self, now: Millis) -> Vec<Mark> {
        let fresh = self.endpoints.iter().filter_map(|(endpoint, state)| {
            let (pace, until) = state.pace.filter(|(_, until)| now < *until)?;
            Some(Mark {
                endpoint: endpoint.clone(),
                pace,
                ttl: until.since(now),
            })
        });
        fresh.take(MAX_MARKS).collect()
    }
}
