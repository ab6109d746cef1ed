//! Tests of the load tool that need no daemon: arrivals, counters and scenarios.

use std::time::Duration;

use cornelwharf::bench::arrival::Arrivals;
use cornelwharf::bench::scenario::Scenario;
use cornelwharf::bench::tally::Slot;
use cornelwharf::bench::tally::Spans;

const SCENARIO: &str = "
name: small
span: 1000
entries: ['127.0.0.1:7001']
classes:
  - {team: web, rate: 5, work: {plain: {path: /v1/services/ledger/x}}}
  - {team: web, rate: 5, work: {completion: {model: chat, layers: 6, prompt: 4, tokens: 8}}}
";

#[test]
fn arrivals_repeat_with_their_seed_and_keep_their_rate() {
    const RATE: f64 = 200.0;
    const COUNT: usize = 20_000;
    let all: Vec<Duration> = Arrivals::new(7, 1, RATE).take(COUNT).collect();
    let again: Vec<Duration> = Arrivals::new(7, 1, RATE).take(COUNT).collect();
    let other: Vec<Duration> = Arrivals::new(7, 2, RATE).take(COUNT).collect();
    assert_eq!(all, again);
    assert_ne!(all, other);
    assert!(all.is_sorted());
    let rate = COUNT as f64 / all[COUNT - 1].as_secs_f64();
    assert!((rate / RATE - 1.0).abs() < 0.03, "{rate}");
}

#[test]
fn a_class_without_a_rate_has_no_arrivals() {
    assert_eq!(Arrivals::new(7, 1, 0.0).next(), None);
}

#[test]
fn percentiles_are_in_milliseconds() {
    let mut spans = Spans::default();
    assert_eq!(spans.at(0.5), None);
    for millis in 1..=100 {
        spans.add(Duration::from_millis(millis));
    }
    let near = |quantile, wanted: f64| {
        let found = spans.at(quantile).unwrap();
        assert!((found / wanted - 1.0).abs() < 0.01, "{found} for {wanted}");
    };
    near(0.5, 50.0);
    near(0.95, 95.0);
    near(1.0, 100.0);
}

#[test]
fn the_time_line_has_a_slot_for_each_tenth_of_a_second() {
    let mut tally = cornelwharf::bench::tally::Tally::new(1);
    tally.tokens(Duration::from_millis(250), 3);
    tally.tokens(Duration::from_millis(299), 1);
    let tokens: Vec<u64> = tally.slots.iter().map(|slot: &Slot| slot.tokens).collect();
    assert_eq!(tokens, [0, 0, 4]);
}

#[test]
fn a_scenario_is_read_and_an_unknown_key_refused() {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    assert_eq!(scenario.classes.len(), 2);
    assert_eq!(scenario.loops, 0);
    let text = SCENARIO.replace("span:", "spam:");
    let error = Scenario::parse(&text).unwrap_err().to_string();
    assert!(error.contains("spam"), "{error}");
}
