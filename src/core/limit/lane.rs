//! The admission of one service: a limit, a fair queue, and an estimate of the wait.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Action;
use super::Ask;
use super::Decision;
use super::Finish;
use super::RequestId;
use super::expired;
use super::fair::FairQueue;
use super::share::Share;
use crate::clock::Millis;
use crate::error::Code;
use crate::error::Failure;

/// The most requests that wait for one service on one VM.
const QUEUE: usize = 4096;
/// The weight of a new sample in the moving averages.
const GAIN: f64 = 0.05;
/// Estimated waits are taken this much longer, so that few queued requests expire.
const MARGIN: f64 = 2.0;
/// A request starts only with this multiple of the average service time left.
const SPARE: f64 = 1.25;
/// The soonest that a refused caller is asked to come back.
const RETRY_LEAST: Millis = Millis(100);
/// The latest that a refused caller is asked to come back.
const RETRY_MOST: Millis = Millis::seconds(30);

#[derive(Clone, Copy, Debug)]
struct Running {
    cost: u32,
    start: Millis,
}

/// The admission of one service on one VM.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    /// How many requests may be in progress.
    pub share: Share,
    queue: FairQueue,
    running: BTreeMap<RequestId, Running>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    hold: f64,
    cost: f64,
}

impl Lane {
    /// Offers a request.
    pub fn offer(&mut self, now: Millis, ask: Ask) -> Decision {
        self.share.offered();
        if self.queue.is_empty() && self.has_room() {
            self.admit(now, &ask);
            return Decision::Admit;
        }
        let wait = self.wait(&ask);
        let end = now + wait + self.service();
        if self.queue.len() >= self.places() || end > ask.deadline {
            return Decision::Refuse(overloaded(wait));
        }
        self.deadlines.insert((ask.deadline, ask.id));
        self.queue.push(ask);
        Decision::Queue
    }

    /// Notes that an admitted request ended.
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
            average(&mut self.hold, took);
            average(&mut self.cost, f64::from(running.cost));
            let unit = took.max(1.0) / f64::from(running.cost.max(1));
            self.share.served(unit, self.running.len());
        }
        self.fill(now, actions);
    }

    /// Takes a request out of the queue; returns whether it waited.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        let Some(ask) = self.queue.remove(id) else {
            return false;
        };
        self.deadlines.remove(&(ask.deadline, id));
        true
    }

    /// Refuses what expired and admits those whose turn it is.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let end = now + self.service();
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline < end.max(now + Millis(1))
        {
            self.deadlines.pop_first();
            self.queue.remove(id);
            actions.push(Action::Refuse(id, expired()));
        }
        self.share.tick(now);
        self.queue.sweep();
        self.fill(now, actions);
    }

    /// Returns how many requests are in progress.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many teams hold state.
    #[must_use]
    pub fn teams(&self) -> usize {
        self.queue.teams()
    }

    /// Returns the span that a request must have left when it starts: less would be wasted work.
    fn service(&self) -> Millis {
        Millis((self.hold * SPARE) as u64)
    }

    /// Returns how many requests may wait; few while no service time is known.
    fn places(&self) -> usize {
        if self.hold > 0.0 {
            QUEUE
        } else {
            self.share.limit() as usize
        }
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.share.limit() as usize
    }

    fn fill(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while self.has_room()
            && let Some(ask) = self.queue.pop()
        {
            self.deadlines.remove(&(ask.deadline, ask.id));
            if now + self.service() > ask.deadline {
                actions.push(Action::Refuse(ask.id, expired()));
                continue;
            }
            self.admit(now, &ask);
            actions.push(Action::Admit(ask.id));
        }
    }

    fn admit(&mut self, now: Millis, ask: &Ask) {
        let running = Running {
            cost: ask.cost,
            start: now,
        };
        self.running.insert(ask.id, running);
    }

    /// Returns the estimated wait of a new request, or zero before a service time is known: as
    /// many requests as may be in progress leave in each average service time.
    fn wait(&self, ask: &Ask) -> Millis {
        let ahead = self.queue.ahead(ask) / self.cost.max(1.0);
        let turns = ahead / f64::from(self.share.limit());
        Millis((turns * self.hold * MARGIN) as u64)
    }
}

/// Moves an average towards a sample; the first sample is the average.
fn average(mean: &mut f64, sample: f64) {
    if *mean > 0.0 {
        *mean += GAIN * (sample - *mean);
    } else {
        *mean = sample;
    }
}

fn overloaded(wait: Millis) -> Failure {
    let message = "The deadline would pass before its turn came.";
    Failure::unrun(Code::Overloaded, message).after(wait.clamp(RETRY_LEAST, RETRY_MOST))
}
