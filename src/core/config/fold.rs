//! The fold: how each record of the `config` stream changes a state.
//!
//! The result depends only on the state and the record, so every VM reaches the same state. A
//! record that cannot be read or is not allowed has no effect and never stops the fold.

use crate::core::config::audit::Author;
use crate::core::config::audit::Entry;
use crate::core::config::audit::Subject;
use crate::core::config::change::Change;
use crate::core::config::change::Object;
use crate::core::config::change::Offset;
use crate::core::config::content::Content;
use crate::core::config::content::Pending;
use crate::core::config::content::Recent;
use crate::core::config::content::Settled;
use crate::core::config::intent::MAX_INTENT_OBJECTS;
use crate::core::config::object::Digest;
use crate::core::config::outcome::Gap;
use crate::core::config::outcome::Outcome;
use crate::core::config::plan::MAX_PENDING_PLANS;
use crate::core::config::plan::MAX_SETTLED_PLANS;
use crate::core::config::plan::PLAN_TTL;
use crate::core::config::plan::Plan;
use crate::core::config::plan::PlanId;
use crate::core::config::record::Body;
use crate::core::config::record::Confirm;
use crate::core::config::record::MAX_RECORD_LAG;
use crate::core::config::record::Record;
use crate::core::config::rollout::Advance;
use crate::core::config::rollout::Control;
use crate::core::config::state::State;
use crate::core::config::verify::Overlay;
use crate::names::Operator;

/// The outcome of a record, with the subject of its audit entry.
#[derive(Debug)]
pub(super) struct Folded {
    pub outcome: Outcome,
    pub subject: Option<Subject>,
}

impl From<Outcome> for Folded {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            subject: None,
        }
    }
}

impl Content {
    /// Returns whether a person may act as an operator.
    ///
    /// Anyone may as long as no operator is configured, so that the first plan can be confirmed.
    /// This state never returns, since the last operator cannot be removed.
    pub(super) fn is_operator(&self, name: &Operator) -> bool {
        self.operators.is_empty() || self.operators.contains_key(name)
    }
}

impl State {
    /// Folds the record at an offset.
    ///
    /// A record that was folded before is [`Outcome::Passed`] and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns a [`Gap`], and changes nothing, if records before this one are missing.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Result<Outcome, Gap> {
        if offset < self.next {
            return Ok(Outcome::Passed);
        }
        if offset > self.next {
            return Err(Gap {
                expected: self.next,
                got: offset,
            });
        }
        self.next = offset.next();
        self.forget_recent(offset);
        Ok(self.dispatch(offset, record))
    }

    fn dispatch(&mut self, offset: Offset, record: &Record) -> Outcome {
        match &record.body {
            Body::Unread(_) => {
                self.skipped += 1;
                Outcome::Skipped
            }
            Body::Lease(_) | Body::Snapshot(_) if !is_timely(offset, record) => Outcome::Late,
            Body::Lease(request) => self.content.request_lease(offset, request),
            Body::Snapshot(_) => Outcome::Noted,
            _ => self.apply_once(offset, record),
        }
    }

    /// Folds a record that must not take effect twice or long after it was written.
    fn apply_once(&mut self, offset: Offset, record: &Record) -> Outcome {
        let digest = record.digest();
        if self.index.recent.contains(&digest) {
            return self.duplicate_outcome(&digest);
        }
        let folded = if is_timely(offset, record) {
            self.fold(offset, &record.body)
        } else {
            Outcome::Late.into()
        };
        let outcome = folded.outcome.clone();
        if outcome != Outcome::Late {
            self.remember(offset, digest, &outcome);
        }
        if let Some(author) = Author::of(&record.body) {
            self.content.audit.push(Entry {
                offset,
                author,
                subject: folded.subject,
                outcome: folded.outcome,
            });
        }
        outcome
    }

    fn fold(&mut self, offset: Offset, body: &Body) -> Folded {
        match body {
            Body::Plan(plan) => self.propose(offset, plan).into(),
            Body::Confirm(confirm) => self.confirm(offset, confirm),
            Body::Approve(consent) => self.apply_consent(consent, true),
            Body::Revoke(consent) => self.apply_consent(consent, false),
            Body::Drain(order) => self.drain(order),
            Body::Rollout(control) => self.control_rollout(offset, control),
            Body::Advance(advance) => self.advance_rollout(advance).into(),
            Body::Lease(_) | Body::Snapshot(_) | Body::Unread(_) => Outcome::Skipped.into(),
        }
    }

    fn duplicate_outcome(&self, digest: &Digest) -> Outcome {
        let mut recent = self.content.recent.iter().rev();
        match recent.find(|recent| recent.digest == *digest) {
            Some(recent) => Outcome::Duplicate {
                first: recent.at,
                accepted: recent.accepted,
            },
            None => Outcome::Late,
        }
    }

    fn remember(&mut self, at: Offset, digest: Digest, outcome: &Outcome) {
        self.index.recent.insert(digest.clone());
        self.content.recent.push_back(Recent {
            at,
            digest,
            accepted: outcome.is_accepted(),
        });
    }

    /// Forgets the records so old that a copy of them is rejected as late anyway.
    fn forget_recent(&mut self, now: Offset) {
        while let Some(oldest) = self.content.recent.front()
            && now.since(oldest.at) > MAX_RECORD_LAG
        {
            self.index.recent.remove(&oldest.digest);
            self.content.recent.pop_front();
        }
    }

    fn propose(&mut self, offset: Offset, plan: &Plan) -> Outcome {
        let content = &mut self.content;
        if !content.is_operator(&plan.by) {
            return Outcome::NotAllowed;
        }
        if plan.changes.len() > MAX_INTENT_OBJECTS || !plan.is_consistent() {
            return Outcome::Invalid;
        }
        if content.settled.contains_key(&plan.id) || content.pending.contains_key(&plan.id) {
            return Outcome::Unchanged;
        }
        if content.pending.len() >= MAX_PENDING_PLANS {
            let oldest = content.pending.iter().min_by_key(|(_, pending)| pending.at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| content.pending.remove(&id));
        }
        let pending = Pending {
            at: offset,
            plan: plan.clone(),
        };
        content.pending.insert(plan.id.clone(), pending);
        Outcome::Accepted
    }

    fn confirm(&mut self, offset: Offset, confirm: &Confirm) -> Folded {
        if !self.content.is_operator(&confirm.by) {
            return Outcome::NotAllowed.into();
        }
        if let Some(settled) = self.content.settled.get(&confirm.plan) {
            return repeated_outcome(settled).into();
        }
        let Some(pending) = self.content.pending.remove(&confirm.plan) else {
            return Outcome::UnknownPlan.into();
        };
        let mut plan = pending.plan;
        let outcome = self.check_plan(&plan, confirm);
        for change in &mut plan.changes {
            change.before = self.content.object(&change.key);
        }
        if outcome == Outcome::Accepted {
            self.commit(offset, &plan.changes);
        }
        self.settle(offset, plan.id, outcome.clone());
        Folded {
            outcome,
            subject: Some(Subject::Changes(plan.changes)),
        }
    }

    /// Checks whether a confirmed plan may take effect now.
    fn check_plan(&self, plan: &Plan, confirm: &Confirm) -> Outcome {
        if confirm.at.since(plan.at) > PLAN_TTL {
            return Outcome::Expired;
        }
        let mut bases = plan.bases.iter();
        if let Some(base) = bases.find(|base| self.content.version(&base.key) != base.version) {
            return Outcome::StalePlan {
                key: base.key.clone(),
            };
        }
        let overlay = Overlay::new(&self.content, &self.index, &plan.changes);
        match overlay.verify() {
            Ok(()) => Outcome::Accepted,
            Err(fault) => Outcome::Conflict(fault),
        }
    }

    fn settle(&mut self, at: Offset, id: PlanId, outcome: Outcome) {
        let settled = &mut self.content.settled;
        if settled.len() >= MAX_SETTLED_PLANS {
            let oldest = settled.iter().min_by_key(|(_, plan)| plan.at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| settled.remove(&id));
        }
        settled.insert(id, Settled { at, outcome });
    }

    /// Applies the changes of a confirmed plan.
    fn commit(&mut self, offset: Offset, changes: &[Change]) {
        self.content.prune_approvals(changes);
        for before in changes.iter().filter_map(|change| change.before.as_ref()) {
            self.index.remove(before);
        }
        for change in changes {
            match &change.after {
                Some(after) => {
                    self.index.add(after);
                    self.content.put(offset, after.clone());
                }
                None => self.content.remove(&change.key),
            }
        }
        for change in changes {
            self.update_rollout(offset, change);
        }
    }

    /// Opens a rollout for a new model version, or pins a new endpoint, after an applied change.
    fn update_rollout(&mut self, offset: Offset, change: &Change) {
        match (&change.before, &change.after) {
            (Some(Object::Service(before)), Some(Object::Service(after))) => {
                self.content.open_rollout(offset, before, after);
            }
            (Some(Object::Endpoint(before)), Some(Object::Endpoint(after)))
                if before.service == after.service
                    && self.content.pins.contains_key(&after.name) => {}
            (_, Some(Object::Endpoint(after))) => self.content.pin(after),
            _ => {}
        }
    }

    fn control_rollout(&mut self, offset: Offset, control: &Control) -> Folded {
        let before = self.rollout(&control.service).cloned();
        let outcome = self.content.control_rollout(offset, control);
        let after = self.rollout(&control.service).cloned();
        Folded {
            outcome,
            subject: Some(Subject::Rollout {
                service: control.service.clone(),
                step: control.step,
                before,
                after,
            }),
        }
    }

    fn advance_rollout(&mut self, advance: &Advance) -> Outcome {
        let serving = self.index.serving.get(&advance.service);
        let names = serving.into_iter().flat_map(|serving| serving.values());
        let endpoints = names.flatten().cloned().collect();
        self.content.advance_rollout(advance, &endpoints)
    }
}

/// Returns whether at most [`MAX_RECORD_LAG`] records were appended between the writing of this
/// record and its place in the log. A record that names an offset after its own is rejected too.
fn is_timely(offset: Offset, record: &Record) -> bool {
    offset >= record.seen && offset.since(record.seen) <= MAX_RECORD_LAG
}

/// Returns the outcome of another confirmation of a settled plan.
fn repeated_outcome(settled: &Settled) -> Outcome {
    if settled.outcome == Outcome::Accepted {
        Outcome::AlreadyAccepted { first: settled.at }
    } else {
        settled.outcome.clone()
    }
}
