//! The throughput bound: the highest token rate that any router could reach with a set of
//! endpoints.
//!
//! The cost model: an endpoint that holds `n` layers and runs `rate` token steps per second does
//! `n * rate` layer steps per second, in any mix of sub-ranges. A token needs one layer step of
//! each layer. Whether a token rate is feasible is a max-flow problem from the layers to the
//! endpoints that hold them. Newton's method over the minimum cuts finds the highest feasible rate,
//! without a linear program (docs/ROUTING.md).

use std::collections::BTreeSet;

use petgraph::algo::dinics;
use petgraph::graph::DiGraph;
use petgraph::graph::NodeIndex;

use crate::core::config::object::Endpoint;
use crate::core::config::object::Layers;
use crate::names::EndpointName;

/// Flow units per layer step; the max-flow works on integers.
const FLOW_SCALE: f64 = 1000.0;
/// The most rounds of Newton's method; each round finds a strictly tighter cut.
const MAX_ROUNDS: usize = 64;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The highest token rate of a service, and the layers and endpoints that limit it.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// Tokens per second.
    pub rate: f64,
    /// The layers that limit the rate, as disjoint ranges in ascending order.
    pub layers: Vec<Layers>,
    /// The endpoints that hold any of these layers.
    pub cut: Vec<EndpointName>,
    /// The load of each endpoint in one optimal flow.
    pub flows: Vec<Flow>,
}

/// The load of one endpoint in an optimal flow.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// The name of the loaded endpoint.
    pub endpoint: EndpointName,
    /// Its layer steps per second.
    pub work: f64,
}

/// Returns how many layer steps per second an endpoint can do. Its rate and its slots both limit
/// this: a session in a slot produces at most one token per round trip of the link.
#[must_use]
pub fn capacity(endpoint: &Endpoint) -> f64 {
    let layers = endpoint.layers.map_or(1, width);
    let rate = f64::from(endpoint.rate);
    let trip = 2.0 * endpoint.delay.0 as f64;
    let link = if trip > 0.0 {
        f64::from(endpoint.slots) * MILLIS_PER_SECOND / trip
    } else {
        f64::INFINITY
    };
    rate.min(link) * f64::from(layers)
}

/// Returns the layer numbers at which a range begins or ends, including 0 and `layers`, in
/// ascending order.
#[must_use]
pub fn boundaries<'a, I>(layers: u32, ranges: I) -> Vec<u32>
where
    I: IntoIterator<Item = &'a Layers>,
{
    let mut all = BTreeSet::from([0, layers]);
    for held in ranges {
        all.insert(held.from.min(layers));
        all.insert(held.to.min(layers));
    }
    all.into_iter().collect()
}

/// Returns the throughput bound of a model with `layers` layers on `endpoints`. A plain service
/// counts as one layer.
#[must_use]
pub fn bound(layers: u32, endpoints: &[&Endpoint]) -> Bound {
    find_bound(&Network::new(layers, endpoints, capacity))
}

/// Returns how many requests the slots of `endpoints` can hold at a time, where a request that uses
/// a part of an endpoint's layers takes the same part of a slot.
#[must_use]
pub fn max_concurrency(layers: u32, endpoints: &[&Endpoint]) -> u32 {
    let slots = |one: &Endpoint| f64::from(one.slots) * f64::from(one.layers.map_or(1, width));
    find_bound(&Network::new(layers, endpoints, slots)).rate as u32
}

fn find_bound(network: &Network<'_>) -> Bound {
    let all: Vec<usize> = (0..network.segments.len()).collect();
    let mut rate = network.cut_rate(&all);
    let mut found = network.solve(rate);
    let mut last = found.clone();
    for _ in 0..MAX_ROUNDS {
        let tighter = network.cut_rate(&found.min_cut);
        if found.min_cut.is_empty() || tighter >= rate {
            break;
        }
        rate = tighter;
        last = found;
        found = network.solve(rate);
    }
    let min_cut = if found.min_cut.is_empty() {
        &last.min_cut
    } else {
        &found.min_cut
    };
    network.describe(rate, min_cut, &found.flows)
}

/// The flow network: layer segments on one side, endpoints with capacities on the other.
struct Network<'a> {
    endpoints: &'a [&'a Endpoint],
    segments: Vec<Layers>,
    capacities: Vec<f64>,
}

/// The result of one max-flow computation.
#[derive(Clone)]
struct Solution {
    /// The segments on the source side of the minimum cut; empty if the rate is feasible.
    min_cut: Vec<usize>,
    flows: Vec<f64>,
}

impl<'a> Network<'a> {
    fn new<F>(layers: u32, endpoints: &'a [&'a Endpoint], capacity: F) -> Self
    where
        F: Fn(&Endpoint) -> f64,
    {
        let ranges: Vec<Layers> = endpoints.iter().filter_map(|one| one.layers).collect();
        let bounds = boundaries(layers.max(1), &ranges);
        let segments = bounds
            .windows(2)
            .map(|pair| Layers {
                from: pair[0],
                to: pair[1],
            })
            .collect();
        let capacities = endpoints.iter().map(|one| capacity(one)).collect();
        Self {
            endpoints,
            segments,
            capacities,
        }
    }

    fn holds(&self, endpoint: usize, segment: usize) -> bool {
        self.endpoints[endpoint].layers.is_none_or(|held| {
            let wanted = self.segments[segment];
            held.from <= wanted.from && wanted.to <= held.to
        })
    }

    /// Returns the rate that a set of segments allows: the total capacity of their holders, divided
    /// by the number of layers.
    fn cut_rate(&self, min_cut: &[usize]) -> f64 {
        let size: u32 = min_cut.iter().map(|&at| width(self.segments[at])).sum();
        let work: f64 = self
            .holders(min_cut)
            .iter()
            .map(|&at| self.capacities[at])
            .sum();
        work / f64::from(size.max(1))
    }

    fn holders(&self, min_cut: &[usize]) -> Vec<usize> {
        let held = |&at: &usize| min_cut.iter().any(|&segment| self.holds(at, segment));
        (0..self.endpoints.len()).filter(held).collect()
    }

    /// Computes a max-flow where each segment sends `rate` layer steps per layer to the endpoints
    /// that hold it.
    fn solve(&self, rate: f64) -> Solution {
        let mut graph = DiGraph::<(), u64>::new();
        let source = graph.add_node(());
        let sink = graph.add_node(());
        let segments: Vec<NodeIndex> = self.segments.iter().map(|_| graph.add_node(())).collect();
        let endpoints: Vec<NodeIndex> = self.endpoints.iter().map(|_| graph.add_node(())).collect();
        for (at, &node) in segments.iter().enumerate() {
            let need = rate * f64::from(width(self.segments[at])) * FLOW_SCALE;
            graph.add_edge(source, node, need.floor() as u64);
            for (other, &end) in endpoints.iter().enumerate() {
                if self.holds(other, at) {
                    graph.add_edge(node, end, u64::from(u32::MAX) << 16);
                }
            }
        }
        for (at, &node) in endpoints.iter().enumerate() {
            graph.add_edge(node, sink, (self.capacities[at] * FLOW_SCALE).ceil() as u64);
        }
        let (_, flow) = dinics(&graph, source, sink);
        let reached = residual(&graph, &flow, source);
        let min_cut = (0..segments.len())
            .filter(|&at| reached.contains(&segments[at]))
            .collect();
        let flows = endpoints
            .iter()
            .map(|&node| inflow(&graph, &flow, node) as f64 / FLOW_SCALE)
            .collect();
        Solution { min_cut, flows }
    }

    fn describe(&self, rate: f64, min_cut: &[usize], flows: &[f64]) -> Bound {
        let name = |at: usize| self.endpoints[at].name.clone();
        let flow = |(at, &work): (usize, &f64)| Flow {
            endpoint: name(at),
            work,
        };
        let mut layers = Vec::<Layers>::new();
        for &at in min_cut {
            let next = self.segments[at];
            match layers.last_mut() {
                Some(last) if last.to == next.from => last.to = next.to,
                _ => layers.push(next),
            }
        }
        if layers.is_empty() {
            layers.extend(self.all_layers());
        }
        let all: Vec<usize> = (0..self.segments.len()).collect();
        let limiting = if min_cut.is_empty() { &all } else { min_cut };
        Bound {
            rate,
            layers,
            cut: self.holders(limiting).into_iter().map(name).collect(),
            flows: flows.iter().enumerate().map(flow).collect(),
        }
    }

    fn all_layers(&self) -> Option<Layers> {
        let from = self.segments.first()?.from;
        let to = self.segments.last()?.to;
        Some(Layers { from, to })
    }
}

fn width(layers: Layers) -> u32 {
    layers.to - layers.from
}

fn inflow(graph: &DiGraph<(), u64>, flow: &[u64], node: NodeIndex) -> u64 {
    graph
        .edge_indices()
        .filter(|&edge| {
            graph
                .edge_endpoints(edge)
                .is_some_and(|ends| ends.1 == node)
        })
        .map(|edge| flow[edge.index()])
        .sum()
}

/// Returns the nodes that the source reaches in the residual graph of the flow.
fn residual(graph: &DiGraph<(), u64>, flow: &[u64], source: NodeIndex) -> BTreeSet<NodeIndex> {
    let mut reached = BTreeSet::from([source]);
    let mut open = vec![source];
    while let Some(node) = open.pop() {
        for edge in graph.edge_indices() {
            let Some((from, to)) = graph.edge_endpoints(edge) else {
                continue;
            };
            let used = flow[edge.index()];
            let next = if from == node && used < graph[edge] {
                to
            } else if to == node && used > 0 {
                from
            } else {
                continue;
            };
            if reached.insert(next) {
                open.push(next);
            }
        }
    }
    reached
}
