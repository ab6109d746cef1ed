//! A limit on what the connections of a VM together keep of messages that are not complete.
//!
//! Each message has a limit of its own, and hundreds are in progress at once: peers that send without an
//! end would fill a small VM's memory, and end the requests of all others with it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::error::HttpError;
use crate::io::mailbox::Mailbox;

/// What a connection keeps without counting: a head and a usual answer, so that sound peers are served
/// whatever others keep.
const FREE_BYTES: usize = 16 * 1024;

/// The limit, which connections share; clones are the same limit.
#[derive(Clone, Debug)]
pub struct KeepLimit {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug)]
struct Inner {
    limit: usize,
    /// What connections keep that go on.
    kept: usize,
    /// What connections keep that were ended and have not run since.
    ending: usize,
    peak: usize,
    peers: BTreeMap<SocketAddr, Peer>,
    last_id: u64,
}

/// What the connections to one peer keep.
#[derive(Debug, Default)]
struct Peer {
    kept: usize,
    connections: BTreeMap<u64, Connection>,
}

/// Ends a connection.
#[derive(Clone, Debug)]
struct Connection {
    is_ended: Rc<Cell<bool>>,
    /// Wakes it if it waits for more.
    wake: Mailbox<()>,
}

impl KeepLimit {
    /// Creates a limit of so many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let inner = Inner {
            limit,
            kept: 0,
            ending: 0,
            peak: 0,
            peers: BTreeMap::new(),
            last_id: 0,
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Returns the most bytes that were kept at once.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.inner.borrow().peak
    }

    /// Returns an account for a connection to a peer.
    #[must_use]
    pub fn account(&self, peer: SocketAddr) -> Account {
        let mut inner = self.inner.borrow_mut();
        inner.last_id += 1;
        Account {
            limit: self.clone(),
            peer,
            id: inner.last_id,
            kept: 0,
            connection: Connection {
                is_ended: Rc::default(),
                wake: Mailbox::new(1),
            },
        }
    }
}

impl Inner {
    /// Ends the connections to the peers that keep most, until the others are within the limit.
    fn enforce(&mut self) {
        while self.kept > self.limit {
            let largest = self.peers.iter().max_by_key(|(_, peer)| peer.kept);
            let Some(addr) = largest.map(|(addr, _)| *addr) else {
                return;
            };
            let Some(peer) = self.peers.remove(&addr) else {
                return;
            };
            let (connections, bytes, limit) = (peer.connections.len(), peer.kept, self.limit);
            log::warn!(peer:% = addr, connections, bytes, kept = self.kept, limit; "messages_dropped");
            self.kept -= peer.kept;
            self.ending += peer.kept;
            for connection in peer.connections.values() {
                connection.is_ended.set(true);
                // A full mailbox means that it is woken already.
                let _ = connection.wake.send(());
            }
        }
    }
}

/// What one connection keeps. It no longer counts once this is dropped.
#[derive(Debug)]
pub struct Account {
    limit: KeepLimit,
    peer: SocketAddr,
    id: u64,
    kept: usize,
    connection: Connection,
}

impl Account {
    /// Records how much the connection keeps, or is about to keep.
    ///
    /// This answers peers that send without an end: if the connections together keep more than the limit, those
    /// to the peer that keeps most are ended. They free it when they run next; others wait for that by
    /// [`Self::must_wait`].
    ///
    /// # Errors
    ///
    /// Fails if this connection was ended; it must be closed.
    pub fn set(&mut self, bytes: usize) -> Result<(), HttpError> {
        let bytes = if bytes > FREE_BYTES { bytes } else { 0 };
        let mut inner = self.limit.inner.borrow_mut();
        if self.connection.is_ended.get() {
            inner.ending -= self.kept;
            self.kept = 0;
            return Err(HttpError::OverLimit);
        }
        if bytes == self.kept {
            return Ok(());
        }
        inner.kept = inner.kept + bytes - self.kept;
        inner.peak = inner.peak.max(inner.kept + inner.ending);
        let peer = inner.peers.entry(self.peer).or_default();
        peer.kept = peer.kept + bytes - self.kept;
        self.kept = bytes;
        if bytes > 0 {
            peer.connections.insert(self.id, self.connection.clone());
            inner.enforce();
        } else {
            peer.connections.remove(&self.id);
            if peer.connections.is_empty() {
                inner.peers.remove(&self.peer);
            }
        }
        if self.connection.is_ended.get() {
            return Err(HttpError::OverLimit);
        }
        Ok(())
    }

    /// Returns whether the connection has to wait before it keeps more: others were ended, have not freed what
    /// they keep, and it does not fit beside that.
    #[must_use]
    pub fn must_wait(&self) -> bool {
        let inner = self.limit.inner.borrow();
        let is_full = inner.ending > 0 && inner.kept + inner.ending > inner.limit;
        self.kept > 0 && is_full && !self.connection.is_ended.get()
    }

    /// Returns what wakes the connection when it is ended, if it keeps anything that counts.
    #[must_use]
    pub fn wake(&self) -> Option<Mailbox<()>> {
        (self.kept > 0).then(|| self.connection.wake.clone())
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        // One that was ended no longer counts either.
        let _ = self.set(0);
    }
}
