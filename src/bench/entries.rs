//! Client-side selection of the VMs that requests are sent to.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;

use http::Method;
use http::Uri;
use serde::Deserialize;

use crate::clock::Clock;
use crate::clock::Millis;
use crate::io::http::Conn;
use crate::io::http::Request;
use crate::io::pool::Pool;

/// The timeout of an address request, and the delay before the next one if no VM answers.
const ASK_SPAN: Millis = Millis::seconds(1);
/// How long a VM is excluded after a failure.
const EXCLUDE_SPAN: Millis = Millis::seconds(2);

#[derive(Debug, Deserialize)]
struct Answer {
    addresses: Vec<Address>,
    keep_ms: Millis,
}

#[derive(Debug, Deserialize)]
struct Address {
    addr: SocketAddr,
}

/// The addresses in use, chosen round-robin.
#[derive(Debug)]
pub(super) struct Entries {
    clock: Clock,
    known: Vec<SocketAddr>,
    discover: bool,
    current: RefCell<Vec<SocketAddr>>,
    until: Cell<Millis>,
    excluded: RefCell<Vec<(SocketAddr, Millis)>>,
    turn: Cell<usize>,
    /// Idle connections to reuse.
    pub(super) pool: Pool,
}

impl Entries {
    pub(super) fn new(clock: Clock, known: Vec<SocketAddr>, discover: bool) -> Self {
        Self {
            clock,
            current: RefCell::new(known.clone()),
            known,
            discover,
            until: Cell::new(Millis(0)),
            excluded: RefCell::default(),
            turn: Cell::new(0),
            pool: Pool::new(clock),
        }
    }

    /// Returns the next address, skipping `avoid` and excluded addresses if there is another; `None`
    /// if no address is known.
    pub(super) async fn next(&self, avoid: Option<SocketAddr>) -> Option<SocketAddr> {
        if self.discover && self.clock.now() >= self.until.get() {
            self.refresh().await;
        }
        let now = self.clock.now();
        self.excluded.borrow_mut().retain(|(_, until)| *until > now);
        let rests = self.excluded.borrow();
        let is_available = |addr: &SocketAddr| !rests.iter().any(|(other, _)| other == addr);
        let current = self.current.borrow();
        let usable: Vec<SocketAddr> = current
            .iter()
            .copied()
            .filter(|addr| is_available(addr) && Some(*addr) != avoid)
            .collect();
        let list = if usable.is_empty() { &current } else { &usable };
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        list.get(turn % list.len().max(1)).copied()
    }

    /// Excludes an address that failed for [`EXCLUDE_SPAN`] and has the addresses refreshed.
    pub(super) fn exclude(&self, addr: SocketAddr) {
        self.pool.clear(addr);
        let until = self.clock.now() + EXCLUDE_SPAN;
        self.excluded.borrow_mut().push((addr, until));
        self.until.set(Millis(0));
    }

    /// Asks one VM after another for addresses; keeps the current ones if none answers.
    async fn refresh(&self) {
        self.until.set(self.clock.now() + ASK_SPAN);
        let turn = self.turn.get();
        for step in 0..self.known.len() {
            let addr = self.known[(turn + step) % self.known.len()];
            if let Some(answer) = ask(addr).await
                && !answer.addresses.is_empty()
            {
                let list = answer.addresses.into_iter().map(|one| one.addr).collect();
                *self.current.borrow_mut() = list;
                self.until.set(self.clock.now() + answer.keep_ms);
                return;
            }
        }
    }
}

async fn ask(addr: SocketAddr) -> Option<Answer> {
    let mut conn = Conn::dial(addr).await.ok()?;
    let request = Request::new(Method::GET, Uri::from_static("/v1/addresses"));
    let response = conn.call(&request, ASK_SPAN).await.ok()?;
    response.parse().ok()
}
