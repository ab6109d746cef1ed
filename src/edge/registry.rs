//! Control requests: readiness, addresses for callers, metrics, and news for other VMs.

use std::io;
use std::net::SocketAddr;

use http::StatusCode;

use super::context::ConnAction;
use super::detour;
use super::detour::DetourInfo;
use super::dialect::ControlQuery;
use super::front;
use super::news;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::site::ActiveConfig;
use crate::io::http::Conn;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::listen;

/// How long callers may cache the addresses, unless the platform's limit is shorter.
const ADDRESS_TTL: Millis = Millis::seconds(2);

/// Binds the sockets for readiness, addresses, metrics and other VMs, and starts serving them.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn start(edge: &Edge) -> io::Result<()> {
    let settings = edge.settings();
    let mut addrs = vec![
        settings.ready,
        settings.registry,
        settings.metrics,
        settings.peer,
    ];
    addrs.sort_unstable();
    addrs.dedup();
    for addr in addrs {
        let listener = listen::bind(addr)?;
        let edge = edge.clone();
        let pool = edge.pool().clone();
        let serve = move |conn, from| serve(edge.clone(), conn, from);
        let relieve = move || pool.shed();
        monoio::spawn(listen::accept(listener, serve, relieve));
    }
    Ok(())
}

async fn serve(edge: Edge, mut conn: Conn, from: SocketAddr) {
    front::count_requests(&edge, &mut conn, from);
    loop {
        let bounds = || front::peer_bounds(&edge);
        match conn.reader.request_with_bounds(bounds).await {
            Ok(Some(request)) if let Some(info) = detour_info(&request) => {
                let action = Box::pin(front::serve_detour(&edge, &mut conn, request, info)).await;
                if action == ConnAction::Close {
                    conn.writer.close().await;
                    return;
                }
            }
            Ok(Some(request)) => {
                let response = respond(&edge, &request);
                if conn.writer.response(&response, false).await.is_err() {
                    return;
                }
            }
            Ok(None) => return,
            Err(error) => {
                log::debug!(from:% = from, error:% = error; "question_dropped");
                return;
            }
        }
    }
}

/// Returns what another VM states in a request that this one is to serve; `None` if it is no such
/// request.
fn detour_info(request: &Request) -> Option<DetourInfo> {
    let text = request.header(&detour::HEADER)?;
    match text.parse() {
        Ok(info) => Some(info),
        Err(error) => {
            log::warn!(value = text, error:% = error; "detour_malformed");
            None
        }
    }
}

fn respond(edge: &Edge, request: &Request) -> Response {
    match (edge.dialect().parse_query)(request) {
        Some(ControlQuery::Ready) if edge.is_ready() => Response::new(StatusCode::OK),
        Some(ControlQuery::Ready) => Response::new(StatusCode::SERVICE_UNAVAILABLE),
        Some(ControlQuery::Addresses(_)) => addresses(edge),
        None => match request.uri.path() {
            "/news" => news::answer(edge, request),
            "/site" => site(edge),
            "/metrics" => Response::text(StatusCode::OK, edge.metrics().render()),
            _ => Response::new(StatusCode::NOT_FOUND),
        },
    }
}

fn addresses(edge: &Edge) -> Response {
    let now = edge.now();
    let list = edge.fleet(|fleet| {
        fleet.me().ready = edge.is_ready();
        fleet.addresses(now)
    });
    if list.is_empty() {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    }
    let most = Millis::seconds(edge.settings().bounds.keep);
    (edge.dialect().addresses_response)(&list, ADDRESS_TTL.min(most))
}

fn site(edge: &Edge) -> Response {
    match edge.accepted(ActiveConfig::packed) {
        Ok(Some(packed)) => {
            let mut response = Response::new(StatusCode::OK);
            response.body = packed.0;
            response
        }
        Ok(None) => Response::new(StatusCode::NOT_FOUND),
        Err(error) => {
            log::error!(error:% = error; "config_not_packed");
            Response::new(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
