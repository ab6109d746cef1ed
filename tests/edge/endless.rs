//! Faulty endpoints send without an end: what the daemon keeps of that has a bound, and the callers of other
//! endpoints are served.

use std::net::SocketAddr;
use std::rc::Rc;

use cornelwharf::clock::Millis;
use http::StatusCode;

use super::World;
use super::fake;
use super::run;
use super::sleep;

/// What the daemon may keep: half of its memory, without the 13 MB that it takes in any case and what
/// incomplete requests may take, which is up to twice a twelfth of the memory.
const MOST: usize = 112_000_000 / 2 - 13_000_000 - 112_000_000 / 6;
const PIECE: usize = 64 * 1024;
/// The share of the requests to sound endpoints that are served (the users' bound).
const SERVED: f64 = 0.9;

/// What a faulty endpoint sends after its head.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// One chunk that is announced to be of 2 GiB.
    Chunk,
    /// Chunks of 64 KiB.
    Chunks,
    /// Bytes up to the close of the connection.
    UntilClose,
    /// Nearly the largest answer, then nothing.
    Stops,
}

/// Has an endpoint answer the callers' requests with a fault; `media` is that of its answers.
fn replace(world: &World, targets: &[SocketAddr], fault: Fault, media: &'static str) {
    let handle = async move |target,
                             conn: &mut fake::Conn,
                             request: &fake::Request,
                             _: &mut fake::Memory| {
        if !fake::is_callers(request) {
            return fake::pass(target, conn, request).await;
        }
        let id = fake::text(request, "request-id");
        let framing = match fault {
            Fault::Chunk | Fault::Chunks => "transfer-encoding: chunked",
            Fault::UntilClose => "media: none",
            Fault::Stops => "content-length: 4000000",
        };
        let head = fake::head(Some(&id), &format!("content-type: {media}\r\n{framing}"));
        if conn.writer.write_raw(head.as_bytes()).await.is_err() {
            return false;
        }
        if matches!(fault, Fault::Chunk) && conn.writer.write_raw(b"80000000\r\n").await.is_err() {
            return false;
        }
        let body = vec![b'x'; PIECE];
        let mut left = match fault {
            Fault::Stops => 59,
            _ => usize::MAX,
        };
        while left > 0 {
            left -= 1;
            let is_framed = matches!(fault, Fault::Chunks);
            let sent = if is_framed {
                let mut chunk = format!("{PIECE:x}\r\n").into_bytes();
                chunk.extend_from_slice(&body);
                chunk.extend_from_slice(b"\r\n");
                conn.writer.write_raw(&chunk).await
            } else {
                conn.writer.write_raw(&body).await
            };
            if sent.is_err() {
                return false;
            }
        }
        sleep(Millis::seconds(2)).await;
        false
    };
    fake::replace(&world.edges[..1], targets, handle);
}

/// Sends requests of `clients` callers at once for a while; returns the share that is answered.
async fn call(world: &Rc<World>, path: &'static str, clients: usize) -> f64 {
    let calls = (0..clients).map(|_| {
        let world = Rc::clone(world);
        monoio::spawn(async move { world.call(0, path, "red-key").await })
    });
    let calls: Vec<_> = calls.collect();
    let mut served = 0.0;
    for call in calls {
        served += f64::from(u8::from(call.await.status == StatusCode::OK));
    }
    served / clients as f64
}

async fn check_plain(world: Rc<World>, fault: Fault, clients: usize) {
    let faulty = world.plain_endpoints()[0];
    replace(&world, &[faulty], fault, "text/plain");
    let sound = monoio::spawn({
        let world = Rc::clone(&world);
        async move {
            sleep(Millis(300)).await;
            call(&world, "/draft/a", 10).await
        }
    });
    call(&world, "/read/a", clients).await;
    let served = sound.await;
    let peak = world.edges[0].pool().answers().peak();
    assert!(peak <= MOST, "{fault:?}: {peak} bytes kept");
    assert!(peak > 0, "{fault:?}: nothing was counted");
    assert!(served >= SERVED, "{fault:?}: {served} served");
}

#[test]
fn answers_of_one_chunk_without_an_end_fill_the_memory() {
    run(async |world: Rc<World>| check_plain(world, Fault::Chunk, 60).await);
}

#[test]
fn answers_of_chunks_without_an_end_fill_the_memory() {
    run(async |world: Rc<World>| check_plain(world, Fault::Chunks, 60).await);
}

#[test]
fn answers_up_to_a_close_that_never_comes_fill_the_memory() {
    run(async |world: Rc<World>| check_plain(world, Fault::UntilClose, 60).await);
}

#[test]
fn answers_that_stop_near_the_limit_fill_the_memory() {
    run(async |world: Rc<World>| check_plain(world, Fault::Stops, 60).await);
}

#[test]
fn streams_with_events_without_an_end_fill_the_memory() {
    run(async |world: Rc<World>| {
        let engines = world.first_engines();
        replace(&world, &engines, Fault::Chunk, "text/event-stream");
        call(&world, "/draft/a", 60).await;
        let peak = world.edges[0].pool().answers().peak();
        assert!(peak <= MOST, "{peak} bytes kept");
        let served = call(&world, "/read/a", 10).await;
        assert!(served >= SERVED, "{served} served");
    });
}
