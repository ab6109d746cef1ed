//! Outgoing connections to other daemons, opened when there is a message to send.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use monoio::time::timeout;

use super::auth;
use super::auth::AuthError;
use super::auth::Greeting;
use super::frame;
use crate::clock::Millis;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::mailbox::Mailbox;
use crate::names::Vm;

/// How many messages may be queued for one connection; more are dropped.
const QUEUE_CAPACITY: usize = 256;
/// How long the handshake, and then each write of a frame, may take.
const SEND_TIMEOUT: Millis = Millis::seconds(1);
/// How long a connection may go without a message before it is closed.
const IDLE_TIMEOUT: Millis = Millis::seconds(30);

/// The outgoing connections to other daemons, one per address; clones share them.
#[derive(Clone, Debug)]
pub struct Links {
    vm: Vm,
    boot: u64,
    secret: Rc<str>,
    queues: Rc<RefCell<BTreeMap<SocketAddr, Mailbox<Bytes>>>>,
}

impl Links {
    /// Creates the links of a VM, without a connection yet. `secret` is the fleet's shared secret.
    pub fn new(vm: Vm, boot: u64, secret: Rc<str>) -> Self {
        Self {
            vm,
            boot,
            secret,
            queues: Rc::default(),
        }
    }

    /// Queues the content of a frame, and opens a connection if there is none. The message is
    /// dropped if the queue is full or the connection fails.
    pub fn send(&self, addr: SocketAddr, content: Bytes) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(addr).or_insert_with(|| self.open_link(addr));
        let _ = queue.send(content);
    }

    fn open_link(&self, addr: SocketAddr) -> Mailbox<Bytes> {
        let queue = Mailbox::new(QUEUE_CAPACITY);
        let receiver = queue.clone();
        let links = self.clone();
        monoio::spawn(async move {
            if let Err(error) = links.run_link(addr, receiver).await {
                log::debug!(addr:% = addr, error:% = error; "peer_link_failed");
            }
            links.queues.borrow_mut().remove(&addr);
        });
        queue
    }

    async fn run_link(&self, addr: SocketAddr, queue: Mailbox<Bytes>) -> Result<(), AuthError> {
        let mut conn = Conn::dial(addr).await?;
        let own = Greeting::new(self.vm.clone(), self.boot)?;
        let handshake = auth::call(&mut conn, &own, &self.secret);
        let other = timeout(SEND_TIMEOUT.duration(), handshake).await;
        other.unwrap_or(Err(HttpError::TimedOut.into()))?;
        while let Ok(content) = timeout(IDLE_TIMEOUT.duration(), queue.receive()).await {
            let write = frame::write(&mut conn.writer, &content);
            let Ok(written) = timeout(SEND_TIMEOUT.duration(), write).await else {
                return Err(HttpError::TimedOut.into());
            };
            written?;
        }
        Ok(())
    }
}
