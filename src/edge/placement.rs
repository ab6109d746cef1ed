//! Placement of model layers on engines, by one leader among the VMs.
//!
//! The leader follows from gossip and takes a fencing token from the store before its first order.
//! Two VMs may both consider themselves the leader: engines refuse the lower token, and each order
//! states how many orders the engine has accepted, so an order for an outdated state has no effect
//! (docs/design/placement.md).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use super::orders;
use super::orders::OrderResult;
use super::orders::PlannedOrder;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::pipe::Engine;
use crate::core::pipe::Mover;
use crate::core::pipe::Span;
use crate::core::pipe::judge_departures;
use crate::core::pipe::plan_placement;
use crate::core::pipe::repair_placement;
use crate::core::roster::Entry;
use crate::core::site::Model;
use crate::core::site::SiteConfig;
use crate::names::Domain;
use crate::names::EndpointName;
use crate::names::ServiceName;

/// The interval between two checks of the placement.
const CHECK_INTERVAL: Millis = Millis(250);
/// How long a VM waits after its start before it may lead; by then it has heard from the others.
const STARTUP_DELAY: Millis = Millis(1500);
/// The time without a new endpoint that must pass before all layers are placed, since entries
/// arrive one by one.
const ARRIVAL_QUIET: Millis = Millis(1000);
/// How long an order counts as carried out before an entry confirms it.
const PENDING_TIMEOUT: Millis = Millis(6000);
/// How long an engine that gave no report gets no other order. It has certainly not accepted one.
const UNSENT_DELAY: Millis = Millis(1000);

/// The state of this VM as the leader.
#[derive(Debug, Default)]
struct Leader {
    /// The fencing token of this VM's term, once taken.
    fence: Option<u64>,
    /// The layers last ordered for each engine, and until when the order counts as carried out.
    pending: BTreeMap<EndpointName, (Span, Millis)>,
    /// When layers move to where room for requests is scarce.
    mover: Mover,
}

/// Checks the placement periodically, and sends orders while this VM is the leader.
pub async fn run(edge: Edge) {
    monoio::time::sleep(STARTUP_DELAY.duration()).await;
    let mut leader = Leader::default();
    loop {
        monoio::time::sleep(CHECK_INTERVAL.duration()).await;
        let now = edge.now();
        if edge.stopping().is_some() || !edge.fleet(|fleet| fleet.is_leader(now)) {
            leader.fence = None;
            leader.mover = Mover::default();
            continue;
        }
        leader.mover.observe(now, &demand_by_domain(&edge, now));
        let Some(site) = edge.site() else {
            continue;
        };
        for (name, service) in &site.services {
            if let Some(model) = &service.model {
                update_placement(&edge, &site, name, model, &mut leader).await;
            }
        }
    }
}

async fn update_placement(
    edge: &Edge,
    site: &Rc<SiteConfig>,
    name: &ServiceName,
    model: &Model,
    leader: &mut Leader,
) {
    let now = edge.now();
    leader.pending.retain(|_, (_, until)| now < *until);
    let entries: BTreeMap<EndpointName, Entry> = edge.roster(|roster| {
        let serving = roster.serving(name, now);
        serving
            .map(|(entry, _, _)| (entry.endpoint.clone(), entry.clone()))
            .collect()
    });
    let engines: Vec<Engine> = entries
        .values()
        .filter_map(|entry| to_engine(entry, model, leader))
        .collect();
    let (added, removed) = edge.roster(|roster| (roster.last_added(), roster.last_removed()));
    let arrivals_settled = now.since(added) >= ARRIVAL_QUIET;
    let is_placed = engines.iter().any(|engine| engine.span.is_some());
    let (mut reason, mut plan): (_, Vec<(EndpointName, Span)>) = if is_placed {
        let known = edge.roster(|roster| roster.known_since());
        let departures = judge_departures(now, known, removed);
        let plan = repair_placement(&engines, model, arrivals_settled, departures);
        ("changed", plan)
    } else if arrivals_settled {
        (
            "empty",
            plan_placement(&engines, model).into_iter().collect(),
        )
    } else {
        ("empty", Vec::new())
    };
    if plan.is_empty() && is_placed {
        reason = "short";
        plan = plan_moves(model, &engines, &entries, leader, now, added.max(removed));
    }
    if plan.is_empty() {
        return;
    }
    let Some(fence) = acquire_fence(edge, leader).await else {
        return;
    };
    let empty = engines
        .iter()
        .filter(|engine| engine.span.is_none())
        .count();
    log::info!(
        version = site.version,
        fence,
        orders = plan.len(),
        engines = engines.len(),
        empty,
        reason;
        "placement"
    );
    edge.metrics().count_layer_loads(plan.len(), reason);
    let mut planned = Vec::new();
    for (endpoint, layers) in plan {
        let Some(entry) = entries.get(&endpoint).cloned() else {
            continue;
        };
        let until = now + PENDING_TIMEOUT;
        leader.pending.insert(endpoint, (layers, until));
        planned.push(PlannedOrder { entry, layers });
    }
    for (endpoint, result) in orders::send_all(edge, planned, fence).await {
        match result {
            OrderResult::Fenced => leader.fence = None,
            OrderResult::NotSent => {
                let until = edge.now() + UNSENT_DELAY;
                leader
                    .pending
                    .entry(endpoint)
                    .and_modify(|order| order.1 = until);
            }
            OrderResult::Sent => {}
        }
    }
}

/// Plans the loads that restore room for requests, and logs the reason of each.
fn plan_moves(
    model: &Model,
    engines: &[Engine],
    entries: &BTreeMap<EndpointName, Entry>,
    leader: &mut Leader,
    now: Millis,
    last_change: Millis,
) -> Vec<(EndpointName, Span)> {
    let is_moving = |name: &&EndpointName| {
        let held = entries.get(*name).and_then(|entry| entry.span);
        leader.pending.get(*name).map(|(span, _)| *span) != held
    };
    let moving: BTreeSet<EndpointName> = leader.pending.keys().filter(is_moving).cloned().collect();
    let moves = leader.mover.plan(now, engines, model, &moving, last_change);
    let orders = moves.into_iter().map(|load| {
        log::info!(
            endpoint:% = load.endpoint,
            from = load.span.from,
            to = load.span.to,
            domain:% = load.domain,
            need = load.need as u64,
            room = load.room.0 as u64,
            room_after = load.room.1 as u64;
            "move_planned"
        );
        (load.endpoint, load.span)
    });
    orders.collect()
}

/// Returns the tokens of the streams that the VMs of each domain have in progress.
fn demand_by_domain(edge: &Edge, now: Millis) -> BTreeMap<Domain, f64> {
    edge.fleet(|fleet| {
        let me = fleet.me();
        let mut tokens = BTreeMap::from([(me.domain.clone(), f64::from(me.load))]);
        for member in fleet.alive(now) {
            *tokens.entry(member.domain.clone()).or_default() += f64::from(member.load);
        }
        tokens
    })
}

fn to_engine(entry: &Entry, model: &Model, leader: &Leader) -> Option<Engine> {
    let card = model.cards.get(entry.kind.as_ref()?)?;
    let pending = leader.pending.get(&entry.endpoint).map(|(span, _)| *span);
    let held = entry.span.filter(|span| !span.is_empty());
    if held.is_some_and(|span| !span.is_within(model.layers)) {
        return None;
    }
    Some(Engine {
        endpoint: entry.endpoint.clone(),
        domain: entry.domain.clone(),
        memory: card.memory,
        pace: card.pace,
        span: pending.or(held),
    })
}

async fn acquire_fence(edge: &Edge, leader: &mut Leader) -> Option<u64> {
    if leader.fence.is_some() {
        return leader.fence;
    }
    let topic = edge.dialect().topics.terms;
    let vm = edge.settings().vm.clone();
    match edge.store().append(topic, "holder", vm.as_bytes()).await {
        Ok(offset) => {
            // Never 0, and higher than every token of an earlier era of the store.
            let fence = offset.next().number();
            log::info!(fence, offset:% = offset; "term_taken");
            leader.fence = Some(fence);
        }
        Err(error) => log::warn!(error:% = error; "term_not_taken"),
    }
    leader.fence
}
