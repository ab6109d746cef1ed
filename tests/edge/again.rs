//! An endpoint sends an earlier refusal once more on a kept connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use cornelwharf::clock::Millis;
use http::StatusCode;

use super::World;
use super::fake;
use super::run;
use super::sleep;

/// How long a caller waits before it sends its request again. An engine that refused one is avoided for a
/// while, and its connections are kept for longer.
const PAUSE: Millis = Millis(700);

/// Has each endpoint refuse its first request, and repeat that refusal on its connection ahead of the next
/// answer there; returns how many requests ran.
fn refuse_twice(world: &World) -> Rc<Cell<usize>> {
    let runs = Rc::new(Cell::new(0));
    let count = Rc::clone(&runs);
    let targets = [world.plain_endpoints(), world.first_engines()].concat();
    let left = RefCell::new(targets.clone());
    let handle = async move |target,
                             conn: &mut fake::Conn,
                             request: &fake::Request,
                             last: &mut fake::Memory| {
        if !fake::is_callers(request) {
            return fake::pass(target, conn, request).await;
        }
        let id = fake::text(request, "request-id");
        let first = left.borrow().iter().position(|it| *it == target);
        let reply = if let Some(at) = first {
            left.borrow_mut().remove(at);
            *last = Some(fake::refusal(Some(&id)));
            fake::refusal(Some(&id))
        } else {
            count.set(count.get() + 1);
            last.take().unwrap_or_default() + &fake::answer(request, Some(&id), "token")
        };
        conn.writer.write_raw(reply.as_bytes()).await.is_ok()
    };
    fake::replace(&world.edges, &targets, handle);
    runs
}

/// Sends the same attempt of a caller again and again, with an id that is new or always the same.
async fn check_refusals(world: Rc<World>, path: &str, has_new_id: bool) {
    let runs = refuse_twice(&world);
    let mut request = world.request(path, "red-key");
    for turn in 0..6 {
        if has_new_id {
            request = world.request(path, "red-key");
        }
        let before = runs.get();
        let answer = world.send(world.fronts[0], request.clone()).await;
        let ran = runs.get() - before;
        assert!(ran <= 1, "turn {turn} ran {ran} times");
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            assert_eq!(ran, 0, "turn {turn} ran and is called unrun");
        }
        sleep(PAUSE).await;
    }
    assert!(runs.get() > 0, "none ran");
}

/// A second copy of a refusal passed for the answer to the same request sent again.
#[test]
fn a_repeated_refusal_of_a_plain_request_is_not_the_answer_to_the_same_one() {
    run(async |world: Rc<World>| check_refusals(world, "/read/a", false).await);
}

#[test]
fn a_repeated_refusal_of_a_plain_request_is_not_the_answer_to_another() {
    run(async |world: Rc<World>| check_refusals(world, "/read/a", true).await);
}

#[test]
fn a_repeated_refusal_is_not_the_answer_to_a_request_that_runs_once() {
    run(async |world: Rc<World>| check_refusals(world, "/post/a", false).await);
}

#[test]
fn a_repeated_refusal_is_not_the_answer_to_a_stream() {
    run(async |world: Rc<World>| check_refusals(world, "/fixed/a", false).await);
}

/// The answer to an order names none, so an earlier answer passed for it.
#[test]
fn an_order_goes_over_a_connection_without_earlier_answers() {
    run(async |world: Rc<World>| {
        let addr = world.first_engines()[0];
        let orders = Rc::new(Cell::new((0, 0)));
        let count = Rc::clone(&orders);
        let handle = async move |target,
                                 conn: &mut fake::Conn,
                                 request: &fake::Request,
                                 last: &mut fake::Memory| {
            if request.uri.path() == "/order" {
                let (all, unsafe_ones) = count.get();
                count.set((all + 1, unsafe_ones + usize::from(last.is_some())));
            }
            *last = Some(String::new());
            fake::pass(target, conn, request).await
        };
        fake::replace(&world.edges, &[addr], handle);
        world.endpoints.crash(addr);
        sleep(Millis::seconds(6)).await;
        let (all, unsafe_ones) = orders.get();
        assert!(all > 0, "no order was sent");
        assert_eq!(unsafe_ones, 0, "of {all}");
    });
}

#[test]
fn an_order_reaches_another_engine_that_has_the_address_of_one_that_is_gone() {
    run(async |world: Rc<World>| {
        let addr = world.first_engines()[0];
        let orders = Rc::new(Cell::new((0, 0)));
        let (count, seen) = (Rc::clone(&orders), Rc::clone(&world));
        let handle = async move |target,
                                 conn: &mut fake::Conn,
                                 request: &fake::Request,
                                 _: &mut fake::Memory| {
            if request.uri.path() == "/order" {
                let (all, unnamed) = count.get();
                let meant = request.headers.get("endpoint").cloned();
                let name = seen
                    .endpoints
                    .with_endpoint(addr, |it| it.entry.endpoint.to_string());
                let is_named = meant.is_some_and(|meant| name.is_some_and(|name| meant == *name));
                count.set((all + 1, unnamed + usize::from(!is_named)));
            }
            fake::pass(target, conn, request).await
        };
        fake::replace(&world.edges, &[addr], handle);
        world.endpoints.crash(addr);
        sleep(Millis::seconds(6)).await;
        let (all, unnamed) = orders.get();
        assert!(all > 0, "no order was sent");
        assert_eq!(unnamed, 0, "orders without the engine's name, of {all}");
    });
}
