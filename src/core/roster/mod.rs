//! The endpoints that this VM knows, from entries that lag, lapse and come back.
//!
//! An entry says where an endpoint is and what it holds; what requests meet there says whether it
//! works. Both are kept here, by the endpoint's name and start, so that a new start under an old
//! name or address inherits nothing (docs/PLATFORM.md).

mod entry;
mod health;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

pub use self::entry::Change;
pub use self::entry::Entry;
pub use self::health::Health;
use crate::clock::Millis;
use crate::core::pipe::Span;
use crate::core::pipe::Stage;
use crate::core::site::Model;
use crate::names::EndpointName;
use crate::names::ServiceName;

/// How long an endpoint whose entry lapsed in an outage of the store is still used: entries of
/// endpoints that live are back within two seconds of the store's return.
pub const LAPSE_GRACE: Millis = Millis(2000);
/// How long a mark is believed unless it is made anew.
const MARK_TTL: Millis = Millis(1500);
/// The least time between two questions whether an endpoint works: it is a probe, which costs.
const PROBE_INTERVAL: Millis = Millis(300);
/// The least time between two questions for the pace of an endpoint that works.
const PACE_PROBE_INTERVAL: Millis = Millis(1000);
/// The most marks that one message carries.
const MAX_MARKS: usize = 16;
/// The pace of an endpoint that stands still: it is used only where no other can be.
const STALLED_PACE: f64 = 50.0;
/// How long the removal of an entry is remembered for VMs that have not heard of it.
const TOMBSTONE_TTL: Millis = Millis::seconds(60);

/// What this VM does at an endpoint now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointLoad {
    /// Its requests in progress.
    pub running: u32,
    /// Their tokens times layers.
    pub cells: f64,
}

#[derive(Clone, Debug)]
struct EndpointState {
    change: Change,
    /// Where it last became another, as this VM learned it: endpoints write their entries again and
    /// again, and what stays as it was is no news.
    changed_offset: u64,
    changed_at: Millis,
    grace_until: Option<Millis>,
    last_entry: Option<Entry>,
    health: Health,
    load: EndpointLoad,
    pace: Option<(f64, Millis)>,
    last_heard: Millis,
    last_probed: Millis,
    watched: bool,
}

/// A word between VMs that an endpoint is slow or stands still.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// How many times longer than usual it takes.
    pub pace: f64,
    /// For how long this is still believed.
    pub ttl: Millis,
}

/// What one VM tells another of the endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Whether every endpoint that is not named is gone.
    pub whole: bool,
    /// The changes.
    pub changes: Vec<Change>,
    /// Up to which offset all changes are told.
    pub end: u64,
}

/// The endpoints by name.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    endpoints: BTreeMap<EndpointName, EndpointState>,
    end: u64,
    removals_from: u64,
    last_added: Millis,
    last_removed: Millis,
    last_answered_probe: Millis,
    store_returned: Option<Millis>,
}

impl Roster {
    /// Returns the offset up to which news was applied.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Returns when an endpoint was last heard of for the first time.
    pub fn last_added(&self) -> Millis {
        self.last_added
    }

    /// Returns when an entry was removed last.
    pub fn last_removed(&self) -> Millis {
        self.last_removed
    }

    /// Returns the endpoints to probe: those that are left alone until they answer, and those that
    /// this VM found slow.
    pub fn probe_targets(&self) -> Vec<(EndpointName, SocketAddr)> {
        let targets = self
            .endpoints
            .values()
            .filter(|state| state.health.is_down() || state.watched);
        targets
            .filter_map(|state| state.change.entry.as_ref())
            .filter(|entry| !entry.leaving)
            .map(|entry| (entry.endpoint.clone(), entry.addr))
            .collect()
    }

    /// Says that everything before `end` was applied.
    pub fn advance(&mut self, end: u64) {
        self.end = self.end.max(end);
    }

    /// Says that the store answers again after an outage; entries may lapse and come back now.
    pub fn record_store_return(&mut self, now: Millis) {
        self.store_returned = Some(now);
    }

    /// Takes a change in; older ones than the one known are dropped. Returns whether it was news.
    pub fn apply(&mut self, now: Millis, change: Change) -> bool {
        if let Some(old) = self.endpoints.get_mut(&change.endpoint) {
            if old.change.offset >= change.offset {
                return false;
            }
            if old.change.entry == change.entry && old.grace_until.is_none() {
                old.change.offset = change.offset;
                return false;
            }
        }
        let old = self.endpoints.remove(&change.endpoint);
        let same_start = |old: &&EndpointState| {
            let identity = old
                .last_entry
                .as_ref()
                .map(|entry| (entry.born, entry.addr));
            change
                .entry
                .as_ref()
                .is_none_or(|entry| Some((entry.born, entry.addr)) == identity)
        };
        let kept = old.as_ref().filter(same_start);
        if kept.is_none() && change.entry.is_some() {
            self.last_added = now;
        }
        if change.entry.is_none() {
            self.last_removed = now;
        }
        let grace_until = self
            .store_returned
            .filter(|at| change.entry.is_none() && now.since(*at) < LAPSE_GRACE)
            .map(|at| at + LAPSE_GRACE);
        let last_entry = change
            .entry
            .clone()
            .or_else(|| kept.and_then(|old| old.last_entry.clone()));
        let was_lapsed = old.as_ref().is_some_and(|old| old.grace_until.is_some());
        let mut health = kept
            .filter(|_| !was_lapsed)
            .map(|old| old.health.clone())
            .unwrap_or_default();
        if grace_until.is_some() {
            health.record_lapse();
        }
        let state = EndpointState {
            changed_offset: change.offset,
            changed_at: now,
            grace_until,
            last_entry,
            health,
            load: kept.map(|old| old.load).unwrap_or_default(),
            pace: kept.and_then(|old| old.pace),
            last_heard: kept.map(|old| old.last_heard).unwrap_or_default(),
            last_probed: kept.map(|old| old.last_probed).unwrap_or_default(),
            watched: kept.is_some_and(|old| old.watched),
            change,
        };
        self.endpoints.insert(state.change.endpoint.clone(), state);
        true
    }

    /// Returns the removal of every endpoint that is known but not in a whole list that was read
    /// up to `end`.
    pub fn removals(&self, listed: &[EndpointName], end: u64) -> Vec<Change> {
        let present = self
            .endpoints
            .values()
            .filter(|state| state.change.entry.is_some());
        present
            .filter(|state| state.change.offset < end && !listed.contains(&state.change.endpoint))
            .map(|state| Change {
                endpoint: state.change.endpoint.clone(),
                offset: state.change.offset + 1,
                entry: None,
            })
            .collect()
    }

    /// Returns a word for the state of an endpoint, and its layers, for logs.
    pub fn state_label(&self, endpoint: &EndpointName) -> Option<(&'static str, Option<Span>)> {
        let state = self.endpoints.get(endpoint)?;
        Some(match &state.change.entry {
            None => ("gone", None),
            Some(entry) if entry.leaving => ("leaving", entry.span),
            Some(entry) => ("ready", entry.span),
        })
    }

    /// Says that a whole list up to `end` was read. Such a list does not tell which endpoints were
    /// removed, so from here on only later removals can be told to others.
    pub fn record_full_list(&mut self, end: u64) {
        self.removals_from = self.removals_from.max(end);
    }

    /// Forgets what was removed long ago.
    pub fn sweep(&mut self, now: Millis) {
        let removals_from = &mut self.removals_from;
        self.endpoints.retain(|_, state| {
            let keep = state.change.entry.is_some() || now.since(state.changed_at) < TOMBSTONE_TTL;
            if !keep {
                *removals_from = (*removals_from).max(state.changed_offset + 1);
            }
            keep
        });
    }

    /// Returns what a VM lacks that knows everything before `from`.
    pub fn changes_since(&self, from: u64) -> Update {
        let whole = from < self.removals_from;
        let lacks = |state: &&EndpointState| whole || state.changed_offset >= from;
        let changes = self
            .endpoints
            .values()
            .filter(lacks)
            .map(|state| state.change.clone());
        Update {
            whole,
            changes: changes.collect(),
            end: self.end,
        }
    }

    /// Returns the changes that an update stands for: those in it, and the removal of every
    /// endpoint that a whole one does not name.
    pub fn expand(&self, update: Update) -> Vec<Change> {
        let mut changes = update.changes;
        if update.whole {
            let present = changes.iter().filter(|change| change.entry.is_some());
            let listed: Vec<EndpointName> = present.map(|change| change.endpoint.clone()).collect();
            let gone = self.removals(&listed, update.end);
            let named: Vec<EndpointName> = changes
                .iter()
                .map(|change| change.endpoint.clone())
                .collect();
            changes.extend(
                gone.into_iter()
                    .filter(|change| !named.contains(&change.endpoint)),
            );
        }
        changes
    }

    /// Returns the entry of an endpoint that may get new work now.
    fn usable(state: &EndpointState, now: Millis) -> Option<&Entry> {
        let entry = match &state.change.entry {
            Some(entry) => entry,
            None if state.grace_until.is_some_and(|until| now < until) => {
                state.last_entry.as_ref()?
            }
            None => return None,
        };
        (!entry.leaving).then_some(entry)
    }

    /// Returns the endpoints of a service that may get new work, with their health.
    pub fn serving<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Millis,
    ) -> impl Iterator<Item = (&'a Entry, &'a Health, EndpointLoad)> + 'a {
        self.endpoints.values().filter_map(move |state| {
            let entry = Self::usable(state, now)?;
            (entry.service == *service).then_some((entry, &state.health, state.load))
        })
    }

    /// Returns the engines of a service as the stages of paths; `vms` is the number of VMs that
    /// are assumed to load them alike.
    pub fn stages(
        &self,
        service: &ServiceName,
        model: &Model,
        now: Millis,
        vms: f64,
    ) -> Vec<Stage> {
        let mut stages = Vec::new();
        for (entry, health, load) in self.serving(service, now) {
            let state = self.endpoints.get(&entry.endpoint);
            let pace = state.and_then(|state| state.pace.filter(|(_, until)| now < *until));
            let (Some(span), Some(kind)) = (entry.span, entry.kind.as_ref()) else {
                continue;
            };
            let Some(card) = model.cards.get(kind) else {
                continue;
            };
            if span.is_empty() || health.is_avoided(now) {
                continue;
            }
            let cells = model.cells(*card, span.len()).max(1.0);
            let running = f64::from(load.running) * vms;
            stages.push(Stage {
                endpoint: entry.endpoint.clone(),
                addr: entry.addr,
                domain: entry.domain.clone(),
                span,
                card: *card,
                running,
                room: load.cells * vms / cells,
                penalty: health.penalty() * pace.map_or(1.0, |(pace, _)| pace),
                first: running < f64::from(model.slots),
            });
        }
        stages
    }

    /// Marks an endpoint as slow, for a while; `None` stands for one that stands still. Returns
    /// whether that is news.
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

    /// Stops the probes of an endpoint that this VM had marked: it works as usual again.
    pub fn unwatch(&mut self, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.watched = false;
            state.pace = None;
        }
    }

    /// Takes in that an endpoint works: it answered, or a request that passes through it went on.
    pub fn record_liveness(&mut self, now: Millis, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.last_heard = now;
            state.health.record_liveness();
        }
    }

    /// Takes in that an endpoint answered a question that was asked at `start`.
    pub fn record_probe_answer(&mut self, start: Millis) {
        self.last_answered_probe = self.last_answered_probe.max(start);
    }

    /// Returns when the latest question was asked that was answered: an endpoint that does not answer
    /// an earlier one is silent, and not this VM or its link.
    pub fn last_answered_probe(&self) -> Millis {
        self.last_answered_probe
    }

    /// Says whether an endpoint that a quiet path passes through should be asked whether it works,
    /// and counts it as asked.
    ///
    /// One that was heard of after `since` works; it is asked only for its pace, if the path is
    /// `slow`.
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

    /// Says whether an endpoint did not answer this VM. What other VMs say steers new requests only: a
    /// path that is left in vain is read anew elsewhere, and all of them would be left at once.
    pub fn is_down(&self, endpoint: &EndpointName) -> bool {
        let state = self.endpoints.get(endpoint);
        state.is_some_and(|state| state.health.is_down())
    }

    /// Takes in what another VM says of an endpoint. Returns whether that is news.
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

    /// Returns the marks that are believed now, for other VMs.
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

    /// Returns the health of an endpoint that is known.
    pub fn health(&mut self, endpoint: &EndpointName) -> Option<&mut Health> {
        self.endpoints
            .get_mut(endpoint)
            .map(|state| &mut state.health)
    }

    /// Counts a request at an endpoint; `cells` are its tokens times layers.
    pub fn begin_request(&mut self, endpoint: &EndpointName, cells: f64) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.load.running += 1;
            state.load.cells += cells;
        }
    }

    /// Counts the end of a request that [`Self::begin`] counted.
    pub fn end_request(&mut self, endpoint: &EndpointName, cells: f64) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.load.running = state.load.running.saturating_sub(1);
            state.load.cells = (state.load.cells - cells).max(0.0);
        }
    }

    /// Returns the name of the endpoint at an address that was heard of last.
    pub fn name_at(&self, addr: SocketAddr) -> Option<EndpointName> {
        self.entry_at(addr).map(|entry| entry.endpoint.clone())
    }

    /// Returns the endpoint at an address that was heard of last.
    pub fn entry_at(&self, addr: SocketAddr) -> Option<&Entry> {
        let present = self
            .endpoints
            .values()
            .filter(|state| state.change.entry.is_some());
        present
            .filter_map(|state| state.last_entry.as_ref())
            .filter(|entry| entry.addr == addr)
            .max_by_key(|entry| entry.born)
    }
}
