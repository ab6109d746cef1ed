//! Refusing at once what the engines have no room for.
//!
//! A request holds memory in every engine of its path until its last token. Where the memory is used
//! up, engines put requests back and read them again, everyone's tokens come late, and requests stay
//! longer and hold more. So a request that finds no room is refused before it is sent anywhere, with
//! the time after which there should be some (docs/PLATFORM.md).

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::core::pipe::Stage;
use crate::core::site::Model;

/// The share of the engines' room up to which a new request is let in: requests are spread unevenly,
/// so single engines fill up before all of them have.
const NEW_REQUEST_LIMIT: f64 = 0.95;
/// The share up to which a request is let in whose caller was refused before and came back.
const RETRY_LIMIT: f64 = 1.05;
/// The weight of the newest request in the mean time that requests stay.
const DURATION_WEIGHT: f64 = 0.02;
/// The time that requests are assumed to stay before one has ended.
const INITIAL_DURATION_MS: f64 = 3000.0;
/// The least and the longest time after which a caller is asked to come back.
const RETRY_AFTER_MS: (f64, f64) = (400.0, 5000.0);
/// How much shorter than usual a caller's patience is if it was refused before and came back.
const RETRY_MARGIN: Millis = Millis(300);

/// How requests are let in; the second is kept as the baseline of the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By the room that the engines have left.
    #[default]
    Capacity,
    /// Always: the engines refuse what they cannot take.
    Always,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent to the engines.
    Admit,
    /// It is refused at once; its caller may come back after this time.
    Refuse(Millis),
}

/// How full the engines of a model are, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// The tokens of the requests in progress, of all VMs.
    pub used: f64,
    /// The tokens for which there is room.
    pub capacity: f64,
}

/// Returns the tokens that the engines have room for: those of the layer that has least.
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

/// Lets requests in, or refuses them.
///
/// The answer to more load than the engines can hold: those that are let in are served in time, and
/// all others are told at once when to come back.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    policy: Policy,
    mean_duration: f64,
    longest_left: BTreeMap<String, Millis>,
}

impl AdmissionController {
    /// Starts with no request in progress.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            mean_duration: INITIAL_DURATION_MS,
            longest_left: BTreeMap::new(),
        }
    }

    /// Says whether a caller of a route that still waits `left` was refused before: the callers of a
    /// route mostly have the same patience, and one that came back has less of it left.
    pub fn detect_retry(&mut self, route: &str, left: Millis) -> bool {
        if let Some(longest) = self.longest_left.get_mut(route) {
            *longest = left.max(*longest);
            left + RETRY_MARGIN < *longest
        } else {
            self.longest_left.insert(route.to_owned(), left);
            false
        }
    }

    /// Decides on a request of so many tokens; `back` says whether its caller was refused before, and
    /// `draw` between 0 and 1 spreads the callers that are asked to come back. Where no path stands at
    /// all, which may be over in an instant, that is found when a path is chosen.
    pub fn decide(&self, occupancy: Occupancy, tokens: f64, is_retry: bool, draw: f64) -> Decision {
        let limit = if is_retry {
            RETRY_LIMIT
        } else {
            NEW_REQUEST_LIMIT
        };
        let excess = occupancy.used + tokens - occupancy.capacity * limit;
        if self.policy == Policy::Always || excess <= 0.0 || occupancy.capacity <= 0.0 {
            return Decision::Admit;
        }
        // Requests end at a rate of `used / stay`; others come back meanwhile, hence the spread.
        let wait =
            self.mean_duration * excess / occupancy.used.max(1.0) + self.mean_duration * draw;
        let (min, max) = RETRY_AFTER_MS;
        Decision::Refuse(Millis(wait.clamp(min, max) as u64))
    }

    /// Takes in how long a request stayed that ended.
    pub fn record_duration(&mut self, duration: Millis) {
        self.mean_duration += (duration.0 as f64 - self.mean_duration) * DURATION_WEIGHT;
    }

    /// Forgets the routes that are no longer there.
    pub fn retain_routes<F>(&mut self, exists: F)
    where
        F: Fn(&str) -> bool,
    {
        self.longest_left.retain(|route, _| exists(route));
    }
}
