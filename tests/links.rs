//! Checks of quiet paths and reuse of connections under the load of a large fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;

use cornelwharf::clock::Clock;
use cornelwharf::clock::Millis;
use cornelwharf::core::pipe::Demand;
use cornelwharf::core::pipe::Expected;
use cornelwharf::core::pipe::Links;
use cornelwharf::core::pipe::Part;
use cornelwharf::core::pipe::Span;
use cornelwharf::core::pipe::Stage;
use cornelwharf::core::pipe::StallTimer;
use cornelwharf::core::pipe::choose_path;
use cornelwharf::core::position::Position;
use cornelwharf::core::roster::Change;
use cornelwharf::core::roster::Entry;
use cornelwharf::core::roster::Mark;
use cornelwharf::core::roster::Roster;
use cornelwharf::core::roster::pace_share;
use cornelwharf::core::site::Card;
use cornelwharf::core::site::Model;
use cornelwharf::io::http::Request;
use cornelwharf::io::pool::Pool;
use cornelwharf::io::runtime;
use http::Method;
use http::Uri;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The longest pause between events, and the target for the first, that the users allow.
const MAX_PAUSE: Millis = Millis(200);
const TARGET: Millis = Millis(500);
/// The time until a probe of an engine that does not answer ends.
const PROBE_TIME: Millis = Millis(75);
/// The users' aim for reports and for new connections, of all VMs, for each request.
const MAX_REPORTS: f64 = 0.5;
const MAX_CONNECTIONS: f64 = 0.3;
const VMS: usize = 132;
const DEMAND: Demand = Demand {
    prompt: 800.0,
    answer: 200.0,
};

fn model() -> Model {
    let card = |pace, read| Card {
        memory: 43_000.0,
        pace,
        read,
    };
    Model {
        layers: 80,
        weight: 1750.0,
        token: 459_000.0,
        slots: 192,
        load: Millis::seconds(14),
        step: 1.02,
        sequence: 0.003,
        context: 0.004,
        reading: 164.0,
        activation: 22_900.0,
        pipe: 11_000.0,
        delay: 0.3,
        usual: (800.0, 200.0),
        cards: BTreeMap::from([
            ("fast".into(), card(5.6, 2.7)),
            ("slow".into(), card(16.0, 8.2)),
        ]),
    }
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 80))
}

/// Returns a roster of 40 engines, the second half of them slow, of which five in a row form a path.
fn roster() -> Roster {
    let mut roster = Roster::default();
    for index in 0..40 {
        let from = index as u32 % 5 * 16;
        let entry = Entry {
            endpoint: format!("e{index}").as_str().into(),
            born: 1,
            service: "llm".into(),
            addr: addr(index),
            domain: "north".into(),
            leaving: false,
            slots: 192,
            kind: Some(if index < 20 { "fast" } else { "slow" }.into()),
            span: Some(Span {
                from,
                to: from + 16,
            }),
        };
        let change = Change {
            endpoint: entry.endpoint.clone(),
            offset: Position::from(index as u64),
            entry: Some(entry),
        };
        roster.apply(Millis(0), change);
    }
    roster
}

fn path(number: usize) -> Vec<Part> {
    let part = |step: u32| Part {
        endpoint: format!("e{}", number * 5 + step as usize).as_str().into(),
        addr: addr(number * 5 + step as usize),
        span: Span {
            from: step * 16,
            to: step * 16 + 16,
        },
    };
    (0..5).map(part).collect()
}

fn watch(roster: &Roster, now: Millis, path: &[Part]) -> (StallTimer, f64) {
    let estimate = roster.estimate_first(path, &model(), DEMAND);
    let expected = Expected {
        first: Millis((estimate * roster.usual_lag(now, path)) as u64),
        gap: roster.usual_gap(now, path),
        target: TARGET,
    };
    let timer = StallTimer::new(now, Some(MAX_PAUSE)).expecting(expected);
    (timer, estimate)
}

/// One stream of a VM on its path, with the time of its next event.
struct Stream {
    path: Vec<Part>,
    is_slow: bool,
    start: Millis,
    estimate: f64,
    timer: StallTimer,
    next_check: Millis,
    next_event: Millis,
    events_left: u32,
}

/// Plays a VM's streams for a while on a loaded fleet; returns the requests and the reports asked.
fn play(roster: &mut Roster, span: Millis, seed: u64) -> (u32, u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut streams, mut requests, mut reports) = (Vec::<Stream>::new(), 0, 0);
    for ms in 1000..1000 + span.0 {
        let now = Millis(ms);
        if rng.random_bool(2.2 / 1000.0) {
            let number = rng.random_range(0..8);
            let path = path(number);
            let (timer, estimate) = watch(roster, now, &path);
            let is_slow = number >= 4;
            let first = if is_slow { 150..300 } else { 60..180 };
            streams.push(Stream {
                path,
                is_slow,
                start: now,
                estimate,
                timer,
                next_check: now + timer.check_delay(),
                next_event: now + Millis(rng.random_range(first)),
                events_left: 40,
            });
            requests += 1;
        }
        for stream in &mut streams {
            if now == stream.next_event {
                for part in &stream.path {
                    roster.record_liveness(now, &part.endpoint);
                    let waited = now.since(stream.start);
                    match stream.timer.gap(now) {
                        Some(gap) => roster.record_gap(now, &part.endpoint, gap),
                        None => roster.record_lag(now, &part.endpoint, waited, stream.estimate),
                    }
                }
                stream.timer.record_event(now);
                stream.events_left -= 1;
                let gap = if stream.is_slow { 80..150 } else { 25..50 };
                stream.next_event = now + Millis(rng.random_range(gap));
                stream.next_check = now + stream.timer.check_delay();
            } else if now >= stream.next_check {
                stream.timer.record_check(now);
                stream.next_check = now + stream.timer.check_delay();
                let is_slow = stream.timer.is_slow() && rng.random_bool(pace_share(VMS));
                let since = stream.timer.last_event();
                for part in &stream.path {
                    if roster.begin_probe(now, &part.endpoint, since, is_slow) {
                        roster.record_liveness(now + Millis(3), &part.endpoint);
                        reports += 1;
                    }
                }
            }
        }
        streams.retain(|stream| stream.events_left > 0);
    }
    (requests, reports)
}

#[test]
fn slow_and_loaded_paths_are_not_asked_for_reports_at_each_event() {
    let (mut requests, mut reports) = (0, 0);
    for seed in 0..20 {
        let (more, asked) = play(&mut roster(), Millis::seconds(45), seed);
        requests += more;
        reports += asked;
    }
    let share = f64::from(reports) / f64::from(requests);
    assert!(share < MAX_REPORTS, "{reports} of {requests}");
}

#[test]
fn an_engine_that_falls_silent_on_a_fast_path_is_found_within_the_pause() {
    let mut roster = roster();
    play(&mut roster, Millis::seconds(20), 7);
    for events in [1, 3, 20] {
        let mut roster = roster.clone();
        let path = path(0);
        let start = Millis::seconds(21);
        let (mut timer, estimate) = watch(&roster, start, &path);
        let found = start + timer.check_delay() + PROBE_TIME;
        let again = estimate * roster.usual_lag(start, &path);
        let first = found.since(start) + Millis(again as u64);
        assert!(first < TARGET, "before the first event: {first:?}");
        let mut now = start + Millis(70);
        for _ in 0..events {
            timer.record_event(now);
            now += Millis(35);
        }
        let last = timer.last_event();
        let asked = last + timer.check_delay();
        assert!(roster.begin_probe(asked, &path[2].endpoint, last, false));
        let pause = (asked + PROBE_TIME).since(last);
        assert!(pause < MAX_PAUSE, "after {events} events: {pause:?}");
    }
}

#[test]
fn a_slow_engine_is_asked_by_a_few_vms_and_stays_marked_on_all() {
    let name = "e0".into();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut vms = vec![roster(); VMS];
    let start = Millis::seconds(1);
    for vm in &mut vms {
        vm.mark(start, &name, Some(3.0));
    }
    let (mut reports, mut waiting) = (0, Vec::<(Millis, Mark)>::new());
    for ms in (0..20_000).step_by(20) {
        let now = start + Millis(ms);
        for (index, vm) in vms.iter_mut().enumerate() {
            if ms % 600 == index as u64 * 20 % 600 && ms >= 600 {
                let due = vm.take_due_probes(now, || rng.random_bool(pace_share(VMS)));
                if !due.is_empty() {
                    reports += 1;
                    vm.record_liveness(now, &name);
                    vm.mark(now, &name, Some(3.0));
                    waiting.extend(vm.marks(now).pop().map(|mark| (now + Millis(300), mark)));
                }
            }
        }
        // Gossip brings a mark to all within 300 to 900 ms.
        for (due, mark) in &waiting {
            for vm in &mut vms {
                if now >= *due && rng.random_bool(0.03) {
                    let ttl = mark.ttl - (now.since(*due) + Millis(300));
                    vm.apply_mark(
                        now,
                        &Mark {
                            ttl,
                            ..mark.clone()
                        },
                    );
                }
            }
        }
        waiting.retain(|(due, _)| now.since(*due) < Millis(600));
        let unmarked = vms.iter().filter(|vm| vm.marks(now).is_empty()).count();
        assert!(unmarked == 0, "{unmarked} at {now:?}");
    }
    // A quarter of one report of each VM in each 600 ms.
    assert!(reports < VMS * 33 / 4, "{reports}");
}

#[test]
fn an_engine_that_is_down_is_asked_less_often_until_it_answers() {
    let mut roster = roster();
    let name = "e0".into();
    roster
        .health(&name)
        .expect("known")
        .record_stall(Millis::seconds(1));
    let mut asked = Vec::new();
    for ms in (1000..31_000).step_by(600) {
        if !roster.take_due_probes(Millis(ms), || false).is_empty() {
            asked.push(ms);
        }
    }
    assert!(asked.len() <= 15, "{asked:?}");
    let longest = asked.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest <= Some(2400), "{asked:?}");
}

#[test]
fn a_vm_with_few_requests_opens_few_connections_and_still_spreads_them() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let card = model().cards["fast"];
    let (mut idle, mut opened, mut leads) = (BTreeMap::new(), 0, BTreeSet::new());
    let requests = 300;
    for number in 0..requests {
        let now = number * 450;
        let stages: Vec<Stage> = (0..40)
            .map(|index| Stage {
                endpoint: format!("e{index}").as_str().into(),
                addr: addr(index),
                domain: "north".into(),
                span: Span { from: 0, to: 80 },
                card,
                running: 30.0,
                memory_use: if index == 0 { 0.9 } else { 0.3 },
                penalty: 1.0 + 0.15 * rng.random::<f64>(),
                can_lead: true,
                is_warm: index == 0 || idle.get(&index).is_some_and(|until| now < *until),
            })
            .collect();
        let path = choose_path(
            &stages,
            &Links::default(),
            &model(),
            &"north".into(),
            DEMAND,
        )
        .expect("a path");
        let lead = path[0].addr;
        let index = (0..40).find(|index| addr(*index) == lead).expect("known");
        assert!(index != 0, "a connection must not outweigh load");
        opened += u32::from(!stages[index].is_warm);
        leads.insert(index);
        idle.insert(index, now + 10_000);
    }
    let share = f64::from(opened) / f64::from(requests as u32);
    assert!(share < MAX_CONNECTIONS, "{opened}");
    assert!(leads.len() >= 4, "{leads:?}");
}

/// Returns whether a connection is reused after `pause` to an endpoint that answers with `head`, and
/// sends `late` after 50 ms.
fn is_reused(head: &'static str, late: &'static str, pause: Millis) -> bool {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("free port");
    let addr = listener.local_addr().expect("bound address");
    let endpoint = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let size = stream.read(&mut [0; 1024]).expect("a request");
        assert!(size > 0);
        let answer = format!("HTTP/1.1 200 OK\r\n{head}content-length: 2\r\n\r\nok");
        stream.write_all(answer.as_bytes()).expect("sent");
        std::thread::sleep(std::time::Duration::from_millis(50));
        stream.write_all(late.as_bytes()).expect("sent");
        // Until the pool closes the connection.
        let _ = stream.read(&mut [0; 1]);
    });
    let reused = runtime::run(async {
        let pool = Pool::new(Clock::start());
        let request = Request::new(Method::GET, Uri::from_static("/a"));
        let answer = pool.call(addr, &request, Millis::seconds(2)).await;
        answer.expect("an answer");
        monoio::time::sleep(pause.duration()).await;
        let seen = pool.has_idle(addr);
        let kept = pool.take_idle(addr).is_some();
        assert!(seen || !kept);
        kept
    });
    endpoint.join().expect("the endpoint ended");
    reused.expect("start the event loop")
}

#[test]
fn a_connection_with_a_late_second_answer_is_not_reused() {
    let late = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno";
    assert!(!is_reused("", late, Millis(150)));
    assert!(is_reused("", "", Millis(150)));
}

#[test]
fn a_connection_is_not_reused_near_the_end_that_its_endpoint_stated() {
    let head = "Keep-Alive: timeout=1, max=100\r\n";
    assert!(is_reused(head, "", Millis(300)));
    assert!(!is_reused(head, "", Millis(850)));
    assert!(!is_reused("Connection: close\r\n", "", Millis(0)));
}
