//! Accepts TCP connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

use super::http::Conn;
use super::timeout::within;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::core::intake::Intake;

/// The length of the queue of connections that wait to be accepted.
const BACKLOG: i32 = 4096;

/// Opens a listening socket.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this machine.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).backlog(BACKLOG);
    TcpListener::bind_with_config(addr, &options)
}

/// How long the queue of a listener is emptied for at most before it is closed.
const DRAIN_TIME: Millis = Millis(10);
/// The queue is empty if no connection is accepted for so long.
const MAX_ACCEPT_WAIT: Millis = Millis(1);

/// The pause after a connection could not be accepted. Without one, this process would do nothing else: the call fails
/// again at once, and nothing closes a connection meanwhile.
const ERROR_PAUSE: Millis = Millis(10);

/// The least time between two log lines on connections that were not accepted.
const LOG_INTERVAL: Millis = Millis::seconds(1);

/// Returns whether an error says that no descriptor or memory for a socket is left.
pub fn is_exhausted(error: &io::Error) -> bool {
    let codes = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    error
        .raw_os_error()
        .is_some_and(|code| codes.contains(&code))
}

/// Accepts connections like [`accept`] until `end`, then closes the listener. Connections that were
/// already established are served: to close a listener resets those in its queue.
pub async fn accept_until<S, F, R, E>(listener: TcpListener, serve: S, relieve: R, end: E)
where
    S: Fn(Conn, SocketAddr) -> F,
    F: Future<Output = ()> + 'static,
    R: Fn() -> usize,
    E: Future<Output = ()>,
{
    let acceptor = Acceptor::new(serve, relieve);
    let mut end = pin!(end);
    loop {
        let error = monoio::select! {
            accepted = listener.accept() => acceptor.start(accepted),
            () = &mut end => break,
        };
        if let Some(error) = error {
            monoio::select! {
                () = acceptor.recover(&error) => (),
                () = &mut end => break,
            }
        }
    }
    let drain = async {
        while let Ok(accepted) = within(MAX_ACCEPT_WAIT, listener.accept()).await {
            if let Some(error) = acceptor.start(accepted) {
                acceptor.recover(&error).await;
            }
        }
    };
    // Connections that arrive faster than that do not keep the listener open.
    let _ = within(DRAIN_TIME, drain).await;
}

/// Accepts connections forever and starts `serve` in a task of its own for each. When no descriptor is left,
/// `relieve` is called, which closes connections that nobody needs and returns how many; if that is none, fewer
/// connections are taken for a while, see [`Intake`].
pub async fn accept<S, F, R>(listener: TcpListener, serve: S, relieve: R)
where
    S: Fn(Conn, SocketAddr) -> F,
    F: Future<Output = ()> + 'static,
    R: Fn() -> usize,
{
    let acceptor = Acceptor::new(serve, relieve);
    loop {
        if let Some(error) = acceptor.start(listener.accept().await) {
            acceptor.recover(&error).await;
        }
    }
}

/// What a listener does with connections and errors.
struct Acceptor<S, R> {
    serve: S,
    relieve: R,
    clock: Clock,
    intake: Rc<RefCell<Intake>>,
    last_logged: Cell<Millis>,
}

impl<S, F, R> Acceptor<S, R>
where
    S: Fn(Conn, SocketAddr) -> F,
    F: Future<Output = ()> + 'static,
    R: Fn() -> usize,
{
    fn new(serve: S, relieve: R) -> Self {
        Self {
            serve,
            relieve,
            clock: Clock::start(),
            intake: Rc::default(),
            last_logged: Cell::default(),
        }
    }

    /// Starts to serve a connection, or returns why none was accepted.
    fn start(&self, accepted: io::Result<(TcpStream, SocketAddr)>) -> Option<io::Error> {
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => return Some(error),
        };
        if !self.intake.borrow_mut().begin(self.clock.now()) {
            return None;
        }
        let open = Open(Rc::clone(&self.intake));
        if let Ok(conn) = Conn::accept(stream) {
            let served = (self.serve)(conn, from);
            monoio::spawn(async move {
                served.await;
                drop(open);
            });
        }
        None
    }

    /// Makes room if none was left for a connection, and waits a moment.
    async fn recover(&self, error: &io::Error) {
        let now = self.clock.now();
        let closed = if is_exhausted(error) {
            (self.relieve)()
        } else {
            0
        };
        if is_exhausted(error) && closed == 0 {
            self.intake.borrow_mut().record_exhaustion(now);
        }
        if now.since(self.last_logged.get()) >= LOG_INTERVAL {
            self.last_logged.set(now);
            let open = self.intake.borrow().open();
            log::warn!(error:% = error, open, closed; "not_accepted");
        }
        monoio::time::sleep(ERROR_PAUSE.duration()).await;
    }
}

/// Counts a connection as open until dropped.
struct Open(Rc<RefCell<Intake>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.borrow_mut().end();
    }
}
