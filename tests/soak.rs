//! A randomized soak: three daemons as processes of their own, and faults from outside them.
//!
//! Callers keep asking while processes are stopped, paused, killed and started again, engines stand
//! still or break off, the store goes away, and a proxy before it delays, resets, silences or cuts
//! one way. What callers and endpoints saw is checked against the promises. A third of the seeds
//! have planned work only, and then no answer may be cut off.
//!
//! `cargo test --test soak` plays the seeds that CI plays and those that ever failed;
//! `SEEDS=100..150 cargo test --test soak` plays others.

#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/world.rs"]
mod world;

use std::ops::Range;

use world::run_seed;

/// The seeds that CI plays.
const CI_SEEDS: Range<u64> = 0..3;

/// Seeds that failed once and were traced, each with the cause; KNOWN-RED.txt lists those that were not.
const FAILED_SEEDS: [(u64, &str); 0] = [];

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SEEDS") else {
        return CI_SEEDS.chain(FAILED_SEEDS.map(|(seed, _)| seed)).collect();
    };
    let (from, to) = text.split_once("..").expect("SEEDS is FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("SEEDS is FROM..TO");
    (number(from)..number(to)).collect()
}

#[test]
fn promises_hold_under_random_faults() {
    for seed in seeds() {
        let report = run_seed(seed);
        println!("seed {seed}: {report}");
    }
}
