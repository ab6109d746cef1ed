//! The data that the fold of the `config` stream maintains.
//!
//! Snapshots contain it and the digest of a state covers it. The size of each collection is limited
//! by the size of the configuration or by a constant.

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

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versioned<T> {
    /// The offset of the record that last changed the object.
    pub at: Offset,
    /// The object as last changed.
    pub value: T,
}

/// A proposed plan that is not confirmed yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pending {
    /// The offset of the record that proposed the plan.
    pub at: Offset,
    /// The proposed plan.
    pub plan: Plan,
}

/// The outcome of a confirmed plan, kept so that a repeated confirmation gets the same answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settled {
    /// The offset of the record that confirmed the plan.
    pub at: Offset,
    /// The outcome of that record.
    pub outcome: Outcome,
}

/// A recently folded record, kept so that a second copy of it has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recent {
    /// The offset of the record.
    pub at: Offset,
    /// The digest of the record.
    pub digest: Digest,
    /// Whether the record was accepted, which a copy of it reports too.
    pub accepted: bool,
}

/// The data of a state, without derived indexes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Content {
    /// The services by name.
    pub services: BTreeMap<ServiceName, Versioned<Service>>,
    /// The endpoints by name.
    pub endpoints: BTreeMap<EndpointName, Versioned<Endpoint>>,
    /// The calling teams by name.
    pub teams: BTreeMap<Team, Versioned<TeamEntry>>,
    /// The owners of endpoints by name.
    pub owners: BTreeMap<Owner, Versioned<OwnerEntry>>,
    /// The operators by name.
    pub operators: BTreeMap<Operator, Versioned<OperatorEntry>>,
    /// The grants with their versions.
    #[serde(with = "pairs")]
    pub grants: BTreeMap<Grant, Offset>,
    /// The approvals by owners.
    #[serde(with = "pairs")]
    pub approvals: BTreeMap<ApprovalKey, Approval>,
    /// The drained endpoints.
    pub drains: BTreeMap<EndpointName, Drain>,
    /// The latest rollout of each model whose version changed.
    pub rollouts: BTreeMap<ServiceName, Rollout>,
    /// The version of the weights that each endpoint of a model must run.
    pub pins: BTreeMap<EndpointName, Version>,
    /// The granted leases, which may have expired.
    pub leases: BTreeMap<LeaseName, Lease>,
    /// The plans that are not confirmed yet.
    pub pending: BTreeMap<PlanId, Pending>,
    /// The outcomes of the latest confirmed plans.
    pub settled: BTreeMap<PlanId, Settled>,
    /// The recently folded records, in the order of their offsets.
    pub recent: VecDeque<Recent>,
    /// The latest entries of the audit trail.
    pub audit: Audit,
}

impl Content {
    /// Returns the object with this key.
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

    /// Returns all objects, grouped by kind.
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

    /// Removes an object with its rollout, drain or pin. Approvals stay; see
    /// [`prune_approvals`](Self::prune_approvals).
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
