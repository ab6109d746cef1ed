//! The requests that wait on this VM until engines have room.
//!
//! Load: short peaks, and requests that end a moment later. A request that is refused is late in any
//! case; one that waits a part of its target is not. So a request waits, for at most
//! [`WAIT_PART`] of the target, if its turn should come in that time, and is refused at once
//! otherwise. A caller who comes back is late already, and a second refusal would be its last: it
//! may wait for longer.

use crate::clock::Millis;
use crate::core::fair::FairQueue;
use crate::core::fair::Job;

/// The part of a route's target for which a request may wait; the rest is for reading its prompt.
const WAIT_PART: f64 = 0.5;
/// The part of a route's target, and of the time left, for which a request may wait whose caller was
/// refused before.
const RETURN_WAIT: (f64, f64) = (4.0, 0.25);
/// The most requests that wait on a VM: each keeps a connection and its body in memory.
const MAX_WAITING: usize = 256;
/// How often a class that waits may be skipped, so that a VM with steady urgent requests serves the
/// others of its queue too; the most urgent class is never skipped.
const MAX_SKIPS: [u32; 20] = {
    let mut skips = [16; 20];
    skips[0] = u32::MAX;
    skips
};

/// What the estimate of a wait is made of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// The tokens that wait on all VMs and go first.
    pub ahead: f64,
    /// The tokens of the requests in progress on all VMs.
    pub used: f64,
    /// Their mean duration.
    pub duration: Millis,
}

impl Outlook {
    /// Returns the time until as many tokens have ended as go first.
    #[must_use]
    pub fn wait(&self) -> Millis {
        let wait = self.ahead * self.duration.0 as f64 / self.used.max(1.0);
        Millis(wait.min(u64::from(u32::MAX) as f64) as u64)
    }
}

/// Returns how long a request may wait for room, with this time left until its deadline.
#[must_use]
pub fn longest_wait(target: Millis, left: Millis, is_return: bool) -> Millis {
    let target = target.0 as f64;
    if !is_return {
        return Millis((target * WAIT_PART) as u64);
    }
    let (of_target, of_left) = RETURN_WAIT;
    Millis((target * of_target).min(left.0 as f64 * of_left) as u64)
}

/// Returns the class of the queue: within a priority, customers over their share go last.
#[must_use]
pub fn class_of(priority: u8, is_over: bool) -> usize {
    usize::from(priority) * 2 + usize::from(is_over)
}

/// The requests that wait for the room of one service.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    requests: FairQueue<()>,
}

impl Default for WaitQueue {
    fn default() -> Self {
        Self {
            requests: FairQueue::new(&MAX_SKIPS),
        }
    }
}

impl WaitQueue {
    /// Returns whether a request must wait behind others.
    #[must_use]
    pub fn must_follow(&self, job: &Job) -> bool {
        self.requests.has_ahead(job)
    }

    /// Adds a request if it should get room before `longest` is over; returns whether it waits.
    pub fn push(&mut self, job: Job, outlook: &Outlook, longest: Millis) -> bool {
        let is_in_time = outlook.wait() <= longest;
        let may_wait = is_in_time && self.requests.len() < MAX_WAITING;
        if may_wait {
            self.requests.push(job, ());
        }
        may_wait
    }

    /// Returns the request whose turn it is.
    #[must_use]
    pub fn next(&self) -> Option<u64> {
        self.requests.next()
    }

    /// Removes the request whose turn it is, as it got room.
    pub fn pop(&mut self) {
        self.requests.pop();
        self.requests.sweep();
    }

    /// Removes a request that no longer waits, and gives its turn back to its customer.
    pub fn remove(&mut self, id: u64) {
        self.requests.remove(id);
        self.requests.sweep();
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
