//! What a configuration says of a model and of the accelerators that run it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::names::Kind;

/// A kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Card {
    /// Its memory, in megabytes.
    pub memory: f64,
    /// The factor on the time of a token step.
    pub pace: f64,
    /// The factor on the time of reading a prompt.
    pub read: f64,
}

/// A model that is split into layers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The number of its layers.
    pub layers: u32,
    /// The weights of a layer, in megabytes.
    pub weight: f64,
    /// The memory that a token of a request takes over all layers, in bytes.
    pub token: f64,
    /// The requests that an engine takes at once as the first of a path.
    pub slots: u32,
    /// The time to load all layers.
    pub load: Millis,
    /// The time of a token step over all layers, in milliseconds, at a pace of one.
    pub step: f64,
    /// What each request in the same pass adds to a step, in milliseconds.
    pub sequence: f64,
    /// What a thousand tokens of context add to a step, in milliseconds.
    pub context: f64,
    /// The prompt tokens that are read in a millisecond, at a factor of one.
    pub reading: f64,
    /// The bytes that pass between two engines for each token.
    pub activation: f64,
    /// The link between domains that all engines share, in megabits a second.
    pub pipe: f64,
    /// The one-way delay between domains, in milliseconds.
    pub delay: f64,
    /// The usual number of prompt tokens and of answer tokens.
    pub usual: (f64, f64),
    /// The kinds of accelerators.
    pub cards: BTreeMap<Kind, Card>,
}

impl Model {
    /// Returns the tokens, times layers, that a card has memory for beside `layers` layers; below zero if
    /// it does not hold those.
    #[must_use]
    pub fn kv_capacity(&self, card: Card, layers: u32) -> f64 {
        let free_mb = card.memory - f64::from(layers) * self.weight;
        let cell_mb = self.token / f64::from(self.layers.max(1)) / 1e6;
        free_mb / cell_mb
    }
}
