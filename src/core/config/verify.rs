//! Checks of changes against the configuration that would result from them.
//!
//! The checks run when a plan is computed and again when it is confirmed, since objects that the
//! plan refers to may have changed in between. The result of the fold depends on these rules, so
//! changing them needs a new kind of record (docs/operators/plan-and-confirm.md).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::core::config::change::Change;
use crate::core::config::change::Key;
use crate::core::config::change::Object;
use crate::core::config::check;
use crate::core::config::check::Fault;
use crate::core::config::check::Problem;
use crate::core::config::content::Content;
use crate::core::config::index::Index;
use crate::core::config::index::Principal;
use crate::core::config::index::credential;
use crate::core::config::object::Digest;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Grant;
use crate::core::config::object::Layers;
use crate::core::config::object::Service;
use crate::core::config::object::ServiceKind;
use crate::names::EndpointName;
use crate::names::Owner;
use crate::names::ServiceName;
use crate::names::Team;

/// A read-only view of a configuration as it would be after some changes.
#[derive(Debug)]
pub(super) struct Overlay<'a> {
    content: &'a Content,
    index: &'a Index,
    changes: BTreeMap<&'a Key, Option<&'a Object>>,
}

impl<'a> Overlay<'a> {
    /// Creates a view of `content` with `changes` applied.
    pub fn new(content: &'a Content, index: &'a Index, changes: &'a [Change]) -> Self {
        let changes = changes.iter();
        let changes = changes.map(|change| (&change.key, change.after.as_ref()));
        Self {
            content,
            index,
            changes: changes.collect(),
        }
    }

    /// Returns an object as it would be after the changes.
    pub fn object(&self, key: &Key) -> Option<Object> {
        match self.changes.get(key) {
            Some(after) => after.cloned(),
            None => self.content.object(key),
        }
    }

    /// Returns a service as it would be after the changes.
    pub fn service(&self, name: &ServiceName) -> Option<Service> {
        match self.object(&Key::Service(name.clone())) {
            Some(Object::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// Returns the endpoints of a service as they would be after the changes.
    pub fn endpoints(&self, service: &ServiceName) -> Vec<Endpoint> {
        let serving = self.index.serving.get(service);
        let names = serving.into_iter().flat_map(BTreeMap::values).flatten();
        let mut names: BTreeSet<&EndpointName> = names.collect();
        names.extend(self.changes.keys().filter_map(|key| match key {
            Key::Endpoint(name) => Some(name),
            _ => None,
        }));
        let objects = names
            .into_iter()
            .map(|name| self.object(&Key::Endpoint(name.clone())));
        let endpoints = objects.filter_map(|object| match object {
            Some(Object::Endpoint(endpoint)) if endpoint.service == *service => Some(endpoint),
            _ => None,
        });
        endpoints.collect()
    }

    /// Returns the teams that would have a grant to a service after the changes.
    pub fn granted_teams(&self, service: &ServiceName) -> BTreeSet<Team> {
        let mut teams = self.index.granted.get(service).cloned().unwrap_or_default();
        for (key, after) in &self.changes {
            match key {
                Key::Grant(grant) if grant.service != *service => {}
                Key::Grant(grant) if after.is_some() => {
                    teams.insert(grant.team.clone());
                }
                Key::Grant(grant) => {
                    teams.remove(&grant.team);
                }
                _ => {}
            }
        }
        teams
    }

    /// Checks that the changes lead to a valid configuration.
    pub fn verify(&self) -> Result<(), Fault> {
        if !self.changes.is_empty() && !self.has_operator() {
            return Err(Fault {
                problem: Problem::NoOperator,
                key: None,
            });
        }
        self.verify_tokens()?;
        self.verify_addrs()?;
        for (key, after) in &self.changes {
            let problem = match after {
                Some(object) => {
                    check::validate_object(object)?;
                    self.put_problem(object)
                }
                None => self.removal_problem(key),
            };
            if let Some(problem) = problem {
                return Err(Fault::new(problem, (*key).clone()));
            }
        }
        Ok(())
    }

    fn put_problem(&self, object: &Object) -> Option<Problem> {
        match object {
            Object::Service(service) => {
                let endpoints = self.endpoints(&service.name);
                let all_fit = endpoints
                    .iter()
                    .all(|endpoint| layers_fit(service, endpoint.layers));
                (!all_fit).then_some(Problem::Layers)
            }
            Object::Endpoint(endpoint) => self.endpoint_problem(endpoint),
            Object::Grant(grant) => {
                if self.object(&Key::Team(grant.team.clone())).is_none() {
                    return Some(Problem::NoTeam);
                }
                self.service(&grant.service)
                    .is_none()
                    .then_some(Problem::NoService)
            }
            Object::Team(_) | Object::Owner(_) | Object::Operator(_) => None,
        }
    }

    fn endpoint_problem(&self, endpoint: &Endpoint) -> Option<Problem> {
        if self.object(&Key::Owner(endpoint.owner.clone())).is_none() {
            return Some(Problem::NoOwner);
        }
        let Some(service) = self.service(&endpoint.service) else {
            return Some(Problem::NoService);
        };
        (!layers_fit(&service, endpoint.layers)).then_some(Problem::Layers)
    }

    fn removal_problem(&self, key: &Key) -> Option<Problem> {
        match key {
            Key::Service(name) => {
                let used = !self.endpoints(name).is_empty() || !self.granted_teams(name).is_empty();
                used.then_some(Problem::InUse)
            }
            Key::Team(name) => self.has_grants(name).then_some(Problem::InUse),
            Key::Owner(name) => self.owns_endpoints(name).then_some(Problem::InUse),
            Key::Operator(_) | Key::Endpoint(_) | Key::Grant(_) => None,
        }
    }

    fn has_grants(&self, team: &Team) -> bool {
        let first = Grant {
            team: team.clone(),
            service: ServiceName::from(""),
        };
        let grants = self.content.grants.range(first..).map(|(grant, _)| grant);
        let mut grants = grants.take_while(|grant| grant.team == *team);
        grants.any(|grant| !self.changes.contains_key(&Key::Grant(grant.clone())))
            || self
                .changes
                .values()
                .any(|after| matches!(after, Some(Object::Grant(grant)) if grant.team == *team))
    }

    fn owns_endpoints(&self, owner: &Owner) -> bool {
        let mut unchanged = self.content.endpoints.values().filter(|entry| {
            let key = Key::Endpoint(entry.value.name.clone());
            entry.value.owner == *owner && !self.changes.contains_key(&key)
        });
        unchanged.next().is_some()
            || self.changes.values().any(|after| {
                matches!(after, Some(Object::Endpoint(endpoint)) if endpoint.owner == *owner)
            })
    }

    fn has_operator(&self) -> bool {
        let mut operators = self.content.operators.keys();
        operators.any(|name| !self.changes.contains_key(&Key::Operator(name.clone())))
            || self
                .changes
                .values()
                .any(|after| matches!(after, Some(Object::Operator(_))))
    }

    fn verify_tokens(&self) -> Result<(), Fault> {
        let mut seen: BTreeSet<&Digest> = BTreeSet::new();
        for object in self.changes.values().copied().flatten() {
            let Some((token, principal)) = credential(object) else {
                continue;
            };
            let in_use = self.index.tokens.get(token).is_some_and(|holder| {
                *holder != principal && !self.changes.contains_key(&key_of(holder))
            });
            if in_use || !seen.insert(token) {
                return Err(Fault::new(Problem::TokenTaken, object.key()));
            }
        }
        Ok(())
    }

    fn verify_addrs(&self) -> Result<(), Fault> {
        let mut seen: BTreeSet<SocketAddr> = BTreeSet::new();
        for object in self.changes.values().copied().flatten() {
            let Object::Endpoint(endpoint) = object else {
                continue;
            };
            let in_use = self.index.addrs.get(&endpoint.addr).is_some_and(|holder| {
                *holder != endpoint.name
                    && !self.changes.contains_key(&Key::Endpoint(holder.clone()))
            });
            if in_use || !seen.insert(endpoint.addr) {
                return Err(Fault::new(Problem::AddrTaken, object.key()));
            }
        }
        Ok(())
    }
}

fn key_of(principal: &Principal) -> Key {
    match principal {
        Principal::Team(name) => Key::Team(name.clone()),
        Principal::Owner(name) => Key::Owner(name.clone()),
        Principal::Operator(name) => Key::Operator(name.clone()),
    }
}

/// Returns whether the layers of an endpoint are a non-empty range within the model, or absent for
/// a plain service.
fn layers_fit(service: &Service, layers: Option<Layers>) -> bool {
    match (&service.kind, layers) {
        (ServiceKind::Model { layers: count, .. }, Some(range)) => {
            range.from < range.to && range.to <= *count
        }
        (ServiceKind::Plain { .. }, None) => true,
        _ => false,
    }
}
