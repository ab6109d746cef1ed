//! The endpoints that this VM knows. Their entries in the store may be out of date, and may expire
//! and reappear.
//!
//! An entry gives an endpoint's address and its layers; the outcome of requests shows whether it
//! works. Both are kept here. Health and load are dropped when an endpoint restarts, even if it
//! keeps its name or address (docs/PLATFORM.md).

mod entry;
mod health;
mod limit;
mod marks;
mod notice;
mod pause;
mod probes;
mod tempo;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

pub use self::entry::Change;
pub use self::entry::Entry;
pub use self::health::Health;
pub use self::limit::RateError;
pub use self::limit::RateLimit;
pub use self::limit::RateNotice;
pub use self::limit::RateShare;
pub use self::limit::RateVms;
pub use self::limit::parse_rate;
pub use self::limit::share_rate;
pub use self::marks::Mark;
pub use self::notice::LeavingNotice;
pub use self::pause::MAX_PAUSE;
pub use self::pause::PauseError;
pub use self::pause::parse_pause;
pub use self::probes::WATCH_INTERVAL;
pub use self::probes::pace_share;
use self::tempo::Tempo;
use crate::clock::Millis;
use crate::core::load::EngineLoad;
use crate::core::load::NameHash;
use crate::core::pipe::Span;
use crate::core::pipe::Stage;
use crate::core::position::Position;
use crate::core::site::Model;
use crate::names::Domain;
use crate::names::EndpointName;
use crate::names::ServiceName;

/// How long an endpoint is still used after its entry lapsed because of a store outage. Live
/// endpoints write their entries again within two seconds of the store's return.
pub const LAPSE_GRACE: Millis = Millis(2000);
/// How long the removal of an entry is kept for VMs that have not learned of it yet.
const TOMBSTONE_TTL: Millis = Millis::seconds(60);

/// The most keys with a refused entry that are remembered; more are not logged.
const MAX_REFUSED: usize = 1024;

/// The load that this VM puts on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointLoad {
    /// The number of requests in progress.
    pub running: u32,
    /// The tokens of these requests times the layers that they use.
    pub cells: f64,
}

#[derive(Clone, Debug)]
struct EndpointState {
    change: Change,
    /// The hash of its name, under which VMs exchange its load.
    hash: NameHash,
    /// The position at which the entry last differed from the one before. Endpoints rewrite their
    /// entries periodically; a rewrite without a difference is not passed on.
    changed_offset: Position,
    changed_at: Millis,
    /// Set if the entry lapsed in an outage: until when the last entry is still used.
    grace_until: Option<Millis>,
    /// The latest entry, kept after its removal.
    last_entry: Option<Entry>,
    health: Health,
    load: EndpointLoad,
    limit: RateLimit,
    /// The pace of the current mark and when the mark expires.
    pace: Option<(f64, Millis)>,
    tempo: Tempo,
    last_heard: Millis,
    last_probed: Millis,
    /// When a probe of the endpoint as one that is down or slow was last sent, and how many were
    /// since it last answered.
    last_asked: Millis,
    unanswered: u32,
    /// Whether this VM itself marked the endpoint and probes it.
    watched: bool,
    /// When this VM learned that the endpoint is leaving: from its entry, from one of its answers, or
    /// from another VM.
    left: Option<Millis>,
    /// Whether the entry is one of the store's older copy that may be outdated. It is used once the
    /// endpoint has written it again.
    is_revived: bool,
}

impl EndpointState {
    /// Returns whether a change of a later era of the store may be older than what is known: the
    /// store's older copy still lists endpoints that were removed, other than by an outage, or that
    /// have started anew since.
    fn is_outdated(&self, change: &Change) -> bool {
        let Some(entry) = &change.entry else {
            return self.is_revived;
        };
        let was_removed = self.change.entry.is_none() && self.grace_until.is_none();
        let last = self.last_entry.as_ref();
        let is_same = last.is_some_and(|last| last.born == entry.born);
        let is_earlier = last.is_some_and(|last| last.born > entry.born);
        let may_be_older = self.is_revived || was_removed && is_same || is_earlier;
        self.change.offset.era() < change.offset.era() && may_be_older
    }
}

/// The changes of endpoints that one VM sends to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Whether `changes` is the full list, so that every endpoint missing from it was removed.
    pub whole: bool,
    /// The latest change of each endpoint that the receiver lacks, in the order of names.
    pub changes: Vec<Change>,
    /// The position before which the update covers all changes.
    pub end: Position,
}

/// The endpoints that this VM knows, with their health and load.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    endpoints: BTreeMap<EndpointName, EndpointState>,
    end: Position,
    /// Removals before this position may be missing here.
    removals_from: Position,
    known_since: Millis,
    last_added: Millis,
    last_removed: Millis,
    last_answered_probe: Millis,
    store_returned: Option<Millis>,
    /// The keys whose entry was refused, so that each is logged once.
    refused: BTreeSet<EndpointName>,
}

impl Roster {
    /// Returns the position before which all changes were applied.
    pub fn end(&self) -> Position {
        self.end
    }

    /// Returns when this VM learned its first endpoint, or 0 if it knows none.
    pub fn known_since(&self) -> Millis {
        self.known_since
    }

    /// Returns when an endpoint was last added, or restarted.
    pub fn last_added(&self) -> Millis {
        self.last_added
    }

    /// Returns when an entry was last removed.
    pub fn last_removed(&self) -> Millis {
        self.last_removed
    }

    /// Returns the addresses of the endpoints that may get requests, which a check of this VM's links
    /// may ask: neither leaving nor in a pause.
    pub fn reachable(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        let states = self.endpoints.values();
        states
            .filter(move |state| state.health.paused_for(now).is_none())
            .filter_map(move |state| Self::usable(state, now))
            .map(|entry| entry.addr)
    }

    /// Records that every change before `end` was applied.
    pub fn advance(&mut self, end: Position) {
        self.end = self.end.max(end);
    }

    /// Records that the store answers again after an outage. Entries removed within [`LAPSE_GRACE`]
    /// may have expired during the outage and may be written again.
    pub fn record_store_return(&mut self, now: Millis) {
        self.store_returned = Some(now);
    }

    /// Applies a change unless a newer one of the endpoint is known. Returns whether the entry
    /// changed.
    pub fn apply(&mut self, now: Millis, change: Change) -> bool {
        if let Some(old) = self.endpoints.get_mut(&change.endpoint) {
            if old.change.offset >= change.offset {
                return false;
            }
            if old.change.entry == change.entry && old.grace_until.is_none() {
                let is_rewritten = old.change.offset.era() == change.offset.era();
                old.change.offset = change.offset;
                return is_rewritten && std::mem::take(&mut old.is_revived);
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
            if self.known_since == Millis(0) {
                self.known_since = now;
            }
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
        let is_leaving = change.entry.as_ref().is_some_and(|entry| entry.leaving);
        let left = kept.and_then(|old| old.left).or(is_leaving.then_some(now));
        let is_revived = old.as_ref().is_some_and(|old| old.is_outdated(&change));
        let was_lapsed = old.as_ref().is_some_and(|old| old.grace_until.is_some());
        let mut health = match kept {
            Some(old) if was_lapsed => old.health.after_lapse(),
            Some(old) => old.health.clone(),
            None => Health::default(),
        };
        if grace_until.is_some() {
            health.record_lapse();
        }
        let state = EndpointState {
            hash: NameHash::of(&change.endpoint),
            changed_offset: change.offset,
            changed_at: now,
            grace_until,
            last_entry,
            health,
            load: kept.map(|old| old.load).unwrap_or_default(),
            limit: kept.map(|old| old.limit).unwrap_or_default(),
            pace: kept.and_then(|old| old.pace),
            tempo: kept.map(|old| old.tempo).unwrap_or_default(),
            last_heard: kept.map(|old| old.last_heard).unwrap_or_default(),
            last_probed: kept.map(|old| old.last_probed).unwrap_or_default(),
            last_asked: kept.map(|old| old.last_asked).unwrap_or_default(),
            unanswered: kept.map(|old| old.unanswered).unwrap_or_default(),
            watched: kept.is_some_and(|old| old.watched),
            left,
            is_revived,
            change,
        };
        self.endpoints.insert(state.change.endpoint.clone(), state);
        true
    }

    /// Records that an endpoint's entry was refused; returns whether to log that, as the entry before it
    /// was not refused.
    pub fn refuse_entry(&mut self, endpoint: &EndpointName) -> bool {
        let is_new = self.refused.len() < MAX_REFUSED && !self.refused.contains(endpoint);
        is_new && self.refused.insert(endpoint.clone())
    }

    /// Records that an endpoint's entry was accepted, or removed.
    pub fn accept_entry(&mut self, endpoint: &EndpointName) {
        self.refused.remove(endpoint);
    }

    /// Returns a removal for every known endpoint that is missing from a full list read up to
    /// `end`.
    pub fn removals(&self, listed: &[EndpointName], end: Position) -> Vec<Change> {
        let listed: BTreeSet<&EndpointName> = listed.iter().collect();
        let present = self
            .endpoints
            .values()
            .filter(|state| state.change.entry.is_some());
        present
            .filter(|state| state.change.offset < end && !listed.contains(&state.change.endpoint))
            .map(|state| Change {
                endpoint: state.change.endpoint.clone(),
                offset: state.change.offset.next(),
                entry: None,
            })
            .collect()
    }

    /// Returns the state of an endpoint as shown in logs ("ready", "leaving" or "gone"), and its
    /// layers; `None` if the endpoint is unknown.
    pub fn state_label(&self, endpoint: &EndpointName) -> Option<(&'static str, Option<Span>)> {
        let state = self.endpoints.get(endpoint)?;
        Some(match &state.change.entry {
            None => ("gone", None),
            Some(entry) if entry.leaving => ("leaving", entry.span),
            Some(entry) => ("ready", entry.span),
        })
    }

    /// Records that a full list up to `end` was read. It does not show which endpoints were removed
    /// before, so a VM that is further behind gets a full list instead of changes.
    pub fn record_full_list(&mut self, end: Position) {
        self.removals_from = self.removals_from.max(end);
    }

    /// Drops removals that every other VM should have learned of by now.
    pub fn sweep(&mut self, now: Millis) {
        let removals_from = &mut self.removals_from;
        self.endpoints.retain(|_, state| {
            let keep = state.change.entry.is_some() || now.since(state.changed_at) < TOMBSTONE_TTL;
            if !keep {
                *removals_from = (*removals_from).max(state.changed_offset.next());
            }
            keep
        });
    }

    /// Returns whether a VM that knows every change before `from` needs the full list, since
    /// removals after that position may be missing here.
    pub fn needs_full_list(&self, from: Position) -> bool {
        from < self.removals_from
    }

    /// Returns the update for a VM that knows every change before `from`.
    pub fn changes_since(&self, from: Position) -> Update {
        let whole = self.needs_full_list(from);
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

    /// Returns the changes in an update and, if it is a full list, a removal for every known
    /// endpoint that is missing from it.
    pub fn expand(&self, update: Update) -> Vec<Change> {
        let mut changes = update.changes;
        if update.whole {
            let present = changes.iter().filter(|change| change.entry.is_some());
            let listed: Vec<EndpointName> = present.map(|change| change.endpoint.clone()).collect();
            let gone = self.removals(&listed, update.end);
            let named: BTreeSet<EndpointName> = changes
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

    /// Returns the entry of an endpoint if it may get new work at `now`.
    fn usable(state: &EndpointState, now: Millis) -> Option<&Entry> {
        if state.left.is_some() || state.is_revived {
            return None;
        }
        let entry = match &state.change.entry {
            Some(entry) => entry,
            None if state.grace_until.is_some_and(|until| now < until) => {
                state.last_entry.as_ref()?
            }
            None => return None,
        };
        (!entry.leaving).then_some(entry)
    }

    /// Returns the endpoints of a service that may get new work, with their health and load.
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

    /// Returns the engines of a service as stages from which paths are built; `load` returns what all
    /// VMs run on an engine, by the hash of its name.
    pub fn stages<F>(
        &self,
        service: &ServiceName,
        model: &Model,
        now: Millis,
        load: F,
    ) -> Vec<Stage>
    where
        F: Fn(NameHash) -> EngineLoad,
    {
        let mut stages = Vec::new();
        for state in self.endpoints.values() {
            let Some(entry) = Self::usable(state, now).filter(|entry| entry.service == *service)
            else {
                continue;
            };
            let health = &state.health;
            let pace = state.pace.filter(|(_, until)| now < *until);
            let (Some(span), Some(kind)) = (entry.span, entry.kind.as_ref()) else {
                continue;
            };
            let Some(card) = model.cards.get(kind) else {
                continue;
            };
            if span.is_empty() || !span.is_within(model.layers) || health.is_avoided(now) {
                continue;
            }
            let cells = model.kv_capacity(*card, span.len()).max(1.0);
            let load = load(state.hash);
            stages.push(Stage {
                endpoint: entry.endpoint.clone(),
                addr: entry.addr,
                domain: entry.domain.clone(),
                span,
                card: *card,
                running: f64::from(load.running),
                memory_use: load.cells as f64 / cells,
                penalty: health.penalty() * pace.map_or(1.0, |(pace, _)| pace),
                can_lead: load.leading < model.slots && state.limit.wait(now) == Some(Millis(0)),
                is_warm: false,
            });
        }
        stages
    }

    /// Records a sign of life: the endpoint answered, or a request that passes through it
    /// progressed.
    pub fn record_liveness(&mut self, now: Millis, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.last_heard = now;
            state.health.record_liveness();
        }
    }

    /// Forgets the failures of all endpoints and this VM's own marks, but no pause that one asked for.
    pub fn forget_failures(&mut self) {
        for state in self.endpoints.values_mut() {
            state.health = state.health.after_lapse();
            if std::mem::take(&mut state.watched) {
                state.pace = None;
            }
        }
    }

    /// Returns whether any endpoint showed a sign of life after `since`.
    pub fn has_heard_since(&self, since: Millis) -> bool {
        self.endpoints
            .values()
            .any(|state| state.last_heard > since)
    }

    /// Returns whether an endpoint is stalled, as seen by this VM alone.
    ///
    /// Marks of other VMs affect only new requests. Leaving a path means that another one has to
    /// read the prompt again, and a wrong mark would make all VMs leave their paths at once.
    pub fn is_down(&self, endpoint: &EndpointName) -> bool {
        let state = self.endpoints.get(endpoint);
        state.is_some_and(|state| state.health.is_down())
    }

    /// Returns the health of an endpoint, to be updated; `None` if the endpoint is unknown.
    pub fn health(&mut self, endpoint: &EndpointName) -> Option<&mut Health> {
        self.endpoints
            .get_mut(endpoint)
            .map(|state| &mut state.health)
    }

    /// Adds a request to the load of an endpoint; `cells` is its tokens times layers.
    pub fn begin_request(&mut self, endpoint: &EndpointName, cells: f64) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.load.running += 1;
            state.load.cells += cells;
        }
    }

    /// Removes a request that [`Self::begin_request`] added, with the same `cells`.
    pub fn end_request(&mut self, endpoint: &EndpointName, cells: f64) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.load.running = state.load.running.saturating_sub(1);
            state.load.cells = (state.load.cells - cells).max(0.0);
        }
    }

    /// Returns when an endpoint started, by its latest entry; `None` if it is unknown.
    pub fn born(&self, endpoint: &EndpointName) -> Option<u64> {
        let state = self.endpoints.get(endpoint)?;
        state.last_entry.as_ref().map(|entry| entry.born)
    }

    /// Returns the failure domain of an endpoint, by its latest entry; `None` if it is unknown.
    pub fn domain_of(&self, endpoint: &EndpointName) -> Option<&Domain> {
        let state = self.endpoints.get(endpoint)?;
        state.last_entry.as_ref().map(|entry| &entry.domain)
    }

    /// Returns the name of the endpoint at an address, chosen as by [`Self::entry_at`].
    pub fn name_at(&self, addr: SocketAddr) -> Option<EndpointName> {
        self.entry_at(addr).map(|entry| entry.endpoint.clone())
    }

    /// Returns the entry of the endpoint at an address; if several have
    /// it, of the one that started last.
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
