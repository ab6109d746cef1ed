//! The decision which parts of prompts are guilty of crashes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::poison::history::BAR_TTL;
use crate::core::poison::part::PartDigest;
use crate::names::EndpointName;

/// The maximum number of crashes kept for one part; further ones would not change the verdict.
pub const MAX_CRASHES: usize = 8;
/// The number of crashes that bar a part if no other part explains them as well.
pub const CLEAR_VERDICT: usize = 3;
/// The number of crashes that bar a part although another part was present as often (the users'
/// rule on repeats).
pub const TIED_VERDICT: usize = 5;
/// How long after a surviving run crashes do not count against its parts: clocks of VMs differ, and
/// a part does not turn harmful within seconds.
const SURVIVAL_SPAN: Millis = Millis::seconds(2);

/// A crash of an endpoint right after it began to answer a request with a part.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartCrash {
    /// When the crash was detected, by the clock of the VM that detected it first.
    pub at: Millis,
    /// The endpoint that crashed.
    pub endpoint: EndpointName,
    /// The boot id of the crashed process. With the endpoint it identifies the crash, whichever VM
    /// detected it.
    pub boot: u64,
}

impl PartCrash {
    fn is_same_crash(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.boot == other.boot
    }
}

/// The crashes under a part, and its latest surviving run. VMs merge their copies in any order and
/// any number of times with the same result: of each crash and of the survival the extreme time is
/// kept, and of the crashes the first [`MAX_CRASHES`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartHistory {
    crashes: Vec<PartCrash>,
    /// When a run with the part last survived its start, or 0 if none has.
    survived: Millis,
}

impl PartHistory {
    /// Returns the crashes, the first one first.
    #[must_use]
    pub fn crashes(&self) -> &[PartCrash] {
        &self.crashes
    }

    /// Adds a crash; of two records of the same crash the earlier one is kept.
    pub fn add(&mut self, crash: PartCrash) {
        match self.crashes.iter_mut().find(|c| c.is_same_crash(&crash)) {
            Some(known) => known.at = known.at.min(crash.at),
            None => self.crashes.push(crash),
        }
        self.crashes.sort();
        self.crashes.truncate(MAX_CRASHES);
    }

    /// Records a run that survived; returns whether that clears the part of more crashes than
    /// before.
    pub fn clear(&mut self, at: Millis) -> bool {
        let before = self.count_cleared();
        let was_proven = self.survived > Millis(0);
        let known = self.survived;
        self.survived = known.max(at);
        if self.count_cleared() > before || was_proven != (self.survived > Millis(0)) {
            return true;
        }
        self.survived = known;
        false
    }

    /// Merges the history that another VM holds; returns whether this one changed.
    pub fn merge(&mut self, other: Self) -> bool {
        let before = self.clone();
        self.survived = self.survived.max(other.survived);
        for crash in other.crashes {
            self.add(crash);
        }
        *self != before
    }

    /// Returns whether a surviving run clears the part here and not in another VM's history.
    #[must_use]
    pub fn clears_more_than(&self, other: &Self) -> bool {
        self.count_cleared() > other.count_cleared()
            || other.survived == Millis(0) && self.survived > Millis(0)
    }

    /// Returns the time of the latest crash or surviving run.
    #[must_use]
    pub fn newest(&self) -> Millis {
        self.last_crash().max(self.survived)
    }

    fn last_crash(&self) -> Millis {
        self.crashes.last().map_or(Millis(0), |crash| crash.at)
    }

    fn is_cleared_of(&self, crash: &PartCrash) -> bool {
        self.survived > Millis(0) && crash.at < self.survived + SURVIVAL_SPAN
    }

    fn count_cleared(&self) -> usize {
        let cleared = self
            .crashes
            .iter()
            .filter(|crash| self.is_cleared_of(crash));
        cleared.count()
    }
}

/// That requests with a part may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartBar {
    /// When the bar ends.
    pub until: Millis,
    /// The time of the latest crash.
    pub last: Millis,
    /// The crashes that the part explains.
    pub crashes: usize,
    /// Whether no other part can be guilty of one of the crashes.
    pub is_certain: bool,
}

/// A part that may be guilty of a crash.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    part: PartDigest,
    /// Whether no run with the part has ever survived.
    is_unproven: bool,
}

/// What speaks against a part.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    /// The crashes that no other part explains better.
    top: usize,
    /// The crashes that every other part explains worse.
    sole_top: usize,
    /// Whether it is the only candidate of a crash.
    is_certain: bool,
}

/// Returns the parts that are guilty of crashes, under load in which every crash also ends the runs
/// of many harmless requests.
///
/// A crash is explained by the parts of the requests that had just begun there, without those that
/// survived in a run at about that time or later; if some of them never survived, by these only.
/// The part present at most crashes explains a crash best. [`CLEAR_VERDICT`] crashes that a part
/// explains better than all others bar it, and so do [`TIED_VERDICT`] that none explains better.
#[must_use]
pub fn find_bars(entries: &BTreeMap<PartDigest, PartHistory>) -> BTreeMap<PartDigest, PartBar> {
    let mut crashes: BTreeMap<(&EndpointName, u64), Vec<Candidate>> = BTreeMap::new();
    for (part, history) in entries {
        let open = history.crashes.iter();
        for crash in open.filter(|crash| !history.is_cleared_of(crash)) {
            let candidates = crashes.entry((&crash.endpoint, crash.boot)).or_default();
            candidates.push(Candidate {
                part: *part,
                is_unproven: history.survived == Millis(0),
            });
        }
    }
    let mut counts: BTreeMap<PartDigest, usize> = BTreeMap::new();
    for candidates in crashes.values_mut() {
        if candidates.iter().any(|candidate| candidate.is_unproven) {
            candidates.retain(|candidate| candidate.is_unproven);
        }
        for candidate in candidates {
            *counts.entry(candidate.part).or_default() += 1;
        }
    }
    let mut found: BTreeMap<PartDigest, Evidence> = BTreeMap::new();
    for candidates in crashes.values() {
        let count = |candidate: &&Candidate| counts[&candidate.part];
        let most = candidates.iter().map(|c| count(&c)).max().unwrap_or(0);
        let best: Vec<&Candidate> = candidates.iter().filter(|c| count(c) == most).collect();
        for candidate in &best {
            let evidence = found.entry(candidate.part).or_default();
            evidence.top += 1;
            evidence.sole_top += usize::from(best.len() == 1);
            evidence.is_certain |= candidates.len() == 1;
        }
    }
    let guilty = found
        .into_iter()
        .filter(|(_, evidence)| evidence.sole_top >= CLEAR_VERDICT || evidence.top >= TIED_VERDICT);
    guilty
        .map(|(part, evidence)| (part, bar(&entries[&part], evidence)))
        .collect()
}

fn bar(history: &PartHistory, evidence: Evidence) -> PartBar {
    let last = history.last_crash();
    PartBar {
        until: last + BAR_TTL,
        last,
        crashes: evidence.top,
        is_certain: evidence.is_certain,
    }
}
