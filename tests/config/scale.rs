//! Tests at the sizes that the design supports: 21,000 teams, 600 endpoints and 30 models.

use std::fmt::Write as _;
use std::time::Instant;

use cornelwharf::core::config::index::Principal;
use cornelwharf::core::config::intent::Intent;
use cornelwharf::core::config::intent::MAX_INTENT_OBJECTS;
use cornelwharf::core::config::object::Digest;
use cornelwharf::core::config::outcome::Outcome;
use cornelwharf::core::config::record::MAX_RECORD_BYTES;
use cornelwharf::core::config::record::Record;
use cornelwharf::core::config::snapshot::Loader;
use cornelwharf::core::config::snapshot::Snapshot;

use crate::log::Log;

const TEAMS: usize = 21_000;
const MODELS: usize = 30;
const ENDPOINTS: usize = 600;
const OWNERS: usize = 4;
const BATCH: usize = MAX_INTENT_OBJECTS / 2;

fn services() -> String {
    let mut yaml = format!("operators: [{{name: ada, token: '{:064x}'}}]\nowners:\n", 1);
    for i in 0..OWNERS {
        writeln!(yaml, "  - {{name: o{i}, token: '{:064x}'}}", i + 2).unwrap();
    }
    yaml.push_str("services:\n");
    for i in 0..MODELS {
        let kind = "{model: {layers: 80, version: v1}}";
        writeln!(yaml, "  - {{name: m{i}, kind: {kind}}}").unwrap();
    }
    yaml
}

fn endpoints(from: usize) -> String {
    let mut yaml = String::from("endpoints:\n");
    for i in from..(from + BATCH).min(ENDPOINTS) {
        let (model, owner, half) = (i % MODELS, i % OWNERS, i / MODELS % 2 * 40);
        writeln!(
            yaml,
            "  - {{name: e{i}, addr: '10.1.{}.{}:9000', domain: d{}, owner: o{owner}, \
             service: m{model}, layers: {{from: {half}, to: {}}}, slots: 8}}",
            i / 250,
            i % 250 + 1,
            i % 6,
            half + 40,
        )
        .unwrap();
    }
    yaml
}

fn teams(from: usize) -> String {
    let range = from..(from + BATCH).min(TEAMS);
    let mut yaml = String::from("teams:\n");
    for i in range.clone() {
        writeln!(yaml, "  - {{name: t{i}, token: '{:064x}'}}", i + 100).unwrap();
    }
    yaml.push_str("grants:\n");
    for i in range {
        writeln!(yaml, "  - {{team: t{i}, service: m{}}}", i % MODELS).unwrap();
    }
    yaml
}

/// Returns the resident memory of this process, in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.and_then(|field| field.parse().ok()).unwrap()
}

fn fleet() -> Log {
    let mut log = Log::default();
    let mut change = |yaml: String| assert_eq!(log.change("ada", &yaml), Outcome::Accepted);
    change(services());
    (0..ENDPOINTS)
        .step_by(BATCH)
        .map(endpoints)
        .for_each(&mut change);
    (0..TEAMS).step_by(BATCH).map(teams).for_each(&mut change);
    for i in 0..TEAMS {
        for owner in 0..OWNERS {
            let model = i % MODELS;
            let (owner, team, model) = (format!("o{owner}"), format!("t{i}"), format!("m{model}"));
            assert_eq!(log.approve(&owner, &team, &model), Outcome::Accepted);
        }
    }
    log
}

#[test]
#[ignore = "prints figures; run with --release --ignored --nocapture"]
fn fleet_figures() {
    let log = fleet();
    let before = resident();
    let clock = Instant::now();
    let state = log.replay();
    let fold = clock.elapsed();
    println!("resident memory of the state: {} KiB", resident() - before);
    println!("fold of {} records: {fold:?}", log.records.len());

    let clock = Instant::now();
    let digest = state.digest();
    println!("digest: {:?}", clock.elapsed());
    assert_eq!(digest, log.state.digest());

    let clock = Instant::now();
    let snapshot = Snapshot::of(&state).unwrap();
    let parts = snapshot.parts();
    let bytes: usize = parts.iter().map(|part| part.text.len()).sum();
    println!(
        "snapshot: {bytes} bytes, {} parts, {:?}",
        parts.len(),
        clock.elapsed()
    );

    let clock = Instant::now();
    let loaded = snapshot.load().unwrap();
    println!("load: {:?}", clock.elapsed());
    assert_eq!(loaded.content(), state.content());

    let clock = Instant::now();
    let mut count = 0;
    for i in 0..TEAMS {
        let token = Digest(format!("{:064x}", i + 100).into());
        let Some(Principal::Team(team)) = state.authenticate(&token) else {
            panic!("t{i}");
        };
        let model = format!("m{}", i % MODELS).as_str().into();
        count += state.admitted(team, &model).count();
    }
    println!(
        "authenticate and admitted: {:?} each",
        clock.elapsed() / TEAMS as u32
    );
    assert_eq!(count, TEAMS * ENDPOINTS / MODELS);

    print_largest(log);
}

/// Prints the durations for the largest intent, since each step blocks the daemon's event loop.
fn print_largest(mut log: Log) {
    let yaml = teams(0).replace("token:", "weight: 2, token:");
    let yaml = yaml.replace("grants:", "remove:\n  grants:");
    let clock = Instant::now();
    let intent = Intent::parse(&yaml).unwrap();
    println!("parse of {} bytes: {:?}", yaml.len(), clock.elapsed());

    let clock = Instant::now();
    let plan = log.state.plan(log.now, &"ada".into(), &intent).unwrap();
    println!(
        "plan of {} changes: {:?}",
        plan.changes.len(),
        clock.elapsed()
    );

    let id = plan.id.clone();
    let clock = Instant::now();
    assert_eq!(log.append(plan), Outcome::Accepted);
    println!("fold of the plan: {:?}", clock.elapsed());

    let clock = Instant::now();
    assert_eq!(log.confirm("ada", &id), Outcome::Accepted);
    println!("fold of its confirmation: {:?}", clock.elapsed());
}

#[test]
fn all_teams_authenticate_and_fit_into_a_snapshot() {
    let mut log = Log::default();
    log.change("ada", &services());
    for from in (0..TEAMS).step_by(BATCH) {
        assert_eq!(log.change("ada", &teams(from)), Outcome::Accepted);
    }
    for i in (0..TEAMS).step_by(997) {
        let token = Digest(format!("{:064x}", i + 100).into());
        let team = format!("t{i}").as_str().into();
        let expected = Principal::Team(team);
        assert_eq!(log.state.authenticate(&token), Some(&expected));
    }
    assert_eq!(log.state.content().teams.len(), TEAMS);
    assert_eq!(log.state.models().count(), MODELS);

    let parts = Snapshot::of(&log.state).unwrap().parts();
    assert!(parts.len() > 1);
    let mut loader = Loader::new();
    let mut whole = None;
    for part in parts {
        let record = Record::new(log.state.next(), part.clone());
        assert!(record.encode().len() <= MAX_RECORD_BYTES);
        whole = loader.offer(&part);
    }
    assert_eq!(
        whole.unwrap().load().unwrap().content(),
        log.state.content()
    );
}
