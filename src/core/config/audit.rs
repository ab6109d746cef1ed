//! The audit trail: who did what, with which outcome. It includes refused and stale attempts.
//!
//! The fold derives it from the log, so it is the same on every VM, and it is part of snapshots. It
//! keeps only the latest entries. Older ones can be read from the log while the platform retains
//! its records.

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

/// The maximum number of entries. The oldest are dropped first.
pub const MAX_AUDIT_ENTRIES: usize = 4096;
/// The maximum number of object changes over all entries. The oldest entries are dropped first.
pub const MAX_AUDIT_CHANGES: usize = 8192;

/// The audit entry of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The offset of the record in the stream.
    pub offset: Offset,
    /// Who caused the record, when, and for which plan.
    pub author: Author,
    /// What the record changes; `None` if it was rejected before that was looked up.
    pub subject: Option<Subject>,
    /// The effect of the record.
    pub outcome: Outcome,
}

/// Who caused a record, when, and for which plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Author {
    /// The operator or owner who acted.
    pub who: Party,
    /// The time of the action, by the clock of the VM that wrote the record.
    pub at: Millis,
    /// The confirmed plan; `None` if the record is not a confirmation.
    pub plan: Option<PlanId>,
}

/// The change that an entry records, with the values before and after it.
///
/// If the outcome is not accepted, `after` is the requested value, which did not take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The changes of a confirmed plan.
    Changes(Vec<Change>),
    /// An approval by an owner, or its revocation.
    Approval {
        /// The team, service and owner.
        key: ApprovalKey,
        /// The approval before; `None` if there was none.
        before: Option<Approval>,
        /// The approval after; `None` if it is revoked.
        after: Option<Approval>,
    },
    /// The start or end of a drain.
    Drain {
        /// The drained endpoint.
        endpoint: EndpointName,
        /// Who drained it before.
        before: Drain,
        /// Who drains it after.
        after: Drain,
    },
    /// An operator's command to a rollout.
    Rollout {
        /// The model that is rolled out.
        service: ServiceName,
        /// The command.
        step: Step,
        /// The rollout before; `None` if the model has none.
        before: Option<Rollout>,
        /// The rollout after; `None` if the model has none.
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

/// The latest entries of the audit trail.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Audit {
    entries: VecDeque<Entry>,
    weight: usize,
}

impl Audit {
    /// Returns the entries, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Adds an entry and drops the oldest ones above the limits.
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
    /// Returns the author of a record, or `None` if the audit trail does not cover its kind.
    ///
    /// Plans are not covered because proposing one changes nothing. Leases and advances of rollouts
    /// are not covered because daemons write them by themselves.
    pub(super) fn of(body: &Body) -> Option<Self> {
        let (who, at, plan) = match body {
            Body::Confirm(confirm) => (
                confirm.by.clone().into(),
                confirm.at,
                Some(confirm.plan.clone()),
            ),
            Body::Approve(consent) | Body::Revoke(consent) => {
                (consent.owner.clone().into(), consent.at, None)
            }
            Body::Drain(order) => (order.by.clone(), order.at, None),
            Body::Rollout(control) => (control.by.clone().into(), control.at, None),
            Body::Plan(_)
            | Body::Advance(_)
            | Body::Lease(_)
            | Body::Snapshot(_)
            | Body::Unread(_) => return None,
        };
        Some(Self { who, at, plan })
    }
}
