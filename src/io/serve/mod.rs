//! The HTTP server for callers, operators and owners.

mod answer;
mod digest;
mod model;
mod operate;
mod plain;
mod route;

use std::net::SocketAddr;

use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Response;
use crate::io::listen;
use crate::io::shell::Shell;

/// Binds `addr` and starts a task that accepts connections and serves them.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(addr: SocketAddr, shell: Shell) -> std::io::Result<()> {
    let listener = listen::bind(addr)?;
    monoio::spawn(listen::accept(listener, move |conn, _| {
        serve(conn, shell.clone())
    }));
    Ok(())
}

/// Serves the requests on one connection, one after the other, until either side closes it.
async fn serve(mut conn: Conn, shell: Shell) {
    loop {
        match conn.reader.request().await {
            Ok(Some(request)) => {
                let last = answer::wants_close(&request);
                let served = route::serve(&mut conn, &shell, request).await;
                if served.is_err() || last {
                    break;
                }
            }
            Ok(None) => break,
            Err(error) => {
                refuse(&mut conn, &shell, &error).await;
                break;
            }
        }
    }
    conn.writer.close().await;
}

/// Answers a request that cannot be read, before its connection is closed.
async fn refuse(conn: &mut Conn, shell: &Shell, error: &HttpError) {
    let Some(response) = answer::from_error(error) else {
        return;
    };
    let _ = send(conn, shell, &response, false).await;
}

/// Sends a complete answer and counts it by its status.
async fn send(
    conn: &mut Conn,
    shell: &Shell,
    response: &Response,
    bodiless: bool,
) -> Result<(), HttpError> {
    shell.metrics().answer(response.status.as_u16());
    conn.writer.response(response, bodiless).await
}
