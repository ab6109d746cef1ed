//! Everything that the fold of the `config` stream keeps, as plain data.
//!
//! This is what a snapshot holds and what the digest of a state covers. Each collection is either
//! limited by the size of the configuration or has a named bound.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::core::config::approval::Approval;
use crate::core::config::approval::ApprovalKey;
use crate::core::config::approval::Drain;
use crate::core::config::audit::Audit;
use crate::core::config::change::Key;
use crate::core::config::change::Object;
use crate::core::config::change::Offset;
use crate::core::config::encoding::pairs;
use crate::core::config::lease::Lease;
use crate::core::config::object::Digest;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Grant;
use crate::core::config::object::OperatorEntry;
use crate::core::config::object::OwnerEntry;
use crate::core::config::object::Service;
use crate::core::config::object::TeamEntry;
use crate::core::config::outcome::Outcome;
use crate::core::config::plan::Plan;
use crate::core::config::plan::PlanId;
use crate::core::config::rollout::Rollout;
use crate::names::EndpointName;
use crate::names::LeaseName;
use crate::names::Operator;
use crate::names::Owner;
use crate::names::ServiceName;
use crate::names::Team;
use crate::names::Version;

/// An object with its version: the offset of the record that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versioned<T> {
    /// The version.
    pub at: Offset,
    /// The object.
    pub value: T,
}

/// A plan that waits for its confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pending {
    /// Where the plan was proposed.
    pub at: Offset,
    /// The plan.
    pub plan: Plan,
}

/// How a plan was settled, kept so that a repeated confirmation is told the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settled {
    /// Where the plan was settled.
    pub at: Offset,
    /// How.
    pub outcome: Outcome,
}

/// A record that was folded lately, kept so that a second copy of it has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recent {
    /// Where the record stands.
    pub at: Offset,
    /// The digest of the record.
    pub digest: Digest,
    /// Whether it was accepted.
    pub accepted: bool,
}

/// The data of a state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Content {
    /// The services.
    pub services: BTreeMap<ServiceName, Versioned<Service>>,
    /// The endpoints.
    pub endpoints: BTreeMap<EndpointName, Versioned<Endpoint>>,
    /// The teams.
    pub teams: BTreeMap<Team, Versioned<TeamEntry>>,
    /// The owners.
    pub owners: BTreeMap<Owner, Versioned<OwnerEntry>>,
    /// The operators.
    pub operators: BTreeMap<Operator, Versioned<OperatorEntry>>,
    /// The grants with their versions.
    #[serde(with = "pairs")]
    pub grants: BTreeMap<Grant, Offset>,
    /// What owners approved.
    #[serde(with = "pairs")]
    pub approvals: BTreeMap<ApprovalKey, Approval>,
    /// The endpoints that were told to leave.
    pub drains: BTreeMap<EndpointName, Drain>,
    /// The rollout of each model that had one.
    pub rollouts: BTreeMap<ServiceName, Rollout>,
    /// The version of the weights that each endpoint of a model shall run.
    pub pins: BTreeMap<EndpointName, Version>,
    /// The leases.
    pub leases: BTreeMap<LeaseName, Lease>,
    /// The plans that wait for confirmation.
    pub pending: BTreeMap<PlanId, Pending>,
    /// The plans settled lately.
    pub settled: BTreeMap<PlanId, Settled>,
    /// The records folded lately, by offset.
    pub recent: VecDeque<Recent>,
    /// The audit trail.
    pub audit: Audit,
}

impl Content {
    /// Returns an object.
    pub fn object(&self, key: &Key) -> Option<Object> {
        match key {
            Key::Service(name) => lookup(&self.services, name),
            Key::Endpoint(name) => lookup(&self.endpoints, name),
            Key::Team(name) => lookup(&self.teams, name),
            Key::Grant(grant) => self.grants.get(grant).map(|_| grant.clone().into()),
            Key::Owner(name) => lookup(&self.owners, name),
            Key::Operator(name) => lookup(&self.operators, name),
        }
    }

    /// Returns all objects, kind by kind.
    pub fn objects(&self) -> Vec<Object> {
        let mut out: Vec<Object> = Vec::new();
        out.extend(values(&self.services));
        out.extend(values(&self.endpoints));
        out.extend(values(&self.teams));
        out.extend(self.grants.keys().cloned().map(Object::from));
        out.extend(values(&self.owners));
        out.extend(values(&self.operators));
        out
    }

    /// Returns the version of an object, or `None` if it does not exist.
    pub fn version(&self, key: &Key) -> Option<Offset> {
        match key {
            Key::Service(name) => self.services.get(name).map(|entry| entry.at),
            Key::Endpoint(name) => self.endpoints.get(name).map(|entry| entry.at),
            Key::Team(name) => self.teams.get(name).map(|entry| entry.at),
            Key::Grant(grant) => self.grants.get(grant).copied(),
            Key::Owner(name) => self.owners.get(name).map(|entry| entry.at),
            Key::Operator(name) => self.operators.get(name).map(|entry| entry.at),
        }
    }

    /// Creates or replaces an object.
    pub(super) fn put(&mut self, at: Offset, object: Object) {
        match object {
            Object::Service(value) => {
                self.services
                    .insert(value.name.clone(), Versioned { at, value });
            }
            Object::Endpoint(value) => {
                self.endpoints
                    .insert(value.name.clone(), Versioned { at, value });
            }
            Object::Team(value) => {
                self.teams
                    .insert(value.name.clone(), Versioned { at, value });
            }
            Object::Grant(grant) => {
                self.grants.insert(grant, at);
            }
            Object::Owner(value) => {
                self.owners
                    .insert(value.name.clone(), Versioned { at, value });
            }
            Object::Operator(value) => {
                self.operators
                    .insert(value.name.clone(), Versioned { at, value });
            }
        }
    }

    /// Removes an object and what hangs on it, except approvals.
    pub(super) fn remove(&mut self, key: &Key) {
        match key {
            Key::Service(name) => {
                self.services.remove(name);
                self.rollouts.remove(name);
            }
            Key::Endpoint(name) => {
                self.endpoints.remove(name);
                self.drains.remove(name);
                self.pins.remove(name);
            }
            Key::Team(name) => {
                self.teams.remove(name);
            }
            Key::Grant(grant) => {
                self.grants.remove(grant);
            }
            Key::Owner(name) => {
                self.owners.remove(name);
            }
            Key::Operator(name) => {
                self.operators.remove(name);
            }
        }
    }
}

fn values<K, T>(map: &BTreeMap<K, Versioned<T>>) -> impl Iterator<Item = Object>
where
    T: Clone + Into<Object>,
{
    map.values().map(|entry| entry.value.clone().into())
}

fn lookup<K, T>(table: &BTreeMap<K, Versioned<T>>, name: &K) -> Option<Object>
where
    K: Ord,
    T: Clone + Into<Object>,
{
    table.get(name).map(|entry| entry.value.clone().into())
}
