//! The weight store, which serves one load after another.

use crate::clock::Millis;

/// When the store is free again.
#[derive(Debug, Default)]
pub(super) struct Weights {
    free: Millis,
}

impl Weights {
    /// Books a load that takes `rate` and returns how long its client waits.
    pub(super) fn load(&mut self, now: Millis, rate: Millis) -> Millis {
        self.free = self.free.max(now) + rate;
        self.free - now
    }
}
