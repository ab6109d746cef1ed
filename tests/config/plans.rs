//! Tests of plans, their confirmation and the audit trail.

use cornelwharf::clock::Millis;
use cornelwharf::core::config::audit::Entry;
use cornelwharf::core::config::audit::Subject;
use cornelwharf::core::config::change::Key;
use cornelwharf::core::config::change::Offset;
use cornelwharf::core::config::check::Problem;
use cornelwharf::core::config::index::Principal;
use cornelwharf::core::config::intent::Intent;
use cornelwharf::core::config::object::Digest;
use cornelwharf::core::config::outcome::Outcome;
use cornelwharf::core::config::plan::PLAN_TTL;
use cornelwharf::core::config::plan::Plan;
use cornelwharf::core::config::plan::PlanError;
use cornelwharf::core::config::plan::PlanId;
use cornelwharf::core::config::record::Confirm;
use cornelwharf::core::config::record::MAX_RECORD_LAG;
use cornelwharf::core::config::record::Record;

use crate::log::BASE;
use crate::log::Log;

const HEAVIER: &str = "
teams: [{name: mail, weight: 9, token: \
'0000000000000000000000000000000000000000000000000000000000000006'}]";
const LIGHTER: &str = "
teams: [{name: mail, weight: 1, token: \
'0000000000000000000000000000000000000000000000000000000000000006'}]";

fn weight(log: &Log) -> u32 {
    log.state.team(&"mail".into()).unwrap().weight
}

fn plan(log: &Log, yaml: &str) -> Plan {
    let intent = Intent::parse(yaml).unwrap();
    log.state.plan(log.now, &"ada".into(), &intent).unwrap()
}

fn effects(log: &Log, yaml: &str) -> Vec<String> {
    let effects = plan(log, yaml).effects;
    effects.iter().map(ToString::to_string).collect()
}

#[test]
fn nothing_changes_until_the_plan_is_confirmed() {
    let mut log = Log::base();
    let id = log.propose("ada", HEAVIER);
    assert_eq!(weight(&log), 3);
    assert_eq!(log.confirm("ben", &id), Outcome::Accepted);
    assert_eq!(weight(&log), 9);
}

#[test]
fn of_two_concurrent_plans_for_one_object_the_second_is_stale() {
    let mut log = Log::base();
    let ada = log.propose("ada", HEAVIER);
    let ben = log.propose("ben", LIGHTER);
    assert_eq!(log.confirm("ben", &ben), Outcome::Accepted);
    let key = Key::Team("mail".into());
    let stale = Outcome::StalePlan { key };
    assert_eq!(log.confirm("ada", &ada), stale);
    assert_eq!(log.confirm("ada", &ada), stale);
    assert_eq!(weight(&log), 1);
}

#[test]
fn a_plan_that_refers_to_a_removed_object_is_refused() {
    let mut log = Log::base();
    let grant = log.propose("ada", "grants: [{team: mail, service: chat}]");
    log.change("ben", "remove: {teams: [mail]}");
    match log.confirm("ada", &grant) {
        Outcome::Conflict(fault) => assert_eq!(fault.problem, Problem::NoTeam),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_repeated_confirmation_has_no_effect() {
    let mut log = Log::base();
    let id = log.propose("ada", HEAVIER);
    assert_eq!(log.confirm("ada", &id), Outcome::Accepted);
    let first = log.state.offset().unwrap();
    log.change("ben", LIGHTER);
    assert_eq!(log.confirm("ada", &id), Outcome::AlreadyAccepted { first });
    assert_eq!(weight(&log), 1);
}

#[test]
fn late_copies_of_a_plan_and_its_confirmation_have_no_effect() {
    let mut log = Log::base();
    let id = log.propose(
        "ada",
        "teams: [{name: new, token: \
        '0000000000000000000000000000000000000000000000000000000000000007'}]",
    );
    log.confirm("ada", &id);
    let copies = log.records[log.records.len() - 2..].to_vec();
    log.change("ada", "remove: {teams: [new]}");
    for copy in copies {
        assert!(matches!(log.push(&copy), Outcome::Duplicate { .. }));
    }
    assert_eq!(log.state.team(&"new".into()), None);
}

#[test]
fn a_copy_after_the_maximum_lag_is_late() {
    let mut log = Log::base();
    log.approve("oak", "web", "chat");
    let approve = log.records.last().unwrap().clone();
    log.revoke("oak", None);
    for _ in 0..=MAX_RECORD_LAG {
        log.append(cornelwharf::core::config::record::Unread::Unknown);
    }
    assert_eq!(log.push(&approve), Outcome::Late);
    assert_eq!(log.admitted("web", "chat"), "");
}

#[test]
fn unknown_and_expired_plans_and_unknown_operators_are_refused() {
    let mut log = Log::base();
    let none = PlanId(Digest::of("none"));
    assert_eq!(log.confirm("ada", &none), Outcome::UnknownPlan);
    let id = log.propose("ada", HEAVIER);
    assert_eq!(log.confirm("eve", &id), Outcome::NotAllowed);
    log.now += PLAN_TTL + Millis(1);
    assert_eq!(log.confirm("ada", &id), Outcome::Expired);
    let intent = Intent::parse(HEAVIER).unwrap();
    let error = log.state.plan(log.now, &"eve".into(), &intent).unwrap_err();
    assert!(matches!(error, PlanError::NotAllowed { .. }));
}

#[test]
fn a_plan_that_was_tampered_with_is_invalid() {
    let mut log = Log::base();
    let mut forged = plan(&log, HEAVIER);
    forged.changes[0].after = None;
    assert_eq!(log.append(forged), Outcome::Invalid);
}

#[test]
fn the_first_plan_must_name_an_operator() {
    let log = Log::default();
    let intent = Intent::parse(
        "owners: [{name: oak, token: \
        '0000000000000000000000000000000000000000000000000000000000000003'}]",
    );
    let error = log.state.plan(log.now, &"ada".into(), &intent.unwrap());
    assert!(
        matches!(error, Err(PlanError::Invalid(fault)) if fault.problem == Problem::NoOperator)
    );
}

#[test]
fn effects_describe_capacity_approvals_and_lost_callers() {
    let mut log = Log::base();
    assert_eq!(effects(&log, BASE), ["nothing to do"]);
    assert_eq!(
        effects(&log, "remove: {endpoints: [high]}"),
        [
            "service chat: 2 endpoints and 4 slots before, 1 endpoints and 0 slots after",
            "service chat: no endpoint holds the layers 4..8",
        ]
    );
    assert_eq!(
        effects(&log, "grants: [{team: mail, service: chat}]"),
        [
            "owner elm has yet to approve team mail for service chat",
            "owner oak has yet to approve team mail for service chat",
        ]
    );
    log.approve("oak", "web", "chat");
    assert_eq!(
        effects(&log, "remove: {grants: [{team: web, service: chat}]}"),
        ["endpoint low loses its last caller"]
    );
    let moved = BASE.replacen("owner: oak", "owner: ash", 1);
    let moved = moved.replace(
        "- name: oak",
        "- name: ash\n    token: TOKEN\n  - name: oak",
    );
    assert_eq!(
        effects(&log, &moved.replace("TOKEN", &"a".repeat(64))),
        [
            "owner ash is new to service chat and has yet to approve 1 teams",
            "endpoint low loses its last caller",
        ]
    );
}

#[test]
fn a_token_authenticates_its_principal() {
    let log = Log::base();
    let token = |last: u8| Digest(format!("{last:064}").into());
    let who = |last| log.state.authenticate(&token(last)).cloned();
    assert_eq!(who(1), Some(Principal::Operator("ada".into())));
    assert_eq!(who(4), Some(Principal::Owner("elm".into())));
    assert_eq!(who(5), Some(Principal::Team("web".into())));
    assert_eq!(who(9), None);
    let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(Digest::of("abc").0.as_ref(), digest);
}

#[test]
fn the_audit_trail_holds_accepted_refused_and_stale_attempts() {
    let mut log = Log::base();
    let ada = log.propose("ada", HEAVIER);
    let ben = log.propose("ben", LIGHTER);
    log.confirm("ben", &ben);
    log.confirm("ada", &ada);
    log.confirm("eve", &ada);
    log.approve("ash", "web", "chat");
    let entries: Vec<&Entry> = log.state.audit().entries().collect();
    let lines: Vec<String> = entries
        .iter()
        .map(|entry| format!("{} {}: {}", entry.offset, entry.author.who, entry.outcome))
        .collect();
    let expected = [
        "1 operator ada: accepted",
        "4 operator ben: accepted",
        "5 operator ada: stale plan: team mail changed since",
        "6 operator eve: not allowed",
        "7 owner ash: not allowed",
    ];
    assert_eq!(lines, expected);
    assert_eq!(entries[1].author.plan, Some(ben));
    let Some(Subject::Changes(changes)) = &entries[1].subject else {
        panic!("{:?}", entries[1]);
    };
    assert_eq!(changes[0].key, Key::Team("mail".into()));
    assert!(changes[0].before.is_some() && changes[0].before != changes[0].after);
}

#[test]
fn a_folded_record_is_ignored_and_a_gap_is_an_error() {
    let mut log = Log::base();
    let before = log.state.digest();
    let record = log.records[0].clone();
    assert_eq!(log.state.apply(Offset(0), &record), Ok(Outcome::Passed));
    let gap = log.state.apply(Offset(9), &record).unwrap_err();
    assert_eq!((gap.expected, gap.got), (Offset(2), Offset(9)));
    assert_eq!(log.state.digest(), before);
}

#[test]
fn unreadable_records_are_skipped_and_counted() {
    let mut log = Log::base();
    let texts = [
        r#"{"seen":2,"body":{"teleport":{"to":"x"}}}"#,
        r#"{"seen":3,"body":{"confirm":{"plan":"x","by":"ada","at":1,"why":"y"}}}"#,
        "{",
        "",
    ];
    for text in texts {
        let record = Record::decode(text.as_bytes());
        assert!(record.digest().is_valid());
        let outcome = log.state.apply(log.state.next(), &record);
        assert_eq!(outcome, Ok(Outcome::Skipped));
    }
    assert_eq!(log.state.skipped(), 4);
    let next = log.state.next();
    let plan = plan(&log, HEAVIER);
    let confirm = Confirm {
        plan: plan.id.clone(),
        by: "ada".into(),
        at: log.now,
    };
    let state = &mut log.state;
    state.apply(next, &Record::new(next, plan)).unwrap();
    let outcome = state.apply(next.next(), &Record::new(next, confirm));
    assert_eq!(outcome, Ok(Outcome::Accepted));
}
