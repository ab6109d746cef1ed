//! An engine's fault switches.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// The fault switches, replaced as a whole by `PUT /faults`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Crash now.
    pub crash: bool,
    /// How long a crash keeps the engine down.
    pub down: Millis,
    /// A sequence of prompt tokens that crashes the engine when it runs them.
    pub poison: Vec<u32>,
    /// No request is answered, on any connection.
    pub hang: bool,
    /// How many of the next hops run and get no answer on an open connection.
    pub silence: u32,
    /// How many of the next hops run and lose their answer with the connection.
    pub lose: u32,
    /// How many of the next hops are refused unrun.
    pub refuse: u32,
    /// How many of the next hop replies are sent twice.
    pub double: u32,
    /// How many of the next hop replies echo another attempt.
    pub cross: u32,
    /// What each batch takes longer.
    pub delay: Millis,
    /// The engine says that it is leaving and refuses new sessions.
    pub leaving: bool,
    /// How old a load report may be.
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
    /// Says whether these prompt tokens crash the engine.
    pub(super) fn has_poison(&self, tokens: &[u32]) -> bool {
        let size = self.poison.len();
        size > 0 && tokens.windows(size).any(|window| window == self.poison)
    }
}
