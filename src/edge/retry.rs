//! Retries of requests, taken from the budget that all VMs share.

use super::context::RequestContext;
use super::state::Edge;

/// Takes a retry of a request from the budget, and logs the decision with its inputs; returns
/// `false` if none is left.
pub fn take_retry(edge: &Edge, ctx: &RequestContext) -> bool {
    let now = edge.now();
    let vms = edge.fleet(|fleet| fleet.assumed_size());
    let usage = edge.budget(&ctx.service, |budget| budget.usage(now, vms));
    let is_granted = edge.budget(&ctx.service, |budget| budget.try_retry(now, vms));
    let (requests, retries, limit) = (usage.requests, usage.retries, usage.limit);
    let (id, service) = (&ctx.id, ctx.service.as_str());
    if is_granted {
        log::info!(id, service, requests, retries, limit, vms; "retried");
    } else {
        log::info!(id, service, requests, retries, limit, vms, reason = "budget"; "not_retried");
    }
    edge.metrics()
        .count_retry(if is_granted { "granted" } else { "denied" });
    is_granted
}
