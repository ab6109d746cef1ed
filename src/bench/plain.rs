//! Requests to plain services over reused connections.

use std::net::SocketAddr;

use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Uri;

use super::entries::Entries;
use super::outcome::FailKind;
use super::outcome::RequestFailure;
use crate::clock::Millis;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;

const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout-ms");

/// Makes one attempt at `addr`. If a reused connection fails other than by a timeout, the request
/// is sent once more on a new one.
pub(super) async fn attempt(
    entries: &Entries,
    addr: SocketAddr,
    request: &Request,
    span: Millis,
) -> Result<Response, RequestFailure> {
    let kept = entries.pool.take_idle(addr);
    let was_kept = kept.is_some();
    let conn = match kept {
        Some(conn) => conn,
        None => Conn::dial(addr)
            .await
            .map_err(|_| RequestFailure::unsent())?,
    };
    match exchange(entries, addr, conn, request, span).await {
        Err(HttpError::TimedOut) => Err(RequestFailure::unknown(FailKind::Broken)),
        Err(_) if was_kept => {
            let conn = Conn::dial(addr)
                .await
                .map_err(|_| RequestFailure::unsent())?;
            let again = exchange(entries, addr, conn, request, span).await;
            again.map_err(|_| RequestFailure::unknown(FailKind::Broken))
        }
        Err(_) => Err(RequestFailure::unknown(FailKind::Broken)),
        Ok(response) => Ok(response),
    }
    .and_then(check_status)
}

async fn exchange(
    entries: &Entries,
    addr: SocketAddr,
    mut conn: Conn,
    request: &Request,
    span: Millis,
) -> Result<Response, HttpError> {
    let response = conn.call(request, span).await?;
    entries.pool.put(addr, conn);
    Ok(response)
}

fn check_status(response: Response) -> Result<Response, RequestFailure> {
    if response.status.is_success() {
        Ok(response)
    } else {
        Err(RequestFailure::of(&response))
    }
}

/// Returns a request with the team's bearer token and the caller's timeout, or `None` if the path
/// or token is malformed.
pub(super) fn request(method: Method, path: &str, token: &str, span: Millis) -> Option<Request> {
    let mut request = Request::new(method, path.parse::<Uri>().ok()?);
    request.headers.insert(TIMEOUT, HeaderValue::from(span.0));
    if !token.is_empty() {
        let value = format!("Bearer {token}").parse().ok()?;
        request.headers.insert(http::header::AUTHORIZATION, value);
    }
    Some(request)
}
