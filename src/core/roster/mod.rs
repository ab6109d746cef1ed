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
const MARK_SPAN: Millis = Millis(1500);
/// The least time between two questions whether an endpoint works: it is a probe, which costs.
const ASK_SPAN: Millis = Millis(300);
/// The least time between two questions for the pace of an endpoint that works.
const PACE_SPAN: Millis = Millis(1000);
/// The most marks that one message carries.
const MARKS: usize = 16;
/// The pace of an endpoint that stands still: it is used only where no other can be.
const STILL_PACE: f64 = 50.0;
/// How long the removal of an entry is remembered for VMs that have not heard of it.
const TOMB_SPAN: Millis = Millis::seconds(60);

/// What this VM does at an endpoint now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointLoad {
    /// Its requests in progress.
    pub running: u32,
    /// Their tokens times layers.
    pub cells: f64,
}

#[derive(Clone, Debug)]
struct Known {
    change: Change,
    /// Where it last became another, as this VM learned it: endpoints write their entries again and
    /// again, and what stays as it was is no news.
    news: u64,
    at: Millis,
    lapsed: Option<Millis>,
    held: Option<Entry>,
    health: Health,
    work: EndpointLoad,
    pace: Option<(f64, Millis)>,
    heard: Millis,
    asked: Millis,
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
    known: BTreeMap<EndpointName, Known>,
    end: u64,
    base: u64,
    newest: Millis,
    removed: Millis,
    answered: Millis,
    regained: Option<Millis>,
}

impl Roster {
    /// Returns the offset up to which news was applied.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Returns when an endpoint was last heard of for the first time.
    pub fn last_added(&self) -> Millis {
        self.newest
    }

    /// Returns when an entry was removed last.
    pub fn last_removed(&self) -> Millis {
        self.removed
    }

    /// Returns the endpoints to probe: those that are left alone until they answer, and those that
    /// this VM found slow.
    pub fn probe_targets(&self) -> Vec<(EndpointName, SocketAddr)> {
        let held = self
            .known
            .values()
            .filter(|known| known.health.is_down() || known.watched);
        held.filter_map(|known| known.change.entry.as_ref())
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
        self.regained = Some(now);
    }

    /// Takes a change in; older ones than the one known are dropped. Returns whether it was news.
    pub fn apply(&mut self, now: Millis, change: Change) -> bool {
        if let Some(old) = self.known.get_mut(&change.endpoint) {
            if old.change.offset >= change.offset {
                return false;
            }
            if old.change.entry == change.entry && old.lapsed.is_none() {
                old.change.offset = change.offset;
                return false;
            }
        }
        let old = self.known.remove(&change.endpoint);
        let same = |old: &&Known| {
            let born = old.held.as_ref().map(|entry| (entry.born, entry.addr));
            change
                .entry
                .as_ref()
                .is_none_or(|entry| Some((entry.born, entry.addr)) == born)
        };
        let kept = old.as_ref().filter(same);
        if kept.is_none() && change.entry.is_some() {
            self.newest = now;
        }
        if change.entry.is_none() {
            self.removed = now;
        }
        let lapsed = self
            .regained
            .filter(|at| change.entry.is_none() && now.since(*at) < LAPSE_GRACE)
            .map(|at| at + LAPSE_GRACE);
        let held = change
            .entry
            .clone()
            .or_else(|| kept.and_then(|old| old.held.clone()));
        let back = old.as_ref().is_some_and(|old| old.lapsed.is_some());
        let mut health = kept
            .filter(|_| !back)
            .map(|old| old.health.clone())
            .unwrap_or_default();
        if lapsed.is_some() {
            health.record_lapse();
        }
        let known = Known {
            news: change.offset,
            at: now,
            lapsed,
            held,
            health,
            work: kept.map(|old| old.work).unwrap_or_default(),
            pace: kept.and_then(|old| old.pace),
            heard: kept.map(|old| old.heard).unwrap_or_default(),
            asked: kept.map(|old| old.asked).unwrap_or_default(),
            watched: kept.is_some_and(|old| old.watched),
            change,
        };
        self.known.insert(known.change.endpoint.clone(), known);
        true
    }

    /// Returns the removal of every endpoint that is known but not in a whole list that was read
    /// up to `end`.
    pub fn removals(&self, listed: &[EndpointName], end: u64) -> Vec<Change> {
        let held = self
            .known
            .values()
            .filter(|known| known.change.entry.is_some());
        held.filter(|known| known.change.offset < end && !listed.contains(&known.change.endpoint))
            .map(|known| Change {
                endpoint: known.change.endpoint.clone(),
                offset: known.change.offset + 1,
                entry: None,
            })
            .collect()
    }

    /// Returns a word for the state of an endpoint, and its layers, for logs.
    pub fn state_label(&self, endpoint: &EndpointName) -> Option<(&'static str, Option<Span>)> {
        let known = self.known.get(endpoint)?;
        Some(match &known.change.entry {
            None => ("gone", None),
            Some(entry) if entry.leaving => ("leaving", entry.span),
            Some(entry) => ("ready", entry.span),
        })
    }

    /// Says that a whole list up to `end` was read. Such a list does not tell which endpoints were
    /// removed, so from here on only later removals can be told to others.
    pub fn record_full_list(&mut self, end: u64) {
        self.base = self.base.max(end);
    }

    /// Forgets what was removed long ago.
    pub fn sweep(&mut self, now: Millis) {
        let base = &mut self.base;
        self.known.retain(|_, known| {
            let keep = known.change.entry.is_some() || now.since(known.at) < TOMB_SPAN;
            if !keep {
                *base = (*base).max(known.news + 1);
            }
            keep
        });
    }

    /// Returns what a VM lacks that knows everything before `from`.
    pub fn changes_since(&self, from: u64) -> Update {
        let whole = from < self.base;
        let lacks = |known: &&Known| whole || known.news >= from;
        let changes = self
            .known
            .values()
            .filter(lacks)
            .map(|known| known.change.clone());
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
            let held = changes.iter().filter(|change| change.entry.is_some());
            let listed: Vec<EndpointName> = held.map(|change| change.endpoint.clone()).collect();
            let gone = self.removals(&listed, update.end);
            let known: Vec<EndpointName> = changes
                .iter()
                .map(|change| change.endpoint.clone())
                .collect();
            changes.extend(
                gone.into_iter()
                    .filter(|change| !known.contains(&change.endpoint)),
            );
        }
        changes
    }

    /// Returns the entry of an endpoint that may get new work now.
    fn usable(known: &Known, now: Millis) -> Option<&Entry> {
        let entry = match &known.change.entry {
            Some(entry) => entry,
            None if known.lapsed.is_some_and(|until| now < until) => known.held.as_ref()?,
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
        self.known.values().filter_map(move |known| {
            let entry = Self::usable(known, now)?;
            (entry.service == *service).then_some((entry, &known.health, known.work))
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
        for (entry, health, work) in self.serving(service, now) {
            let known = self.known.get(&entry.endpoint);
            let pace = known.and_then(|known| known.pace.filter(|(_, until)| now < *until));
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
            let running = f64::from(work.running) * vms;
            stages.push(Stage {
                endpoint: entry.endpoint.clone(),
                addr: entry.addr,
                domain: entry.domain.clone(),
                span,
                card: *card,
                running,
                room: work.cells * vms / cells,
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
            pace: pace.unwrap_or(STILL_PACE),
            ttl: MARK_SPAN,
        };
        if let Some(known) = self.known.get_mut(endpoint) {
            known.watched = true;
        }
        self.apply_mark(now, &mark)
    }

    /// Stops the probes of an endpoint that this VM had marked: it works as usual again.
    pub fn unwatch(&mut self, endpoint: &EndpointName) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.watched = false;
            known.pace = None;
        }
    }

    /// Takes in that an endpoint works: it answered, or a request that passes through it went on.
    pub fn record_liveness(&mut self, now: Millis, endpoint: &EndpointName) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.heard = now;
            known.health.record_liveness();
        }
    }

    /// Takes in that an endpoint answered a question that was asked at `start`.
    pub fn record_probe_answer(&mut self, start: Millis) {
        self.answered = self.answered.max(start);
    }

    /// Returns when the latest question was asked that was answered: an endpoint that does not answer
    /// an earlier one is silent, and not this VM or its link.
    pub fn last_answered_probe(&self) -> Millis {
        self.answered
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
        let Some(known) = self.known.get_mut(endpoint) else {
            return false;
        };
        let idle = now.since(known.asked);
        let wanted = if known.heard > since {
            slow && idle >= PACE_SPAN
        } else {
            idle >= ASK_SPAN
        };
        if wanted {
            known.asked = now;
        }
        wanted
    }

    /// Says whether an endpoint did not answer this VM. What other VMs say steers new requests only: a
    /// path that is left in vain is read anew elsewhere, and all of them would be left at once.
    pub fn is_down(&self, endpoint: &EndpointName) -> bool {
        let known = self.known.get(endpoint);
        known.is_some_and(|known| known.health.is_down())
    }

    /// Takes in what another VM says of an endpoint. Returns whether that is news.
    pub fn apply_mark(&mut self, now: Millis, mark: &Mark) -> bool {
        let Some(known) = self.known.get_mut(&mark.endpoint) else {
            return false;
        };
        let until = now + mark.ttl.min(MARK_SPAN);
        let old = known.pace.filter(|(_, old)| now < *old);
        if old.is_some_and(|(_, old)| old >= until) {
            return false;
        }
        known.pace = Some((mark.pace.clamp(1.0, STILL_PACE), until));
        old.is_none()
    }

    /// Returns the marks that are believed now, for other VMs.
    pub fn marks(&self, now: Millis) -> Vec<Mark> {
        let fresh = self.known.iter().filter_map(|(endpoint, known)| {
            let (pace, until) = known.pace.filter(|(_, until)| now < *until)?;
            Some(Mark {
                endpoint: endpoint.clone(),
                pace,
                ttl: until.since(now),
            })
        });
        fresh.take(MARKS).collect()
    }

    /// Returns the health of an endpoint that is known.
    pub fn health(&mut self, endpoint: &EndpointName) -> Option<&mut Health> {
        self.known.get_mut(endpoint).map(|known| &mut known.health)
    }

    /// Counts a request at an endpoint; `cells` are its tokens times layers.
    pub fn begin_request(&mut self, endpoint: &EndpointName, cells: f64) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.work.running += 1;
            known.work.cells += cells;
        }
    }

    /// Counts the end of a request that [`Self::begin`] counted.
    pub fn end_request(&mut self, endpoint: &EndpointName, cells: f64) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.work.running = known.work.running.saturating_sub(1);
            known.work.cells = (known.work.cells - cells).max(0.0);
        }
    }

    /// Returns the name of the endpoint at an address that was heard of last.
    pub fn name_at(&self, addr: SocketAddr) -> Option<EndpointName> {
        self.entry_at(addr).map(|entry| entry.endpoint.clone())
    }

    /// Returns the endpoint at an address that was heard of last.
    pub fn entry_at(&self, addr: SocketAddr) -> Option<&Entry> {
        let held = self
            .known
            .values()
            .filter(|known| known.change.entry.is_some());
        held.filter_map(|known| known.held.as_ref())
            .filter(|entry| entry.addr == addr)
            .max_by_key(|entry| entry.born)
    }
}
