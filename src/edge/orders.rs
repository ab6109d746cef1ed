//! Giving engines their layers, by one VM at a time.
//!
//! The VM that leads by gossip takes a fencing number from the log when it has its first order to
//! give. Two VMs may think that they lead; engines refuse the lower number, and each order names
//! the number of orders that the engine has accepted, so one made for an older state does nothing
//! (docs/PLATFORM.md).

use std::collections::BTreeMap;
use std::rc::Rc;

use super::dialect::LayerOrder;
use super::dialect::OrderAnswer;
use super::engine;
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

/// The interval between two looks at the placement.
const LOOK_SPAN: Millis = Millis(250);
/// How long a VM waits after its start before it leads: by then it has heard of the others.
const SETTLE_SPAN: Millis = Millis(1500);
/// How long no endpoint must have been heard of for the first time before all layers are placed:
/// entries come one by one.
const QUIET_SPAN: Millis = Millis(1000);
/// How long no entry must have been removed before a domain's hole is closed: an engine that crashed
/// or was cut off from the store is mostly back in that time.
const CALM_SPAN: Millis = Millis(6000);
/// How long an order counts as carried out although no entry shows it yet.
const PENDING_SPAN: Millis = Millis(6000);

#[derive(Debug, Default)]
struct Holder {
    fence: Option<u64>,
    pending: BTreeMap<EndpointName, (Span, Millis)>,
}

/// Looks at the placement for ever, and gives orders while this VM leads.
pub async fn run(edge: Edge) {
    monoio::time::sleep(SETTLE_SPAN.duration()).await;
    let mut holder = Holder::default();
    loop {
        monoio::time::sleep(LOOK_SPAN.duration()).await;
        let now = edge.now();
        if edge.stopping().is_some() || !edge.fleet(|fleet| fleet.is_leader(now)) {
            holder.fence = None;
            continue;
        }
        let Some(site) = edge.site() else {
            continue;
        };
        for (name, service) in &site.services {
            if let Some(model) = &service.model {
                look(&edge, &site, name, model, &mut holder).await;
            }
        }
    }
}

async fn look(
    edge: &Edge,
    site: &Rc<SiteConfig>,
    name: &ServiceName,
    model: &Model,
    holder: &mut Holder,
) {
    let now = edge.now();
    holder
        .pending
        .retain(|_, (_, at)| now.since(*at) < PENDING_SPAN);
    let entries: BTreeMap<EndpointName, Entry> = edge.roster(|roster| {
        let serving = roster.serving(name, now);
        serving
            .map(|(entry, _, _)| (entry.endpoint.clone(), entry.clone()))
            .collect()
    });
    let seats: Vec<Engine> = entries
        .values()
        .filter_map(|entry| seat(entry, model, holder))
        .collect();
    let quiet = now.since(edge.roster(|roster| roster.last_added())) >= QUIET_SPAN;
    let plan: Vec<(EndpointName, Span)> = if seats.iter().any(|seat| seat.span.is_some()) {
        let calm = now.since(edge.roster(|roster| roster.last_removed())) >= CALM_SPAN;
        repair_placement(&seats, model, quiet, calm)
    } else if quiet {
        plan_placement(&seats, model).into_iter().collect()
    } else {
        Vec::new()
    };
    if plan.is_empty() {
        return;
    }
    let Some(fence) = fence(edge, holder).await else {
        return;
    };
    log::info!(version = site.version, fence, orders = plan.len(); "placement");
    let mut sent = Vec::new();
    for (endpoint, span) in plan {
        let Some(entry) = entries.get(&endpoint) else {
            continue;
        };
        holder.pending.insert(endpoint.clone(), (span, now));
        sent.push(monoio::spawn(send(
            edge.clone(),
            entry.clone(),
            span,
            fence,
        )));
    }
    for task in sent {
        if task.await == Some(OrderAnswer::Fenced) {
            holder.fence = None;
        }
    }
}

fn seat(entry: &Entry, model: &Model, holder: &Holder) -> Option<Engine> {
    let card = model.cards.get(entry.kind.as_ref()?)?;
    let pending = holder.pending.get(&entry.endpoint).map(|(span, _)| *span);
    let held = entry.span.filter(|span| !span.is_empty());
    Some(Engine {
        endpoint: entry.endpoint.clone(),
        domain: entry.domain.clone(),
        memory: card.memory,
        pace: card.pace,
        span: pending.or(held),
    })
}

async fn fence(edge: &Edge, holder: &mut Holder) -> Option<u64> {
    if holder.fence.is_some() {
        return holder.fence;
    }
    let topic = edge.dialect().topics.terms;
    let vm = edge.settings().vm.clone();
    match edge.store().append(topic, "holder", vm.as_bytes()).await {
        Ok(offset) => {
            log::info!(fence = offset + 1; "term_taken");
            holder.fence = Some(offset + 1);
        }
        Err(error) => log::warn!(error:% = error; "term_not_taken"),
    }
    holder.fence
}

/// Asks an engine where it stands and gives it the order that follows from there.
async fn send(edge: Edge, entry: Entry, span: Span, fence: u64) -> Option<OrderAnswer> {
    let report = match engine::report(&edge, entry.addr).await {
        Ok(report) => report,
        Err(error) => {
            log::warn!(endpoint:% = entry.endpoint, error:% = error; "order_not_sent");
            return None;
        }
    };
    if report.busy || report.span == Some(span) {
        return Some(OrderAnswer::Done);
    }
    let order = LayerOrder {
        span,
        fence,
        after: report.orders,
    };
    let answer = match engine::order(&edge, entry.addr, &(edge.dialect().order)(&order)).await {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::warn!(endpoint:% = entry.endpoint, error:% = error; "order_unanswered");
            None
        }
    };
    log::info!(
        endpoint:% = entry.endpoint,
        from = span.from,
        to = span.to,
        fence,
        after = order.after,
        answer:? = answer;
        "order"
    );
    answer
}
