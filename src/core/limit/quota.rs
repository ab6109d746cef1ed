//! The teams' limits in requests a second over all VMs.
//!
//! A VM takes the part of a team's limit that the team's demand on it is of the demand that the
//! peers tell in their heartbeats, and keeps a token bucket for it. No message goes out per call,
//! and a heartbeat names the teams of most demand only.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::names::Team;
use crate::names::Vm;

/// The most teams in the hints of one heartbeat.
const TEAMS: usize = 32;
/// The span over which demand is counted.
const WINDOW: Millis = Millis::seconds(1);
/// A bucket holds what its rate gives in this many seconds, and one request at least.
const BURST: f64 = 1.0;
/// A team that made no call for this span is forgotten.
const IDLE: Millis = Millis::seconds(60);
/// A peer's demand counts for this span.
const HINT_SPAN: Millis = Millis::seconds(5);
/// The most peers whose demand is kept for one team.
const PEERS: usize = 16;
/// The milliseconds of a second, as a float.
const SECOND: f64 = 1000.0;

/// The demand of one team on one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The team.
    pub team: Team,
    /// Its calls a second, refused ones counted.
    pub rate: u32,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Millis,
    rate: u32,
}

/// The bucket of one team.
#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    filled: Millis,
    window: Millis,
    calls: u32,
    rate: u32,
    heard: BTreeMap<Vm, Heard>,
}

impl Bucket {
    fn new(now: Millis) -> Self {
        Self {
            level: 1.0,
            filled: now,
            window: now,
            calls: 0,
            rate: 0,
            heard: BTreeMap::new(),
        }
    }

    fn count(&mut self, now: Millis) {
        let span = now.since(self.window);
        if span >= WINDOW {
            self.rate = (f64::from(self.calls) * SECOND / span.0 as f64).ceil() as u32;
            self.window = now;
            self.calls = 0;
        }
        self.calls += 1;
    }

    /// Returns the demand: the last window's, or this one's if it is already larger.
    fn demand(&self) -> u32 {
        self.rate.max(self.calls)
    }

    /// Returns the own part of the limit. With no word of any peer it is an even part.
    fn part(&self, now: Millis, peers: usize) -> f64 {
        let fresh = |one: &&Heard| now.since(one.at) <= HINT_SPAN;
        let known: Vec<&Heard> = self.heard.values().filter(fresh).collect();
        if known.is_empty() {
            return 1.0 / (peers as f64 + 1.0);
        }
        let others: u32 = known.iter().map(|one| one.rate).sum();
        let own = f64::from(self.demand().max(1));
        own / (own + f64::from(others))
    }

    fn fill(&mut self, now: Millis, rate: f64) {
        let span = now.since(self.filled).0 as f64;
        self.level = (self.level + rate * span / SECOND).min((rate * BURST).max(1.0));
        self.filled = now;
    }
}

/// The limits of the teams that called of late.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    peers: usize,
    swept: Millis,
    buckets: BTreeMap<Team, Bucket>,
}

impl Quota {
    /// Tells how many other VMs serve.
    pub fn set_peers(&mut self, count: usize) {
        self.peers = count;
    }

    /// Takes one call off a team's bucket.
    ///
    /// # Errors
    ///
    /// Fails with the span until the bucket holds a call again.
    pub fn take(&mut self, now: Millis, team: &Team, limit: u32) -> Result<(), Millis> {
        if limit == 0 {
            return Ok(());
        }
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| Bucket::new(now));
        bucket.count(now);
        let rate = f64::from(limit) * bucket.part(now, self.peers);
        bucket.fill(now, rate);
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            return Ok(());
        }
        Err(Millis(((1.0 - bucket.level) * SECOND / rate).ceil() as u64))
    }

    /// Takes in a peer's demand; that of a team that does not call here is ignored.
    pub fn hear(&mut self, now: Millis, vm: &Vm, demand: &Demand) {
        let Some(bucket) = self.buckets.get_mut(&demand.team) else {
            return;
        };
        if bucket.heard.len() < PEERS || bucket.heard.contains_key(vm) {
            bucket.heard.insert(
                vm.clone(),
                Heard {
                    at: now,
                    rate: demand.rate,
                },
            );
        }
    }

    /// Returns the demand of the teams that call most here, for a heartbeat.
    #[must_use]
    pub fn demands(&self) -> Vec<Demand> {
        let demand = |(team, bucket): (&Team, &Bucket)| Demand {
            team: team.clone(),
            rate: bucket.demand(),
        };
        let mut all: Vec<Demand> = self.buckets.iter().map(demand).collect();
        all.sort_by_key(|one| std::cmp::Reverse(one.rate));
        all.truncate(TEAMS);
        all
    }

    /// Forgets teams that made no call for long, and what peers that fell silent said.
    pub fn tick(&mut self, now: Millis) {
        if now.since(self.swept) < WINDOW {
            return;
        }
        self.swept = now;
        self.buckets
            .retain(|_, bucket| now.since(bucket.filled) < IDLE);
        for bucket in self.buckets.values_mut() {
            bucket.heard.retain(|_, one| now.since(one.at) <= HINT_SPAN);
        }
    }
}
