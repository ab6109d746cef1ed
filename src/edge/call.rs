//! Requests to plain services: one endpoint runs the request and returns a single response.

use std::pin::pin;

use http::Method;
use http::StatusCode;
use monoio::task::JoinHandle;

use super::context::RequestContext;
use super::detour;
use super::engine;
use super::engine::ConnectError;
use super::engine::Link;
use super::forward;
use super::forward::ForwardInfo;
use super::forward::forward_request;
use super::notice;
use super::parts;
use super::plain;
use super::plain::CallGuard;
use super::plain::pick_endpoint;
use super::reach;
use super::retry;
use super::state::Edge;
use super::suspect;
use super::suspect::Process;
use super::suspect::RunEnd;
use super::suspect::RunProgress;
use crate::clock::Millis;
use crate::core::attempt::AnswerOwner;
use crate::core::attempt::Ending;
use crate::core::attempt::NextStep;
use crate::core::attempt::RetryState;
use crate::core::attempt::answer_owner;
use crate::core::attempt::next_step;
use crate::core::roster::Entry;
use crate::core::site::RouteKind;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::timeout::within;
use crate::names::EndpointName;

/// The `Retry-After` of a refusal when no endpoint could run the request.
const RETRY_AFTER: Millis = Millis(400);
/// The least time that must remain for another attempt.
const MIN_RETRY_TIME: Millis = Millis(40);
/// The most endpoints tried for one request, including those that did not run it.
const MAX_TRIED: usize = 4;
/// The most responses read from one connection to find the one with the request's id.
pub const MAX_STRAY: usize = 4;

/// The result of one attempt at an endpoint.
#[derive(Debug)]
struct Outcome {
    ending: Ending,
    sent: bool,
    /// Whether no connection could be opened.
    is_unreached: bool,
    /// Whether the endpoint rejected the request because it is full.
    is_full: bool,
    response: Option<Response>,
}

/// Serves a request to a plain service; returns `None` if the caller disconnected.
///
/// The answer comes by the deadline, whatever the request waits for then.
pub async fn run(edge: &Edge, conn: &mut Conn, ctx: &RequestContext) -> Option<Response> {
    let mut gone = pin!(conn.reader.closed());
    let mut work = pin!(run_attempts(edge, ctx));
    monoio::select! {
        // First, so that nothing is sent if the caller left before its request was read.
        biased;
        () = &mut gone => {
            log::info!(id = ctx.id, route = ctx.route.name, outcome = "caller_left"; "request");
            None
        }
        response = &mut work => Some(response),
        () = ctx.wait_for_deadline(edge) => {
            let response = Response::new(StatusCode::GATEWAY_TIMEOUT);
            log_request(edge, ctx, &[], NextStep::Fail, &response);
            Some(response)
        }
    }
}

async fn run_attempts(edge: &Edge, ctx: &RequestContext) -> Response {
    let mut tried: Vec<EndpointName> = Vec::new();
    let mut sent = ctx.detour.map_or(0, |info| info.attempts);
    let mut ran = false;
    let mut unreached = 0;
    let mut has_detoured = false;
    loop {
        let is_cut_off = edge.is_cut_off();
        if (is_cut_off || !has_detoured) && ctx.needs_detour(edge, unreached) {
            has_detoured = true;
            let fault = match detour::call(edge, ctx, sent).await {
                Ok(response) if ran && detour::is_refused(edge, &response) => {
                    return finish(edge, ctx, &tried, NextStep::Fail, None);
                }
                Ok(response) => {
                    return finish(edge, ctx, &tried, NextStep::Relay, Some(response));
                }
                Err(fault) => fault,
            };
            let ending = fault.ending();
            let was_sent = ending == Ending::Unknown;
            sent += u32::from(was_sent);
            ran |= was_sent;
            let has_time = ctx.remaining(edge.now()) > MIN_RETRY_TIME;
            let can_retry = if was_sent {
                sent < ctx.route.attempts && has_time
            } else {
                !is_cut_off
            };
            let state = RetryState {
                can_repeat: ctx.route.may_repeat(),
                can_retry,
                may_have_run: ran,
            };
            let mut step = next_step(ending, state);
            if step == NextStep::Retry && was_sent && !retry::take_retry(edge, ctx) {
                step = NextStep::Fail;
            }
            if step != NextStep::Retry {
                return finish(edge, ctx, &tried, step, None);
            }
        }
        let is_first = sent == 0 && tried.is_empty();
        if is_first && let Some(response) = refuse_if_full(edge, ctx).await {
            return response;
        }
        let Some(entry) = pick_endpoint(edge, ctx, &tried, sent) else {
            return finish(
                edge,
                ctx,
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
        let may_reuse = ctx.route.kind != RouteKind::Once && ctx.has_id();
        let reuse_for = may_reuse.then_some(ctx.id.as_str());
        edge.roster(|roster| roster.take_limited(edge.now(), &entry.endpoint));
        let guard = CallGuard::new(edge, &entry.endpoint);
        let run_start = edge.now();
        let outcome = attempt(edge, ctx, &entry, reuse_for).await;
        drop(guard);
        record_outcome(edge, ctx, &entry, &outcome);
        if matches!(outcome.ending, Ending::Answered(_)) {
            plain::record_duration(edge, ctx, edge.now().since(run_start));
            suspect::record_completion(edge, ctx, run_start);
            parts::record_survival(edge, ctx);
        }
        sent += u32::from(outcome.sent);
        unreached += usize::from(outcome.is_unreached);
        ran |= outcome.ending == Ending::Unknown;
        let has_time = ctx.remaining(edge.now()) > MIN_RETRY_TIME;
        let is_barred = suspect::is_barred(edge, ctx);
        let allowed =
            sent < ctx.route.attempts && tried.len() < MAX_TRIED && has_time && !is_barred;
        let may_detour = !has_detoured && ctx.needs_detour(edge, unreached);
        let has_other = allowed && (may_detour || pick_endpoint(edge, ctx, &tried, sent).is_some());
        let state = RetryState {
            can_repeat: ctx.route.may_repeat(),
            can_retry: has_other,
            may_have_run: ran,
        };
        let mut step = next_step(outcome.ending, state);
        if step == NextStep::Retry && outcome.sent && !retry::take_retry(edge, ctx) {
            let state = RetryState {
                can_retry: false,
                ..state
            };
            step = next_step(outcome.ending, state);
        }
        if step != NextStep::Retry {
            return finish(edge, ctx, &tried, step, outcome.response);
        }
    }
}

/// Waits for room in the service; returns the refusal if there is none in time.
async fn refuse_if_full(edge: &Edge, ctx: &RequestContext) -> Option<Response> {
    let wait = plain::wait_for_room(edge, ctx).await.err()?;
    let response = forward::refusal(wait);
    log_request(edge, ctx, &[], NextStep::Refuse, &response);
    Some(response)
}

async fn attempt(
    edge: &Edge,
    ctx: &RequestContext,
    entry: &Entry,
    reuse_for: Option<&str>,
) -> Outcome {
    let mut outcome = Outcome {
        ending: Ending::NotRun,
        sent: false,
        is_unreached: false,
        is_full: false,
        response: None,
    };
    let Link { mut conn, is_new } = match engine::connect(
        edge,
        &entry.endpoint,
        entry.addr,
        reuse_for,
    )
    .await
    {
        Ok(link) => link,
        Err(error) => {
            outcome.is_unreached =
                matches!(&error, ConnectError::Http(error) if !error.is_exhausted());
            log::info!(id = ctx.id, endpoint:% = entry.endpoint, error:% = error; "not_connected");
            return outcome;
        }
    };
    let remaining = ctx.remaining(edge.now());
    let info = ForwardInfo {
        endpoint: &entry.endpoint,
        team: ctx.team.as_ref(),
        priority: ctx.priority,
        remaining,
        path: &[],
        last_event: None,
    };
    let request = forward_request(edge, &ctx.request, &info);
    outcome.sent = true;
    ctx.record_sent();
    conn.writer.record_id(&ctx.id);
    outcome.ending = Ending::Unknown;
    let answer = within(
        remaining,
        exchange(edge, &mut conn, &request, &ctx.id, is_new),
    )
    .await;
    let response = match answer {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            log::info!(id = ctx.id, endpoint:% = entry.endpoint, error:% = error; "attempt_broke");
            edge.pool().clear(entry.addr);
            reach::record_failure(edge, entry.addr);
            check_process(edge, ctx, entry, RunEnd::Broken).await;
            return outcome;
        }
        Err(_) => {
            log::info!(id = ctx.id, endpoint:% = entry.endpoint, ms = remaining.0; "attempt_timed_out");
            // It may have fallen silent for good; the answer to the caller is due now.
            drop(check_process(edge, ctx, entry, RunEnd::Broken));
            return outcome;
        }
    };
    if !is_whole(edge, ctx, entry, &conn, &response).await {
        log::info!(id = ctx.id, endpoint:% = entry.endpoint, bytes = response.body.len(); "answer_torn");
        edge.pool().clear(entry.addr);
        return outcome;
    }
    if is_new {
        reach::record_contact(edge);
    }
    notice::read_answer(edge, &entry.endpoint, &response);
    outcome.ending = classify(edge, &response);
    outcome.is_full = response.status == StatusCode::SERVICE_UNAVAILABLE;
    if !closes_connection(&response) {
        edge.pool().put(entry.addr, conn);
    }
    if matches!(outcome.ending, Ending::Answered(_)) {
        outcome.response = Some(response);
    }
    outcome
}

/// Returns whether an answer is complete. Where the close of the connection is the only mark of its end, a crash
/// of the endpoint looks the same: a success without a body is not complete then, nor is one whose endpoint
/// is found to have ended.
async fn is_whole(
    edge: &Edge,
    ctx: &RequestContext,
    entry: &Entry,
    conn: &Conn,
    response: &Response,
) -> bool {
    if conn.reader.has_marked_end() {
        return true;
    }
    let is_empty = response.status.is_success() && response.body.is_empty();
    !check_process(edge, ctx, entry, RunEnd::Unmarked).await && !is_empty
}

/// Starts to look whether an endpoint crashed under a request; the result is whether it is known to have.
fn check_process(
    edge: &Edge,
    ctx: &RequestContext,
    entry: &Entry,
    end: RunEnd,
) -> JoinHandle<bool> {
    let process = Process {
        endpoint: entry.endpoint.clone(),
        addr: entry.addr,
        boot: entry.born,
    };
    let progress = RunProgress {
        has_begun: true,
        events: 0,
    };
    suspect::check_endpoints(edge, ctx, progress, vec![process], end)
}

/// Classifies an endpoint's response.
///
/// An endpoint may state that it did not run the request. Otherwise only a signed response counts
/// as its answer; without a signature, the outcome is unknown.
pub fn classify(edge: &Edge, response: &Response) -> Ending {
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

/// Returns whether the response has a `Connection: close` header.
pub fn closes_connection(response: &Response) -> bool {
    let value = response.headers.get(http::header::CONNECTION);
    let text = value.and_then(|value| value.to_str().ok());
    text.is_some_and(|text| text.to_ascii_lowercase().contains("close"))
}

async fn exchange(
    edge: &Edge,
    conn: &mut Conn,
    request: &Request,
    id: &str,
    is_new: bool,
) -> Result<Response, HttpError> {
    conn.writer.request(request).await?;
    let bodiless = request.method == Method::HEAD;
    for _ in 0..MAX_STRAY {
        let response = conn.reader.response(bodiless).await?;
        let echo = response.header(&edge.dialect().headers.request_id);
        match answer_owner(echo, id, is_new) {
            AnswerOwner::Own => return Ok(response),
            AnswerOwner::Other => {
                log::warn!(id, stray = echo.unwrap_or_default(); "stray_answer");
            }
            AnswerOwner::Unclear => {
                log::warn!(id, status = response.status.as_u16(); "answer_without_id");
                break;
            }
        }
    }
    Err(HttpError::Malformed)
}

fn record_outcome(edge: &Edge, ctx: &RequestContext, entry: &Entry, outcome: &Outcome) {
    let now = edge.now();
    let label = match outcome.ending {
        Ending::Answered(_) => "answered",
        Ending::NotRun if outcome.sent => "not_run",
        Ending::NotRun => "not_sent",
        Ending::Unknown => "unknown",
    };
    edge.metrics().count_attempt(label);
    if !outcome.sent && !outcome.is_unreached {
        return;
    }
    match outcome.ending {
        Ending::Answered(status) => plain::record_call(edge, ctx, entry, status >= 500),
        Ending::Unknown => plain::record_call(edge, ctx, entry, true),
        // An endpoint that is full or leaving says so. It fails only if it can't be reached.
        Ending::NotRun if outcome.is_unreached => plain::record_call(edge, ctx, entry, true),
        Ending::NotRun if outcome.is_full => plain::record_rejection(edge, ctx, entry),
        Ending::NotRun => {}
    }
    edge.roster(|roster| {
        if let Some(health) = roster.health(&entry.endpoint) {
            match outcome.ending {
                Ending::Answered(status) => health.record_answer(status >= 500),
                Ending::NotRun | Ending::Unknown => health.record_failure(now),
            }
        }
    });
}

/// Returns when the caller of a refused request may come back: as soon as an endpoint that asked for
/// a pause or named a limit takes requests again, if all did, or at the pace of this VM's calls.
fn retry_after(edge: &Edge, ctx: &RequestContext) -> Millis {
    let now = edge.now();
    let wait = edge.roster(|roster| roster.shortest_wait(now, &ctx.service));
    wait.filter(|_| pick_endpoint(edge, ctx, &[], 0).is_none())
        .or_else(|| plain::book_return(edge, ctx))
        .unwrap_or_else(|| RETRY_AFTER.min(ctx.remaining(now) - MIN_RETRY_TIME))
}

fn finish(
    edge: &Edge,
    ctx: &RequestContext,
    tried: &[EndpointName],
    step: NextStep,
    answer: Option<Response>,
) -> Response {
    let response = match (step, answer) {
        (NextStep::Relay, Some(mut response)) => {
            forward::strip_hop_headers(&mut response.headers);
            response
        }
        (NextStep::Refuse, _) => forward::refusal(retry_after(edge, ctx)),
        _ if ctx.remaining(edge.now()) == Millis(0) => Response::new(StatusCode::GATEWAY_TIMEOUT),
        _ => Response::new(StatusCode::BAD_GATEWAY),
    };
    log_request(edge, ctx, tried, step, &response);
    response
}

fn log_request(
    edge: &Edge,
    ctx: &RequestContext,
    tried: &[EndpointName],
    step: NextStep,
    response: &Response,
) {
    log::info!(
        id = ctx.id,
        content = ctx.content.short(),
        version = ctx.site.version,
        route = ctx.route.name,
        team = ctx.team.as_ref().map_or("-", |team| team.as_str()),
        tried:? = tried,
        outcome:? = step,
        status = response.status.as_u16(),
        cut_off = edge.is_cut_off(),
        ms = edge.now().since(ctx.start).0;
        "request"
    );
}
