//! Endpoints run requests and orders, and their answers are lost.

use std::cell::Cell;
use std::rc::Rc;

use cornelwharf::clock::Millis;
use cornelwharf::edge::Edge;
use http::StatusCode;

use super::Answer;
use super::World;
use super::fake;
use super::run;
use super::sleep;

/// How much of an answer arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    All,
    /// The head and the first event of a stream arrive.
    End,
}

/// Has the endpoints lose their answers to these daemons; returns how many requests ran.
fn lose_answers(world: &World, edges: &[Edge], loss: Loss) -> Rc<Cell<usize>> {
    let runs = Rc::new(Cell::new(0));
    let count = Rc::clone(&runs);
    let targets = [world.plain_endpoints(), world.first_engines()].concat();
    let handle = async move |target,
                             conn: &mut fake::Conn,
                             request: &fake::Request,
                             _: &mut fake::Memory| {
        if !fake::is_callers(request) {
            return fake::pass(target, conn, request).await;
        }
        count.set(count.get() + 1);
        let id = fake::text(request, "request-id");
        let begun = fake::head(Some(&id), "transfer-encoding: chunked")
            + &fake::chunk("id: 1\ndata: token 1\n\n");
        if loss == Loss::End {
            conn.writer.write_raw(begun.as_bytes()).await.expect("sent");
            sleep(Millis(100)).await;
        }
        false
    };
    fake::replace(edges, &targets, handle);
    runs
}

/// Checks that the caller of work that ran once is told neither that it did not run nor that it is
/// complete.
fn assert_unknown(answer: &Answer, runs: usize) {
    assert_eq!(runs, 1, "runs");
    assert_eq!(answer.retry_after, None, "what ran is not refused");
    assert_ne!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.status != StatusCode::OK || !answer.whole);
}

async fn check_lost(world: Rc<World>, path: &str, loss: Loss) {
    let runs = lose_answers(&world, &world.edges[..1], loss);
    let answer = world.call(0, path, "red-key").await;
    assert_unknown(&answer, runs.get());
}

#[test]
fn a_plain_request_whose_answer_is_lost_runs_once_and_is_not_called_unrun() {
    run(async |world: Rc<World>| check_lost(world, "/post/a", Loss::All).await);
}

#[test]
fn a_stream_whose_head_is_lost_runs_once_and_is_not_called_unrun() {
    run(async |world: Rc<World>| check_lost(world, "/fixed/a", Loss::All).await);
}

#[test]
fn a_stream_whose_end_is_lost_runs_once_and_is_not_called_whole() {
    run(async |world: Rc<World>| check_lost(world, "/fixed/a", Loss::End).await);
}

#[test]
fn a_repeatable_request_whose_answers_are_lost_is_not_called_unrun() {
    run(async |world: Rc<World>| {
        let runs = lose_answers(&world, &world.edges[..1], Loss::All);
        let answer = world.call(0, "/read/a", "red-key").await;
        assert!(runs.get() <= 2, "the route's attempts");
        assert_unknown(&answer, runs.get().min(1));
    });
}

/// Checks requests that another VM serves, whose endpoints lose the answers.
async fn check_detour(world: Rc<World>, path: &str, loss: Loss) {
    let runs = lose_answers(&world, &world.edges[1..], loss);
    // Nothing listens at the higher ports.
    let cut: Vec<_> = world.endpoints.list();
    let pool = world.edges[0].pool();
    pool.set_resolver(move |mut addr| {
        if cut.iter().any(|endpoint| endpoint.entry.addr == addr) {
            addr.set_port(addr.port() + 20_000);
        }
        addr
    });
    for endpoint in world.endpoints.list() {
        pool.clear(endpoint.entry.addr);
    }
    sleep(super::CONTACT_SPAN).await;
    let answer = world.call(0, path, "red-key").await;
    assert_unknown(&answer, runs.get());
}

#[test]
fn a_detoured_request_whose_answer_is_lost_runs_once_and_is_not_called_unrun() {
    run(async |world: Rc<World>| check_detour(world, "/post/a", Loss::All).await);
}

#[test]
fn a_detoured_stream_whose_head_is_lost_runs_once_and_is_not_called_unrun() {
    run(async |world: Rc<World>| check_detour(world, "/fixed/a", Loss::All).await);
}

#[test]
fn a_detoured_stream_whose_end_is_lost_runs_once_and_is_not_called_whole() {
    run(async |world: Rc<World>| check_detour(world, "/fixed/a", Loss::End).await);
}

#[test]
fn an_order_whose_answer_is_lost_is_carried_out_once() {
    run(async |world: Rc<World>| {
        let addr = world.first_engines()[0];
        let orders = Rc::new(Cell::new(0));
        let count = Rc::clone(&orders);
        let handle = async move |target,
                                 conn: &mut fake::Conn,
                                 request: &fake::Request,
                                 _: &mut fake::Memory| {
            if request.uri.path() != "/order" {
                return fake::pass(target, conn, request).await;
            }
            count.set(count.get() + 1);
            let mut upstream = fake::Conn::dial(target).await.expect("an engine");
            let done = upstream.call(request, Millis::seconds(1)).await;
            done.expect("an answer");
            false
        };
        fake::replace(&world.edges, &[addr], handle);
        world.endpoints.crash(addr);
        sleep(Millis::seconds(6)).await;
        let (accepted, span) = world
            .endpoints
            .with_endpoint(addr, |endpoint| (endpoint.orders, endpoint.entry.span))
            .expect("an engine");
        assert!(orders.get() > 0, "no order was sent");
        assert_eq!(accepted, 1, "orders that the engine carried out");
        assert!(span.is_some());
        world.check_streams().await;
    });
}
