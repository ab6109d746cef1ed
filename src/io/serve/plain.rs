//! Calls to plain services. The bodies are forwarded unchanged in both directions.

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::header::AUTHORIZATION;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::EXPECT;
use http::header::HOST;
use http::header::RETRY_AFTER;
use http::header::TE;
use http::header::TRAILER;
use http::header::UPGRADE;

use super::answer;
use super::digest;
use super::send;
use crate::clock::Millis;
use crate::consts::DEFAULT_TIMEOUT;
use crate::core::daemon::Call;
use crate::core::daemon::CallKind;
use crate::core::daemon::Event;
use crate::core::daemon::PlainAnswer;
use crate::core::daemon::PlainFault;
use crate::core::once;
use crate::core::once::CallDigest;
use crate::core::roster::parse_pause;
use crate::error::Code;
use crate::error::Failure;
use crate::io::command::Command;
use crate::io::command::SendAttempt;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::shell::Caller;
use crate::io::shell::Shell;
use crate::names::ServiceName;

/// The path prefix of plain services; the name of the service follows.
pub(super) const PREFIX: &str = "/v1/services/";
/// The header with the caller's timeout, in milliseconds.
pub(super) const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-timeout-ms");
/// The header with which an endpoint states that it refused a call without executing it.
const RAN_HEADER: HeaderName = HeaderName::from_static("x-ran");
/// The header with the idempotency key, which is the same in every repetition of a call.
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// The header that marks an answer as the one recorded for the idempotency key.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");
/// The hop-by-hop headers, which are not forwarded even if `connection` does not list them.
const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    UPGRADE,
    EXPECT,
];
/// The maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// Serves a call to a plain service.
pub(super) async fn serve(
    conn: &mut Conn,
    shell: &Shell,
    request: Request,
) -> Result<(), HttpError> {
    let bodiless = request.method == Method::HEAD;
    let start = shell.now();
    let caller = shell.register_caller();
    let forwarded = match start_call(shell, &caller, request) {
        Ok(forwarded) => forwarded,
        Err(failure) => {
            return send(conn, shell, &answer::from_failure(failure), bodiless).await;
        }
    };
    let Some(response) = run_commands(conn, shell, &caller, forwarded).await else {
        return Err(HttpError::Closed);
    };
    shell.metrics().call(shell.now().since(start));
    send(conn, shell, &response, bodiless).await
}

/// Feeds the call to the core and returns the request to forward to an endpoint.
fn start_call(shell: &Shell, caller: &Caller, mut request: Request) -> Result<Request, Failure> {
    let bad = |message: &str| Failure::not_run(Code::BadRequest, message);
    let rest = request
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let rest = rest.strip_prefix(PREFIX).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let service = ServiceName::from(&rest[..end]);
    let target = forward_target(&rest[end..]);
    let key = idempotency_key(&request)?;
    let digest = match &key {
        Some(_) => once::CallDigest::of(request.method.as_str(), &target, &request.body),
        None => CallDigest(0),
    };
    let now = shell.now();
    let deadline = now + caller_timeout(&request)?;
    let call = Call {
        id: caller.id,
        token: digest::token(&request),
        deadline,
        kind: CallKind::Plain {
            service,
            method: request.method.as_str().into(),
            key,
            digest,
        },
    };
    request.uri = target
        .parse::<Uri>()
        .map_err(|_| bad("The path is malformed."))?;
    remove_hop_headers(&mut request.headers);
    request.headers.remove(AUTHORIZATION);
    shell.feed(Event::Call(call));
    Ok(request)
}

/// Returns the target for the endpoint: the rest of the path after the service, with a leading
/// slash.
fn forward_target(rest: &str) -> String {
    if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    }
}

fn idempotency_key(request: &Request) -> Result<Option<Arc<str>>, Failure> {
    if !request.headers.contains_key(&KEY_HEADER) {
        return Ok(None);
    }
    let key = request
        .header(&KEY_HEADER)
        .filter(|key| (1..=MAX_KEY_BYTES).contains(&key.len()));
    let key = key.ok_or_else(|| {
        let message = format!("An idempotency key has 1 to {MAX_KEY_BYTES} visible characters.");
        Failure::not_run(Code::BadRequest, message)
    })?;
    Ok(Some(key.into()))
}

/// Returns the caller's timeout: [`TIMEOUT_HEADER`], at most [`DEFAULT_TIMEOUT`].
pub(super) fn caller_timeout(request: &Request) -> Result<Millis, Failure> {
    let Some(value) = request.headers.get(&TIMEOUT_HEADER) else {
        return Ok(DEFAULT_TIMEOUT);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    let timeout = number
        .map(Millis)
        .filter(|timeout| *timeout > Millis(0))
        .ok_or_else(|| {
            Failure::not_run(
                Code::BadRequest,
                "x-timeout-ms is a number of milliseconds above 0.",
            )
        })?;
    Ok(timeout.min(DEFAULT_TIMEOUT))
}

/// Removes the hop-by-hop headers: those that `connection` lists, and [`HOP_HEADERS`].
fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

/// Executes the core's commands until the call is answered. Returns `None` if there is no answer to
/// send, as when the caller has gone away.
async fn run_commands(
    conn: &mut Conn,
    shell: &Shell,
    caller: &Caller,
    mut forwarded: Request,
) -> Option<Response> {
    let mut gone = false;
    let mut response = None;
    loop {
        let command = watch_caller(conn, shell, caller, &mut gone, caller.next_command()).await;
        match command {
            Command::Send(attempt) => {
                set_endpoint(&mut forwarded, attempt);
                let exchange = send_attempt(&forwarded, attempt);
                let outcome = watch_caller(conn, shell, caller, &mut gone, exchange).await;
                response = report_outcome(shell, caller, &forwarded, attempt, outcome);
            }
            Command::Relay(_) if gone => return None,
            Command::Relay(_) => return response,
            Command::Replay(answer) => return Some(from_record(answer)),
            Command::Fail(failure) => return Some(answer::from_failure(failure)),
            _ => return None,
        }
    }
}

/// Waits for `work`. If the caller disconnects first, sets `gone`, informs the core, and still
/// completes the work.
async fn watch_caller<T, F>(
    conn: &mut Conn,
    shell: &Shell,
    caller: &Caller,
    gone: &mut bool,
    work: F,
) -> T
where
    F: Future<Output = T>,
{
    let mut work = std::pin::pin!(work);
    if !*gone {
        monoio::select! {
            done = &mut work => return done,
            () = conn.reader.closed() => {}
        }
        *gone = true;
        shell.feed(Event::CallerLeft(caller.id));
    }
    work.await
}

/// Sends the call to an endpoint over a new connection and waits for the answer.
///
/// Answers of plain endpoints name no call. An endpoint may send a second copy of one late, and on a
/// connection that is in use again it would pass for the answer to the next call.
async fn send_attempt(request: &Request, attempt: SendAttempt) -> Result<Response, PlainFault> {
    let mut conn = Conn::dial(attempt.addr)
        .await
        .map_err(|_| PlainFault::Unsent)?;
    match conn.call(request, attempt.timeout).await {
        Ok(response) => Ok(response),
        Err(HttpError::TimedOut) => Err(PlainFault::Silent),
        Err(_) => Err(PlainFault::Broken),
    }
}

/// Sets the `host` header to the endpoint and [`TIMEOUT_HEADER`] to the attempt's timeout.
fn set_endpoint(request: &mut Request, attempt: SendAttempt) {
    if let Ok(host) = HeaderValue::try_from(attempt.addr.to_string()) {
        request.headers.insert(HOST, host);
    }
    request
        .headers
        .insert(TIMEOUT_HEADER, HeaderValue::from(attempt.timeout.0));
}

/// Feeds the outcome of an attempt to the core. Returns the endpoint's answer, if any, for the
/// core's next command.
fn report_outcome(
    shell: &Shell,
    caller: &Caller,
    request: &Request,
    attempt: SendAttempt,
    outcome: Result<Response, PlainFault>,
) -> Option<Response> {
    let id = caller.id;
    let attempt = attempt.number;
    match outcome {
        Ok(mut response) => {
            remove_hop_headers(&mut response.headers);
            let refused = response.status == StatusCode::SERVICE_UNAVAILABLE
                && response.header(&RAN_HEADER) == Some("no");
            let record = request
                .headers
                .contains_key(&KEY_HEADER)
                .then(|| to_record(&response));
            let answer = PlainAnswer {
                refused,
                pause: read_pause(&response),
                record,
            };
            shell.feed(Event::Answered {
                id,
                attempt,
                answer,
            });
            Some(response)
        }
        Err(fault) => {
            shell.feed(Event::Failed { id, attempt, fault });
            None
        }
    }
}

/// Returns how long an endpoint wants nothing from this VM, by the `retry-after` of a 503 answer.
fn read_pause(response: &Response) -> Option<Millis> {
    if response.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = response.header(&RETRY_AFTER)?;
    match parse_pause(text) {
        Ok(pause) => Some(pause),
        Err(error) => {
            log::warn!(value = text, error:% = error; "pause_ignored");
            None
        }
    }
}

/// Returns the form of an answer that is recorded for its idempotency key. Of an answer that is too
/// large, only the status and a digest are recorded.
fn to_record(response: &Response) -> once::Answer {
    let status = response.status.as_u16();
    if response.body.len() > once::ANSWER_BYTES {
        return once::Answer::Large {
            status,
            digest: once::CallDigest::of_body(&response.body),
        };
    }
    let header = |value: &str| once::Header {
        name: CONTENT_TYPE.as_str().into(),
        value: value.into(),
    };
    once::Answer::Small {
        status,
        headers: response
            .header(&CONTENT_TYPE)
            .map(header)
            .into_iter()
            .collect(),
        body: response.body.clone().into(),
    }
}

/// Builds the response from the answer that is recorded for an idempotency key.
fn from_record(answer: once::Answer) -> Response {
    match answer {
        once::Answer::Small {
            status,
            headers,
            body,
        } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            let mut response = Response::new(status);
            response.body = body.0;
            for header in headers {
                let name = header.name.parse::<HeaderName>();
                let value = HeaderValue::try_from(header.value.as_ref());
                if let (Ok(name), Ok(value)) = (name, value) {
                    response.headers.insert(name, value);
                }
            }
            response
                .headers
                .insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
            response
        }
        once::Answer::Large { status, .. } => {
            let message = format!(
                "The call ran and was answered {status}; its answer was too large to keep."
            );
            let mut failure = Failure::may_have_run(Code::OutcomeUnknown, message);
            failure.ran = crate::error::Ran::Yes;
            answer::from_failure(failure)
        }
        once::Answer::NotKnown => {
            let message = "The call may have run; it is not run again.";
            answer::from_failure(Failure::may_have_run(Code::OutcomeUnknown, message))
        }
    }
}
