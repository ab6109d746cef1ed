//! The weight store, which serves one load at a time.

use crate::clock::Millis;

/// Tracks when the store can start the next load.
#[derive(Debug, Default)]
pub(super) struct WeightStore {
    free_at: Millis,
}

impl WeightStore {
    /// Queues a load that takes `rate`, and returns how long its client waits for it.
    pub(super) fn load(&mut self, now: Millis, rate: Millis) -> Millis {
        self.free_at = self.free_at.max(now) + rate;
        self.free_at - now
    }
}
