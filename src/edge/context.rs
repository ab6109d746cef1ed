//! A caller's request with what was found for it, and the answer to it: what the handlers of plain
//! requests and of streams share.

use std::rc::Rc;

use http::HeaderValue;
use http::header;

use super::detour::DetourInfo;
use super::parts::Trial;
use super::startup;
use super::startup::Step;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::poison::PartDigest;
use crate::core::poison::RequestDigest;
use crate::core::site::Route;
use crate::core::site::SiteConfig;
use crate::core::stop::time_left;
use crate::io::http::Conn;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::names::ServiceName;
use crate::names::Team;

/// The id of a request whose caller gave it none.
pub const NO_ID: &str = "-";
/// The endpoints that a request may fail to reach before another VM is asked to serve it.
const MAX_UNREACHED: usize = 2;

/// How long after its deadline a request is ended that has not ended by itself.
const DEADLINE_MARGIN: Millis = Millis(50);

/// How often a request looks whether its VM was told to stop.
const STOP_CHECK_INTERVAL: Millis = Millis::seconds(1);
/// The least number of such looks within a grace period.
const STOP_CHECKS: u64 = 4;

/// What happens to a caller's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnAction {
    /// It may carry another request.
    Keep,
    /// It is closed.
    Close,
}

/// A request with its route, team and deadline.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// The request as the caller sent it.
    pub request: Request,
    /// The id of the caller's attempt, or [`NO_ID`] if it sent none.
    pub id: String,
    /// Identifies the request's content, in whichever attempt and on whichever VM.
    pub content: RequestDigest,
    /// The parts of the prompt that other requests share, in order.
    pub parts: Vec<PartDigest>,
    /// The configuration that was in force when the request arrived.
    pub site: Rc<SiteConfig>,
    /// The route that matches the request.
    pub route: Route,
    /// The service chosen from the route's traffic split.
    pub service: ServiceName,
    /// The team whose key the request carries, if any.
    pub team: Option<Team>,
    /// The team's priority, or else the route's; 0 is the highest.
    pub priority: u8,
    /// When the request was read.
    pub start: Millis,
    /// When the caller or the route times out, whichever is earlier.
    pub deadline: Millis,
    /// Set if another VM accepted the request and reaches no endpoint.
    pub detour: Option<DetourInfo>,
    /// The trial of a barred part of its prompt, if it runs as one.
    pub trial: Option<Rc<Trial>>,
}

impl RequestContext {
    /// Returns whether to have another VM serve the request: this one reaches no endpoint, or opened
    /// no connection to `unreached` endpoints for it.
    pub fn needs_detour(&self, edge: &Edge, unreached: usize) -> bool {
        self.detour.is_none() && (edge.is_cut_off() || unreached >= MAX_UNREACHED)
    }

    /// Records that the request is sent to an endpoint or to another VM, so that it may run.
    pub fn record_sent(&self) {
        if let Some(trial) = &self.trial {
            trial.record_sent();
        }
    }

    /// Returns whether the caller gave the request an id, by which its answer is told apart.
    pub fn has_id(&self) -> bool {
        self.id != NO_ID
    }

    /// Waits until shortly after the deadline, or until the VM is about to exit. Most waits of a request end at
    /// the deadline by themselves, and their log lines say what for.
    pub async fn wait_for_deadline(&self, edge: &Edge) {
        let end = self.deadline + DEADLINE_MARGIN;
        let grace = edge.settings().bounds.grace();
        let step = STOP_CHECK_INTERVAL.min(Millis(grace.0 / STOP_CHECKS));
        loop {
            let now = edge.now();
            let left = end.since(now);
            let until_exit = edge.stopping().map(|passed| time_left(passed, grace));
            if left == Millis(0) || until_exit == Some(Millis(0)) {
                return;
            }
            let wait = left.min(until_exit.unwrap_or(step));
            monoio::time::sleep(wait.duration()).await;
        }
    }

    /// Returns the time left until the deadline, 0 once it has passed.
    pub fn remaining(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }
}

/// Sends a complete response and records it in the metrics.
pub async fn respond(
    edge: &Edge,
    conn: &mut Conn,
    mut response: Response,
    bodiless: bool,
    start: Millis,
) -> ConnAction {
    let stopping = edge.stopping().is_some();
    if stopping {
        response
            .headers
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    edge.metrics()
        .record_answer(response.status.as_u16(), edge.now().since(start));
    if response.status.is_success() {
        startup::record(edge, Step::Answer, "self");
    }
    match conn.writer.response(&response, bodiless).await {
        Ok(()) if !stopping => ConnAction::Keep,
        Ok(()) => ConnAction::Close,
        Err(error) => {
            log::debug!(status = response.status.as_u16(), error:% = error; "answer_not_sent");
            ConnAction::Close
        }
    }
}
