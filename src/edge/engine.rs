//! Calls to engines beside the requests: reports and orders.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use super::dialect::DialectError;
use super::dialect::OrderAnswer;
use super::dialect::Report;
use super::state::Edge;
use crate::clock::Millis;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::mailbox::Mailbox;
use crate::io::patience::within;

/// How long a call may take, with the connection: the platform's engines answer at once, and one
/// that is asked why a path stands still must answer before its callers leave.
const CALL_TIMEOUT: Millis = Millis(400);

/// How long an engine may take to answer whether it works; it needs no free place for that.
const PROBE_TIMEOUT: Millis = Millis(75);
/// The interval after which the question is asked once more: an answer takes some 3 ms.
const PROBE_RETRY_DELAY: Millis = Millis(15);
/// The questions in a probe. On a link that loses 5 in 100 packets, one on a new connection is lost with
/// probability 0.2, and all of them in one of some 1,000 probes.
const PROBE_TRIES: u64 = 4;

/// A call that failed; an order may have been accepted all the same.
#[derive(Debug, Display, Error, From)]
pub enum EngineError {
    /// The connection failed, or no answer came in time.
    #[display("{_0}")]
    Http(HttpError),
    /// The answer cannot be understood.
    #[display("{_0}")]
    Dialect(DialectError),
}

/// Asks an engine for its report.
///
/// # Errors
///
/// Fails if it does not answer in time, or answers what cannot be understood.
pub async fn fetch_report(edge: &Edge, addr: SocketAddr) -> Result<Report, EngineError> {
    let response = edge
        .pool()
        .call(addr, &(edge.dialect().report_request)(), CALL_TIMEOUT)
        .await?;
    Ok((edge.dialect().parse_report)(&response)?)
}

/// Asks an engine for its report in a short time, and again on new connections while it does not answer:
/// packets may be lost, and a kept connection may be dead while the engine lives.
///
/// # Errors
///
/// Fails if it answers none of the questions.
pub async fn probe(edge: &Edge, addr: SocketAddr) -> Result<Report, EngineError> {
    let answers = Rc::new(Mailbox::new(PROBE_TRIES as usize));
    let start = edge.now();
    for attempt in 0..PROBE_TRIES {
        monoio::spawn(send_probe(edge.clone(), addr, attempt, Rc::clone(&answers)));
        let wait = if attempt + 1 < PROBE_TRIES {
            PROBE_RETRY_DELAY
        } else {
            PROBE_TIMEOUT - edge.now().since(start)
        };
        match within(wait, answers.receive()).await {
            Ok(Ok(response)) => return Ok((edge.dialect().parse_report)(&response)?),
            Ok(Err(error)) if is_refusal(&error) => return Err(error.into()),
            Ok(Err(_)) => edge.pool().clear(addr),
            Err(_) => {}
        }
    }
    Err(HttpError::TimedOut.into())
}

/// Says whether nobody listens at the address: asking again would not help.
fn is_refusal(error: &HttpError) -> bool {
    matches!(error, HttpError::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused)
}

async fn send_probe(
    edge: Edge,
    addr: SocketAddr,
    attempt: u64,
    answers: Rc<Mailbox<Result<Response, HttpError>>>,
) {
    let request = (edge.dialect().report_request)();
    let call = async {
        let conn = if attempt == 0 {
            edge.pool().get(addr).await?
        } else {
            Conn::dial(addr).await?
        };
        edge.pool()
            .exchange(addr, conn, &request, PROBE_TIMEOUT)
            .await
    };
    let answer = within(PROBE_TIMEOUT, call).await;
    // A full mailbox means that the probe is over.
    let _ = answers.send(answer.unwrap_or(Err(HttpError::TimedOut)));
}

/// Gives an engine an order.
///
/// # Errors
///
/// Fails if it does not answer in time; it may carry the order out.
pub async fn send_order(
    edge: &Edge,
    addr: SocketAddr,
    request: &Request,
) -> Result<OrderAnswer, EngineError> {
    let response = edge.pool().call(addr, request, CALL_TIMEOUT).await?;
    Ok((edge.dialect().parse_answer)(&response))
}
