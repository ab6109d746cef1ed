//! Detours: a VM that reaches no endpoint has another VM serve its callers (docs/PLATFORM.md).
//!
//! The request goes to the other VM's peer address as the caller sent it, with the time that is left
//! and what the first VM knows. The other VM handles it like one of its own callers, and never passes
//! it on again.

use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::str::FromStr;

use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;

use super::context::RequestContext;
use super::forward;
use super::forward::set_header;
use super::state::Edge;
use crate::clock::Millis;
use crate::consts::MAX_BODY_BYTES;
use crate::core::attempt::Ending;
use crate::core::site::RouteKind;
use crate::core::stop::ACCEPT_TIME;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::timeout::within;

/// The header of a request that another VM is to serve; holds a [`DetourInfo`].
pub const HEADER: HeaderName = HeaderName::from_static("x-cornelwharf-detour");
/// The header with which a VM declines such a request, which has not run; holds the reason.
const DECLINED: HeaderName = HeaderName::from_static("x-cornelwharf-declined");

/// The most VMs that one request is sent to. Each one that declines delays it by a round trip.
const MAX_PEERS: usize = 4;
/// How long opening a connection to another VM may take. A lost packet is sent again only after a
/// second, and then the request is better off at a third VM.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// How often a request that waits for another VM checks whether that one is still alive.
const ALIVE_POLL: Millis = Millis(200);

/// What a VM states in a request that another one is to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetourInfo {
    /// The version of the configuration by which the request was accepted.
    pub version: u64,
    /// The endpoints that it was sent to before.
    pub attempts: u32,
}

/// The header of a detour cannot be parsed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a version and a number of attempts")]
pub struct DetourError;

impl fmt::Display for DetourInfo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.version, self.attempts)
    }
}

impl FromStr for DetourInfo {
    type Err = DetourError;

    fn from_str(text: &str) -> Result<Self, DetourError> {
        let (version, attempts) = text.split_once(' ').ok_or(DetourError)?;
        Ok(Self {
            version: version.parse().map_err(|_| DetourError)?,
            attempts: attempts.parse().map_err(|_| DetourError)?,
        })
    }
}

/// A request that another VM has begun to answer.
#[derive(Debug)]
pub struct Taken {
    /// The peer address of that VM.
    pub peer: SocketAddr,
    /// The connection, from which the body is still to be read.
    pub conn: Conn,
    /// The head of the answer.
    pub head: Response,
}

/// Why no other VM answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetourFault {
    /// No VM took it, so it did not run there.
    NotTaken,
    /// The VM that it was sent to failed, and it may have run.
    Unknown,
    /// The request's deadline passed.
    Late,
}

impl DetourFault {
    /// Returns how the attempt to have another VM serve the request ended.
    #[must_use]
    pub const fn ending(self) -> Ending {
        match self {
            Self::NotTaken => Ending::NotRun,
            Self::Unknown | Self::Late => Ending::Unknown,
        }
    }
}

/// Returns whether another VM refused a request that it took, which has not run there.
pub fn is_refused(edge: &Edge, response: &Response) -> bool {
    let is_signed = response
        .headers
        .contains_key(&edge.dialect().headers.signature);
    response.status == StatusCode::SERVICE_UNAVAILABLE && !is_signed
}

/// Returns why this VM does not serve a request of another one; `None` if it does.
pub fn find_objection(edge: &Edge, info: DetourInfo) -> Option<&'static str> {
    if edge.stopping().is_some_and(|span| span > ACCEPT_TIME) {
        return Some("stopping");
    }
    if edge.is_cut_off() {
        return Some("cut_off");
    }
    let site = edge.site().filter(|_| edge.is_synced());
    match site {
        None => Some("no_config"),
        Some(site) if site.version < info.version => Some("older_config"),
        Some(_) => None,
    }
}

/// Returns the response with which this VM declines a request of another one.
pub fn decline(reason: &'static str) -> Response {
    let mut response = forward::refusal(Millis(0));
    response
        .headers
        .insert(DECLINED, HeaderValue::from_static(reason));
    response
}

/// Sends a request to other VMs, one after the other, until one takes it. `attempts` endpoints got it
/// before, and `last_event` is the last event that the caller has.
///
/// # Errors
///
/// Fails if no VM takes it, or if one fails that it was sent to.
pub async fn send(
    edge: &Edge,
    ctx: &RequestContext,
    attempts: u32,
    last_event: Option<&HeaderValue>,
) -> Result<Taken, DetourFault> {
    let mut tried = Vec::new();
    while tried.len() < MAX_PEERS {
        let now = edge.now();
        let Some(peer) = edge.fleet(|fleet| fleet.choose_detour(now, &tried)) else {
            break;
        };
        tried.push(peer);
        let Some(mut conn) = connect(edge, ctx, peer).await else {
            continue;
        };
        let request = build_request(edge, ctx, attempts, last_event);
        let bodiless = request.method == Method::HEAD;
        ctx.record_sent();
        conn.writer.record_id(&ctx.id);
        let work = async {
            conn.writer.request(&request).await?;
            conn.reader.response_head(bodiless).await
        };
        let head = wait(edge, ctx, peer, work).await?.map_err(|error| {
            log::info!(id = ctx.id, peer:% = peer, error:% = error; "detour_broke");
            edge.pool().clear(peer);
            DetourFault::Unknown
        })?;
        let echo = head.header(&edge.dialect().headers.request_id);
        if let Some(stray) = echo.filter(|echo| ctx.has_id() && *echo != ctx.id) {
            log::warn!(id = ctx.id, peer:% = peer, stray; "stray_answer");
            edge.pool().clear(peer);
            return Err(DetourFault::Unknown);
        }
        let Some(reason) = read_decline(edge, &head) else {
            log::info!(id = ctx.id, peer:% = peer, status = head.status.as_u16(); "detour");
            edge.metrics().count_detour();
            return Ok(Taken { peer, conn, head });
        };
        log::info!(id = ctx.id, peer:% = peer, reason; "detour_declined");
    }
    log::info!(id = ctx.id, tried = tried.len(); "no_detour");
    Err(DetourFault::NotTaken)
}

/// Returns why another VM did not take a request; `None` if it did.
///
/// A VM of an earlier release does not know detours. It answers 404, or as to a question for itself,
/// without an endpoint's signature.
fn read_decline<'a>(edge: &Edge, head: &'a Response) -> Option<&'a str> {
    if let Some(reason) = head.header(&DECLINED) {
        return Some(reason);
    }
    let is_signed = head.headers.contains_key(&edge.dialect().headers.signature);
    let is_strange = head.status.is_success() || head.status == StatusCode::NOT_FOUND;
    (is_strange && !is_signed).then_some("unknown_request")
}

/// Has another VM answer a request as a whole.
///
/// # Errors
///
/// As [`send`].
pub async fn call(
    edge: &Edge,
    ctx: &RequestContext,
    attempts: u32,
) -> Result<Response, DetourFault> {
    let Taken {
        peer,
        mut conn,
        mut head,
    } = send(edge, ctx, attempts, None).await?;
    let mut body = BytesMut::new();
    while let Some(part) = wait(edge, ctx, peer, conn.reader.chunk())
        .await?
        .map_err(|_| DetourFault::Unknown)?
    {
        if body.len() + part.len() > MAX_BODY_BYTES {
            return Err(DetourFault::Unknown);
        }
        body.extend_from_slice(&part);
    }
    if !conn.reader.has_marked_end() {
        return Err(DetourFault::Unknown);
    }
    head.body = body.freeze();
    edge.pool().put(peer, conn);
    Ok(head)
}

/// Waits for another VM until the request's deadline; if the request may be repeated, only as long as
/// that VM is alive. A VM that is merely silent may still answer, and what must not be repeated has
/// no better answer to wait for.
///
/// # Errors
///
/// Fails if the deadline passes first, or the VM is no longer heard from.
pub async fn wait<F>(
    edge: &Edge,
    ctx: &RequestContext,
    peer: SocketAddr,
    work: F,
) -> Result<F::Output, DetourFault>
where
    F: Future,
{
    let mut work = pin!(work);
    loop {
        let left = ctx.remaining(edge.now());
        if left == Millis(0) {
            return Err(DetourFault::Late);
        }
        if let Ok(done) = within(left.min(ALIVE_POLL), work.as_mut()).await {
            return Ok(done);
        }
        let now = edge.now();
        let is_alive = edge.fleet(|fleet| fleet.alive(now).any(|member| member.peer == peer));
        if !is_alive && ctx.route.may_repeat() {
            log::info!(id = ctx.id, peer:% = peer, reason = "peer_gone"; "detour_broke");
            return Err(DetourFault::Unknown);
        }
    }
}

/// Opens a connection to another VM, or reuses one where the request may be repeated.
async fn connect(edge: &Edge, ctx: &RequestContext, peer: SocketAddr) -> Option<Conn> {
    let opened = async {
        let may_reuse = ctx.route.kind != RouteKind::Once && ctx.has_id();
        let idle = may_reuse.then(|| edge.pool().take_idle_for(peer, &ctx.id));
        match idle.flatten() {
            Some(conn) => Ok(conn),
            None => edge.pool().dial(peer).await,
        }
    };
    let opened = within(CONNECT_TIMEOUT, opened).await;
    match opened.unwrap_or(Err(HttpError::TimedOut)) {
        Ok(conn) => Some(conn),
        Err(error) => {
            log::info!(id = ctx.id, peer:% = peer, error:% = error; "detour_not_connected");
            None
        }
    }
}

fn build_request(
    edge: &Edge,
    ctx: &RequestContext,
    attempts: u32,
    last_event: Option<&HeaderValue>,
) -> Request {
    let names = &edge.dialect().headers;
    let mut request = ctx.request.clone();
    forward::strip_hop_headers(&mut request.headers);
    let headers = &mut request.headers;
    headers.remove(header::EXPECT);
    let info = DetourInfo {
        version: ctx.site.version,
        attempts,
    };
    set_header(headers, &HEADER, &info.to_string());
    let left = ctx.remaining(edge.now());
    set_header(headers, &names.deadline, &left.0.to_string());
    if let Some(id) = last_event {
        headers.insert(names.last_event.clone(), id.clone());
    }
    request
}
