//! The policies: which one of several equal endpoints gets the work.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How the router chooses among endpoints. All but the last are baselines, kept to measure against
/// (docs/ROUTING.md).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Any endpoint, evenly.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the least own work in progress.
    LeastWork,
    /// The better by expected wait of two that are drawn by their flow weights.
    #[default]
    TwoChoices,
}

/// What a policy knows of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The own requests in progress on it.
    pub in_flight: u32,
    /// The expected milliseconds until the work is done, with the price of the link.
    pub wait: f64,
    /// Its weight in the best flow.
    pub weight: f64,
}

/// Draws one of `count` evenly.
pub fn random(rng: &mut ChaCha8Rng, count: usize) -> Option<usize> {
    (count > 0).then(|| rng.random_range(0..count))
}

/// Takes the one whose turn it is.
pub fn round_robin(picks: usize, count: usize) -> Option<usize> {
    (count > 0).then(|| picks % count)
}

/// Takes the one with the least own work; equals are drawn evenly.
pub fn least_work(rng: &mut ChaCha8Rng, all: &[Candidate]) -> Option<usize> {
    let least = all.iter().map(|one| one.in_flight).min()?;
    let ties: Vec<usize> = (0..all.len())
        .filter(|&at| all[at].in_flight == least)
        .collect();
    random(rng, ties.len()).map(|at| ties[at])
}

/// Draws two by weight and takes the one with the shorter wait.
pub fn two_choices(rng: &mut ChaCha8Rng, all: &[Candidate]) -> Option<usize> {
    let first = draw_weighted(rng, all, None)?;
    let Some(second) = draw_weighted(rng, all, Some(first)) else {
        return Some(first);
    };
    let better = all[second].wait < all[first].wait;
    Some(if better { second } else { first })
}

fn draw_weighted(
    rng: &mut ChaCha8Rng,
    all: &[Candidate],
    excluded: Option<usize>,
) -> Option<usize> {
    let remaining = || (0..all.len()).filter(|&at| Some(at) != excluded);
    let total: f64 = remaining().map(|at| all[at].weight).sum();
    let mut threshold = rng.random_range(0.0..1.0) * total;
    for at in remaining() {
        threshold -= all[at].weight;
        if threshold < 0.0 {
            return Some(at);
        }
    }
    remaining().next_back()
}
