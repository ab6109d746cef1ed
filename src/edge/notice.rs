//! What endpoints say of themselves in their answers (that they leave, want a pause, take only so
//! many requests), read from every answer that reaches this VM.

use http::StatusCode;
use http::header::RETRY_AFTER;

use super::state::Edge;
use crate::clock::Millis;
use crate::core::roster::LeavingNotice;
use crate::core::roster::MAX_PAUSE;
use crate::core::roster::RateNotice;
use crate::core::roster::RateVms;
use crate::core::roster::parse_pause;
use crate::core::roster::parse_rate;
use crate::io::http::Response;
use crate::names::EndpointName;

/// The interval at which shares of limits are checked.
const SHARE_INTERVAL: Millis = Millis(500);
/// The value of the header with which an endpoint says that it is leaving.
const IS_LEAVING: &str = "1";

/// Reads what an endpoint says in its answer to a request: the same as in a report, and if it names
/// no limit, that it has none.
pub fn read_answer(edge: &Edge, endpoint: &EndpointName, response: &Response) {
    read_report(edge, endpoint, response);
    let names_limit = response.headers.contains_key(&edge.dialect().headers.limit);
    let now = edge.now();
    if !names_limit && edge.roster(|roster| roster.end_rate(now, endpoint)) {
        log::info!(endpoint:% = endpoint, source = "answer"; "limit_ended");
        edge.trigger_gossip();
    }
}

/// Reads from any answer whether its endpoint is leaving, how long it wants nothing from this VM,
/// and how many requests it takes from all.
pub fn read_report(edge: &Edge, endpoint: &EndpointName, response: &Response) {
    if let Some(text) = response.header(&edge.dialect().headers.limit) {
        record_rate(edge, endpoint, text);
    }
    if response.header(&edge.dialect().headers.leaving) == Some(IS_LEAVING) {
        record_leaving(edge, endpoint);
    }
    if response.status == StatusCode::SERVICE_UNAVAILABLE {
        record_pause(edge, endpoint, response);
    }
}

fn record_leaving(edge: &Edge, endpoint: &EndpointName) {
    let now = edge.now();
    if edge.roster(|roster| roster.record_leaving(now, endpoint)) {
        let boot = edge.roster(|roster| roster.born(endpoint)).unwrap_or(0);
        log::info!(endpoint:% = endpoint, boot, source = "answer"; "endpoint_leaving");
        edge.metrics().count_notice("leaving");
        edge.trigger_gossip();
    }
}

fn record_rate(edge: &Edge, endpoint: &EndpointName, text: &str) {
    let now = edge.now();
    match parse_rate(text) {
        Ok(rate) => {
            if edge.roster(|roster| roster.record_rate(now, endpoint, rate)) {
                log::info!(endpoint:% = endpoint, rate, source = "answer"; "limit_named");
                edge.metrics().count_notice("limit");
                edge.trigger_gossip();
                share_limits(edge);
            }
        }
        Err(error) => {
            log::warn!(endpoint:% = endpoint, value = text, error:% = error; "limit_ignored");
        }
    }
}

/// Computes this VM's shares of the limits that endpoints name, if any do.
fn share_limits(edge: &Edge) {
    let now = edge.now();
    if !edge.roster(|roster| roster.has_limits(now)) {
        return;
    }
    let me = &edge.settings().vm;
    let vms = edge.fleet(|fleet| {
        let others = fleet.alive(now).map(|member| &member.vm);
        RateVms::new(fleet.assumed_size(), me, others)
    });
    edge.roster(|roster| roster.share_limits(now, &vms));
}

/// Keeps this VM's shares of limits up to date while VMs come and go, forever.
pub async fn watch_limits(edge: Edge) {
    loop {
        monoio::time::sleep(SHARE_INTERVAL.duration()).await;
        share_limits(&edge);
    }
}

/// Returns the limits for the next message to other VMs.
pub fn next_limits(edge: &Edge) -> Vec<RateNotice> {
    let now = edge.now();
    edge.roster(|roster| roster.rate_notices(now))
}

/// Applies the limits that another VM heard of.
pub fn receive_limits(edge: &Edge, notices: &[RateNotice]) {
    let now = edge.now();
    for notice in notices {
        if edge.roster(|roster| roster.apply_rate_notice(now, notice)) {
            let RateNotice { endpoint, rate, .. } = notice;
            match rate {
                Some(rate) => {
                    log::info!(endpoint:% = endpoint, rate = *rate, source = "peer"; "limit_named");
                    edge.metrics().count_notice("limit");
                }
                None => log::info!(endpoint:% = endpoint, source = "peer"; "limit_ended"),
            }
            edge.trigger_gossip();
            share_limits(edge);
        }
    }
}

fn record_pause(edge: &Edge, endpoint: &EndpointName, response: &Response) {
    let Some(text) = response.header(&RETRY_AFTER) else {
        return;
    };
    let now = edge.now();
    match parse_pause(text) {
        Ok(pause) => {
            let is_new = edge.roster(|roster| roster.record_pause(now, endpoint, pause));
            if is_new {
                let is_cut = pause == MAX_PAUSE;
                log::info!(endpoint:% = endpoint, pause_ms = pause.0, is_cut; "endpoint_paused");
                edge.metrics().count_notice("pause");
            }
        }
        Err(error) => {
            log::warn!(endpoint:% = endpoint, value = text, error:% = error; "pause_ignored");
        }
    }
}

/// Returns the notices for the next message to other VMs.
pub fn next_notices(edge: &Edge) -> Vec<LeavingNotice> {
    let now = edge.now();
    edge.roster(|roster| roster.leaving_notices(now))
}

/// Applies the notices of another VM.
pub fn receive(edge: &Edge, notices: &[LeavingNotice]) {
    let now = edge.now();
    for notice in notices {
        if edge.roster(|roster| roster.apply_notice(now, notice)) {
            let endpoint = &notice.endpoint;
            log::info!(endpoint:% = endpoint, boot = notice.born, source = "peer"; "endpoint_leaving");
            edge.metrics().count_notice("leaving");
            edge.trigger_gossip();
        }
    }
}
