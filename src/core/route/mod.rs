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
use self::view::Surplus;
use self::view::View;
use crate::clock::Millis;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Layers;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Vm;

/// The most endpoints in the hints of one heartbeat.
const HINTS: usize = 32;
/// The share of a prompt's price that a cached token saves, against a generated one.
const CACHED_PRICE: f64 = 0.05;
/// When to come back if no endpoint is known to return.
const RETRY_SPAN: Millis = Millis::seconds(1);

/// What a request needs of its endpoints.
#[derive(Clone, Debug, Default)]
pub struct Need<'a> {
    /// The token steps that it is expected to take; 1 for a plain request.
    pub cost: u32,
    /// The hashes of its prompt's prefix blocks, each covering all before it.
    pub prefix: &'a [u64],
    /// The endpoints that must not be used, such as those that failed it before.
    pub avoid: &'a [EndpointName],
}

/// No endpoint, or no full chain, may be used now.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("no capacity for {service}, come back after {retry} ms")]
pub struct NoCapacity {
    /// The service.
    pub service: ServiceName,
    /// The first layer that nothing covers, if a chain was sought.
    pub layer: Option<u32>,
    /// When to come back.
    pub retry: Millis,
}

/// What a peer tells of its work on one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hint {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The peer's requests on it that reports do not count yet.
    pub surplus: Surplus,
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
    turn: usize,
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
            turn: 0,
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
            Event::Reported(report) => view.report(report),
            Event::Started { cost } => view.started(now, cost),
            Event::Answered { took } => view.answered(took),
            Event::Ended { took, outcome } => view.ended(now, took, outcome),
            Event::Cached(change) => view.prefix.apply(&change),
            Event::Leaving(leaving) => view.leaving = leaving,
        }
    }

    /// Takes in a peer's hint.
    pub fn hint(&mut self, vm: &Vm, hint: &Hint) {
        if let Some(view) = self.view_mut(&hint.endpoint) {
            view.hint(vm, hint.surplus);
        }
    }

    /// Returns the hints for peers: the endpoints where this VM's work differs most from what the
    /// reports count, so many that a heartbeat stays small however large the fleet is.
    #[must_use]
    pub fn hints(&self) -> Vec<Hint> {
        let views = self.pools.values().flat_map(|pool| &pool.views);
        let mut all: Vec<Hint> = views
            .filter(|(_, view)| view.own() > 0 || view.surplus().count != 0)
            .map(|(name, view)| Hint {
                endpoint: name.clone(),
                surplus: view.surplus(),
            })
            .collect();
        all.sort_by_key(|hint| std::cmp::Reverse(hint.surplus.count.unsigned_abs()));
        all.truncate(HINTS);
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
        need: &Need<'_>,
    ) -> Result<EndpointName, NoCapacity> {
        let Some(pool) = self.pools.get(service) else {
            return Err(none(now, service, None, None));
        };
        self.turn = self.turn.wrapping_add(1);
        let open = open(now, pool, candidates, need);
        let scored: Vec<Candidate> = open
            .iter()
            .map(|(_, view)| score(view, need, self.peers))
            .collect();
        let cached = longest(&open, need);
        let chosen = choose(self.policy, &mut self.rng, self.turn, &scored, cached);
        let name = chosen.map(|at| open[at].0.clone());
        name.ok_or_else(|| none(now, service, Some(pool), None))
    }

    /// Picks a chain that covers the layers `0..layers` exactly once, in order.
    ///
    /// # Errors
    ///
    /// Fails with the first uncovered layer if `candidates` leave a gap now.
    pub fn chain(
        &mut self,
        now: Millis,
        service: &ServiceName,
        layers: u32,
        candidates: &[EndpointName],
        need: &Need<'_>,
    ) -> Result<Vec<Leg>, NoCapacity> {
        let Some(pool) = self.pools.get(service) else {
            return Err(none(now, service, None, Some(0)));
        };
        self.turn = self.turn.wrapping_add(1);
        let open = open(now, pool, candidates, need);
        let mut stages = Vec::new();
        for group in groups(&open) {
            let scored: Vec<Candidate> = group
                .iter()
                .map(|(_, view)| score(view, need, self.peers))
                .collect();
            let cached = longest(&group, need);
            let chosen = choose(self.policy, &mut self.rng, self.turn, &scored, cached);
            if let Some(at) = chosen {
                stages.extend(stage(self.policy, group[at], scored[at], need));
            }
        }
        let legs = if pool.bounds.last() == Some(&layers) {
            chain::cheapest(&pool.bounds, &stages)
        } else {
            Err(0)
        };
        legs.map_err(|layer| none(now, service, Some(pool), Some(layer)))
    }

    /// Returns after which silence an endpoint is to be suspected.
    #[must_use]
    pub fn patience(&self, endpoint: &EndpointName) -> Option<Millis> {
        self.view(endpoint).map(View::patience)
    }
}

type Named<'a> = (&'a EndpointName, &'a View);

/// Returns the endpoints that may get the request now.
fn open<'a>(
    now: Millis,
    pool: &'a Pool,
    candidates: &[EndpointName],
    need: &Need<'_>,
) -> Vec<Named<'a>> {
    candidates
        .iter()
        .filter(|name| !need.avoid.contains(name))
        .filter_map(|name| pool.views.get_key_value(name))
        .filter(|(_, view)| view.usable(now))
        .collect()
}

/// Splits endpoints into groups that hold the same layers.
fn groups<'a>(open: &[Named<'a>]) -> Vec<Vec<Named<'a>>> {
    let mut groups = BTreeMap::<Layers, Vec<Named<'a>>>::new();
    for &(name, view) in open {
        if let Some(held) = view.layers {
            groups.entry(held).or_default().push((name, view));
        }
    }
    groups.into_values().collect()
}

fn score(view: &View, need: &Need<'_>, peers: usize) -> Candidate {
    let scale = peers as f64 / view.hinted().max(1) as f64;
    let load = view.load(scale.max(1.0));
    let saved = f64::from(view.prefix.tokens(need.prefix)) * CACHED_PRICE;
    let cost = (f64::from(need.cost) - saved).max(0.0);
    Candidate {
        own: view.own(),
        wait: view.wait(load, cost) + link(view, need),
        weight: view.weight,
    }
}

/// Returns the milliseconds that the request spends on the link: a round trip for each step.
fn link(view: &View, need: &Need<'_>) -> f64 {
    let trips = if view.layers.is_some() { need.cost } else { 1 };
    2.0 * view.delay.0 as f64 * f64::from(trips)
}

/// Returns the endpoint that is believed to hold most of the prompt.
fn longest(open: &[Named<'_>], need: &Need<'_>) -> Option<usize> {
    let held = |at: &usize| open[*at].1.prefix.tokens(need.prefix);
    (0..open.len()).filter(|at| held(at) > 0).max_by_key(held)
}

fn choose(
    policy: Policy,
    rng: &mut ChaCha8Rng,
    turn: usize,
    scored: &[Candidate],
    cached: Option<usize>,
) -> Option<usize> {
    match policy {
        Policy::Random => choice::random(rng, scored.len()),
        Policy::RoundRobin => choice::next(turn, scored.len()),
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
    (endpoint, view): Named<'a>,
    scored: Candidate,
    need: &Need<'_>,
) -> Option<Stage<'a>> {
    let held = view.layers?;
    if policy != Policy::TwoChoices {
        return Some(Stage {
            endpoint,
            held,
            enter: 1.0,
            layer: 0.0,
        });
    }
    let link = link(view, need);
    Some(Stage {
        endpoint,
        held,
        enter: link,
        layer: (scored.wait - link) / f64::from((held.to - held.from).max(1)),
    })
}

fn none(now: Millis, service: &ServiceName, pool: Option<&Pool>, layer: Option<u32>) -> NoCapacity {
    let views = pool.into_iter().flat_map(|one| one.views.values());
    let back = views.filter_map(|view| view.health.until()).min();
    let retry = back.map_or(RETRY_SPAN, |until| until.since(now).max(Millis(1)));
    NoCapacity {
        service: service.clone(),
        layer,
        retry,
    }
}
