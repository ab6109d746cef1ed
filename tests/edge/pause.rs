//! What an endpoint says of itself while a connection to it opens: the request that chose it before
//! goes elsewhere.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use cornelwharf::clock::Millis;
use cornelwharf::core::roster::Roster;
use cornelwharf::names::EndpointName;
use http::StatusCode;

use super::World;
use super::fake;
use super::run;
use super::sleep;

/// The pause that the endpoint asks for.
const PAUSE: Millis = Millis::seconds(3);

/// Calls `news` for the first endpoint to which the first daemon opens a connection, while it opens,
/// and returns that endpoint's address.
fn tell_while_connecting(
    world: &World,
    news: fn(&mut Roster, Millis, &EndpointName),
) -> Rc<Cell<Option<SocketAddr>>> {
    let told = Rc::new(Cell::new(None));
    let edge = world.edges[0].clone();
    for endpoint in world.endpoints.list() {
        edge.pool().clear(endpoint.entry.addr);
    }
    let state = Rc::clone(&told);
    world.edges[0].pool().set_resolver(move |addr| {
        let endpoint = edge.roster(|roster| roster.name_at(addr));
        if let Some(endpoint) = endpoint.filter(|_| state.get().is_none()) {
            state.set(Some(addr));
            edge.roster(|roster| news(roster, edge.now(), &endpoint));
        }
        addr
    });
    told
}

async fn check_avoided(world: Rc<World>, path: &str, news: fn(&mut Roster, Millis, &EndpointName)) {
    let told = tell_while_connecting(&world, news);
    let answer = world.call(0, path, "red-key").await;
    assert_eq!(answer.status, StatusCode::OK);
    let addr = told.get().expect("a new connection");
    assert_eq!(world.ran_at(addr), 0);
}

fn pause(roster: &mut Roster, now: Millis, endpoint: &EndpointName) {
    roster.record_pause(now, endpoint, PAUSE);
}

fn leave(roster: &mut Roster, now: Millis, endpoint: &EndpointName) {
    roster.record_leaving(now, endpoint);
}

#[test]
fn a_plain_endpoint_that_asks_for_a_pause_while_a_connection_opens_gets_nothing() {
    run(async |world: Rc<World>| check_avoided(world, "/post/1", pause).await);
}

#[test]
fn an_engine_that_asks_for_a_pause_while_a_connection_opens_gets_nothing() {
    run(async |world: Rc<World>| check_avoided(world, "/draft/1", pause).await);
}

#[test]
fn a_plain_endpoint_that_says_it_leaves_while_a_connection_opens_gets_nothing() {
    run(async |world: Rc<World>| check_avoided(world, "/post/1", leave).await);
}

#[test]
fn an_engine_that_says_it_leaves_while_a_connection_opens_gets_nothing() {
    run(async |world: Rc<World>| check_avoided(world, "/draft/1", leave).await);
}

#[test]
fn an_endpoint_that_asked_for_a_pause_is_not_asked_whether_it_crashed() {
    run(async |world: Rc<World>| {
        let asked = Rc::new(Cell::new(0));
        let (count, edge) = (Rc::clone(&asked), world.edges[0].clone());
        let handle = async move |target,
                                 conn: &mut fake::Conn,
                                 request: &fake::Request,
                                 _: &mut fake::Memory| {
            if !fake::is_callers(request) {
                count.set(count.get() + 1);
                return fake::pass(target, conn, request).await;
            }
            let endpoint = edge.roster(|roster| roster.name_at(target));
            let endpoint = endpoint.expect("a known endpoint");
            edge.roster(|roster| roster.record_pause(edge.now(), &endpoint, PAUSE));
            false
        };
        fake::replace(&world.edges[..1], &world.plain_endpoints(), handle);
        let answer = world.call(0, "/post/1", "red-key").await;
        assert_ne!(answer.status, StatusCode::OK);
        sleep(Millis(1500)).await;
        assert_eq!(asked.get(), 0, "requests during the pause");
    });
}
