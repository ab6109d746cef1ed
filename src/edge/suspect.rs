//! Requests that crash the endpoints that run them: the crashes that this VM sees, what it tells
//! other VMs, and whether a request may still run (docs/operators/barred-requests.md).

use std::net::SocketAddr;

use monoio::task::JoinHandle;

use super::bars;
use super::context::RequestContext;
use super::engine::is_refusal;
use super::parts;
use super::reach;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::poison::Incident;
use crate::core::poison::PartCrash;
use crate::core::poison::PartDigest;
use crate::core::poison::RequestDigest;
use crate::core::poison::SuspectGossip;
use crate::core::poison::SuspectStatus;
use crate::io::timeout::within;
use crate::names::EndpointName;

/// The most changed records in one message, which keeps it within one packet.
const MAX_NEWS: usize = 4;
/// How long the check of an endpoint whose connection broke may take. A refusal arrives within
/// milliseconds, and the request waits for the result.
const CHECK_TIMEOUT: Millis = Millis(100);
/// The interval at which expired records are removed.
const EXPIRY_INTERVAL: Millis = Millis::seconds(60);

/// How far a run had come when its endpoint failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunProgress {
    /// Whether the endpoint had begun to answer. It is assumed of plain endpoints, whose answers are
    /// read whole.
    pub has_begun: bool,
    /// The events that the path had produced.
    pub events: u32,
}

/// Formats parts of a prompt for logs.
fn format_parts(parts: &[PartDigest]) -> String {
    let parts = parts.iter().map(PartDigest::to_string);
    parts.collect::<Vec<_>>().join(",")
}

/// Returns whether a request may not run again: its content or a part of its prompt is barred.
pub fn is_barred(edge: &Edge, ctx: &RequestContext) -> bool {
    barred_for(edge, &ctx.content).is_some() || parts::find_barred(edge, ctx).is_some()
}

/// Returns how long a request's content is still barred; `None` if it may run.
///
/// Crashes that a barred part of a prompt explains do not count: a harmless request that was
/// beginning on the endpoint and is sent again meets the guilty part there again.
pub fn barred_for(edge: &Edge, content: &RequestDigest) -> Option<Millis> {
    let now = edge.now();
    let status = edge.suspects(|suspects| suspects.status(now, content));
    let SuspectStatus::Barred(until) = status else {
        return None;
    };
    let record = edge.suspects(|suspects| suspects.record(content));
    let is_explained =
        |incident: &Incident| edge.parts(|table| table.explains(&incident.endpoint, incident.boot));
    let mut incidents = record.entry.incidents().iter();
    if incidents.any(is_explained) {
        return None;
    }
    Some(until.since(now))
}

/// Starts a check of the endpoints whose connections broke or that fell silent under a request. It
/// records the first that refuses connections as crashed, also if the caller leaves meanwhile; the
/// task's result is whether one does.
///
/// Only a refusal shows that the process ended, and only if another endpoint is reached: where this
/// VM is cut off, all connections may be refused on the way. A connection may also be reset on the
/// way, and an endpoint that is cut off does not answer. One run counts as one crash, however many
/// endpoints of its path ended, since they may have ended for the same other reason.
pub fn check_endpoints(
    edge: &Edge,
    ctx: &RequestContext,
    progress: RunProgress,
    endpoints: Vec<(EndpointName, SocketAddr)>,
) -> JoinHandle<bool> {
    monoio::spawn(find_crash(edge.clone(), ctx.clone(), progress, endpoints))
}

async fn find_crash(
    edge: Edge,
    ctx: RequestContext,
    progress: RunProgress,
    endpoints: Vec<(EndpointName, SocketAddr)>,
) -> bool {
    let start = edge.now();
    for (endpoint, addr) in endpoints {
        let dialed = within(CHECK_TIMEOUT, edge.pool().dial(addr)).await;
        let saw = match &dialed {
            Ok(Ok(_)) => "accepted",
            Ok(Err(error)) if is_refusal(error) => "refused",
            Ok(Err(_)) => "broke",
            Err(_) => "silent",
        };
        let ms = edge.now().since(start).0;
        log::info!(id = ctx.id, endpoint:% = endpoint, saw, ms, events = progress.events; "endpoint_checked");
        edge.metrics().count_endpoint_check(saw);
        match dialed {
            Ok(Ok(conn)) => edge.pool().put(addr, conn),
            Ok(Err(error)) if is_refusal(&error) => {
                log::info!(id = ctx.id, endpoint:% = endpoint; "crash_suspected");
                if !reach::confirm(&edge).await {
                    log::info!(id = ctx.id, endpoint:% = endpoint, reason = "cut_off"; "crash_not_recorded");
                    return false;
                }
                record_crash(&edge, &ctx, progress, &endpoint);
                return true;
            }
            Ok(Err(_)) | Err(_) => {}
        }
    }
    false
}

fn record_crash(edge: &Edge, ctx: &RequestContext, progress: RunProgress, endpoint: &EndpointName) {
    let now = edge.now();
    let boot = edge.roster(|roster| roster.born(endpoint)).unwrap_or(0);
    let incident = Incident {
        alone: false,
        at: now,
        endpoint: endpoint.clone(),
        boot,
    };
    if progress.has_begun {
        let crash = PartCrash {
            at: now,
            endpoint: endpoint.clone(),
            boot,
        };
        parts::record_crash(edge, ctx, &crash);
    }
    let was_barred = barred_for(edge, &ctx.content).is_some();
    edge.suspects(|suspects| suspects.record_crash(now, ctx.content, incident));
    let content = ctx.content.short();
    let parts = format_parts(&ctx.parts);
    let RunProgress { has_begun, events } = progress;
    log::info!(id = ctx.id, content, parts, endpoint:% = endpoint, boot, has_begun, events; "endpoint_crashed");
    edge.metrics().count_crash();
    edge.trigger_gossip();
    if let Some(wait) = barred_for(edge, &ctx.content).filter(|_| !was_barred) {
        log::warn!(content, source = "self", ms = wait.0; "request_barred");
        monoio::spawn(bars::publish(edge.clone(), ctx.content));
    }
}

/// Records that a run of a request which started at `start` ended without a crash.
pub fn record_completion(edge: &Edge, ctx: &RequestContext, start: Millis) {
    let now = edge.now();
    let content = ctx.content;
    let was_barred = barred_for(edge, &content).is_some();
    edge.suspects(|suspects| {
        // Without a crash there is nothing to clear, and nothing to tell other VMs.
        if suspects.status(now, &content) != SuspectStatus::Clear {
            suspects.record_completion(&content, start);
        }
    });
    if was_barred && barred_for(edge, &content).is_none() {
        log::info!(id = ctx.id, content = content.short(); "bar_ended");
        monoio::spawn(bars::withdraw(edge.clone(), content));
    }
}

/// Returns the records for the next message to other VMs.
pub fn next_records(edge: &Edge) -> SuspectGossip {
    let now = edge.now();
    edge.suspects(|suspects| suspects.next_records(now, MAX_NEWS))
}

/// Merges the records of a `source`: another VM or the store.
pub fn receive(edge: &Edge, gossip: SuspectGossip, source: &str) {
    let now = edge.now();
    for record in gossip.records {
        let content = record.digest;
        let is_bar = record.entry.is_conclusive();
        let was_barred = barred_for(edge, &content).is_some();
        let records = vec![record];
        edge.suspects(|suspects| suspects.merge(now, SuspectGossip { records }));
        if let Some(wait) = barred_for(edge, &content).filter(|_| !was_barred) {
            log::warn!(content = content.short(), source, ms = wait.0; "request_barred");
            // Crashes on several VMs, none of which knew of all.
            if !is_bar {
                monoio::spawn(bars::publish(edge.clone(), content));
            }
        }
    }
    if edge.suspects(|suspects| suspects.has_news()) {
        edge.trigger_gossip();
    }
}

/// Removes expired records, forever.
pub async fn expire(edge: Edge) {
    loop {
        monoio::time::sleep(EXPIRY_INTERVAL.duration()).await;
        let now = edge.now();
        edge.suspects(|suspects| suspects.expire(now));
        parts::expire(&edge);
    }
}
