//! A randomized soak test: three daemons run as separate processes while faults are injected.
//!
//! Callers send requests while processes are stopped, paused, killed and restarted, engines stall
//! or break, the store is silent, and a proxy in front of the store delays, resets or silences
//! connections in one or both directions. The results that callers and endpoints recorded are
//! checked against the promises. A third of the seeds have planned work only (restarts and
//! configuration changes), in which no answer may be cut off.
//!
//! `cargo test --test soak` runs the CI seeds and those that failed before;
//! `SEEDS=100..150 cargo test --test soak` runs other seeds; `SOAK_LOGS=FOLDER` keeps the daemons' logs there.

#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/world.rs"]
mod world;

use std::ops::Range;

use world::run_seed;

/// The seeds that run by default and in CI.
const CI_SEEDS: Range<u64> = 0..3;

/// Seeds that failed once and were diagnosed, each with the cause. KNOWN-RED.txt lists seeds
/// without a diagnosis.
const FAILED_SEEDS: [(u64, &str); 1] = [(
    420,
    "streams that reached the route's time limit on a busy machine counted as cut off",
)];

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SEEDS") else {
        return CI_SEEDS.chain(FAILED_SEEDS.map(|(seed, _)| seed)).collect();
    };
    let (from, to) = text
        .split_once("..")
        .expect("SEEDS must have the form FROM..TO");
    let number = |text: &str| {
        text.parse::<u64>()
            .expect("SEEDS must have the form FROM..TO")
    };
    (number(from)..number(to)).collect()
}

#[test]
fn promises_hold_under_random_faults() {
    for seed in seeds() {
        let report = run_seed(seed);
        println!("seed {seed}: {report}");
    }
}
