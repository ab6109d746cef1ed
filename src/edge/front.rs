//! Caller connections: reads requests one after another and routes each of them.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use http::uri::PathAndQuery;

use super::LISTEN_AFTER_STOP;
use super::call;
use super::context::ConnAction;
use super::context::NO_ID;
use super::context::RequestContext;
use super::context::respond;
use super::detour;
use super::detour::DetourInfo;
use super::forward;
use super::parts;
use super::parts::Trial;
use super::relay;
use super::state::Edge;
use super::suspect;
use crate::clock::Millis;
use crate::consts::TICK_INTERVAL;
use crate::core::poison::PartDigest;
use crate::core::poison::RequestDigest;
use crate::core::site::Route;
use crate::core::site::RouteError;
use crate::core::site::RouteKind;
use crate::core::stop::ACCEPT_TIME;
use crate::core::stop::RunLimit;
use crate::core::stop::takes_request;
use crate::io::http::Bounds;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::listen;
use crate::names::ServiceName;
use crate::names::Team;

/// The `Retry-After` of a refusal for lack of a configuration or of a service on the route.
const NOT_READY_RETRY_AFTER: Millis = Millis(500);

/// How long after its start a VM holds requests until it has a configuration and endpoints, and has
/// heard from another VM. This takes a fraction of it, and a refused caller tries again only once.
const STARTUP_WAIT: Millis = Millis(1000);
/// How often a held request checks whether that is so.
const STARTUP_POLL: Millis = Millis(10);

/// The `Retry-After` of a refusal by a VM that is about to exit; the caller tries another VM.
const STOPPING_RETRY_AFTER: Millis = Millis(0);

/// The bytes allowed for the request line and line ends on top of the configured limit of headers;
/// a path has a few hundred bytes at most.
const REQUEST_LINE_BYTES: usize = 1024;

/// The most parts of a prompt that are told apart, which bounds the work for a long list.
const MAX_PARTS: usize = 64;

/// Binds the callers' socket and starts accepting connections.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(edge: &Edge) -> io::Result<()> {
    let listener = listen::bind(edge.settings().front)?;
    let edge = edge.clone();
    let end = wait_for_stop(edge.clone());
    let pool = edge.pool().clone();
    let serve = move |conn, from| serve(edge.clone(), conn, from);
    let relieve = move || pool.shed();
    monoio::spawn(listen::accept_until(listener, serve, relieve, end));
    Ok(())
}

/// Waits until a stopping VM takes no more connections.
async fn wait_for_stop(edge: Edge) {
    while edge.stopping().is_none_or(|span| span <= LISTEN_AFTER_STOP) {
        monoio::time::sleep(TICK_INTERVAL.duration()).await;
    }
}

/// Serves the requests of a caller's connection, one after the other, until either side closes it.
///
/// The future may be dropped at any time, which ends the request in progress as if its caller had left.
pub async fn serve(edge: Edge, mut conn: Conn, from: SocketAddr) {
    count_requests(&edge, &mut conn, from);
    loop {
        if !matches!(conn.reader.request_begins(|| bounds(&edge)).await, Ok(true)) {
            return;
        }
        // Counted from its first byte, so that the daemon does not exit while it is being read.
        let guard = edge.begin_request();
        let request = match conn.reader.request_with_bounds(|| bounds(&edge)).await {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(error) => return reject_malformed(&mut conn, from, &error).await,
        };
        let action = handle(&edge, &mut conn, request, None).await;
        drop(guard);
        if action == ConnAction::Close {
            conn.writer.close().await;
            return;
        }
    }
}

/// Counts what a connection keeps of incomplete requests, together with the others from the same machine.
pub fn count_requests(edge: &Edge, conn: &mut Conn, from: SocketAddr) {
    let machine = SocketAddr::new(from.ip(), 0);
    conn.reader.set_account(edge.requests().account(machine));
}

/// Serves a request of another VM, which accepted it and reaches no endpoint.
pub async fn serve_detour(
    edge: &Edge,
    conn: &mut Conn,
    request: Request,
    info: DetourInfo,
) -> ConnAction {
    let guard = edge.begin_request();
    let action = match detour::find_objection(edge, info) {
        Some(reason) => {
            let id = request.header(&edge.dialect().headers.request_id);
            log::info!(id = id.unwrap_or("-"), status = 503, reason; "detour_refused");
            let bodiless = request.method == Method::HEAD;
            respond(edge, conn, detour::decline(reason), bodiless, edge.now()).await
        }
        None => handle(edge, conn, request, Some(info)).await,
    };
    drop(guard);
    action
}

/// Returns the limits on requests of other VMs: at least those on requests of callers.
pub fn peer_bounds(edge: &Edge) -> Bounds {
    let (own, default) = (bounds(edge), Bounds::default());
    Bounds {
        max_head: own.max_head.max(default.max_head) + REQUEST_LINE_BYTES,
        max_body: own.max_body.max(default.max_body),
        ..default
    }
}

/// Returns the limits on requests by the configuration in force, or the defaults without one.
fn bounds(edge: &Edge) -> Bounds {
    edge.site().map_or_else(Bounds::default, |site| Bounds {
        max_head: site.limits.head + REQUEST_LINE_BYTES,
        max_body: site.limits.body,
        head_timeout: site.limits.arrival,
        idle_timeout: site.limits.idle,
    })
}

/// Answers a request that is malformed or too large.
async fn reject_malformed(conn: &mut Conn, from: SocketAddr, error: &HttpError) {
    log::debug!(from:% = from, error:% = error; "request_dropped");
    let status = match error {
        HttpError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        HttpError::Malformed => StatusCode::BAD_REQUEST,
        HttpError::OverLimit => StatusCode::SERVICE_UNAVAILABLE,
        HttpError::Closed | HttpError::TimedOut | HttpError::Io(_) => return,
    };
    let mut response = Response::new(status);
    response
        .headers
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    if let Err(error) = conn.writer.response(&response, false).await {
        log::debug!(from:% = from, error:% = error; "answer_not_sent");
    }
}

async fn handle(
    edge: &Edge,
    conn: &mut Conn,
    request: Request,
    detour: Option<DetourInfo>,
) -> ConnAction {
    let start = edge.now();
    let bodiless = request.method == Method::HEAD;
    let names = &edge.dialect().headers;
    let id = request
        .header(&names.request_id)
        .filter(|id| !id.is_empty())
        .unwrap_or(NO_ID)
        .to_owned();
    if edge.stopping().is_some_and(|span| span > ACCEPT_TIME) {
        log::info!(id, status = 503, reason = "stopping"; "refused");
        return respond(edge, conn, refuse_stopping(detour), bodiless, start).await;
    }
    while edge.uptime() < STARTUP_WAIT && !edge.is_caught_up() {
        monoio::time::sleep(STARTUP_POLL.duration()).await;
    }
    let Some(site) = edge.site() else {
        log::info!(id, status = 503, reason = "no_config"; "refused");
        return respond(
            edge,
            conn,
            forward::refusal(NOT_READY_RETRY_AFTER),
            bodiless,
            start,
        )
        .await;
    };
    let host = request
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.unwrap_or_default();
    let key = (edge.dialect().api_key)(&request);
    let (route, team, priority) = match site.find(host, request.uri.path(), key) {
        Ok(found) => (
            found.route.clone(),
            found.holder.map(|holder| holder.team.clone()),
            found.priority(),
        ),
        Err(refusal) => {
            let status = match refusal {
                RouteError::NoRoute => StatusCode::NOT_FOUND,
                RouteError::InvalidKey => StatusCode::UNAUTHORIZED,
            };
            let path = request.uri.path();
            log::info!(id, version = site.version, host, path, status = status.as_u16(); "refused");
            return respond(edge, conn, Response::new(status), bodiless, start).await;
        }
    };
    let Some(service) = route.pick_service(edge.random()).cloned() else {
        log::warn!(id, version = site.version, route = route.name, reason = "no_service"; "refused");
        return respond(
            edge,
            conn,
            forward::refusal(NOT_READY_RETRY_AFTER),
            bodiless,
            start,
        )
        .await;
    };
    let timeout = find_timeout(edge, &request, &route);
    let mut ctx = RequestContext {
        id,
        content: content_digest(&request, team.as_ref()),
        parts: part_digests(edge, &request, &service),
        service,
        team,
        priority,
        start,
        deadline: start + timeout,
        site,
        request,
        route,
        detour,
        trial: None,
    };
    if let Some(limit) = find_excess(edge, &ctx) {
        let (id, route) = (&ctx.id, &ctx.route.name);
        log::info!(id, route, status = 503, limit_ms = limit.longest.0, usual_ms = limit.usual, reason = "stopping"; "refused");
        return respond(edge, conn, refuse_stopping(ctx.detour), bodiless, start).await;
    }
    if ctx.detour.is_none() {
        edge.budget(&ctx.service, |budget| budget.record_request(start));
    }
    match check_bars(edge, &ctx) {
        Ok(trial) => ctx.trial = trial.map(Rc::new),
        Err(wait) => return respond(edge, conn, forward::refusal(wait), bodiless, start).await,
    }
    match ctx.route.kind {
        RouteKind::Stream => relay::serve(edge, conn, &ctx).await,
        RouteKind::Once | RouteKind::Idempotent => match call::run(edge, conn, &ctx).await {
            Some(response) => respond(edge, conn, response, bodiless, start).await,
            None => ConnAction::Close,
        },
    }
}

/// Refuses a request that a stopping VM does not take; another VM that sent it tries a third one.
fn refuse_stopping(detour: Option<DetourInfo>) -> Response {
    match detour {
        Some(_) => detour::decline("stopping"),
        None => forward::refusal(STOPPING_RETRY_AFTER),
    }
}

/// Returns how long a request may run, if that is too long for this VM, which is stopping.
fn find_excess(edge: &Edge, ctx: &RequestContext) -> Option<RunLimit> {
    let passed = edge.stopping()?;
    let may_resume = ctx.route.kind == RouteKind::Stream && ctx.route.may_repeat();
    let limit = RunLimit {
        longest: ctx.remaining(ctx.start),
        usual: may_resume.then(|| edge.admission(|control| control.mean_duration())),
    };
    let grace = edge.settings().bounds.grace();
    (!takes_request(passed, grace, limit)).then_some(limit)
}

/// Returns how long a request may take: what its caller asks for, at most the timeout of its route.
fn find_timeout(edge: &Edge, request: &Request, route: &Route) -> Millis {
    let requested = request
        .header(&edge.dialect().headers.deadline)
        .and_then(|text| text.parse().ok())
        .map(Millis);
    requested.map_or(route.timeout, |requested| requested.min(route.timeout))
}

/// Returns the trial as which a request with a barred part may run, or `None` if nothing is barred.
///
/// # Errors
///
/// Fails with the time for which the request is still barred, as its content or a part of its prompt
/// crashed endpoints; the refusal is logged.
fn check_bars(edge: &Edge, ctx: &RequestContext) -> Result<Option<Trial>, Millis> {
    let (id, version, route) = (&ctx.id, ctx.site.version, &ctx.route.name);
    if let Some(wait) = suspect::barred_for(edge, &ctx.content) {
        let content = ctx.content.short();
        log::info!(id, content, version, route, retry_ms = wait.0, reason = "barred"; "refused");
        return Err(wait);
    }
    let Some((part, wait)) = parts::find_barred(edge, ctx) else {
        return Ok(None);
    };
    if let Some(trial) = parts::begin_trial(edge, ctx, part) {
        return Ok(Some(trial));
    }
    log::info!(id, part:% = part, version, route, retry_ms = wait.0, reason = "part_barred"; "refused");
    Err(wait)
}

fn content_digest(request: &Request, team: Option<&Team>) -> RequestDigest {
    let team = team.map_or("", Team::as_str);
    let path = request
        .uri
        .path_and_query()
        .map_or("", PathAndQuery::as_str);
    RequestDigest::of_call(team, request.method.as_str(), path, &request.body)
}

fn part_digests(edge: &Edge, request: &Request, service: &ServiceName) -> Vec<PartDigest> {
    let ids = (edge.dialect().shared_parts)(request);
    let ids = ids.into_iter().take(MAX_PARTS);
    ids.map(|id| PartDigest::of(service, id)).collect()
}
