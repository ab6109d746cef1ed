//! The choice of a path: engines whose parts run every layer once and in order.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use super::Span;
use crate::core::site::Card;
use crate::core::site::Model;
use crate::names::Domain;
use crate::names::EndpointName;

/// How long each token is assumed to wait, in milliseconds, for other transfers on the link between
/// two domains: transfers go one after the other, and that of a prompt takes tens of milliseconds.
const LINK_WAIT_MS: f64 = 6.0;
/// The fixed cost of one more engine in a path, in milliseconds a token: a pass to wait for.
const HOP_COST_MS: f64 = 0.4;
/// The room of an engine, as a share, above which its cost is multiplied.
const HIGH_MEMORY_USE: f64 = 0.85;
/// The factor on the cost of an engine whose room is nearly used up.
const HIGH_MEMORY_FACTOR: f64 = 8.0;

/// An engine as a path may use it.
#[derive(Clone, Debug)]
pub struct Stage {
    /// The engine.
    pub endpoint: EndpointName,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// The layers that it holds.
    pub span: Span,
    /// Its accelerator.
    pub card: Card,
    /// The requests that are estimated to pass through it now, of all VMs.
    pub running: f64,
    /// The share of its memory for requests that is estimated to be in use.
    pub memory_use: f64,
    /// A factor on its cost: over 1 if it was seen to be slow or failing.
    pub penalty: f64,
    /// Whether it may be the first engine, which takes a request in and speaks for the path.
    pub can_lead: bool,
}

/// One engine's part of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub endpoint: EndpointName,
    /// Its address.
    pub addr: SocketAddr,
    /// The layers that it runs.
    pub span: Span,
}

/// What a request asks of a path.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Its prompt tokens.
    pub prompt: f64,
    /// The tokens of its answer, as far as is known.
    pub answer: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct QueueEntry {
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

/// Chooses the path of the least estimated time from `home`, or `None` if no path runs all layers.
///
/// The answer to ordinary load: the time of a path is what its engines take for the prompt and for
/// each token at their present load, and the crossings between domains.
pub fn choose_path(
    stages: &[Stage],
    model: &Model,
    home: &Domain,
    demand: Demand,
) -> Option<Vec<Part>> {
    let all = Span {
        from: 0,
        to: model.layers,
    };
    choose_subpath(stages, model, home, demand, all)
}

/// Chooses a path through a range of layers only; `home` is where the range is entered from.
///
/// The answer to an engine that stands still in the middle of a request: the other engines keep
/// what they have read of it, so as few layers as possible are read anew.
pub fn choose_subpath(
    stages: &[Stage],
    model: &Model,
    home: &Domain,
    demand: Demand,
    range: Span,
) -> Option<Vec<Part>> {
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
            return Some(collect_parts(stages, &previous, (layer, stage)));
        }
        let current = &stages[stage];
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
            let crossing = crossing_time(current, next, model, demand);
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

/// Returns the estimated time, in milliseconds, that a request spends in an engine's part.
fn stage_time(stage: &Stage, model: &Model, layers: u32, demand: Demand) -> f64 {
    let share = f64::from(layers) / f64::from(model.layers.max(1));
    let context = (demand.prompt + demand.answer) / 1000.0 * model.context;
    let step = model.step + (model.sequence + context) * stage.running;
    let token = share * stage.card.pace * step + HOP_COST_MS;
    let prompt = share * stage.card.read * demand.prompt / model.reading;
    let memory_factor = if stage.memory_use > HIGH_MEMORY_USE {
        HIGH_MEMORY_FACTOR
    } else {
        1.0
    };
    (token * demand.answer + prompt) * stage.penalty * memory_factor
}

fn crossing_time(from: &Stage, to: &Stage, model: &Model, demand: Demand) -> f64 {
    if from.domain == to.domain {
        return 0.0;
    }
    transfer_time(model, demand)
}

/// Returns the time that a request's transfers between two domains take and wait.
fn transfer_time(model: &Model, demand: Demand) -> f64 {
    /// Megabits a second as bytes a millisecond.
    const BYTES_PER_MS: f64 = 125.0;
    let tokens = demand.prompt + demand.answer;
    let per_token = model.activation / (model.pipe * BYTES_PER_MS);
    tokens * per_token + (model.delay + LINK_WAIT_MS) * demand.answer
}

fn collect_parts(
    stages: &[Stage],
    previous: &BTreeMap<(u32, usize), (u32, usize)>,
    end: (u32, usize),
) -> Vec<Part> {
    let mut list = Vec::new();
    let mut here = end;
    while let Some(before) = previous.get(&here) {
        let stage = &stages[before.1];
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
