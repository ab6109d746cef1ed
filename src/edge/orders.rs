//! Orders to engines to hold layers, a bounded number at a time.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use super::dialect::LayerOrder;
use super::dialect::OrderAnswer;
use super::engine;
use super::reach;
use super::state::Edge;
use crate::core::pipe::Span;
use crate::core::roster::Entry;
use crate::names::EndpointName;

/// The most orders that wait for an answer at once. Of hundreds of calls begun at once, a small VM
/// completes only a part within the timeout of a call, and the other engines stay empty.
const MAX_OPEN_ORDERS: usize = 16;

/// An order that the leader decided on.
#[derive(Clone, Debug)]
pub struct PlannedOrder {
    /// The engine's entry.
    pub entry: Entry,
    /// The layers that it is to hold.
    pub layers: Span,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine may carry it out, or does not need it.
    Sent,
    /// The engine gave no report or asked for a pause, so the order was not sent.
    NotSent,
    /// The engine has seen a higher fencing token.
    Fenced,
}

/// Sends orders under a fencing token, and returns what became of each.
pub async fn send_all(
    edge: &Edge,
    planned: Vec<PlannedOrder>,
    fence: u64,
) -> Vec<(EndpointName, OrderResult)> {
    let senders = planned.len().min(MAX_OPEN_ORDERS);
    let queue = Rc::new(RefCell::new(VecDeque::from(planned)));
    let tasks: Vec<_> = (0..senders)
        .map(|_| monoio::spawn(send_queued(edge.clone(), Rc::clone(&queue), fence)))
        .collect();
    let mut results = Vec::new();
    for task in tasks {
        results.extend(task.await);
    }
    results
}

async fn send_queued(
    edge: Edge,
    queue: Rc<RefCell<VecDeque<PlannedOrder>>>,
    fence: u64,
) -> Vec<(EndpointName, OrderResult)> {
    let mut results = Vec::new();
    loop {
        let next = queue.borrow_mut().pop_front();
        let Some(order) = next else {
            return results;
        };
        let result = send(&edge, &order, fence).await;
        results.push((order.entry.endpoint, result));
    }
}

/// Sends an engine an order, unless its report shows that it already holds the layers or is busy.
async fn send(edge: &Edge, order: &PlannedOrder, fence: u64) -> OrderResult {
    let PlannedOrder { entry, layers } = order;
    let now = edge.now();
    if let Some(pause) = edge.roster(|roster| roster.paused_for(now, &entry.endpoint)) {
        log::info!(endpoint:% = entry.endpoint, pause_ms = pause.0, reason = "paused"; "order_not_sent");
        return OrderResult::NotSent;
    }
    let report = match engine::fetch_report(edge, entry.addr).await {
        Ok(report) => report,
        Err(error) => {
            log::warn!(endpoint:% = entry.endpoint, error:% = error; "order_not_sent");
            // A leader that reaches no endpoint has to learn it, so that another VM leads.
            reach::confirm(edge).await;
            return OrderResult::NotSent;
        }
    };
    if report.busy || report.layers == Some(*layers) {
        return OrderResult::Sent;
    }
    let order = LayerOrder {
        layers: *layers,
        fence,
        expected_orders: report.accepted_orders,
    };
    let request = (edge.dialect().order_request)(&order);
    let answer = match engine::send_order(edge, &entry.endpoint, entry.addr, request).await {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::warn!(endpoint:% = entry.endpoint, error:% = error; "order_unanswered");
            None
        }
    };
    log::info!(
        endpoint:% = entry.endpoint,
        from = layers.from,
        to = layers.to,
        fence,
        after = order.expected_orders,
        answer:? = answer;
        "order"
    );
    if answer == Some(OrderAnswer::Fenced) {
        OrderResult::Fenced
    } else {
        OrderResult::Sent
    }
}
