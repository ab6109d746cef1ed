//! Routing: which endpoint, or which chain of endpoints, gets a request.
//!
//! Each VM decides alone, with a stale and partial view of the endpoints. It draws two random
//! candidates by weights from an optimal flow, and takes the one with the shorter expected wait.
//! The random draw keeps many VMs with the same stale view from sending all requests to the same
//! endpoint. docs/ROUTING.md compares the alternatives.

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

/// The most hints sent in one heartbeat.
const MAX_HINTS: usize = 32;
/// The cost that a cached prompt token saves, as a fraction of the cost of a generated token.
const CACHED_TOKEN_SAVING: f64 = 0.05;
/// The weight of a link's round trips in an endpoint's expected wait. It is low since round trips
/// delay the caller but use none of the endpoint's capacity.
const LINK_WEIGHT: f64 = 0.1;
/// The time after which to retry if no endpoint is ejected, so none has a known time of return.
const DEFAULT_RETRY: Millis = Millis::seconds(1);

/// What the router has to know about a request.
#[derive(Clone, Debug, Default)]
pub struct Requirements<'a> {
    /// The expected work in token steps; 1 for a plain request.
    pub cost: u32,
    /// The hashes of the prompt's prefix blocks; each hash also covers all blocks before it.
    pub prefix: &'a [u64],
    /// Endpoints that must not be used, such as those on which the request has failed.
    pub avoid: &'a [EndpointName],
}

/// The error if no endpoint, or no complete chain, is usable now.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("no capacity for {service}, come back after {retry_after} ms")]
pub struct NoCapacity {
    /// The service that the request calls.
    pub service: ServiceName,
    /// The first layer that no usable endpoint covers; `None` if no chain was requested.
    pub layer: Option<u32>,
    /// How long the caller should wait before it retries.
    pub retry_after: Millis,
}

/// A VM's load on one endpoint, as it is sent to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hint {
    /// The endpoint that has the load.
    pub endpoint: EndpointName,
    /// The sender's requests on it that the endpoint's report doesn't count yet.
    pub unreported: UnreportedLoad,
}

/// An event that changes the view of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The endpoint reported its load.
    Reported(Report),
    /// This VM sent work to it.
    Started {
        /// The expected work in token steps.
        cost: u32,
    },
    /// The endpoint answered one step.
    Answered {
        /// The time from sending the step to its answer.
        took: Millis,
    },
    /// This VM's work on it ended.
    Ended {
        /// The time since the work was sent.
        took: Millis,
        /// Whether the endpoint completed, failed or refused it.
        outcome: Outcome,
    },
    /// The endpoint's prefix cache changed.
    Cached(CacheEvent),
    /// The endpoint is leaving or has crashed (true), or is available again (false).
    Leaving(bool),
    /// The endpoint asked this VM to send it nothing for this long.
    Paused(Millis),
}

/// Routes the requests of one VM.
#[derive(Clone, Debug)]
pub struct Router {
    rng: ChaCha8Rng,
    policy: Policy,
    /// The number of other serving VMs.
    peers: usize,
    /// The number of picks so far, for [`Policy::RoundRobin`].
    picks: usize,
    pools: BTreeMap<ServiceName, Pool>,
    /// The service of each known endpoint.
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

    /// Sets the number of other serving VMs. Hints from some of them are scaled up to this number.
    pub fn set_peers(&mut self, count: usize) {
        self.peers = count;
    }

    /// Replaces the endpoints of one service and returns their throughput bound.
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

    /// Applies an event of an endpoint. Events of unknown endpoints are ignored.
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
            Event::Paused(pause) => view.pause(now + pause),
        }
    }

    /// Applies a peer's hint. Hints about unknown endpoints are ignored.
    pub fn apply_hint(&mut self, vm: &Vm, hint: &Hint) {
        if let Some(view) = self.view_mut(&hint.endpoint) {
            view.apply_hint(vm, hint.unreported);
        }
    }

    /// Returns the hints for peers: the endpoints where this VM's load differs most from the
    /// reports. Their number is limited, so that a heartbeat stays small in a large fleet.
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

    /// Returns the view of an endpoint, or `None` if it is unknown.
    #[must_use]
    pub fn view(&self, endpoint: &EndpointName) -> Option<&View> {
        let service = self.services.get(endpoint)?;
        self.pools.get(service)?.views.get(endpoint)
    }

    fn view_mut(&mut self, endpoint: &EndpointName) -> Option<&mut View> {
        let service = self.services.get(endpoint)?;
        self.pools.get_mut(service)?.views.get_mut(endpoint)
    }

    /// Picks one endpoint for the whole request.
    ///
    /// # Errors
    ///
    /// Returns an error if none of `candidates` is usable now.
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

    /// Picks a chain that covers each of the layers `0..layers` exactly once, in order.
    ///
    /// # Errors
    ///
    /// Returns an error with the first uncovered layer if the usable `candidates` leave a gap.
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

    /// Returns how long an endpoint may stay silent before it is suspected to have failed, or
    /// `None` if it is unknown.
    #[must_use]
    pub fn suspicion_timeout(&self, endpoint: &EndpointName) -> Option<Millis> {
        self.view(endpoint).map(View::suspicion_timeout)
    }
}

/// An endpoint's name and its view.
type NamedView<'a> = (&'a EndpointName, &'a View);

/// Returns the candidates that may get the request now.
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

/// Returns the weighted milliseconds that the request spends on the link: one round trip per token
/// step on a model endpoint, and one in all on a plain endpoint.
fn link_ms(view: &View, requirements: &Requirements<'_>) -> f64 {
    let trips = if view.layers.is_some() {
        requirements.cost
    } else {
        1
    };
    LINK_WEIGHT * view.round_trip_ms() * f64::from(trips)
}

/// Returns the index of the endpoint that probably caches most of the prompt; `None` if none caches
/// any of it.
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

/// Returns the stage for an endpoint. The baseline policies give all stages the same price, so they
/// pick the chain with the fewest legs.
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
    let first_return = views.filter_map(|view| view.returns_at(now)).min();
    let retry_after = first_return.map_or(DEFAULT_RETRY, |returns_at| {
        returns_at.since(now).max(Millis(1))
    });
    NoCapacity {
        service: service.clone(),
        layer,
        retry_after,
    }
}
