//! Placement of model layers on engines, by one leader among the VMs.
//!
//! The leader follows from gossip and takes a fencing token from the store before its first order.
//! Two VMs may both consider themselves the leader: engines refuse the lower token, and each order
//! states how many orders the engine has accepted, so an order for an outdated state has no effect
//! (docs/PLATFORM.md).

use std::collections::BTreeMap;
use std::rc::Rc;

use super::orders;
use super::orders::OrderResult;
use super::orders::PlannedOrder;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::pipe::Engine;
use crate::core::pipe::Span;
use crate::core::pipe::plan_placement;
use crate::core::pipe::repair_placement;
use crate::core::roster::Entry;
use crate::core::site::Model;
use crate::core::site::SiteConfig;
use crate::names::EndpointName;
use crate::names::ServiceName;

/// The interval between two checks of the placement.
const CHECK_INTERVAL: Millis = Millis(250);
/// How long a VM waits after its start before it may lead; by then it has heard from the others.
const STARTUP_DELAY: Millis = Millis(1500);
/// The time without a new endpoint that must pass before all layers are placed, since entries
/// arrive one by one.
const ARRIVAL_QUIET: Millis = Millis(1000);
/// The time without a removed entry that must pass before layers that a domain lacks are moved
/// there: an engine that crashed or lost the store is usually back within that time.
const REMOVAL_QUIET: Millis = Millis(6000);
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
            continue;
        }
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
    let arrivals_settled = now.since(edge.roster(|roster| roster.last_added())) >= ARRIVAL_QUIET;
    let plan: Vec<(EndpointName, Span)> = if engines.iter().any(|engine| engine.span.is_some()) {
        let departures_settled =
            now.since(edge.roster(|roster| roster.last_removed())) >= REMOVAL_QUIET;
        repair_placement(&engines, model, arrivals_settled, departures_settled)
    } else if arrivals_settled {
        plan_placement(&engines, model).into_iter().collect()
    } else {
        Vec::new()
    };
    if plan.is_empty() {
        return;
    }
    let Some(fence) = acquire_fence(edge, leader).await else {
        return;
    };
    log::info!(version = site.version, fence, orders = plan.len(); "placement");
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

fn to_engine(entry: &Entry, model: &Model, leader: &Leader) -> Option<Engine> {
    let card = model.cards.get(entry.kind.as_ref()?)?;
    let pending = leader.pending.get(&entry.endpoint).map(|(span, _)| *span);
    let held = entry.span.filter(|span| !span.is_empty());
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
