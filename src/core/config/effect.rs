//! The effects of a plan on callers and capacity, for the operator who confirms it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::core::config::change::Change;
use crate::core::config::change::Object;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Layers;
use crate::core::config::object::ServiceKind;
use crate::core::config::state::State;
use crate::core::config::verify::Overlay;
use crate::names::EndpointName;
use crate::names::Owner;
use crate::names::ServiceName;
use crate::names::Team;

/// The maximum number of effects that a plan lists. [`Effect::More`] counts the others.
pub const MAX_PLAN_EFFECTS: usize = 200;

/// One effect of a plan on callers or capacity.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// The configuration already matches the intent.
    #[display("nothing to do")]
    NothingToDo,
    /// The capacity of a service changes.
    #[display("service {service}: {before} before, {after} after")]
    Capacity {
        /// The service whose capacity changes.
        service: ServiceName,
        /// The capacity before the plan.
        before: Capacity,
        /// The capacity after the plan.
        after: Capacity,
    },
    /// No endpoint would hold these layers of a model.
    #[display("service {service}: no endpoint holds the layers {layers}")]
    Uncovered {
        /// The model with uncovered layers.
        service: ServiceName,
        /// A range of uncovered layers.
        layers: Layers,
    },
    /// A grant of the plan has no effect on an owner's endpoints until the owner approves the team.
    #[display("owner {owner} has yet to approve team {team} for service {service}")]
    Unapproved {
        /// The granted service.
        service: ServiceName,
        /// The team that lacks an approval.
        team: Team,
        /// The owner who has not approved the team.
        owner: Owner,
    },
    /// The plan gives a service endpoints of another owner, who has not approved all its teams.
    #[display("owner {owner} is new to service {service} and has yet to approve {teams} teams")]
    NewOwner {
        /// The service that gets the endpoints.
        service: ServiceName,
        /// The new owner.
        owner: Owner,
        /// The number of teams with a grant that the owner has not approved.
        teams: usize,
    },
    /// The last team that may call an endpoint would lose its access.
    #[display("endpoint {endpoint} loses its last caller")]
    Callerless {
        /// The endpoint without callers.
        endpoint: EndpointName,
    },
    /// There are more effects than a plan lists.
    #[display("and {count} more")]
    More {
        /// The number of effects that are not listed.
        count: usize,
    },
}

/// The capacity of the endpoints of a service that are not drained.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{endpoints} endpoints and {slots} slots")]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// The number of endpoints.
    pub endpoints: u32,
    /// The number of concurrent requests. For a model, this is the minimum over its layers.
    pub slots: u64,
}

/// Returns the effects of changes: at most [`MAX_PLAN_EFFECTS`] and a count of the others.
pub(super) fn effects(state: &State, after: &Overlay<'_>, changes: &[Change]) -> Vec<Effect> {
    if changes.is_empty() {
        return vec![Effect::NothingToDo];
    }
    let before = Overlay::new(state.content(), state.index(), &[]);
    let mut effects = Vec::new();
    let services = affected_services(changes);
    for service in &services {
        push_capacity(state, service, &before, after, &mut effects);
    }
    push_missing_approvals(state, after, changes, &mut effects);
    for service in &services_with_caller_changes(changes) {
        push_caller_changes(state, service, &before, after, &mut effects);
    }
    truncate(effects)
}

fn truncate(mut effects: Vec<Effect>) -> Vec<Effect> {
    if effects.len() > MAX_PLAN_EFFECTS {
        let count = effects.len() - MAX_PLAN_EFFECTS;
        effects.truncate(MAX_PLAN_EFFECTS);
        effects.push(Effect::More { count });
    }
    effects
}

/// Returns the services that changes refer to.
fn affected_services(changes: &[Change]) -> BTreeSet<ServiceName> {
    let objects = changes
        .iter()
        .flat_map(|change| [&change.before, &change.after]);
    let services = objects.flatten().filter_map(|object| match object {
        Object::Service(service) => Some(&service.name),
        Object::Endpoint(endpoint) => Some(&endpoint.service),
        Object::Grant(grant) => Some(&grant.service),
        Object::Team(_) | Object::Owner(_) | Object::Operator(_) => None,
    });
    services.cloned().collect()
}

/// Returns the services whose endpoints may lose callers or get a new owner.
fn services_with_caller_changes(changes: &[Change]) -> BTreeSet<ServiceName> {
    let mut services = BTreeSet::new();
    for change in changes {
        match (&change.before, &change.after) {
            (Some(Object::Grant(grant)), None) => {
                services.insert(grant.service.clone());
            }
            (Some(Object::Endpoint(old)), Some(Object::Endpoint(new)))
                if old.owner == new.owner && old.service == new.service => {}
            (_, Some(Object::Endpoint(new))) => {
                services.insert(new.service.clone());
            }
            _ => {}
        }
    }
    services
}

fn push_capacity(
    state: &State,
    service: &ServiceName,
    before: &Overlay<'_>,
    after: &Overlay<'_>,
    effects: &mut Vec<Effect>,
) {
    let old = coverage(state, service, before);
    let new = coverage(state, service, after);
    if old.capacity != new.capacity {
        effects.push(Effect::Capacity {
            service: service.clone(),
            before: old.capacity,
            after: new.capacity,
        });
    }
    effects.extend(new.uncovered.into_iter().map(|layers| Effect::Uncovered {
        service: service.clone(),
        layers,
    }));
}

/// The capacity of a service, and the layers of a model that no endpoint holds.
#[derive(Debug, Default)]
struct Coverage {
    capacity: Capacity,
    uncovered: Vec<Layers>,
}

fn coverage(state: &State, service: &ServiceName, overlay: &Overlay<'_>) -> Coverage {
    let Some(entry) = overlay.service(service) else {
        return Coverage::default();
    };
    let mut endpoints = overlay.endpoints(service);
    endpoints.retain(|endpoint| !state.is_drained(&endpoint.name));
    let (slots, uncovered) = match entry.kind {
        ServiceKind::Model { layers, .. } => layer_coverage(layers, &endpoints),
        ServiceKind::Plain { .. } => {
            let slots = endpoints.iter().map(|endpoint| u64::from(endpoint.slots));
            (slots.sum(), Vec::new())
        }
    };
    let endpoints = endpoints.len() as u32;
    Coverage {
        capacity: Capacity { endpoints, slots },
        uncovered,
    }
}

/// Returns the minimum number of slots over the layers of a model, and the layers without any.
fn layer_coverage(layers: u32, endpoints: &[Endpoint]) -> (u64, Vec<Layers>) {
    let mut deltas: BTreeMap<u32, i64> = BTreeMap::from([(0, 0), (layers, 0)]);
    for endpoint in endpoints {
        let Some(range) = endpoint.layers else {
            continue;
        };
        *deltas.entry(range.from).or_default() += i64::from(endpoint.slots);
        *deltas.entry(range.to).or_default() -= i64::from(endpoint.slots);
    }
    let mut slots = 0;
    let mut min_slots = u64::MAX;
    let mut uncovered: Vec<Layers> = Vec::new();
    for ((&from, delta), &to) in deltas.iter().zip(deltas.keys().skip(1)) {
        slots += delta;
        min_slots = min_slots.min(slots.unsigned_abs());
        if slots > 0 {
            continue;
        }
        match uncovered.last_mut() {
            Some(gap) if gap.to == from => gap.to = to,
            _ => uncovered.push(Layers { from, to }),
        }
    }
    (min_slots, uncovered)
}

/// Adds an effect for each approval that a grant of the plan lacks.
fn push_missing_approvals(
    state: &State,
    after: &Overlay<'_>,
    changes: &[Change],
    effects: &mut Vec<Effect>,
) {
    let mut owners: BTreeMap<&ServiceName, BTreeSet<Owner>> = BTreeMap::new();
    for change in changes {
        let Some(Object::Grant(grant)) = &change.after else {
            continue;
        };
        let owners = owners.entry(&grant.service).or_insert_with(|| {
            let endpoints = after.endpoints(&grant.service).into_iter();
            endpoints.map(|endpoint| endpoint.owner).collect()
        });
        let approvals = state.content().approvals_of(&grant.team, &grant.service);
        let approved: BTreeSet<&Owner> = approvals.map(|(key, _)| &key.owner).collect();
        let missing = owners.iter().filter(|owner| !approved.contains(owner));
        effects.extend(missing.map(|owner| Effect::Unapproved {
            service: grant.service.clone(),
            team: grant.team.clone(),
            owner: owner.clone(),
        }));
    }
}

/// Adds effects for the new owners of a service, and for endpoints that lose their last caller.
fn push_caller_changes(
    state: &State,
    service: &ServiceName,
    before: &Overlay<'_>,
    after: &Overlay<'_>,
    effects: &mut Vec<Effect>,
) {
    let old_endpoints = before.endpoints(service);
    let endpoints = after.endpoints(service);
    let teams = after.granted_teams(service);
    let old_owners: BTreeSet<&Owner> = old_endpoints
        .iter()
        .map(|endpoint| &endpoint.owner)
        .collect();
    let owners: BTreeSet<&Owner> = endpoints.iter().map(|endpoint| &endpoint.owner).collect();
    for owner in owners
        .difference(&old_owners)
        .filter(|_| !old_owners.is_empty())
    {
        let teams = count_unapproved(state, service, &teams, owner);
        effects.extend((teams > 0).then(|| Effect::NewOwner {
            service: service.clone(),
            owner: (*owner).clone(),
            teams,
        }));
    }
    let callable_before = reachable_endpoints(
        state,
        service,
        &before.granted_teams(service),
        &old_endpoints,
    );
    let callable_after = reachable_endpoints(state, service, &teams, &endpoints);
    let names = endpoints.iter().map(|endpoint| &endpoint.name);
    let lost_callers =
        names.filter(|name| callable_before.contains(name) && !callable_after.contains(name));
    effects.extend(lost_callers.map(|name| Effect::Callerless {
        endpoint: name.clone(),
    }));
}

/// Counts the teams that the owner has not approved for any endpoint of the service.
fn count_unapproved(
    state: &State,
    service: &ServiceName,
    teams: &BTreeSet<Team>,
    owner: &Owner,
) -> usize {
    let has_approved = |team: &Team| {
        let mut approvals = state.content().approvals_of(team, service);
        approvals.any(|(key, _)| key.owner == *owner)
    };
    teams.iter().filter(|team| !has_approved(team)).count()
}

/// Returns the endpoints of a service that at least one of the teams is approved for.
///
/// It stops when all endpoints are found, which usually takes the approvals of only a few teams.
fn reachable_endpoints<'a>(
    state: &State,
    service: &ServiceName,
    teams: &BTreeSet<Team>,
    endpoints: &'a [Endpoint],
) -> BTreeSet<&'a EndpointName> {
    let mut found = BTreeSet::new();
    let mut remaining: Vec<&Endpoint> = endpoints.iter().collect();
    for team in teams {
        if remaining.is_empty() {
            break;
        }
        for (key, approval) in state.content().approvals_of(team, service) {
            remaining.retain(|endpoint| {
                let is_covered = endpoint.owner == key.owner && approval.covers(&endpoint.name);
                if is_covered {
                    found.insert(&endpoint.name);
                }
                !is_covered
            });
        }
    }
    found
}
