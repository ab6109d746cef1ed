//! Scripted endpoints in the place of some of the world's, as one or all daemons see them.

use std::net::SocketAddr;
use std::rc::Rc;

use cornelwharf::clock::Millis;
use cornelwharf::edge::Edge;
pub use cornelwharf::io::http::Conn;
pub use cornelwharf::io::http::Request;
use cornelwharf::io::listen;
use http::HeaderName;
use monoio::net::TcpListener;

/// What a connection remembers between its requests.
pub type Memory = Option<String>;

/// Has these daemons meet scripted endpoints at the addresses of `targets`. `handle` answers a
/// request to a target and returns whether the connection stays open.
pub fn replace<H>(edges: &[Edge], targets: &[SocketAddr], handle: H)
where
    H: AsyncFn(SocketAddr, &mut Conn, &Request, &mut Memory) -> bool + 'static,
{
    let handle = Rc::new(handle);
    for target in targets {
        let listener = listen::bind(shifted(*target)).expect("an address");
        monoio::spawn(accept(listener, *target, Rc::clone(&handle)));
    }
    for edge in edges {
        let targets = targets.to_vec();
        edge.pool().set_resolver(move |addr| {
            if targets.contains(&addr) {
                shifted(addr)
            } else {
                addr
            }
        });
    }
    for (edge, target) in edges
        .iter()
        .flat_map(|edge| targets.iter().map(move |to| (edge, to)))
    {
        edge.pool().clear(*target);
    }
}

fn shifted(mut addr: SocketAddr) -> SocketAddr {
    addr.set_port(addr.port() + 10_000);
    addr
}

async fn accept<H>(listener: TcpListener, target: SocketAddr, handle: Rc<H>)
where
    H: AsyncFn(SocketAddr, &mut Conn, &Request, &mut Memory) -> bool + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let handle = Rc::clone(&handle);
        monoio::spawn(async move {
            let Ok(mut conn) = Conn::accept(stream) else {
                return;
            };
            let mut memory = None;
            while let Ok(Some(request)) = conn.reader.request().await {
                if !handle(target, &mut conn, &request, &mut memory).await {
                    return;
                }
            }
        });
    }
}

/// Answers a request as the endpoint does that was replaced.
pub async fn pass(target: SocketAddr, conn: &mut Conn, request: &Request) -> bool {
    let Ok(mut upstream) = Conn::dial(target).await else {
        return false;
    };
    match upstream.call(request, Millis::seconds(2)).await {
        Ok(response) => conn.writer.response(&response, false).await.is_ok(),
        Err(_) => false,
    }
}

pub fn text(request: &Request, name: &'static str) -> String {
    let value = request.header(&HeaderName::from_static(name));
    value.unwrap_or_default().to_owned()
}

/// Whether a request is a caller's, and not a report or an order.
pub fn is_callers(request: &Request) -> bool {
    request.headers.contains_key("endpoint")
}

/// The head of an answer; without an `id`, it has no echo.
pub fn head(id: Option<&str>, framing: &str) -> String {
    let echo = id.map_or_else(String::new, |id| format!("request-id: {id}\r\n"));
    format!("HTTP/1.1 200 OK\r\nsignature: s\r\n{echo}{framing}\r\n\r\n")
}

pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// A refusal, which states that the request did not run.
pub fn refusal(id: Option<&str>) -> String {
    let echo = id.map_or_else(String::new, |id| format!("request-id: {id}\r\n"));
    format!("HTTP/1.1 429 Busy\r\nnot-run: 1\r\n{echo}content-length: 0\r\n\r\n")
}

/// A whole answer: a stream of events from the one after `last`, or a plain body of `word`.
pub fn answer(request: &Request, id: Option<&str>, word: &str) -> String {
    if !request.headers.contains_key("path") {
        let framing = format!("content-length: {}", word.len());
        return head(id, &framing) + word;
    }
    let last: u64 = text(request, "last-event-id").parse().unwrap_or(0);
    let events = (last + 1..=super::EVENTS)
        .map(|event| chunk(&format!("id: {event}\ndata: {word} {event}\n\n")));
    let events: String = events.collect();
    head(id, "transfer-encoding: chunked") + &events + "0\r\n\r\n"
}
