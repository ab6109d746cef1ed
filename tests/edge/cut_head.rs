//! An endpoint stops at any byte of its answer's head, or right after it, and closes the connection.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use cornelwharf::core::roster::Roster;
use cornelwharf::edge::Edge;
use http::StatusCode;

use super::World;
use super::fake;
use super::run;

const BODY: &str = "data: whole\n\n";

/// Whether an answer states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    None,
}

/// Returns the head of an answer to a request.
fn head(request: &fake::Request, framing: Framing) -> String {
    let id = fake::text(request, "request-id");
    let framing = match framing {
        Framing::Length => format!("content-length: {}", BODY.len()),
        Framing::Chunks => "transfer-encoding: chunked".to_owned(),
        Framing::None => "media: none".to_owned(),
    };
    fake::head(Some(&id), &framing)
}

/// Has endpoints stop after the byte `at` of their heads; requests whose path ends in `warm` get a whole
/// answer, so that their connections are kept. Returns the length of the last head.
fn cut_heads(
    edges: &[Edge],
    targets: &[SocketAddr],
    framing: Framing,
    at: &Rc<Cell<usize>>,
) -> Rc<Cell<usize>> {
    let length = Rc::new(Cell::new(usize::MAX));
    let (state, at) = (Rc::clone(&length), Rc::clone(at));
    let handle = async move |target,
                             conn: &mut fake::Conn,
                             request: &fake::Request,
                             _: &mut fake::Memory| {
        if !fake::is_callers(request) {
            return fake::pass(target, conn, request).await;
        }
        if request.uri.path().ends_with("warm") {
            let id = fake::text(request, "request-id");
            let whole = fake::answer(request, Some(&id), "warm");
            return conn.writer.write_raw(whole.as_bytes()).await.is_ok();
        }
        let head = head(request, framing);
        state.set(head.len());
        let cut = at.get().min(head.len());
        let _ = conn.writer.write_raw(&head.as_bytes()[..cut]).await;
        false
    };
    fake::replace(edges, targets, handle);
    length
}

/// Plays each cut of the head for requests to `path`, with `is_kept` on used connections; no answer may be a
/// whole success.
async fn check(world: &World, path: &str, framing: Framing, is_kept: bool) {
    let at = Rc::new(Cell::new(0));
    let targets = [world.plain_endpoints(), world.first_engines()].concat();
    let length = cut_heads(&world.edges, &targets, framing, &at);
    let mut sent = 0;
    while at.get() <= length.get() {
        for edge in &world.edges {
            edge.roster(Roster::forget_failures);
        }
        if is_kept {
            let warm = path.replace("/a", "/warm");
            world.call(0, &warm, "red-key").await;
        }
        let answer = world.call(0, path, "red-key").await;
        let is_success = answer.status == StatusCode::OK && answer.whole;
        assert!(
            !is_success,
            "{path} {framing:?} {}: {}",
            at.get(),
            answer.body
        );
        sent += usize::from(answer.status != StatusCode::SERVICE_UNAVAILABLE);
        at.set(at.get() + 1);
    }
    assert!(sent * 2 > at.get(), "{sent} of {} were sent", at.get());
}

#[test]
fn a_plain_answer_whose_head_is_cut_is_not_a_success() {
    run(async |world: Rc<World>| {
        check(&world, "/post/a", Framing::Length, false).await;
    });
    run(async |world: Rc<World>| {
        check(&world, "/read/a", Framing::Chunks, true).await;
    });
}

#[test]
fn a_stream_whose_head_is_cut_is_not_a_success() {
    run(async |world: Rc<World>| {
        check(&world, "/fixed/a", Framing::Chunks, false).await;
    });
    run(async |world: Rc<World>| {
        check(&world, "/draft/a", Framing::None, true).await;
    });
}

#[test]
fn a_plain_answer_without_length_that_ends_after_its_head_is_not_a_success() {
    run(async |world: Rc<World>| {
        check(&world, "/post/a", Framing::None, false).await;
    });
}
