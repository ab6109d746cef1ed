//! Placement and paths: every layer is placed, every path runs each layer once and in order, and
//! paths avoid full engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::pipe::Demand;
use cornelwharf::core::pipe::Departures;
use cornelwharf::core::pipe::Engine;
use cornelwharf::core::pipe::Links;
use cornelwharf::core::pipe::Part;
use cornelwharf::core::pipe::Span;
use cornelwharf::core::pipe::Stage;
use cornelwharf::core::pipe::StallTimer;
use cornelwharf::core::pipe::Unseen;
use cornelwharf::core::pipe::choose_path;
use cornelwharf::core::pipe::judge_departures;
use cornelwharf::core::pipe::plan_moves;
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

fn engine(index: usize, domain: &str, memory: f64, pace: f64) -> Engine {
    Engine {
        endpoint: format!("e{index:03}").as_str().into(),
        domain: domain.into(),
        memory,
        pace,
        span: None,
    }
}

/// Returns three domains with different accelerators, each large enough for a whole copy of the
/// model.
fn fleet() -> Vec<Engine> {
    let mut engines = Vec::new();
    for (domain, kinds) in [("a", [3, 3, 5]), ("b", [1, 5, 8]), ("c", [1, 7, 5])] {
        let cards = [(36_000.0, 3.1), (21_600.0, 16.0), (14_400.0, 15.0)];
        for (count, (memory, pace)) in kinds.into_iter().zip(cards) {
            for _ in 0..count {
                engines.push(engine(engines.len(), domain, memory, pace));
            }
        }
    }
    engines
}

fn place_layers(mut engines: Vec<Engine>) -> Vec<Engine> {
    let plan = plan_placement(&engines, &model());
    for engine in &mut engines {
        engine.span = plan.get(&engine.endpoint).copied();
    }
    engines
}

fn stage(index: usize, engine: &Engine) -> Option<Stage> {
    Some(Stage {
        endpoint: engine.endpoint.clone(),
        addr: SocketAddr::from(([10, 0, 0, index as u8], 80)),
        domain: engine.domain.clone(),
        span: engine.span?,
        card: Card {
            pace: engine.pace,
            ..card(engine.memory)
        },
        running: 0.0,
        memory_use: 0.0,
        penalty: 1.0,
        can_lead: true,
        is_warm: false,
    })
}

fn stages(engines: &[Engine]) -> Vec<Stage> {
    let numbered = engines.iter().enumerate();
    numbered
        .filter_map(|(index, engine)| stage(index, engine))
        .collect()
}

fn holders(engines: &[Engine], layer: u32) -> Vec<&Engine> {
    let holds = |engine: &&Engine| engine.span.is_some_and(|span| span.contains(layer));
    engines.iter().filter(holds).collect()
}

fn is_complete(path: &[Part]) -> bool {
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
    let engines = place_layers(fleet());
    for layer in 0..LAYERS {
        let held = holders(&engines, layer);
        for domain in ["a", "b", "c"] {
            let near = held.iter().any(|engine| *engine.domain == *domain);
            assert!(near, "layer {layer} in {domain}");
        }
    }
}

#[test]
fn domains_add_second_copies_of_different_layers() {
    let engines = place_layers(fleet());
    let doubled = (0..LAYERS)
        .filter(|layer| holders(&engines, *layer).len() > 3)
        .count();
    assert!(
        doubled >= 60,
        "{doubled} of {LAYERS} layers are held four times"
    );
}

#[test]
fn no_engine_is_given_more_layers_than_fit_its_memory() {
    for engine in place_layers(fleet()) {
        let span = engine.span.expect("placed");
        assert!(
            f64::from(span.len()) * model().weight <= engine.memory,
            "{span:?}"
        );
    }
}

#[test]
fn domains_too_small_for_a_copy_share_one() {
    let engines: Vec<_> = (0..12)
        .map(|index| engine(index, if index < 6 { "a" } else { "b" }, 18_000.0, 5.0))
        .collect();
    let engines = place_layers(engines);
    assert!((0..LAYERS).all(|layer| !holders(&engines, layer).is_empty()));
}

#[test]
fn an_empty_engine_gets_layers_missing_in_its_domain() {
    let mut engines = place_layers(fleet());
    let lost = engines
        .iter()
        .position(|engine| *engine.domain == *"b" && engine.memory > 30_000.0);
    let lost = lost.expect("a large engine");
    let span = engines[lost].span.take().expect("placed");
    let (endpoint, again) = repair_placement(&engines, &model(), true, Departures::Settled)
        .pop()
        .expect("an order");
    assert_eq!(endpoint, engines[lost].endpoint);
    assert!(
        again.from < span.to && span.from < again.to,
        "{again:?} for {span:?}"
    );
}

/// Returns the index of an engine whose layers no other engine of its domain holds.
fn find_sole_holder(engines: &[Engine]) -> usize {
    let only = |at: &usize| {
        let span = engines[*at].span.expect("placed");
        let near = |engine: &&&Engine| engine.domain == engines[*at].domain;
        (span.from..span.to).all(|layer| holders(engines, layer).iter().filter(near).count() == 1)
    };
    (0..engines.len())
        .find(only)
        .expect("an engine whose layers have no other copy")
}

#[test]
fn neighbours_take_over_the_layers_of_a_lost_engine() {
    let mut engines = place_layers(fleet());
    let lost = find_sole_holder(&engines);
    let domain = engines.remove(lost).domain;
    for _ in 0..8 {
        let Some((endpoint, span)) =
            repair_placement(&engines, &model(), true, Departures::Settled).pop()
        else {
            break;
        };
        let engine = engines
            .iter_mut()
            .find(|engine| engine.endpoint == endpoint)
            .expect("known");
        assert!(
            f64::from(span.len()) * model().weight <= engine.memory,
            "{span:?}"
        );
        engine.span = Some(span);
    }
    for layer in 0..LAYERS {
        let near = holders(&engines, layer)
            .iter()
            .any(|engine| engine.domain == domain);
        assert!(near, "layer {layer}");
    }
}

#[test]
fn a_layer_without_any_copy_is_placed_first() {
    let mut engines = place_layers(fleet());
    engines.retain(|engine| !engine.span.is_some_and(|span| span.contains(41)));
    for settled in [false, true] {
        let mut engines = engines.clone();
        let mut orders = 0;
        let departures = if settled {
            Departures::Settled
        } else {
            Departures::Recent
        };
        while holders(&engines, 41).is_empty() {
            let (endpoint, span) = repair_placement(&engines, &model(), settled, departures)
                .pop()
                .expect("an order");
            let engine = engines
                .iter_mut()
                .find(|engine| engine.endpoint == endpoint)
                .expect("known");
            engine.span = Some(span);
            orders += 1;
            assert!(orders <= 4, "the missing layer is not placed first");
        }
    }
}

/// An engine with layers that the model does not have ended the process of the leader.
#[test]
fn an_engine_with_layers_beyond_the_model_is_not_moved() {
    let all = place_layers(fleet());
    for (from, to) in [(90, 200), (80, u32::MAX), (u32::MAX - 1, u32::MAX)] {
        // No engine holds the last layers, and the odd one has layers of its own.
        let mut engines = all.clone();
        engines.retain(|engine| engine.span.is_none_or(|span| span.to < LAYERS));
        let domain = engines[0].domain.clone();
        let mut odd = engine(900, &domain, 36_000.0, 0.1);
        odd.span = Some(Span { from, to });
        engines.push(odd.clone());
        for (endpoint, span) in repair_placement(&engines, &model(), true, Departures::Settled) {
            assert_ne!(endpoint, odd.endpoint);
            assert!(span.to <= LAYERS);
        }
        let demand = BTreeMap::from([(domain, 1e6)]);
        for step in plan_moves(&engines, &model(), &demand, &BTreeSet::new()) {
            assert_ne!(step.endpoint, odd.endpoint);
        }
    }
}

#[test]
fn domain_gaps_are_not_filled_before_departures_settle() {
    let mut engines = place_layers(fleet());
    let lost = engines
        .iter()
        .position(|engine| engine.memory > 30_000.0)
        .expect("a large engine");
    engines.remove(lost);
    assert_eq!(
        repair_placement(&engines, &model(), false, Departures::Recent),
        Vec::new()
    );
}

#[test]
fn hundreds_of_empty_engines_are_placed_without_a_pause_of_the_leader() {
    /// The time between two checks of the placement, which a leader must not exceed.
    const CHECK_MS: u128 = 250;
    let mut engines = large_fleet(70);
    for engine in engines.iter_mut().step_by(3) {
        engine.span = None;
    }
    let quickest = (0..3).map(|_| {
        let start = std::time::Instant::now();
        let orders = repair_placement(&engines, &model(), true, Departures::Settled);
        assert!(orders.len() > 800, "{}", orders.len());
        start.elapsed().as_millis()
    });
    // A small VM has an eighth of a core.
    let quickest = quickest.min().expect("a time") * 8;
    assert!(quickest <= CHECK_MS, "{quickest} ms");
}

#[test]
fn replacement_engines_get_missing_layers_at_once() {
    for step in [3, 4, 5] {
        let mut engines = place_layers(fleet());
        for engine in engines.iter_mut().step_by(step) {
            engine.endpoint = format!("{}-new", engine.endpoint).as_str().into();
            engine.span = None;
        }
        let orders = repair_placement(&engines, &model(), false, Departures::Recent);
        for (endpoint, span) in orders {
            let engine = engines
                .iter_mut()
                .find(|engine| engine.endpoint == endpoint);
            engine.expect("known").span = Some(span);
        }
        for domain in ["a", "b", "c"] {
            let missing: Vec<u32> = (0..LAYERS)
                .filter(|layer| {
                    let held = holders(&engines, *layer);
                    !held.iter().any(|engine| *engine.domain == *domain)
                })
                .collect();
            assert_eq!(missing, Vec::<u32>::new(), "{domain}, {step}");
        }
    }
}

#[test]
fn a_replacement_gets_no_layers_before_the_old_engine_leaves() {
    let mut engines = place_layers(fleet());
    let old = find_sole_holder(&engines);
    let new = Engine {
        endpoint: "new".into(),
        span: None,
        ..engines[old].clone()
    };
    let span = engines[old].span.expect("placed");
    engines.push(new);
    assert_eq!(
        repair_placement(&engines, &model(), false, Departures::Recent),
        Vec::new()
    );
    engines.remove(old);
    let orders = repair_placement(&engines, &model(), false, Departures::Recent);
    assert_eq!(orders, vec![("new".into(), span)]);
}

#[test]
fn a_path_without_load_stays_in_one_domain() {
    let engines = place_layers(fleet());
    let stages = stages(&engines);
    for home in ["a", "b", "c"] {
        let path = choose_path(
            &stages,
            &Links::default(),
            &model(),
            &Domain::from(home),
            DEMAND,
        )
        .expect("a path");
        assert!(is_complete(&path), "{path:?}");
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
fn a_path_avoids_an_engine_with_full_memory() {
    let engines = place_layers(fleet());
    let mut stages = stages(&engines);
    let home = Domain::from("a");
    let path = choose_path(&stages, &Links::default(), &model(), &home, DEMAND).expect("a path");
    for stage in &mut stages {
        if stage.addr == path[1].addr {
            stage.memory_use = 1.2;
        }
    }
    let other = choose_path(&stages, &Links::default(), &model(), &home, DEMAND).expect("a path");
    assert!(is_complete(&other), "{other:?}");
    assert!(
        other.iter().all(|part| part.addr != path[1].addr),
        "{other:?}"
    );
}

/// Returns `copies` times the engines of [`fleet`], placed.
fn large_fleet(copies: usize) -> Vec<Engine> {
    let mut engines: Vec<Engine> = (0..copies).flat_map(|_| fleet()).collect();
    for (index, engine) in engines.iter_mut().enumerate() {
        engine.endpoint = format!("e{index:05}").as_str().into();
    }
    place_layers(engines)
}

/// Returns stages whose addresses differ in a fleet of thousands, with penalties from a sequence.
fn large_stages(engines: &[Engine]) -> Vec<Stage> {
    let numbered = engines.iter().enumerate();
    numbered
        .filter_map(|(index, engine)| {
            let bytes = (index as u16).to_be_bytes();
            Some(Stage {
                addr: SocketAddr::from(([10, 0, bytes[0], bytes[1]], 80)),
                penalty: 1.0 + 0.15 * (index * 37 % 100) as f64 / 100.0,
                ..stage(0, engine)?
            })
        })
        .collect()
}

#[test]
fn choosing_among_thousands_of_engines_takes_a_small_vm_no_longer_than_a_token() {
    /// The time between two tokens that the users want.
    const TOKEN_MS: u128 = 32;
    let stages = large_stages(&large_fleet(70));
    assert!(stages.len() > 2500, "{}", stages.len());
    let quickest = (0..5).map(|_| {
        let start = std::time::Instant::now();
        let path =
            choose_path(&stages, &Links::default(), &model(), &"a".into(), DEMAND).expect("a path");
        assert!(is_complete(&path));
        start.elapsed().as_millis()
    });
    // A small VM has an eighth of a core.
    let quickest = quickest.min().expect("a time") * 8;
    assert!(quickest <= TOKEN_MS, "{quickest} ms");
}

#[test]
fn of_equal_engines_a_path_uses_the_cheapest_that_may_lead() {
    let mut stages = large_stages(&large_fleet(5));
    for stage in &mut stages {
        stage.can_lead = stage.endpoint.as_str().ends_with('7');
    }
    let path =
        choose_path(&stages, &Links::default(), &model(), &"a".into(), DEMAND).expect("a path");
    assert!(is_complete(&path));
    let find = |part: &Part| {
        let found = stages.iter().find(|stage| stage.addr == part.addr);
        found.expect("a stage of the path")
    };
    assert!(find(&path[0]).can_lead);
    for part in &path[1..] {
        let used = find(part);
        let equal = stages.iter().filter(|stage| {
            stage.domain == used.domain && stage.span == used.span && stage.card == used.card
        });
        for other in equal {
            assert!(
                other.penalty >= used.penalty,
                "{other:?} is cheaper than {used:?}"
            );
        }
    }
}

#[test]
fn there_is_no_path_if_a_layer_is_missing() {
    let engines = place_layers(fleet());
    let mut stages = stages(&engines);
    stages.retain(|stage| !stage.span.contains(41));
    assert_eq!(
        choose_path(
            &stages,
            &Links::default(),
            &model(),
            &Domain::from("a"),
            DEMAND
        ),
        None
    );
}

#[test]
fn rerouting_keeps_every_working_engine() {
    let engines = place_layers(fleet());
    let stages = stages(&engines);
    let path = choose_path(
        &stages,
        &Links::default(),
        &model(),
        &Domain::from("a"),
        DEMAND,
    )
    .expect("a path");
    for index in 1..path.len() {
        let bad = [path[index].addr];
        let other = reroute(&stages, &Links::default(), &model(), DEMAND, &path, &bad)
            .expect("a path around the engine");
        assert!(is_complete(&other), "{other:?}");
        for part in path.iter().filter(|part| part.addr != bad[0]) {
            assert!(other.contains(part), "{part:?} in {other:?}");
        }
        assert!(other.iter().all(|part| part.addr != bad[0]));
    }
    assert_eq!(
        reroute(
            &stages,
            &Links::default(),
            &model(),
            DEMAND,
            &path,
            &[path[0].addr]
        ),
        None
    );
}

#[test]
fn rerouting_replaces_two_adjacent_engines() {
    let engines = place_layers(fleet());
    let stages = stages(&engines);
    let path = choose_path(
        &stages,
        &Links::default(),
        &model(),
        &Domain::from("c"),
        DEMAND,
    )
    .expect("a path");
    let bad = [path[1].addr, path[2].addr];
    let other = reroute(&stages, &Links::default(), &model(), DEMAND, &path, &bad)
        .expect("a path around the engine");
    assert!(is_complete(&other), "{other:?}");
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
                let mut engine = engine(index, domain, 36_000.0, pace);
                engine.span = Some(*span);
                stage(index, &engine)
            })
            .collect();
        let covered = (0..LAYERS).all(|layer| spans.iter().any(|span| span.contains(layer)));
        let path = choose_path(&stages, &Links::default(), &model(), &Domain::from("a"), DEMAND);
        prop_assert_eq!(path.is_some(), covered);
        if let Some(path) = path {
            prop_assert!(is_complete(&path), "{:?}", path);
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

/// The longest pause between events that the users' requirements allow.
const MAX_PAUSE: Millis = Millis(200);
/// The time of two probes of an engine that does not answer.
const PROBE_TIME: Millis = Millis(70);

/// Returns the timer of a path after 20 events at intervals of `gap`, and the time of the last
/// event.
fn timer_after_events(gap: Millis) -> (StallTimer, Millis) {
    let mut now = Millis(1000);
    let mut timer = StallTimer::new(now, Some(MAX_PAUSE));
    for _ in 0..20 {
        now += gap;
        timer.record_event(now);
    }
    (timer, now)
}

#[test]
fn a_silent_engine_is_found_within_the_allowed_pause() {
    for gap in [10, 20, 33] {
        let (mut timer, last) = timer_after_events(Millis(gap));
        let asked = last + timer.check_delay();
        timer.record_check(asked);
        let mut now = asked;
        while now < asked + PROBE_TIME {
            now += timer.check_delay();
            timer.record_check(now);
        }
        assert!(now.since(last) < MAX_PAUSE, "{gap}: {now:?}");
    }
}

#[test]
fn a_loaded_path_is_not_checked_between_two_events() {
    for gap in [20, 60, 100, 150] {
        let (timer, _) = timer_after_events(Millis(gap));
        assert!(
            timer.check_delay() > Millis(gap),
            "{gap}: {:?}",
            timer.check_delay()
        );
    }
}

#[test]
fn a_path_that_stays_quiet_is_checked_less_often() {
    let (mut timer, last) = timer_after_events(Millis(20));
    let mut checks = 0;
    let mut span = Millis(0);
    while span < Millis::seconds(8) {
        span += timer.check_delay();
        timer.record_check(last + span);
        checks += 1;
    }
    assert!(checks < 20, "{checks}");
}

/// Returns the share of the requests that may cross a link with so many prompt tokens on it.
fn crossing_share(tokens: u64, arrivals: f64) -> f64 {
    let engines = place_layers(fleet());
    let mut stages = stages(&engines);
    stages.retain(|stage| (stage.span.from < 40) == (*stage.domain == *"a"));
    let span = Millis(300);
    let crosses = |draw: &u32| {
        let unseen = Unseen { span, arrivals };
        let draw = || f64::from(*draw) / 100.0;
        let domains = stages.iter().map(|stage| &stage.domain);
        let links = Links::between(domains, &model(), unseen, |_| tokens, draw);
        choose_path(&stages, &links, &model(), &"a".into(), DEMAND).is_some()
    };
    (0..100).filter(crosses).count() as f64 / 100.0
}

#[test]
fn all_vms_see_a_free_link_and_fill_it_at_once() {
    // A prompt takes 18 ms over the link, which has 450 ms for the unseen requests.
    assert!(crossing_share(0, 10.0) >= 0.99);
    let share = crossing_share(0, 100.0);
    assert!((0.1..0.3).contains(&share), "{share}");
    let busy = crossing_share(12_000, 100.0);
    assert!(busy < share / 2.0, "{busy}");
    assert!(crossing_share(25_000, 100.0) <= 0.0);
}

#[test]
fn a_vm_that_knows_no_loads_fills_the_links() {
    let engines = place_layers(fleet());
    let mut stages = stages(&engines);
    let home = Domain::from("a");
    let links = Links::unknown();
    assert!(choose_path(&stages, &links, &model(), &home, DEMAND).is_some());
    stages.retain(|stage| (stage.span.from < 40) == (*stage.domain == *"a"));
    assert!(choose_path(&stages, &links, &model(), &home, DEMAND).is_none());
    let links = links.unlimited();
    assert!(choose_path(&stages, &links, &model(), &home, DEMAND).is_some());
}

#[test]
fn the_first_leader_after_a_start_moves_engines_for_others_that_are_back_a_moment_later() {
    let known = Millis::seconds(1000);
    let mut engines = place_layers(fleet());
    let sole = find_sole_holder(&engines);
    engines.remove(sole);
    let plan = |passed: Millis, removed: Millis| {
        let departures = judge_departures(known + passed, known, removed);
        repair_placement(&engines, &model(), true, departures).len()
    };
    assert_eq!(
        plan(Millis(1500), Millis(0)),
        0,
        "the list may be incomplete"
    );
    assert_eq!(plan(Millis(5900), Millis(0)), 0, "removals may be recent");
    assert_eq!(plan(Millis(9000), known + Millis(8000)), 0, "one is recent");
    assert!(plan(Millis(6100), Millis(0)) > 0);
    engines.retain(|engine| !engine.span.is_some_and(|span| span.contains(41)));
    let plan = |departures| repair_placement(&engines, &model(), true, departures).len();
    assert_eq!(
        plan(Departures::Unknown),
        0,
        "nobody is known to hold it yet"
    );
    assert_eq!(plan(Departures::Recent), 1);
}
