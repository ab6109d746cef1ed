//! The concurrency limit of a service on this VM.
//!
//! The VMs share the slots of the endpoints without a message per call. Each VM sends its demand in
//! its heartbeats, and takes slots in proportion to its part of the total demand, so that busy VMs
//! use the slots that idle VMs leave. docs/ROUTING.md compares this with the alternative,
//! [`LimitRule::Adaptive`].

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::names::Vm;

/// The lowest limit of a VM, whatever the peers use.
const MIN_LIMIT: f64 = 1.0;
/// The least demand that a VM assumes for itself, as a fraction of the average demand. It lets a
/// quiet VM start a burst before its next heartbeat.
const MIN_DEMAND_FRACTION: f64 = 0.1;
/// The window over which offers are counted.
const DEMAND_WINDOW: Millis = Millis::seconds(1);
const MILLIS_PER_SECOND: f64 = 1000.0;
/// The most peers whose demand is stored.
const MAX_PEERS: usize = 32;
/// The factor on the adaptive level when endpoints are congested.
const BACKOFF: f64 = 0.9;
/// The adaptive level of a new VM.
const INITIAL_LEVEL: f64 = 8.0;
/// Service times up to this multiple of the baseline don't indicate congestion.
const TOLERANCE: f64 = 3.0;
/// The lowest factor that one sample applies to the target level.
const MIN_GRADIENT: f64 = 0.5;
/// The weight of a new sample in the average service time and in the level.
const GAIN: f64 = 0.1;
/// The fraction by which the baseline service time may rise per sample, so that it follows a
/// service that became slower.
const BASELINE_RISE: f64 = 0.0002;

/// How the limit is determined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitRule {
    /// The slots in proportion to this VM's part of the demand of all VMs.
    #[default]
    Demand,
    /// A gradient limit: it rises while service times stay near their baseline, and falls when they
    /// grow or endpoints refuse requests.
    Adaptive,
}

/// This VM's share of one service's slots.
#[derive(Clone, Debug)]
pub struct SlotShare {
    rule: LimitRule,
    slots: f64,
    peers: usize,
    window_start: Millis,
    offers: u32,
    demand: f64,
    peer_demands: BTreeMap<Vm, u32>,
    /// The limit under [`LimitRule::Adaptive`].
    level: f64,
    /// The average service time per token step in milliseconds; 0 before the first sample.
    average: f64,
    /// The lowest recent average, taken as the service time without congestion.
    baseline: f64,
}

impl Default for SlotShare {
    fn default() -> Self {
        Self {
            rule: LimitRule::default(),
            slots: MIN_LIMIT,
            peers: 0,
            window_start: Millis(0),
            offers: 0,
            demand: 0.0,
            peer_demands: BTreeMap::new(),
            level: INITIAL_LEVEL,
            average: 0.0,
            baseline: f64::INFINITY,
        }
    }
}

impl SlotShare {
    /// Sets how the limit is determined; the default is [`LimitRule::Demand`].
    pub fn set_rule(&mut self, rule: LimitRule) {
        self.rule = rule;
    }

    /// Sets the total slots that all VMs share.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
    }

    /// Sets the number of other serving VMs. If it falls below the number of stored demands, all of
    /// them are discarded.
    pub fn set_peers(&mut self, count: usize) {
        if count == self.peers {
            return;
        }
        if count < self.peer_demands.len() {
            self.peer_demands.clear();
        }
        self.peers = count;
    }

    /// Stores a peer's demand in offers per second, including refused ones.
    pub fn apply_demand(&mut self, vm: &Vm, demand: u32) {
        if self.peer_demands.len() < MAX_PEERS || self.peer_demands.contains_key(vm) {
            self.peer_demands.insert(vm.clone(), demand);
        }
    }

    /// Discards the demand of a peer that is gone.
    pub fn forget_peer(&mut self, vm: &Vm) {
        self.peer_demands.remove(vm);
    }

    /// Counts an offer. The demand is based on offered and not on queued requests: a VM with a
    /// larger share can queue more, so its share would grow further.
    pub fn offered(&mut self) {
        self.offers += 1;
    }

    /// Updates the demand if the current window is over.
    pub fn tick(&mut self, now: Millis) {
        let span = now.since(self.window_start);
        if span >= DEMAND_WINDOW {
            let fresh = f64::from(self.offers) * MILLIS_PER_SECOND / span.0 as f64;
            self.demand = f64::midpoint(self.demand, fresh);
            self.window_start = now;
            self.offers = 0;
        }
    }

    /// Returns this VM's demand in offers per second, for the next heartbeat.
    #[must_use]
    pub fn demand(&self) -> u32 {
        self.demand.ceil() as u32
    }

    /// Records that endpoints had no capacity for an admitted request.
    pub fn congested(&mut self) {
        self.level = (self.level * BACKOFF).max(MIN_LIMIT);
    }

    /// Records that a request was served. `unit_ms` is its service time per token step in
    /// milliseconds; `running` is the number of other requests in progress when it ended.
    pub fn served(&mut self, unit_ms: f64, running: usize) {
        let known = self.average > 0.0;
        let gain = if known { GAIN } else { 1.0 };
        self.average += gain * (unit_ms - self.average);
        self.baseline = self.average.min(self.baseline * (1.0 + BASELINE_RISE));
        let gradient = (TOLERANCE * self.baseline / self.average).clamp(MIN_GRADIENT, 1.0);
        let filled = running as f64 + 1.0 >= self.level / TOLERANCE;
        if filled || gradient < 1.0 {
            let target = self.level * gradient + self.level.sqrt();
            self.level += GAIN * (target - self.level);
        }
        self.level = self.level.clamp(MIN_LIMIT, self.slots.max(MIN_LIMIT));
    }

    /// Returns how many requests may be in progress now, at least one.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let limit = match self.rule {
            LimitRule::Demand => self.slots * self.fraction(),
            LimitRule::Adaptive => self.level,
        };
        limit.max(MIN_LIMIT).ceil() as u32
    }

    /// Returns this VM's fraction of the slots. Peers of unknown demand count as the average of the
    /// others. If no peer's demand is known, the slots are divided evenly.
    fn fraction(&self) -> f64 {
        let vms = self.peers as f64 + 1.0;
        let reported: f64 = self.peer_demands.values().map(|&one| f64::from(one)).sum();
        let scale = self.peers as f64 / self.peer_demands.len().max(1) as f64;
        let all = self.demand + reported * scale;
        if self.peer_demands.is_empty() || all < 1.0 {
            return 1.0 / vms;
        }
        let own = self.demand.max(MIN_DEMAND_FRACTION * all / vms);
        own / (own + reported * scale)
    }
}
