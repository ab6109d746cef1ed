//! Loads that restore room for requests where a domain lost engines, and when they may begin.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Engine;
use super::Span;
use super::even::domains_with_copies;
use super::room::Rooms;
use super::room::add_room;
use super::room::best_span;
use super::room::least;
use crate::clock::Millis;
use crate::core::site::Model;
use crate::names::Domain;
use crate::names::EndpointName;

/// The room that a domain should have for each token that its callers have in progress: requests
/// choose their engines before they know what others chose, and demand rises within seconds.
const ROOM_PER_DEMAND: f64 = 1.25;
/// The least shortage that a load has to end, as a share of the room that the domain needs on all layers
/// together, unless a layer has none. A load takes the layers that the engine gives up out of service
/// for seconds, and engines hold whole layers, so that some always have a little less room than others.
const LEAST_GAIN: f64 = 0.05;
/// The least time between two plans of loads. One load changes which layers are short, as the entries
/// show it about a second later.
const MOVE_INTERVAL: Millis = Millis(1000);
/// The time without an added or removed engine before loads are planned: engines that fail together are
/// removed one by one, and a load takes most of the 5 s within which callers should have room again.
const CHANGE_QUIET: Millis = Millis(1000);
/// The time that a new leader waits, so that the loads of the one before it show in the entries.
const TERM_QUIET: Millis = Millis(2000);
/// The time over which demand is smoothed: longer than a stream, shorter than a swing of demand.
const DEMAND_TIME: Millis = Millis(3000);

/// Decides when loads that restore room may begin, from the demand of each domain.
///
/// A leader starts with none of the state of the one before it: what that ordered shows in the entries.
#[derive(Clone, Debug, Default)]
pub struct Mover {
    /// When this VM became the leader.
    leads_since: Option<Millis>,
    last_move: Option<Millis>,
    last_sample: Option<Millis>,
    demand: BTreeMap<Domain, f64>,
}

impl Mover {
    /// Records the tokens that callers of each domain have in progress, and that this VM leads.
    pub fn observe(&mut self, now: Millis, tokens: &BTreeMap<Domain, f64>) {
        self.leads_since.get_or_insert(now);
        let gap = self.last_sample.map_or(DEMAND_TIME, |last| now.since(last));
        self.last_sample = Some(now);
        let weight = 1.0 - (-(gap.0 as f64) / DEMAND_TIME.0 as f64).exp();
        for domain in tokens.keys() {
            self.demand.entry(domain.clone()).or_default();
        }
        for (domain, mean) in &mut self.demand {
            *mean += (tokens.get(domain).copied().unwrap_or_default() - *mean) * weight;
        }
    }

    /// Plans loads, unless the engines changed just now (`last_change`), another load was just planned,
    /// or this VM leads for too short a time; see [`plan_moves`].
    pub fn plan(
        &mut self,
        now: Millis,
        engines: &[Engine],
        model: &Model,
        moving: &BTreeSet<EndpointName>,
        last_change: Millis,
    ) -> Vec<Move> {
        let has_led = self
            .leads_since
            .is_some_and(|at| now.since(at) >= TERM_QUIET);
        let is_due = self
            .last_move
            .is_none_or(|at| now.since(at) >= MOVE_INTERVAL);
        if !has_led || !is_due || now.since(last_change) < CHANGE_QUIET {
            return Vec::new();
        }
        let moves = plan_moves(engines, model, &self.demand, moving);
        if !moves.is_empty() {
            self.last_move = Some(now);
        }
        moves
    }
}

/// A load that restores room where it is scarce, with its reasons.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The engine that loads.
    pub endpoint: EndpointName,
    /// The layers that it is to hold.
    pub span: Span,
    /// The domain whose layers are short of room.
    pub domain: Domain,
    /// The room that the domain's demand needs on each layer, in tokens.
    pub need: f64,
    /// The least room on a layer of the domain, in tokens, before the load and after it.
    pub room: (f64, f64),
}

/// Plans the loads that restore room after a domain lost engines for good; at most one a domain.
///
/// A domain that lost a part of a copy has room on the layers that remain of it, which no request can
/// use, while other layers have less than its callers need. `demand` states the tokens that callers of
/// each domain have in progress. An engine moves if another engine of the domain holds each layer that
/// it gives up, the least room on a layer does not sink, and a part of the shortage ends: at least
/// [`LEAST_GAIN`], unless a layer has no room at all. `moving` names the engines whose load is not complete; while a domain has one, it
/// gets no other, so that two never leave the same layers. Domains without memory for two whole copies
/// are left to [`super::repair_placement`].
pub fn plan_moves(
    engines: &[Engine],
    model: &Model,
    demand: &BTreeMap<Domain, f64>,
    moving: &BTreeSet<EndpointName>,
) -> Vec<Move> {
    let domains = domains_with_copies(engines, model);
    let plan = domains.into_iter().filter_map(|domain| {
        let group: Vec<&Engine> = engines
            .iter()
            .filter(|engine| engine.domain == *domain)
            .collect();
        let is_busy = |engine: &&Engine| engine.span.is_none() || moving.contains(&engine.endpoint);
        if group.iter().any(is_busy) {
            return None;
        }
        let tokens = demand.get(domain).copied().unwrap_or_default();
        // Without callers of its own, a domain still needs each layer.
        plan_move(&group, model, (tokens * ROOM_PER_DEMAND).max(1.0))
    });
    plan.collect()
}

/// Plans the load that ends most of a domain's shortage of room.
fn plan_move(group: &[&Engine], model: &Model, need: f64) -> Option<Move> {
    /// The share by which sums of the same rooms may differ.
    const TOLERANCE: f64 = 1e-6;
    let domain = &group.first()?.domain;
    let room = Rooms::count(group.iter().copied(), model).of(domain);
    let short = shortage(&room, need);
    if short <= 0.0 {
        return None;
    }
    let mut holders = vec![0_u32; model.layers as usize];
    for span in group.iter().filter_map(|engine| engine.span) {
        for layer in span.from..span.to.min(model.layers) {
            holders[layer as usize] += 1;
        }
    }
    let before = least(&room);
    let mut best: Option<(f64, &Engine, Span, f64)> = None;
    for engine in group {
        let Some(held) = engine.span else { continue };
        let mut after = room.clone();
        add_room(&mut after, engine, held, model, -1.0);
        let span = best_span(&after, engine, engine.planned_layers(model), model);
        let given_up = |layer: &u32| !span.contains(*layer);
        if (held.from..held.to)
            .filter(given_up)
            .any(|layer| holders.get(layer as usize).is_none_or(|count| *count < 2))
        {
            continue;
        }
        add_room(&mut after, engine, span, model, 1.0);
        let left = shortage(&after, need);
        if left >= short || least(&after) < before * (1.0 - TOLERANCE) {
            continue;
        }
        if best.as_ref().is_none_or(|best| left < best.0) {
            best = Some((left, engine, span, least(&after)));
        }
    }
    let (left, engine, span, after) = best?;
    let has_gap = before <= 0.0;
    if !has_gap && short - left < need * f64::from(model.layers) * LEAST_GAIN {
        return None;
    }
    Some(Move {
        endpoint: engine.endpoint.clone(),
        span,
        domain: domain.clone(),
        need,
        room: (before, after),
    })
}

/// Returns the tokens that layers lack, summed over the layers.
fn shortage(room: &[f64], need: f64) -> f64 {
    room.iter().map(|room| (need - room).max(0.0)).sum()
}
