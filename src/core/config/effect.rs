//! What a plan would bring about, for the operator who is asked to confirm it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::core::config::approval::Approval;
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
pub const PLAN_EFFECTS: usize = 200;

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
    if effects.len() > PLAN_EFFECTS {
        let count = effects.len() - PLAN_EFFECTS;
        effects.truncate(PLAN_EFFECTS);
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
    let old = Callers::of(state, before.granted(service), service);
    let new = Callers::of(state, after.granted(service), service);
    let held = before.endpoints(service);
    let endpoints = after.endpoints(service);
    let known: BTreeSet<&Owner> = held.iter().map(|endpoint| &endpoint.owner).collect();
    let owners: BTreeSet<&Owner> = endpoints.iter().map(|endpoint| &endpoint.owner).collect();
    for owner in owners.difference(&known) {
        let teams = new.teams - new.approved.get(*owner).copied().unwrap_or_default();
        if !known.is_empty() && teams > 0 {
            to.push(Effect::NewOwner {
                service: service.clone(),
                owner: (*owner).clone(),
                teams,
            });
        }
    }
    let called: BTreeSet<&EndpointName> = held
        .iter()
        .filter(|endpoint| old.reach(endpoint))
        .map(|endpoint| &endpoint.name)
        .collect();
    let lost = endpoints
        .iter()
        .filter(|endpoint| called.contains(&endpoint.name) && !new.reach(endpoint));
    to.extend(lost.map(|endpoint| Effect::Callerless {
        endpoint: endpoint.name.clone(),
    }));
}

/// Which endpoints of a service some team with a grant is approved for.
#[derive(Debug, Default)]
struct Callers<'a> {
    /// The number of teams with a grant.
    teams: usize,
    /// How many of them each owner approved, for some endpoint at least.
    approved: BTreeMap<&'a Owner, usize>,
    whole: BTreeSet<&'a Owner>,
    single: BTreeSet<(&'a Owner, &'a EndpointName)>,
}

impl<'a> Callers<'a> {
    fn of(state: &'a State, teams: BTreeSet<Team>, service: &ServiceName) -> Self {
        let mut callers = Self {
            teams: teams.len(),
            ..Self::default()
        };
        for team in teams {
            for (key, approval) in state.content().approvals_of(&team, service) {
                *callers.approved.entry(&key.owner).or_default() += 1;
                match approval {
                    Approval::All => {
                        callers.whole.insert(&key.owner);
                    }
                    Approval::Only(names) => {
                        let names = names.iter().map(|name| (&key.owner, name));
                        callers.single.extend(names);
                    }
                }
            }
        }
        callers
    }

    fn reach(&self, endpoint: &Endpoint) -> bool {
        self.whole.contains(&endpoint.owner)
            || self.single.contains(&(&endpoint.owner, &endpoint.name))
    }
}
