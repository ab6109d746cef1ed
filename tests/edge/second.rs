//! An endpoint sends a second copy of an answer on a connection on which the next request has been
//! sent.

use std::cell::Cell;
use std::rc::Rc;

use http::StatusCode;

use super::World;
use super::assert_stream;
use super::fake;
use super::run;

/// The requests that are sent one after the other.
const CALLS: usize = 12;
/// The word in the second copies.
const STRAY: &str = "stray";

/// Has the first daemon's endpoints send each answer again ahead of the next one, with or without
/// its request's id; returns how many copies were sent.
fn send_twice(world: &World, has_id: bool) -> Rc<Cell<usize>> {
    let copies = Rc::new(Cell::new(0));
    let sent = Rc::clone(&copies);
    let targets: Vec<_> = world.plain_endpoints();
    let targets = [targets, world.first_engines()].concat();
    let handle = async move |target,
                             conn: &mut fake::Conn,
                             request: &fake::Request,
                             last: &mut fake::Memory| {
        if let Some(copy) = last.take() {
            sent.set(sent.get() + 1);
            if conn.writer.write_raw(copy.as_bytes()).await.is_err() {
                return false;
            }
        }
        if !fake::is_callers(request) {
            return fake::pass(target, conn, request).await;
        }
        let id = fake::text(request, "request-id");
        let word = if request.headers.contains_key("path") {
            "token"
        } else {
            &id
        };
        *last = Some(fake::answer(request, has_id.then_some(&id), STRAY));
        let own = fake::answer(request, Some(&id), word);
        conn.writer.write_raw(own.as_bytes()).await.is_ok()
    };
    fake::replace(&world.edges[..1], &targets, handle);
    copies
}

async fn check_own_answers(world: Rc<World>, path: &str, has_id: bool) {
    let copies = send_twice(&world, has_id);
    for _ in 0..CALLS {
        let request = world.request(path, "red-key");
        let id = fake::text(&request, "request-id");
        let answer = world.send(world.fronts[0], request).await;
        assert!(!answer.body.contains(STRAY), "{}", answer.body);
        if has_id {
            assert_eq!(
                answer.status,
                StatusCode::OK,
                "an answer that names its request is found"
            );
        }
        if answer.status == StatusCode::OK && !path.starts_with("/read/") {
            assert_stream(&answer);
        } else if answer.status == StatusCode::OK {
            assert_eq!(answer.body, id);
        }
    }
    assert!(copies.get() > 0, "no connection was used again");
}

#[test]
fn a_second_answer_with_its_id_does_not_reach_the_next_caller() {
    run(async |world: Rc<World>| check_own_answers(world, "/read/a", true).await);
}

#[test]
fn a_second_answer_without_an_id_does_not_reach_the_next_caller() {
    run(async |world: Rc<World>| check_own_answers(world, "/read/a", false).await);
}

#[test]
fn a_second_stream_with_its_id_does_not_reach_the_next_caller() {
    run(async |world: Rc<World>| check_own_answers(world, "/draft/a", true).await);
}

#[test]
fn a_second_stream_without_an_id_does_not_reach_the_next_caller() {
    run(async |world: Rc<World>| check_own_answers(world, "/draft/a", false).await);
}

#[test]
fn a_second_stream_costs_a_stream_that_may_not_repeat_nothing() {
    run(async |world: Rc<World>| check_own_answers(world, "/fixed/a", true).await);
}
