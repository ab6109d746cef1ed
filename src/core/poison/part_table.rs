//! The parts of prompts under which endpoints crashed, and which of them are barred.
//!
//! A crash shows only that one of the requests that had just begun on the endpoint may be guilty, and
//! a request only that one of its parts may be. The guilty part is found by comparing crashes: it
//! is present at each of its crashes and never in a run that survives its start. All VMs exchange
//! both kinds of observations, so they reach the same verdicts (docs/operators/barred-requests.md).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;
use std::ops::Bound;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::poison::history::BAR_TTL;
use crate::core::poison::history::SUSPECT_TTL;
use crate::core::poison::part::PartDigest;
use crate::core::poison::verdict::MAX_CRASHES;
use crate::core::poison::verdict::PartBar;
use crate::core::poison::verdict::PartCrash;
use crate::core::poison::verdict::PartHistory;
use crate::core::poison::verdict::find_bars;

/// The maximum number of parts whose crashes are kept.
const MAX_ENTRIES: usize = 1024;
/// The number of surviving parts after which the older ones start to be forgotten.
const MAX_SURVIVORS: usize = 2048;
/// The records that each message repeats.
const REPEATS: usize = 2;
/// How far a peer's clock may be ahead; records from further in the future are ignored.
const MAX_CLOCK_SKEW: Millis = Millis::seconds(60);
/// How long after its last crash a part with an uncertain bar may be tried.
const TRIAL_DELAY: Millis = Millis::seconds(1);
/// The pause between two trials.
const TRIAL_INTERVAL: Millis = Millis::seconds(5);
/// The most trials of a part. A guilty one crashes an endpoint each time.
const MAX_TRIALS: u32 = 2;

/// What one VM knows about one part, as it is sent to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartRecord {
    /// Identifies the part.
    pub part: PartDigest,
    /// Its crashes and its latest surviving run.
    pub history: PartHistory,
}

/// The bars that began and ended since they were last asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BarChanges {
    /// The parts that are barred now, with their bars.
    pub begun: Vec<(PartDigest, PartBar)>,
    /// The parts that are not barred any more.
    pub ended: Vec<PartDigest>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Trials {
    count: u32,
    last: Millis,
}

/// The parts under which endpoints crashed, as far as one VM knows.
#[derive(Debug, Default)]
pub struct PartTable {
    entries: BTreeMap<PartDigest, PartHistory>,
    bars: BTreeMap<PartDigest, PartBar>,
    /// When this VM last saw a run with a part survive, in two generations of bounded size.
    survivors: [BTreeMap<PartDigest, Millis>; 2],
    trials: BTreeMap<PartDigest, Trials>,
    /// The parts whose history changed since it was last sent to peers.
    unsent: BTreeSet<PartDigest>,
    /// The parts that are barred or were until a surviving run cleared them. Other VMs may still bar
    /// the latter.
    accused: BTreeSet<PartDigest>,
    /// The last part that was sent in turn.
    cursor: Option<PartDigest>,
    /// The bars that were known when changes were last asked for.
    reported: BTreeSet<PartDigest>,
}

impl PartTable {
    /// Returns how long a part is still barred; `None` if it may run.
    #[must_use]
    pub fn barred_for(&self, now: Millis, part: PartDigest) -> Option<Millis> {
        let bar = self.bars.get(&part)?;
        Some(bar.until.since(now)).filter(|left| *left > Millis(0))
    }

    /// Returns whether a barred part explains the crash of an endpoint, so that the other requests
    /// that ran there are not to blame.
    #[must_use]
    pub fn explains(&self, endpoint: &str, boot: u64) -> bool {
        self.bars.keys().any(|part| {
            let crashes = self.entries.get(part).map(PartHistory::crashes);
            let mut crashes = crashes.into_iter().flatten();
            crashes.any(|crash| *crash.endpoint == *endpoint && crash.boot == boot)
        })
    }

    /// Records that an endpoint crashed right after it began to answer a request with these parts.
    pub fn record_crash(&mut self, now: Millis, parts: &[PartDigest], crash: &PartCrash) {
        for part in parts {
            let mut history = PartHistory::default();
            history.add(crash.clone());
            let part = *part;
            self.merge_record(now, PartRecord { part, history });
        }
        self.judge();
    }

    /// Records that a run with these parts survived its start, so that none of them crashes the
    /// endpoints.
    pub fn record_survival(&mut self, now: Millis, parts: &[PartDigest]) {
        let mut changed = false;
        for part in parts {
            self.remember(now, *part);
            if let Some(entry) = self.entries.get_mut(part)
                && entry.clear(now)
            {
                self.unsent.insert(*part);
                changed = true;
            }
        }
        if changed {
            self.judge();
        }
    }

    /// Merges the records of another VM or of the store.
    pub fn merge(&mut self, now: Millis, records: Vec<PartRecord>) {
        let mut changed = false;
        for record in records {
            changed |= self.merge_record(now, record);
        }
        if changed {
            self.judge();
        }
    }

    /// Returns whether records changed that [`Self::next_records`] has not returned yet.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Returns up to `limit` changed records, those with the most crashes first, and then the next
    /// two parts in turn that are or were barred, to make up for lost messages and for VMs that
    /// started meanwhile.
    pub fn next_records(&mut self, limit: usize) -> Vec<PartRecord> {
        let crashes = |part: &PartDigest| self.entries.get(part).map_or(0, |e| e.crashes().len());
        let mut parts: Vec<PartDigest> = self.unsent.iter().copied().collect();
        parts.sort_by_key(|part| usize::MAX - crashes(part));
        parts.truncate(limit);
        for part in &parts {
            self.unsent.remove(part);
        }
        for _ in 0..REPEATS {
            self.cursor = self.next_in_turn();
            parts.extend(self.cursor.filter(|part| !parts.contains(part)));
        }
        parts
            .into_iter()
            .filter_map(|part| self.record(part))
            .collect()
    }

    /// Returns the part after the last one sent in turn, of those that are or were barred here.
    fn next_in_turn(&self) -> Option<PartDigest> {
        let from = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.accused.range((from, Bound::Unbounded));
        later.chain(&self.accused).next().copied()
    }

    /// Returns what this VM knows about a part; `None` if no endpoint crashed under it.
    #[must_use]
    pub fn record(&self, part: PartDigest) -> Option<PartRecord> {
        let history = self.entries.get(&part)?.clone();
        Some(PartRecord { part, history })
    }

    /// Returns the barred parts.
    pub fn barred(&self) -> impl Iterator<Item = PartDigest> {
        self.bars.keys().copied()
    }

    /// Returns the bars that began and ended since the last call.
    pub fn take_changes(&mut self) -> BarChanges {
        let known = mem::replace(&mut self.reported, self.bars.keys().copied().collect());
        let begun = self.bars.iter().filter(|(part, _)| !known.contains(part));
        let ended = known.iter().filter(|part| !self.bars.contains_key(part));
        BarChanges {
            begun: begun.map(|(part, bar)| (*part, *bar)).collect(),
            ended: ended.copied().collect(),
        }
    }

    /// Returns whether a request with a barred part may run all the same, and counts that trial.
    ///
    /// While no run survives, as after a restart of all VMs, a harmless part that is present at
    /// each crash can't be told from the guilty one. Both are barred, so nothing would ever clear
    /// the harmless one. Only the VM that is the part's home may ask, which keeps the trials of a
    /// guilty part few.
    pub fn begin_trial(&mut self, now: Millis, part: PartDigest) -> bool {
        let Some(bar) = self.bars.get(&part).filter(|bar| !bar.is_certain) else {
            return false;
        };
        let trials = self.trials.entry(part).or_default();
        let is_due = now >= bar.last + TRIAL_DELAY && now >= trials.last + TRIAL_INTERVAL;
        if !is_due || trials.count >= MAX_TRIALS {
            return false;
        }
        trials.count += 1;
        trials.last = now;
        true
    }

    /// Gives back a trial whose request reached no endpoint; the next one is due after the usual pause.
    pub fn return_trial(&mut self, part: PartDigest) {
        if let Some(trials) = self.trials.get_mut(&part) {
            trials.count = trials.count.saturating_sub(1);
        }
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Millis) {
        let bars = &self.bars;
        self.entries.retain(|part, history| {
            let ttl = if bars.contains_key(part) {
                BAR_TTL
            } else {
                SUSPECT_TTL
            };
            now < history.newest() + ttl
        });
        let entries = &self.entries;
        self.trials.retain(|part, _| entries.contains_key(part));
        self.accused.retain(|part| entries.contains_key(part));
        self.judge();
    }

    fn judge(&mut self) {
        self.bars = find_bars(&self.entries);
        self.accused.extend(self.bars.keys());
    }

    /// Merges a record; returns whether that changed what this VM knows.
    fn merge_record(&mut self, now: Millis, record: PartRecord) -> bool {
        let PartRecord { part, history } = record;
        let is_valid = history.crashes().len() <= MAX_CRASHES && !history.crashes().is_empty();
        if !is_valid || history.newest() > now + MAX_CLOCK_SKEW {
            return false;
        }
        if !self.entries.contains_key(&part) && !self.make_room(&history) {
            return false;
        }
        let survived = self.last_survival(part);
        let entry = self.entries.entry(part).or_default();
        let mut changed = entry.merge(history.clone());
        changed |= entry.clear(survived);
        // A sender that still blames the part missed the message that clears it.
        if changed || entry.clears_more_than(&history) {
            self.unsent.insert(part);
        }
        changed
    }

    /// Makes room for a part if the table is full: removes the one with the fewest crashes, the
    /// oldest of these, unless that is the new one; returns whether there is room. Barred parts
    /// are kept.
    fn make_room(&mut self, new: &PartHistory) -> bool {
        if self.entries.len() < MAX_ENTRIES {
            return true;
        }
        let weight = |history: &PartHistory| (history.crashes().len(), history.newest());
        let others = self.entries.iter();
        let others = others.filter(|(part, _)| !self.accused.contains(part));
        let least = others.min_by_key(|(_, history)| weight(history));
        let Some((part, _)) = least.filter(|(_, history)| weight(history) <= weight(new)) else {
            return false;
        };
        let part = *part;
        self.entries.remove(&part);
        self.unsent.remove(&part);
        true
    }

    fn remember(&mut self, now: Millis, part: PartDigest) {
        let [current, previous] = &mut self.survivors;
        if current.len() >= MAX_SURVIVORS {
            *previous = mem::take(current);
        }
        current.insert(part, now);
    }

    /// Returns when this VM last saw a run with a part survive, or 0 if it does not know of any.
    fn last_survival(&self, part: PartDigest) -> Millis {
        let times = self.survivors.iter().filter_map(|known| known.get(&part));
        times.max().copied().unwrap_or_default()
    }
}
