//! The load report, which lags.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// What an engine says of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// The number of this start of the engine; another one means that it crashed or restarted.
    pub boot: u64,
    /// When the report was made, by the engine's clock.
    pub at: Millis,
    /// Hops in the running batch.
    pub running: u32,
    /// Hops that wait for a batch.
    pub waiting: u32,
    /// Free positions of the KV cache.
    pub free: u32,
    /// Whether the engine is about to leave and refuses new sessions.
    pub leaving: bool,
}

/// The last report that was made.
#[derive(Debug, Default)]
pub(super) struct Reports {
    last: Option<LoadReport>,
}

impl Reports {
    /// Returns the last report, or `fresh` if that one is older than `lag`.
    pub(super) fn show(&mut self, now: Millis, lag: Millis, fresh: LoadReport) -> LoadReport {
        match self.last {
            Some(last) if now.since(last.at) < lag && last.boot == fresh.boot => last,
            _ => *self.last.insert(fresh),
        }
    }
}
