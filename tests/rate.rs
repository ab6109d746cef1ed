//! The division of an endpoint's rate of requests among VMs.

use std::collections::BTreeMap;

use cornelwharf::clock::Millis;
use cornelwharf::core::position::Position;
use cornelwharf::core::roster::Change;
use cornelwharf::core::roster::Entry;
use cornelwharf::core::roster::RateVms;
use cornelwharf::core::roster::Roster;
use cornelwharf::core::roster::parse_rate;
use cornelwharf::core::roster::share_rate;
use cornelwharf::names::EndpointName;
use cornelwharf::names::Vm;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const START: Millis = Millis::seconds(1000);
/// The users' window: in 4 s, one and a half times the rate and 5 requests more.
const WINDOW: Millis = Millis::seconds(4);

fn allowed(rate: f64) -> f64 {
    1.5 * rate * 4.0 + 5.0
}

fn endpoint() -> EndpointName {
    "e0".into()
}

fn roster() -> Roster {
    let entry = Entry {
        endpoint: endpoint(),
        born: 1,
        service: "pool".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        domain: "north".into(),
        leaving: false,
        slots: 16,
        kind: None,
        span: None,
    };
    let mut roster = Roster::default();
    let change = Change {
        endpoint: endpoint(),
        entry: Some(entry),
        offset: Position::new(0, 1),
    };
    roster.apply(START, change);
    roster
}

/// Returns the VMs as each of `count` VMs sees them.
fn fleets(count: usize) -> Vec<RateVms> {
    let vms: Vec<Vm> = (0..count)
        .map(|vm| format!("vm-{vm}").as_str().into())
        .collect();
    let fleet = |me: &Vm| RateVms::new(count, me, vms.iter().filter(|vm| *vm != me));
    vms.iter().map(fleet).collect()
}

#[test]
fn the_shares_of_all_vms_never_exceed_what_the_users_allow() {
    for vms in [1, 2, 3, 13, 15, 60, 195, 300] {
        for tenth in 0..2000 {
            let rate = f64::from(tenth) / 10.0;
            let shares = (0..vms).map(|rank| share_rate(rate, vms, rank));
            let sent: f64 = shares.map(|share| share.burst + 4.0 * share.rate).sum();
            assert!(sent <= allowed(rate), "rate {rate}, {vms} VMs: {sent}");
        }
    }
}

#[test]
fn vms_that_always_have_requests_keep_to_the_rate_and_use_it() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for vms in [1, 13, 195] {
        for rate in [0.5, 1.0, 5.6, 40.0] {
            let fleets = fleets(vms);
            let mut rosters: Vec<Roster> = fleets.iter().map(|_| roster()).collect();
            let mut sent: BTreeMap<Millis, usize> = BTreeMap::new();
            let mut now = START + Millis::seconds(10);
            let end = now + Millis::seconds(40);
            while now < end {
                for (roster, fleet) in rosters.iter_mut().zip(&fleets) {
                    roster.record_rate(now, &endpoint(), rate);
                    roster.share_limits(now, fleet);
                    if roster.limit_wait(now, &endpoint()) == Some(Millis(0)) {
                        roster.take_limited(now, &endpoint());
                        *sent.entry(now).or_default() += 1;
                    }
                }
                now += Millis(rng.random_range(1..20));
            }
            for at in sent.keys() {
                let count: usize = sent.range(*at..*at + WINDOW).map(|(_, count)| count).sum();
                assert!(
                    count as f64 <= allowed(rate),
                    "{count} in 4 s, rate {rate}, {vms} VMs"
                );
            }
            let total: usize = sent.values().sum();
            assert!(
                total as f64 > 0.8 * rate * 40.0,
                "{total} in 40 s, rate {rate}, {vms} VMs"
            );
        }
    }
}

#[test]
fn a_limit_ends_by_an_answer_without_it_and_other_vms_learn_of_both() {
    let (mut roster, mut other) = (roster(), roster());
    let fleet = &fleets(13)[0];
    assert!(roster.record_rate(START, &endpoint(), 1.0));
    assert!(!roster.record_rate(START, &endpoint(), 1.5), "no news");
    for notice in roster.rate_notices(START) {
        assert!(other.apply_rate_notice(START, &notice));
        assert!(!other.apply_rate_notice(START, &notice));
    }
    other.share_limits(START, fleet);
    assert!(other.has_limits(START));
    let late = START + Millis(100);
    assert!(
        !roster.end_rate(late, &endpoint()),
        "sent before the limit began"
    );
    let later = START + Millis::seconds(1);
    assert!(roster.end_rate(later, &endpoint()));
    for notice in roster.rate_notices(later) {
        assert!(other.apply_rate_notice(later, &notice));
    }
    assert!(!other.has_limits(later));
    assert_eq!(other.limit_wait(later, &endpoint()), Some(Millis(0)));
}

#[test]
fn values_that_are_no_rates_are_refused() {
    for text in ["", "many", "-1", "nan", "inf", "1,5", "1e400"] {
        assert!(parse_rate(text).is_err(), "{text}");
    }
    assert_eq!(parse_rate(" 5.6 "), Ok(5.6));
    assert_eq!(parse_rate("0"), Ok(0.0));
}
