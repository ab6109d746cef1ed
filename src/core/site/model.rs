//! The configuration of a model and of the accelerators that run it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::names::Kind;

/// A kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Card {
    /// The memory for layers and requests, in megabytes.
    pub memory: f64,
    /// The factor on the time of a token step; lower is faster.
    pub pace: f64,
    /// The factor on the time to process a prompt (prefill); lower is faster.
    pub read: f64,
}

/// A model that is split into layers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The number of layers; every request passes through all of them.
    pub layers: u32,
    /// The size of the weights of one layer, in megabytes.
    pub weight: f64,
    /// The KV-cache memory of one token over all layers, in bytes.
    pub token: f64,
    /// The number of requests that an engine runs concurrently as the first of a path.
    pub slots: u32,
    /// The time that loading all layers takes.
    pub load: Millis,
    /// The time of a token step over all layers, in milliseconds, at a [`Card::pace`] of 1.
    pub step: f64,
    /// The time that each request in the same batch adds to a step, in milliseconds.
    pub sequence: f64,
    /// The time that a thousand tokens of context add to a step, in milliseconds.
    pub context: f64,
    /// The prompt tokens processed per millisecond, at a [`Card::read`] of 1.
    pub reading: f64,
    /// The bytes transferred between two engines for each token.
    pub activation: f64,
    /// The bandwidth of the link between domains, which all engines share, in megabits per second.
    pub pipe: f64,
    /// The one-way delay between domains, in milliseconds.
    pub delay: f64,
    /// The typical number of prompt tokens and of answer tokens, for requests that state none.
    pub usual: (f64, f64),
    /// The accelerators by kind, the name that endpoints report.
    pub cards: BTreeMap<Kind, Card>,
}

impl Model {
    /// Returns the KV-cache capacity of a card that holds `layers` layers, in tokens times layers.
    /// It is negative if the layers do not fit.
    #[must_use]
    pub fn kv_capacity(&self, card: Card, layers: u32) -> f64 {
        let free_mb = card.memory - f64::from(layers) * self.weight;
        let cell_mb = self.token / f64::from(self.layers.max(1)) / 1e6;
        free_mb / cell_mb
    }
}
