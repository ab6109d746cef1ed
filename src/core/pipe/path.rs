//! Choice of a path: a sequence of engines that runs every layer once and in order.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use super::Links;
use super::Span;
use super::link::transfer_time;
use crate::core::site::Card;
use crate::core::site::Model;
use crate::names::Domain;
use crate::names::EndpointName;

/// The fixed cost of each engine in a path, in milliseconds per token: the token waits for the
/// engine's next forward pass.
const HOP_COST_MS: f64 = 0.4;
/// The share of an engine's request memory from which its cost rises: requests that were sent by other
/// VMs since its load was reported take the rest.
const HIGH_MEMORY_USE: f64 = 0.6;
/// How fast the cost rises from [`HIGH_MEMORY_USE`] on: by this factor for each tenth of the memory. The
/// slowest engines then take requests before the fastest run out of memory.
const MEMORY_COST_FACTOR: f64 = 3.0;

/// What opening a connection to the first engine adds, as a share of that engine's time. It decides
/// between first engines of nearly the same time only.
const COLD_SHARE: f64 = 0.1;

/// An engine that a path may use, with its present load.
#[derive(Clone, Debug)]
pub struct Stage {
    /// The name under which the engine is registered.
    pub endpoint: EndpointName,
    /// The address that identifies the engine in a path.
    pub addr: SocketAddr,
    /// The failure domain; transfers to other domains are slow.
    pub domain: Domain,
    /// The layers that the engine has loaded.
    pub span: Span,
    /// The memory and speed of its accelerator.
    pub card: Card,
    /// The estimated number of requests of all VMs that run on it now.
    pub running: f64,
    /// The estimated share of its request memory (KV cache) in use; above 1 if overcommitted.
    pub memory_use: f64,
    /// A factor on its cost; above 1 if the engine was slow or failed recently.
    pub penalty: f64,
    /// Whether it has a free slot to be the first engine of a path, which accepts the request and
    /// streams the answer, and this VM's share of its limit allows a request.
    pub can_lead: bool,
    /// Whether this VM has an idle connection to it.
    pub is_warm: bool,
}

impl Stage {
    /// Returns whether the engine has memory for a request on all of its layers, if requests may fill
    /// up to `limit` of its request memory.
    #[must_use]
    pub fn fits(&self, model: &Model, demand: Demand, limit: f64) -> bool {
        let layers = self.span.len();
        let cells = (demand.prompt + demand.answer) * f64::from(layers);
        self.memory_use + cells / model.kv_capacity(self.card, layers).max(1.0) <= limit
    }
}

/// One engine of a path and the layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The name under which the engine is registered.
    pub endpoint: EndpointName,
    /// The address at which the engine is called.
    pub addr: SocketAddr,
    /// The layers that the engine runs for this request, a part of those that it holds.
    pub span: Span,
}

/// The number of tokens of a request, from which its cost is estimated.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The tokens of the prompt.
    pub prompt: f64,
    /// The expected tokens of the answer.
    pub answer: f64,
}

/// A search state: the request has run all layers before `layer` and is at `stage`. The ordering is
/// reversed, since [`BinaryHeap`] pops the largest entry and the cheapest state comes first.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QueueEntry {
    /// The time to this state, in milliseconds.
    cost: f64,
    layer: u32,
    stage: usize,
}

impl Eq for QueueEntry {}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .cost
            .total_cmp(&self.cost)
            .then_with(|| other.layer.cmp(&self.layer))
            .then_with(|| other.stage.cmp(&self.stage))
    }
}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Returns the path with the lowest estimated time, or `None` if no path runs all layers.
///
/// The estimate covers the prompt and every token on each engine at its present load, and the
/// transfers between domains. `home` is the domain of this VM. Links that take no new request are not
/// crossed.
pub fn choose_path(
    stages: &[Stage],
    links: &Links,
    model: &Model,
    home: &Domain,
    demand: Demand,
) -> Option<Vec<Part>> {
    let all = Span {
        from: 0,
        to: model.layers,
    };
    choose_subpath(stages, links, model, home, demand, all)
}

/// Returns the cheapest path through a range of layers; `home` is the domain from which it is
/// entered.
///
/// This replaces an engine that stalls during a request: the other engines keep their KV cache, so
/// only the layers in `range` process the prompt again.
pub fn choose_subpath(
    stages: &[Stage],
    links: &Links,
    model: &Model,
    home: &Domain,
    demand: Demand,
    range: Span,
) -> Option<Vec<Part>> {
    let stages = cheapest_stages(stages, model, demand);
    let mut best: BTreeMap<(u32, usize), f64> = BTreeMap::new();
    let mut previous: BTreeMap<(u32, usize), (u32, usize)> = BTreeMap::new();
    let mut queue = BinaryHeap::new();
    for (index, stage) in stages.iter().enumerate() {
        if stage.span.contains(range.from) && (stage.can_lead || range.from > 0) {
            let cost = if stage.domain == *home {
                0.0
            } else if range.from > 0 {
                transfer_time(model, demand)
            } else {
                model.delay * demand.answer
            };
            let cost = if range.from > 0 {
                cost
            } else {
                let layers = stage.span.to.min(range.to);
                cost + opening_time(stage, model, layers, demand)
            };
            best.insert((range.from, index), cost);
            queue.push(QueueEntry {
                cost,
                layer: range.from,
                stage: index,
            });
        }
    }
    while let Some(QueueEntry { cost, layer, stage }) = queue.pop() {
        if best.get(&(layer, stage)).is_some_and(|known| *known < cost) {
            continue;
        }
        if layer >= range.to {
            return Some(collect_parts(&stages, &previous, (layer, stage)));
        }
        let current = stages[stage];
        let mut relax = |to: u32, next: usize, extra: f64| {
            let cost = cost + stage_time(current, model, to - layer, demand) + extra;
            let lowest = best.entry((to, next)).or_insert(f64::INFINITY);
            if cost < *lowest {
                *lowest = cost;
                previous.insert((to, next), (layer, stage));
                queue.push(QueueEntry {
                    cost,
                    layer: to,
                    stage: next,
                });
            }
        };
        if current.span.to >= range.to {
            relax(range.to, stage, 0.0);
            continue;
        }
        for (index, next) in stages.iter().enumerate() {
            if index == stage || next.span.to <= current.span.to {
                continue;
            }
            let crossing = if current.domain == next.domain {
                Some(0.0)
            } else {
                links.crossing(&current.domain, &next.domain, model, demand)
            };
            let Some(crossing) = crossing else { continue };
            if next.span.contains(current.span.to) {
                relax(current.span.to, index, crossing);
            }
            if next.span.from > layer && next.span.from < current.span.to.min(range.to) {
                relax(next.span.from, index, crossing);
            }
        }
    }
    None
}

/// Returns the cheapest of the engines that hold the same layers on the same kind of accelerator in
/// the same domain, and the cheapest of those that may lead.
///
/// A path never needs two engines of such a group. The search compares each engine with all others,
/// so with thousands of engines, where most have dozens alike, it would take a small VM tenths of a
/// second for each request.
fn cheapest_stages<'a>(stages: &'a [Stage], model: &Model, demand: Demand) -> Vec<&'a Stage> {
    let mut cheapest = BTreeMap::new();
    for (index, stage) in stages.iter().enumerate() {
        let Card { memory, pace, read } = stage.card;
        let card = [memory.to_bits(), pace.to_bits(), read.to_bits()];
        let cost = stage_time(stage, model, stage.span.len(), demand);
        let mut offer = |may_lead: bool, cost: f64| {
            let key = (&stage.domain, stage.span, card, may_lead);
            let best = cheapest.entry(key).or_insert((cost, index));
            if cost < best.0 {
                *best = (cost, index);
            }
        };
        offer(false, cost);
        if stage.can_lead {
            offer(
                true,
                cost + opening_time(stage, model, stage.span.len(), demand),
            );
        }
    }
    let mut kept: Vec<usize> = cheapest.into_values().map(|(_, index)| index).collect();
    kept.sort_unstable();
    kept.dedup();
    kept.into_iter().map(|index| &stages[index]).collect()
}

/// Returns the estimated time, in milliseconds, that a request spends on `layers` layers of an
/// engine.
fn stage_time(stage: &Stage, model: &Model, layers: u32, demand: Demand) -> f64 {
    let share = f64::from(layers) / f64::from(model.layers.max(1));
    let context = (demand.prompt + demand.answer) / 1000.0 * model.context;
    let step = model.step + (model.sequence + context) * stage.running;
    let token = share * stage.card.pace * step + HOP_COST_MS;
    let prompt = share * stage.card.read * demand.prompt / model.reading;
    let high = (stage.memory_use - HIGH_MEMORY_USE).max(0.0);
    let memory_factor = MEMORY_COST_FACTOR.powf(high * 10.0);
    (token * demand.answer + prompt) * stage.penalty * memory_factor
}

/// Returns what a new connection adds to the time of a first engine that runs `layers` layers.
///
/// Without it, the requests of a VM that has few would each open a connection to another of the engines
/// that are alike. The share is less than the random part of the costs, so that a VM's requests still
/// go to several engines, and a full engine costs eight times as much.
fn opening_time(stage: &Stage, model: &Model, layers: u32, demand: Demand) -> f64 {
    if stage.is_warm {
        return 0.0;
    }
    COLD_SHARE * stage_time(stage, model, layers, demand)
}

/// Returns the first layers of a model that none of the engines holds; `None` if each has one.
#[must_use]
pub fn find_gap(stages: &[Stage], layers: u32) -> Option<Span> {
    let is_held = |layer: &u32| stages.iter().any(|stage| stage.span.contains(*layer));
    let from = (0..layers).find(|layer| !is_held(layer))?;
    let to = (from..layers).find(is_held).unwrap_or(layers);
    Some(Span { from, to })
}

/// Follows `previous` back from `end` and returns the parts of the path in order.
fn collect_parts(
    stages: &[&Stage],
    previous: &BTreeMap<(u32, usize), (u32, usize)>,
    end: (u32, usize),
) -> Vec<Part> {
    let mut list = Vec::new();
    let mut here = end;
    while let Some(before) = previous.get(&here) {
        let stage = stages[before.1];
        list.push(Part {
            endpoint: stage.endpoint.clone(),
            addr: stage.addr,
            span: Span {
                from: before.0,
                to: here.0,
            },
        });
        here = *before;
    }
    list.reverse();
    list
}
