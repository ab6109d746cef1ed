//! Decides whether this daemon is in contact with a majority of the fleet.

use std::collections::BTreeSet;

use super::Members;
use super::is_recent;
use super::table::Entry;
use crate::clock::Millis;
use crate::names::Domain;

/// Whether this daemon is in contact with most of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It is in contact with more than half of the failure domains and of the VMs.
    Majority,
    /// It is in contact with half or less of either, or no peer answered recently.
    Minority,
}

/// How many of a total were reached.
#[derive(Clone, Copy, Debug)]
struct Fraction {
    part: usize,
    total: usize,
}

impl Fraction {
    fn is_majority(self) -> bool {
        self.part * 2 > self.total
    }
}

impl Members {
    pub(super) fn compute_reach(&self, now: Millis) -> Reach {
        if self.table.is_empty() {
            return Reach::Majority;
        }
        let answered = self.last_answer.is_some_and(|at| is_recent(now, at));
        let domains = self.domains_reached(now);
        let vms = self.vms_reached();
        if answered && domains.is_majority() && vms.is_majority() {
            Reach::Majority
        } else {
            Reach::Minority
        }
    }

    fn domains_reached(&self, now: Millis) -> Fraction {
        let mine = &self.me.member.domain;
        let mut known: BTreeSet<&Domain> = BTreeSet::from([mine]);
        known.extend(self.counted().map(|entry| &entry.rumour.member.domain));
        let heard = |domain: &Domain| {
            self.contacts
                .get(domain)
                .is_some_and(|at| is_recent(now, *at))
        };
        let reached = known
            .iter()
            .filter(|domain| **domain == mine || heard(domain));
        Fraction {
            part: reached.count(),
            total: known.len(),
        }
    }

    fn vms_reached(&self) -> Fraction {
        Fraction {
            part: 1 + self.counted().filter(|entry| entry.is_live()).count(),
            total: 1 + self.counted().count(),
        }
    }

    fn counted(&self) -> impl Iterator<Item = &Entry> {
        self.table.values().filter(|entry| entry.is_counted())
    }
}
