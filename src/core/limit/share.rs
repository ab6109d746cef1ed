//! How many requests of a service this VM lets in at a time.
//!
//! The VMs share the slots of the endpoints without a message per call: each tells its demand in
//! its heartbeats, and takes the part of the slots that its demand is of the whole. What idle VMs
//! leave is lent so to the busy ones. docs/ROUTING.md holds the figures against the other way,
//! [`LimitRule::Adaptive`].

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::names::Vm;

/// Every VM may let in this many requests, whatever the peers use.
const MIN_LIMIT: f64 = 1.0;
/// Every VM counts at least this part of the average demand as its own, so that a quiet VM can
/// start a burst before its next heartbeat.
const MIN_DEMAND_FRACTION: f64 = 0.1;
/// The span over which offers are counted.
const DEMAND_WINDOW: Millis = Millis::seconds(1);
/// The milliseconds of a second, as a float.
const MILLIS_PER_SECOND: f64 = 1000.0;
/// The most peers whose demand is kept.
const MAX_PEERS: usize = 32;
/// The level is multiplied by this when endpoints are congested.
const BACKOFF: f64 = 0.9;
/// The level that a VM starts from.
const INITIAL_LEVEL: f64 = 8.0;
/// Service times up to this multiple of the least average are no sign of congestion.
const TOLERANCE: f64 = 3.0;
/// One sample moves the level by this part at most, downwards.
const MIN_GRADIENT: f64 = 0.5;
/// The weight of a new sample in the average service time and in the level.
const GAIN: f64 = 0.1;
/// Each sample lets the least average rise by this part, so that it follows a changed service.
const BASELINE_RISE: f64 = 0.0002;

/// The ways to find the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitRule {
    /// The part of the slots that the own demand is of all VMs' demand.
    #[default]
    Demand,
    /// Up while service times stay near the least, down when they grow or endpoints refuse.
    Adaptive,
}

/// The limit of one service on one VM.
#[derive(Clone, Debug)]
pub struct SlotShare {
    rule: LimitRule,
    slots: f64,
    peers: usize,
    window_start: Millis,
    offers: u32,
    demand: f64,
    peer_demands: BTreeMap<Vm, u32>,
    level: f64,
    average: f64,
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
    /// Chooses the rule.
    pub fn set_rule(&mut self, rule: LimitRule) {
        self.rule = rule;
    }

    /// Tells the slots that all VMs share.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
    }

    /// Tells how many other VMs serve; the demands of those that are gone are forgotten.
    pub fn set_peers(&mut self, count: usize) {
        if count == self.peers {
            return;
        }
        if count < self.peer_demands.len() {
            self.peer_demands.clear();
        }
        self.peers = count;
    }

    /// Takes in a peer's demand in offers a second, refused ones counted.
    pub fn apply_demand(&mut self, vm: &Vm, demand: u32) {
        if self.peer_demands.len() < MAX_PEERS || self.peer_demands.contains_key(vm) {
            self.peer_demands.insert(vm.clone(), demand);
        }
    }

    /// Forgets a peer that stopped.
    pub fn forget_peer(&mut self, vm: &Vm) {
        self.peer_demands.remove(vm);
    }

    /// Counts an offer. The demand is what is offered and not what waits: a VM with a larger part
    /// could let more wait, and would so take a larger part still.
    pub fn offered(&mut self) {
        self.offers += 1;
    }

    /// Ends a window of counting, if it is over.
    pub fn tick(&mut self, now: Millis) {
        let span = now.since(self.window_start);
        if span >= DEMAND_WINDOW {
            let fresh = f64::from(self.offers) * MILLIS_PER_SECOND / span.0 as f64;
            self.demand = f64::midpoint(self.demand, fresh);
            self.window_start = now;
            self.offers = 0;
        }
    }

    /// Returns the own demand in offers a second, for the next heartbeat.
    #[must_use]
    pub fn demand(&self) -> u32 {
        self.demand.ceil() as u32
    }

    /// Notes that endpoints had no room for an admitted request.
    pub fn congested(&mut self) {
        self.level = (self.level * BACKOFF).max(MIN_LIMIT);
    }

    /// Notes that a request was served, with the milliseconds of its service for each unit of work
    /// and the requests in progress then.
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

    /// Returns how many requests may be in progress now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let limit = match self.rule {
            LimitRule::Demand => self.slots * self.fraction(),
            LimitRule::Adaptive => self.level,
        };
        limit.max(MIN_LIMIT).ceil() as u32
    }

    /// Returns the own part of the slots. Peers that are not heard count as the average of those
    /// that are, and as even sharers if none is.
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
