//! The budget of attempts beyond the first, which all VMs share.

use std::collections::VecDeque;

use crate::clock::Millis;

/// The part of its share that a VM uses once it has run for a whole window.
const STEADY_SHARE: f64 = 0.75;
/// The part that it uses before: it does not know what it used before its start, and the two
/// parts together must stay within the share.
const STARTUP_SHARE: f64 = 0.25;
/// The time that one count covers.
const SLOT_DURATION: Millis = Millis(500);

/// One VM's share of the budget: in any window, a ratio of its requests and a part of what is
/// allowed beside them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window: Millis,
    start: Millis,
    slots: VecDeque<(Millis, u32, u32)>,
}

impl RetryBudget {
    /// Starts a budget of `ratio` retries a request and `extra` more in each window, on a VM that
    /// starts now.
    pub fn new(ratio: f64, extra: f64, window: Millis, now: Millis) -> Self {
        Self {
            ratio,
            extra,
            window,
            start: now,
            slots: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Millis) {
        self.current_slot(now).1 += 1;
    }

    /// Takes a retry out of the budget, or says that none is left; `vms` share it.
    pub fn try_retry(&mut self, now: Millis, vms: usize) -> bool {
        self.current_slot(now);
        let requests = self.slots.iter().map(|slot| f64::from(slot.1)).sum::<f64>();
        let retries = self.slots.iter().map(|slot| f64::from(slot.2)).sum::<f64>();
        let share = self.ratio * requests + self.extra / vms.max(1) as f64;
        let is_starting = now.since(self.start) < self.window;
        let usable = if is_starting {
            STARTUP_SHARE
        } else {
            STEADY_SHARE
        };
        if retries + 1.0 > share * usable {
            return false;
        }
        self.current_slot(now).2 += 1;
        true
    }

    fn current_slot(&mut self, now: Millis) -> &mut (Millis, u32, u32) {
        while self
            .slots
            .front()
            .is_some_and(|slot| now.since(slot.0) > self.window)
        {
            self.slots.pop_front();
        }
        if self
            .slots
            .back()
            .is_none_or(|slot| now.since(slot.0) >= SLOT_DURATION)
        {
            self.slots.push_back((now, 0, 0));
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
