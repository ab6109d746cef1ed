//! Routing: which endpoint, or which chain of endpoints, gets a request.
//!
//! Each VM decides alone, with an old and partial view of the endpoints. The choice is by two
//! random candidates, drawn by the weights of a best flow and compared by expected wait, so that
//! many VMs with the same old view do not all send to the same endpoint. docs/ROUTING.md holds
//! the ways that were weighed.

pub mod chain;
pub mod choice;
pub mod flow;
pub mod health;
mod pool;
pub mod prefix;
pub mod retry;
pub mod timing;
pub mod view;

use std::collections::BTreeMap;

use derive_more::Display;
use derive_more::Error;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::chain::Leg;
use self::chain::Stage;
use self::choice::Candidate;
use self::choice::Policy;
use self::flow::Bound;
use self::pool::Pool;
use self::prefix::CacheEvent;
use self::view::Outcome;
use self::view::Report;
use self::view::UnreportedLoad;
use self::view::View;
use crate::clock::Millis;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Layers;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Vm;

/// The most endpoints in the hints of one heartbeat.
const MAX_HINTS: usize = 32;
/// The share of a prompt's price that a cached token saves, against a generated one.
const CACHED_TOKEN_SAVING: f64 = 0.05;
/// The part of a link's round trips in the price of an endpoint: they cost the caller time, but
/// take nothing of what the endpoint can do.
const LINK_WEIGHT: f64 = 0.1;
/// When to come back if no endpoint is known to return.
const DEFAULT_RETRY: Millis = Millis::seconds(1);

/// What a request needs of its endpoints.
#[derive(Clone, Debug, Default)]
pub struct Requirements<'a> {
    /// The token steps that it is expected to take; 1 for a plain request.
    pub cost: u32,
    /// The hashes of its prompt's prefix blocks, each covering all before it.
    pub prefix: &'a [u64],
    /// The endpoints that must not be used, such as those that failed it before.
    pub avoid: &'a [EndpointName],
}

/// No endpoint, or no full chain, may be used now.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("no capacity for {service}, come back after {retry_after} ms")]
pub struct NoCapacity {
    /// The service.
    pub service: ServiceName,
    /// The first layer that nothing covers, if a chain was sought.
    pub layer: Option<u32>,
    /// When to come back.
    pub retry_after: Millis,
}

/// What a peer tells of its work on one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hint {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The peer's requests on it that reports do not count yet.
    pub unreported: UnreportedLoad,
}

/// What happened to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The endpoint reported its load.
    Reported(Report),
    /// Own work was sent to it.
    Started {
        /// The token steps, in proportion to the layers run.
        cost: u32,
    },
    /// It answered one step.
    Answered {
        /// The span from the sending to the answer.
        took: Millis,
    },
    /// Own work on it ended.
    Ended {
        /// The span from its start.
        took: Millis,
        /// How it ended.
        outcome: Outcome,
    },
    /// Its prefix cache changed.
    Cached(CacheEvent),
    /// It is leaving, or no longer.
    Leaving(bool),
}

/// The router of one VM.
#[derive(Clone, Debug)]
pub struct Router {
    rng: ChaCha8Rng,
    policy: Policy,
    peers: usize,
    picks: usize,
    pools: BTreeMap<ServiceName, Pool>,
    services: BTreeMap<EndpointName, ServiceName>,
}

impl Router {
    /// Creates a router that knows no endpoints.
    #[must_use]
    pub fn new(seed: u64, policy: Policy) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            policy,
            peers: 0,
            picks: 0,
            pools: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Tells how many other VMs serve; hints from some of them are scaled up to all.
    pub fn set_peers(&mut self, count: usize) {
        self.peers = count;
    }

    /// Takes over the endpoints of one service, in force from now on, and returns their bound.
    pub fn set_endpoints(
        &mut self,
        service: &ServiceName,
        layers: u32,
        endpoints: &[&Endpoint],
    ) -> Bound {
        self.services.retain(|_, name| name != service);
        for one in endpoints {
            self.services.insert(one.name.clone(), service.clone());
        }
        let pool = self.pools.entry(service.clone()).or_default();
        pool.replace(layers, endpoints)
    }

    /// Takes in an event of an endpoint; one of an unknown endpoint is ignored.
    pub fn apply(&mut self, now: Millis, endpoint: &EndpointName, event: Event) {
        let Some(view) = self.view_mut(endpoint) else {
            return;
        };
        match event {
            Event::Reported(report) => view.apply_report(report),
            Event::Started { cost } => view.started(now, cost),
            Event::Answered { took } => view.answered(took),
            Event::Ended { took, outcome } => view.ended(now, took, outcome),
            Event::Cached(change) => view.prefix.apply(&change),
            Event::Leaving(leaving) => view.leaving = leaving,
        }
    }

    /// Takes in a peer's hint.
    pub fn apply_hint(&mut self, vm: &Vm, hint: &Hint) {
        if let Some(view) = self.view_mut(&hint.endpoint) {
            view.apply_hint(vm, hint.unreported);
        }
    }

    /// Returns the hints for peers: the endpoints where this VM's work differs most from what the
    /// reports count, so many that a heartbeat stays small however large the fleet is.
    #[must_use]
    pub fn hints(&self) -> Vec<Hint> {
        let views = self.pools.values().flat_map(|pool| &pool.views);
        let mut all: Vec<Hint> = views
            .filter(|(_, view)| view.in_flight() > 0 || view.unreported().count != 0)
            .map(|(name, view)| Hint {
                endpoint: name.clone(),
                unreported: view.unreported(),
            })
            .collect();
        all.sort_by_key(|hint| std::cmp::Reverse(hint.unreported.count.unsigned_abs()));
        all.truncate(MAX_HINTS);
        all
    }

    /// Returns what is known of an endpoint.
    #[must_use]
    pub fn view(&self, endpoint: &EndpointName) -> Option<&View> {
        let service = self.services.get(endpoint)?;
        self.pools.get(service)?.views.get(endpoint)
    }

    fn view_mut(&mut self, endpoint: &EndpointName) -> Option<&mut View> {
        let service = self.services.get(endpoint)?;
        self.pools.get_mut(service)?.views.get_mut(endpoint)
    }

    /// Picks one endpoint that serves the whole request.
    ///
    /// # Errors
    ///
    /// Fails if none of `candidates` may be used now.
    pub fn pick(
        &mut self,
        now: Millis,
        service: &ServiceName,
        candidates: &[EndpointName],
        requirements: &Requirements<'_>,
    ) -> Result<EndpointName, NoCapacity> {
        let Some(pool) = self.pools.get(service) else {
            return Err(no_capacity(now, service, None, None));
        };
        self.picks = self.picks.wrapping_add(1);
        let eligible = eligible(now, pool, candidates, requirements);
        let scored: Vec<Candidate> = eligible
            .iter()
            .map(|(_, view)| score(view, requirements, self.peers))
            .collect();
        let cached = longest_prefix(&eligible, requirements);
        let chosen = choose(self.policy, &mut self.rng, self.picks, &scored, cached);
        let name = chosen.map(|at| eligible[at].0.clone());
        name.ok_or_else(|| no_capacity(now, service, Some(pool), None))
    }

    /// Picks a chain that covers the layers `0..layers` exactly once, in order.
    ///
    /// # Errors
    ///
    /// Fails with the first uncovered layer if `candidates` leave a gap now.
    pub fn pick_chain(
        &mut self,
        now: Millis,
        service: &ServiceName,
        layers: u32,
        candidates: &[EndpointName],
        requirements: &Requirements<'_>,
    ) -> Result<Vec<Leg>, NoCapacity> {
        let Some(pool) = self.pools.get(service) else {
            return Err(no_capacity(now, service, None, Some(0)));
        };
        self.picks = self.picks.wrapping_add(1);
        let eligible = eligible(now, pool, candidates, requirements);
        let mut stages = Vec::new();
        for group in group_by_layers(&eligible) {
            let scored: Vec<Candidate> = group
                .iter()
                .map(|(_, view)| score(view, requirements, self.peers))
                .collect();
            let cached = longest_prefix(&group, requirements);
            let chosen = choose(self.policy, &mut self.rng, self.picks, &scored, cached);
            if let Some(at) = chosen {
                stages.extend(stage(self.policy, group[at], scored[at], requirements));
            }
        }
        let legs = if pool.boundaries.last() == Some(&layers) {
            chain::cheapest(&pool.boundaries, &stages)
        } else {
            Err(0)
        };
        legs.map_err(|layer| no_capacity(now, service, Some(pool), Some(layer)))
    }

    /// Returns after which silence an endpoint is to be suspected.
    #[must_use]
    pub fn suspicion_timeout(&self, endpoint: &EndpointName) -> Option<Millis> {
        self.view(endpoint).map(View::suspicion_timeout)
    }
}

type NamedView<'a> = (&'a EndpointName, &'a View);

/// Returns the endpoints that may get the request now.
fn eligible<'a>(
    now: Millis,
    pool: &'a Pool,
    candidates: &[EndpointName],
    requirements: &Requirements<'_>,
) -> Vec<NamedView<'a>> {
    candidates
        .iter()
        .filter(|name| !requirements.avoid.contains(name))
        .filter_map(|name| pool.views.get_key_value(name))
        .filter(|(_, view)| view.usable(now))
        .collect()
}

/// Splits endpoints into groups that hold the same layers.
fn group_by_layers<'a>(eligible: &[NamedView<'a>]) -> Vec<Vec<NamedView<'a>>> {
    let mut groups = BTreeMap::<Layers, Vec<NamedView<'a>>>::new();
    for &(name, view) in eligible {
        if let Some(held) = view.layers {
            groups.entry(held).or_default().push((name, view));
        }
    }
    groups.into_values().collect()
}

fn score(view: &View, requirements: &Requirements<'_>, peers: usize) -> Candidate {
    let scale = peers as f64 / view.hinting_peers().max(1) as f64;
    let load = view.load(scale.max(1.0));
    let saved = f64::from(view.prefix.cached_tokens(requirements.prefix)) * CACHED_TOKEN_SAVING;
    let cost = (f64::from(requirements.cost) - saved).max(0.0);
    Candidate {
        in_flight: view.in_flight(),
        wait: view.expected_wait(load, cost) + link_ms(view, requirements),
        weight: view.weight,
    }
}

/// Returns the milliseconds that the request spends on the link: a round trip for each step.
fn link_ms(view: &View, requirements: &Requirements<'_>) -> f64 {
    let trips = if view.layers.is_some() {
        requirements.cost
    } else {
        1
    };
    LINK_WEIGHT * view.round_trip_ms() * f64::from(trips)
}

/// Returns the endpoint that is believed to hold most of the prompt.
fn longest_prefix(eligible: &[NamedView<'_>], requirements: &Requirements<'_>) -> Option<usize> {
    let held = |at: &usize| eligible[*at].1.prefix.cached_tokens(requirements.prefix);
    (0..eligible.len())
        .filter(|at| held(at) > 0)
        .max_by_key(held)
}

fn choose(
    policy: Policy,
    rng: &mut ChaCha8Rng,
    picks: usize,
    scored: &[Candidate],
    cached: Option<usize>,
) -> Option<usize> {
    match policy {
        Policy::Random => choice::random(rng, scored.len()),
        Policy::RoundRobin => choice::round_robin(picks, scored.len()),
        Policy::LeastWork => choice::least_work(rng, scored),
        Policy::TwoChoices => {
            let drawn = choice::two_choices(rng, scored)?;
            let better = |&at: &usize| scored[at].wait < scored[drawn].wait;
            cached.filter(better).or(Some(drawn))
        }
    }
}

/// Prices a stage; the baselines price all alike and so take the fewest legs.
fn stage<'a>(
    policy: Policy,
    (endpoint, view): NamedView<'a>,
    scored: Candidate,
    requirements: &Requirements<'_>,
) -> Option<Stage<'a>> {
    let held = view.layers?;
    if policy != Policy::TwoChoices {
        return Some(Stage {
            endpoint,
            held,
            entry_price: 1.0,
            layer_price: 0.0,
        });
    }
    let link = link_ms(view, requirements);
    Some(Stage {
        endpoint,
        held,
        entry_price: link,
        layer_price: (scored.wait - link) / f64::from((held.to - held.from).max(1)),
    })
}

fn no_capacity(
    now: Millis,
    service: &ServiceName,
    pool: Option<&Pool>,
    layer: Option<u32>,
) -> NoCapacity {
    let views = pool.into_iter().flat_map(|one| one.views.values());
    let first_return = views.filter_map(|view| view.health.ejected_until()).min();
    let retry_after = first_return.map_or(DEFAULT_RETRY, |ejected_until| {
        ejected_until.since(now).max(Millis(1))
    });
    NoCapacity {
        service: service.clone(),
        layer,
        retry_after,
    }
}
