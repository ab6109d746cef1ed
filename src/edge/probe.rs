//! Probes of engines that may have failed; the result is sent to the other VMs.

use std::net::SocketAddr;

use super::dialect::Report;
use super::engine;
use super::reach;
use super::state::Edge;
use crate::core::pipe::Part;
use crate::core::pipe::StallTimer;
use crate::core::roster::WATCH_INTERVAL;
use crate::core::roster::pace_share;
use crate::names::EndpointName;

/// The pace, a multiple of the usual time, from which an engine counts as slow.
const SLOW_PACE: f64 = 2.0;

/// The pace of an engine whose report cannot be read: it answers, so it is not down.
const USUAL_PACE: f64 = 1.0;

/// Returns whether this VM is among the few that ask engines for their pace now.
fn draws_pace(edge: &Edge) -> bool {
    let now = edge.now();
    let vms = edge.fleet(|fleet| fleet.serving_count(now));
    edge.random() < pace_share(vms)
}

/// Probes an engine of a quiet path, unless it was heard from since or probed recently. Returns
/// whether it was probed.
pub fn probe_if_quiet(edge: &Edge, part: &Part, first: bool, watch: &StallTimer) -> bool {
    let now = edge.now();
    let slow = watch.is_slow() && draws_pace(edge);
    let asked =
        edge.roster(|roster| roster.begin_probe(now, &part.endpoint, watch.last_event(), slow));
    edge.metrics()
        .count_probe(if asked { "sent" } else { "saved" });
    if asked {
        spawn_probe(edge, part, first);
    } else {
        edge.metrics().count_probe("saved");
    }
    asked
}

/// Probes an engine, unless it asked for a pause; if it is the `first` of its path, its report tells
/// which engines stall the path.
pub fn spawn_probe(edge: &Edge, part: &Part, first: bool) {
    let now = edge.now();
    if edge
        .roster(|roster| roster.paused_for(now, &part.endpoint))
        .is_some()
    {
        return;
    }
    edge.metrics().count_probe("sent");
    monoio::spawn(probe_engine(edge.clone(), part.clone(), first));
}

/// Marks an engine as down if it misses the short timeout of a probe while another engine, probed
/// no earlier, answered. If none answered, this VM or its link may be slow, so the engine is first
/// asked again with a longer timeout.
async fn probe_engine(edge: Edge, part: Part, first: bool) {
    let start = edge.now();
    let mut answer = engine::probe(&edge, part.addr).await;
    let compared = edge.roster(|roster| roster.last_answered_probe()) >= start;
    if answer.is_err() && !compared {
        answer = engine::fetch_report(&edge, part.addr).await;
    }
    match answer {
        Ok(report) => {
            edge.roster(|roster| roster.record_probe_answer(start));
            record_report(&edge, &part.endpoint, report.pace);
            if first {
                mark_stalled(&edge, &report);
            }
        }
        Err(error) if error.is_unreadable() => {
            log::warn!(endpoint:% = part.endpoint, error:% = error; "report_refused");
            edge.roster(|roster| roster.record_probe_answer(start));
            record_report(&edge, &part.endpoint, USUAL_PACE);
        }
        Err(error) => {
            let ms = edge.now().since(start).0;
            log::info!(endpoint:% = part.endpoint, error:% = error, compared, ms; "endpoint_silent");
            reach::record_failure(&edge, part.addr);
            if !edge.is_cut_off() && (compared || reach::confirm(&edge).await) {
                mark_down(&edge, &part.endpoint);
            }
        }
    }
}

/// Marks the engines as down that stall the work of the reporting one.
fn mark_stalled(edge: &Edge, report: &Report) {
    for addr in &report.stalled {
        if let Some(endpoint) = edge.roster(|roster| roster.name_at(*addr)) {
            mark_down(edge, &endpoint);
        }
    }
}

fn record_report(edge: &Edge, endpoint: &EndpointName, pace: f64) {
    let now = edge.now();
    edge.roster(|roster| roster.record_liveness(now, endpoint));
    if pace >= SLOW_PACE {
        mark(edge, endpoint, Some(pace));
    } else {
        edge.roster(|roster| roster.unwatch(endpoint));
    }
}

fn mark_down(edge: &Edge, endpoint: &EndpointName) {
    let now = edge.now();
    edge.roster(|roster| {
        if let Some(health) = roster.health(endpoint) {
            health.record_stall(now);
        }
    });
    mark(edge, endpoint, None);
}

/// Marks an engine on this VM and the others: as slow by `pace`, or as down if that is `None`.
pub fn mark(edge: &Edge, endpoint: &EndpointName, pace: Option<f64>) {
    let now = edge.now();
    if edge.roster(|roster| roster.mark(now, endpoint, pace)) {
        let pace = pace.unwrap_or(f64::INFINITY);
        log::info!(endpoint:% = endpoint, pace, source = "self"; "endpoint_marked");
        edge.trigger_gossip();
    }
}

/// Probes the engines that are down or that this VM found slow, so that they get work again once they
/// answer.
pub async fn run(edge: Edge) {
    loop {
        monoio::time::sleep(WATCH_INTERVAL.duration()).await;
        if edge.is_cut_off() {
            continue;
        }
        let now = edge.now();
        let due = edge.roster(|roster| roster.take_due_probes(now, || draws_pace(&edge)));
        for (endpoint, addr) in due {
            edge.metrics().count_probe("again");
            monoio::spawn(probe_again(edge.clone(), endpoint, addr));
        }
    }
}

async fn probe_again(edge: Edge, endpoint: EndpointName, addr: SocketAddr) {
    let report = engine::fetch_report(&edge, addr).await;
    let down = edge.roster(|roster| roster.is_down(&endpoint));
    match report {
        Ok(report) => record_report(&edge, &endpoint, report.pace),
        Err(error) if error.is_unreadable() => {
            log::warn!(endpoint:% = endpoint, error:% = error; "report_refused");
            record_report(&edge, &endpoint, USUAL_PACE);
        }
        Err(_) if edge.is_cut_off() => {}
        Err(_) => mark(&edge, &endpoint, None),
    }
    if down && !edge.roster(|roster| roster.is_down(&endpoint)) {
        log::info!(endpoint:% = endpoint; "endpoint_answers");
    }
}
