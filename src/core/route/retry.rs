//! The retry budget: a fault must never multiply the load.

/// The retries that one success pays for, in thousandths.
const EARNED: u32 = 100;
/// What one retry costs, in thousandths.
const PRICE: u32 = 1000;
/// The budget never holds more than this many retries, in thousandths.
const CEILING: u32 = 10 * PRICE;

/// A token bucket that successes fill and retries drain: at most one retry for ten successes,
/// besides the ten that a fresh budget holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    level: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { level: CEILING }
    }
}

impl RetryBudget {
    /// Notes a first attempt that succeeded.
    pub fn succeeded(&mut self) {
        self.level = (self.level + EARNED).min(CEILING);
    }

    /// Returns whether a retry may be sent now, and pays for it if so.
    pub fn take(&mut self) -> bool {
        let paid = self.level >= PRICE;
        if paid {
            self.level -= PRICE;
        }
        paid
    }
}
