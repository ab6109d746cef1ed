//! Which endpoints this VM probes, and when.

use std::net::SocketAddr;

use super::EndpointState;
use super::Roster;
use crate::clock::Millis;
use crate::names::EndpointName;

/// The shortest interval between two probes of an endpoint, since a probe has a cost.
const PROBE_INTERVAL: Millis = Millis(300);
/// The shortest interval between two probes that only measure the pace of a working endpoint.
const PACE_PROBE_INTERVAL: Millis = Millis(1000);
/// The interval between two looks at the endpoints that are down or slow.
pub const WATCH_INTERVAL: Millis = Millis(600);
/// The longest interval between two probes of an endpoint that does not answer. One that returns
/// without a new entry is used again after that time at the latest.
const MAX_WATCH_INTERVAL: Millis = Millis(2400);
/// The number of VMs that measure the pace of an endpoint; the others learn of a slow one by marks.
/// More than one, so that the loss of a VM or of a message does not end a mark.
const PACE_VMS: f64 = 4.0;

/// Returns the probability with which each of `vms` VMs asks an endpoint for its pace when it is due.
///
/// This bounds the probes of a slow endpoint in a large fleet, where each VM has a stream through it:
/// the fleet sends as many as [`PACE_VMS`] VMs would.
#[must_use]
pub fn pace_share(vms: usize) -> f64 {
    (PACE_VMS / vms.max(1) as f64).min(1.0)
}

impl Roster {
    /// Returns the endpoints to probe now: those that get no work until they answer, and those that
    /// this VM found slow, but none that asked for a pause. Records the probes as sent.
    ///
    /// An endpoint that is down may be so for this VM alone, so each VM asks it, at growing
    /// intervals. A slow one is slow for all: while its mark is valid beyond the next look, `draw`
    /// decides whether this VM is the one that renews it.
    pub fn take_due_probes<F>(
        &mut self,
        now: Millis,
        mut draw: F,
    ) -> Vec<(EndpointName, SocketAddr)>
    where
        F: FnMut() -> bool,
    {
        let mut due = Vec::new();
        for state in self.endpoints.values_mut() {
            let is_down = state.health.is_down();
            if !is_down {
                state.unanswered = 0;
            }
            let is_watched = is_down || state.watched;
            if !is_watched || state.health.paused_for(now).is_some() {
                continue;
            }
            let Some(entry) = state.change.entry.as_ref().filter(|entry| !entry.leaving) else {
                continue;
            };
            let is_due = if is_down {
                now.since(state.last_asked) >= watch_interval(state.unanswered)
            } else {
                !has_lasting_mark(state, now) || draw()
            };
            if is_due {
                due.push((entry.endpoint.clone(), entry.addr));
                state.last_asked = now;
                state.unanswered = state.unanswered.saturating_add(1);
            }
        }
        due
    }

    /// Returns whether to probe an endpoint on a path that makes no progress. If so, records the
    /// probe as sent.
    ///
    /// An endpoint that showed a sign of life after `since` works; it is probed only for its pace,
    /// if the path is `slow`. One that asked for a pause is not probed.
    pub fn begin_probe(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        since: Millis,
        slow: bool,
    ) -> bool {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return false;
        };
        if state.health.paused_for(now).is_some() {
            return false;
        }
        let since_probe = now.since(state.last_probed);
        let is_due = if state.last_heard > since {
            slow && since_probe >= PACE_PROBE_INTERVAL
        } else {
            since_probe >= PROBE_INTERVAL
        };
        if is_due {
            state.last_probed = now;
        }
        is_due
    }

    /// Records that some endpoint answered a probe that was sent at `start`.
    pub fn record_probe_answer(&mut self, start: Millis) {
        self.last_answered_probe = self.last_answered_probe.max(start);
    }

    /// Returns when the latest answered probe was sent. If an endpoint does not answer a probe sent
    /// no later, the fault lies with the endpoint and not with this VM or its link.
    pub fn last_answered_probe(&self) -> Millis {
        self.last_answered_probe
    }
}

/// Returns the time between two probes of an endpoint that left so many unanswered.
fn watch_interval(unanswered: u32) -> Millis {
    let doubled = WATCH_INTERVAL.0 << unanswered.saturating_sub(1).min(8);
    // The looks are not exactly at their interval.
    Millis(doubled.min(MAX_WATCH_INTERVAL.0) * 9 / 10)
}

/// Returns whether the endpoint's mark, this VM's or another's, is valid beyond the next look.
fn has_lasting_mark(state: &EndpointState, now: Millis) -> bool {
    let left = state.pace.map_or(Millis(0), |(_, until)| until.since(now));
    left > WATCH_INTERVAL
}
