//! The bound: the highest token rate that any router could reach with a set of endpoints.
//!
//! The cost model: an endpoint that holds `n` layers at `rate` token steps a second does
//! `n * rate` layer steps a second, in any mix of sub-ranges. A token needs one layer step of each
//! layer. For a given token rate that is a max-flow from the layers to the endpoints that hold
//! them, and the highest feasible rate is found by Newton steps over the cuts. No linear program
//! is needed (docs/ROUTING.md).

use std::collections::BTreeSet;

use petgraph::algo::dinics;
use petgraph::graph::DiGraph;
use petgraph::graph::NodeIndex;

use crate::core::config::object::Endpoint;
use crate::core::config::object::Layers;
use crate::names::EndpointName;

/// Layer steps are counted in this fraction, so that the max-flow works on whole numbers.
const FLOW_SCALE: f64 = 1000.0;
/// Newton steps end after this many rounds at most; each round finds a strictly tighter cut.
const MAX_ROUNDS: usize = 64;
/// The milliseconds of a second, as a float.
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The highest rate of a service and what limits it.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// Tokens a second.
    pub rate: f64,
    /// The layers that limit the rate, as disjoint ranges in order.
    pub layers: Vec<Layers>,
    /// The endpoints that hold these layers.
    pub cut: Vec<EndpointName>,
    /// The layer steps a second of each endpoint in one best flow.
    pub flows: Vec<Flow>,
}

/// What one endpoint carries in a best flow.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its layer steps a second.
    pub work: f64,
}

/// Returns the layer steps a second that an endpoint can do, by its rate and by its slots: a
/// session in a slot gives at most one token in each round trip of the link.
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

/// Returns the boundaries between layers where an endpoint's range begins or ends, with 0 and
/// `layers`, in order.
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

/// Returns the bound of `layers` layers over `endpoints`; plain services count as one layer.
#[must_use]
pub fn bound(layers: u32, endpoints: &[&Endpoint]) -> Bound {
    max_rate(&Network::new(layers, endpoints, capacity))
}

/// Returns how many requests the slots of `endpoints` carry at a time, where a request takes a part
/// of a slot for a part of an endpoint's layers.
#[must_use]
pub fn max_concurrency(layers: u32, endpoints: &[&Endpoint]) -> u32 {
    let slots = |one: &Endpoint| f64::from(one.slots) * f64::from(one.layers.map_or(1, width));
    max_rate(&Network::new(layers, endpoints, slots)).rate as u32
}

fn max_rate(network: &Network<'_>) -> Bound {
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

/// The endpoints and the layer segments between boundaries.
struct Network<'a> {
    endpoints: &'a [&'a Endpoint],
    segments: Vec<Layers>,
    capacities: Vec<f64>,
}

/// The outcome of one max-flow.
#[derive(Clone)]
struct Solution {
    /// The segments on the source's side of the least cut; empty if all demand is met.
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

    /// Returns the rate that a set of segments allows: what their holders can do over their size.
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

    /// Sends `rate` times the layers of each segment to the endpoints that hold it.
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

/// Returns the nodes that the source still reaches when the flow is taken off the capacities.
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
