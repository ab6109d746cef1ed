//! What endpoints say of themselves in their answers, read from every answer that reaches this VM.

use http::StatusCode;
use http::header::RETRY_AFTER;

use super::state::Edge;
use crate::core::roster::LeavingNotice;
use crate::core::roster::MAX_PAUSE;
use crate::core::roster::parse_pause;
use crate::io::http::Response;
use crate::names::EndpointName;

/// The value of the header with which an endpoint says that it is leaving.
const IS_LEAVING: &str = "1";

/// Reads from an answer whether its endpoint is leaving, and how long it wants nothing from this VM.
pub fn read_answer(edge: &Edge, endpoint: &EndpointName, response: &Response) {
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
