//! Request and response heads: which headers are forwarded, and which the edge sets itself.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;

use super::detour;
use super::dialect::Headers;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::pipe::Part;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::names::EndpointName;
use crate::names::Team;

/// The least `Retry-After` that callers are sent.
const MIN_RETRY_AFTER: Millis = Millis(250);

/// The lowest priority that endpoints accept; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;

/// The hop-by-hop headers, which apply to one connection only.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::TRANSFER_ENCODING,
];

/// Removes hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// What the edge states in the headers of a forwarded request.
#[derive(Debug)]
pub struct ForwardInfo<'a> {
    /// The endpoint that is meant to run the request.
    pub endpoint: &'a EndpointName,
    /// The team whose key the request carries, if any.
    pub team: Option<&'a Team>,
    /// The team's priority, or else the route's; 0 is the highest.
    pub priority: u8,
    /// The time left until the request's deadline.
    pub remaining: Millis,
    /// The path of engines; empty for a plain service.
    pub path: &'a [Part],
    /// The id of the last event that the caller received, if the stream resumes.
    pub last_event: Option<&'a HeaderValue>,
}

/// Returns the request as it is sent to an endpoint.
pub fn forward_request(edge: &Edge, request: &Request, info: &ForwardInfo<'_>) -> Request {
    let names: &Headers = &edge.dialect().headers;
    let mut copy = request.clone();
    strip_hop_headers(&mut copy.headers);
    let headers = &mut copy.headers;
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::EXPECT);
    headers.remove(detour::HEADER);
    for name in [
        &names.team,
        &names.expected_endpoint,
        &names.path,
        &names.priority,
    ] {
        headers.remove(name);
    }
    set_header(headers, &names.expected_endpoint, info.endpoint.as_str());
    set_header(headers, &names.deadline, &info.remaining.0.to_string());
    set_header(
        headers,
        &names.priority,
        &info.priority.min(LOWEST_PRIORITY).to_string(),
    );
    if let Some(team) = info.team {
        set_header(headers, &names.team, team.as_str());
    }
    if !info.path.is_empty() {
        headers.insert(names.path.clone(), (edge.dialect().path_header)(info.path));
    }
    if let Some(id) = info.last_event {
        headers.insert(names.last_event.clone(), id.clone());
    }
    copy
}

/// Sets a header, unless the value has characters that no header may have.
pub fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(error) => log::error!(header:% = name, error:% = error; "header_refused"),
    }
}

/// Returns a 503 response: the request has not run and will not, and the caller may try again after
/// `retry_after`, or `MIN_RETRY_AFTER` if that is longer.
pub fn refusal(retry_after: Millis) -> Response {
    let mut response = Response::new(StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = retry_after.max(MIN_RETRY_AFTER);
    let seconds = format!("{}.{:03}", retry_after.0 / 1000, retry_after.0 % 1000);
    set_header(&mut response.headers, &header::RETRY_AFTER, &seconds);
    response
}
