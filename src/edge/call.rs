//! Requests to plain services: one endpoint runs them and gives one whole answer.

use std::pin::pin;

use http::Method;
use http::StatusCode;

use super::forward;
use super::forward::Orders;
use super::forward::forward;
use super::front::Job;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::attempt::Ending;
use crate::core::attempt::NextStep;
use crate::core::attempt::RetryState;
use crate::core::attempt::next_step;
use crate::core::roster::Entry;
use crate::core::site::RouteKind;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::patience::within;
use crate::names::EndpointName;

/// When a caller whose request found no endpoint may come back.
const BACK_SPAN: Millis = Millis(400);
/// With less time left than this, no other endpoint is tried.
const RETRY_LEAST: Millis = Millis(40);
/// The endpoints that a request may be offered to in vain, beside its attempts.
const OFFERS: usize = 4;
/// The answers to other requests that are read past on one connection.
const STRAYS: usize = 4;

/// How an attempt went.
#[derive(Debug)]
struct Outcome {
    ending: Ending,
    sent: bool,
    response: Option<Response>,
}

/// Runs a request; `None` if the caller has left.
pub async fn run(edge: &Edge, conn: &mut Conn, job: &Job) -> Option<Response> {
    let mut gone = pin!(conn.reader.closed());
    let mut work = pin!(attempts(edge, job));
    monoio::select! {
        response = &mut work => Some(response),
        () = &mut gone => {
            log::info!(id = job.id, route = job.route.name, outcome = "caller_left"; "request");
            None
        }
    }
}

async fn attempts(edge: &Edge, job: &Job) -> Response {
    let mut tried: Vec<EndpointName> = Vec::new();
    let mut sent = 0;
    let mut ran = false;
    loop {
        let now = edge.now();
        let Some(entry) = pick(edge, job, &tried) else {
            return finish(
                edge,
                job,
                &tried,
                if ran {
                    NextStep::Fail
                } else {
                    NextStep::Refuse
                },
                None,
            );
        };
        tried.push(entry.endpoint.clone());
        let fresh = job.route.kind == RouteKind::Once;
        edge.roster(|roster| roster.begin_request(&entry.endpoint, 0.0));
        let outcome = attempt(edge, job, &entry, fresh).await;
        edge.roster(|roster| roster.end_request(&entry.endpoint, 0.0));
        note(edge, &entry, &outcome);
        sent += u32::from(outcome.sent);
        ran |= outcome.ending == Ending::Unknown;
        let timely = job.left(edge.now()) > RETRY_LEAST;
        let allowed = sent < job.route.attempts && tried.len() < OFFERS && timely;
        let other = allowed && pick(edge, job, &tried).is_some();
        let vms = edge.fleet(|fleet| fleet.assumed_size());
        let paid = other && (!outcome.sent || edge.budget(|budget| budget.try_retry(now, vms)));
        let left = RetryState {
            can_repeat: job.route.may_repeat(),
            can_retry: paid,
            may_have_run: ran,
        };
        match next_step(outcome.ending, left) {
            NextStep::Retry => {}
            verdict => return finish(edge, job, &tried, verdict, outcome.response),
        }
    }
}

/// Chooses the endpoint with the least work of this VM, near ones first among equals.
///
/// The answer to ordinary load on a service whose endpoints are alike.
fn pick(edge: &Edge, job: &Job, tried: &[EndpointName]) -> Option<Entry> {
    let now = edge.now();
    let home = &edge.settings().domain;
    edge.roster(|roster| {
        roster
            .serving(&job.service, now)
            .filter(|(entry, _, _)| !tried.contains(&entry.endpoint))
            .map(|(entry, health, work)| {
                let far = if entry.domain == *home { 0.0 } else { 0.3 };
                let load = (1.0 + f64::from(work.running)) * health.penalty() + far;
                let avoided = if health.is_avoided(now) { 1000.0 } else { 0.0 };
                (avoided + load + edge.draw() * 0.6, entry)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, entry)| entry.clone())
    })
}

async fn attempt(edge: &Edge, job: &Job, entry: &Entry, fresh: bool) -> Outcome {
    let mut outcome = Outcome {
        ending: Ending::NotRun,
        sent: false,
        response: None,
    };
    let dial = async {
        match edge.pool().reuse(entry.addr) {
            Some(conn) if !fresh => Ok(conn),
            _ => Conn::dial(entry.addr).await,
        }
    };
    let Ok(mut conn) = dial.await else {
        return outcome;
    };
    let left = job.left(edge.now());
    let orders = Orders {
        endpoint: &entry.endpoint,
        team: job.team.as_ref(),
        rank: job.rank,
        left,
        path: &[],
        last: None,
    };
    let request = forward(edge, &job.request, &orders);
    outcome.sent = true;
    outcome.ending = Ending::Unknown;
    let answer = within(left, exchange(edge, &mut conn, &request, &job.id)).await;
    let response = match answer {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            log::info!(id = job.id, endpoint:% = entry.endpoint, error:% = error; "attempt_broke");
            edge.pool().clear(entry.addr);
            return outcome;
        }
        Err(_) => {
            log::info!(id = job.id, endpoint:% = entry.endpoint, ms = left.0; "attempt_timed_out");
            return outcome;
        }
    };
    outcome.ending = judge(edge, &response);
    if !closes(&response) {
        edge.pool().keep(entry.addr, conn);
    }
    if matches!(outcome.ending, Ending::Answered(_)) {
        outcome.response = Some(response);
    }
    outcome
}

/// Says what an endpoint's answer means for the request.
pub fn judge(edge: &Edge, response: &Response) -> Ending {
    let names = &edge.dialect().headers;
    let status = response.status;
    if status == StatusCode::MISDIRECTED_REQUEST || response.headers.contains_key(&names.not_run) {
        return Ending::NotRun;
    }
    if !response.headers.contains_key(&names.signature) {
        return Ending::Unknown;
    }
    Ending::Answered(status.as_u16())
}

/// Says whether the endpoint will close the connection.
pub fn closes(response: &Response) -> bool {
    let value = response.headers.get(http::header::CONNECTION);
    let text = value.and_then(|value| value.to_str().ok());
    text.is_some_and(|text| text.to_ascii_lowercase().contains("close"))
}

async fn exchange(
    edge: &Edge,
    conn: &mut Conn,
    request: &Request,
    id: &str,
) -> Result<Response, HttpError> {
    conn.writer.request(request).await?;
    let bodiless = request.method == Method::HEAD;
    for _ in 0..STRAYS {
        let response = conn.reader.response(bodiless).await?;
        let echo = response.header(&edge.dialect().headers.request);
        if echo.is_none_or(|echo| echo == id) {
            return Ok(response);
        }
        log::warn!(id, stray = echo.unwrap_or_default(); "stray_answer");
    }
    Err(HttpError::Malformed)
}

fn note(edge: &Edge, entry: &Entry, outcome: &Outcome) {
    let now = edge.now();
    let word = match outcome.ending {
        Ending::Answered(_) => "answered",
        Ending::NotRun if outcome.sent => "not_run",
        Ending::NotRun => "not_sent",
        Ending::Unknown => "unknown",
    };
    edge.metrics().attempt(word);
    edge.roster(|roster| {
        if let Some(health) = roster.health(&entry.endpoint) {
            match outcome.ending {
                Ending::Answered(status) => health.record_answer(status >= 500),
                Ending::NotRun | Ending::Unknown => health.record_failure(now),
            }
        }
    });
}

fn finish(
    edge: &Edge,
    job: &Job,
    tried: &[EndpointName],
    verdict: NextStep,
    answer: Option<Response>,
) -> Response {
    let response = match (verdict, answer) {
        (NextStep::Relay, Some(mut response)) => {
            forward::strip(&mut response.headers);
            response
        }
        (NextStep::Refuse, _) => forward::refusal(BACK_SPAN),
        _ if job.left(edge.now()) == Millis(0) => Response::new(StatusCode::GATEWAY_TIMEOUT),
        _ => Response::new(StatusCode::BAD_GATEWAY),
    };
    log::info!(
        id = job.id,
        version = job.site.version,
        route = job.route.name,
        team = job.team.as_ref().map_or("-", |team| team.as_str()),
        tried:? = tried,
        outcome:? = verdict,
        status = response.status.as_u16(),
        ms = edge.now().since(job.start).0;
        "request"
    );
    response
}
