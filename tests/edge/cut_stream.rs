//! A stream has begun and breaks off, and the next engine does not go on with it.

use std::cell::Cell;
use std::rc::Rc;

use cornelwharf::clock::Millis;

use super::World;
use super::fake;
use super::run;
use super::sleep;

/// What the callers have got when the stream breaks off: whole events, of which the last is followed by
/// half of the next one.
const BEGUN: &str = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n";

/// Returns the answer that an engine gives instead of the rest of the stream.
fn odd_answer(kind: &str, id: &str) -> String {
    let signed = format!("signature: s\r\nrequest-id: {id}\r\n");
    let events = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let (status, rest) = match kind {
        "error" => (
            "500 Failed",
            signed + "content-length: 9\r\n\r\nno room\n\n",
        ),
        "unframed error" => ("500 Failed", signed + "\r\ndata: failed\n\n"),
        "refusal" => (
            "503 Busy",
            signed + "not-run: 1\r\ncontent-length: 6\r\n\r\nbusy\n\n",
        ),
        "json" => {
            let head = "content-type: application/json\r\ncontent-length: 14\r\n\r\n";
            ("200 OK", signed + head + "error: failed\n")
        }
        "field" => {
            let head = "content-type: text/plain\r\ncontent-length: 15\r\n\r\n";
            ("200 OK", signed + head + "error: failed\n\n")
        }
        "unsigned" => (
            "200 OK",
            events.to_owned() + &fake::chunk("id: 4\ndata: token 4\n\n") + "0\r\n\r\n",
        ),
        "empty" => ("200 OK", signed + "content-length: 0\r\n\r\n"),
        "no content" => ("204 No Content", signed + "\r\n"),
        "gap" => {
            let rest = fake::chunk("id: 6\ndata: token 6\n\n") + "0\r\n\r\n";
            ("200 OK", signed + events + &rest)
        }
        "head" => {
            // Half an event, then the head of another answer within the same body.
            let rest = "id: 4\ndata: tokHTTP/1.1 503 Busy\r\nRetry-After: 1\r\n\r\n";
            ("200 OK", signed + events + &fake::chunk(rest) + "0\r\n\r\n")
        }
        _ => panic!("no such answer: {kind}"),
    };
    format!("HTTP/1.1 {status}\r\n{rest}")
}

/// Has engines break a stream off within its fourth event, and answer whoever goes on as `kind` says.
fn break_streams(world: &World, kind: &'static str) {
    let handle = async move |target,
                             conn: &mut fake::Conn,
                             request: &fake::Request,
                             _: &mut fake::Memory| {
        if !fake::is_callers(request) {
            return fake::pass(target, conn, request).await;
        }
        let id = fake::text(request, "request-id");
        let reply = if request.headers.contains_key("last-event-id") {
            odd_answer(kind, &id)
        } else {
            let framing = "content-type: text/event-stream\r\ntransfer-encoding: chunked";
            fake::head(Some(&id), framing) + &fake::chunk(BEGUN) + &fake::chunk("id: 4\ndata: tok")
        };
        let _ = conn.writer.write_raw(reply.as_bytes()).await;
        sleep(Millis(20)).await;
        false
    };
    fake::replace(&world.edges, &world.first_engines(), handle);
}

async fn check_kind(world: &World, kind: &'static str) {
    let answer = world.call(0, "/long/a", "red-key").await;
    assert!(!answer.whole, "{kind}: {}", answer.body);
    assert_eq!(answer.body, BEGUN, "{kind}");
}

async fn check_kinds(kinds: &[&'static str]) {
    for kind in kinds {
        let world = World::start().await;
        break_streams(&world, kind);
        check_kind(&world, kind).await;
    }
}

fn run_kinds(kinds: &'static [&'static str]) {
    cornelwharf::io::runtime::run(check_kinds(kinds)).expect("a loop");
}

#[test]
fn a_failure_after_a_stream_began_is_not_passed_on() {
    run_kinds(&["error", "unframed error", "refusal", "unsigned"]);
}

/// An answer of one piece, or of none, was relayed as the rest of the stream.
#[test]
fn a_success_that_is_no_stream_does_not_end_a_stream_that_began() {
    run_kinds(&["json", "field", "empty", "no content"]);
}

/// The head of another answer passed for a part of an event.
#[test]
fn a_head_after_half_an_event_is_not_passed_on() {
    run_kinds(&["head"]);
}

/// Events were left out where another engine went on.
#[test]
fn events_that_do_not_follow_the_last_one_are_not_passed_on() {
    run_kinds(&["gap"]);
}

/// Checks a stream that another VM is asked to go on with, as this one reaches no endpoint any more.
async fn check_detour(world: Rc<World>, kind: &'static str) {
    break_streams(&world, kind);
    let shift = Rc::new(Cell::new(10_000));
    let state = Rc::clone(&shift);
    let pool = world.edges[0].pool();
    let cut: Vec<_> = world.endpoints.list();
    let cut: Vec<_> = cut.iter().map(|endpoint| endpoint.entry.addr).collect();
    let first = world.first_engines();
    // The stand-in of a first engine listens there, and nothing 10,000 ports higher.
    pool.set_resolver(move |mut addr| {
        if first.contains(&addr) {
            addr.set_port(addr.port() + state.get());
        } else if cut.contains(&addr) && state.get() > 10_000 {
            addr.set_port(addr.port() + 20_000);
        }
        addr
    });
    let other = Rc::clone(&world);
    let switch = async {
        while other.edges[0].open_requests() == 0 {
            sleep(Millis(1)).await;
        }
        shift.set(20_000);
    };
    let (answer, ()) = monoio::join!(world.call(0, "/long/a", "red-key"), switch);
    assert!(!answer.whole, "{kind}: {}", answer.body);
    assert!(BEGUN.starts_with(&answer.body), "{kind}: {}", answer.body);
}

#[test]
fn a_failure_of_another_vm_after_a_stream_began_is_not_passed_on() {
    run(async |world: Rc<World>| check_detour(world, "error").await);
}

#[test]
fn a_success_of_another_vm_that_is_no_stream_does_not_end_a_stream_that_began() {
    run(async |world: Rc<World>| check_detour(world, "field").await);
    run(async |world: Rc<World>| check_detour(world, "empty").await);
}
