//! The HTTP server for callers, operators and owners.

mod answer;
mod digest;
mod model;
mod operate;
mod plain;
mod route;

use std::net::SocketAddr;

use http::header::CONNECTION;

use crate::consts::TICK_INTERVAL;
use crate::io::http::Bounds;
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
    let end = wait_for_exit(shell.clone());
    let pool = shell.pool().clone();
    let serve = move |conn, _| serve(conn, shell.clone());
    let relieve = move || pool.shed();
    monoio::spawn(listen::accept_until(listener, serve, relieve, end));
    Ok(())
}

/// Waits until a stopping daemon takes no more connections.
async fn wait_for_exit(shell: Shell) {
    while !shell.should_exit() {
        monoio::time::sleep(TICK_INTERVAL.duration()).await;
    }
}

/// Serves the requests on one connection, one after the other, until either side closes it.
async fn serve(mut conn: Conn, shell: Shell) {
    loop {
        if !matches!(conn.reader.request_begins(Bounds::default).await, Ok(true)) {
            break;
        }
        let _open = shell.begin_request();
        match conn.reader.request().await {
            Ok(Some(request)) => {
                let last = answer::wants_close(&request) || shell.is_stopping();
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
    if !shell.is_stopping() {
        return conn.writer.response(response, bodiless).await;
    }
    let mut response = response.clone();
    response.headers.insert(CONNECTION, answer::CLOSE);
    conn.writer.response(&response, bodiless).await
}
