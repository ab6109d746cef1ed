//! Limits: which requests are let in, in which order, and which are refused at once.
//!
//! Admission comes before routing. Each service has a [`service::ServiceLimiter`] that admits as many requests
//! as its endpoints are thought to carry for this VM; the others wait in fair order, or are refused
//! at once when their deadline would pass before their turn. A refused request was not run, and
//! its answer is never held back. docs/operators/limits.md is the page for operators.

pub mod fair;
pub mod quota;
pub mod service;
pub mod share;

use std::collections::BTreeMap;

use self::quota::Quota;
use self::service::ServiceLimiter;
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
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// The team that calls.
    pub team: Team,
    /// The team's weight in the fair shares.
    pub weight: u32,
    /// The team's limit in requests a second over all VMs; 0 for none.
    pub rate_limit: u32,
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
pub struct Limiter {
    services: BTreeMap<ServiceName, ServiceLimiter>,
    quota: Quota,
}

impl Limiter {
    /// Tells the slots of a service's endpoints, of which the VMs share.
    pub fn set_slots(&mut self, service: &ServiceName, slots: u32) {
        self.service(service).share.set_slots(slots);
    }

    /// Tells how many other VMs serve.
    pub fn set_peers(&mut self, count: usize) {
        self.quota.set_peers(count);
        for limiter in self.services.values_mut() {
            limiter.share.set_peers(count);
        }
    }

    /// Forgets the demand of a VM that is gone.
    pub fn forget_peer(&mut self, vm: &Vm) {
        for limiter in self.services.values_mut() {
            limiter.share.forget_peer(vm);
        }
    }

    /// Returns the lane of a service, for hints and figures.
    pub fn service(&mut self, service: &ServiceName) -> &mut ServiceLimiter {
        self.services.entry(service.clone()).or_default()
    }

    /// Returns the quotas of the teams, for hints.
    pub fn quota(&mut self) -> &mut Quota {
        &mut self.quota
    }

    /// Offers a request and returns at once whether it runs, waits or is refused.
    pub fn offer(&mut self, now: Millis, request: Request) -> Decision {
        if request.deadline <= now {
            return Decision::Refuse(deadline_passed());
        }
        if let Err(retry_after) = self.quota.take(now, &request.team, request.rate_limit) {
            let failure = Failure::unrun(Code::RateLimited, "The team is over its limit.");
            return Decision::Refuse(failure.after(retry_after));
        }
        self.service(&request.service.clone()).offer(now, request)
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
        if let Some(limiter) = self.services.get_mut(service) {
            limiter.finished(now, id, finish, actions);
        }
    }

    /// Takes a request that its caller gave up out of the queue; returns whether it waited.
    pub fn cancel(&mut self, service: &ServiceName, id: RequestId) -> bool {
        self.services
            .get_mut(service)
            .is_some_and(|limiter| limiter.cancel(id))
    }

    /// Refuses what expired and admits those whose turn it is.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.quota.tick(now);
        for limiter in self.services.values_mut() {
            limiter.tick(now, actions);
        }
    }
}

/// Returns the failure of a request whose deadline passed before it ran.
fn deadline_passed() -> Failure {
    Failure::unrun(
        Code::DeadlinePassed,
        "The deadline leaves no time to run it.",
    )
}
