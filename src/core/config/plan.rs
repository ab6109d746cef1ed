//! Plans: the changes that an intent would make, the object versions they are based on, and their
//! effects.

use std::collections::BTreeSet;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::change::Change;
use crate::core::config::change::Key;
use crate::core::config::change::Object;
use crate::core::config::change::Offset;
use crate::core::config::check::Fault;
use crate::core::config::content::Content;
use crate::core::config::effect;
use crate::core::config::effect::Effect;
use crate::core::config::encoding::canonical;
use crate::core::config::intent::Intent;
use crate::core::config::object::Digest;
use crate::core::config::record::Body;
use crate::core::config::record::MAX_RECORD_BYTES;
use crate::core::config::record::Record;
use crate::core::config::state::State;
use crate::core::config::verify::Overlay;
use crate::names::Operator;

/// The time within which a plan must be confirmed.
pub const PLAN_TTL: Millis = Millis::seconds(3600);
/// The maximum number of unconfirmed plans. A new plan evicts the oldest.
pub const MAX_PENDING_PLANS: usize = 64;
/// The maximum number of settled plans that are remembered. A new one evicts the oldest.
pub const MAX_SETTLED_PLANS: usize = 4096;

/// The id of a plan: the digest of its author, time, changes and base versions.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PlanId(pub Digest);

/// The changes that an intent would make, for an operator to review and confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The id that a confirmation names.
    pub id: PlanId,
    /// The operator who submitted the intent.
    pub by: Operator,
    /// The time at which the plan was computed.
    pub at: Millis,
    /// The changes; empty if the configuration already matches the intent.
    pub changes: Vec<Change>,
    /// The versions of the changed objects when the plan was computed, in the order of `changes`.
    pub bases: Vec<Base>,
    /// The effects of the changes on callers and capacity, for the operator to read.
    pub effects: Vec<Effect>,
}

/// The version of an object when a plan was computed. If it has changed since, the plan is stale.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Base {
    /// The changed object.
    pub key: Key,
    /// Its version, or `None` if it did not exist.
    pub version: Option<Offset>,
}

/// The reason why no plan could be computed for an intent.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum PlanError {
    /// An object is invalid or conflicts with the rest of the configuration.
    Invalid(Fault),
    /// The record of the plan would exceed [`MAX_RECORD_BYTES`].
    #[display("the plan has {bytes} bytes, more than {MAX_RECORD_BYTES}: split the intent")]
    #[from(skip)]
    TooLarge {
        /// The size of the record, in bytes.
        bytes: usize,
    },
    /// The author is not an operator.
    #[display("{by} is not an operator")]
    #[from(skip)]
    NotAllowed {
        /// The person who submitted the intent.
        by: Operator,
    },
}

/// The fields of a plan that its id covers.
#[derive(Serialize)]
struct Identity<'a> {
    by: &'a Operator,
    at: Millis,
    changes: &'a [Change],
    bases: &'a [Base],
}

impl Plan {
    /// Computes the id from the content of the plan.
    pub fn compute_id(&self) -> PlanId {
        let identity = Identity {
            by: &self.by,
            at: self.at,
            changes: &self.changes,
            bases: &self.bases,
        };
        PlanId(Digest::of(canonical(&identity)))
    }

    /// Returns whether the id matches the content, and `changes` and `bases` name the same objects
    /// without duplicates.
    pub(super) fn is_consistent(&self) -> bool {
        let changed: Vec<&Key> = self.changes.iter().map(|change| &change.key).collect();
        let based: Vec<&Key> = self.bases.iter().map(|base| &base.key).collect();
        let distinct: BTreeSet<&Key> = changed.iter().copied().collect();
        let keys_match = self.changes.iter().all(|change| {
            let after = change.after.as_ref();
            after.is_none_or(|object| object.key() == change.key)
        });
        keys_match
            && changed == based
            && distinct.len() == changed.len()
            && self.id == self.compute_id()
    }
}

impl State {
    /// Computes the plan for an intent. The state does not change.
    ///
    /// # Errors
    ///
    /// Returns a [`PlanError`] if the author is not an operator, if an object is invalid, or if the
    /// plan does not fit into a record.
    pub fn plan(&self, now: Millis, by: &Operator, intent: &Intent) -> Result<Plan, PlanError> {
        let content = self.content();
        if !content.is_operator(by) {
            return Err(PlanError::NotAllowed { by: by.clone() });
        }
        intent.check()?;
        let changes = changes(content, intent);
        let overlay = Overlay::new(content, self.index(), &changes);
        overlay.verify()?;
        let effects = effect::effects(self, &overlay, &changes);
        let mut plan = Plan {
            id: PlanId(Digest::of("")),
            by: by.clone(),
            at: now,
            bases: bases(content, &changes),
            effects,
            changes,
        };
        plan.id = plan.compute_id();
        check_size(plan, self.next())
    }
}

fn check_size(plan: Plan, seen: Offset) -> Result<Plan, PlanError> {
    let record = Record::new(seen, plan);
    let bytes = record.encode().len();
    match record.body {
        Body::Plan(plan) if bytes <= MAX_RECORD_BYTES => Ok(plan),
        _ => Err(PlanError::TooLarge { bytes }),
    }
}

fn changes(content: &Content, intent: &Intent) -> Vec<Change> {
    let wanted = intent.objects().into_iter();
    let wanted = wanted.map(|object| (object.key(), Some(object)));
    let removed = intent.removed().into_iter().map(|key| (key, None));
    let all = wanted.chain(removed);
    let all = all.map(|(key, after): (Key, Option<Object>)| Change {
        before: content.object(&key),
        key,
        after,
    });
    all.filter(|change| change.before != change.after).collect()
}

fn bases(content: &Content, changes: &[Change]) -> Vec<Base> {
    let bases = changes.iter().map(|change| Base {
        version: content.version(&change.key),
        key: change.key.clone(),
    });
    bases.collect()
}
