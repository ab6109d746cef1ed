//! Streams that are slow but sound, and stalled ones that send a byte now and then.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use cornelwharf::clock::Millis;

use super::EVENTS;
use super::World;
use super::assert_stream;
use super::fake;
use super::run;
use super::sleep;

/// The events before a stream stalls.
const EVENTS_BEFORE: u64 = 3;
/// The pause between two pieces of a stalled stream.
const PIECE_INTERVAL: Millis = Millis(50);
/// The longest gap after which a caller stays, for the world's routes (docs/PLATFORM.md).
const CALLER_PATIENCE: Millis = Millis(2000);
/// The time limit of the world's routes.
const ROUTE_TIMEOUT: Millis = Millis::seconds(6);

/// Has streams whose first engine is `addr` stall and send `piece` again and again. If `is_dead`, the
/// engine answers no reports from then on.
fn stall(world: &Rc<World>, addr: SocketAddr, piece: &'static str, is_dead: bool) -> Rc<Cell<u32>> {
    let stalled = Rc::new(Cell::new(0));
    let count = Rc::clone(&stalled);
    let other = Rc::clone(world);
    let handle = async move |target,
                             conn: &mut fake::Conn,
                             request: &fake::Request,
                             _: &mut fake::Memory| {
        if !fake::is_callers(request) {
            if is_dead && count.get() > 0 {
                std::future::pending::<()>().await;
            }
            return fake::pass(target, conn, request).await;
        }
        count.set(count.get() + 1);
        let id = fake::text(request, "request-id");
        let mut sent = fake::head(Some(&id), "transfer-encoding: chunked");
        for event in 1..=EVENTS_BEFORE {
            sent += &fake::chunk(&format!("id: {event}\ndata: token {event}\n\n"));
        }
        other
            .endpoints
            .with_endpoint(target, |endpoint| endpoint.silent = is_dead);
        while conn.writer.write_raw(sent.as_bytes()).await.is_ok() {
            sleep(PIECE_INTERVAL).await;
            sent = fake::chunk(piece);
        }
        false
    };
    fake::replace(&world.edges[..1], &[addr], handle);
    stalled
}

/// Sends streams until one meets the stalled engine; returns it and how long it took.
async fn meet(world: &World, stalled: &Cell<u32>) -> (super::Answer, Millis) {
    let edge = &world.edges[0];
    for _ in 0..40 {
        let start = edge.now();
        let answer = world.call(0, "/draft/1", "red-key").await;
        if stalled.get() > 0 {
            return (answer, edge.now().since(start));
        }
    }
    panic!("no stream met the engine");
}

async fn check_moves(world: Rc<World>, piece: &'static str) {
    let stalled = stall(&world, world.used_engine().await, piece, true);
    let (mut answer, span) = meet(&world, &stalled).await;
    answer.body = answer.body.replace(piece, "");
    assert_stream(&answer);
    let usual = Millis(10 * EVENTS * 2);
    assert!(span < CALLER_PATIENCE + usual, "{} ms", span.0);
}

#[test]
fn a_stream_whose_dead_engine_still_sends_comments_goes_on_elsewhere() {
    run(async |world: Rc<World>| check_moves(world, ":\n\n").await);
}

#[test]
fn a_stream_whose_dead_engine_still_sends_bytes_goes_on_elsewhere() {
    run(async |world: Rc<World>| check_moves(world, "x").await);
}

#[test]
fn a_stalled_stream_that_sends_bytes_ends_at_its_time_limit() {
    run(async |world: Rc<World>| {
        let stalled = stall(&world, world.used_engine().await, "x", false);
        let (answer, span) = meet(&world, &stalled).await;
        if answer.whole {
            return assert_stream(&answer);
        }
        assert!(span < ROUTE_TIMEOUT + Millis(500), "{} ms", span.0);
    });
}

#[test]
fn a_slow_stream_that_is_sound_is_neither_cut_nor_run_again() {
    /// Far over the pause that the route allows, and under what callers wait.
    const INTERVAL: Millis = Millis(1200);
    const SLOW_EVENTS: u64 = 4;
    run(async |world: Rc<World>| {
        let runs = Rc::new(Cell::new(0));
        let count = Rc::clone(&runs);
        let handle = async move |target,
                                 conn: &mut fake::Conn,
                                 request: &fake::Request,
                                 _: &mut fake::Memory| {
            if !fake::is_callers(request) {
                return fake::pass(target, conn, request).await;
            }
            count.set(count.get() + 1);
            let id = fake::text(request, "request-id");
            let mut sent = fake::head(Some(&id), "transfer-encoding: chunked");
            for event in 1..=SLOW_EVENTS {
                if conn.writer.write_raw(sent.as_bytes()).await.is_err() {
                    return false;
                }
                sleep(INTERVAL).await;
                sent = fake::chunk(&format!("id: {event}\ndata: token {event}\n\n"));
            }
            sent += "0\r\n\r\n";
            conn.writer.write_raw(sent.as_bytes()).await.is_ok()
        };
        fake::replace(&world.edges[..1], &world.first_engines(), handle);
        let answer = world.call(0, "/draft/1", "red-key").await;
        let events = answer.body.matches("data: token").count() as u64;
        assert_eq!((answer.whole, events, runs.get()), (true, SLOW_EVENTS, 1));
    });
}
