//! A pool of idle connections.
//!
//! Reuse saves the round trip of opening a connection. The longer a connection is idle, the more
//! likely a middlebox has dropped its state, so connections are pooled for a short time only, and
//! requests that must not be repeated, and those whose answers name no request, always use a new
//! connection (docs/DESIGN.md).

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use derive_more::Debug;

use super::http::Conn;
use super::http::HttpError;
use super::http::KeepLimit;
use super::http::Request;
use super::http::Response;
use super::timeout::within;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::consts::MAX_KEPT_BYTES;

/// How long a connection may be idle and still be reused for a request.
const MAX_IDLE_TIME: Millis = Millis::seconds(10);
/// How long a connection may be idle and still be reused for what is asked again over another one if
/// no answer comes at once.
const MAX_SPARE_TIME: Millis = Millis::seconds(30);
/// The share of the time in a `Keep-Alive` header after which a connection is not reused any more. The
/// rest covers the way there, so that a request does not meet the close.
const KEEP_SHARE: (u64, u64) = (4, 5);
/// The maximum number of idle connections per address; more are closed.
const MAX_IDLE_CONNS: usize = 64;
/// The idle connections to all addresses that a sweep leaves at most: half of the descriptors that processes usually have. A VM
/// that calls thousands of endpoints now and then would otherwise have none left for callers.
const MAX_IDLE_TOTAL: usize = 512;
/// How often connections are closed that are too old for any use.
const SWEEP_INTERVAL: Millis = Millis::seconds(5);
/// The pause before a connection is tried again for which no descriptor was left, and the most tries: together short
/// enough for a further endpoint within the time of a request.
const DESCRIPTOR_PAUSE: Millis = Millis(20);
const DESCRIPTOR_TRIES: u32 = 10;

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    since: Millis,
    /// When the endpoint may close it.
    until: Millis,
}

impl IdleConn {
    fn is_usable(&self, now: Millis, max_idle: Millis) -> bool {
        now < self.until && now.since(self.since) <= max_idle
    }
}

/// Idle connections by address. The most recently used connection is reused first; clones share the
/// connections.
#[derive(Clone, Debug)]
pub struct Pool {
    clock: Clock,
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<IdleConn>>>>,
    last_sweep: Rc<Cell<Millis>>,
    /// What the connections keep of incomplete answers.
    answers: KeepLimit,
    #[debug(skip)]
    resolver: Rc<RefCell<Option<Resolver>>>,
}

/// Returns the address at which the connections to an address are opened.
type Resolver = Box<dyn Fn(SocketAddr) -> SocketAddr>;

impl Pool {
    /// Creates an empty pool, whose connections together keep at most [`MAX_KEPT_BYTES`] of incomplete
    /// answers.
    pub fn new(clock: Clock) -> Self {
        Self::with_limit(clock, KeepLimit::new(MAX_KEPT_BYTES))
    }

    /// Creates an empty pool with this limit on what its connections together keep of incomplete answers.
    pub fn with_limit(clock: Clock, answers: KeepLimit) -> Self {
        Self {
            clock,
            idle: Rc::default(),
            last_sweep: Rc::new(Cell::new(clock.now())),
            answers,
            resolver: Rc::default(),
        }
    }

    /// Returns the limit on incomplete answers.
    pub fn answers(&self) -> &KeepLimit {
        &self.answers
    }

    /// Has new connections opened at the address that `resolver` returns, such as that of a proxy.
    pub fn set_resolver<F>(&self, resolver: F)
    where
        F: Fn(SocketAddr) -> SocketAddr + 'static,
    {
        *self.resolver.borrow_mut() = Some(Box::new(resolver));
    }

    /// Opens a new connection. If no descriptor is left for it, idle connections are closed, and it is tried again for
    /// a moment.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened. No request has been sent then.
    pub async fn dial(&self, addr: SocketAddr) -> Result<Conn, HttpError> {
        let target = match &*self.resolver.borrow() {
            Some(resolver) => resolver(addr),
            None => addr,
        };
        let mut dialed = Conn::dial(target).await;
        for _ in 0..DESCRIPTOR_TRIES {
            if !matches!(&dialed, Err(error) if error.is_exhausted()) {
                break;
            }
            if self.shed() == 0 {
                monoio::time::sleep(DESCRIPTOR_PAUSE.duration()).await;
            }
            dialed = Conn::dial(target).await;
        }
        let mut conn = dialed?;
        conn.writer.set_host(addr);
        conn.reader.set_account(self.answers.account(addr));
        Ok(conn)
    }

    /// Takes the connection out of the pool that was used last; `None` if there is none that is recent
    /// enough, open, and has nothing to read.
    ///
    /// What arrived while it was idle, such as a late second answer, would be read as the answer to
    /// the next request.
    pub fn take_idle(&self, addr: SocketAddr) -> Option<Conn> {
        self.take(addr, MAX_IDLE_TIME, Vec::pop)
    }

    /// Takes a connection out of the pool like [`Self::take_idle`], for a request with this id. One that
    /// carried the id before is left: the endpoint may send a second copy of its answer to that, which
    /// names the same id.
    pub fn take_idle_for(&self, addr: SocketAddr, id: &str) -> Option<Conn> {
        self.take(addr, MAX_IDLE_TIME, |list| {
            let is_other = |kept: &IdleConn| !kept.conn.writer.has_carried(id);
            list.iter().rposition(is_other).map(|at| list.remove(at))
        })
    }

    /// Takes the connection out of the pool that was idle for the longest time. It may be too old for
    /// a request, so this is for reports, which can be asked again over another one.
    pub fn take_spare(&self, addr: SocketAddr) -> Option<Conn> {
        self.take(addr, MAX_SPARE_TIME, |list| {
            (!list.is_empty()).then(|| list.remove(0))
        })
    }

    /// Returns whether there is a connection to an address that a request may reuse.
    pub fn has_idle(&self, addr: SocketAddr) -> bool {
        let now = self.clock.now();
        let idle = self.idle.borrow();
        let newest = idle.get(&addr).and_then(|list| list.last());
        newest.is_some_and(|newest| newest.is_usable(now, MAX_IDLE_TIME))
    }

    fn take<F>(&self, addr: SocketAddr, max_idle: Millis, next: F) -> Option<Conn>
    where
        F: Fn(&mut Vec<IdleConn>) -> Option<IdleConn>,
    {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        list.retain(|kept| kept.is_usable(now, MAX_SPARE_TIME));
        loop {
            let mut kept = next(list)?;
            if !kept.is_usable(now, max_idle) {
                list.push(kept);
                list.sort_by_key(|kept| kept.since);
                return None;
            }
            if kept.conn.reader.is_silent() {
                return Some(kept.conn);
            }
        }
    }

    /// Takes an idle connection out of the pool, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if a new connection is needed and cannot be opened. No request has been sent then.
    pub async fn get(&self, addr: SocketAddr) -> Result<Conn, HttpError> {
        match self.take_idle(addr) {
            Some(conn) => Ok(conn),
            None => self.dial(addr).await,
        }
    }

    /// Sends a request over an idle or a new connection and returns the answer. `timeout` covers
    /// opening the connection as well.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened or breaks, or if no valid answer arrives in time.
    /// The request may have been executed.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: &Request,
        timeout: Millis,
    ) -> Result<Response, HttpError> {
        let call = async {
            let conn = self.get(addr).await?;
            self.call_on(addr, conn, request, timeout).await
        };
        within(timeout, call)
            .await
            .unwrap_or(Err(HttpError::TimedOut))
    }

    /// Sends a request over a given connection, and puts the connection into the pool if an answer
    /// arrives within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or no valid answer arrives in time. The request may have been
    /// executed.
    pub async fn call_on(
        &self,
        addr: SocketAddr,
        mut conn: Conn,
        request: &Request,
        timeout: Millis,
    ) -> Result<Response, HttpError> {
        let response = conn.call(request, timeout).await?;
        self.put(addr, conn);
        Ok(response)
    }

    /// Puts a connection into the pool, or closes it if it has unread data or the pool is full for
    /// this address.
    pub fn put(&self, addr: SocketAddr, conn: Conn) {
        if !conn.reader.is_reusable() {
            return;
        }
        let since = self.clock.now();
        let (part, whole) = KEEP_SHARE;
        let keep = conn.reader.keep_alive();
        let keep = keep.map_or(MAX_SPARE_TIME, |keep| Millis(keep.0 / whole * part));
        let until = since + keep;
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_CONNS {
            list.push(IdleConn { conn, since, until });
        }
        drop(idle);
        if since.since(self.last_sweep.get()) >= SWEEP_INTERVAL {
            self.last_sweep.set(since);
            self.sweep(since);
        }
    }

    /// Closes connections that are too old for any use and, if more than [`MAX_IDLE_TOTAL`] remain, those of them that
    /// were idle for the longest time.
    fn sweep(&self, now: Millis) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, list| {
            list.retain(|kept| kept.is_usable(now, MAX_SPARE_TIME));
            !list.is_empty()
        });
        close_oldest(&mut idle, MAX_IDLE_TOTAL);
    }

    /// Closes half of the idle connections, those that were idle for the longest time; returns how many.
    pub fn shed(&self) -> usize {
        let mut idle = self.idle.borrow_mut();
        let before = count(&idle);
        close_oldest(&mut idle, before / 2);
        before - count(&idle)
    }

    /// Closes every idle connection to an address. Called after one of them broke or timed out.
    pub fn clear(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }
}

fn count(idle: &BTreeMap<SocketAddr, Vec<IdleConn>>) -> usize {
    idle.values().map(Vec::len).sum()
}

/// Closes the connections that were idle for the longest time until at most `most` remain.
fn close_oldest(idle: &mut BTreeMap<SocketAddr, Vec<IdleConn>>, most: usize) {
    let mut times: Vec<Millis> = idle.values().flatten().map(|kept| kept.since).collect();
    let Some(excess) = times.len().checked_sub(most).filter(|excess| *excess > 0) else {
        return;
    };
    times.sort_unstable();
    let latest = times[excess - 1];
    // Of those put back at the same moment, only as many are closed as needed.
    let mut left = excess;
    idle.retain(|_, list| {
        list.retain(|kept| {
            let is_closed = left > 0 && kept.since <= latest;
            left -= usize::from(is_closed);
            !is_closed
        });
        !list.is_empty()
    });
}
