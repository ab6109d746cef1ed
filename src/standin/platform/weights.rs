//! The weight store, which serves one load after another.

use crate::clock::Millis;

/// When the store is free again.
#[derive(Debug, Default)]
pub(super) struct WeightStore {
    free_at: Millis,
}

impl WeightStore {
    /// Books a load that takes `rate` and returns how long its client waits.
    pub(super) fn load(&mut self, now: Millis, rate: Millis) -> Millis {
        self.free_at = self.free_at.max(now) + rate;
        self.free_at - now
    }
}
