//! Tests of the validation of intents, and of the line numbers in its errors.

use cornelwharf::core::config::check::Problem;
use cornelwharf::core::config::intent::Intent;
use cornelwharf::core::config::intent::IntentError;
use cornelwharf::core::config::intent::MAX_INTENT_OBJECTS;
use cornelwharf::core::config::plan::PlanError;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use crate::log::BASE;
use crate::log::Log;

fn fault(yaml: &str) -> (u64, Problem) {
    match Intent::parse(yaml) {
        Err(IntentError::Invalid { line, fault }) => (line, fault.problem),
        other => panic!("{other:?}"),
    }
}

fn conflict(yaml: &str) -> Problem {
    let log = Log::base();
    let intent = Intent::parse(yaml).unwrap();
    match log.state.plan(log.now, &"ada".into(), &intent) {
        Err(PlanError::Invalid(fault)) => fault.problem,
        other => panic!("{other:?}"),
    }
}

fn endpoint(name: &str, addr: &str, service: &str, rest: &str) -> String {
    format!("{{name: {name}, addr: '{addr}', domain: d, owner: oak, service: {service}{rest}}}")
}

#[test]
fn a_complete_configuration_is_parsed() {
    let intent = Intent::parse(BASE).unwrap();
    assert_eq!(intent.objects().len(), 13);
    assert_eq!(Intent::parse("{}").unwrap(), Intent::default());
}

#[test]
fn the_intent_of_the_operators_page_is_valid() {
    let page = include_str!("../../docs/operators/plan-and-confirm.md");
    let yaml = page.split("```yaml").nth(1).unwrap();
    let yaml = yaml.split("```").next().unwrap();
    assert_eq!(Intent::parse(yaml).unwrap().objects().len(), 6);
}

#[test]
fn syntax_errors_name_the_line() {
    let cases = [
        ("teams:\n  - name: a\n    tokn: b\n", 3),
        ("teams:\n  - name: a\n    token: b\n    weight: many\n", 4),
        ("grants:\n  - team: a\n    service: [\n", 3),
        ("endpoint: []\n", 1),
    ];
    for (yaml, expected) in cases {
        match Intent::parse(yaml) {
            Err(IntentError::Syntax { line, .. }) => assert_eq!(line, expected, "{yaml}"),
            other => panic!("{yaml}: {other:?}"),
        }
    }
}

#[test]
fn faults_name_the_line_of_the_object() {
    let token = "0".repeat(64);
    let cases = [
        (
            format!("teams:\n  - {{name: '', token: '{token}'}}"),
            2,
            Problem::Name,
        ),
        (
            format!("teams:\n  - {{name: 'a b', token: '{token}'}}"),
            2,
            Problem::Name,
        ),
        (
            format!("teams:\n  - {{name: .., token: '{token}'}}"),
            2,
            Problem::Name,
        ),
        (
            format!("teams:\n  - {{name: {}, token: '{token}'}}", "n".repeat(65)),
            2,
            Problem::Name,
        ),
        (
            format!("teams:\n  - {{name: a, token: '{token}'}}\n  - name: b\n    token: FF\n"),
            3,
            Problem::TokenDigest,
        ),
        (
            format!("teams:\n  - name: a\n    token: '{token}'\n    weight: 0\n"),
            2,
            Problem::Weight,
        ),
        (
            "remove:\n  teams:\n    - a\n    - b\n    - a\n".into(),
            5,
            Problem::NamedTwice,
        ),
        (
            "services:\n  - name: s\n    kind: {model: {layers: 0, version: v}}\n".into(),
            2,
            Problem::ModelLayers,
        ),
        (
            "services:\n  - name: s\n    kind: {plain: {idempotent: [get]}}\n".into(),
            2,
            Problem::Methods,
        ),
        (
            format!("endpoints:\n  - {}\n", endpoint("e", "10.0.0.9:0", "s", "")),
            2,
            Problem::Addr,
        ),
        (
            format!(
                "endpoints:\n  - {}\n",
                endpoint("e", "10.0.0.9:1", "s", ", slots: 0")
            ),
            2,
            Problem::Range,
        ),
    ];
    for (yaml, line, problem) in cases {
        assert_eq!(fault(&yaml), (line, problem), "{yaml}");
    }
}

#[test]
fn the_size_of_an_intent_is_limited() {
    let names = "x\n    - ".repeat(MAX_INTENT_OBJECTS) + "y";
    let yaml = format!("remove:\n  teams:\n    - {names}\n");
    assert_eq!(fault(&yaml).1, Problem::TooMany);
    let yaml = "#".repeat(300_000);
    assert!(matches!(
        Intent::parse(&yaml),
        Err(IntentError::TooLarge { .. })
    ));
}

#[test]
fn references_are_checked_against_the_configuration() {
    let layers = ", layers: {from: 0, to: 8}";
    let new = |name: &str, addr: &str, service: &str, layers: &str| {
        format!("endpoints: [{}]", endpoint(name, addr, service, layers))
    };
    let cases = [
        (new("e", "10.0.0.9:1", "none", layers), Problem::NoService),
        (
            new("e", "10.0.0.1:9000", "chat", layers),
            Problem::AddrTaken,
        ),
        (
            new("e", "10.0.0.9:1", "chat", ", layers: {from: 4, to: 9}"),
            Problem::Layers,
        ),
        (new("e", "10.0.0.9:1", "chat", ""), Problem::Layers),
        (new("e", "10.0.0.9:1", "store", layers), Problem::Layers),
        (
            "grants: [{team: none, service: chat}]".into(),
            Problem::NoTeam,
        ),
        ("remove: {services: [chat]}".into(), Problem::InUse),
        ("remove: {teams: [web]}".into(), Problem::InUse),
        ("remove: {owners: [oak]}".into(), Problem::InUse),
        (
            "remove: {operators: [ada, ben]}".into(),
            Problem::NoOperator,
        ),
        (
            format!("teams: [{{name: new, token: '{:064}'}}]", 5),
            Problem::TokenTaken,
        ),
        (
            "services: [{name: chat, kind: {model: {layers: 6, version: v1}}}]".into(),
            Problem::Layers,
        ),
    ];
    for (yaml, problem) in cases {
        assert_eq!(conflict(&yaml), problem, "{yaml}");
    }
}

#[test]
fn two_endpoints_may_swap_addresses() {
    let yaml = BASE.replace("10.0.0.1:", "10.0.0.8:");
    let yaml = yaml.replace("10.0.0.2:", "10.0.0.1:");
    let mut log = Log::base();
    log.change("ada", &yaml.replace("10.0.0.8:", "10.0.0.2:"));
    let low = log.state.endpoint(&"low".into()).unwrap();
    assert_eq!(low.addr.to_string(), "10.0.0.2:9000");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_text_makes_the_parser_panic(cut in 0..BASE.len(), byte in any::<char>()) {
        let mut text = BASE.to_owned();
        text.insert(cut, byte);
        drop(Intent::parse(&text));
        drop(Intent::parse(&BASE[..cut]));
    }
}
