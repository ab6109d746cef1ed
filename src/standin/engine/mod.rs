//! The stand-in of a model engine that holds a range of layers.
//!
//! It batches continuously by a stated cost model ([`batch`]), keeps a KV cache with a limit
//! ([`kv`]), reports its load with a lag, and counts what should never happen ([`ledger`]).

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
use self::load::Reports;
pub use self::model::draw;
use super::serve;
use super::serve::Handed;
use super::serve::Reply;
use super::take;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::core::config::object::Layers;
use crate::core::daemon::LoadReport;
use crate::core::session::wire::Release;
use crate::io::http::Request;
use crate::io::http::Response;

/// What an engine is and what its work costs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The layers that it holds.
    pub layers: Layers,
    /// The layers of the whole model.
    pub total: u32,
    /// The most hops in one batch.
    #[serde(default = "slots")]
    pub slots: usize,
    /// How long one batch takes, whatever is in it.
    #[serde(default = "step")]
    pub step: Millis,
    /// How many prompt positions a millisecond adds to a batch; 0 if they cost nothing.
    #[serde(default)]
    pub prefill: u32,
    /// The most positions that the KV cache holds.
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

/// An engine at work.
#[derive(Debug)]
struct State {
    engine: Engine,
    clock: Clock,
    boot: u64,
    cache: Cache,
    /// The attempts that a hop is running of.
    works: BTreeSet<Key>,
    batch: Batch,
    faults: Faults,
    ledger: Ledger,
    reports: Reports,
    /// Until when it is down after a crash.
    down: Millis,
}

type Shared = Rc<RefCell<State>>;

/// Starts an engine.
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
        works: BTreeSet::new(),
        batch: Batch::start(engine.slots, engine.step, engine.prefill),
        faults: Faults::default(),
        ledger: Ledger::default(),
        reports: Reports::default(),
        down: Millis(0),
        engine,
    }));
    serve::listen(addr, move |request, conn| {
        let state = Rc::clone(&state);
        async move { answer(&state, &request, conn).await }
    })
}

/// What the path of a probe begins with.
const HOPS: &str = "/v1/hops/";

async fn answer(state: &Shared, request: &Request, conn: Handed) -> (Handed, Reply) {
    if request.method == Method::PUT && request.uri.path() == "/faults" {
        return (conn, switch(state, request));
    }
    if state.borrow().is_down() {
        return (conn, Reply::Cut);
    }
    if state.borrow().faults.hang {
        return (conn, Reply::Silence);
    }
    let path = request.uri.path().to_owned();
    match (&request.method, path.as_str()) {
        (&Method::GET, path) if path.starts_with(HOPS) => (conn, probe(state, path)),
        (&Method::POST, "/v1/hops") => run::hop(state, request, conn).await,
        (&Method::POST, "/v1/releases") => (conn, release(state, request)),
        (&Method::GET, "/v1/load") => (conn, report(state)),
        (&Method::GET, "/ledger") => {
            let ledger = state.borrow().ledger;
            (conn, Reply::Whole(Response::json(StatusCode::OK, &ledger)))
        }
        _ => (conn, Reply::Whole(Response::new(StatusCode::NOT_FOUND))),
    }
}

/// Says whether the engine works on a hop of an attempt.
fn probe(state: &Shared, path: &str) -> Reply {
    let names = path
        .strip_prefix(HOPS)
        .and_then(|rest| rest.split_once('/'));
    let key = names.and_then(|(session, attempt)| {
        Some(Key {
            session: session.parse().ok()?,
            attempt: attempt.parse().ok()?,
        })
    });
    let works = key.is_some_and(|key| state.borrow().works.contains(&key));
    let status = if works {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    Reply::Whole(Response::new(status))
}

fn release(state: &Shared, request: &Request) -> Reply {
    let Ok(release) = serde_json::from_slice::<Release>(&request.body) else {
        return Reply::Whole(Response::new(StatusCode::BAD_REQUEST));
    };
    state.borrow_mut().release(release);
    Reply::Whole(Response::new(StatusCode::NO_CONTENT))
}

fn report(state: &Shared) -> Reply {
    let shown = state.borrow_mut().report();
    Reply::Whole(Response::json(StatusCode::OK, &shown))
}

fn switch(state: &Shared, request: &Request) -> Reply {
    let Ok(faults) = serde_json::from_slice::<Faults>(&request.body) else {
        return Reply::Whole(Response::new(StatusCode::BAD_REQUEST));
    };
    let mut state = state.borrow_mut();
    let crash = faults.crash;
    state.faults = faults;
    if crash {
        state.crash();
    }
    Reply::Whole(Response::new(StatusCode::NO_CONTENT))
}

impl State {
    fn is_down(&self) -> bool {
        self.clock.now() < self.down
    }

    fn release(&mut self, release: Release) {
        self.cache.release(release);
        let kept = |key: &Key| key.session != release.session || key.attempt > release.attempt;
        self.works.retain(kept);
    }

    /// Returns the load report, which may be old.
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
        self.reports.show(now, self.faults.lag, fresh)
    }

    /// Loses everything and comes back, under another boot id, after the stated time.
    fn crash(&mut self) {
        let now = self.clock.now();
        self.boot = now.0.max(self.boot + 1);
        self.cache = Cache::new(self.engine.positions);
        self.works.clear();
        self.down = now + self.faults.down;
        self.ledger.crashes += 1;
        self.faults.crash = false;
    }
}
