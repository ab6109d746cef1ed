//! Stand-in for the platform: a log of several streams, a VM list whose changes become visible
//! with a delay, and a rate-limited weight store.

mod faults;
mod log;
mod vms;
mod weights;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use http::Method;
use http::StatusCode;

use self::faults::Faults;
pub use self::faults::LogState;
use self::log::Append;
use self::log::Log;
use self::vms::Vms;
use self::weights::WeightStore;
use super::serve;
use super::serve::BoxedConn;
use super::serve::Reply;
use crate::clock::Clock;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::platform::wire::VmList;

/// The state that all connections share.
#[derive(Debug)]
struct Platform {
    clock: Clock,
    log: Log,
    vms: Vms,
    weights: WeightStore,
    faults: Faults,
}

/// Starts the platform at `addr` with `vms` as the initial VM list.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(addr: SocketAddr, vms: VmList) -> std::io::Result<()> {
    let platform = Rc::new(RefCell::new(Platform {
        clock: Clock::start(),
        log: Log::default(),
        vms: Vms::new(vms),
        weights: WeightStore::default(),
        faults: Faults::default(),
    }));
    serve::listen(addr, move |request, conn| {
        let platform = Rc::clone(&platform);
        async move { answer(&platform, &request, conn).await }
    })
}

async fn answer(
    platform: &Rc<RefCell<Platform>>,
    request: &Request,
    conn: BoxedConn,
) -> (BoxedConn, Reply) {
    let path = request.uri.path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let reply = match (&request.method, parts.as_slice()) {
        (&Method::POST, ["v1", "streams", name]) => append(platform, name, request).await,
        (&Method::GET, ["v1", "streams", name]) => read(platform, name, request).await,
        (&Method::GET, ["v1", "vms"]) => list(platform),
        (&Method::PUT, ["vms"]) => replace(platform, request),
        (&Method::GET, ["v1", "weights", model, version]) => {
            weights(platform, model, version).await
        }
        (&Method::PUT, ["faults"]) => set_faults(platform, request),
        _ => status(StatusCode::NOT_FOUND),
    };
    (conn, reply)
}

fn status(status: StatusCode) -> Reply {
    Reply::Response(Response::new(status))
}

async fn append(platform: &Rc<RefCell<Platform>>, name: &str, request: &Request) -> Reply {
    if let Some(reply) = outage_reply(platform).await {
        return reply;
    }
    let Ok(data) = serde_json::from_slice(&request.body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let mut platform = platform.borrow_mut();
    let now = platform.clock.now();
    let limits = platform.faults.limits;
    match platform.log.append(now, name, data, limits) {
        Append::RateLimited => status(StatusCode::TOO_MANY_REQUESTS),
        Append::Done(_) if platform.faults.take_lost_append() => Reply::Close,
        Append::Done(appended) => Reply::Response(Response::json(StatusCode::OK, &appended)),
    }
}

async fn read(platform: &Rc<RefCell<Platform>>, name: &str, request: &Request) -> Reply {
    if let Some(reply) = outage_reply(platform).await {
        return reply;
    }
    let number = |key: &str| request.query(key).and_then(|text| text.parse().ok());
    let from = number("from").unwrap_or(0);
    let limit = number("limit").unwrap_or(log::PAGE_RECORDS);
    let page = platform.borrow().log.read(name, from, limit);
    let code = if from < page.first {
        StatusCode::GONE
    } else {
        StatusCode::OK
    };
    Reply::Response(Response::json(code, &page))
}

/// Delays the request if the log is slow, and returns the reply if it is down or silent.
async fn outage_reply(platform: &Rc<RefCell<Platform>>) -> Option<Reply> {
    let state = platform.borrow().faults.log;
    match state {
        LogState::Up => None,
        LogState::Down => Some(status(StatusCode::SERVICE_UNAVAILABLE)),
        LogState::Silent => Some(Reply::NoAnswer),
        LogState::Slow(span) => {
            monoio::time::sleep(span.duration()).await;
            None
        }
    }
}

fn list(platform: &Rc<RefCell<Platform>>) -> Reply {
    let mut platform = platform.borrow_mut();
    let now = platform.clock.now();
    Reply::Response(Response::json(StatusCode::OK, platform.vms.list(now)))
}

fn replace(platform: &Rc<RefCell<Platform>>, request: &Request) -> Reply {
    let Ok(vms) = serde_json::from_slice(&request.body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let mut platform = platform.borrow_mut();
    let at = platform.clock.now() + platform.faults.lag;
    platform.vms.replace(at, vms);
    status(StatusCode::NO_CONTENT)
}

async fn weights(platform: &Rc<RefCell<Platform>>, model: &str, version: &str) -> Reply {
    let (now, rate) = {
        let platform = platform.borrow();
        (platform.clock.now(), platform.faults.rate)
    };
    let wait = platform.borrow_mut().weights.load(now, rate);
    monoio::time::sleep(wait.duration()).await;
    let body = format!("{model} {version}\n");
    Reply::Response(Response::text(StatusCode::OK, body))
}

fn set_faults(platform: &Rc<RefCell<Platform>>, request: &Request) -> Reply {
    let Ok(faults) = serde_json::from_slice(&request.body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    platform.borrow_mut().faults = faults;
    status(StatusCode::NO_CONTENT)
}
