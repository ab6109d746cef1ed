//! Control calls to engines: reports and orders.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use super::dialect::DialectError;
use super::dialect::OrderAnswer;
use super::dialect::Report;
use super::forward;
use super::notice;
use super::reach;
use super::state::Edge;
use crate::clock::Millis;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::mailbox::Mailbox;
use crate::io::timeout::within;
use crate::names::EndpointName;

/// The timeout of a call, connecting included. The platform's engines answer at once, and a report
/// on a stalled path must arrive before the callers time out.
const CALL_TIMEOUT: Millis = Millis(400);

/// The timeout of a probe, which an engine answers even without a free slot.
const PROBE_TIMEOUT: Millis = Millis(75);
/// The time after which a probe's request is sent again for the first time. A response takes about 3
/// ms, but a VM with a small share of a processor may read it 20 ms later.
const FIRST_RETRY_DELAY: Millis = Millis(25);
/// The time until each further request of the probe.
const PROBE_RETRY_DELAY: Millis = Millis(12);
/// The most requests in one probe. With 5 % packet loss, a request on a new connection is lost with
/// probability 0.2, and all of them are lost in about one of 1,000 probes.
const PROBE_TRIES: u64 = 4;

/// An error of a call to an engine; an order may have been accepted nonetheless.
#[derive(Debug, Display, Error, From)]
pub enum EngineError {
    /// The connection failed, or no answer came in time.
    #[display("{_0}")]
    Http(HttpError),
    /// The response has an error status or cannot be parsed.
    #[display("{_0}")]
    Dialect(DialectError),
}

impl EngineError {
    /// Returns whether the engine answered with success, although its answer cannot be read.
    #[must_use]
    pub const fn is_unreadable(&self) -> bool {
        let Self::Dialect(error) = self else {
            return false;
        };
        !matches!(error, DialectError::Status { .. })
    }
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct Link {
    /// The connection.
    pub conn: Conn,
    /// Whether it was opened for this request.
    pub is_new: bool,
}

/// Why there is no connection on which to send an endpoint a request.
#[derive(Debug, Display, Error, From)]
pub enum ConnectError {
    /// The connection could not be opened.
    #[display("{_0}")]
    Http(HttpError),
    /// The endpoint left or asked for a pause while the connection was being opened.
    #[display("the endpoint takes no requests any more")]
    Withdrawn,
}

/// Takes an idle connection to an endpoint for a request with the id `reuse_for`, or opens a new one;
/// always a new one without an id.
///
/// # Errors
///
/// Fails if the connection cannot be opened, or if the endpoint takes no requests once it is open.
/// No request has been sent then.
pub async fn connect(
    edge: &Edge,
    endpoint: &EndpointName,
    addr: SocketAddr,
    reuse_for: Option<&str>,
) -> Result<Link, ConnectError> {
    let idle = reuse_for.and_then(|id| edge.pool().take_idle_for(addr, id));
    let kind = if idle.is_some() { "reused" } else { "opened" };
    edge.metrics().count_connection(kind);
    if let Some(conn) = idle {
        return Ok(Link {
            conn,
            is_new: false,
        });
    }
    let opened = edge.pool().dial(addr).await;
    if matches!(&opened, Err(error) if !error.is_exhausted()) {
        reach::record_failure(edge, addr);
    }
    let conn = opened?;
    let now = edge.now();
    if !edge.roster(|roster| roster.takes_requests(now, endpoint)) {
        edge.pool().put(addr, conn);
        return Err(ConnectError::Withdrawn);
    }
    Ok(Link { conn, is_new: true })
}

/// Fetches an engine's report. A report names no request, so what a kept connection brings instead may
/// be an earlier answer, and a new connection decides.
///
/// # Errors
///
/// Fails if the engine does not answer in time, or its response cannot be parsed.
pub async fn fetch_report(edge: &Edge, addr: SocketAddr) -> Result<Report, EngineError> {
    let work = async {
        if let Some(conn) = edge.pool().take_idle(addr)
            && let Ok(report) = ask_report(edge, addr, conn).await
        {
            return Ok(report);
        }
        let conn = edge.pool().dial(addr).await?;
        ask_report(edge, addr, conn).await
    };
    let report = within(CALL_TIMEOUT, work).await;
    report.unwrap_or(Err(EngineError::Http(HttpError::TimedOut)))
}

async fn ask_report(edge: &Edge, addr: SocketAddr, conn: Conn) -> Result<Report, EngineError> {
    let request = (edge.dialect().report_request)();
    let answer = edge.pool().call_on(addr, conn, &request, CALL_TIMEOUT);
    read_report(edge, addr, &answer.await?)
}

/// Parses a report, and reads what the engine says of itself beside it. No connection to the engine is
/// used again after an answer that is none.
fn read_report(edge: &Edge, addr: SocketAddr, response: &Response) -> Result<Report, EngineError> {
    let report = match read_answer(edge, addr, response) {
        Ok(()) => (edge.dialect().parse_report)(response).map_err(Into::into),
        Err(error) => Err(error.into()),
    };
    if report.is_err() {
        edge.pool().clear(addr);
    }
    report
}

/// Fetches an endpoint's report over a new connection, to learn whether it is reached. Any response
/// shows that, also one without a report.
///
/// # Errors
///
/// Fails if the connection cannot be opened or breaks, or if no response comes in time.
pub async fn ask_anew(edge: &Edge, addr: SocketAddr) -> Result<(), EngineError> {
    let conn = edge.pool().dial(addr).await?;
    let request = (edge.dialect().report_request)();
    let response = edge
        .pool()
        .call_on(addr, conn, &request, CALL_TIMEOUT)
        .await?;
    read_answer(edge, addr, &response)?;
    Ok(())
}

/// Asks the process at an address for a report over a new connection, to learn when it started; `None` if it
/// answers and does not say so.
///
/// # Errors
///
/// Fails if the connection cannot be opened or breaks, or if no response comes in time.
pub async fn ask_start(edge: &Edge, addr: SocketAddr) -> Result<Option<u64>, HttpError> {
    let request = (edge.dialect().report_request)();
    let call = async {
        let conn = edge.pool().dial(addr).await?;
        edge.pool()
            .call_on(addr, conn, &request, CALL_TIMEOUT)
            .await
    };
    let response = within(CALL_TIMEOUT, call).await;
    let response = response.unwrap_or(Err(HttpError::TimedOut))?;
    read_answer(edge, addr, &response)?;
    let report = (edge.dialect().parse_report)(&response).ok();
    Ok(report.and_then(|report| report.born))
}

/// Reads what the engine at an address says of itself in an answer.
///
/// # Errors
///
/// Fails if the answer names a caller's request, whose second copy it is. The answer to this call then
/// comes later on the same connection, so none to the engine is used again.
fn read_answer(edge: &Edge, addr: SocketAddr, response: &Response) -> Result<(), HttpError> {
    let echo = response.header(&edge.dialect().headers.request_id);
    if let Some(stray) = echo.filter(|echo| !echo.is_empty()) {
        log::warn!(addr:% = addr, stray; "stray_answer");
        edge.pool().clear(addr);
        return Err(HttpError::Malformed);
    }
    if let Some(endpoint) = edge.roster(|roster| roster.name_at(addr)) {
        notice::read_report(edge, &endpoint, response);
    }
    Ok(())
}

/// Fetches an engine's report with a short timeout, and retries on new connections: packets may be
/// lost, and a pooled connection may be dead while the engine is alive.
///
/// # Errors
///
/// Fails if the engine answers none of the requests in time, refuses the connection, or its
/// response cannot be parsed.
pub async fn probe(edge: &Edge, addr: SocketAddr) -> Result<Report, EngineError> {
    let run = Rc::new(ProbeRun {
        answers: Mailbox::new(PROBE_TRIES as usize),
        is_over: Cell::new(false),
    });
    let start = edge.now();
    let mut unread = None;
    for attempt in 0..PROBE_TRIES {
        monoio::spawn(send_probe(edge.clone(), addr, attempt, Rc::clone(&run)));
        let wait = match attempt + 1 {
            1 => FIRST_RETRY_DELAY,
            PROBE_TRIES.. => PROBE_TIMEOUT - edge.now().since(start),
            _ => PROBE_RETRY_DELAY,
        };
        match within(wait, run.answers.receive()).await {
            Ok(Ok(response)) => match read_report(edge, addr, &response) {
                Ok(report) => {
                    run.is_over.set(true);
                    return Ok(report);
                }
                // It may be an earlier answer, and the next request has a connection of its own.
                Err(error) => unread = Some(error),
            },
            Ok(Err(error)) if is_refusal(&error) => return Err(error.into()),
            Ok(Err(_)) => edge.pool().clear(addr),
            Err(_) => {}
        }
    }
    Err(unread.unwrap_or(EngineError::Http(HttpError::TimedOut)))
}

/// Returns whether nothing listens at the address, so that a retry would not help.
pub fn is_refusal(error: &HttpError) -> bool {
    matches!(error, HttpError::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// What the requests of one probe share.
#[derive(Debug)]
struct ProbeRun {
    answers: Mailbox<Result<Response, HttpError>>,
    /// Whether an answer arrived, so that no further request is needed.
    is_over: Cell<bool>,
}

async fn send_probe(edge: Edge, addr: SocketAddr, attempt: u64, run: Rc<ProbeRun>) {
    let request = (edge.dialect().report_request)();
    let call = async {
        let kept = if attempt == 0 {
            edge.pool().take_spare(addr)
        } else {
            None
        };
        let kind = if kept.is_some() { "reused" } else { "opened" };
        edge.metrics().count_connection(kind);
        let conn = if let Some(conn) = kept {
            conn
        } else {
            edge.pool().dial(addr).await?
        };
        if run.is_over.get() {
            edge.pool().put(addr, conn);
            return Ok(None);
        }
        let answer = edge.pool().call_on(addr, conn, &request, PROBE_TIMEOUT);
        answer.await.map(Some)
    };
    let answer = within(PROBE_TIMEOUT, call).await;
    if let Some(answer) = answer.unwrap_or(Err(HttpError::TimedOut)).transpose() {
        // A full mailbox means that the probe has ended.
        let _ = run.answers.send(answer);
    }
}

/// Sends an order to an engine over a connection of its own: the answer to an order names none, and
/// another one taken for it would leave the sender with a wrong belief. The order names the engine, as the address
/// of one that is gone may belong to another by now, which has less memory.
///
/// # Errors
///
/// Fails if the engine does not answer in time; it may carry out the order nonetheless.
pub async fn send_order(
    edge: &Edge,
    endpoint: &EndpointName,
    addr: SocketAddr,
    mut request: Request,
) -> Result<OrderAnswer, EngineError> {
    let name = &edge.dialect().headers.expected_endpoint;
    forward::set_header(&mut request.headers, name, endpoint);
    let call = async {
        let mut conn = edge.pool().dial(addr).await?;
        conn.call(&request, CALL_TIMEOUT).await
    };
    let response = within(CALL_TIMEOUT, call).await;
    let response = response.unwrap_or(Err(HttpError::TimedOut))?;
    read_answer(edge, addr, &response)?;
    Ok((edge.dialect().parse_answer)(&response))
}
