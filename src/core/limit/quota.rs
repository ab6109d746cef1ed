//! The teams' rate limits in requests per second over all VMs.
//!
//! Each VM takes a fraction of a team's limit: the team's demand on this VM, divided by its demand
//! on all VMs as reported in heartbeats. A token bucket per team enforces this fraction. No message
//! is sent per call, and a heartbeat reports only the teams with the highest demand.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::names::Team;
use crate::names::Vm;

/// The most teams whose demand is sent in one heartbeat.
const MAX_HINT_TEAMS: usize = 32;
/// The window over which demand is counted, and the interval of the cleanup.
const DEMAND_WINDOW: Millis = Millis::seconds(1);
/// The capacity of a bucket in seconds of its rate; it holds one request at least.
const BURST_SECONDS: f64 = 1.0;
/// A team that makes no call for this long is dropped.
const IDLE_TIMEOUT: Millis = Millis::seconds(60);
/// How long a peer's reported demand counts.
const HINT_TTL: Millis = Millis::seconds(5);
/// The most peers whose demand is stored for one team.
const MAX_PEERS: usize = 16;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The demand of one team on one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The calling team.
    pub team: Team,
    /// The team's calls per second, including refused ones.
    pub rate: u32,
}

#[derive(Clone, Copy, Debug)]
struct PeerDemand {
    at: Millis,
    rate: u32,
}

/// The token bucket and the demand of one team.
#[derive(Clone, Debug)]
struct Bucket {
    /// The calls that may be made now.
    tokens: f64,
    refilled: Millis,
    window_start: Millis,
    /// The calls in the current window.
    calls: u32,
    /// The calls per second in the last window.
    rate: u32,
    peer_demands: BTreeMap<Vm, PeerDemand>,
}

impl Bucket {
    fn new(now: Millis) -> Self {
        Self {
            tokens: 1.0,
            refilled: now,
            window_start: now,
            calls: 0,
            rate: 0,
            peer_demands: BTreeMap::new(),
        }
    }

    fn count_call(&mut self, now: Millis) {
        let span = now.since(self.window_start);
        if span >= DEMAND_WINDOW {
            self.rate = (f64::from(self.calls) * MILLIS_PER_SECOND / span.0 as f64).ceil() as u32;
            self.window_start = now;
            self.calls = 0;
        }
        self.calls += 1;
    }

    /// Returns the demand in the last window, or in the current one if it is already higher.
    fn demand(&self) -> u32 {
        self.rate.max(self.calls)
    }

    /// Returns this VM's fraction of the limit. If no peer's demand is known, the limit is divided
    /// evenly among the VMs.
    fn fraction(&self, now: Millis, peers: usize) -> f64 {
        let fresh = |one: &&PeerDemand| now.since(one.at) <= HINT_TTL;
        let known: Vec<&PeerDemand> = self.peer_demands.values().filter(fresh).collect();
        if known.is_empty() {
            return 1.0 / (peers as f64 + 1.0);
        }
        let others: u32 = known.iter().map(|one| one.rate).sum();
        let own = f64::from(self.demand().max(1));
        own / (own + f64::from(others))
    }

    fn refill(&mut self, now: Millis, rate: f64) {
        let span = now.since(self.refilled).0 as f64;
        self.tokens =
            (self.tokens + rate * span / MILLIS_PER_SECOND).min((rate * BURST_SECONDS).max(1.0));
        self.refilled = now;
    }
}

/// Enforces the rate limits of the teams that called recently.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    peers: usize,
    swept: Millis,
    buckets: BTreeMap<Team, Bucket>,
}

impl Quota {
    /// Sets the number of other serving VMs.
    pub fn set_peers(&mut self, count: usize) {
        self.peers = count;
    }

    /// Takes one call from a team's bucket. `limit` is in calls per second over all VMs; 0 means no
    /// limit.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket holds a call again.
    pub fn take(&mut self, now: Millis, team: &Team, limit: u32) -> Result<(), Millis> {
        if limit == 0 {
            return Ok(());
        }
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| Bucket::new(now));
        bucket.count_call(now);
        let rate = f64::from(limit) * bucket.fraction(now, self.peers);
        bucket.refill(now, rate);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        Err(Millis(
            ((1.0 - bucket.tokens) * MILLIS_PER_SECOND / rate).ceil() as u64,
        ))
    }

    /// Stores a peer's demand. It is ignored for a team that does not call this VM.
    pub fn apply_demand(&mut self, now: Millis, vm: &Vm, demand: &Demand) {
        let Some(bucket) = self.buckets.get_mut(&demand.team) else {
            return;
        };
        if bucket.peer_demands.len() < MAX_PEERS || bucket.peer_demands.contains_key(vm) {
            bucket.peer_demands.insert(
                vm.clone(),
                PeerDemand {
                    at: now,
                    rate: demand.rate,
                },
            );
        }
    }

    /// Returns the demand of the teams that call this VM most, for a heartbeat.
    #[must_use]
    pub fn demands(&self) -> Vec<Demand> {
        let demand = |(team, bucket): (&Team, &Bucket)| Demand {
            team: team.clone(),
            rate: bucket.demand(),
        };
        let mut all: Vec<Demand> = self.buckets.iter().map(demand).collect();
        all.sort_by_key(|one| std::cmp::Reverse(one.rate));
        all.truncate(MAX_HINT_TEAMS);
        all
    }

    /// Drops idle teams, and demand that peers have not reported again in time.
    pub fn tick(&mut self, now: Millis) {
        if now.since(self.swept) < DEMAND_WINDOW {
            return;
        }
        self.swept = now;
        self.buckets
            .retain(|_, bucket| now.since(bucket.refilled) < IDLE_TIMEOUT);
        for bucket in self.buckets.values_mut() {
            bucket
                .peer_demands
                .retain(|_, one| now.since(one.at) <= HINT_TTL);
        }
    }
}
