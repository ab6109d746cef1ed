//! Indexes over the content of a state, so that no request has to scan all objects.
//!
//! They are derived from the content, rebuilt when a snapshot is loaded, and not part of digests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::config::change::Object;
use crate::core::config::content::Content;
use crate::core::config::object::Digest;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Grant;
use crate::core::config::record::Party;
use crate::names::EndpointName;
use crate::names::Operator;
use crate::names::Owner;
use crate::names::ServiceName;
use crate::names::Team;

/// The identity that a bearer token authenticates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Principal {
    /// A team that calls services.
    Team(Team),
    /// An owner of endpoints.
    Owner(Owner),
    /// A person who may change the configuration.
    Operator(Operator),
}

impl Principal {
    /// Returns the principal as a party that may act on the configuration; `None` for a team.
    pub fn party(&self) -> Option<Party> {
        match self {
            Self::Team(_) => None,
            Self::Owner(name) => Some(Party::Owner(name.clone())),
            Self::Operator(name) => Some(Party::Operator(name.clone())),
        }
    }
}

/// The endpoints of one service, grouped by owner.
pub(super) type EndpointsByOwner = BTreeMap<Owner, BTreeSet<EndpointName>>;

/// The indexes of a state: principals by token digest, endpoints by address and by service, teams
/// with a grant by service, and the digests of recent records.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    pub tokens: BTreeMap<Digest, Principal>,
    pub addrs: BTreeMap<SocketAddr, EndpointName>,
    pub serving: BTreeMap<ServiceName, EndpointsByOwner>,
    pub granted: BTreeMap<ServiceName, BTreeSet<Team>>,
    pub recent: BTreeSet<Digest>,
}

impl Index {
    /// Builds the indexes from scratch.
    pub fn build(content: &Content) -> Self {
        let mut index = Self::default();
        let teams = content
            .teams
            .values()
            .map(|entry| entry.value.clone().into());
        let owners = content
            .owners
            .values()
            .map(|entry| entry.value.clone().into());
        let operators = content.operators.values();
        let operators = operators.map(|entry| entry.value.clone().into());
        let endpoints = content.endpoints.values();
        let endpoints = endpoints.map(|entry| entry.value.clone().into());
        let grants = content.grants.keys().cloned().map(Object::from);
        let all = teams.chain(owners).chain(operators).chain(endpoints);
        for object in all.chain(grants) {
            index.add(&object);
        }
        let digests = content.recent.iter().map(|recent| recent.digest.clone());
        index.recent = digests.collect();
        index
    }

    /// Adds an object to the indexes for its kind.
    pub fn add(&mut self, object: &Object) {
        if let Some((token, principal)) = credential(object) {
            self.tokens.insert(token.clone(), principal);
        }
        if let Object::Endpoint(endpoint) = object {
            self.addrs.insert(endpoint.addr, endpoint.name.clone());
            let serving = self.serving.entry(endpoint.service.clone()).or_default();
            let names = serving.entry(endpoint.owner.clone()).or_default();
            names.insert(endpoint.name.clone());
        }
        if let Object::Grant(grant) = object {
            let teams = self.granted.entry(grant.service.clone()).or_default();
            teams.insert(grant.team.clone());
        }
    }

    /// Removes an object. A token or address that another object has taken over is kept.
    pub fn remove(&mut self, object: &Object) {
        if let Some((token, principal)) = credential(object)
            && self.tokens.get(token) == Some(&principal)
        {
            self.tokens.remove(token);
        }
        if let Object::Endpoint(endpoint) = object {
            self.remove_endpoint(endpoint);
        }
        if let Object::Grant(grant) = object {
            self.remove_grant(grant);
        }
    }

    fn remove_grant(&mut self, grant: &Grant) {
        let Some(teams) = self.granted.get_mut(&grant.service) else {
            return;
        };
        teams.remove(&grant.team);
        if teams.is_empty() {
            self.granted.remove(&grant.service);
        }
    }

    fn remove_endpoint(&mut self, endpoint: &Endpoint) {
        if self.addrs.get(&endpoint.addr) == Some(&endpoint.name) {
            self.addrs.remove(&endpoint.addr);
        }
        let Some(serving) = self.serving.get_mut(&endpoint.service) else {
            return;
        };
        if let Some(names) = serving.get_mut(&endpoint.owner) {
            names.remove(&endpoint.name);
        }
        serving.retain(|_, names| !names.is_empty());
        if serving.is_empty() {
            self.serving.remove(&endpoint.service);
        }
    }

    /// Returns the endpoints of one owner that serve a service.
    pub fn endpoints_of(&self, service: &ServiceName, owner: &Owner) -> BTreeSet<EndpointName> {
        let serving = self.serving.get(service);
        let names = serving.and_then(|serving| serving.get(owner));
        names.cloned().unwrap_or_default()
    }
}

/// Returns the token digest and the principal of an object; `None` if its kind has no token.
pub(super) fn credential(object: &Object) -> Option<(&Digest, Principal)> {
    match object {
        Object::Team(team) => Some((&team.token, Principal::Team(team.name.clone()))),
        Object::Owner(owner) => Some((&owner.token, Principal::Owner(owner.name.clone()))),
        Object::Operator(operator) => {
            let principal = Principal::Operator(operator.name.clone());
            Some((&operator.token, principal))
        }
        Object::Service(_) | Object::Endpoint(_) | Object::Grant(_) => None,
    }
}
