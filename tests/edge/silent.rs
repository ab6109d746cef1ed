//! Endpoints and daemons that are silent for seconds while work runs on them.

use std::cell::Cell;
use std::rc::Rc;

use cornelwharf::clock::Millis;
use http::StatusCode;

use super::World;
use super::assert_stream;
use super::fake;
use super::fleet::Daemon;
use super::run;
use super::settings;
use super::sleep;

/// The silence; a request may take 6 s.
const SILENCE: Millis = Millis::seconds(4);

#[test]
fn a_plain_request_at_an_endpoint_that_is_silent_for_seconds_is_neither_given_up_nor_repeated() {
    run(async |world: Rc<World>| {
        let runs = Rc::new(Cell::new(0));
        let count = Rc::clone(&runs);
        let handle = async move |target,
                                 conn: &mut fake::Conn,
                                 request: &fake::Request,
                                 _: &mut fake::Memory| {
            if fake::is_callers(request) {
                count.set(count.get() + 1);
            }
            sleep(SILENCE).await;
            fake::pass(target, conn, request).await
        };
        fake::replace(&world.edges, &world.plain_endpoints(), handle);
        let answer = world.call(0, "/post/a", "red-key").await;
        assert_eq!((answer.status, runs.get()), (StatusCode::OK, 1));
    });
}

#[test]
fn a_stream_that_may_not_repeat_waits_for_an_engine_that_is_silent_for_seconds() {
    run(async |world: Rc<World>| {
        let first = world.first_engines();
        let other = Rc::clone(&world);
        let switch = monoio::spawn(async move {
            for silent in [true, false] {
                sleep(Millis(150)).await;
                for addr in &first {
                    let set = |endpoint: &mut super::Endpoint| endpoint.silent = silent;
                    other.endpoints.with_endpoint(*addr, set);
                }
                // The stand-ins end a stream that stalls for 2.5 s.
                sleep(Millis(2300)).await;
            }
        });
        let before = world.run_count();
        let answer = world.call(0, "/fixed/1", "red-key").await;
        assert_stream(&answer);
        assert_eq!(world.run_count(), before + 1);
        switch.await;
    });
}

/// Checks a request that a daemon without a link to any endpoint has another one serve, which is
/// paused for seconds while the request runs.
async fn check_paused_server(world: Rc<World>, path: &'static str) {
    let daemon = Daemon::start(&settings(3, &world.spare, world.store_addr, ""));
    sleep(super::CONTACT_SPAN + Millis::seconds(2)).await;
    let cut: Vec<_> = world.endpoints.list();
    for edge in &world.edges {
        let cut = cut.clone();
        edge.pool().set_resolver(move |mut addr| {
            if cut.iter().any(|endpoint| endpoint.entry.addr == addr) {
                addr.set_port(addr.port() + 20_000);
            }
            addr
        });
        for endpoint in world.endpoints.list() {
            edge.pool().clear(endpoint.entry.addr);
        }
    }
    let mut tries = 0;
    while world.call(0, "/post/a", "red-key").await.status != StatusCode::OK {
        tries += 1;
        assert!(tries < 40, "no other VM serves the request");
        sleep(Millis(200)).await;
    }
    let before = world.run_count();
    let other = Rc::clone(&world);
    let call = monoio::spawn(async move { other.call(0, path, "red-key").await });
    for _ in 0..200 {
        sleep(Millis(2)).await;
        if world.run_count() > before {
            break;
        }
    }
    assert_eq!(
        world.run_count(),
        before + 1,
        "it runs by way of the other VM"
    );
    daemon.signal("STOP");
    sleep(SILENCE).await;
    daemon.signal("CONT");
    let answer = call.await;
    assert_stream(&answer);
    assert_eq!(world.run_count(), before + 1);
}

#[test]
fn a_stream_that_may_not_repeat_waits_for_a_vm_that_is_paused_for_seconds() {
    run(async |world: Rc<World>| check_paused_server(world, "/fixed/1").await);
}
