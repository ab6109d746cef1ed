//! Approvals by owners, and drains by owners and operators.
//!
//! A grant lets a team call those endpoints of a service whose owner approved the team. Only the
//! owner can approve; a record of an operator never does (docs/operators/plan-and-confirm.md).

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::core::config::audit::Subject;
use crate::core::config::change::Change;
use crate::core::config::change::Object;
use crate::core::config::content::Content;
use crate::core::config::fold::Folded;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Grant;
use crate::core::config::outcome::Outcome;
use crate::core::config::record::Consent;
use crate::core::config::record::DrainOrder;
use crate::core::config::record::Party;
use crate::core::config::state::State;
use crate::names::EndpointName;
use crate::names::Owner;
use crate::names::ServiceName;
use crate::names::Team;

/// The key of an approval. The order of the fields makes the approvals of one grant a contiguous
/// range of the map.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApprovalKey {
    /// The team that may call the owner's endpoints.
    pub team: Team,
    /// The service that the team has a grant to.
    pub service: ServiceName,
    /// The owner who approved.
    pub owner: Owner,
}

/// The endpoints of an owner that a team is approved for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Approval {
    /// All endpoints of the owner that serve the service, including those added later.
    All,
    /// Only the listed endpoints.
    Only(BTreeSet<EndpointName>),
}

impl Approval {
    /// Returns whether the approval covers an endpoint of the owner.
    pub fn covers(&self, endpoint: &EndpointName) -> bool {
        match self {
            Self::All => true,
            Self::Only(names) => names.contains(endpoint),
        }
    }
}

/// Who drains an endpoint. Each party can lift only its own drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Whether an operator drains it.
    pub operator: bool,
    /// Whether the owner drains it.
    pub owner: bool,
}

impl Drain {
    /// Returns whether any party drains the endpoint.
    #[must_use]
    pub const fn is_set(self) -> bool {
        self.operator || self.owner
    }
}

/// The grants, owners and endpoints that changes remove and that approvals may refer to.
#[derive(Debug, Default)]
struct Removed<'a> {
    grants: BTreeSet<(&'a Team, &'a ServiceName)>,
    owners: BTreeSet<&'a Owner>,
    endpoints: BTreeSet<(&'a Owner, &'a ServiceName, &'a EndpointName)>,
}

impl<'a> Removed<'a> {
    fn of(changes: &'a [Change]) -> Self {
        let mut removed = Self::default();
        for change in changes {
            match (&change.before, &change.after) {
                (Some(Object::Grant(grant)), None) => {
                    removed.grants.insert((&grant.team, &grant.service));
                }
                (Some(Object::Owner(owner)), None) => {
                    removed.owners.insert(&owner.name);
                }
                (Some(Object::Endpoint(old)), Some(Object::Endpoint(new)))
                    if old.owner == new.owner && old.service == new.service => {}
                (Some(Object::Endpoint(old)), _) => {
                    let endpoint = (&old.owner, &old.service, &old.name);
                    removed.endpoints.insert(endpoint);
                }
                _ => {}
            }
        }
        removed
    }

    fn is_empty(&self) -> bool {
        self.grants.is_empty() && self.owners.is_empty() && self.endpoints.is_empty()
    }

    /// Removes obsolete endpoints from an approval. Returns whether the approval still covers any.
    fn prune(&self, key: &ApprovalKey, approval: &mut Approval) -> bool {
        if self.owners.contains(&key.owner) || self.grants.contains(&(&key.team, &key.service)) {
            return false;
        }
        let Approval::Only(names) = approval else {
            return true;
        };
        names.retain(|name| !self.endpoints.contains(&(&key.owner, &key.service, name)));
        !names.is_empty()
    }
}

impl Content {
    /// Returns the approvals for a grant, by owner.
    pub(super) fn approvals_of(
        &self,
        team: &Team,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&ApprovalKey, &Approval)> + use<'_> {
        let first = ApprovalKey {
            team: team.clone(),
            service: service.clone(),
            owner: Owner::from(""),
        };
        let range = self.approvals.range(first.clone()..);
        range.take_while(move |(key, _)| key.team == first.team && key.service == first.service)
    }

    /// Returns whether the owner approved the team for the endpoint.
    pub(super) fn is_approved(&self, team: &Team, endpoint: &Endpoint) -> bool {
        let key = ApprovalKey {
            team: team.clone(),
            service: endpoint.service.clone(),
            owner: endpoint.owner.clone(),
        };
        let approval = self.approvals.get(&key);
        approval.is_some_and(|approval| approval.covers(&endpoint.name))
    }

    /// Drops the approvals whose grant, owner or endpoint is removed by `changes`.
    ///
    /// A grant, owner or endpoint that is created again therefore needs new approvals.
    pub(super) fn prune_approvals(&mut self, changes: &[Change]) {
        let removed = Removed::of(changes);
        if !removed.is_empty() {
            self.approvals
                .retain(|key, approval| removed.prune(key, approval));
        }
    }

    /// Approves a team for one endpoint, or for all endpoints of the owner if `endpoint` is `None`.
    pub(super) fn approve(&mut self, key: ApprovalKey, endpoint: Option<&EndpointName>) {
        let Some(name) = endpoint else {
            self.approvals.insert(key, Approval::All);
            return;
        };
        let none = Approval::Only(BTreeSet::new());
        if let Approval::Only(names) = self.approvals.entry(key).or_insert(none) {
            names.insert(name.clone());
        }
    }

    /// Revokes the approval for one endpoint, or for all of the owner's if `endpoint` is `None`.
    ///
    /// `existing` lists the owner's endpoints of the service. When one of them is revoked,
    /// [`Approval::All`] becomes [`Approval::Only`] with the others that exist now.
    pub(super) fn revoke(
        &mut self,
        key: &ApprovalKey,
        endpoint: Option<&EndpointName>,
        existing: BTreeSet<EndpointName>,
    ) {
        let Some(name) = endpoint else {
            self.approvals.remove(key);
            return;
        };
        let Some(approval) = self.approvals.get_mut(key) else {
            return;
        };
        let mut names = match approval {
            Approval::All => existing,
            Approval::Only(names) => std::mem::take(names),
        };
        names.remove(name);
        if names.is_empty() {
            self.approvals.remove(key);
        } else {
            *approval = Approval::Only(names);
        }
    }
}

impl State {
    /// Applies an owner's approval if `on`, or its revocation otherwise.
    pub(super) fn apply_consent(&mut self, consent: &Consent, on: bool) -> Folded {
        let key = consent.key();
        let endpoint = consent.endpoint.as_ref();
        let before = self.content.approvals.get(&key).cloned();
        let outcome = self.check_consent(&key, endpoint);
        if outcome != Outcome::Accepted {
            return outcome.into();
        }
        if on {
            self.content.approve(key.clone(), endpoint);
        } else {
            let endpoints = self.index.endpoints_of(&key.service, &key.owner);
            self.content.revoke(&key, endpoint, endpoints);
        }
        let after = self.content.approvals.get(&key).cloned();
        let outcome = if before == after {
            Outcome::Unchanged
        } else {
            Outcome::Accepted
        };
        Folded {
            outcome,
            subject: Some(Subject::Approval { key, before, after }),
        }
    }

    fn check_consent(&self, key: &ApprovalKey, endpoint: Option<&EndpointName>) -> Outcome {
        let grant = Grant {
            team: key.team.clone(),
            service: key.service.clone(),
        };
        if !self.content.owners.contains_key(&key.owner) {
            return Outcome::NotAllowed;
        }
        if !self.content.grants.contains_key(&grant) {
            return Outcome::NotFound;
        }
        let Some(name) = endpoint else {
            return Outcome::Accepted;
        };
        match self.endpoint(name) {
            Some(entry) if entry.service != key.service => Outcome::NotFound,
            Some(entry) if entry.owner != key.owner => Outcome::NotAllowed,
            Some(_) => Outcome::Accepted,
            None => Outcome::NotFound,
        }
    }

    /// Starts or ends a drain.
    pub(super) fn drain(&mut self, order: &DrainOrder) -> Folded {
        let Some(endpoint) = self.endpoint(&order.endpoint) else {
            return Outcome::NotFound.into();
        };
        let allowed = match &order.by {
            Party::Operator(name) => self.content.is_operator(name),
            Party::Owner(name) => endpoint.owner == *name,
        };
        if !allowed {
            return Outcome::NotAllowed.into();
        }
        let before = self.content.drains.get(&order.endpoint).copied();
        let before = before.unwrap_or_default();
        let after = match order.by {
            Party::Operator(_) => Drain {
                operator: order.on,
                ..before
            },
            Party::Owner(_) => Drain {
                owner: order.on,
                ..before
            },
        };
        self.set_drain(&order.endpoint, after);
        let outcome = if before == after {
            Outcome::Unchanged
        } else {
            Outcome::Accepted
        };
        let endpoint = order.endpoint.clone();
        Folded {
            outcome,
            subject: Some(Subject::Drain {
                endpoint,
                before,
                after,
            }),
        }
    }

    fn set_drain(&mut self, endpoint: &EndpointName, drain: Drain) {
        if drain.is_set() {
            self.content.drains.insert(endpoint.clone(), drain);
        } else {
            self.content.drains.remove(endpoint);
        }
    }
}
