//! A planned stop while requests arrive at full rate over connections that callers keep using.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use cornelwharf::clock::Millis;
use cornelwharf::io::http::Conn;
use cornelwharf::io::http::HttpError;
use cornelwharf::io::http::Request;
use http::StatusCode;

use super::World;
use super::fleet::Daemon;
use super::run;
use super::settings;
use super::sleep;

/// The callers of plain requests; a quarter as many read streams. Each has one request in progress.
const CALLERS: usize = 24;
/// The pause of a caller between two requests.
const CALL_PAUSE: Millis = Millis(2);

/// How long a refused caller waits, as it is told.
const RETRY_AFTER: Millis = Millis(250);

#[derive(Debug, Default)]
struct Counts {
    served: Cell<u32>,
    refused: Cell<u32>,
    /// Requests on an open connection that got no whole answer.
    cut: Cell<u32>,
}

/// Sends requests one after the other, over one connection while the daemon keeps it, until the
/// daemon takes no connection.
async fn call_until_gone(world: Rc<World>, front: SocketAddr, path: &str, counts: Rc<Counts>) {
    while let Ok(mut conn) = Conn::dial(front).await {
        loop {
            let answer = exchange(&mut conn, &world.request(path, "red-key")).await;
            let count = match &answer {
                Ok((StatusCode::OK, _)) => &counts.served,
                Ok(_) => &counts.refused,
                Err(_) => &counts.cut,
            };
            count.set(count.get() + 1);
            let is_refused = matches!(answer, Ok((status, _)) if status != StatusCode::OK);
            sleep(if is_refused { RETRY_AFTER } else { CALL_PAUSE }).await;
            if !matches!(answer, Ok((_, true))) {
                break;
            }
        }
    }
}

/// Sends a request and reads its whole answer; returns whether the connection may be used again.
async fn exchange(conn: &mut Conn, request: &Request) -> Result<(StatusCode, bool), HttpError> {
    conn.writer.request(request).await?;
    let head = conn.reader.response_head(false).await?;
    while conn.reader.chunk().await?.is_some() {}
    let closes = head.header(&http::header::CONNECTION) == Some("close");
    Ok((head.status, !closes))
}

#[test]
fn a_stop_under_load_cuts_no_request_off() {
    run(async |world: Rc<World>| {
        let front = world.spare[0];
        let mut daemon = Daemon::start(&settings(3, &world.spare, world.store_addr, ""));
        sleep(Millis(1500)).await;
        let counts = Rc::new(Counts::default());
        let paths = (0..CALLERS).map(|index| {
            if index % 4 == 0 {
                "/draft/a"
            } else {
                "/post/a"
            }
        });
        let callers: Vec<_> = paths
            .map(|path| {
                monoio::spawn(call_until_gone(
                    Rc::clone(&world),
                    front,
                    path,
                    Rc::clone(&counts),
                ))
            })
            .collect();
        sleep(Millis(1500)).await;
        let before = counts.served.get();
        assert!(before > 100, "{counts:?}");
        daemon.signal("TERM");
        for caller in callers {
            caller.await;
        }
        sleep(Millis(500)).await;
        assert!(daemon.has_exited());
        assert!(counts.served.get() > before + 100, "{counts:?}");
        assert_eq!(counts.cut.get(), 0, "{counts:?}");
    });
}
