//! Tests that replicas and snapshots agree on the state.

use cornelwharf::clock::Millis;
use cornelwharf::core::config::change::Offset;
use cornelwharf::core::config::intent::Intent;
use cornelwharf::core::config::lease::Holder;
use cornelwharf::core::config::lease::LeaseRequest;
use cornelwharf::core::config::outcome::Outcome;
use cornelwharf::core::config::plan::PlanId;
use cornelwharf::core::config::record::Body;
use cornelwharf::core::config::record::MAX_RECORD_BYTES;
use cornelwharf::core::config::record::Record;
use cornelwharf::core::config::record::Unread;
use cornelwharf::core::config::rollout::Control;
use cornelwharf::core::config::rollout::Step;
use cornelwharf::core::config::snapshot::Loader;
use cornelwharf::core::config::snapshot::MAX_INCOMPLETE_SNAPSHOTS;
use cornelwharf::core::config::snapshot::Part;
use cornelwharf::core::config::snapshot::Snapshot;
use cornelwharf::core::config::snapshot::SnapshotError;
use cornelwharf::core::config::state::State;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use crate::log::BASE;
use crate::log::Log;

const INTENTS: [&str; 6] = [
    BASE,
    "remove: {endpoints: [low]}",
    "remove: {grants: [{team: web, service: chat}]}",
    "services: [{name: chat, kind: {model: {layers: 8, version: v2}}}]",
    "services: [{name: chat, kind: {model: {layers: 8, version: v3}}}]",
    "remove: {operators: [ben], teams: [mail]}",
];

/// Appends a record whose kind and content depend on `choice`.
fn act(log: &mut Log, plans: &mut Vec<PlanId>, choice: u8) {
    let by = if choice.is_multiple_of(2) {
        "ada"
    } else {
        "ben"
    };
    match choice % 11 {
        0..=2 => propose(log, plans, by, INTENTS[usize::from(choice) % INTENTS.len()]),
        3 | 4 => confirm(log, plans, by, usize::from(choice)),
        5 => drop(log.approve("oak", "web", "chat")),
        6 => drop(log.revoke("oak", Some("low").filter(|_| choice > 99))),
        7 => drop(log.drain(cornelwharf::names::Owner::from("oak"), choice > 99)),
        8 => lease(log, by, choice),
        9 => step(log, by, choice),
        _ => copy(log, usize::from(choice)),
    }
}

fn propose(log: &mut Log, plans: &mut Vec<PlanId>, by: &str, yaml: &str) {
    let intent = Intent::parse(yaml).unwrap();
    if let Ok(plan) = log.state.plan(log.now, &by.into(), &intent) {
        plans.push(plan.id.clone());
        log.append(plan);
    }
}

fn confirm(log: &mut Log, plans: &[PlanId], by: &str, choice: usize) {
    if let Some(id) = plans.iter().rev().nth(choice % 4) {
        log.confirm(by, id);
    }
}

fn lease(log: &mut Log, vm: &str, choice: u8) {
    log.append(LeaseRequest {
        name: "orders.low".into(),
        holder: Holder {
            vm: vm.into(),
            boot: 1,
        },
        at: Millis::seconds(u64::from(choice)),
        span: Millis::seconds(10),
    });
}

fn step(log: &mut Log, by: &str, choice: u8) {
    let step = [Step::Run { share: 50 }, Step::Pause, Step::Back][usize::from(choice) % 3];
    log.append(Control {
        service: "chat".into(),
        step,
        by: by.into(),
        at: log.now,
    });
}

fn copy(log: &mut Log, choice: usize) {
    let record = log.records[choice % log.records.len()].clone();
    log.push(&record);
}

fn restored(state: &State) -> State {
    let snapshot = Snapshot::of(state).unwrap();
    let mut loader = Loader::new();
    let mut parts = snapshot.parts();
    parts.reverse();
    let whole = parts.iter().find_map(|part| loader.offer(part));
    whole.unwrap().load().unwrap()
}

fn tail(state: &mut State, log: &Log, from: usize) {
    for (index, record) in log.records.iter().enumerate().skip(from) {
        state.apply(Offset(index as u64), record).unwrap();
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn replicas_and_snapshots_agree(choices in vec(0_u8..220, 1..120), cut in 0_usize..120) {
        let mut log = Log::base();
        let mut plans = Vec::new();
        for choice in choices {
            act(&mut log, &mut plans, choice);
        }
        let digest = log.state.digest();
        assert_eq!(log.replay().digest(), digest);

        let cut = cut % log.records.len();
        let mut early = State::new();
        for index in 0..=cut {
            early.apply(Offset(index as u64), &log.records[index]).unwrap();
        }
        let mut late = restored(&early);
        assert_eq!(late.digest(), early.digest());
        tail(&mut late, &log, cut.saturating_sub(3));
        assert_eq!(late.digest(), digest);
        assert_eq!(late.content(), log.state.content());
        let admitted = |state: &State| {
            let names = state.admitted(&"web".into(), &"chat".into());
            names.map(|endpoint| endpoint.name.clone()).collect::<Vec<_>>()
        };
        assert_eq!(admitted(&late), admitted(&log.state));
    }
}

#[test]
fn a_late_snapshot_is_harmless() {
    let mut log = Log::base();
    let old = restored(&log.state);
    log.approve("oak", "web", "chat");
    let digest = log.state.digest();
    assert!(!log.state.adopt(old));
    assert_eq!(log.state.digest(), digest);
    let mut behind = Log::base().state;
    assert!(behind.adopt(restored(&log.state)));
    assert_eq!(behind.digest(), digest);
}

#[test]
fn parts_in_the_log_change_nothing_and_fit_into_records() {
    let mut log = Log::base();
    let before = log.state.content().clone();
    for part in Snapshot::of(&log.state).unwrap().parts() {
        let record = Record::new(log.state.next(), part.clone());
        assert!(record.encode().len() <= MAX_RECORD_BYTES);
        assert_eq!(log.append(Body::Snapshot(part)), Outcome::Noted);
    }
    assert_eq!(*log.state.content(), before);
}

#[test]
fn a_damaged_snapshot_is_not_loaded() {
    let log = Log::base();
    let part = Snapshot::of(&log.state).unwrap().parts().remove(0);
    let text = part.text.replace("web", "wab").into();
    let damaged = Part {
        text,
        ..part.clone()
    };
    let snapshot = Loader::new().offer(&damaged).unwrap();
    assert_eq!(snapshot.load().unwrap_err(), SnapshotError::Digest);
    let moved = Part {
        covers: Offset(9),
        ..part
    };
    let snapshot = Loader::new().offer(&moved).unwrap();
    assert_eq!(snapshot.load().unwrap_err(), SnapshotError::Format);
}

#[test]
fn a_loader_waits_for_all_parts_and_limits_incomplete_snapshots() {
    let log = Log::base();
    let part = Snapshot::of(&log.state).unwrap().parts().remove(0);
    let mut loader = Loader::new();
    let first = |covers| Part {
        covers: Offset(covers),
        count: 2,
        ..part.clone()
    };
    let second = |covers| Part {
        number: 1,
        ..first(covers)
    };
    for covers in 0..=MAX_INCOMPLETE_SNAPSHOTS as u64 {
        assert_eq!(loader.offer(&first(covers)), None);
        assert_eq!(loader.offer(&first(covers)), None);
    }
    assert_eq!(loader.offer(&second(0)), None);
    assert!(
        loader
            .offer(&second(MAX_INCOMPLETE_SNAPSHOTS as u64))
            .is_some()
    );
    assert_eq!(
        loader.offer(&Part {
            number: 7,
            ..part.clone()
        }),
        None
    );
}

#[test]
fn no_snapshot_is_written_of_an_empty_or_incomplete_state() {
    assert_eq!(Snapshot::of(&State::new()), Err(SnapshotError::Empty));
    let mut log = Log::base();
    let unread = Record::new(Offset(2), Unread::Unknown);
    log.state.apply(Offset(2), &unread).unwrap();
    let error = Snapshot::of(&log.state).unwrap_err();
    assert_eq!(error, SnapshotError::Incomplete { skipped: 1 });
}
