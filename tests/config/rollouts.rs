//! Tests of version rollouts and pinned versions.

use cornelwharf::core::config::change::Offset;
use cornelwharf::core::config::outcome::Outcome;
use cornelwharf::core::config::rollout::Advance;
use cornelwharf::core::config::rollout::Control;
use cornelwharf::core::config::rollout::Step;

use crate::log::BASE;
use crate::log::Log;

const THIRD: &str = "
endpoints: [{name: third, addr: '10.0.0.7:9000', domain: d, owner: oak, service: chat, \
layers: {from: 0, to: 8}}]";

/// Returns a log in which a change of the model to version v2 is confirmed.
fn log_with_v2() -> Log {
    let mut log = Log::base();
    log.change("ada", &BASE.replace("version: v1", "version: v2"));
    log
}

fn step(log: &mut Log, step: Step) -> Outcome {
    log.append(Control {
        service: "chat".into(),
        step,
        by: "ada".into(),
        at: log.now,
    })
}

fn id(log: &Log) -> Offset {
    log.state.rollout(&"chat".into()).unwrap().id
}

fn advance(log: &mut Log, rollout: Offset, done: &[&str], next: &[&str]) -> Outcome {
    log.append(Advance {
        service: "chat".into(),
        rollout,
        done: done.iter().map(|name| (*name).into()).collect(),
        next: next.iter().map(|name| (*name).into()).collect(),
        by: "vm".into(),
        at: log.now,
    })
}

fn pinned_version(log: &Log, endpoint: &str) -> String {
    log.state
        .pinned_version(&endpoint.into())
        .unwrap()
        .to_string()
}

#[test]
fn a_confirmed_version_moves_no_endpoint_until_the_rollout_runs() {
    let mut log = log_with_v2();
    log.change("ada", THIRD);
    for name in ["low", "high", "third"] {
        assert_eq!(pinned_version(&log, name), "v1");
    }
    let now = id(&log);
    assert_eq!(advance(&mut log, now, &[], &["low"]), Outcome::RolloutBound);
    assert_eq!(log.state.pinned_version(&"db".into()), None);
}

#[test]
fn the_share_limits_how_many_endpoints_are_out() {
    let mut log = log_with_v2();
    step(&mut log, Step::Run { share: 50 });
    let now = id(&log);
    assert_eq!(
        advance(&mut log, now, &[], &["low", "high"]),
        Outcome::RolloutBound
    );
    assert_eq!(advance(&mut log, now, &[], &["low"]), Outcome::Accepted);
    assert_eq!(
        advance(&mut log, now, &[], &["high"]),
        Outcome::RolloutBound
    );
    assert_eq!(
        advance(&mut log, now, &["low"], &["high"]),
        Outcome::Accepted
    );
    assert_eq!(pinned_version(&log, "high"), "v2");
    assert_eq!(
        advance(&mut log, now, &["high"], &["db"]),
        Outcome::NotFound
    );
}

#[test]
fn a_paused_rollout_moves_no_further_endpoints() {
    let mut log = log_with_v2();
    step(&mut log, Step::Run { share: 10 });
    let running = id(&log);
    advance(&mut log, running, &[], &["low"]);
    step(&mut log, Step::Pause);
    assert_eq!(
        advance(&mut log, running, &["low"], &["high"]),
        Outcome::StaleRollout
    );
    let paused = id(&log);
    assert_eq!(
        advance(&mut log, paused, &["low"], &["high"]),
        Outcome::RolloutBound
    );
    assert_eq!(advance(&mut log, paused, &["low"], &[]), Outcome::Accepted);
    log.change("ada", THIRD);
    let pinned = ["low", "high", "third"].map(|name| pinned_version(&log, name));
    assert_eq!(pinned, ["v2", "v1", "v1"]);
}

#[test]
fn a_rollout_returns_to_the_old_version() {
    let mut log = log_with_v2();
    step(&mut log, Step::Run { share: 100 });
    let running = id(&log);
    advance(&mut log, running, &[], &["low", "high"]);
    step(&mut log, Step::Back);
    let back = id(&log);
    assert_eq!(
        advance(&mut log, back, &[], &["low", "high"]),
        Outcome::Accepted
    );
    assert_eq!(pinned_version(&log, "low"), "v1");
    assert_eq!(step(&mut log, Step::Run { share: 101 }), Outcome::Invalid);
}
