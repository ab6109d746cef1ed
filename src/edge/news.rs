//! News from other VMs: the configuration and the endpoints' changes that this VM lacks.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use http::uri::InvalidUri;
use serde::Deserialize;
use serde::Serialize;

use super::feed::announce_config;
use super::feed::announce_endpoints;
use super::feed::apply_change;
use super::feed::expect_rewrites;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::packed::PackedError;
use crate::core::packed::pack;
use crate::core::packed::unpack;
use crate::core::position::Position;
use crate::core::roster::Update;
use crate::core::site::PackedConfig;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;

/// How often peers are checked for news.
const PEER_CHECK_INTERVAL: Millis = Millis(30);
/// The least time between two requests for news of endpoints: among thousands of endpoints some
/// change at any moment, and the VMs that read the store would be asked all the time.
const ENDPOINT_NEWS_INTERVAL: Millis = Millis(200);
/// The timeout of a request for a peer's news, connecting included.
const NEWS_TIMEOUT: Millis = Millis(300);
/// The timeout of a request for a peer's configuration or its whole list of endpoints, connecting
/// included. A large one takes about 60 ms on a slow link, and a peer may serve several VMs at once.
const LIST_TIMEOUT: Millis = Millis(800);
/// How long a peer that did not answer is not asked again.
const PEER_RETRY_DELAY: Millis = Millis(2000);
/// How long a packed list of all endpoints serves every VM that asks for it. After a restart of the
/// fleet hundreds of VMs ask at once, and a small VM cannot pack thousands of entries for each.
const PACKED_TTL: Millis = Millis(500);
/// The coding of a packed body, in HTTP's terms.
const DEFLATE: HeaderValue = HeaderValue::from_static("deflate");

/// An error of a request to another VM.
#[derive(Debug, Display, Error, From)]
enum PeerError {
    /// The connection failed, or no answer came in time.
    #[display("{_0}")]
    Http(HttpError),
    /// The request target is not a valid URI.
    #[display("{_0}")]
    Uri(InvalidUri),
    /// The news cannot be parsed.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// The response is not a packed list or configuration.
    #[display("{_0}")]
    Packed(PackedError),
}

/// What a VM sends to another that knows less.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct News {
    /// The version of the configuration in force, or 0 without one.
    pub version: u64,
    /// The changes of endpoints that the other VM lacks.
    pub endpoints: Update,
}

/// A packed list of all endpoints, kept for other VMs that ask.
#[derive(Clone, Debug)]
pub struct PackedNews {
    /// The configuration's version that it states.
    version: u64,
    /// When it was packed.
    at: Millis,
    body: Bytes,
}

/// Fetches news that this VM lacks from peers: this is how a VM that does not read the
/// store, or cannot reach it, learns of changes.
pub async fn poll_peers(edge: Edge) {
    let mut failed: Vec<(SocketAddr, Millis)> = Vec::new();
    let mut asked = Millis(0);
    loop {
        monoio::time::sleep(PEER_CHECK_INTERVAL.duration()).await;
        let now = edge.now();
        failed.retain(|(_, at)| now.since(*at) < PEER_RETRY_DELAY);
        let skip: Vec<SocketAddr> = failed.iter().map(|(addr, _)| *addr).collect();
        let urgent_only = now.since(asked) < ENDPOINT_NEWS_INTERVAL;
        let Some(peer) = edge.fleet(|fleet| fleet.choose_newer(now, &skip, urgent_only)) else {
            continue;
        };
        asked = now;
        if let Err(error) = fetch_news(&edge, peer).await {
            log::debug!(peer:% = peer, error:% = error; "peer_silent");
            failed.push((peer, now));
        }
    }
}

/// Fetches a peer's news, and its configuration if that is newer.
async fn fetch_news(edge: &Edge, peer: SocketAddr) -> Result<(), PeerError> {
    let version = edge.accepted(|accepted| accepted.version()).unwrap_or(0);
    let end = edge.roster(|roster| roster.end());
    let target = format!("/news?from={}", end.number());
    let timeout = if end == Position::default() {
        LIST_TIMEOUT
    } else {
        NEWS_TIMEOUT
    };
    let response = get(edge, peer, &target, timeout).await?;
    let news: News = if response.headers.get(CONTENT_ENCODING) == Some(&DEFLATE) {
        unpack(&response.body)?
    } else {
        response.parse()?
    };
    let newer = news.version > version;
    apply_news(edge, news);
    if newer {
        let response = get(edge, peer, "/site", LIST_TIMEOUT).await?;
        let packed = PackedConfig(response.body);
        let offer = edge.accepted(|accepted| accepted.offer_packed(packed))?;
        announce_config(edge, offer, "peer", Position::default());
    }
    Ok(())
}

async fn get(
    edge: &Edge,
    peer: SocketAddr,
    target: &str,
    span: Millis,
) -> Result<Response, PeerError> {
    let mut request = Request::new(Method::GET, Uri::try_from(target)?);
    request.headers.insert(ACCEPT_ENCODING, DEFLATE);
    Ok(edge.pool().call(peer, &request, span).await?)
}

fn apply_news(edge: &Edge, news: News) {
    let now = edge.now();
    let end = news.endpoints.end;
    let whole = news.endpoints.whole;
    expect_rewrites(edge, end);
    let changes = edge.roster(|roster| roster.expand(news.endpoints));
    for change in changes {
        apply_change(edge, now, change);
    }
    if whole {
        edge.roster(|roster| roster.record_full_list(end));
    }
    announce_endpoints(edge, end, "peer");
}

/// Answers a VM's question for news. A list of all endpoints is packed if the asking VM accepts
/// that, which earlier releases do not.
pub fn answer(edge: &Edge, request: &Request) -> Response {
    let from = request
        .query("from")
        .and_then(|text| text.parse::<u64>().ok());
    let from = from.map(Position::from).unwrap_or_default();
    let is_whole = edge.roster(|roster| roster.needs_full_list(from));
    let accepts_packed = request.headers.get(ACCEPT_ENCODING) == Some(&DEFLATE);
    if !is_whole || !accepts_packed {
        return Response::json(StatusCode::OK, &news_since(edge, from));
    }
    match packed_list(edge) {
        Ok(body) => {
            let mut response = Response::new(StatusCode::OK);
            response.headers.insert(CONTENT_ENCODING, DEFLATE);
            response.body = body;
            response
        }
        Err(error) => {
            log::error!(error:% = error; "news_not_packed");
            Response::new(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Returns the packed list of all endpoints, at most [`PACKED_TTL`] old and of the present
/// configuration's version.
fn packed_list(edge: &Edge) -> Result<Bytes, PackedError> {
    let now = edge.now();
    let version = edge.accepted(|accepted| accepted.version()).unwrap_or(0);
    let known = edge.packed_news(|packed| packed.clone());
    if let Some(known) =
        known.filter(|known| known.version == version && now.since(known.at) < PACKED_TTL)
    {
        return Ok(known.body);
    }
    let body = pack(&news_since(edge, Position::default()))?;
    let packed = PackedNews {
        version,
        at: now,
        body: body.clone(),
    };
    edge.packed_news(|known| *known = Some(packed));
    Ok(body)
}

/// Returns the news for a VM that knows the endpoints' changes before `from`.
fn news_since(edge: &Edge, from: Position) -> News {
    News {
        version: edge.accepted(|accepted| accepted.version()).unwrap_or(0),
        endpoints: edge.roster(|roster| roster.changes_since(from)),
    }
}
