//! Limits: which requests are let in, in which order, and which are refused at once.
//!
//! Admission comes before routing. Each service has a [`lane::Lane`] that admits as many requests
//! as its endpoints are thought to carry for this VM; the others wait in fair order, or are refused
//! at once when their deadline would pass before their turn. A refused request was not run, and
//! its answer is never held back. docs/operators/limits.md is the page for operators.

pub mod fair;
pub mod lane;
pub mod quota;
pub mod share;

use std::collections::BTreeMap;

use self::lane::Lane;
use self::quota::Quota;
use crate::clock::Millis;
use crate::core::config::object::Priority;
use crate::error::Code;
use crate::error::Failure;
use crate::names::ServiceName;
use crate::names::Team;
use crate::names::Vm;

/// The number of a request, unique on its VM.
pub type RequestId = u64;

/// A request that asks to be let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Its number.
    pub id: RequestId,
    /// The team that calls.
    pub team: Team,
    /// The team's weight in the fair shares.
    pub weight: u32,
    /// The team's limit in requests a second over all VMs; 0 for none.
    pub limit: u32,
    /// Its priority class.
    pub priority: Priority,
    /// Its expected work, in token steps; 1 for a plain request.
    pub cost: u32,
    /// The point in time after which its answer is of no use.
    pub deadline: Millis,
    /// The service that it calls.
    pub service: ServiceName,
}

/// The answer to an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be routed now.
    Admit,
    /// It waits; an [`Action`] follows.
    Queue,
    /// It was not run and never will be.
    Refuse(Failure),
}

/// What becomes of a request that was queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// It may be routed now.
    Admit(RequestId),
    /// It was not run and never will be.
    Refuse(RequestId, Failure),
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// It was served.
    Served,
    /// The endpoints had no room for it, or no endpoint was to be had.
    Congested,
    /// It failed or was cancelled.
    Dropped,
}

/// The admission of one VM.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    lanes: BTreeMap<ServiceName, Lane>,
    quota: Quota,
}

impl Gate {
    /// Tells the slots of a service's endpoints, of which the VMs share.
    pub fn set_slots(&mut self, service: &ServiceName, slots: u32) {
        self.lane(service).share.set_slots(slots);
    }

    /// Tells how many other VMs serve.
    pub fn set_peers(&mut self, count: usize) {
        self.quota.set_peers(count);
        for lane in self.lanes.values_mut() {
            lane.share.set_peers(count);
        }
    }

    /// Forgets the demand of a VM that is gone.
    pub fn forget(&mut self, vm: &Vm) {
        for lane in self.lanes.values_mut() {
            lane.share.forget(vm);
        }
    }

    /// Returns the lane of a service, for hints and figures.
    pub fn lane(&mut self, service: &ServiceName) -> &mut Lane {
        self.lanes.entry(service.clone()).or_default()
    }

    /// Returns the quotas of the teams, for hints.
    pub fn quota(&mut self) -> &mut Quota {
        &mut self.quota
    }

    /// Offers a request and returns at once whether it runs, waits or is refused.
    pub fn offer(&mut self, now: Millis, ask: Ask) -> Decision {
        if ask.deadline <= now {
            return Decision::Refuse(expired());
        }
        if let Err(span) = self.quota.take(now, &ask.team, ask.limit) {
            let failure = Failure::unrun(Code::RateLimited, "The team is over its limit.");
            return Decision::Refuse(failure.after(span));
        }
        self.lane(&ask.service.clone()).offer(now, ask)
    }

    /// Notes that an admitted request ended, and admits those whose turn it is.
    pub fn finished(
        &mut self,
        now: Millis,
        service: &ServiceName,
        id: RequestId,
        finish: Finish,
        actions: &mut Vec<Action>,
    ) {
        if let Some(lane) = self.lanes.get_mut(service) {
            lane.finished(now, id, finish, actions);
        }
    }

    /// Takes a request that its caller gave up out of the queue; returns whether it waited.
    pub fn cancel(&mut self, service: &ServiceName, id: RequestId) -> bool {
        self.lanes
            .get_mut(service)
            .is_some_and(|lane| lane.cancel(id))
    }

    /// Refuses what expired and admits those whose turn it is.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.quota.tick(now);
        for lane in self.lanes.values_mut() {
            lane.tick(now, actions);
        }
    }
}

/// Returns the failure of a request whose deadline passed before it ran.
fn expired() -> Failure {
    Failure::unrun(
        Code::DeadlinePassed,
        "The deadline leaves no time to run it.",
    )
}
