//! Placement and paths: every layer is held, every path runs each layer once and in order, and
//! load that a domain cannot take goes round it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::pipe::Demand;
use cornelwharf::core::pipe::Engine;
use cornelwharf::core::pipe::Part;
use cornelwharf::core::pipe::Span;
use cornelwharf::core::pipe::Stage;
use cornelwharf::core::pipe::StallTimer;
use cornelwharf::core::pipe::choose_path;
use cornelwharf::core::pipe::plan_placement;
use cornelwharf::core::pipe::repair_placement;
use cornelwharf::core::pipe::reroute;
use cornelwharf::core::site::Card;
use cornelwharf::core::site::Model;
use cornelwharf::names::Domain;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

const LAYERS: u32 = 80;
const DEMAND: Demand = Demand {
    prompt: 800.0,
    answer: 150.0,
};

fn model() -> Model {
    Model {
        layers: LAYERS,
        weight: 1750.0,
        token: 459_000.0,
        slots: 192,
        load: Millis::seconds(14),
        step: 0.85,
        sequence: 0.003,
        context: 0.004,
        reading: 252.0,
        activation: 22_900.0,
        pipe: 7900.0,
        delay: 0.25,
        usual: (770.0, 150.0),
        cards: BTreeMap::new(),
    }
}

fn card(memory: f64) -> Card {
    Card {
        memory,
        pace: 10.0,
        read: 8.0,
    }
}

fn seat(index: usize, domain: &str, memory: f64, pace: f64) -> Engine {
    Engine {
        endpoint: format!("e{index:03}").as_str().into(),
        domain: domain.into(),
        memory,
        pace,
        span: None,
    }
}

/// Three domains of unequal cards, each able to hold a whole copy.
fn fleet() -> Vec<Engine> {
    let mut seats = Vec::new();
    for (domain, kinds) in [("a", [3, 3, 5]), ("b", [1, 5, 8]), ("c", [1, 7, 5])] {
        let cards = [(36_000.0, 3.1), (21_600.0, 16.0), (14_400.0, 15.0)];
        for (count, (memory, pace)) in kinds.into_iter().zip(cards) {
            for _ in 0..count {
                seats.push(seat(seats.len(), domain, memory, pace));
            }
        }
    }
    seats
}

fn placed(mut seats: Vec<Engine>) -> Vec<Engine> {
    let plan = plan_placement(&seats, &model());
    for seat in &mut seats {
        seat.span = plan.get(&seat.endpoint).copied();
    }
    seats
}

fn stage(index: usize, seat: &Engine) -> Option<Stage> {
    Some(Stage {
        endpoint: seat.endpoint.clone(),
        addr: SocketAddr::from(([10, 0, 0, index as u8], 80)),
        domain: seat.domain.clone(),
        span: seat.span?,
        card: Card {
            pace: seat.pace,
            ..card(seat.memory)
        },
        running: 0.0,
        memory_use: 0.0,
        penalty: 1.0,
        can_lead: true,
    })
}

fn stages(seats: &[Engine]) -> Vec<Stage> {
    let numbered = seats.iter().enumerate();
    numbered
        .filter_map(|(index, seat)| stage(index, seat))
        .collect()
}

fn holders(seats: &[Engine], layer: u32) -> Vec<&Engine> {
    let holds = |seat: &&Engine| seat.span.is_some_and(|span| span.contains(layer));
    seats.iter().filter(holds).collect()
}

fn is_whole(path: &[Part]) -> bool {
    let mut at = 0;
    for part in path {
        if part.span.from != at || part.span.is_empty() {
            return false;
        }
        at = part.span.to;
    }
    let mut addrs: Vec<_> = path.iter().map(|part| part.addr).collect();
    addrs.sort_unstable();
    addrs.dedup();
    at == LAYERS && addrs.len() == path.len()
}

#[test]
fn each_domain_holds_every_layer() {
    let seats = placed(fleet());
    for layer in 0..LAYERS {
        let held = holders(&seats, layer);
        for domain in ["a", "b", "c"] {
            let near = held.iter().any(|seat| *seat.domain == *domain);
            assert!(near, "layer {layer} in {domain}");
        }
    }
}

#[test]
fn the_layers_that_domains_double_differ() {
    let seats = placed(fleet());
    let doubled = (0..LAYERS)
        .filter(|layer| holders(&seats, *layer).len() > 3)
        .count();
    assert!(
        doubled >= 60,
        "{doubled} of {LAYERS} layers are held four times"
    );
}

#[test]
fn no_engine_is_given_more_than_it_holds() {
    for seat in placed(fleet()) {
        let span = seat.span.expect("placed");
        assert!(
            f64::from(span.len()) * model().weight <= seat.memory,
            "{span:?}"
        );
    }
}

#[test]
fn domains_that_hold_no_copy_share_one() {
    let seats: Vec<_> = (0..12)
        .map(|index| seat(index, if index < 6 { "a" } else { "b" }, 18_000.0, 5.0))
        .collect();
    let seats = placed(seats);
    assert!((0..LAYERS).all(|layer| !holders(&seats, layer).is_empty()));
}

#[test]
fn an_empty_engine_gets_layers_that_its_domain_lacks() {
    let mut seats = placed(fleet());
    let lost = seats
        .iter()
        .position(|seat| *seat.domain == *"b" && seat.memory > 30_000.0);
    let lost = lost.expect("a large engine");
    let span = seats[lost].span.take().expect("placed");
    let (endpoint, again) = repair_placement(&seats, &model(), true, true)
        .pop()
        .expect("an order");
    assert_eq!(endpoint, seats[lost].endpoint);
    assert!(
        again.from < span.to && span.from < again.to,
        "{again:?} for {span:?}"
    );
}

/// Finds an engine whose layers no other of its domain holds.
fn sole(seats: &[Engine]) -> usize {
    let only = |at: &usize| {
        let span = seats[*at].span.expect("placed");
        let near = |seat: &&&Engine| seat.domain == seats[*at].domain;
        (span.from..span.to).all(|layer| holders(seats, layer).iter().filter(near).count() == 1)
    };
    (0..seats.len()).find(only).expect("one without a double")
}

#[test]
fn neighbours_close_the_hole_of_a_lost_engine() {
    let mut seats = placed(fleet());
    let lost = sole(&seats);
    let domain = seats.remove(lost).domain;
    for _ in 0..8 {
        let Some((endpoint, span)) = repair_placement(&seats, &model(), true, true).pop() else {
            break;
        };
        let seat = seats
            .iter_mut()
            .find(|seat| seat.endpoint == endpoint)
            .expect("known");
        assert!(
            f64::from(span.len()) * model().weight <= seat.memory,
            "{span:?}"
        );
        seat.span = Some(span);
    }
    for layer in 0..LAYERS {
        let near = holders(&seats, layer)
            .iter()
            .any(|seat| seat.domain == domain);
        assert!(near, "layer {layer}");
    }
}

#[test]
fn a_layer_that_nobody_holds_comes_before_the_holes_of_domains() {
    let mut seats = placed(fleet());
    seats.retain(|seat| !seat.span.is_some_and(|span| span.contains(41)));
    for calm in [false, true] {
        let mut seats = seats.clone();
        let mut orders = 0;
        while holders(&seats, 41).is_empty() {
            let (endpoint, span) = repair_placement(&seats, &model(), calm, calm)
                .pop()
                .expect("an order");
            let seat = seats
                .iter_mut()
                .find(|seat| seat.endpoint == endpoint)
                .expect("known");
            seat.span = Some(span);
            orders += 1;
            assert!(orders <= 4, "the hole is not closed first");
        }
    }
}

#[test]
fn holes_of_domains_wait_for_calm() {
    let mut seats = placed(fleet());
    let lost = seats
        .iter()
        .position(|seat| seat.memory > 30_000.0)
        .expect("a large engine");
    seats.remove(lost);
    assert_eq!(repair_placement(&seats, &model(), false, false), Vec::new());
}

#[test]
fn engines_that_replace_others_take_over_their_layers_at_once() {
    for step in [3, 4, 5] {
        let mut seats = placed(fleet());
        for seat in seats.iter_mut().step_by(step) {
            seat.endpoint = format!("{}-new", seat.endpoint).as_str().into();
            seat.span = None;
        }
        let orders = repair_placement(&seats, &model(), false, false);
        for (endpoint, span) in orders {
            let seat = seats.iter_mut().find(|seat| seat.endpoint == endpoint);
            seat.expect("known").span = Some(span);
        }
        for domain in ["a", "b", "c"] {
            let missing: Vec<u32> = (0..LAYERS)
                .filter(|layer| {
                    let held = holders(&seats, *layer);
                    !held.iter().any(|seat| *seat.domain == *domain)
                })
                .collect();
            assert_eq!(missing, Vec::<u32>::new(), "{domain}, {step}");
        }
    }
}

#[test]
fn an_engine_that_comes_before_another_leaves_waits_for_that() {
    let mut seats = placed(fleet());
    let old = sole(&seats);
    let new = Engine {
        endpoint: "new".into(),
        span: None,
        ..seats[old].clone()
    };
    let span = seats[old].span.expect("placed");
    seats.push(new);
    assert_eq!(repair_placement(&seats, &model(), false, false), Vec::new());
    seats.remove(old);
    let orders = repair_placement(&seats, &model(), false, false);
    assert_eq!(orders, vec![("new".into(), span)]);
}

#[test]
fn a_calm_path_stays_in_one_domain() {
    let seats = placed(fleet());
    let stages = stages(&seats);
    for home in ["a", "b", "c"] {
        let path = choose_path(&stages, &model(), &Domain::from(home), DEMAND).expect("a path");
        assert!(is_whole(&path), "{path:?}");
        let mut domains: Vec<&Domain> = path
            .iter()
            .filter_map(|part| stages.iter().find(|stage| stage.addr == part.addr))
            .map(|stage| &stage.domain)
            .collect();
        domains.dedup();
        assert_eq!(domains.len(), 1, "{domains:?}");
    }
}

#[test]
fn a_path_goes_round_an_engine_whose_memory_is_full() {
    let seats = placed(fleet());
    let mut stages = stages(&seats);
    let home = Domain::from("a");
    let path = choose_path(&stages, &model(), &home, DEMAND).expect("a path");
    for stage in &mut stages {
        if stage.addr == path[1].addr {
            stage.memory_use = 1.2;
        }
    }
    let other = choose_path(&stages, &model(), &home, DEMAND).expect("a path");
    assert!(is_whole(&other), "{other:?}");
    assert!(
        other.iter().all(|part| part.addr != path[1].addr),
        "{other:?}"
    );
}

#[test]
fn without_a_layer_there_is_no_path() {
    let seats = placed(fleet());
    let mut stages = stages(&seats);
    stages.retain(|stage| !stage.span.contains(41));
    assert_eq!(
        choose_path(&stages, &model(), &Domain::from("a"), DEMAND),
        None
    );
}

#[test]
fn a_detour_keeps_every_engine_that_works() {
    let seats = placed(fleet());
    let stages = stages(&seats);
    let path = choose_path(&stages, &model(), &Domain::from("a"), DEMAND).expect("a path");
    for index in 1..path.len() {
        let bad = [path[index].addr];
        let other = reroute(&stages, &model(), DEMAND, &path, &bad).expect("a detour");
        assert!(is_whole(&other), "{other:?}");
        for part in path.iter().filter(|part| part.addr != bad[0]) {
            assert!(other.contains(part), "{part:?} in {other:?}");
        }
        assert!(other.iter().all(|part| part.addr != bad[0]));
    }
    assert_eq!(
        reroute(&stages, &model(), DEMAND, &path, &[path[0].addr]),
        None
    );
}

#[test]
fn a_detour_goes_round_two_engines_side_by_side() {
    let seats = placed(fleet());
    let stages = stages(&seats);
    let path = choose_path(&stages, &model(), &Domain::from("c"), DEMAND).expect("a path");
    let bad = [path[1].addr, path[2].addr];
    let other = reroute(&stages, &model(), DEMAND, &path, &bad).expect("a detour");
    assert!(is_whole(&other), "{other:?}");
}

fn spans() -> impl Strategy<Value = Vec<Span>> {
    let span = (0..LAYERS).prop_flat_map(|from| {
        (Just(from), from + 1..=LAYERS).prop_map(|(from, to)| Span { from, to })
    });
    prop::collection::vec(span, 1..30)
}

proptest! {
    #[test]
    fn every_path_runs_each_layer_once_and_in_order(spans in spans(), paces in any::<u64>()) {
        let stages: Vec<_> = spans
            .iter()
            .enumerate()
            .filter_map(|(index, span)| {
                let pace = 1.0 + (paces.rotate_left(index as u32) % 16) as f64;
                let domain = ["a", "b", "c"][index % 3];
                let mut seat = seat(index, domain, 36_000.0, pace);
                seat.span = Some(*span);
                stage(index, &seat)
            })
            .collect();
        let covered = (0..LAYERS).all(|layer| spans.iter().any(|span| span.contains(layer)));
        let path = choose_path(&stages, &model(), &Domain::from("a"), DEMAND);
        prop_assert_eq!(path.is_some(), covered);
        if let Some(path) = path {
            prop_assert!(is_whole(&path), "{:?}", path);
            for part in &path {
                let index = part.addr.to_string();
                let held = stages.iter().find(|stage| stage.addr == part.addr);
                let held = held.map(|stage| stage.span);
                prop_assert!(
                    held.is_some_and(|span| span.from <= part.span.from && part.span.to <= span.to),
                    "{}", index
                );
            }
        }
    }
}

/// The longest pause between events that the users' sheet allows, in milliseconds.
const PAUSE: Millis = Millis(200);
/// The time that two questions to an engine take which does not answer.
const PROBES: Millis = Millis(70);

/// Returns a watch over a path that made 20 events, `gap` apart, and when it made the last.
fn watched(gap: Millis) -> (StallTimer, Millis) {
    let mut now = Millis(1000);
    let mut watch = StallTimer::new(now, Some(PAUSE));
    for _ in 0..20 {
        now += gap;
        watch.record_event(now);
    }
    (watch, now)
}

#[test]
fn a_silent_engine_is_left_while_the_pause_may_still_be_in_time() {
    for gap in [10, 20, 33] {
        let (mut watch, last) = watched(Millis(gap));
        let asked = last + watch.check_delay();
        watch.record_check();
        let mut now = asked;
        while now < asked + PROBES {
            now += watch.check_delay();
            watch.record_check();
        }
        assert!(now.since(last) < PAUSE, "{gap}: {now:?}");
    }
}

#[test]
fn a_loaded_path_is_not_looked_at_between_two_of_its_events() {
    for gap in [20, 60, 100, 150] {
        let (watch, _) = watched(Millis(gap));
        assert!(
            watch.check_delay() > Millis(gap),
            "{gap}: {:?}",
            watch.check_delay()
        );
    }
}

#[test]
fn a_path_that_stays_quiet_is_looked_at_more_seldom() {
    let (mut watch, _) = watched(Millis(20));
    let mut looks = 0;
    let mut span = Millis(0);
    while span < Millis::seconds(8) {
        span += watch.check_delay();
        watch.record_check();
        looks += 1;
    }
    assert!(looks < 20, "{looks}");
}
