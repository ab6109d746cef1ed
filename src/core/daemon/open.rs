//! The requests of teams that are in progress on this VM.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::core::limit::Finish;
use crate::core::once;
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

/// A request in progress.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub(super) team: Team,
    pub(super) service: ServiceName,
    pub(super) deadline: Millis,
    /// Whether it has left the queue.
    pub(super) admitted: bool,
    pub(super) job: Job,
}

/// What the request is for.
#[derive(Clone, Debug)]
pub(super) enum Job {
    Plain(PlainCall),
    Model(Box<ModelCall>),
}

/// A call on a plain service.
#[derive(Clone, Debug)]
pub(super) struct PlainCall {
    pub(super) idempotent: bool,
    /// The key, if the call is not idempotent and has one.
    pub(super) key: Option<Arc<str>>,
    pub(super) digest: once::CallDigest,
    pub(super) attempt: u32,
    pub(super) sending: Option<Sending>,
    pub(super) tried: Vec<EndpointName>,
    /// Whether an attempt that may have run went before.
    pub(super) may_have_run: bool,
    /// Whether the caller went away while the call could not be taken back.
    pub(super) caller_left: bool,
}

/// An attempt that is on its way.
#[derive(Clone, Debug)]
pub(super) struct Sending {
    pub(super) endpoint: EndpointName,
    pub(super) since: Millis,
}

/// A request for tokens.
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
    /// When the chain was lost that the last token came over.
    pub(super) lost_at: Option<Millis>,
    /// When the hop on its way was sent.
    pub(super) hop_sent_at: Millis,
    /// How endpoints failed the present legs.
    pub(super) faults: BTreeMap<EndpointName, LegOutcome>,
    /// What the request is known by, should it crash endpoints.
    pub(super) digest: RequestDigest,
    pub(super) permit: Permit,
}

/// How the work on a leg ended: for the router, and for the search for what crashes endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LegOutcome {
    pub(super) outcome: Outcome,
    pub(super) run_outcome: RunOutcome,
}

impl LegOutcome {
    /// The whole answer came.
    pub(super) const COMPLETED: Self = Self {
        outcome: Outcome::Ok,
        run_outcome: RunOutcome::Completed,
    };
    /// The work was given up, by no fault of the endpoint.
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

    /// Tells the router how an attempt on a plain endpoint ended.
    pub(super) fn attempt_ended(&mut self, now: Millis, sending: &Sending, outcome: Outcome) {
        let took = now.since(sending.since);
        self.router
            .apply(now, &sending.endpoint, Event::Ended { took, outcome });
    }

    /// Forgets a request and lets in those whose turn it is.
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
