//! Accepts TCP connections.

use std::io;
use std::net::SocketAddr;

use monoio::net::ListenerOpts;
use monoio::net::TcpListener;

use super::http::Conn;

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

/// Accepts connections forever and starts `serve` in a task of its own for each. Errors of single
/// connections are ignored.
pub async fn accept<S, F>(listener: TcpListener, serve: S)
where
    S: Fn(Conn, SocketAddr) -> F,
    F: Future<Output = ()> + 'static,
{
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            continue;
        };
        if let Ok(conn) = Conn::accept(stream) {
            monoio::spawn(serve(conn, from));
        }
    }
}
