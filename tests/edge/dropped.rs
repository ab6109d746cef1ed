//! A caller leaves at any point of its request: the request's future is dropped between two polls.

use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

use cornelwharf::clock::Millis;
use cornelwharf::core::load::ClassKey;
use cornelwharf::core::load::NameHash;
use cornelwharf::core::plain::Limits;
use cornelwharf::core::plain::Room;
use cornelwharf::core::poison::PartCrash;
use cornelwharf::core::poison::PartDigest;
use cornelwharf::core::poison::TIED_VERDICT;
use cornelwharf::core::poison::home_of;
use cornelwharf::edge;
use cornelwharf::edge::Edge;
use cornelwharf::io::http::Conn;
use cornelwharf::io::http::Request;
use cornelwharf::io::listen;
use cornelwharf::io::timeout::within;
use cornelwharf::names::ServiceName;
use cornelwharf::names::Vm;
use cornelwharf::standin::fleet::CrashTarget;
use http::HeaderName;
use http::StatusCode;

use super::World;
use super::run;
use super::site;
use super::sleep;

/// The polls after which a request is dropped, one after the other.
const POLLS: usize = 10;
/// How long a request may be in progress before it is dropped.
const SPAN: Millis = Millis(700);
/// What outlives a request by design, such as a check of its endpoint, ends within this time.
const SETTLE: Millis = Millis(400);

/// Serves a request on the first daemon until it was polled so many times, and drops it.
async fn drop_after(world: &World, request: &Request, polls: usize) {
    let listener = listen::bind(world.spare[0]).expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let mut client = Conn::dial(addr).await.expect("a connection");
    let (stream, from) = listener.accept().await.expect("a connection");
    client.writer.request(request).await.expect("sent");
    let conn = Conn::accept(stream).expect("a connection");
    let mut left = polls;
    let mut work = pin!(edge::serve(world.edges[0].clone(), conn, from));
    let some_polls = poll_fn(|context| {
        left -= 1;
        let _ = work.as_mut().poll(context);
        if left == 0 {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    });
    let _ = within(SPAN, some_polls).await;
}

/// Returns what a daemon keeps as if a request were still in progress.
fn find_leftovers(edge: &Edge) -> Vec<String> {
    let now = edge.now();
    let services = ["pool", "ledger"].map(ServiceName::from);
    let mut found = Vec::new();
    let mut check = |is_left: bool, what: String| {
        if is_left {
            found.push(what);
        }
    };
    check(edge.open_requests() > 0, "an open request".into());
    check(edge.reach(|reach| reach.is_checking()), "a check".into());
    check(edge.fleet(|fleet| fleet.me().load) > 0, "tokens".into());
    edge.load(|load| {
        for (engine, load) in &load.own().engines {
            let is_left = load.running > 0 || load.leading > 0 || load.cells > 0;
            check(is_left, format!("{load:?} on {engine:?}"));
        }
        for (class, load) in &load.own().classes {
            let is_left = load.held > 0 || load.waiting > 0;
            check(is_left, format!("{load:?} of {class:?}"));
        }
    });
    for service in &services {
        edge.roster(|roster| {
            for (entry, _, load) in roster.serving(service, now) {
                let name = &entry.endpoint;
                check(load.running > 0, format!("{load:?} on {name}"));
                let wait = roster.limit_wait(now, name);
                check(wait != Some(Millis(0)), format!("a limit of {name}"));
            }
        });
        let waiting = edge.room(service, |room| room.waiting());
        check(waiting > 0, format!("{waiting} calls wait for {service}"));
        let queued = edge.streams(|streams| streams.queue(service).len());
        check(queued > 0, format!("{queued} streams wait for {service}"));
    }
    found
}

/// Drops requests after each number of polls, and checks that nothing is left of them and that the next
/// request is answered.
async fn check_drops<P>(world: &World, path: P, next: &str)
where
    P: Fn(usize) -> String,
{
    for polls in 1..=POLLS {
        let path = path(polls);
        Box::pin(drop_after(world, &world.request(&path, "red-key"), polls)).await;
        sleep(SETTLE).await;
        let found = find_leftovers(&world.edges[0]);
        assert_eq!(found, Vec::<String>::new(), "{path} after {polls} polls");
        let answer = world.call(0, next, "red-key").await;
        assert_eq!(answer.status, StatusCode::OK, "after {polls} polls");
    }
}

#[test]
fn nothing_is_left_of_a_plain_request_that_is_dropped() {
    run(async |world: Rc<World>| {
        for endpoint in world.plain_endpoints() {
            let limit = Some(600.0);
            world
                .endpoints
                .with_endpoint(endpoint, |it| it.limit = limit);
        }
        check_drops(&world, |_| "/read/a".into(), "/read/a").await;
        check_drops(&world, |_| "/post/a".into(), "/post/a").await;
        let now = world.edges[0].now();
        let ledger = ServiceName::from("ledger");
        let usage = world.edges[0].budget(&ledger, |budget| budget.usage(now, 1));
        assert_eq!(usage.retries, 0);
    });
}

#[test]
fn nothing_is_left_of_a_stream_that_is_dropped() {
    run(async |world: Rc<World>| {
        check_drops(&world, |_| "/draft/a".into(), "/draft/a").await;
    });
}

#[test]
fn nothing_is_left_of_a_request_that_is_dropped_as_its_endpoint_crashes() {
    run(async |world: Rc<World>| {
        world.endpoints.delay_reports(Millis(100));
        let path = |polls: usize| format!("/read/crash{polls}");
        for polls in 1..=POLLS {
            world.endpoints.crash_on(&path(polls), CrashTarget::First);
        }
        check_drops(&world, path, "/draft/a").await;
        assert!(world.endpoints.crash_count() > 0);
    });
}

#[test]
fn nothing_is_left_of_a_detoured_request_that_is_dropped() {
    run(async |world: Rc<World>| {
        let pool = world.edges[0].pool();
        let cut: Vec<_> = world.endpoints.list();
        let cut: Vec<_> = cut.iter().map(|endpoint| endpoint.entry.addr).collect();
        for addr in &cut {
            pool.clear(*addr);
        }
        // Nothing listens at the higher ports.
        pool.set_resolver(move |mut addr| {
            if cut.contains(&addr) {
                addr.set_port(addr.port() + 20_000);
            }
            addr
        });
        check_drops(&world, |_| "/read/a".into(), "/read/a").await;
        assert!(world.edges[0].is_cut_off());
        check_drops(&world, |_| "/draft/a".into(), "/draft/a").await;
    });
}

/// Has a call every 20 ms sent and then one rejected, so that the next ones wait for their turn.
fn make_calls(room: &mut Room, now: Millis) {
    let limits = Limits {
        arrival: now,
        target: Millis(500),
        deadline: now + Millis::seconds(5),
    };
    for step in 1..=50 {
        let at = now - Millis(1000) + Millis(20 * step);
        let ticket = room.enter(at, 1);
        room.decide(at, ticket, limits, 0.0);
        room.leave(ticket);
    }
    room.record_rejection(now);
}

#[test]
fn nothing_is_left_of_a_call_that_is_dropped_while_it_waits_for_room() {
    run(async |world: Rc<World>| {
        let edge = &world.edges[0];
        let ledger = ServiceName::from("ledger");
        let mut waited = 0;
        for polls in 1..=POLLS {
            edge.room(&ledger, |room| make_calls(room, edge.now()));
            let request = world.request("/read/a", "red-key");
            let count = async {
                sleep(Millis(8)).await;
                edge.room(&ledger, |room| room.waiting())
            };
            let watch = monoio::join!(drop_after(&world, &request, polls), count);
            waited += watch.1;
            assert_eq!(find_leftovers(edge), Vec::<String>::new(), "{polls} polls");
        }
        assert!(waited > 0, "none waited");
    });
}

#[test]
fn nothing_is_left_of_a_stream_that_is_dropped_while_it_waits_for_room() {
    /// The tokens times layers of requests that fill the memory of each engine.
    const FULL: u64 = 20_000_000;
    /// The tokens of the requests that run; a stream of 50 tokens gets its turn within 0.1 s.
    const HELD: u32 = 10_000;
    run(async |world: Rc<World>| {
        let edge = &world.edges[0];
        world.version.set(world.version.get() + 3);
        let mut config = site(world.version.get(), &["red"], "/post/");
        config.routes[1].priority = 3;
        let bytes = serde_json::to_vec(&config).expect("json");
        world.store.put("operator", "site", &bytes);
        sleep(Millis(500)).await;
        let names = world.endpoints.list();
        let names: Vec<_> = names
            .iter()
            .map(|it| NameHash::of(&it.entry.endpoint))
            .collect();
        let pool = ServiceName::from("pool");
        let class = ClassKey {
            service: NameHash::of(&pool),
            priority: 1,
            customer: NameHash::of("other"),
        };
        let mut waited = 0;
        for polls in 1..=POLLS {
            for name in &names {
                edge.load(|load| load.begin_request(*name, false, FULL));
            }
            // Requests in progress, which should end soon.
            edge.load(|load| load.own().classes.entry(class).or_default().held = HELD);
            sleep(Millis(300)).await;
            let request = world.request("/draft/a", "red-key");
            let count = async {
                sleep(Millis(8)).await;
                edge.streams(|streams| streams.queue(&pool).len())
            };
            let watch = monoio::join!(drop_after(&world, &request, polls), count);
            waited += watch.1;
            for name in &names {
                edge.load(|load| load.end_request(*name, false, FULL));
            }
            edge.load(|load| load.own().classes.remove(&class));
            assert_eq!(find_leftovers(edge), Vec::<String>::new(), "{polls} polls");
        }
        assert!(waited > 0, "none waited");
        sleep(Millis(500)).await;
        let answer = world.call(0, "/draft/a", "red-key").await;
        assert_eq!(answer.status, StatusCode::OK);
    });
}

/// A trial of a barred part counted although its caller had left before it was sent.
#[test]
fn a_trial_that_is_dropped_before_it_is_sent_may_be_made_again() {
    run(async |world: Rc<World>| {
        let edge = &world.edges[0];
        let service = ServiceName::from("pool");
        let vms = ["vm-0", "vm-1", "vm-2"].map(Vm::from);
        // Only the home of a part may try it.
        let is_home = |id: &String| {
            let key = PartDigest::of(&service, id).key();
            home_of(key, &vms) == Some(&edge.settings().vm)
        };
        let ids = (0..100).map(|id| format!("part{id}")).find(is_home);
        let id = ids.expect("one of a hundred has its home here");
        let parts = [id.as_str(), "guilty"].map(|id| PartDigest::of(&service, id));
        let old = edge.now() - Millis::seconds(2);
        for boot in 0..TIED_VERDICT as u64 {
            let crash = PartCrash {
                at: old,
                endpoint: "e0".into(),
                boot,
            };
            edge.parts(|table| table.record_crash(old, &parts, &crash));
        }
        let mut request = world.request("/draft/a", "red-key");
        let list = format!("{id},guilty,own").parse().expect("a value");
        let name = HeaderName::from_static("parts");
        request.headers.insert(name, list);
        for endpoint in world.endpoints.list() {
            edge.pool().clear(endpoint.entry.addr);
        }
        // It is read by then, and the connection to the first engine is being opened.
        Box::pin(drop_after(&world, &request, 3)).await;
        let now = edge.now();
        assert!(
            !edge.parts(|table| table.begin_trial(now, parts[0])),
            "the dropped request was a trial"
        );
        let trials = [10, 20].map(|seconds| {
            let later = now + Millis::seconds(seconds);
            edge.parts(|table| table.begin_trial(later, parts[0]))
        });
        assert_eq!(trials, [true, true], "a trial was lost");
    });
}
