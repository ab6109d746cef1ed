//! Records of the store and reports of engines that make no sense.

use std::cell::Cell;
use std::rc::Rc;

use cornelwharf::clock::Millis;
use cornelwharf::core::pipe::Span;
use cornelwharf::core::roster::Entry;
use cornelwharf::io::listen;
use http::StatusCode;

use super::World;
use super::assert_stream;
use super::fake;
use super::run;
use super::sleep;
use super::unused_addrs;

/// How long the daemons take to read the store, with some to spare.
const READ_SPAN: Millis = Millis(1500);
/// The events before an engine falls silent for a while.
const FIRST_EVENTS: u64 = 3;

fn put_odd_entries(world: &World) {
    let deep = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    for (key, value) in [
        ("deep", deep.as_str()),
        ("large", "{\"endpoint\":\"large\",\"born\":1e400}"),
        ("bytes", "\u{1}\u{2}"),
        ("list", "[]"),
    ] {
        world.store.put("endpoints", key, value.as_bytes());
    }
}

/// An entry that could not be read ended the process or the reading of the entries after it.
#[test]
fn entries_that_cannot_be_read_cost_no_other_one() {
    run(async |world: Rc<World>| {
        put_odd_entries(&world);
        world.configure(&["red", "blue"], "/post/");
        let leaving = world.plain_endpoints()[0];
        world
            .endpoints
            .with_endpoint(leaving, |endpoint| endpoint.entry.leaving = true);
        sleep(READ_SPAN).await;
        put_odd_entries(&world);
        let before = world.ran_at(leaving);
        for vm in 0..3 {
            let answer = world.call(vm, "/post/a", "blue-key").await;
            assert_eq!(answer.status, StatusCode::OK, "a later entry is read");
        }
        assert_eq!(world.ran_at(leaving), before, "it has left");
        world.check_streams().await;
    });
}

/// An engine with layers that the model does not have was chosen for streams.
#[test]
fn an_engine_with_layers_beyond_the_model_gets_no_streams() {
    run(async |world: Rc<World>| {
        let addrs = unused_addrs(3);
        let spans = [(90, 200), (0, u32::MAX), (7, u32::MAX)];
        let arrivals = Rc::new(Cell::new(0));
        for (index, (from, to)) in spans.into_iter().enumerate() {
            let count = Rc::clone(&arrivals);
            let serve = move |_, _| {
                count.set(count.get() + 1);
                async {}
            };
            let listener = listen::bind(addrs[index]).expect("a listener");
            monoio::spawn(listen::accept(listener, serve, || 0));
            let name = format!("odd{index}");
            let entry = Entry {
                endpoint: name.as_str().into(),
                born: 1,
                service: "pool".into(),
                addr: addrs[index],
                domain: if index == 0 { "north" } else { "south" }.into(),
                leaving: false,
                slots: u32::MAX,
                kind: Some("card".into()),
                span: Some(Span { from, to }),
            };
            let bytes = serde_json::to_vec(&entry).expect("json");
            world.store.put("endpoints", &name, &bytes);
        }
        sleep(READ_SPAN).await;
        world.check_streams().await;
        world.endpoints.crash(world.later_engine());
        sleep(READ_SPAN).await;
        world.wait_for_placement().await;
        world.check_streams().await;
        assert_eq!(
            arrivals.get(),
            0,
            "connections to engines that make no sense"
        );
    });
}

/// What an engine answers instead of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OddReport {
    /// JSON of another form.
    Unreadable,
    /// An earlier refusal once more ahead of the report, with its request's id.
    Refusal,
    /// The same without an id.
    UnnamedRefusal,
}

/// Has the first engines of paths fall silent within a stream for a while and answer reports oddly, and
/// checks that no VM takes them for down.
async fn check_report(world: Rc<World>, kind: OddReport) {
    let targets = world.first_engines();
    let handle = async move |target,
                             conn: &mut fake::Conn,
                             request: &fake::Request,
                             last: &mut fake::Memory| {
        let id = fake::text(request, "request-id");
        if request.uri.path() == "/report" {
            let copy = match (kind, last.take()) {
                (OddReport::Unreadable, _) => {
                    let odd = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"orders\":{}";
                    return conn.writer.write_raw(odd.as_bytes()).await.is_ok();
                }
                (OddReport::Refusal, Some(id)) => fake::refusal(Some(&id)),
                (OddReport::UnnamedRefusal, Some(_)) => fake::refusal(None),
                (_, None) => String::new(),
            };
            let written = conn.writer.write_raw(copy.as_bytes()).await;
            return written.is_ok() && fake::pass(target, conn, request).await;
        }
        if !fake::is_callers(request) {
            return fake::pass(target, conn, request).await;
        }
        *last = Some(id.clone());
        let whole = fake::answer(request, Some(&id), "token");
        let cut = whole.match_indices("id: ").nth(FIRST_EVENTS as usize);
        let (begin, end) = whole.split_at(cut.map_or(whole.len(), |(at, _)| at - 4));
        let sent = conn.writer.write_raw(begin.as_bytes()).await;
        if request.uri.path() == "/fixed/slow" {
            sleep(Millis(1500)).await;
        }
        sent.is_ok() && conn.writer.write_raw(end.as_bytes()).await.is_ok()
    };
    fake::replace(&world.edges[..1], &targets, handle);
    for path in ["/fixed/fast", "/fixed/slow", "/fixed/slow", "/fixed/slow"] {
        let is_over = Cell::new(false);
        let watch = async {
            while !is_over.get() {
                for endpoint in world.endpoints.list() {
                    let name = &endpoint.entry.endpoint;
                    let is_down = world.edges[0].roster(|roster| roster.is_down(name));
                    assert!(!is_down, "{name} answers");
                }
                sleep(Millis(10)).await;
            }
        };
        let call = async {
            let answer = world.call(0, path, "red-key").await;
            is_over.set(true);
            answer
        };
        let (answer, ()) = monoio::join!(call, watch);
        assert_stream(&answer);
    }
}

#[test]
fn an_engine_whose_report_cannot_be_read_is_not_down() {
    run(async |world: Rc<World>| check_report(world, OddReport::Unreadable).await);
}

#[test]
fn an_engine_that_repeats_a_refusal_ahead_of_its_report_is_not_down() {
    run(async |world: Rc<World>| check_report(world, OddReport::Refusal).await);
}

#[test]
fn an_engine_that_repeats_a_refusal_without_an_id_ahead_of_its_report_is_not_down() {
    run(async |world: Rc<World>| check_report(world, OddReport::UnnamedRefusal).await);
}
