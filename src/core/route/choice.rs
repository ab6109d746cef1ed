//! Load-balancing policies: which of several interchangeable endpoints gets the work.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How the router chooses among endpoints. All but [`Policy::TwoChoices`] are baselines for
/// measurements (docs/ROUTING.md).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// A uniformly random endpoint.
    Random,
    /// The endpoints in rotation.
    RoundRobin,
    /// The endpoint with the fewest requests of this VM in progress; ties are broken at random.
    LeastWork,
    /// Of two endpoints drawn at random by their flow weights, the one with the shorter expected
    /// wait.
    #[default]
    TwoChoices,
}

/// The figures of one endpoint that the policies compare.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// How many of this VM's requests are in progress on it.
    pub in_flight: u32,
    /// The expected milliseconds until the work is done, including the price of the link.
    pub wait: f64,
    /// Its weight for the random draw, derived from the optimal flow.
    pub weight: f64,
}

/// Draws an index below `count` uniformly.
pub fn random(rng: &mut ChaCha8Rng, count: usize) -> Option<usize> {
    (count > 0).then(|| rng.random_range(0..count))
}

/// Returns the index whose turn it is; `picks` counts the picks so far.
pub fn round_robin(picks: usize, count: usize) -> Option<usize> {
    (count > 0).then(|| picks % count)
}

/// Picks the candidate with the fewest own requests; ties are broken at random.
pub fn least_work(rng: &mut ChaCha8Rng, all: &[Candidate]) -> Option<usize> {
    let least = all.iter().map(|one| one.in_flight).min()?;
    let ties: Vec<usize> = (0..all.len())
        .filter(|&at| all[at].in_flight == least)
        .collect();
    random(rng, ties.len()).map(|at| ties[at])
}

/// Draws two candidates by weight and picks the one with the shorter wait.
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
