//! A caller leaves: nothing more is sent for its request, and what was sent does not go on.

use std::fmt::Write;
use std::rc::Rc;

use bytes::Bytes;
use cornelwharf::clock::Millis;
use cornelwharf::edge;
use cornelwharf::io::http::Conn;
use cornelwharf::io::listen;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;

use super::World;
use super::run;
use super::sleep;

/// How long after the close work may go on (the users' rule).
const GONE_BOUND: Millis = Millis(500);
const PATHS: [&str; 3] = ["/read/a", "/post/a", "/draft/a"];

fn bytes_of(world: &World, path: &str, rest: &str) -> Bytes {
    let request = world.request(path, "red-key");
    let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.uri);
    for (name, value) in &request.headers {
        let value = value.to_str().expect("text");
        write!(text, "{name}: {value}\r\n").expect("text");
    }
    if !request.body.is_empty() {
        write!(text, "content-length: {}\r\n", request.body.len()).expect("text");
    }
    text += "\r\n";
    text += std::str::from_utf8(&request.body).expect("text");
    Bytes::from(text + rest)
}

/// Sends bytes to the first daemon over a connection that it serves once `hold` has passed, and closes the
/// connection after `open`. Returns whether the daemon is still at work a while after the close.
async fn leave(world: &World, bytes: Bytes, open: Millis, hold: Millis) -> bool {
    let listener = listen::bind(world.spare[0]).expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let mut client = TcpStream::connect(addr).await.expect("a connection");
    let (stream, from) = listener.accept().await.expect("a connection");
    client.write_all(bytes).await.0.expect("sent");
    let edge = world.edges[0].clone();
    let serve = async {
        sleep(hold).await;
        let conn = Conn::accept(stream).expect("a connection");
        monoio::spawn(edge::serve(edge, conn, from));
    };
    let close = async {
        sleep(open).await;
        drop(client);
    };
    monoio::join!(serve, close);
    sleep(GONE_BOUND).await;
    world.edges[0].open_requests() > 0
}

#[test]
fn a_request_is_sent_on_although_its_caller_left_before_it_was_read() {
    run(async |world: Rc<World>| {
        for path in PATHS.iter().cycle().take(15) {
            let before = world.run_count();
            let bytes = bytes_of(&world, path, "");
            let goes_on = leave(&world, bytes, Millis(0), GONE_BOUND + Millis(100)).await;
            assert!(!goes_on, "{path} goes on");
            assert_eq!(world.run_count(), before, "{path} ran");
        }
    });
}

#[test]
fn work_goes_on_for_a_caller_that_sent_more_bytes_and_left() {
    run(async |world: Rc<World>| {
        for rest in ["\r\n", "GET /read/a HTTP/1.1\r\n"] {
            for path in PATHS {
                for endpoint in world.endpoints.list() {
                    let addr = endpoint.entry.addr;
                    world.endpoints.with_endpoint(addr, |it| it.silent = true);
                }
                let bytes = bytes_of(&world, path, rest);
                let goes_on = leave(&world, bytes, Millis(300), Millis(0)).await;
                for endpoint in world.endpoints.list() {
                    let addr = endpoint.entry.addr;
                    world.endpoints.with_endpoint(addr, |it| it.silent = false);
                }
                sleep(Millis::seconds(1)).await;
                assert!(!goes_on, "{path} goes on after {rest:?}");
            }
        }
    });
}
