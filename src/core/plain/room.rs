//! The wait for room in a plain service whose endpoints reject calls because their queues are full.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Millis;

/// The part of the route's latency target that a call may wait on this VM; the rest is for the
/// endpoint's queue and for the call itself.
const WAIT_PART: f64 = 0.25;
/// The longest wait, however late the target: a daemon that stops waits for its calls.
const MAX_WAIT: Millis = Millis(1000);
/// The shortest and the longest time between two calls that a VM sends while endpoints reject some.
const INTERVAL_MS: (f64, f64) = (10.0, 2000.0);
/// The factor on that time for each rejection.
const SLOWDOWN: f64 = 1.5;
/// The time without a rejection after which it is half as long.
const HALVING: Millis = Millis(500);
/// How long a class counts as present after its latest call.
const CLASS_TTL: Millis = Millis(2000);
/// The assumed mean duration of a call until the first one has ended, in milliseconds.
const INITIAL_DURATION_MS: f64 = 100.0;
/// The weight of the newest call in the mean duration, and in the mean time between two calls.
const MEAN_WEIGHT: f64 = 0.2;

/// The place of a call among those that wait: by priority, 0 first, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    priority: u8,
    number: u64,
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

/// The calls of one service that wait on this VM, and the pace at which it sends them.
#[derive(Clone, Debug)]
pub struct Room {
    waiting: BTreeSet<Ticket>,
    arrivals: u64,
    /// The time between two calls as of the latest rejection, in milliseconds; 0 before the first.
    interval: f64,
    rejected_at: Millis,
    /// When the next call may be sent.
    next_start: Millis,
    /// When the next refused caller may come back.
    next_return: Millis,
    last_sent: Millis,
    mean_gap: f64,
    mean_duration: f64,
    /// The priorities of calls, and when each was last seen.
    classes: BTreeMap<u8, Millis>,
}

impl Room {
    /// Creates the state of a service that had no calls yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            waiting: BTreeSet::new(),
            arrivals: 0,
            interval: 0.0,
            rejected_at: Millis(0),
            next_start: Millis(0),
            next_return: Millis(0),
            last_sent: Millis(0),
            mean_gap: INTERVAL_MS.1,
            mean_duration: INITIAL_DURATION_MS,
            classes: BTreeMap::new(),
        }
    }

    /// Adds a call that wants to be sent; it is to be removed by [`Self::leave`] if it is not sent.
    pub fn enter(&mut self, now: Millis, priority: u8) -> Ticket {
        self.arrivals += 1;
        let ticket = Ticket {
            priority,
            number: self.arrivals,
        };
        self.waiting.insert(ticket);
        self.classes.insert(priority, now);
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

    /// Returns the time between two calls that this VM sends; 0 if they are not paced.
    pub fn interval(&self, now: Millis) -> Millis {
        let age = now.since(self.rejected_at).0 as f64;
        let interval = self.interval * 0.5_f64.powf(age / HALVING.0 as f64);
        if interval < INTERVAL_MS.0 {
            return Millis(0);
        }
        Millis(interval as u64)
    }

    /// Updates the mean duration with that of a call that an endpoint answered.
    pub fn record_duration(&mut self, duration: Millis) {
        self.mean_duration += (duration.0 as f64 - self.mean_duration) * MEAN_WEIGHT;
    }

    /// Records that an endpoint rejected a call because its queue is full. Rejections of calls that
    /// were sent before the pace changed count once.
    pub fn record_rejection(&mut self, now: Millis) {
        let interval = self.interval(now).0 as f64;
        if interval > 0.0 && (now.since(self.rejected_at).0 as f64) < interval {
            return;
        }
        let (min, max) = INTERVAL_MS;
        self.interval = (interval.max(self.mean_gap) * SLOWDOWN).clamp(min, max);
        self.rejected_at = now;
        self.next_start = now + Millis(self.interval as u64);
    }

    fn record_start(&mut self, now: Millis, interval: Millis) {
        let gap = (now.since(self.last_sent).0 as f64).min(INTERVAL_MS.1);
        self.mean_gap += (gap - self.mean_gap) * MEAN_WEIGHT;
        self.last_sent = now;
        self.next_start += interval;
    }

    /// Decides whether a call is sent now; `draw`, a random number between 0 and 1, spreads the
    /// returns of refused callers.
    ///
    /// This answers a burst that fills the queues of all endpoints. The counts of other VMs are older
    /// than a call takes, and whoever waits for them to show room leaves the endpoints idle; so the
    /// endpoints' own rejections set the pace. From the first one on, a VM sends its calls one after
    /// the other, the time between two grows with each rejection and shrinks without, and so is
    /// known in advance: a call that can't be sent within its part of the target is refused at once.
    /// A less urgent call leaves the next place to a more urgent one, as long as such calls come.
    pub fn decide(&mut self, now: Millis, ticket: Ticket, limits: Limits, draw: f64) -> Admission {
        let interval = self.interval(now);
        if interval == Millis(0) {
            self.next_start = now;
            self.next_return = now;
            self.waiting.remove(&ticket);
            self.record_start(now, interval);
            return Admission::Go;
        }
        // A VM with a call every few seconds may send one more than its pace after a pause.
        self.next_start = self.next_start.max(now - interval);
        self.classes.retain(|_, at| now.since(*at) < CLASS_TTL);
        let is_last = self.classes.range(..ticket.priority).next().is_none();
        let reserve = if is_last { Millis(0) } else { interval };
        let ahead = self.waiting.range(..ticket).count() as u64;
        let start = self.next_start + reserve + Millis(interval.0 * ahead);
        if ahead == 0 && start <= now {
            self.waiting.remove(&ticket);
            self.record_start(now, interval);
            return Admission::Go;
        }
        let duration = Millis(self.mean_duration as u64);
        let part = Millis((limits.target.0 as f64 * WAIT_PART) as u64).min(MAX_WAIT);
        let latest = (limits.arrival + part).min(limits.deadline - duration);
        if start.max(now) <= latest {
            return Admission::Wait;
        }
        self.waiting.remove(&ticket);
        self.next_return = self.next_return.max(start);
        Admission::Refuse(self.book_return(now, limits.deadline, draw))
    }

    /// Returns when the caller of a refused call may come back, and books this return: one for each
    /// call that this VM may send at its pace, so that those who come back find room. What is left of
    /// the time until the deadline is enough for a call.
    pub fn book_return(&mut self, now: Millis, deadline: Millis, draw: f64) -> Millis {
        let interval = self.interval(now);
        self.next_return = self.next_return.max(now) + interval;
        let spread = Millis((interval.0 as f64 * draw) as u64);
        let left = deadline.since(now + Millis(self.mean_duration as u64));
        (self.next_return + spread).since(now).min(left)
    }
}

impl Default for Room {
    fn default() -> Self {
        Self::new()
    }
}
