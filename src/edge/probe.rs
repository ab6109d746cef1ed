//! Asking engines whether they work, and telling other VMs of those that do not.

use std::net::SocketAddr;

use super::dialect::Report;
use super::engine;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::pipe::Part;
use crate::core::pipe::StallTimer;
use crate::names::EndpointName;

/// The pace from which an engine counts as slow.
const SLOW_PACE: f64 = 2.0;
/// The interval between two probes of an engine that stands still.
const PROBE_SPAN: Millis = Millis(600);

/// Asks an engine of a quiet path whether it works, unless that is known or was asked just now. Returns
/// whether it was asked.
pub fn suspect(edge: &Edge, part: &Part, first: bool, watch: &StallTimer) -> bool {
    let now = edge.now();
    let slow = watch.is_slow();
    let asked = edge.roster(|roster| roster.begin_probe(now, &part.endpoint, watch.last_event(), slow));
    if asked {
        control(edge, part, first);
    }
    asked
}

/// Asks an engine whether it works, be it for the sake of a comparison only.
pub fn control(edge: &Edge, part: &Part, first: bool) {
    monoio::spawn(ask(edge.clone(), part.clone(), first));
}

/// An engine that does not answer in a short time is silent only if another one that was asked no
/// earlier did: else this VM or its link may be held up, and the engine is asked again with more time.
async fn ask(edge: Edge, part: Part, first: bool) {
    let start = edge.now();
    let mut answer = engine::probe(&edge, part.addr).await;
    let compared = edge.roster(|roster| roster.last_answered_probe()) >= start;
    if answer.is_err() && !compared {
        answer = engine::report(&edge, part.addr).await;
    }
    match answer {
        Ok(report) => {
            edge.roster(|roster| roster.record_probe_answer(start));
            hear(&edge, &part.endpoint, report.pace);
            if first {
                stalled(&edge, &report);
            }
        }
        Err(error) => {
            let ms = edge.now().since(start).0;
            log::info!(endpoint:% = part.endpoint, error:% = error, compared, ms; "endpoint_silent");
            stand_still(&edge, &part.endpoint);
        }
    }
}

/// Takes in the engines that hold up the work of the one that tells of them.
fn stalled(edge: &Edge, report: &Report) {
    for addr in &report.stalled {
        if let Some(endpoint) = edge.roster(|roster| roster.name_at(*addr)) {
            stand_still(edge, &endpoint);
        }
    }
}

fn hear(edge: &Edge, endpoint: &EndpointName, pace: f64) {
    let now = edge.now();
    edge.roster(|roster| roster.record_liveness(now, endpoint));
    if pace >= SLOW_PACE {
        mark(edge, endpoint, Some(pace));
    } else {
        edge.roster(|roster| roster.unwatch(endpoint));
    }
}

fn stand_still(edge: &Edge, endpoint: &EndpointName) {
    let now = edge.now();
    edge.roster(|roster| {
        if let Some(health) = roster.health(endpoint) {
            health.record_stall(now);
        }
    });
    mark(edge, endpoint, None);
}

/// Tells this VM and the others that an engine is slow, or stands still.
pub fn mark(edge: &Edge, endpoint: &EndpointName, pace: Option<f64>) {
    let now = edge.now();
    if edge.roster(|roster| roster.mark(now, endpoint, pace)) {
        let pace = pace.unwrap_or(f64::INFINITY);
        log::info!(endpoint:% = endpoint, pace, source = "self"; "endpoint_marked");
        edge.nudge();
    }
}

/// Probes the engines that stand still, and those that this VM found slow, for ever, so that they get
/// work again once they answer.
pub async fn run(edge: Edge) {
    loop {
        monoio::time::sleep(PROBE_SPAN.duration()).await;
        for (endpoint, addr) in edge.roster(|roster| roster.probe_targets()) {
            monoio::spawn(again(edge.clone(), endpoint, addr));
        }
    }
}

async fn again(edge: Edge, endpoint: EndpointName, addr: SocketAddr) {
    let report = engine::report(&edge, addr).await;
    let down = edge.roster(|roster| roster.is_down(&endpoint));
    match report {
        Ok(report) => hear(&edge, &endpoint, report.pace),
        Err(_) => mark(&edge, &endpoint, None),
    }
    if down && !edge.roster(|roster| roster.is_down(&endpoint)) {
        log::info!(endpoint:% = endpoint; "endpoint_answers");
    }
}
