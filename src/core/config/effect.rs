//! What a plan would bring about, for the operator who is asked to confirm it.

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

/// The most effects that a plan lists; a last one counts the rest.
pub const MAX_PLAN_EFFECTS: usize = 200;

/// One effect of a plan.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// All is as wanted already.
    #[display("nothing to do")]
    NothingToDo,
    /// The capacity of a service changes.
    #[display("service {service}: {before} before, {after} after")]
    Capacity {
        /// The service.
        service: ServiceName,
        /// The capacity before.
        before: Capacity,
        /// The capacity after.
        after: Capacity,
    },
    /// No endpoint would hold these layers of a model.
    #[display("service {service}: no endpoint holds the layers {layers}")]
    Uncovered {
        /// The model.
        service: ServiceName,
        /// The layers.
        layers: Layers,
    },
    /// A grant admits a team to an owner's endpoints only once the owner approves.
    #[display("owner {owner} has yet to approve team {team} for service {service}")]
    Unapproved {
        /// The service.
        service: ServiceName,
        /// The team.
        team: Team,
        /// The owner.
        owner: Owner,
    },
    /// Another owner's endpoints come to a service that teams have grants to.
    #[display("owner {owner} is new to service {service} and has yet to approve {teams} teams")]
    NewOwner {
        /// The service.
        service: ServiceName,
        /// The owner.
        owner: Owner,
        /// How many teams the owner has not approved.
        teams: usize,
    },
    /// No team would be admitted to an endpoint that teams are admitted to now.
    #[display("endpoint {endpoint} loses its last caller")]
    Callerless {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Further effects are not listed.
    #[display("and {count} more")]
    More {
        /// How many.
        count: usize,
    },
}

/// What the endpoints of a service, except drained ones, can carry.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{endpoints} endpoints and {slots} slots")]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// The number of endpoints.
    pub endpoints: u32,
    /// The requests at a time: of a model, those of its narrowest layer.
    pub slots: u64,
}

/// Returns the effects of changes.
pub(super) fn effects(state: &State, after: &Overlay<'_>, changes: &[Change]) -> Vec<Effect> {
    if changes.is_empty() {
        return vec![Effect::NothingToDo];
    }
    let before = Overlay::new(state.content(), state.index(), &[]);
    let mut effects = Vec::new();
    let services = touched(changes);
    for service in &services {
        of_capacity(state, service, &before, after, &mut effects);
    }
    of_approvals(state, after, changes, &mut effects);
    for service in &exposed(changes) {
        of_callers(state, service, &before, after, &mut effects);
    }
    limit(effects)
}

fn limit(mut effects: Vec<Effect>) -> Vec<Effect> {
    if effects.len() > MAX_PLAN_EFFECTS {
        let count = effects.len() - MAX_PLAN_EFFECTS;
        effects.truncate(MAX_PLAN_EFFECTS);
        effects.push(Effect::More { count });
    }
    effects
}

/// Returns the services that changes are about.
fn touched(changes: &[Change]) -> BTreeSet<ServiceName> {
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

/// Returns the services where endpoints may lose callers or come under another owner.
fn exposed(changes: &[Change]) -> BTreeSet<ServiceName> {
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

fn of_capacity(
    state: &State,
    service: &ServiceName,
    before: &Overlay<'_>,
    after: &Overlay<'_>,
    effects: &mut Vec<Effect>,
) {
    let old = cover(state, service, before);
    let new = cover(state, service, after);
    if old.capacity != new.capacity {
        effects.push(Effect::Capacity {
            service: service.clone(),
            before: old.capacity,
            after: new.capacity,
        });
    }
    effects.extend(new.gaps.into_iter().map(|layers| Effect::Uncovered {
        service: service.clone(),
        layers,
    }));
}

/// How a service's endpoints cover it.
#[derive(Debug, Default)]
struct Cover {
    capacity: Capacity,
    gaps: Vec<Layers>,
}

fn cover(state: &State, service: &ServiceName, overlay: &Overlay<'_>) -> Cover {
    let Some(entry) = overlay.service(service) else {
        return Cover::default();
    };
    let mut endpoints = overlay.endpoints(service);
    endpoints.retain(|endpoint| !state.is_drained(&endpoint.name));
    let (slots, gaps) = match entry.kind {
        ServiceKind::Model { layers, .. } => narrowest(layers, &endpoints),
        ServiceKind::Plain { .. } => {
            let slots = endpoints.iter().map(|endpoint| u64::from(endpoint.slots));
            (slots.sum(), Vec::new())
        }
    };
    let endpoints = endpoints.len() as u32;
    Cover {
        capacity: Capacity { endpoints, slots },
        gaps,
    }
}

/// Returns the slots of the narrowest layer of a model, and the layers that have none.
fn narrowest(layers: u32, endpoints: &[Endpoint]) -> (u64, Vec<Layers>) {
    let mut steps: BTreeMap<u32, i64> = BTreeMap::from([(0, 0), (layers, 0)]);
    for endpoint in endpoints {
        let Some(range) = endpoint.layers else {
            continue;
        };
        *steps.entry(range.from).or_default() += i64::from(endpoint.slots);
        *steps.entry(range.to).or_default() -= i64::from(endpoint.slots);
    }
    let mut slots = 0;
    let mut least = u64::MAX;
    let mut gaps: Vec<Layers> = Vec::new();
    for ((&from, step), &to) in steps.iter().zip(steps.keys().skip(1)) {
        slots += step;
        least = least.min(slots.unsigned_abs());
        if slots > 0 {
            continue;
        }
        match gaps.last_mut() {
            Some(gap) if gap.to == from => gap.to = to,
            _ => gaps.push(Layers { from, to }),
        }
    }
    (least, gaps)
}

/// Lists the approvals that the plan's own grants still lack.
fn of_approvals(state: &State, after: &Overlay<'_>, changes: &[Change], to: &mut Vec<Effect>) {
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
        to.extend(missing.map(|owner| Effect::Unapproved {
            service: grant.service.clone(),
            team: grant.team.clone(),
            owner: owner.clone(),
        }));
    }
}

/// Lists the owners who come to a service, and the endpoints that lose their last caller.
fn of_callers(
    state: &State,
    service: &ServiceName,
    before: &Overlay<'_>,
    after: &Overlay<'_>,
    to: &mut Vec<Effect>,
) {
    let held = before.endpoints(service);
    let endpoints = after.endpoints(service);
    let teams = after.granted(service);
    let known: BTreeSet<&Owner> = held.iter().map(|endpoint| &endpoint.owner).collect();
    let owners: BTreeSet<&Owner> = endpoints.iter().map(|endpoint| &endpoint.owner).collect();
    for owner in owners.difference(&known).filter(|_| !known.is_empty()) {
        let teams = unapproved(state, service, &teams, owner);
        to.extend((teams > 0).then(|| Effect::NewOwner {
            service: service.clone(),
            owner: (*owner).clone(),
            teams,
        }));
    }
    let called = reached(state, service, &before.granted(service), &held);
    let calls = reached(state, service, &teams, &endpoints);
    let names = endpoints.iter().map(|endpoint| &endpoint.name);
    let lost = names.filter(|name| called.contains(name) && !calls.contains(name));
    to.extend(lost.map(|name| Effect::Callerless {
        endpoint: name.clone(),
    }));
}

/// Counts the teams that an owner has not approved for a service.
fn unapproved(
    state: &State,
    service: &ServiceName,
    teams: &BTreeSet<Team>,
    owner: &Owner,
) -> usize {
    let approves = |team: &Team| {
        let mut approvals = state.content().approvals_of(team, service);
        approvals.any(|(key, _)| key.owner == *owner)
    };
    teams.iter().filter(|team| !approves(team)).count()
}

/// Returns which of a service's endpoints some team is approved for.
///
/// It stops at the last endpoint found, which mostly takes the approvals of a few teams.
fn reached<'a>(
    state: &State,
    service: &ServiceName,
    teams: &BTreeSet<Team>,
    endpoints: &'a [Endpoint],
) -> BTreeSet<&'a EndpointName> {
    let mut found = BTreeSet::new();
    let mut rest: Vec<&Endpoint> = endpoints.iter().collect();
    for team in teams {
        if rest.is_empty() {
            break;
        }
        for (key, approval) in state.content().approvals_of(team, service) {
            rest.retain(|endpoint| {
                let hit = endpoint.owner == key.owner && approval.covers(&endpoint.name);
                if hit {
                    found.insert(&endpoint.name);
                }
                !hit
            });
        }
    }
    found
}
