//! Stand-in for a model engine that holds a range of layers.
//!
//! It batches continuously with a fixed cost model ([`batch`]), has a KV cache of limited size
//! ([`kv`]), reports its load with a lag, and counts protocol violations ([`ledger`]).

mod batch;
mod faults;
mod kv;
mod ledger;
mod load;
mod model;
mod run;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use self::batch::Batch;
pub use self::faults::Faults;
use self::kv::Cache;
use self::kv::Key;
pub use self::ledger::Ledger;
use self::load::CachedReport;
pub use self::model::generate_tokens;
use super::serve;
use super::serve::BoxedConn;
use super::serve::Reply;
use super::take_one;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::core::config::object::Layers;
use crate::core::daemon::LoadReport;
use crate::core::session::wire::Release;
use crate::io::http::Request;
use crate::io::http::Response;

/// The settings of an engine and its cost model.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The address to listen at.
    pub addr: SocketAddr,
    /// The range of layers that the engine holds.
    pub layers: Layers,
    /// The number of layers of the whole model.
    pub total: u32,
    /// The maximum number of hops in one batch.
    #[serde(default = "slots")]
    pub slots: usize,
    /// How long one batch takes, apart from its prompt positions.
    #[serde(default = "step")]
    pub step: Millis,
    /// How many prompt positions are processed per millisecond; 0 if they take no time.
    #[serde(default)]
    pub prefill: u32,
    /// The maximum number of positions in the KV cache.
    #[serde(default = "positions")]
    pub positions: usize,
}

const fn slots() -> usize {
    16
}

const fn step() -> Millis {
    Millis(5)
}

const fn positions() -> usize {
    65_536
}

/// The state of a running engine.
#[derive(Debug)]
struct State {
    engine: Engine,
    clock: Clock,
    boot: u64,
    cache: Cache,
    /// The attempts with a hop in progress.
    running_attempts: BTreeSet<Key>,
    batch: Batch,
    faults: Faults,
    ledger: Ledger,
    cached_report: CachedReport,
    /// The time until which the engine is down after a crash.
    down_until: Millis,
}

type Shared = Rc<RefCell<State>>;

/// Starts an engine at the address in its settings.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(engine: Engine) -> std::io::Result<()> {
    let addr = engine.addr;
    let clock = Clock::start();
    let state = Rc::new(RefCell::new(State {
        clock,
        boot: clock.now().0,
        cache: Cache::new(engine.positions),
        running_attempts: BTreeSet::new(),
        batch: Batch::start(engine.slots, engine.step, engine.prefill),
        faults: Faults::default(),
        ledger: Ledger::default(),
        cached_report: CachedReport::default(),
        down_until: Millis(0),
        engine,
    }));
    serve::listen(addr, move |request, conn| {
        let state = Rc::clone(&state);
        async move { answer(&state, &request, conn).await }
    })
}

/// The path prefix of requests that ask whether a hop is running.
const HOP_PATH_PREFIX: &str = "/v1/hops/";

async fn answer(state: &Shared, request: &Request, conn: BoxedConn) -> (BoxedConn, Reply) {
    if request.method == Method::PUT && request.uri.path() == "/faults" {
        return (conn, set_faults(state, request));
    }
    if state.borrow().is_down() {
        return (conn, Reply::Close);
    }
    if state.borrow().faults.hang {
        return (conn, Reply::NoAnswer);
    }
    let path = request.uri.path().to_owned();
    match (&request.method, path.as_str()) {
        (&Method::GET, path) if path.starts_with(HOP_PATH_PREFIX) => (conn, probe(state, path)),
        (&Method::POST, "/v1/hops") => run::hop(state, request, conn).await,
        (&Method::POST, "/v1/releases") => (conn, release(state, request)),
        (&Method::GET, "/v1/load") => (conn, report(state)),
        (&Method::GET, "/ledger") => {
            let ledger = state.borrow().ledger;
            (
                conn,
                Reply::Response(Response::json(StatusCode::OK, &ledger)),
            )
        }
        _ => (conn, Reply::Response(Response::new(StatusCode::NOT_FOUND))),
    }
}

/// Answers whether a hop of an attempt is in progress.
fn probe(state: &Shared, path: &str) -> Reply {
    let ids = path
        .strip_prefix(HOP_PATH_PREFIX)
        .and_then(|rest| rest.split_once('/'));
    let key = ids.and_then(|(session, attempt)| {
        Some(Key {
            session: session.parse().ok()?,
            attempt: attempt.parse().ok()?,
        })
    });
    let is_running = key.is_some_and(|key| state.borrow().running_attempts.contains(&key));
    let status = if is_running {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    Reply::Response(Response::new(status))
}

fn release(state: &Shared, request: &Request) -> Reply {
    let Ok(release) = serde_json::from_slice::<Release>(&request.body) else {
        return Reply::Response(Response::new(StatusCode::BAD_REQUEST));
    };
    state.borrow_mut().release(release);
    Reply::Response(Response::new(StatusCode::NO_CONTENT))
}

fn report(state: &Shared) -> Reply {
    let report = state.borrow_mut().report();
    Reply::Response(Response::json(StatusCode::OK, &report))
}

fn set_faults(state: &Shared, request: &Request) -> Reply {
    let Ok(faults) = serde_json::from_slice::<Faults>(&request.body) else {
        return Reply::Response(Response::new(StatusCode::BAD_REQUEST));
    };
    let mut state = state.borrow_mut();
    let crash = faults.crash;
    state.faults = faults;
    if crash {
        state.crash();
    }
    Reply::Response(Response::new(StatusCode::NO_CONTENT))
}

impl State {
    fn is_down(&self) -> bool {
        self.clock.now() < self.down_until
    }

    fn release(&mut self, release: Release) {
        self.cache.release(release);
        let is_kept = |key: &Key| key.session != release.session || key.attempt > release.attempt;
        self.running_attempts.retain(is_kept);
    }

    /// Returns the load report, which may be up to `faults.lag` old.
    fn report(&mut self) -> LoadReport {
        let now = self.clock.now();
        let fresh = LoadReport {
            boot: self.boot,
            at: now,
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            free: self.cache.free(),
            leaving: self.faults.leaving,
        };
        self.cached_report.get(now, self.faults.lag, fresh)
    }

    /// Drops the KV cache and all running attempts, and is down for `faults.down`. The boot id
    /// changes, as after a restart.
    fn crash(&mut self) {
        let now = self.clock.now();
        self.boot = now.0.max(self.boot + 1);
        self.cache = Cache::new(self.engine.positions);
        self.running_attempts.clear();
        self.down_until = now + self.faults.down;
        self.ledger.crashes += 1;
        self.faults.crash = false;
    }
}
