//! The audit trail: who did what and what came of it, refused and stale attempts included.
//!
//! It is derived in the fold, so it is the same on every VM, and it is part of snapshots. It keeps
//! the latest entries; older ones are in the log for as long as the platform keeps its records.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::approval::Approval;
use crate::core::config::approval::ApprovalKey;
use crate::core::config::approval::Drain;
use crate::core::config::change::Change;
use crate::core::config::change::Offset;
use crate::core::config::outcome::Outcome;
use crate::core::config::plan::PlanId;
use crate::core::config::record::Body;
use crate::core::config::record::Party;
use crate::core::config::rollout::Rollout;
use crate::core::config::rollout::Step;
use crate::names::EndpointName;
use crate::names::ServiceName;

/// The most entries that are kept.
pub const MAX_AUDIT_ENTRIES: usize = 4096;
/// The most changes of objects that are kept, over all entries.
pub const MAX_AUDIT_CHANGES: usize = 8192;

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Where the record stands in the stream.
    pub offset: Offset,
    /// Who wrote it and when.
    pub author: Author,
    /// The objects with what they were before and after; `None` if the record was not looked at.
    pub subject: Option<Subject>,
    /// What came of it.
    pub outcome: Outcome,
}

/// Who wrote a record, when, and for which plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Author {
    /// Who.
    pub who: Party,
    /// When.
    pub at: Millis,
    /// The plan, where the record confirms one.
    pub plan: Option<PlanId>,
}

/// What an entry is about.
///
/// Where the outcome is not accepted, the state after is the one asked for, and not in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The changes of a plan.
    Changes(Vec<Change>),
    /// An owner's approval.
    Approval {
        /// Which.
        key: ApprovalKey,
        /// Before.
        before: Option<Approval>,
        /// After.
        after: Option<Approval>,
    },
    /// A drain.
    Drain {
        /// The endpoint.
        endpoint: EndpointName,
        /// Before.
        before: Drain,
        /// After.
        after: Drain,
    },
    /// A step of a rollout.
    Rollout {
        /// The model.
        service: ServiceName,
        /// The step.
        step: Step,
        /// Before.
        before: Option<Rollout>,
        /// After.
        after: Option<Rollout>,
    },
}

impl Subject {
    fn change_count(&self) -> usize {
        match self {
            Self::Changes(changes) => changes.len(),
            Self::Approval { .. } | Self::Drain { .. } | Self::Rollout { .. } => 1,
        }
    }
}

impl Entry {
    fn change_count(&self) -> usize {
        self.subject.as_ref().map_or(0, Subject::change_count)
    }
}

/// The latest entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Audit {
    entries: VecDeque<Entry>,
    weight: usize,
}

impl Audit {
    /// Returns the entries, the oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Adds an entry, and drops the oldest ones past the bounds.
    pub(super) fn push(&mut self, entry: Entry) {
        self.weight += entry.change_count();
        self.entries.push_back(entry);
        while self.entries.len() > MAX_AUDIT_ENTRIES || self.weight > MAX_AUDIT_CHANGES {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.weight = self.weight.saturating_sub(oldest.change_count());
        }
    }
}

impl Author {
    /// Returns the author of a record that the trail covers.
    ///
    /// Proposed plans change nothing; leases and the moves of a rollout are the daemons' own.
    pub(super) fn of(body: &Body) -> Option<Self> {
        let (who, at, plan) = match body {
            Body::Confirm(each) => (each.by.clone().into(), each.at, Some(each.plan.clone())),
            Body::Approve(each) | Body::Revoke(each) => (each.owner.clone().into(), each.at, None),
            Body::Drain(each) => (each.by.clone(), each.at, None),
            Body::Rollout(each) => (each.by.clone().into(), each.at, None),
            Body::Plan(_)
            | Body::Advance(_)
            | Body::Lease(_)
            | Body::Snapshot(_)
            | Body::Unread(_) => return None,
        };
        Some(Self { who, at, plan })
    }
}
