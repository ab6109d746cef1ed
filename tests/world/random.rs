//! Random sessions from a seed: requests of callers and operators to three VMs, and two faults.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::script::Fault;
use super::script::ScheduledFault;
use super::script::Session;

/// The range of the number of commands in one session.
const COMMANDS: std::ops::Range<usize> = 6..14;
/// The possible pauses between two commands, in milliseconds.
const PAUSES_MS: [u64; 6] = [0, 5, 30, 200, 900, 2500];

/// Generates the session of a seed.
pub fn session(seed: u64) -> Session {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut text = format!("seed: {seed}\ndo:\n");
    let mut streams = Vec::new();
    let mut plans = 0;
    for at in 0..rng.random_range(COMMANDS) {
        let vm = rng.random_range(1..=3);
        let key = rng.random_range(0..3);
        let endpoint = rng.random_range(1..=6);
        let on = rng.random_bool(0.5);
        let line = match rng.random_range(0..16) {
            0..=4 => format!("call: {{vm: {vm}, name: r{at}, key: k{key}, body: b{key}}}"),
            5 => format!("call: {{vm: {vm}, name: r{at}}}"),
            6 => format!("call: {{vm: {vm}, name: r{at}, method: GET}}"),
            7..=8 => {
                streams.push(at);
                format!("complete: {{vm: {vm}, name: r{at}, limit: 6}}")
            }
            9 if !streams.is_empty() => {
                let from = streams[rng.random_range(0..streams.len())];
                format!("complete: {{vm: {vm}, name: r{at}, limit: 6, resume: r{from}}}")
            }
            10 if !streams.is_empty() => format!("gone: r{}", streams[0]),
            11 => {
                plans += 1;
                format!(
                    "operate: {{vm: {vm}, name: p{plans}, ask: {{plan: 'teams: [{{name: t{plans}, token: {:0>64}}}]'}}}}",
                    format!("{plans:x}e")
                )
            }
            12 if plans > 0 => {
                format!("operate: {{vm: {vm}, name: r{at}, ask: {{confirm: p{plans}}}}}")
            }
            13 => {
                let word = if on { "drain" } else { "undrain" };
                format!("operate: {{vm: {vm}, name: r{at}, ask: {{{word}: e{endpoint}}}}}")
            }
            14 => {
                let word = if on { "approve" } else { "revoke" };
                format!(
                    "operate: {{vm: {vm}, name: r{at}, token: olive, ask: {{{word}: {{team: team, service: ledger}}}}}}"
                )
            }
            15 => format!("stop: {vm}"),
            _ => format!("addresses: {{vm: {vm}, name: r{at}}}"),
        };
        let pause = PAUSES_MS[rng.random_range(0..PAUSES_MS.len())];
        text.extend(["  - ", &line, "\n  - run: ", &pause.to_string(), "\n"]);
    }
    serde_saphyr::from_str(&text).expect("a drawn session is valid")
}

/// Picks two faults and the steps before which they are injected.
pub fn faults(
    seed: u64,
    steps: usize,
    all: &BTreeMap<String, Fault>,
) -> Vec<(String, ScheduledFault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(1);
    let mut draw = || {
        let step = rng.random_range(0..steps.max(1));
        let at = rng.random_range(0..all.len());
        let (label, fault) = all.iter().nth(at).expect("the place is in the list");
        let fault = fault.clone();
        (label.clone(), ScheduledFault { step, fault })
    };
    vec![draw(), draw()]
}
