//! A daemon starts again while the store is away or has come back older, after an endpoint has left
//! and a key was withdrawn.

use std::net::SocketAddr;
use std::rc::Rc;

use cornelwharf::clock::Clock;
use cornelwharf::clock::Millis;
use cornelwharf::edge;
use cornelwharf::edge::Edge;
use cornelwharf::edge::settings::Settings;
use cornelwharf::standin::fleet::dialect;
use http::StatusCode;

use super::APPLY_BOUND;
use super::World;
use super::run;
use super::settings;
use super::sleep;

/// How the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreFault {
    Away,
    Older,
}

/// Starts a daemon that knows the first one's address from its settings, with the same peer port.
fn start_daemon(world: &World) -> SocketAddr {
    let known = world.edges[0].settings().peer;
    let SocketAddr::V4(v4) = known else {
        panic!("an IPv4 address");
    };
    let [a, b, c, d] = v4.ip().octets();
    let mut vm: Vec<SocketAddr> = world.spare.clone();
    vm[4] = SocketAddr::from(([a, b ^ 0x40, c, d], known.port()));
    let text = settings(3, &vm, world.store_addr, &known.to_string());
    let settings = Settings::parse(&text).expect("settings");
    let edge = Edge::new(settings, dialect(), Clock::start(), 77);
    edge::start(&edge).expect("a daemon");
    vm[0]
}

async fn check_restart(world: Rc<World>, fault: StoreFault) {
    let ends = [
        ("endpoints", world.store.end("endpoints") as usize),
        ("operator", world.store.end("operator") as usize),
    ];
    let left = world.plain_endpoints()[0];
    let leave = |endpoint: &mut super::Endpoint| endpoint.entry.leaving = true;
    world.endpoints.with_endpoint(left, leave);
    world.configure(&["blue"], "/post/");
    sleep(APPLY_BOUND).await;
    let before = world.ran_at(left);
    match fault {
        StoreFault::Away => world.store.set_silent(true),
        StoreFault::Older => world.store.fall(&ends),
    }
    let front = start_daemon(&world);
    let mut served = 0;
    for _ in 0..40 {
        let old = world.call_at(front, "/post/a", "red-key").await;
        assert_ne!(old.status, StatusCode::OK, "the key was withdrawn");
        let new = world.call_at(front, "/post/a", "blue-key").await;
        served += usize::from(new.status == StatusCode::OK);
        assert_eq!(world.ran_at(left), before, "the endpoint has left");
        sleep(Millis(50)).await;
    }
    assert!(served >= 30, "{served} of 40 served");
}

#[test]
fn a_daemon_that_starts_while_the_store_is_away_uses_nothing_that_was_withdrawn() {
    run(async |world: Rc<World>| check_restart(world, StoreFault::Away).await);
}

#[test]
fn a_daemon_that_starts_beside_an_older_store_uses_nothing_that_was_withdrawn() {
    run(async |world: Rc<World>| check_restart(world, StoreFault::Older).await);
}
