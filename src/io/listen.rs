//! Accepts TCP connections.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;

use monoio::net::ListenerOpts;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

use super::http::Conn;
use super::timeout::within;
use crate::clock::Millis;

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

/// Accepts connections like [`accept`] until `end`, then closes the listener. Connections that were
/// already established are served: to close a listener resets those in its queue.
pub async fn accept_until<S, F, E>(listener: TcpListener, serve: S, end: E)
where
    S: Fn(Conn, SocketAddr) -> F,
    F: Future<Output = ()> + 'static,
    E: Future<Output = ()>,
{
    let mut end = pin!(end);
    loop {
        monoio::select! {
            accepted = listener.accept() => start(accepted, &serve),
            () = &mut end => break,
        }
    }
    let drain = async {
        while let Ok(accepted) = within(MAX_ACCEPT_WAIT, listener.accept()).await {
            start(accepted, &serve);
        }
    };
    // Connections that arrive faster than that do not keep the listener open.
    let _ = within(DRAIN_TIME, drain).await;
}

/// Accepts connections forever and starts `serve` in a task of its own for each. Errors of single
/// connections are ignored.
pub async fn accept<S, F>(listener: TcpListener, serve: S)
where
    S: Fn(Conn, SocketAddr) -> F,
    F: Future<Output = ()> + 'static,
{
    loop {
        start(listener.accept().await, &serve);
    }
}

/// Starts to serve a connection if it was accepted.
fn start<S, F>(accepted: io::Result<(TcpStream, SocketAddr)>, serve: &S)
where
    S: Fn(Conn, SocketAddr) -> F,
    F: Future<Output = ()> + 'static,
{
    let Ok((stream, from)) = accepted else {
        return;
    };
    if let Ok(conn) = Conn::accept(stream) {
        monoio::spawn(serve(conn, from));
    }
}
