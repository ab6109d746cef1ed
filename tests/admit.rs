//! Admission control under load: a burst is simulated against engines of limited memory, and the
//! result for callers is compared with the baseline that admits everything.

use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::admit::AdmissionController;
use cornelwharf::core::admit::Decision;
use cornelwharf::core::admit::Occupancy;
use cornelwharf::core::admit::Policy;
use cornelwharf::core::admit::token_capacity;
use cornelwharf::core::pipe::Span;
use cornelwharf::core::pipe::Stage;
use cornelwharf::core::site::Card;
use cornelwharf::core::site::Model;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The number of tokens that fit on the engines.
const CAPACITY: f64 = 350_000.0;
/// How long callers wait (users' requirements).
const PATIENCE: Millis = Millis::seconds(20);
/// The duration of a request while all requests fit, in milliseconds.
const SERVICE_MS: f64 = 2700.0;
/// A stream that takes this many times longer has had a pause that is too long and counts as late.
const LATE_FACTOR: f64 = 1.5;
/// The value of a late answer, where 1 is one in time (users' requirements: 0.51 of 2).
const LATE_VALUE: f64 = 0.25;
/// The time step of the simulation.
const STEP: Millis = Millis(20);

#[derive(Clone, Copy, Debug)]
struct Request {
    tokens: f64,
    first: Millis,
    sent: Millis,
    progress: f64,
    team: usize,
    retried: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: f64,
    value: f64,
    answered: f64,
    refused: f64,
}

#[derive(Debug)]
struct Summary {
    all: Tally,
    small: Tally,
    large: Tally,
    teams: [Tally; 4],
}

/// Returns the speed of the engines, where 1 is full speed. When requests exceed the memory, the
/// newest are preempted and their prompts processed again, so work is lost in proportion to the
/// excess.
fn service_rate(used: f64) -> f64 {
    let over = used / CAPACITY;
    if over <= 1.0 { 1.0 } else { over.powi(-3) }
}

/// Simulates `load` requests per second, multiplied by `burst` for five seconds.
fn simulate(policy: Policy, load: f64, burst: f64, seed: u64) -> Summary {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut admission = AdmissionController::new(policy);
    let mut running: Vec<Request> = Vec::new();
    let mut waiting: Vec<(Millis, Request)> = Vec::new();
    let mut ended: Vec<(Request, f64, bool)> = Vec::new();
    let mut now = Millis::seconds(100);
    let start = now;
    let mut due = 0.0;
    while now.since(start) < Millis::seconds(40) {
        let second = now.since(start).0 / 1000;
        let factor = if (5..10).contains(&second) {
            burst
        } else {
            1.0
        };
        let last = second >= 30;
        let mut arrivals = Vec::new();
        due += if last {
            0.0
        } else {
            load * factor * STEP.0 as f64 / 1000.0
        };
        while due >= 1.0 {
            due -= 1.0;
            let draw: f64 = rng.random();
            arrivals.push(Request {
                tokens: 200.0 + 2600.0 * draw * draw * draw,
                first: now,
                sent: now,
                progress: 0.0,
                team: if rng.random::<f64>() < 0.7 {
                    0
                } else {
                    rng.random_range(1..4)
                },
                retried: false,
            });
        }
        arrivals.extend(
            waiting
                .extract_if(.., |(at, _)| *at <= now)
                .map(|(_, request)| request),
        );
        for mut request in arrivals {
            let used = running.iter().map(|request| request.tokens).sum::<f64>();
            request.sent = now;
            let left = PATIENCE - now.since(request.first);
            let is_retry = admission.detect_retry("r", left);
            assert!(
                !is_retry || request.retried,
                "a new request is taken for a retry"
            );
            let occupancy = Occupancy {
                used,
                capacity: CAPACITY,
            };
            match admission.decide(occupancy, request.tokens, is_retry, rng.random()) {
                Decision::Admit => running.push(request),
                Decision::Refuse(_) if request.retried => ended.push((request, 0.0, false)),
                Decision::Refuse(wait) => {
                    request.retried = true;
                    waiting.push((now + wait, request));
                }
            }
        }
        let rate = service_rate(running.iter().map(|request| request.tokens).sum());
        for request in &mut running {
            request.progress += STEP.0 as f64 * rate;
        }
        now += STEP;
        for request in running.extract_if(.., |request| request.progress >= SERVICE_MS) {
            admission.record_duration(now.since(request.sent));
            let took = now.since(request.sent).0 as f64;
            let timely = !request.retried && took < SERVICE_MS * LATE_FACTOR;
            ended.push((request, if timely { 1.0 } else { LATE_VALUE }, true));
        }
        for request in running.extract_if(.., |request| now.since(request.first) >= PATIENCE) {
            ended.push((request, 0.0, false));
        }
    }
    count(ended)
}

/// Sums the results over all requests, small and large ones, and each team.
fn count(ended: Vec<(Request, f64, bool)>) -> Summary {
    let mut sizes: Vec<f64> = ended.iter().map(|(request, _, _)| request.tokens).collect();
    sizes.sort_by(f64::total_cmp);
    let tenth = sizes[sizes.len() * 9 / 10];
    let middle = sizes[sizes.len() / 2];
    let mut summary = Summary {
        all: Tally::default(),
        small: Tally::default(),
        large: Tally::default(),
        teams: [Tally::default(); 4],
    };
    for (request, value, answered) in ended {
        let mut lists = vec![&mut summary.all, &mut summary.teams[request.team]];
        if request.tokens >= tenth {
            lists.push(&mut summary.large);
        } else if request.tokens < middle {
            lists.push(&mut summary.small);
        }
        for list in lists {
            list.sent += 1.0;
            list.value += value;
            list.answered += f64::from(u8::from(answered));
            list.refused += f64::from(u8::from(request.retried));
        }
    }
    summary
}

fn answered_share(tally: Tally) -> f64 {
    tally.answered / tally.sent
}

#[test]
fn admission_control_serves_more_of_a_burst() {
    for seed in 1..6 {
        for burst in [3.5, 5.0] {
            let admission = simulate(Policy::Capacity, 62.0, burst, seed).all;
            let always = simulate(Policy::Always, 62.0, burst, seed).all;
            assert!(
                admission.value > always.value * 1.1,
                "{burst}, {seed}: {admission:?}, {always:?}"
            );
            assert!(
                answered_share(admission) > 0.8,
                "{burst}, {seed}: {admission:?}"
            );
        }
    }
}

#[test]
fn nothing_is_refused_under_normal_load() {
    for seed in 1..6 {
        let calm = simulate(Policy::Capacity, 62.0, 1.0, seed).all;
        assert!(calm.refused < 1.0, "{seed}: {calm:?}");
    }
}

#[test]
fn refusals_are_spread_over_teams_and_sizes() {
    for seed in 1..6 {
        let summary = simulate(Policy::Capacity, 62.0, 3.0, seed);
        let all = answered_share(summary.all);
        for part in summary.teams {
            assert!(answered_share(part) > all * 0.75, "{seed}: {summary:?}");
        }
        assert!(
            answered_share(summary.large) > answered_share(summary.small) * 0.75,
            "{seed}: {summary:?}"
        );
    }
}

#[test]
fn a_retry_is_admitted_before_a_new_request() {
    let mut admission = AdmissionController::new(Policy::Capacity);
    let occupancy = Occupancy {
        used: CAPACITY,
        capacity: CAPACITY,
    };
    assert_eq!(
        admission.decide(occupancy, 900.0, true, 0.5),
        Decision::Admit
    );
    let Decision::Refuse(wait) = admission.decide(occupancy, 900.0, false, 0.5) else {
        panic!("a new request is admitted");
    };
    assert!(wait >= Millis(250) && wait <= PATIENCE, "{wait:?}");
    let none = Occupancy {
        capacity: 0.0,
        ..occupancy
    };
    let verdict = admission.decide(none, 900.0, false, 0.5);
    assert_eq!(
        verdict,
        Decision::Admit,
        "without a path the request is not refused here"
    );
}

#[test]
fn capacity_is_that_of_the_smallest_layer() {
    let model = Model {
        layers: 4,
        weight: 1000.0,
        token: 1_000_000.0,
        slots: 64,
        load: Millis(100),
        step: 1.0,
        sequence: 0.01,
        context: 0.01,
        reading: 100.0,
        activation: 1000.0,
        pipe: 1000.0,
        delay: 0.1,
        usual: (10.0, 40.0),
        cards: std::collections::BTreeMap::new(),
    };
    let stage = |from, to| Stage {
        endpoint: "e".into(),
        addr: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: "north".into(),
        span: Span { from, to },
        card: Card {
            memory: 3000.0,
            pace: 1.0,
            read: 1.0,
        },
        running: 0.0,
        memory_use: 0.0,
        penalty: 1.0,
        can_lead: true,
        is_warm: false,
    };
    let one = token_capacity(&[stage(0, 2), stage(2, 4)], &model);
    assert!((one - 2000.0).abs() < 1.0, "{one}");
    let doubled = token_capacity(&[stage(0, 2), stage(2, 4), stage(0, 2)], &model);
    assert!(
        (doubled - one).abs() < 1.0,
        "the other layers still limit the capacity"
    );
    assert!(
        token_capacity(&[stage(0, 2)], &model) < 1.0,
        "layers are missing"
    );
}

#[test]
fn callers_who_wait_for_different_times_are_taken_for_retries_though_nobody_was_refused() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut admission = AdmissionController::new(Policy::Capacity);
    let empty = Occupancy {
        used: 0.0,
        capacity: CAPACITY,
    };
    let mut retries = 0;
    for _ in 0..300 {
        let left = Millis(rng.random_range(17_000..=PATIENCE.0));
        let is_retry = admission.detect_retry("r", left);
        retries += u32::from(is_retry);
        let decision = admission.decide(empty, 900.0, is_retry, rng.random());
        assert_eq!(decision, Decision::Admit);
    }
    assert_eq!(retries, 0);
}

#[test]
fn all_callers_are_taken_for_retries_once_the_timeout_of_their_route_is_shorter() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut admission = AdmissionController::new(Policy::Capacity);
    let mut retries = 0;
    for count in 0..600 {
        let longest = if count < 200 { PATIENCE.0 } else { 10_000 };
        if count == 200 {
            admission.retain_routes(|_| true);
        }
        let left = Millis(rng.random_range(longest * 85 / 100..=longest));
        let is_retry = admission.detect_retry("r", left);
        retries += u32::from(is_retry);
        // One in ten is refused from then on.
        let occupancy = Occupancy {
            used: if count >= 200 && count % 10 == 0 {
                2.0 * CAPACITY
            } else {
                0.0
            },
            capacity: CAPACITY,
        };
        admission.decide(occupancy, 900.0, is_retry, rng.random());
    }
    // As many as are refused, and half as many again for the estimate of that.
    assert!(
        retries <= 400 / 10 * 3 / 2,
        "{retries} of 600 are taken for retries"
    );
}
