//! Routing: chains, excluded endpoints, stale reports, the throughput bound and the retry budget,
//! on fixed seeds.

use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::config::object::Endpoint;
use cornelwharf::core::config::object::Layers;
use cornelwharf::core::route::Event;
use cornelwharf::core::route::Requirements;
use cornelwharf::core::route::Router;
use cornelwharf::core::route::choice::Policy;
use cornelwharf::core::route::flow;
use cornelwharf::core::route::prefix::CacheEvent;
use cornelwharf::core::route::retry::RetryBudget;
use cornelwharf::core::route::view::Outcome;
use cornelwharf::core::route::view::Report;
use cornelwharf::names::EndpointName;
use cornelwharf::names::ServiceName;
use proptest::prelude::ProptestConfig;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const NOW: Millis = Millis(1_000_000);

fn endpoint(name: &str, from: u32, to: u32, rate: u32) -> Endpoint {
    Endpoint {
        name: name.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9000)),
        domain: "d".into(),
        owner: "o".into(),
        service: "s".into(),
        layers: Some(Layers { from, to }),
        kind: "k".into(),
        slots: 64,
        rate,
        delay: Millis(1),
        fencing: false,
    }
}

fn service() -> ServiceName {
    "s".into()
}

fn router(seed: u64, layers: u32, endpoints: &[Endpoint]) -> (Router, Vec<EndpointName>) {
    let mut router = Router::new(seed, Policy::TwoChoices);
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    router.set_endpoints(&service(), layers, &all);
    (
        router,
        endpoints.iter().map(|one| one.name.clone()).collect(),
    )
}

fn ended(outcome: Outcome) -> Event {
    Event::Ended {
        took: Millis(10),
        outcome,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_chain_covers_each_layer_once_or_reports_the_gap(
        ranges in prop::collection::vec((0_u32..16, 1_u32..10, 1_u32..900), 0..14),
        seed in 0_u64..1000,
        avoided in 0_usize..14,
    ) {
        let layers = 16;
        let endpoints: Vec<Endpoint> = ranges
            .iter()
            .enumerate()
            .map(|(at, &(from, size, rate))| {
                endpoint(&format!("e{at}"), from, (from + size).min(layers), rate)
            })
            .collect();
        let (mut router, names) = router(seed, layers, &endpoints);
        let avoid = [EndpointName::from(format!("e{avoided}").as_str())];
        let requirements = Requirements { cost: 10, prefix: &[], avoid: &avoid };
        let held = |layer: u32| {
            endpoints
                .iter()
                .filter(|one| one.name != avoid[0])
                .filter_map(|one| one.layers)
                .any(|range| range.from <= layer && layer < range.to)
        };
        match router.pick_chain(NOW, &service(), layers, &names, &requirements) {
            Ok(legs) => {
                let mut next = 0;
                for leg in &legs {
                    prop_assert_eq!(leg.layers.from, next);
                    prop_assert!(leg.layers.to > leg.layers.from);
                    prop_assert!(leg.endpoint != avoid[0]);
                    let at = names.iter().position(|name| *name == leg.endpoint).unwrap();
                    let range = endpoints[at].layers.unwrap();
                    prop_assert!(range.from <= leg.layers.from && leg.layers.to <= range.to);
                    next = leg.layers.to;
                }
                prop_assert_eq!(next, layers);
            }
            Err(none) => {
                let gap = none.layer.unwrap();
                prop_assert!(!held(gap));
                prop_assert!((0..gap).all(held));
            }
        }
    }
}

#[test]
fn ejected_leaving_and_avoided_endpoints_get_no_work() {
    let endpoints = ["a", "b", "c", "d"].map(|name| endpoint(name, 0, 4, 100));
    let (mut router, names) = router(1, 4, &endpoints);
    for _ in 0..2 {
        router.apply(NOW, &names[0], Event::Started { cost: 1 });
        router.apply(NOW, &names[0], ended(Outcome::Failed));
    }
    router.apply(NOW, &names[1], Event::Leaving(true));
    let avoid = [names[2].clone()];
    let requirements = Requirements {
        cost: 1,
        prefix: &[],
        avoid: &avoid,
    };
    for _ in 0..200 {
        let picked = router.pick(NOW, &service(), &names, &requirements).unwrap();
        assert_eq!(picked, names[3]);
    }
    let none = router
        .pick(NOW, &service(), &names[..3], &requirements)
        .unwrap_err();
    assert_eq!(none.retry_after, Millis(500));
}

#[test]
fn an_endpoint_that_asked_for_a_pause_gets_no_work_until_it_ends() {
    let endpoints = ["a", "b"].map(|name| endpoint(name, 0, 4, 100));
    let (mut router, names) = router(1, 4, &endpoints);
    let requirements = Requirements {
        cost: 1,
        prefix: &[],
        avoid: &[],
    };
    router.apply(NOW, &names[0], Event::Started { cost: 1 });
    router.apply(NOW, &names[0], Event::Paused(Millis(3000)));
    router.apply(NOW, &names[0], Event::Paused(Millis(1000)));
    router.apply(NOW, &names[0], ended(Outcome::Ok));
    for _ in 0..200 {
        let picked = router.pick(NOW + Millis(2999), &service(), &names, &requirements);
        assert_eq!(picked.unwrap(), names[1]);
    }
    let none = router
        .pick(NOW, &service(), &names[..1], &requirements)
        .unwrap_err();
    assert_eq!(none.retry_after, Millis(3000));
    let picked = router.pick(NOW + Millis(3000), &service(), &names[..1], &requirements);
    assert!(picked.is_ok());
}

#[test]
fn one_successful_probe_ends_an_ejection() {
    let (mut router, names) = router(1, 4, &[endpoint("a", 0, 4, 100)]);
    for _ in 0..2 {
        router.apply(NOW, &names[0], Event::Started { cost: 1 });
        router.apply(NOW, &names[0], ended(Outcome::Failed));
    }
    let requirements = Requirements {
        cost: 1,
        ..Requirements::default()
    };
    assert!(
        router
            .pick(NOW + Millis(499), &service(), &names, &requirements)
            .is_err()
    );
    let later = NOW + Millis(500);
    assert!(
        router
            .pick(later, &service(), &names, &requirements)
            .is_ok()
    );
    router.apply(later, &names[0], Event::Started { cost: 1 });
    assert!(
        router
            .pick(later, &service(), &names, &requirements)
            .is_err()
    );
    router.apply(later, &names[0], ended(Outcome::Failed));
    assert!(
        router
            .pick(later + Millis(999), &service(), &names, &requirements)
            .is_err()
    );
    let last = later + Millis(1000);
    assert!(router.pick(last, &service(), &names, &requirements).is_ok());
    router.apply(last, &names[0], Event::Started { cost: 1 });
    router.apply(last, &names[0], ended(Outcome::Ok));
    assert!(router.pick(last, &service(), &names, &requirements).is_ok());
}

#[test]
fn a_report_replaces_the_local_changes_it_counts() {
    let (mut router, names) = router(1, 4, &[endpoint("a", 0, 4, 100)]);
    router.apply(Millis(100), &names[0], Event::Started { cost: 1 });
    router.apply(Millis(900), &names[0], Event::Started { cost: 1 });
    let report = |at, running| {
        Event::Reported(Report {
            at: Millis(at),
            running,
            waiting: 0,
            free_kv: 0,
            leaving: false,
        })
    };
    router.apply(Millis(1000), &names[0], report(500, 7));
    assert!((router.view(&names[0]).unwrap().load(1.0) - 8.0).abs() < 1e-9);
    assert_eq!(router.hints()[0].unreported.count, 1);
    router.apply(Millis(1100), &names[0], report(400, 90));
    assert!((router.view(&names[0]).unwrap().load(1.0) - 8.0).abs() < 1e-9);
}

#[test]
fn routers_with_the_same_stale_view_spread_their_picks() {
    let endpoints: Vec<Endpoint> = (0..10)
        .map(|at| endpoint(&format!("e{at}"), 0, 4, 100))
        .collect();
    let mut counts = vec![0_u32; 10];
    for seed in 0..300 {
        let (mut router, names) = router(seed, 4, &endpoints);
        for (at, name) in names.iter().enumerate() {
            let running = if at == 0 { 0 } else { 20 };
            let report = Report {
                at: NOW,
                running,
                waiting: 0,
                free_kv: 0,
                leaving: false,
            };
            router.apply(NOW, name, Event::Reported(report));
        }
        let requirements = Requirements {
            cost: 1,
            ..Requirements::default()
        };
        let picked = router.pick(NOW, &service(), &names, &requirements).unwrap();
        counts[names.iter().position(|name| *name == picked).unwrap()] += 1;
    }
    // A fifth of the routers draws the idle endpoint as one of two out of ten: 60 of 300.
    assert!(counts[0] < 90, "{counts:?}");
    assert!(counts.iter().all(|&count| count > 10), "{counts:?}");
}

#[test]
fn a_cached_prefix_is_preferred_until_the_queue_outweighs_it() {
    let endpoints: Vec<Endpoint> = (0..8)
        .map(|at| endpoint(&format!("e{at}"), 0, 4, 100))
        .collect();
    let (mut router, names) = router(3, 4, &endpoints);
    let prefix: Vec<u64> = (0..64).collect();
    for &hash in &prefix {
        router.apply(NOW, &names[5], Event::Cached(CacheEvent::Stored(hash)));
    }
    let requirements = Requirements {
        cost: 100,
        prefix: &prefix,
        avoid: &[],
    };
    for _ in 0..50 {
        assert_eq!(
            router.pick(NOW, &service(), &names, &requirements).unwrap(),
            names[5]
        );
    }
    let report = Report {
        at: NOW,
        running: 500,
        waiting: 0,
        free_kv: 0,
        leaving: false,
    };
    router.apply(NOW, &names[5], Event::Reported(report));
    for _ in 0..50 {
        assert_ne!(
            router.pick(NOW, &service(), &names, &requirements).unwrap(),
            names[5]
        );
    }
}

#[test]
fn the_bound_of_small_cases_is_exact() {
    let rate = |endpoints: &[Endpoint]| {
        let all: Vec<&Endpoint> = endpoints.iter().collect();
        flow::bound(8, &all)
    };
    let near = |left: f64, right: f64| (left - right).abs() < 0.01;
    // Two stages in sequence: the slower one limits.
    let line = rate(&[endpoint("a", 0, 4, 100), endpoint("b", 4, 8, 60)]);
    assert!(near(line.rate, 60.0), "{line:?}");
    assert_eq!(line.layers, [Layers { from: 4, to: 8 }]);
    assert_eq!(line.cut, ["b".into()]);
    // A whole-model endpoint runs sub-ranges beside a stage: 400 + 8 * 50 layer steps over 8.
    let mixed = rate(&[endpoint("a", 0, 4, 100), endpoint("w", 0, 8, 50)]);
    assert!(near(mixed.rate, 100.0), "{mixed:?}");
    // The same with a faster stage: only the whole-model endpoint holds layers 4..8.
    let skewed = rate(&[endpoint("a", 0, 4, 900), endpoint("w", 0, 8, 50)]);
    assert!(near(skewed.rate, 100.0), "{skewed:?}");
    assert_eq!(skewed.layers, [Layers { from: 4, to: 8 }]);
    // A gap in the layers makes the rate 0.
    assert!(near(rate(&[endpoint("a", 0, 4, 100)]).rate, 0.0));
    assert!(near(rate(&[]).rate, 0.0));
    // A slow link: each of 64 slots yields at most one token per round trip of 2 s.
    let mut far = endpoint("a", 0, 8, 100);
    far.delay = Millis(1000);
    assert!(near(rate(&[far]).rate, 32.0));
}

#[test]
fn retries_stay_within_a_tenth_of_the_successes() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.succeeded();
        while budget.take() {
            retries += 1;
        }
    }
    assert_eq!(retries, 10 + 99);
    assert!((0..1000).all(|_| !budget.take()));
}

#[test]
fn suspicion_timeout_follows_recent_step_times_within_bounds() {
    let (mut router, names) = router(1, 4, &[endpoint("a", 0, 4, 100)]);
    assert_eq!(router.suspicion_timeout(&names[0]), Some(Millis(5000)));
    for _ in 0..200 {
        router.apply(NOW, &names[0], Event::Answered { took: Millis(30) });
    }
    assert_eq!(router.suspicion_timeout(&names[0]), Some(Millis(200)));
    for _ in 0..200 {
        router.apply(NOW, &names[0], Event::Answered { took: Millis(900) });
    }
    let timeout = router.suspicion_timeout(&names[0]).unwrap();
    assert!(
        timeout >= Millis(899) && timeout <= Millis(950),
        "{timeout}"
    );
}
