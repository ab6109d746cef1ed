//! The HTTP server loop shared by the stand-ins.

use std::net::SocketAddr;

use monoio::net::TcpListener;

use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::listen;

/// How a request is answered.
#[derive(Debug)]
pub enum Reply {
    /// Sends this response.
    Response(Response),
    /// Closes the connection without an answer.
    Close,
    /// Sends no answer and keeps the connection open until the client closes it.
    NoAnswer,
    /// The handler has already written the response.
    Streamed,
}

/// Listens at `addr` and calls `handle` for each request.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen<H, F>(addr: SocketAddr, handle: H) -> std::io::Result<()>
where
    H: Fn(Request, BoxedConn) -> F + Clone + 'static,
    F: Future<Output = (BoxedConn, Reply)> + 'static,
{
    let listener = listen::bind(addr)?;
    monoio::spawn(accept(listener, handle));
    Ok(())
}

/// Calls `handle` for each request on the connections of a listener, which stays open until this
/// is dropped.
pub async fn accept<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request, BoxedConn) -> F + Clone + 'static,
    F: Future<Output = (BoxedConn, Reply)> + 'static,
{
    let serve = move |conn, _| serve(conn, handle.clone());
    listen::accept(listener, serve, || 0).await;
}

/// A connection that is passed to the handler and returned by it, so that it can stream its answer.
pub type BoxedConn = Box<Conn>;

async fn serve<H, F>(conn: Conn, handle: H)
where
    H: Fn(Request, BoxedConn) -> F,
    F: Future<Output = (BoxedConn, Reply)>,
{
    let mut conn = Box::new(conn);
    while let Ok(Some(request)) = conn.reader.request().await {
        let is_head = request.method == http::Method::HEAD;
        let (returned, reply) = handle(request, conn).await;
        conn = returned;
        if send_reply(&mut conn, reply, is_head).await.is_err() {
            return;
        }
    }
}

async fn send_reply(conn: &mut Conn, reply: Reply, is_head: bool) -> Result<(), HttpError> {
    match reply {
        Reply::Response(response) => conn.writer.response(&response, is_head).await,
        Reply::Close => Err(HttpError::Closed),
        Reply::NoAnswer => {
            conn.reader.closed().await;
            Err(HttpError::Closed)
        }
        Reply::Streamed => Ok(()),
    }
}
