//! The teams' requests in progress on this VM.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::core::limit::Finish;
use crate::core::once;
use crate::core::poison::PartDigest;
use crate::core::poison::RequestDigest;
use crate::core::poison::RunOutcome;
use crate::core::route::Event;
use crate::core::route::view::Outcome;
use crate::core::session::event::Leg;
use crate::core::session::event::RequestId;
use crate::core::session::resume::EventId;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Team;

use super::Core;
use super::action::Action;
use super::suspect::Permit;

/// A request in progress, queued or running.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub(super) team: Team,
    pub(super) service: ServiceName,
    pub(super) deadline: Millis,
    /// Whether the request has left the queue.
    pub(super) admitted: bool,
    pub(super) job: Job,
}

/// The kind of a request and its state.
#[derive(Clone, Debug)]
pub(super) enum Job {
    Plain(PlainCall),
    Model(Box<ModelCall>),
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub(super) struct PlainCall {
    pub(super) idempotent: bool,
    /// The idempotency key; `None` also for idempotent calls, which need none.
    pub(super) key: Option<Arc<str>>,
    pub(super) digest: once::CallDigest,
    pub(super) attempt: u32,
    pub(super) sending: Option<Sending>,
    pub(super) tried: Vec<EndpointName>,
    /// Whether an earlier attempt may have been run.
    pub(super) may_have_run: bool,
    /// Whether the caller went away after the call could no longer be cancelled.
    pub(super) caller_left: bool,
}

/// An attempt that has been sent and not yet answered.
#[derive(Clone, Debug)]
pub(super) struct Sending {
    pub(super) endpoint: EndpointName,
    pub(super) since: Millis,
}

/// A completion by a model.
#[derive(Clone, Debug)]
pub(super) struct ModelCall {
    pub(super) prompt: Vec<u32>,
    pub(super) limit: u32,
    pub(super) seed: u64,
    pub(super) resume: Option<EventId>,
    pub(super) layers: u32,
    pub(super) legs: Arc<[Leg]>,
    /// When the legs were chosen.
    pub(super) legs_since: Millis,
    /// When the chain that produced the last token was lost.
    pub(super) lost_at: Option<Millis>,
    /// When the hop in progress was sent.
    pub(super) hop_sent_at: Millis,
    /// The endpoints of the current legs that failed, and how.
    pub(super) faults: BTreeMap<EndpointName, LegOutcome>,
    /// Identifies the request's content if it crashes endpoints.
    pub(super) digest: RequestDigest,
    /// The parts of the prompt that other requests may share.
    pub(super) parts: Arc<[PartDigest]>,
    pub(super) permit: Permit,
}

/// How the work on a leg ended: for the router, and for the detection of requests that crash
/// endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LegOutcome {
    pub(super) outcome: Outcome,
    pub(super) run_outcome: RunOutcome,
}

impl LegOutcome {
    /// The answer was complete.
    pub(super) const COMPLETED: Self = Self {
        outcome: Outcome::Ok,
        run_outcome: RunOutcome::Completed,
    };
    /// The work was abandoned without a fault of the endpoint.
    pub(super) const ABANDONED: Self = Self {
        outcome: Outcome::Unrun,
        run_outcome: RunOutcome::Inconclusive,
    };
}

impl Core {
    pub(super) fn plain_mut(&mut self, id: RequestId) -> Option<&mut PlainCall> {
        match &mut self.requests.get_mut(&id)?.job {
            Job::Plain(plain) => Some(plain),
            Job::Model(_) => None,
        }
    }

    pub(super) fn model_mut(&mut self, id: RequestId) -> Option<&mut ModelCall> {
        match &mut self.requests.get_mut(&id)?.job {
            Job::Plain(_) => None,
            Job::Model(model) => Some(model),
        }
    }

    /// Tells the router how an attempt of a plain call ended.
    pub(super) fn attempt_ended(&mut self, now: Millis, sending: &Sending, outcome: Outcome) {
        let took = now.since(sending.since);
        self.router
            .apply(now, &sending.endpoint, Event::Ended { took, outcome });
    }

    /// Removes a request and admits the queued requests that now fit.
    pub(super) fn close_request(
        &mut self,
        now: Millis,
        id: RequestId,
        finish: Finish,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.remove(&id) else {
            return;
        };
        if open.admitted {
            let mut actions = Vec::new();
            self.limiter
                .finished(now, &open.service, id.0, finish, &mut actions);
            self.apply_limiter_actions(now, actions, out);
        } else {
            self.limiter.cancel(&open.service, id.0);
        }
    }
}
