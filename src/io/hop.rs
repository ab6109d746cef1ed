//! The requests that a daemon sends to model engines: hops, probes, releases and load polls.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderName;
use http::Method;
use http::StatusCode;
use http::Uri;
use monoio::time::timeout;

use crate::clock::Millis;
use crate::consts::PROBE_TIMEOUT;
use crate::core::attempt::AnswerOwner;
use crate::core::attempt::answer_owner;
use crate::core::daemon::Event;
use crate::core::daemon::LoadReport;
use crate::core::session;
use crate::core::session::event::Fault;
use crate::core::session::event::Health;
use crate::core::session::event::HopKey;
use crate::core::session::event::RequestId;
use crate::core::session::wire::HOP_HEADER;
use crate::core::session::wire::Hop;
use crate::core::session::wire::HopError;
use crate::core::session::wire::HopReply;
use crate::core::session::wire::Output;
use crate::core::session::wire::Refusal;
use crate::core::session::wire::Release;
use crate::names::EndpointName;

use super::http::Conn;
use super::http::HttpError;
use super::http::Request;
use super::http::Response;
use super::lines::Lines;
use super::shell::Shell;

/// The header in which an engine may attach its load report to an answer.
const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");
/// How long to wait for the head of a hop's answer, or for more of its body, before the engine
/// counts as silent.
const LINE_TIMEOUT: Millis = Millis::seconds(60);
/// How long a release or a load poll may take. Probes have the shorter [`PROBE_TIMEOUT`].
const CALL_TIMEOUT: Millis = Millis::seconds(1);

/// Sends a hop to an engine and feeds its replies, or the fault that ended them, to the core.
pub async fn send(shell: Shell, id: RequestId, addr: SocketAddr, hop: Hop) {
    let key = hop.key();
    let kept = shell.pool().take_idle_for(addr, &hop.name());
    let is_new = kept.is_none();
    let fault = match send_request(&shell, addr, kept, &hop).await {
        Ok((conn, head)) if head.status == StatusCode::OK => {
            feed_load_report(&shell, addr, &head);
            feed_replies(&shell, id, addr, &hop, conn).await
        }
        Ok((conn, head)) => match find_owner(&head, &hop, is_new) {
            AnswerOwner::Own => Some(read_refusal(&shell, addr, conn, head).await),
            // It may be that of an earlier hop on the connection, while the engine runs this one.
            owner @ (AnswerOwner::Other | AnswerOwner::Unclear) => {
                log::warn!(addr:% = addr, status = head.status.as_u16(), owner:?; "refusal_unclear");
                Some(Fault::Broken)
            }
        },
        Err(fault) => Some(fault),
    };
    if let Some(fault) = fault {
        if matches!(fault, Fault::Broken | Fault::Silent) {
            shell.pool().clear(addr);
        }
        shell.feed(Event::Session(session::Event::Failed { id, key, fault }));
    }
}

/// Sends the hop over a kept or a new connection and reads the head of the answer.
async fn send_request(
    shell: &Shell,
    addr: SocketAddr,
    kept: Option<Conn>,
    hop: &Hop,
) -> Result<(Conn, Response), Fault> {
    let uri = Uri::from_static("/v1/hops");
    let request = Request::json(Method::POST, uri, hop).map_err(|_| Fault::Invalid)?;
    let mut conn = match kept {
        Some(conn) => conn,
        None => shell
            .pool()
            .dial(addr)
            .await
            .map_err(|_| Fault::Unreachable)?,
    };
    conn.writer.record_id(&hop.name());
    conn.writer
        .request(&request)
        .await
        .map_err(|_| Fault::Broken)?;
    let head = timeout(LINE_TIMEOUT.duration(), conn.reader.response_head(false)).await;
    match head {
        Ok(Ok(head)) => Ok((conn, head)),
        Ok(Err(HttpError::Malformed | HttpError::TooLarge)) => Err(Fault::Invalid),
        Ok(Err(_)) => Err(Fault::Broken),
        Err(_) => Err(Fault::Silent),
    }
}

/// Decides whether a refusal is the answer to a hop.
fn find_owner(head: &Response, hop: &Hop, is_new: bool) -> AnswerOwner {
    let echo = head.header(&HeaderName::from_static(HOP_HEADER));
    answer_owner(echo, &hop.name(), is_new)
}

/// Feeds the load report in an answer's head to the core, if there is one and the last one from
/// this address is old enough.
fn feed_load_report(shell: &Shell, addr: SocketAddr, head: &Response) {
    let Some(text) = head
        .header(&LOAD_HEADER)
        .filter(|_| shell.take_load_report(addr))
    else {
        return;
    };
    if let Ok(report) = serde_json::from_str(text) {
        shell.feed(Event::HopReport { addr, report });
    }
}

/// Feeds each line of the answer to the core as a reply. Returns the fault if the answer is
/// malformed or ends before the last reply.
async fn feed_replies(
    shell: &Shell,
    id: RequestId,
    addr: SocketAddr,
    hop: &Hop,
    mut conn: Conn,
) -> Option<Fault> {
    let mut lines = Lines::default();
    let mut remaining = hop.steps.max(1);
    loop {
        let part = match timeout(LINE_TIMEOUT.duration(), conn.reader.chunk()).await {
            Ok(Ok(Some(part))) => part,
            Ok(Ok(None)) => break,
            Ok(Err(_)) => return Some(Fault::Broken),
            Err(_) => return Some(Fault::Silent),
        };
        lines.add(&part);
        for line in lines.by_ref() {
            if remaining == 0 {
                return Some(Fault::Invalid);
            }
            let Ok(reply) = serde_json::from_slice::<HopReply>(&line) else {
                return Some(Fault::Invalid);
            };
            remaining = if is_last(&reply) {
                0
            } else {
                remaining.saturating_sub(1)
            };
            shell.metrics().hop_reply();
            shell.feed(Event::Session(session::Event::Reply { id, reply }));
        }
        if lines.is_too_long() {
            return Some(Fault::Invalid);
        }
    }
    shell.pool().put(addr, conn);
    (remaining > 0).then_some(Fault::Broken)
}

/// Returns whether a reply ends the completion, so that no more replies follow for the hop.
fn is_last(reply: &HopReply) -> bool {
    matches!(reply.output, Output::Token { end: true, .. })
}

/// Reads the body of an answer other than 200 and returns the fault that it describes. The
/// connection is pooled again unless the body is too large.
async fn read_refusal(shell: &Shell, addr: SocketAddr, mut conn: Conn, head: Response) -> Fault {
    let mut body = Vec::new();
    loop {
        let part = match timeout(LINE_TIMEOUT.duration(), conn.reader.chunk()).await {
            Ok(Ok(Some(part))) => part,
            Ok(Ok(None)) => break,
            Ok(Err(_)) => return Fault::Invalid,
            Err(_) => return Fault::Silent,
        };
        body.extend_from_slice(&part);
        if body.len() > crate::consts::MAX_HEAD_BYTES {
            return Fault::Invalid;
        }
    }
    shell.pool().put(addr, conn);
    let response = Response {
        body: Bytes::from(body),
        ..head
    };
    match response.parse::<HopError>().map(|error| error.error) {
        Ok(Refusal::Unrun) => Fault::Refused,
        Ok(Refusal::Lost) => Fault::CacheLost,
        Ok(Refusal::Bad) | Err(_) => Fault::Invalid,
    }
}

/// Asks an endpoint over a new connection whether it is working on a hop, and feeds the result to
/// the core.
pub async fn probe(shell: Shell, id: RequestId, addr: SocketAddr, key: HopKey) {
    shell.pool().clear(addr);
    let target = format!("/v1/hops/{}/{}", key.session, key.attempt);
    let response = timeout(PROBE_TIMEOUT.duration(), get(addr, &target)).await;
    let health = match response.ok().flatten() {
        Some(response) if response.status == StatusCode::OK => Health::Working,
        Some(_) => Health::Idle,
        None => Health::Gone,
    };
    shell.feed(Event::Session(session::Event::Probed { id, key, health }));
}

/// Tells an endpoint to free the KV cache of a session. Errors are ignored: if the request is lost,
/// the endpoint only keeps the memory for longer.
pub async fn release(shell: Shell, addr: SocketAddr, release: Release) {
    let uri = Uri::from_static("/v1/releases");
    let Ok(request) = Request::json(Method::POST, uri, &release) else {
        return;
    };
    if let Ok(mut conn) = shell.pool().get(addr).await
        && conn.call(&request, CALL_TIMEOUT).await.is_ok()
    {
        shell.pool().put(addr, conn);
    }
}

/// Asks an endpoint for its load and feeds the result to the core.
pub async fn poll(shell: Shell, endpoint: EndpointName, addr: SocketAddr) {
    let response = get(addr, "/v1/load").await;
    let report = response.and_then(|response| response.parse::<LoadReport>().ok());
    shell.feed(match report {
        Some(report) => Event::PollAnswered { endpoint, report },
        None => Event::PollFailed(endpoint),
    });
}

async fn get(addr: SocketAddr, target: &str) -> Option<Response> {
    let uri: Uri = target.parse().ok()?;
    let mut conn = Conn::dial(addr).await.ok()?;
    conn.call(&Request::new(Method::GET, uri), CALL_TIMEOUT)
        .await
        .ok()
}
