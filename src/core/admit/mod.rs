//! Admission control by the KV-cache memory of the engines.
//!
//! A request holds memory in every engine of its path until its last token. When the memory is
//! exhausted, engines preempt requests and process their prompts again, which delays all tokens, so
//! that requests run longer and hold more memory. A request that does not fit is therefore refused
//! before it is sent, with the time after which there should be capacity (docs/PLATFORM.md).

pub mod arrivals;
pub mod duration;
pub mod order;
pub mod queue;
pub mod returns;
pub mod streams;
mod times;

use self::times::TimesLeft;
use crate::clock::Millis;
use crate::core::pipe::Stage;
use crate::core::site::Model;

/// The share of the capacity up to which new requests are admitted. Requests are spread unevenly,
/// so single engines are full before the total is reached.
const NEW_REQUEST_LIMIT: f64 = 0.95;
/// The share of the capacity up to which a request is admitted whose caller was refused before.
const RETRY_LIMIT: f64 = 1.05;
/// The weight of the newest request in the mean duration of requests.
const DURATION_WEIGHT: f64 = 0.02;
/// The assumed mean duration of requests until the first one has ended, in milliseconds.
const INITIAL_DURATION_MS: f64 = 3000.0;
/// The shortest and the longest delay after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MS: (f64, f64) = (400.0, 5000.0);
/// The weight of the newest decision in the share of refused requests, and the share below which nobody is
/// expected to come back.
const REFUSAL_WEIGHT: f64 = 0.02;
const MIN_REFUSED: f64 = 0.01;

/// How requests are admitted; tests compare `Capacity` with `Always`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By the capacity that the engines have left.
    #[default]
    Capacity,
    /// Without a limit: the engines refuse what they cannot take.
    Always,
}

/// The outcome of admission control for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to the engines.
    Admit,
    /// The request is refused; its caller may retry after this time.
    Refuse(Millis),
}

/// The use of the engines of a model, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// The tokens of the requests of all VMs that are in progress.
    pub used: f64,
    /// The tokens that fit; 0 if some layer is not held by any engine.
    pub capacity: f64,
}

/// Returns the tokens that fit on the engines: the minimum over all layers, since a request needs
/// memory for each of them.
pub fn token_capacity(stages: &[Stage], model: &Model) -> f64 {
    let mut layer_tokens = vec![0.0; model.layers as usize];
    for stage in stages {
        let layers = stage.span.len();
        let tokens = (model.kv_capacity(stage.card, layers) / f64::from(layers)).max(0.0);
        for layer in stage.span.from..stage.span.to.min(model.layers) {
            layer_tokens[layer as usize] += tokens;
        }
    }
    layer_tokens.into_iter().fold(f64::INFINITY, f64::min)
}

/// Admits or refuses requests, so that under overload those admitted are served in time and all
/// others learn at once when to retry.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    policy: Policy,
    mean_duration: f64,
    times: TimesLeft,
    /// The share of the latest requests that were refused.
    refused: f64,
}

impl AdmissionController {
    /// Creates a controller without any recorded requests.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            mean_duration: INITIAL_DURATION_MS,
            times: TimesLeft::default(),
            refused: 0.0,
        }
    }

    /// Returns whether a request is probably the retry of a refused one, given the time `left` until its
    /// deadline: a retry has less of it left. As many retries are expected as requests are refused.
    pub fn detect_retry(&mut self, route: &str, left: Millis) -> bool {
        let is_expected = self.refused >= MIN_REFUSED;
        let share = if is_expected { self.refused } else { 0.0 };
        self.times.detect_return(route, left, share)
    }

    /// Decides on a request of `tokens` tokens; `draw`, a random number between 0 and 1, spreads
    /// the retries of refused callers. Without any capacity the request is admitted: no path exists
    /// then, which may be over in a moment and is handled when a path is chosen.
    pub fn decide(
        &mut self,
        occupancy: Occupancy,
        tokens: f64,
        is_retry: bool,
        draw: f64,
    ) -> Decision {
        let limit = if is_retry {
            RETRY_LIMIT
        } else {
            NEW_REQUEST_LIMIT
        };
        let excess = occupancy.used + tokens - occupancy.capacity * limit;
        let is_admitted =
            self.policy == Policy::Always || excess <= 0.0 || occupancy.capacity <= 0.0;
        self.refused += (f64::from(u8::from(!is_admitted)) - self.refused) * REFUSAL_WEIGHT;
        if is_admitted {
            return Decision::Admit;
        }
        // Requests end at a rate of `used / mean_duration`. Other callers retry in that time,
        // hence the random spread.
        let wait =
            self.mean_duration * excess / occupancy.used.max(1.0) + self.mean_duration * draw;
        let (min, max) = RETRY_AFTER_MS;
        Decision::Refuse(Millis(wait.clamp(min, max) as u64))
    }

    /// Returns the mean duration of requests, in milliseconds.
    #[must_use]
    pub const fn mean_duration(&self) -> f64 {
        self.mean_duration
    }

    /// Updates the mean duration with that of a request that ended.
    pub fn record_duration(&mut self, duration: Millis) {
        self.mean_duration += (duration.0 as f64 - self.mean_duration) * DURATION_WEIGHT;
    }

    /// Drops the state of routes that no longer exist.
    pub fn retain_routes<F>(&mut self, exists: F)
    where
        F: Fn(&str) -> bool,
    {
        self.times.retain_routes(exists);
    }
}
