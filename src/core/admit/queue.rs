//! The requests that wait on this VM until engines have room.
//!
//! Load: short peaks, and requests that end a moment later. A request that is refused is late in any
//! case; one that waits a part of its target is not. So a request waits, for at most
//! [`WAIT_PART`] of the target, if its turn should come in that time, and is refused at once
//! otherwise.

use crate::clock::Millis;
use crate::core::fair::FairQueue;
use crate::core::fair::Job;

/// The part of a route's target for which a request may wait; the rest is for reading its prompt.
const WAIT_PART: f64 = 0.5;
/// The most requests that wait on a VM: each keeps a connection and its body in memory.
const MAX_WAITING: usize = 256;
/// How often a class that waits may be skipped, so that a VM with steady urgent requests serves the
/// others of its queue too; the most urgent class is never skipped.
const MAX_SKIPS: [u32; 10] = [u32::MAX, 16, 16, 16, 16, 16, 16, 16, 16, 16];

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

/// Returns how long a request may wait for room.
#[must_use]
pub fn longest_wait(target: Millis) -> Millis {
    Millis((target.0 as f64 * WAIT_PART) as u64)
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
