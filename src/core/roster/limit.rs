//! The rate of requests that an endpoint takes from all VMs together, and this VM's share of it.
//!
//! The VMs divide the rate without asking each other. A token bucket for each VM is enough while
//! there are few VMs; where even one request of each would exceed the rate, only the first VMs in
//! the endpoint's ranking send it requests (docs/PLATFORM.md).

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use super::Roster;
use crate::clock::Millis;
use crate::core::poison::NodeHash;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Vm;

/// How long a limit holds that no answer names or ends: a VM that sends the endpoint nothing does
/// not hear of its end.
const LIMIT_TTL: Millis = Millis::seconds(30);
/// How long after a limit was named an answer without it does not end it, since it may have been
/// sent before.
const REORDER_SPAN: Millis = Millis(300);
/// How long a VM passes a limit on after an endpoint named or ended it.
const NOTICE_TIME: Millis = Millis::seconds(3);
/// The largest number of limits in one message.
const MAX_NOTICES: usize = 8;
/// How much newer another VM's news must be, since its age is only known to a message's delay.
const MIN_NEWER: Millis = Millis(100);
/// How long a share is used before it is computed again for the VMs that are alive then.
const SHARE_TTL: Millis = Millis(1000);
/// The requests that may arrive at once, for each request a second of the rate. In 4 s an endpoint
/// then gets at most 5.5 times its rate and [`BASE_BURST`] more; the users allow 6 times the rate
/// and 5 more.
const BURST_SECONDS: f64 = 1.5;
/// The requests that may arrive at once at any rate.
const BASE_BURST: f64 = 3.0;
/// The lowest rate from which shares are computed, in requests a second. Without any request, no
/// answer would tell that a limit of 0 has ended.
const MIN_RATE: f64 = 0.05;

/// The error for a limit that is not a number of requests a second.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a number of requests a second")]
pub struct RateError;

/// Parses the rate that an endpoint names.
///
/// # Errors
///
/// Fails if the text is not a decimal number, or a negative one.
pub fn parse_rate(text: &str) -> Result<f64, RateError> {
    let rate: f64 = text.trim().parse().map_err(|_| RateError)?;
    if rate.is_finite() && rate >= 0.0 {
        Ok(rate)
    } else {
        Err(RateError)
    }
}

/// The part of an endpoint's rate that one VM may use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateShare {
    /// The requests a second.
    pub rate: f64,
    /// The requests that the VM may send at once.
    pub burst: f64,
}

/// Returns a VM's share of an endpoint's rate, under load in which each of `vms` VMs has requests for
/// it all the time. `rank` is the VM's place in the endpoint's ranking, from 0.
#[must_use]
pub fn share_rate(rate: f64, vms: usize, rank: usize) -> RateShare {
    let rate = rate.max(MIN_RATE);
    let at_once = rate * BURST_SECONDS + BASE_BURST;
    let members = (at_once as usize).clamp(1, vms.max(1));
    if rank >= members {
        return RateShare::default();
    }
    RateShare {
        rate: rate / members as f64,
        burst: at_once / members as f64,
    }
}

/// What an endpoint said of its rate, and this VM's use of its share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// The rate that it names; `None` if it names none.
    rate: Option<f64>,
    /// When it said so, as far as this VM knows.
    heard: Millis,
    share: RateShare,
    shared_at: Millis,
    tokens: f64,
    filled_at: Millis,
}

impl RateLimit {
    /// Returns the rate that the endpoint names; `None` if it names none or was not heard of for
    /// long.
    #[must_use]
    pub fn rate(&self, now: Millis) -> Option<f64> {
        self.rate.filter(|_| now < self.heard + LIMIT_TTL)
    }

    /// Records what the endpoint said at `at`; returns whether a limit began or ended.
    fn record(&mut self, now: Millis, at: Millis, rate: Option<f64>) -> bool {
        let had_limit = self.rate(now).is_some();
        if self.rate != rate {
            self.shared_at = Millis(0);
        }
        self.rate = rate;
        self.heard = at;
        let is_new = had_limit != rate.is_some();
        if is_new {
            self.tokens = f64::INFINITY;
            self.filled_at = now;
        }
        is_new
    }

    /// Computes the share again if the rate changed or the last time is long ago.
    fn refresh(&mut self, now: Millis, endpoint: &EndpointName, vms: &RateVms) {
        let Some(rate) = self.rate(now) else {
            return;
        };
        if now < self.shared_at + SHARE_TTL && self.shared_at > Millis(0) {
            return;
        }
        self.fill(now);
        self.share = share_rate(rate, vms.count, vms.rank(endpoint));
        self.shared_at = now;
        self.tokens = self.tokens.min(self.share.burst);
    }

    fn fill(&mut self, now: Millis) {
        let seconds = now.since(self.filled_at).0 as f64 / 1000.0;
        let filled = self.tokens + seconds * self.share.rate;
        self.tokens = filled.min(self.share.burst.max(self.tokens));
        self.filled_at = now;
    }

    /// Returns how long until this VM may send the endpoint a request; `None` if it may not.
    pub(super) fn wait(&self, now: Millis) -> Option<Millis> {
        if self.rate(now).is_none() {
            return Some(Millis(0));
        }
        let mut filled = *self;
        filled.fill(now);
        if filled.tokens >= 1.0 {
            return Some(Millis(0));
        }
        let seconds = (1.0 - filled.tokens) / self.share.rate;
        seconds
            .is_finite()
            .then(|| Millis((seconds * 1000.0).ceil() as u64))
    }

    fn take(&mut self, now: Millis) {
        if self.rate(now).is_some() {
            self.fill(now);
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
    }
}

/// The VMs that share the rates of endpoints.
#[derive(Clone, Debug)]
pub struct RateVms {
    /// The number of VMs, including those that may only be cut off.
    pub count: usize,
    me: NodeHash,
    others: Vec<NodeHash>,
}

impl RateVms {
    /// Returns the VMs that share rates with this one: `count` in all, of which `others` are alive.
    pub fn new<'a, I>(count: usize, me: &Vm, others: I) -> Self
    where
        I: IntoIterator<Item = &'a Vm>,
    {
        let others = others.into_iter().map(|vm| NodeHash::of(vm));
        Self {
            count,
            me: NodeHash::of(me),
            others: others.collect(),
        }
    }

    /// Returns the number of VMs before this one in an endpoint's ranking.
    fn rank(&self, endpoint: &EndpointName) -> usize {
        let key = NodeHash::of(endpoint);
        let own = self.me.score_for(key);
        let before = self.others.iter();
        before.filter(|vm| vm.score_for(key) > own).count()
    }
}

/// A notice between VMs of the rate that an endpoint names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateNotice {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// When it started, by its own clock; a later start has no limit yet.
    pub born: u64,
    /// The requests a second; `None` if it names no limit any more.
    pub rate: Option<f64>,
    /// How long ago the endpoint said so.
    pub age: Millis,
}

impl Roster {
    /// Records the rate that an endpoint names in an answer. Returns whether it named none before.
    pub fn record_rate(&mut self, now: Millis, endpoint: &EndpointName, rate: f64) -> bool {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return false;
        };
        state.limit.record(now, now, Some(rate))
    }

    /// Records that an endpoint named no rate in its answer to a request. Returns whether that ends
    /// a limit.
    pub fn end_rate(&mut self, now: Millis, endpoint: &EndpointName) -> bool {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return false;
        };
        let is_due = now >= state.limit.heard + REORDER_SPAN;
        state.limit.rate.is_some() && is_due && state.limit.record(now, now, None)
    }

    /// Applies another VM's notice, unless this VM knows newer. Returns whether a limit began or
    /// ended.
    pub fn apply_rate_notice(&mut self, now: Millis, notice: &RateNotice) -> bool {
        if self.born(&notice.endpoint) != Some(notice.born) {
            return false;
        }
        let at = now - notice.age;
        let state = self.endpoints.get_mut(&notice.endpoint);
        let state = state.filter(|state| at > state.limit.heard + MIN_NEWER);
        state.is_some_and(|state| state.limit.record(now, at, notice.rate))
    }

    /// Returns the notices to pass on to other VMs, the newest first: as many as fit a message.
    pub fn rate_notices(&self, now: Millis) -> Vec<RateNotice> {
        let fresh = self.endpoints.iter().filter_map(|(endpoint, state)| {
            let limit = &state.limit;
            let age = now.since(limit.heard);
            let is_fresh = limit.heard > Millis(0) && age < NOTICE_TIME;
            let born = state.last_entry.as_ref()?.born;
            is_fresh.then(|| RateNotice {
                endpoint: endpoint.clone(),
                born,
                rate: limit.rate,
                age,
            })
        });
        let mut notices: Vec<RateNotice> = fresh.collect();
        notices.sort_by_key(|notice| notice.age);
        notices.truncate(MAX_NOTICES);
        notices
    }

    /// Returns whether any endpoint names a limit.
    pub fn has_limits(&self, now: Millis) -> bool {
        let mut states = self.endpoints.values();
        states.any(|state| state.limit.rate(now).is_some())
    }

    /// Computes this VM's shares of the limits again, those that are not recent.
    pub fn share_limits(&mut self, now: Millis, vms: &RateVms) {
        for (endpoint, state) in &mut self.endpoints {
            state.limit.refresh(now, endpoint, vms);
        }
    }

    /// Returns how long until this VM may send an endpoint a request by the endpoint's limit; `None`
    /// if its share of the limit is none.
    pub fn limit_wait(&self, now: Millis, endpoint: &EndpointName) -> Option<Millis> {
        let state = self.endpoints.get(endpoint);
        state.map_or(Some(Millis(0)), |state| state.limit.wait(now))
    }

    /// Takes a request from this VM's share of an endpoint's limit.
    pub fn take_limited(&mut self, now: Millis, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.limit.take(now);
        }
    }

    /// Returns how long until the first endpoint of a service takes a request of this VM, of those
    /// that asked for a pause or named a limit; `None` if none did or none will.
    ///
    /// A caller whose request no endpoint may get is told to come back after that time.
    pub fn shortest_wait(&self, now: Millis, service: &ServiceName) -> Option<Millis> {
        let limited = self.serving(service, now).filter_map(|(entry, health, _)| {
            let limit = self.endpoints.get(&entry.endpoint)?.limit;
            limit.rate(now)?;
            let pause = health.paused_for(now).unwrap_or_default();
            Some(limit.wait(now)?.max(pause))
        });
        let paused = self.shortest_pause(now, service);
        limited.chain(paused).min()
    }
}
