//! The admission control of one service: a concurrency limit, a fair queue, and an estimate of the
//! waiting time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Action;
use super::Decision;
use super::Finish;
use super::Request;
use super::RequestId;
use super::deadline_passed;
use super::share::SlotShare;
use crate::clock::Millis;
use crate::core::fair::FairQueue;
use crate::error::Code;
use crate::error::Failure;

/// The most requests queued for one service on one VM.
const MAX_QUEUED: usize = 4096;
/// The weight of a new sample in the exponential moving averages.
const GAIN: f64 = 0.05;
/// The factor on estimated waits, so that few queued requests expire.
const WAIT_MARGIN: f64 = 2.0;
/// A request starts only if the time to its deadline is at least this multiple of the average
/// service time.
const START_MARGIN: f64 = 1.25;
/// The shortest retry delay for a refused caller.
const MIN_RETRY_AFTER: Millis = Millis(100);
/// The longest retry delay for a refused caller.
const MAX_RETRY_AFTER: Millis = Millis::seconds(30);

#[derive(Clone, Copy, Debug)]
struct Running {
    cost: u32,
    start: Millis,
}

/// How often a waiting class may be skipped before it is served: urgent, normal, batch.
const MAX_SKIPS: [u32; 3] = [u32::MAX, 8, 16];

/// Admits, queues or refuses the requests for one service on one VM.
#[derive(Clone, Debug)]
pub struct ServiceLimiter {
    /// Determines how many requests may be in progress.
    pub share: SlotShare,
    queue: FairQueue<Request>,
    running: BTreeMap<RequestId, Running>,
    /// The deadlines of the queued requests, earliest first.
    deadlines: BTreeSet<(Millis, RequestId)>,
    /// The average service time in milliseconds; 0 until a request was served.
    service_time: f64,
    /// The average cost of the served requests in token steps.
    mean_cost: f64,
}

impl Default for ServiceLimiter {
    fn default() -> Self {
        Self {
            share: SlotShare::default(),
            queue: FairQueue::new(&MAX_SKIPS),
            running: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            service_time: 0.0,
            mean_cost: 0.0,
        }
    }
}

impl ServiceLimiter {
    /// Admits the request if there is capacity and no queue. Otherwise queues it, or refuses it if
    /// the queue is full or its deadline would pass first.
    pub fn offer(&mut self, now: Millis, request: Request) -> Decision {
        self.share.offered();
        if self.queue.is_empty() && self.has_capacity() {
            self.admit(now, &request);
            return Decision::Admit;
        }
        let wait = self.estimated_wait(&request);
        let end = now + wait + self.required_time();
        if self.queue.len() >= self.queue_capacity() || end > request.deadline {
            return Decision::Refuse(overloaded(wait));
        }
        self.deadlines.insert((request.deadline, request.id));
        self.queue.push(request.job(), request);
        Decision::Queue
    }

    /// Records that an admitted request ended, and admits queued requests in its place.
    pub fn finished(
        &mut self,
        now: Millis,
        id: RequestId,
        finish: Finish,
        actions: &mut Vec<Action>,
    ) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if finish == Finish::Congested {
            self.share.congested();
        }
        if finish == Finish::Served {
            let took = now.since(running.start).0 as f64;
            update_average(&mut self.service_time, took);
            update_average(&mut self.mean_cost, f64::from(running.cost));
            let unit = took.max(1.0) / f64::from(running.cost.max(1));
            self.share.served(unit, self.running.len());
        }
        self.admit_queued(now, actions);
    }

    /// Removes a request from the queue; returns whether it was queued.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        let Some(request) = self.queue.remove(id) else {
            return false;
        };
        self.deadlines.remove(&(request.deadline, id));
        true
    }

    /// Refuses queued requests that can't meet their deadline, and admits others as capacity
    /// allows.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let end = now + self.required_time();
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline < end.max(now + Millis(1))
        {
            self.deadlines.pop_first();
            self.queue.remove(id);
            actions.push(Action::Refuse(id, deadline_passed()));
        }
        self.share.tick(now);
        self.queue.sweep();
        self.admit_queued(now, actions);
    }

    /// Returns how many requests are in progress.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many requests are queued.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many teams the queue keeps state for, counted once per class.
    #[must_use]
    pub fn teams(&self) -> usize {
        self.queue.teams()
    }

    /// Returns the time that a request must have left before its deadline when it starts. With
    /// less, its work would probably be wasted.
    fn required_time(&self) -> Millis {
        Millis((self.service_time * START_MARGIN) as u64)
    }

    /// Returns how many requests may be queued: as many as may run while no service time is known.
    fn queue_capacity(&self) -> usize {
        if self.service_time > 0.0 {
            MAX_QUEUED
        } else {
            self.share.limit() as usize
        }
    }

    fn has_capacity(&self) -> bool {
        self.running.len() < self.share.limit() as usize
    }

    fn admit_queued(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while self.has_capacity()
            && let Some(request) = self.queue.pop()
        {
            self.deadlines.remove(&(request.deadline, request.id));
            if now + self.required_time() > request.deadline {
                actions.push(Action::Refuse(request.id, deadline_passed()));
                continue;
            }
            self.admit(now, &request);
            actions.push(Action::Admit(request.id));
        }
    }

    fn admit(&mut self, now: Millis, request: &Request) {
        let running = Running {
            cost: request.cost,
            start: now,
        };
        self.running.insert(request.id, running);
    }

    /// Returns the estimated wait of a new request, or zero before a service time is known. The
    /// estimate assumes that as many requests as the limit end in each average service time.
    fn estimated_wait(&self, request: &Request) -> Millis {
        let ahead = self.queue.work_ahead(&request.job()) / self.mean_cost.max(1.0);
        let turns = ahead / f64::from(self.share.limit());
        Millis((turns * self.service_time * WAIT_MARGIN) as u64)
    }
}

/// Updates an exponential moving average; the first sample sets it.
fn update_average(mean: &mut f64, sample: f64) {
    if *mean > 0.0 {
        *mean += GAIN * (sample - *mean);
    } else {
        *mean = sample;
    }
}

fn overloaded(wait: Millis) -> Failure {
    let message = "The deadline would pass before its turn came.";
    Failure::not_run(Code::Overloaded, message)
        .retry_after(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
