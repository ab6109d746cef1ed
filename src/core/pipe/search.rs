//! The search for the cheapest path, prepared once for several searches over the same engines.
//!
//! A path passes engines in the order of their last layers, so the search goes through the layers once and
//! keeps, for each engine that holds the layer, the cheapest way to be there. Its cost grows with the layers
//! that all engines together hold, and not with the pairs of engines or of domains.

use super::Demand;
use super::Links;
use super::Span;
use super::Stage;
use super::link::transfer_time;
use super::path::StageCost;
use crate::core::site::Model;
use crate::names::Domain;

/// What a search needs to know of an engine.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    span: Span,
    /// The index of its domain.
    domain: usize,
    cost: StageCost,
    can_lead: bool,
}

/// A way through all layers before `layer`, from which `engine` goes on.
#[derive(Clone, Copy, Debug)]
struct Step {
    engine: usize,
    layer: u32,
    /// The index of the step before.
    before: Option<usize>,
}

/// A way through all layers before the present one: its cost, in milliseconds, and its last step.
#[derive(Clone, Copy, Debug)]
struct Way {
    cost: f64,
    step: Option<usize>,
}

/// No way.
const NONE: Way = Way {
    cost: f64::INFINITY,
    step: None,
};

impl Way {
    /// Returns the cheaper of two ways.
    fn or(self, other: Self) -> Self {
        if other.cost < self.cost { other } else { self }
    }
}

/// How an engine is best reached.
#[derive(Clone, Copy, Debug)]
struct Reached {
    /// The cost to the layer at which the engine begins, less the time that it would take for all layers
    /// before that one: so ways that begin at different layers compare.
    base: f64,
    step: usize,
}

/// Searches over some engines, whose costs may change from one search to the next.
#[derive(Debug)]
pub(super) struct Search<'a> {
    model: &'a Model,
    demand: Demand,
    candidates: Vec<Candidate>,
    /// The engines in the order of their first layers, and with the same one, of their last.
    order: Vec<usize>,
    domains: Vec<Domain>,
    /// The time to cross from each domain to each, row by row; infinite where that is not allowed.
    crossings: Vec<f64>,
}

impl<'a> Search<'a> {
    /// Prepares searches for requests of one demand.
    pub(super) fn new(stages: &[Stage], links: &Links, model: &'a Model, demand: Demand) -> Self {
        let domains = collect_domains(stages);
        let candidate = |stage: &Stage| Candidate {
            span: stage.span,
            domain: find_domain(&domains, &stage.domain).unwrap_or(0),
            cost: StageCost::of(stage, model, demand),
            can_lead: stage.can_lead,
        };
        let candidates: Vec<Candidate> = stages.iter().map(candidate).collect();
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by_key(|at| (candidates[*at].span.from, candidates[*at].span.to));
        let crossings = links.crossings(&domains, model, demand);
        Self {
            model,
            demand,
            candidates,
            order,
            domains,
            crossings,
        }
    }

    /// Returns the domains of the engines, in order.
    pub(super) fn domains(&self) -> &[Domain] {
        &self.domains
    }

    /// Updates the cost of the engine with an index.
    pub(super) fn update(&mut self, index: usize, stage: &Stage) {
        self.candidates[index].cost = StageCost::of(stage, self.model, self.demand);
    }

    /// Returns the engines, by their index, and the layers of each on the cheapest path through a range of
    /// layers that is entered from the domain `home`; `None` if there is none.
    pub(super) fn find(&self, home: &Domain, range: Span) -> Option<Vec<(usize, Span)>> {
        let mut walk = Walk {
            search: self,
            steps: Vec::new(),
            reached: vec![None; self.candidates.len()],
        };
        let mut active = walk.enter(home, range);
        let mut starting = self.order.as_slice();
        for layer in range.from + 1..range.to {
            let from = |at: &usize| self.candidates[*at].span.from;
            starting = &starting[starting.partition_point(|at| from(at) < layer)..];
            let starts = &starting[..starting.partition_point(|at| from(at) <= layer)];
            let ended = active.partition_point(|at| self.candidates[*at].span.to <= layer);
            if ended == 0 && starts.is_empty() {
                continue;
            }
            let arriving = walk.arrivals(&active[..ended], layer);
            let held = active.split_off(ended);
            let handovers = walk.handovers(&held, starts, layer, range.to);
            for at in &held {
                walk.begin(*at, layer, arriving[self.candidates[*at].domain]);
            }
            for (at, handover) in starts.iter().zip(handovers) {
                let way = arriving[self.candidates[*at].domain].or(handover);
                walk.begin(*at, layer, way);
            }
            active = self.merge(&held, starts);
        }
        let ends = active.iter().map(|at| walk.way(*at, range.to));
        walk.parts(ends.fold(NONE, Way::or), range.to)
    }

    /// Returns two lists of engines as one, both in the order of their last layers.
    fn merge(&self, held: &[usize], starts: &[usize]) -> Vec<usize> {
        let mut merged = Vec::with_capacity(held.len() + starts.len());
        let (mut held, mut starts) = (held.iter().peekable(), starts.iter().peekable());
        while let (Some(a), Some(b)) = (held.peek(), starts.peek()) {
            let is_first = self.candidates[**a].span.to <= self.candidates[**b].span.to;
            merged.extend(if is_first { held.next() } else { starts.next() });
        }
        merged.extend(held);
        merged.extend(starts);
        merged
    }

    /// Returns, for each domain, the cheapest way into it of those that end in each.
    fn cross(&self, ways: &[Way]) -> Vec<Way> {
        let count = self.domains.len();
        (0..count).map(|to| self.cross_to(ways, to)).collect()
    }

    fn cross_to(&self, ways: &[Way], to: usize) -> Way {
        let count = self.domains.len();
        let cross = |(from, way): (usize, &Way)| Way {
            cost: way.cost + self.crossings[from * count + to],
            step: way.step,
        };
        ways.iter().enumerate().map(cross).fold(NONE, Way::or)
    }
}

/// One search: how each engine is best reached so far.
#[derive(Debug)]
struct Walk<'a> {
    search: &'a Search<'a>,
    steps: Vec<Step>,
    reached: Vec<Option<Reached>>,
}

impl Walk<'_> {
    /// Begins at the engines that may run the first layer of a range, and returns all that hold it, in the
    /// order of their last layers.
    fn enter(&mut self, home: &Domain, range: Span) -> Vec<usize> {
        let Search {
            model,
            demand,
            candidates,
            order,
            ..
        } = self.search;
        let home = find_domain(&self.search.domains, home);
        let away = if range.from > 0 {
            transfer_time(model, *demand)
        } else {
            model.delay * demand.answer
        };
        let holds = |at: &&usize| candidates[**at].span.contains(range.from);
        let mut active: Vec<usize> = order.iter().filter(holds).copied().collect();
        active.sort_by_key(|at| candidates[*at].span.to);
        for at in &active {
            let Candidate {
                span,
                domain,
                cost,
                can_lead,
            } = candidates[*at];
            let is_near = Some(domain) == home;
            let mut way = if is_near { 0.0 } else { away };
            if range.from == 0 {
                if !can_lead {
                    continue;
                }
                way += cost.opening(span.to.min(range.to));
            }
            self.begin(
                *at,
                range.from,
                Way {
                    cost: way,
                    step: None,
                },
            );
        }
        active
    }

    /// Has an engine begin at a layer if that is cheaper than how it was reached before.
    fn begin(&mut self, engine: usize, layer: u32, way: Way) {
        let base = way.cost - f64::from(layer) * self.search.candidates[engine].cost.per_layer;
        let is_cheaper = self.reached[engine].is_none_or(|known| base < known.base);
        if way.cost.is_finite() && is_cheaper {
            self.reached[engine] = Some(Reached {
                base,
                step: self.steps.len(),
            });
            self.steps.push(Step {
                engine,
                layer,
                before: way.step,
            });
        }
    }

    /// Returns the cheapest way on which an engine runs the layers before `layer`.
    fn way(&self, engine: usize, layer: u32) -> Way {
        let cost = self.search.candidates[engine].cost;
        self.reached[engine].map_or(NONE, |reached| Way {
            cost: reached.base + cost.fixed + f64::from(layer) * cost.per_layer,
            step: Some(reached.step),
        })
    }

    /// Returns the cheapest way into each domain from engines whose last layer is before `layer`.
    fn arrivals(&self, ended: &[usize], layer: u32) -> Vec<Way> {
        let mut ways = vec![NONE; self.search.domains.len()];
        for at in ended {
            let domain = self.search.candidates[*at].domain;
            ways[domain] = ways[domain].or(self.way(*at, layer));
        }
        self.search.cross(&ways)
    }

    /// Returns the cheapest way to each engine that starts at `layer` from one that holds that layer too and
    /// ends before it; engines that hold all up to `end` go on to there.
    fn handovers(&self, held: &[usize], starts: &[usize], layer: u32, end: u32) -> Vec<Way> {
        let candidates = &self.search.candidates;
        let mut ways = vec![NONE; self.search.domains.len()];
        let mut next = held.iter().copied().peekable();
        let way = |start: &usize| {
            let before = candidates[*start].span.to.min(end);
            while let Some(at) = next.next_if(|at| candidates[*at].span.to < before) {
                let domain = candidates[at].domain;
                ways[domain] = ways[domain].or(self.way(at, layer));
            }
            self.search.cross_to(&ways, candidates[*start].domain)
        };
        starts.iter().map(way).collect()
    }

    /// Follows the steps of a way back from its end.
    fn parts(&self, way: Way, end: u32) -> Option<Vec<(usize, Span)>> {
        let mut step = Some(way.step?);
        let (mut parts, mut to) = (Vec::new(), end);
        while let Some(at) = step {
            let Step {
                engine,
                layer,
                before,
            } = self.steps[at];
            parts.push((engine, Span { from: layer, to }));
            (to, step) = (layer, before);
        }
        parts.reverse();
        Some(parts)
    }
}

/// Returns the domains of some engines, each once and in order.
fn collect_domains(stages: &[Stage]) -> Vec<Domain> {
    let mut domains: Vec<Domain> = Vec::new();
    for stage in stages {
        if find_domain(&domains, &stage.domain).is_none() {
            domains.push(stage.domain.clone());
        }
    }
    domains.sort_unstable();
    domains
}

/// Returns the index of a domain in a short list.
fn find_domain(domains: &[Domain], domain: &Domain) -> Option<usize> {
    domains.iter().position(|known| known == domain)
}
