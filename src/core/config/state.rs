//! The configuration in force, and the lookups that requests need.

use std::net::SocketAddr;

use serde::Serialize;
use subtle::ConstantTimeEq;

use crate::core::config::audit::Audit;
use crate::core::config::change::Object;
use crate::core::config::change::Offset;
use crate::core::config::content::Content;
use crate::core::config::encoding::canonical;
use crate::core::config::index::Index;
use crate::core::config::index::Principal;
use crate::core::config::lease::Lease;
use crate::core::config::object::Digest;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Grant;
use crate::core::config::object::Service;
use crate::core::config::object::ServiceKind;
use crate::core::config::object::TeamEntry;
use crate::core::config::plan::Plan;
use crate::core::config::plan::PlanId;
use crate::core::config::rollout::Rollout;
use crate::core::config::snapshot::SNAPSHOT_FORMAT;
use crate::names::EndpointName;
use crate::names::LeaseName;
use crate::names::ServiceName;
use crate::names::Team;
use crate::names::Version;

/// The result of folding the `config` stream up to an offset.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub(super) next: Offset,
    pub(super) content: Content,
    pub(super) index: Index,
    pub(super) skipped: u64,
}

/// The document that is hashed for the digest of a state and written to snapshots.
#[derive(Serialize)]
struct Document<'a> {
    format: u32,
    next: Offset,
    content: &'a Content,
}

impl State {
    /// Returns the state before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a state from the content of a snapshot and rebuilds the indexes.
    pub(super) fn from_content(next: Offset, content: Content) -> Self {
        Self {
            next,
            index: Index::build(&content),
            content,
            skipped: 0,
        }
    }

    /// Returns the offset of the last record folded, or `None` before the first.
    #[must_use]
    pub const fn offset(&self) -> Option<Offset> {
        match self.next.0.checked_sub(1) {
            Some(last) => Some(Offset(last)),
            None => None,
        }
    }

    /// Returns the offset of the next record to fold.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Returns how many records this release could not read.
    ///
    /// After a skipped record the state may be incomplete, so no snapshot of it is written.
    #[must_use]
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns the data that snapshots and the digest cover.
    #[must_use]
    pub const fn content(&self) -> &Content {
        &self.content
    }

    pub(super) const fn index(&self) -> &Index {
        &self.index
    }

    /// Returns the canonical encoding of the state.
    pub(super) fn document(&self) -> Vec<u8> {
        canonical(&Document {
            format: SNAPSHOT_FORMAT,
            next: self.next,
            content: &self.content,
        })
    }

    /// Returns the digest of the state, which is equal on all VMs at the same offset.
    ///
    /// It encodes the whole state, which is too slow for the request path.
    pub fn digest(&self) -> Digest {
        Digest::of(self.document())
    }

    /// Replaces this state by `other` if `other` has folded more records. Returns whether it did.
    pub fn adopt(&mut self, other: Self) -> bool {
        let further = other.next > self.next;
        if further {
            *self = other;
        }
        further
    }

    /// Returns the principal of a bearer token, given the digest of the token.
    ///
    /// The timing of the map lookup reveals nothing about tokens, because similar tokens have
    /// unrelated digests. The final comparison takes constant time.
    pub fn authenticate(&self, token: &Digest) -> Option<&Principal> {
        let (stored, principal) = self.index.tokens.get_key_value(token)?;
        let equal: bool = stored.0.as_bytes().ct_eq(token.0.as_bytes()).into();
        equal.then_some(principal)
    }

    /// Returns the weight, priority and other settings of a calling team.
    pub fn team(&self, name: &Team) -> Option<&TeamEntry> {
        self.content.teams.get(name).map(|entry| &entry.value)
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.content.services.get(name).map(|entry| &entry.value)
    }

    /// Returns an endpoint by its name.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.content.endpoints.get(name).map(|entry| &entry.value)
    }

    /// Returns all endpoints in the order of their names, drained ones included.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.content.endpoints.values().map(|entry| &entry.value)
    }

    /// Returns all services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.content.services.values().map(|entry| &entry.value)
    }

    /// Returns all objects, grouped by kind.
    pub fn objects(&self) -> Vec<Object> {
        self.content.objects()
    }

    /// Returns whether any operator is configured. Until then, anyone may act as one.
    #[must_use]
    pub fn has_operators(&self) -> bool {
        !self.content.operators.is_empty()
    }

    /// Returns the services of kind [`ServiceKind::Model`].
    pub fn models(&self) -> impl Iterator<Item = &Service> {
        let services = self.content.services.values().map(|entry| &entry.value);
        services.filter(|service| matches!(service.kind, ServiceKind::Model { .. }))
    }

    /// Returns the endpoint with this address.
    pub fn endpoint_at(&self, addr: SocketAddr) -> Option<&Endpoint> {
        self.endpoint(self.index.addrs.get(&addr)?)
    }

    /// Returns the endpoints of a service that the team may use and that are not drained.
    ///
    /// The cost depends only on the endpoints of owners who approved the team.
    pub fn admitted(
        &self,
        team: &Team,
        service: &ServiceName,
    ) -> impl Iterator<Item = &Endpoint> + use<'_> {
        let granted = self.is_granted(team, service);
        let serving = self.index.serving.get(service).filter(|_| granted);
        let approvals = serving.map(|_| self.content.approvals_of(team, service));
        let approvals = approvals.into_iter().flatten();
        let names = approvals.filter_map(move |(key, approval)| {
            let names = serving?.get(&key.owner)?;
            Some(names.iter().filter(|name| approval.covers(name)))
        });
        let names = names.flatten().filter(|name| !self.is_drained(name));
        names.filter_map(|name| self.endpoint(name))
    }

    /// Returns whether the team has a grant and an approval for the endpoint, and the endpoint is
    /// not drained.
    pub fn admits(&self, team: &Team, endpoint: &EndpointName) -> bool {
        let Some(entry) = self.endpoint(endpoint) else {
            return false;
        };
        self.is_granted(team, &entry.service)
            && self.content.is_approved(team, entry)
            && !self.is_drained(endpoint)
    }

    /// Returns whether a team has a grant to a service, whether or not an owner approved the team.
    pub fn is_granted(&self, team: &Team, service: &ServiceName) -> bool {
        let grant = Grant {
            team: team.clone(),
            service: service.clone(),
        };
        self.content.grants.contains_key(&grant)
    }

    /// Returns whether a service has endpoints, but the team is approved for none of them.
    ///
    /// Drained endpoints count as endpoints: a caller may wait for the end of a drain, but waiting
    /// does not help against a missing approval.
    pub fn is_unapproved(&self, team: &Team, service: &ServiceName) -> bool {
        let Some(serving) = self.index.serving.get(service) else {
            return false;
        };
        let mut approvals = self.content.approvals_of(team, service);
        !approvals.any(|(key, approval)| {
            let names = serving.get(&key.owner);
            names.is_some_and(|names| names.iter().any(|name| approval.covers(name)))
        })
    }

    /// Returns whether an operator or the owner drains the endpoint.
    pub fn is_drained(&self, endpoint: &EndpointName) -> bool {
        let drain = self.content.drains.get(endpoint);
        drain.is_some_and(|drain| drain.is_set())
    }

    /// Returns the version of the weights that the endpoint must run; `None` if it serves no model.
    pub fn pinned_version(&self, endpoint: &EndpointName) -> Option<&Version> {
        self.content.pins.get(endpoint)
    }

    /// Returns the latest rollout of a model; `None` if its version never changed.
    pub fn rollout(&self, service: &ServiceName) -> Option<&Rollout> {
        self.content.rollouts.get(service)
    }

    /// Returns a lease as it was last granted. It may have expired.
    pub fn lease(&self, name: &LeaseName) -> Option<&Lease> {
        self.content.leases.get(name)
    }

    /// Returns a proposed plan that is not confirmed yet.
    pub fn pending(&self, id: &PlanId) -> Option<&Plan> {
        self.content.pending.get(id).map(|pending| &pending.plan)
    }

    /// Returns the latest entries of the audit trail.
    #[must_use]
    pub const fn audit(&self) -> &Audit {
        &self.content.audit
    }
}
