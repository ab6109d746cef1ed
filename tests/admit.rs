//! Admission under load: a burst is played against the gate and engines of limited memory, and what
//! callers get is compared with the baseline that lets everything in.

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

/// The tokens that the engines hold.
const ROOM: f64 = 350_000.0;
/// How long callers wait (the users' sheet).
const PATIENCE: Millis = Millis::seconds(20);
/// The time that a request takes while the engines have room for all.
const SERVICE: f64 = 2700.0;
/// A stream that takes this many times longer has had a pause that is too long.
const LATE: f64 = 1.5;
/// What a late answer is worth (the users' sheet: 0.51 of 2).
const LATE_WORTH: f64 = 0.25;
/// The step of the simulation.
const STEP: Millis = Millis(20);

#[derive(Clone, Copy, Debug)]
struct Job {
    tokens: f64,
    first: Millis,
    sent: Millis,
    done: f64,
    team: usize,
    again: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: f64,
    worth: f64,
    answered: f64,
    refused: f64,
}

#[derive(Debug)]
struct Played {
    all: Served,
    small: Served,
    large: Served,
    teams: [Served; 4],
}

/// Engines share their memory: beyond it the newest requests are put back and read again, so that work
/// is lost in proportion to what does not fit.
fn pace(used: f64) -> f64 {
    let over = used / ROOM;
    if over <= 1.0 { 1.0 } else { over.powi(-3) }
}

/// Plays `load` requests a second, times `burst` for five seconds.
fn play(policy: Policy, load: f64, burst: f64, seed: u64) -> Played {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut gate = AdmissionController::new(policy);
    let mut running: Vec<Job> = Vec::new();
    let mut waiting: Vec<(Millis, Job)> = Vec::new();
    let mut ended: Vec<(Job, f64, bool)> = Vec::new();
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
        let mut asks = Vec::new();
        due += if last {
            0.0
        } else {
            load * factor * STEP.0 as f64 / 1000.0
        };
        while due >= 1.0 {
            due -= 1.0;
            let draw: f64 = rng.random();
            asks.push(Job {
                tokens: 200.0 + 2600.0 * draw * draw * draw,
                first: now,
                sent: now,
                done: 0.0,
                team: if rng.random::<f64>() < 0.7 {
                    0
                } else {
                    rng.random_range(1..4)
                },
                again: false,
            });
        }
        asks.extend(
            waiting
                .extract_if(.., |(at, _)| *at <= now)
                .map(|(_, job)| job),
        );
        for mut job in asks {
            let used = running.iter().map(|job| job.tokens).sum::<f64>();
            job.sent = now;
            let left = PATIENCE - now.since(job.first);
            let back = gate.detect_retry("r", left);
            assert!(
                !back || job.again,
                "a new caller is taken for one that came back"
            );
            let fill = Occupancy {
                used,
                capacity: ROOM,
            };
            match gate.decide(fill, job.tokens, back, rng.random()) {
                Decision::Admit => running.push(job),
                Decision::Refuse(_) if job.again => ended.push((job, 0.0, false)),
                Decision::Refuse(wait) => {
                    job.again = true;
                    waiting.push((now + wait, job));
                }
            }
        }
        let rate = pace(running.iter().map(|job| job.tokens).sum());
        for job in &mut running {
            job.done += STEP.0 as f64 * rate;
        }
        now += STEP;
        for job in running.extract_if(.., |job| job.done >= SERVICE) {
            gate.record_duration(now.since(job.sent));
            let took = now.since(job.sent).0 as f64;
            let timely = !job.again && took < SERVICE * LATE;
            ended.push((job, if timely { 1.0 } else { LATE_WORTH }, true));
        }
        for job in running.extract_if(.., |job| now.since(job.first) >= PATIENCE) {
            ended.push((job, 0.0, false));
        }
    }
    count(ended)
}

/// Sums up what callers got: all, small and large requests, and each team.
fn count(ended: Vec<(Job, f64, bool)>) -> Played {
    let mut sizes: Vec<f64> = ended.iter().map(|(job, _, _)| job.tokens).collect();
    sizes.sort_by(f64::total_cmp);
    let tenth = sizes[sizes.len() * 9 / 10];
    let middle = sizes[sizes.len() / 2];
    let mut played = Played {
        all: Served::default(),
        small: Served::default(),
        large: Served::default(),
        teams: [Served::default(); 4],
    };
    for (job, worth, answered) in ended {
        let mut lists = vec![&mut played.all, &mut played.teams[job.team]];
        if job.tokens >= tenth {
            lists.push(&mut played.large);
        } else if job.tokens < middle {
            lists.push(&mut played.small);
        }
        for list in lists {
            list.asked += 1.0;
            list.worth += worth;
            list.answered += f64::from(u8::from(answered));
            list.refused += f64::from(u8::from(job.again));
        }
    }
    played
}

fn share(served: Served) -> f64 {
    served.answered / served.asked
}

#[test]
fn callers_get_more_of_a_burst_than_without_refusals() {
    for seed in 1..6 {
        for burst in [3.5, 5.0] {
            let gate = play(Policy::Capacity, 62.0, burst, seed).all;
            let always = play(Policy::Always, 62.0, burst, seed).all;
            assert!(
                gate.worth > always.worth * 1.1,
                "{burst}, {seed}: {gate:?}, {always:?}"
            );
            assert!(share(gate) > 0.8, "{burst}, {seed}: {gate:?}");
        }
    }
}

#[test]
fn nobody_is_refused_on_a_calm_day() {
    for seed in 1..6 {
        let calm = play(Policy::Capacity, 62.0, 1.0, seed).all;
        assert!(calm.refused < 1.0, "{seed}: {calm:?}");
    }
}

#[test]
fn every_team_and_size_gets_its_part() {
    for seed in 1..6 {
        let played = play(Policy::Capacity, 62.0, 3.0, seed);
        let all = share(played.all);
        for part in played.teams {
            assert!(share(part) > all * 0.75, "{seed}: {played:?}");
        }
        assert!(
            share(played.large) > share(played.small) * 0.75,
            "{seed}: {played:?}"
        );
    }
}

#[test]
fn a_caller_that_comes_back_is_let_in_before_a_new_one() {
    let gate = AdmissionController::new(Policy::Capacity);
    let fill = Occupancy {
        used: ROOM,
        capacity: ROOM,
    };
    assert_eq!(gate.decide(fill, 900.0, true, 0.5), Decision::Admit);
    let Decision::Refuse(wait) = gate.decide(fill, 900.0, false, 0.5) else {
        panic!("a new one is refused");
    };
    assert!(wait >= Millis(250) && wait <= PATIENCE, "{wait:?}");
    let none = Occupancy {
        capacity: 0.0,
        ..fill
    };
    let verdict = gate.decide(none, 900.0, false, 0.5);
    assert_eq!(
        verdict,
        Decision::Admit,
        "no path stands: not a matter of room"
    );
}

#[test]
fn the_room_is_that_of_the_layer_that_has_least() {
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
    };
    let one = token_capacity(&[stage(0, 2), stage(2, 4)], &model);
    assert!((one - 2000.0).abs() < 1.0, "{one}");
    let doubled = token_capacity(&[stage(0, 2), stage(2, 4), stage(0, 2)], &model);
    assert!((doubled - one).abs() < 1.0, "the other layers bind");
    assert!(token_capacity(&[stage(0, 2)], &model) < 1.0, "no path");
}
