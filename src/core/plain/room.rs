//! The wait for room in a plain service whose endpoints all have as many calls as they should get.

use std::collections::BTreeSet;

use super::CALLS_PER_SLOT;
use crate::clock::Millis;

/// The part of the route's latency target that a call may wait on this VM; the rest is for the
/// endpoint's queue and for the call itself.
const WAIT_PART: f64 = 0.25;
/// The longest wait, however late the target: a daemon that stops waits for its calls.
const MAX_WAIT: Millis = Millis(1000);
/// The part of the calls that all endpoints should have from which on calls are paced.
const PACED_FROM: f64 = 0.9;
/// The assumed mean duration of a call until the first one has ended, in milliseconds.
const INITIAL_DURATION_MS: f64 = 100.0;
/// The weight of the newest call in the mean duration.
const DURATION_WEIGHT: f64 = 0.1;

/// The place of a call among those that wait: by priority, 0 first, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    priority: u8,
    number: u64,
}

/// What the endpoints of a service that may get calls have together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Their slots; 0 if none of them says.
    pub slots: u32,
    /// The calls in progress there, of all VMs as far as known.
    pub running: f64,
    /// The part of the service's calls that this VM may send, at most 1.
    pub share: f64,
}

/// Until when a call is useful.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// When the call arrived.
    pub arrival: Millis,
    /// The latency target of its route.
    pub target: Millis,
    /// When the caller or the route times out.
    pub deadline: Millis,
}

/// The outcome for a call that wants to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call is sent now.
    Go,
    /// The call waits; ask again within some milliseconds.
    Wait,
    /// The call can't be sent in time. Its caller may come back after this time.
    Refuse(Millis),
}

/// The calls of one service that wait on this VM.
#[derive(Clone, Debug)]
pub struct Room {
    waiting: BTreeSet<Ticket>,
    arrivals: u64,
    is_paced: bool,
    next_start: Millis,
    mean_duration: f64,
}

impl Room {
    /// Creates the state of a service that had no calls yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            waiting: BTreeSet::new(),
            arrivals: 0,
            is_paced: false,
            next_start: Millis(0),
            mean_duration: INITIAL_DURATION_MS,
        }
    }

    /// Adds a call that wants to be sent; it is to be removed by [`Self::leave`] if it is not sent.
    pub fn enter(&mut self, priority: u8) -> Ticket {
        self.arrivals += 1;
        let ticket = Ticket {
            priority,
            number: self.arrivals,
        };
        self.waiting.insert(ticket);
        ticket
    }

    /// Removes a call.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Returns the number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether calls are paced.
    pub fn is_paced(&self) -> bool {
        self.is_paced
    }

    /// Returns the mean duration of calls at the endpoints.
    pub fn mean_duration(&self) -> Millis {
        Millis(self.mean_duration as u64)
    }

    /// Updates the mean duration with that of a call that an endpoint answered.
    pub fn record_duration(&mut self, duration: Millis) {
        self.mean_duration += (duration.0 as f64 - self.mean_duration) * DURATION_WEIGHT;
    }

    /// Decides whether a call is sent now; `draw`, a random number between 0 and 1, spreads the
    /// returns of refused callers.
    ///
    /// This answers a burst that fills the queues of all endpoints, seen by hundreds of VMs through
    /// counts that are older than a call takes. Sending nothing until a count shows room would leave
    /// the endpoints idle, and then all VMs would send at once. So from the moment the endpoints are
    /// full until they have free slots, each VM sends its share of the calls that end while the
    /// endpoints have as many as they should get, and the time between two is known in advance: a
    /// call that can't be sent within its part of the target is refused at once.
    pub fn decide(
        &mut self,
        now: Millis,
        ticket: Ticket,
        limits: Limits,
        supply: Supply,
        draw: f64,
    ) -> Admission {
        let slots = f64::from(supply.slots);
        let most = slots * f64::from(CALLS_PER_SLOT);
        self.is_paced = if self.is_paced {
            supply.running >= slots
        } else {
            supply.running >= most * PACED_FROM
        } && supply.slots > 0;
        if !self.is_paced {
            self.next_start = now;
            self.waiting.remove(&ticket);
            return Admission::Go;
        }
        let interval = self.mean_duration / (most * supply.share.clamp(f64::EPSILON, 1.0));
        // A VM with a call every few seconds may send one more than its share after a pause.
        let credit = Millis(interval as u64);
        self.next_start = self.next_start.max(now - credit);
        let ahead = self.waiting.range(..ticket).count();
        let start = (self.next_start + Millis((interval * ahead as f64) as u64)).max(now);
        if ahead == 0 && start <= now {
            self.next_start += Millis(interval.round() as u64);
            self.waiting.remove(&ticket);
            return Admission::Go;
        }
        let duration = self.mean_duration();
        let part = Millis((limits.target.0 as f64 * WAIT_PART) as u64).min(MAX_WAIT);
        let latest = (limits.arrival + part).min(limits.deadline - duration);
        if start <= latest {
            return Admission::Wait;
        }
        self.waiting.remove(&ticket);
        let wait = start.since(now).0 as f64 + self.mean_duration * draw;
        let left = limits.deadline.since(now + duration);
        Admission::Refuse(Millis(wait as u64).min(left))
    }
}

impl Default for Room {
    fn default() -> Self {
        Self::new()
    }
}
