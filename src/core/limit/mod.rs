//! Admission control: which requests are admitted, in which order, and which are refused at once.
//!
//! Admission comes before routing. Each service has a [`service::ServiceLimiter`] that admits as
//! many requests as this VM's share of the endpoints can run. Other requests wait in a fair queue,
//! or are refused at once if their deadline would pass before their turn. A refused request was not
//! run, and the refusal is sent without delay. docs/operators/limits.md describes the limits for
//! operators.

pub mod quota;
pub mod service;
pub mod share;

use std::collections::BTreeMap;

use self::quota::Quota;
use self::service::ServiceLimiter;
use crate::clock::Millis;
use crate::core::config::object::Priority;
use crate::core::fair::Job;
use crate::error::Code;
use crate::error::Failure;
use crate::names::ServiceName;
use crate::names::Team;
use crate::names::Vm;

/// Identifies a request on its VM.
pub type RequestId = u64;

/// A request to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Unique on this VM.
    pub id: RequestId,
    /// The calling team.
    pub team: Team,
    /// The team's weight in fair queueing.
    pub weight: u32,
    /// The team's limit in requests per second over all VMs; 0 for no limit.
    pub rate_limit: u32,
    /// The priority class, by which the queue is ordered first.
    pub priority: Priority,
    /// The expected work in token steps; 1 for a plain request.
    pub cost: u32,
    /// The time after which the caller no longer needs the answer.
    pub deadline: Millis,
    /// The service that the request calls.
    pub service: ServiceName,
}

impl Request {
    /// Returns what the request's place in the queue depends on.
    fn job(&self) -> Job {
        Job {
            id: self.id,
            class: match self.priority {
                Priority::Urgent => 0,
                Priority::Normal => 1,
                Priority::Batch => 2,
            },
            team: self.team.clone(),
            weight: self.weight,
            cost: self.cost,
        }
    }
}

/// The immediate result of [`Limiter::offer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be routed now.
    Admit,
    /// The request waits in the queue; an [`Action`] follows unless it is cancelled.
    Queue,
    /// The request was not run and will not be.
    Refuse(Failure),
}

/// The later decision on a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may be routed now.
    Admit(RequestId),
    /// The request was not run and will not be.
    Refuse(RequestId, Failure),
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The request was served.
    Served,
    /// The endpoints had no capacity for it, or no endpoint was available.
    Congested,
    /// The request failed or was cancelled.
    Dropped,
}

/// The admission control of one VM, over all services and teams.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    services: BTreeMap<ServiceName, ServiceLimiter>,
    quota: Quota,
}

impl Limiter {
    /// Sets the total slots of a service's endpoints, which all VMs share.
    pub fn set_slots(&mut self, service: &ServiceName, slots: u32) {
        self.service(service).share.set_slots(slots);
    }

    /// Sets the number of other serving VMs.
    pub fn set_peers(&mut self, count: usize) {
        self.quota.set_peers(count);
        for limiter in self.services.values_mut() {
            limiter.share.set_peers(count);
        }
    }

    /// Discards the demand of a VM that is gone.
    pub fn forget_peer(&mut self, vm: &Vm) {
        for limiter in self.services.values_mut() {
            limiter.share.forget_peer(vm);
        }
    }

    /// Returns the limiter of a service, to exchange its demand with peers and to read its state.
    pub fn service(&mut self, service: &ServiceName) -> &mut ServiceLimiter {
        self.services.entry(service.clone()).or_default()
    }

    /// Returns the rate limits of the teams, to exchange their demand with peers.
    pub fn quota(&mut self) -> &mut Quota {
        &mut self.quota
    }

    /// Offers a request, and returns whether it is admitted, queued or refused.
    pub fn offer(&mut self, now: Millis, request: Request) -> Decision {
        if request.deadline <= now {
            return Decision::Refuse(deadline_passed());
        }
        if let Err(retry_after) = self.quota.take(now, &request.team, request.rate_limit) {
            let failure = Failure::not_run(Code::RateLimited, "The team is over its limit.");
            return Decision::Refuse(failure.retry_after(retry_after));
        }
        self.service(&request.service.clone()).offer(now, request)
    }

    /// Records that an admitted request ended, and admits queued requests in its place.
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

    /// Removes a request from the queue after its caller gave up; returns whether it was queued.
    pub fn cancel(&mut self, service: &ServiceName, id: RequestId) -> bool {
        self.services
            .get_mut(service)
            .is_some_and(|limiter| limiter.cancel(id))
    }

    /// Refuses queued requests that can't meet their deadline, and admits others as capacity
    /// allows.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.quota.tick(now);
        for limiter in self.services.values_mut() {
            limiter.tick(now, actions);
        }
    }
}

/// Returns the failure of a request whose deadline passed before it ran.
fn deadline_passed() -> Failure {
    Failure::not_run(
        Code::DeadlinePassed,
        "The deadline leaves no time to run it.",
    )
}
