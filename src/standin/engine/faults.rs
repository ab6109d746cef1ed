//! Faults that can be injected into an engine.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// The injected faults; `PUT /faults` replaces all of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the engine crashes immediately; reset by the crash.
    pub crash: bool,
    /// How long the engine is down after a crash.
    pub down: Millis,
    /// A sequence of prompt tokens that crashes the engine when it runs a prompt containing it;
    /// empty for none.
    pub poison: Vec<u32>,
    /// Whether all requests except `PUT /faults` stay unanswered.
    pub hang: bool,
    /// How many of the next hops run, but get no answer while the connection stays open.
    pub silence: u32,
    /// How many of the next hops run, but the connection closes without an answer.
    pub lose: u32,
    /// How many of the next hops are refused without being run.
    pub refuse: u32,
    /// How many of the next hop replies are sent twice.
    pub double: u32,
    /// How many of the next hop replies carry a wrong attempt number.
    pub cross: u32,
    /// The time added to each batch.
    pub delay: Millis,
    /// Whether the engine reports that it is leaving and refuses new sessions.
    pub leaving: bool,
    /// How long a load report is reused before a new one is made.
    pub lag: Millis,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            crash: false,
            down: Millis::seconds(3),
            poison: Vec::new(),
            hang: false,
            silence: 0,
            lose: 0,
            refuse: 0,
            double: 0,
            cross: 0,
            delay: Millis(0),
            leaving: false,
            lag: Millis(500),
        }
    }
}

impl Faults {
    /// Returns whether these prompt tokens crash the engine.
    pub(super) fn has_poison(&self, tokens: &[u32]) -> bool {
        let size = self.poison.len();
        size > 0 && tokens.windows(size).any(|window| window == self.poison)
    }
}
