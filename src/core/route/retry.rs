//! The retry budget: a fault must never multiply the load.

/// The retries that one success pays for, in thousandths.
const SUCCESS_CREDIT: u32 = 100;
/// What one retry costs, in thousandths.
const RETRY_COST: u32 = 1000;
/// The budget never holds more than this many retries, in thousandths.
const MAX_LEVEL: u32 = 10 * RETRY_COST;

/// A token bucket that successes fill and retries drain: at most one retry for ten successes,
/// besides the ten that a fresh budget holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    level: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { level: MAX_LEVEL }
    }
}

impl RetryBudget {
    /// Notes a first attempt that succeeded.
    pub fn succeeded(&mut self) {
        self.level = (self.level + SUCCESS_CREDIT).min(MAX_LEVEL);
    }

    /// Returns whether a retry may be sent now, and pays for it if so.
    pub fn take(&mut self) -> bool {
        let paid = self.level >= RETRY_COST;
        if paid {
            self.level -= RETRY_COST;
        }
        paid
    }
}
