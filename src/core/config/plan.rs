//! Plans: what an intent would change, by what versions, and with what effects.

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

/// How long a plan may wait for its confirmation.
pub const PLAN_TTL: Millis = Millis::seconds(3600);
/// The most plans that wait for confirmation; the oldest makes room.
pub const MAX_PENDING_PLANS: usize = 64;
/// The most settled plans that are remembered; the oldest makes room.
pub const MAX_SETTLED_PLANS: usize = 4096;

/// The id of a plan: the digest of its content.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PlanId(pub Digest);

/// What an intent would change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The id, by which it is confirmed.
    pub id: PlanId,
    /// Who asked for it.
    pub by: Operator,
    /// When it was made.
    pub at: Millis,
    /// The changes; none if all is as wanted already.
    pub changes: Vec<Change>,
    /// The versions that the changed objects stood at.
    pub bases: Vec<Base>,
    /// What the changes would bring about, for the operator to read.
    pub effects: Vec<Effect>,
}

/// The version that an object stood at when a plan was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Base {
    /// The object.
    pub key: Key,
    /// Its version, or `None` if it did not exist.
    pub version: Option<Offset>,
}

/// Why there is no plan for an intent.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum PlanError {
    /// An object is not valid, by itself or beside the others.
    Invalid(Fault),
    /// The plan would exceed the largest record; split the intent.
    #[display("the plan has {bytes} bytes, more than {MAX_RECORD_BYTES}: split the intent")]
    #[from(skip)]
    TooLarge {
        /// The size of the plan's record.
        bytes: usize,
    },
    /// The author is not an operator.
    #[display("{by} is not an operator")]
    #[from(skip)]
    NotAllowed {
        /// The author.
        by: Operator,
    },
}

/// What the id of a plan is the digest of.
#[derive(Serialize)]
struct Identity<'a> {
    by: &'a Operator,
    at: Millis,
    changes: &'a [Change],
    bases: &'a [Base],
}

impl Plan {
    /// Returns the id that the plan's content gives.
    pub fn compute_id(&self) -> PlanId {
        let identity = Identity {
            by: &self.by,
            at: self.at,
            changes: &self.changes,
            bases: &self.bases,
        };
        PlanId(Digest::of(canonical(&identity)))
    }

    /// Says whether the plan is what a VM would have made: its id fits, and so do its bases.
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
    /// Returns the plan that would bring an intent about. It changes nothing.
    ///
    /// # Errors
    ///
    /// Returns a [`PlanError`] if the author may not plan, if an object is not valid, or if the
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
