//! The choice of the endpoint that runs a call.

use crate::clock::Millis;

/// The calls that an endpoint gets for each of its slots before further ones wait on the VMs: two
/// more for each that runs, so that a call has at most three times its usual time there.
pub const CALLS_PER_SLOT: u32 = 3;
/// The part of the calls that may run again which test an endpoint that fails more than the others.
const TEST_SHARE: f64 = 0.05;
/// How much likelier an endpoint of the same domain is chosen. A call to another domain takes a
/// fraction of a millisecond longer, and a domain's callers may all come at once.
const HOME_WEIGHT: f64 = 2.0;
/// The age at which the differences between endpoints count half: calls are shorter than the age of
/// the counts, so that only lasting differences are still true.
const HALF_AGE: Millis = Millis(500);
/// Counts that are older than this are ignored.
const MAX_AGE: Millis = Millis(3000);

/// What is known of an endpoint that may run a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The calls that it runs at the same time, as its entry says; 0 if it doesn't say.
    pub slots: u32,
    /// This VM's calls in progress there.
    pub own: u32,
    /// The calls of all VMs in progress there and the age of this count; `None` if unknown.
    pub fleet: Option<(u32, Millis)>,
    /// The factor on its cost for failures that this VM saw itself; at least 1.
    pub penalty: f64,
    /// Whether it runs in this VM's domain.
    pub is_home: bool,
    /// Whether it stalled, or this VM's calls failed there just now.
    pub is_avoided: bool,
    /// Whether it fails more calls than the others of its service.
    pub stands_out: bool,
}

impl Candidate {
    fn is_good(&self) -> bool {
        !self.is_avoided && !self.stands_out
    }
}

/// The random numbers for a choice, each from 0 up to, but not including, 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Draws {
    /// Picks the endpoint.
    pub pick: f64,
    /// Decides whether the call tests an endpoint that fails more than the others.
    pub test: f64,
}

/// The attempt for which an endpoint is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Whether no endpoint may have run the call, and [`super::Room`] found room for it.
    pub is_first: bool,
    /// Whether another endpoint may run the call if this one fails.
    pub may_repeat: bool,
}

/// The outcome of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The call goes to the candidate with this index.
    Send(usize),
    /// Every endpoint that could run the call has as many as it should get.
    Full,
    /// There is no endpoint.
    Absent,
}

/// Returns the calls in progress at each candidate, estimated from this VM's own and those that the
/// others had some time ago.
pub fn estimate_running(candidates: &[Candidate]) -> Vec<f64> {
    let others: Vec<Option<(f64, f64)>> = candidates
        .iter()
        .map(|candidate| {
            let (running, age) = candidate.fleet.filter(|(_, age)| *age <= MAX_AGE)?;
            let weight = 0.5_f64.powf(age.0 as f64 / HALF_AGE.0 as f64);
            Some((f64::from(running.saturating_sub(candidate.own)), weight))
        })
        .collect();
    let known = others.iter().flatten();
    let (count, sum) = known.fold((0.0, 0.0), |(count, sum), (running, _)| {
        (count + 1.0, sum + running)
    });
    let mean = if count > 0.0 { sum / count } else { 0.0 };
    let estimates = candidates.iter().zip(others);
    estimates
        .map(|(candidate, others)| {
            let others = others.map_or(0.0, |(running, weight)| mean + (running - mean) * weight);
            f64::from(candidate.own) + others
        })
        .collect()
}

/// Chooses the endpoint for an attempt.
///
/// This answers the load of hundreds of VMs that choose by the same old counts: endpoints are drawn
/// in proportion to their free slots, then to the room in their queues, so that calls sent at the
/// same time spread as the room does instead of all going where the least was. An endpoint that
/// fails more than the others gets a bounded share of the calls that may run again, and otherwise
/// only work that no other could run.
pub fn choose(candidates: &[Candidate], attempt: Attempt, draws: Draws) -> Choice {
    if candidates.is_empty() {
        return Choice::Absent;
    }
    let running = estimate_running(candidates);
    let free = |index: usize, per_slot: u32| {
        let slots = f64::from(candidates[index].slots);
        if slots > 0.0 {
            (slots * f64::from(per_slot) - running[index]).max(0.0) / slots
        } else {
            1.0
        }
    };
    let draw = |is_fit: fn(&Candidate) -> bool, per_slot: Option<u32>| {
        let weight = |(index, candidate): (usize, &Candidate)| {
            let home = if candidate.is_home { HOME_WEIGHT } else { 1.0 };
            let room = per_slot.map_or(1.0, |per_slot| free(index, per_slot));
            let fit = f64::from(u8::from(is_fit(candidate)));
            fit * home * room / (candidate.penalty * candidate.penalty)
        };
        let weights: Vec<f64> = candidates.iter().enumerate().map(weight).collect();
        pick_weighted(&weights, draws.pick)
    };
    let is_tested = |candidate: &Candidate| candidate.stands_out && !candidate.is_avoided;
    let is_up = |candidate: &Candidate| !candidate.is_avoided;
    let full = Some(CALLS_PER_SLOT);
    let may_test = attempt.is_first && attempt.may_repeat;
    let has_good = candidates.iter().any(Candidate::is_good);
    let chosen = None
        .or_else(|| draw(is_tested, Some(1)).filter(|_| may_test && draws.test < TEST_SHARE))
        .or_else(|| draw(Candidate::is_good, Some(1)))
        .or_else(|| draw(Candidate::is_good, full))
        // A call that runs at most once had better wait than go where calls fail.
        .or_else(|| draw(is_up, full).filter(|_| !has_good || may_test))
        .or_else(|| draw(Candidate::is_good, None).filter(|_| attempt.is_first))
        .or_else(|| draw(is_up, None).filter(|_| !has_good))
        .or_else(|| draw(|_| true, None).filter(|_| !has_good));
    chosen.map_or(Choice::Full, Choice::Send)
}

fn pick_weighted(weights: &[f64], draw: f64) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut left = draw * total;
    let mut last = None;
    for (index, weight) in weights
        .iter()
        .enumerate()
        .filter(|(_, weight)| **weight > 0.0)
    {
        last = Some(index);
        if left < *weight {
            break;
        }
        left -= weight;
    }
    last
}
