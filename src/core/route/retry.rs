//! The retry budget, which keeps retries from multiplying the load during a fault.

/// What one success adds to the budget, in thousandths of a retry.
const SUCCESS_CREDIT: u32 = 100;
/// What one retry takes from the budget, in thousandths of a retry.
const RETRY_COST: u32 = 1000;
/// The most that the budget holds: ten retries, in thousandths.
const MAX_LEVEL: u32 = 10 * RETRY_COST;

/// A token bucket that successes fill and retries drain. It allows at most one retry per ten
/// successes, in addition to the ten retries that a new budget holds.
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
    /// Records that a first attempt succeeded.
    pub fn succeeded(&mut self) {
        self.level = (self.level + SUCCESS_CREDIT).min(MAX_LEVEL);
    }

    /// Returns whether a retry may be sent now, and deducts it from the budget if so.
    pub fn take(&mut self) -> bool {
        let paid = self.level >= RETRY_COST;
        if paid {
            self.level -= RETRY_COST;
        }
        paid
    }
}
