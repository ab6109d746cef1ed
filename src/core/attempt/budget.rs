//! The budget of retries of each service, which all VMs share.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::Millis;
use crate::names::ServiceName;

/// The fraction of its share that a VM uses once it has run for a whole window, and of the part that
/// its own requests allow.
const STEADY_FRACTION: f64 = 0.75;
/// The fraction of the fixed part that a VM may use by the end of its first window, in proportion to
/// the time since its start. A restarted VM does not know how many retries it took before: however
/// often it restarts within a window, its starts use up this fraction at most, and both together
/// must not exceed 1.
const STARTUP_FRACTION: f64 = 0.25;
/// The period that one slot counts.
const SLOT_DURATION: Millis = Millis(500);

/// What one VM has used of its share of the retry budget in the current window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUsage {
    /// The requests that the VM received.
    pub requests: u32,
    /// The retries that it took.
    pub retries: u32,
    /// The retries that it may take in all.
    pub limit: f64,
}

/// One VM's shares of the retry budgets of all services. The requests to one service do not allow
/// retries at another, which may be far smaller.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    initial: RetryBudget,
    services: BTreeMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    /// Creates the budgets of a VM that starts at `now`, with the parameters of
    /// [`RetryBudget::new`].
    pub fn new(ratio: f64, extra: f64, window: Millis, now: Millis) -> Self {
        Self {
            initial: RetryBudget::new(ratio, extra, window, now),
            services: BTreeMap::new(),
        }
    }

    /// Returns the budget of a service.
    pub fn service(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let budget = self.services.entry(service.clone());
        budget.or_insert_with(|| self.initial.clone())
    }
}

/// One VM's share of the retry budget of a service: in any window, a ratio of its own requests plus
/// an equal part of a fixed number of retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window: Millis,
    start: Millis,
    slots: VecDeque<(Millis, u32, u32)>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request plus `extra` retries of all VMs per window,
    /// for a VM that starts at `now`.
    pub fn new(ratio: f64, extra: f64, window: Millis, now: Millis) -> Self {
        Self {
            ratio,
            extra,
            window,
            start: now,
            slots: VecDeque::new(),
        }
    }

    /// Counts a request, which adds `ratio` retries to the budget.
    pub fn record_request(&mut self, now: Millis) {
        self.current_slot(now).1 += 1;
    }

    /// Takes a retry from the budget, which `vms` VMs share; returns `false` if none is left.
    pub fn try_retry(&mut self, now: Millis, vms: usize) -> bool {
        let usage = self.usage(now, vms);
        if f64::from(usage.retries + 1) > usage.limit {
            return false;
        }
        self.current_slot(now).2 += 1;
        true
    }

    /// Returns what this VM has used of the budget, which `vms` VMs share.
    pub fn usage(&mut self, now: Millis, vms: usize) -> BudgetUsage {
        self.current_slot(now);
        let requests = self.slots.iter().map(|slot| slot.1).sum();
        let retries = self.slots.iter().map(|slot| slot.2).sum();
        let uptime = now.since(self.start);
        let fraction = if uptime < self.window {
            STARTUP_FRACTION * uptime.0 as f64 / self.window.0 as f64
        } else {
            STEADY_FRACTION
        };
        let by_requests = self.ratio * f64::from(requests) * STEADY_FRACTION;
        let fixed = self.extra / vms.max(1) as f64 * fraction;
        BudgetUsage {
            requests,
            retries,
            limit: by_requests + fixed,
        }
    }

    /// Removes slots older than the window, and returns the newest: its start, requests and
    /// retries.
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
