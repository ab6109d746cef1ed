//! Heads on their way through: which headers pass, and which the edge sets itself.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;

use super::dialect::Headers;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::pipe::Part;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::names::EndpointName;
use crate::names::Team;

/// The shortest time after which a caller is asked to come back, in milliseconds.
const MIN_RETRY_AFTER: Millis = Millis(250);

/// The last rank that endpoints know.
const LOWEST_PRIORITY: u8 = 9;

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::TRANSFER_ENCODING,
];

/// Removes what concerns one connection only.
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

/// What the edge tells an endpoint about a request.
#[derive(Debug)]
pub struct ForwardInfo<'a> {
    /// The endpoint that must be the one to run it.
    pub endpoint: &'a EndpointName,
    /// The team that sends it.
    pub team: Option<&'a Team>,
    /// Its rank, 0 first: the team's, or else the route's.
    pub priority: u8,
    /// The time that is left for it.
    pub remaining: Millis,
    /// The path through the engines.
    pub path: &'a [Part],
    /// The last event that the caller has, if the stream goes on.
    pub last_event: Option<&'a HeaderValue>,
}

/// Returns the request as an endpoint gets it.
pub fn forward_request(edge: &Edge, request: &Request, info: &ForwardInfo<'_>) -> Request {
    let names: &Headers = &edge.dialect().headers;
    let mut copy = request.clone();
    strip_hop_headers(&mut copy.headers);
    let headers = &mut copy.headers;
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::EXPECT);
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

fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(error) => log::error!(header:% = name, error:% = error; "header_refused"),
    }
}

/// Returns a refusal: the request has not run and will not, and the caller may come back.
pub fn refusal(retry_after: Millis) -> Response {
    let mut response = Response::new(StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = retry_after.max(MIN_RETRY_AFTER);
    let seconds = format!("{}.{:03}", retry_after.0 / 1000, retry_after.0 % 1000);
    set_header(&mut response.headers, &header::RETRY_AFTER, &seconds);
    response
}
