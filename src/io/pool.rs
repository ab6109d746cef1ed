//! Kept connections to endpoints.
//!
//! Opening a connection for each request would cost a round trip; keeping one for long risks that
//! something between the two ends has lost track of it. So a connection is kept for a short time,
//! and work that must not be repeated never runs on a kept one (docs/DESIGN.md).

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::http::Conn;
use super::http::HttpError;
use super::http::Request;
use super::http::Response;
use super::timeout::within;
use crate::clock::Clock;
use crate::clock::Millis;

/// How long an unused connection is kept.
const MAX_IDLE_TIME: Millis = Millis::seconds(10);
/// The most unused connections to one endpoint.
const MAX_IDLE_CONNS: usize = 64;

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    since: Millis,
}

/// Kept connections, by address; the one used last is used next.
#[derive(Clone, Debug)]
pub struct Pool {
    clock: Clock,
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<IdleConn>>>>,
}

impl Pool {
    /// Starts without any connection.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Rc::default(),
        }
    }

    /// Returns a kept connection if there is one.
    pub fn take_idle(&self, addr: SocketAddr) -> Option<Conn> {
        let oldest = self.clock.now() - MAX_IDLE_TIME;
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        let newest = list.pop()?;
        if newest.since < oldest {
            list.clear();
            return None;
        }
        Some(newest.conn)
    }

    /// Returns a kept connection, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if a new connection is needed and refused; nothing was sent then.
    pub async fn get(&self, addr: SocketAddr) -> Result<Conn, HttpError> {
        match self.take_idle(addr) {
            Some(conn) => Ok(conn),
            None => Conn::dial(addr).await,
        }
    }

    /// Sends a request on a kept connection or a new one, and returns the answer; all of it takes `span`
    /// at most.
    ///
    /// # Errors
    ///
    /// Fails if no answer came in time; the request may have arrived.
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

    /// Sends a request on a connection, which is kept if the answer came within `span`.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
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

    /// Keeps a connection on which nothing is left over.
    pub fn put(&self, addr: SocketAddr, conn: Conn) {
        if !conn.reader.is_reusable() {
            return;
        }
        let since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_CONNS {
            list.push(IdleConn { conn, since });
        }
    }

    /// Drops every kept connection to an address, after one of them broke or went silent.
    pub fn clear(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }
}
