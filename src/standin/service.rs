//! Stand-in for a plain service: a ledger that counts the effects of each key.
//!
//! Each `POST` that runs has an effect; `GET` has none. `GET /effects` returns the counts by the
//! idempotency key of the call, or by its body if it has no key, so a repeated run is visible.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use http::HeaderName;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use super::serve;
use super::serve::BoxedConn;
use super::serve::Reply;
use super::take_one;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::core::daemon::LoadReport;
use crate::io::http::Request;
use crate::io::http::Response;

/// The injected faults; `PUT /faults` replaces all of them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How long each request takes.
    pub delay: Millis,
    /// How many of the next requests are refused without being run.
    pub refuse: u32,
    /// How many of the next requests take effect, but the connection closes without an answer.
    pub lose: u32,
    /// How many of the next requests take effect, but get no answer while the connection stays open.
    pub silence: u32,
    /// Whether the service reports that it is leaving.
    pub leaving: bool,
}

/// The number of effects of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// The idempotency key, or the body of a call without one.
    pub key: String,
    /// How many times a call with this key ran.
    pub count: u32,
}

/// The answer to a call that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The sequence number of the effect in this service, starting at 1.
    pub receipt: u64,
}

#[derive(Debug)]
struct Ledger {
    clock: Clock,
    boot: u64,
    running: u32,
    faults: Faults,
    effects: BTreeMap<String, u32>,
    total: u64,
}

/// Starts a ledger service at `addr`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(addr: SocketAddr) -> std::io::Result<()> {
    let ledger = Rc::new(RefCell::new(Ledger::new()));
    serve::listen(addr, move |request, conn: BoxedConn| {
        let ledger = Rc::clone(&ledger);
        async move { (conn, answer(&ledger, &request).await) }
    })
}

async fn answer(ledger: &RefCell<Ledger>, request: &Request) -> Reply {
    match (&request.method, request.uri.path()) {
        (&Method::GET, "/v1/load") => load(&ledger.borrow()),
        (&Method::GET, "/effects") => effects(&ledger.borrow()),
        (&Method::PUT, "/faults") => set_faults(ledger, request),
        _ => {
            ledger.borrow_mut().running += 1;
            let reply = run(ledger, request).await;
            ledger.borrow_mut().running -= 1;
            reply
        }
    }
}

fn load(ledger: &Ledger) -> Reply {
    let report = LoadReport {
        boot: ledger.boot,
        at: ledger.clock.now(),
        running: ledger.running,
        waiting: 0,
        free: 0,
        leaving: ledger.faults.leaving,
    };
    Reply::Response(Response::json(StatusCode::OK, &report))
}

fn effects(ledger: &Ledger) -> Reply {
    let list: Vec<Effect> = ledger
        .effects
        .iter()
        .map(|(key, count)| Effect {
            key: key.clone(),
            count: *count,
        })
        .collect();
    Reply::Response(Response::json(StatusCode::OK, &list))
}

fn set_faults(ledger: &RefCell<Ledger>, request: &Request) -> Reply {
    let Ok(faults) = serde_json::from_slice(&request.body) else {
        return Reply::Response(Response::new(StatusCode::BAD_REQUEST));
    };
    ledger.borrow_mut().faults = faults;
    Reply::Response(Response::new(StatusCode::NO_CONTENT))
}

async fn run(ledger: &RefCell<Ledger>, request: &Request) -> Reply {
    if take_one(&mut ledger.borrow_mut().faults.refuse) {
        return Reply::Response(refusal());
    }
    let delay = ledger.borrow().faults.delay;
    if delay > Millis(0) {
        monoio::time::sleep(delay.duration()).await;
    }
    let mut ledger = ledger.borrow_mut();
    let response = if request.method.is_safe() {
        Response::text(StatusCode::OK, request.uri.path().to_owned())
    } else {
        Response::json(StatusCode::OK, &ledger.post(request))
    };
    if take_one(&mut ledger.faults.lose) {
        return Reply::Close;
    }
    if take_one(&mut ledger.faults.silence) {
        return Reply::NoAnswer;
    }
    Reply::Response(response)
}

/// Returns a response which states that the request was not run.
fn refusal() -> Response {
    let mut response = Response::new(StatusCode::SERVICE_UNAVAILABLE);
    let no = http::HeaderValue::from_static("no");
    response
        .headers
        .insert(HeaderName::from_static("x-ran"), no);
    response
}

impl Ledger {
    fn new() -> Self {
        let clock = Clock::start();
        Self {
            clock,
            boot: clock.now().0,
            running: 0,
            faults: Faults::default(),
            effects: BTreeMap::new(),
            total: 0,
        }
    }

    fn post(&mut self, request: &Request) -> Receipt {
        let key = request
            .header(&HeaderName::from_static("idempotency-key"))
            .map_or_else(
                || String::from_utf8_lossy(&request.body).into_owned(),
                str::to_owned,
            );
        *self.effects.entry(key).or_default() += 1;
        self.total += 1;
        Receipt {
            receipt: self.total,
        }
    }
}
