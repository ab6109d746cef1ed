//! What endpoints say of themselves in their answers: that they are leaving, and that they want
//! nothing for a while.
//!
//! An answer counts more than the endpoint's entry in the store, which may be older, and holds until
//! the endpoint starts anew (docs/PLATFORM.md).

use serde::Deserialize;
use serde::Serialize;

use super::Roster;
use crate::clock::Millis;
use crate::names::EndpointName;
use crate::names::ServiceName;

/// How long a VM passes on that an endpoint is leaving. Each VM that learns of it passes it on for as
/// long, so it reaches all within a few messages.
const NOTICE_TIME: Millis = Millis::seconds(5);
/// The largest number of notices in one message.
const MAX_NOTICES: usize = 8;

/// A notice between VMs that an endpoint said that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The endpoint that is leaving.
    pub endpoint: EndpointName,
    /// When it started, by its own clock; a later start is not leaving.
    pub born: u64,
}

impl Roster {
    /// Records that an endpoint said that it is leaving: it gets no new work until it starts anew,
    /// whatever its entry says. Returns whether this is new.
    pub fn record_leaving(&mut self, now: Millis, endpoint: &EndpointName) -> bool {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return false;
        };
        let is_new = state.left.is_none();
        state.left.get_or_insert(now);
        is_new
    }

    /// Returns whether an endpoint is leaving, by its entry, one of its answers or another VM.
    pub fn is_leaving(&self, endpoint: &EndpointName) -> bool {
        let state = self.endpoints.get(endpoint);
        state.is_some_and(|state| {
            let entry = state.last_entry.as_ref();
            state.left.is_some() || entry.is_some_and(|entry| entry.leaving)
        })
    }

    /// Applies another VM's notice, unless the endpoint started anew since. Returns whether this is
    /// new.
    pub fn apply_notice(&mut self, now: Millis, notice: &LeavingNotice) -> bool {
        self.born(&notice.endpoint) == Some(notice.born)
            && self.record_leaving(now, &notice.endpoint)
    }

    /// Returns the notices to pass on to other VMs, the newest first: as many as fit a message.
    pub fn leaving_notices(&self, now: Millis) -> Vec<LeavingNotice> {
        let mut fresh: Vec<_> = self
            .endpoints
            .iter()
            .filter_map(|(endpoint, state)| {
                let left = state.left.filter(|at| now.since(*at) < NOTICE_TIME)?;
                let born = state.last_entry.as_ref()?.born;
                let endpoint = endpoint.clone();
                Some((left, LeavingNotice { endpoint, born }))
            })
            .collect();
        fresh.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        let notices = fresh.into_iter().map(|(_, notice)| notice);
        notices.take(MAX_NOTICES).collect()
    }

    /// Records that an endpoint wants nothing from this VM for `pause`. Returns whether it did not
    /// before.
    pub fn record_pause(&mut self, now: Millis, endpoint: &EndpointName, pause: Millis) -> bool {
        let Some(health) = self.health(endpoint) else {
            return false;
        };
        let is_new = health.paused_for(now).is_none();
        health.record_pause(now + pause);
        is_new
    }

    /// Returns how long an endpoint still wants nothing from this VM; `None` if it takes requests.
    pub fn paused_for(&self, now: Millis, endpoint: &EndpointName) -> Option<Millis> {
        self.endpoints.get(endpoint)?.health.paused_for(now)
    }

    /// Returns whether an endpoint takes requests from this VM: it is neither gone nor leaving, and
    /// asked for no pause that still holds.
    pub fn takes_requests(&self, now: Millis, endpoint: &EndpointName) -> bool {
        let state = self.endpoints.get(endpoint);
        state.is_some_and(|state| {
            Self::usable(state, now).is_some() && state.health.paused_for(now).is_none()
        })
    }

    /// Returns the shortest pause that an endpoint of a service asked for; `None` if none did.
    ///
    /// A caller whose request no endpoint may get is told to come back after that time.
    pub fn shortest_pause(&self, now: Millis, service: &ServiceName) -> Option<Millis> {
        let pauses = self.serving(service, now);
        pauses
            .filter_map(|(_, health, _)| health.paused_for(now))
            .min()
    }
}
