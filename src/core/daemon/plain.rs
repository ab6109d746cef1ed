//! Calls of plain services: attempts, and retries where they are safe.
//!
//! A call that isn't idempotent is never sent again once its first byte may have reached an
//! endpoint. With an idempotency key it is sent only after its claim of the key has won
//! (docs/ONCE.md).

use std::sync::Arc;

use crate::clock::Millis;
use crate::core::limit::Finish;
use crate::core::once;
use crate::core::once::CallId;
use crate::core::route;
use crate::core::route::Requirements;
use crate::core::route::view::Outcome;
use crate::core::session::event::RequestId;
use crate::error::Code;
use crate::error::Failure;
use crate::error::Ran;
use crate::names::EndpointName;

use super::Core;
use super::action::Action;
use super::action::ReadId;
use super::event::PlainAnswer;
use super::event::PlainFault;
use super::open::PlainCall;
use super::open::Sending;

/// The most endpoints that one call is sent to.
const MAX_ENDPOINTS: usize = 3;

impl Core {
    /// Claims the call's idempotency key; the call is sent after the claim has won.
    pub(super) fn claim_key(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let (team, deadline) = (open.team.clone(), open.deadline);
        let Some(plain) = self.plain_mut(id) else {
            return;
        };
        let Some(key) = plain.key.as_ref().map(Arc::clone) else {
            return;
        };
        let digest = plain.digest;
        let call = once::Event::Call {
            id: CallId(id.0),
            team,
            key,
            digest,
            deadline,
        };
        self.step_once(now, call, out);
    }

    /// Passes an event to the claims module and carries out its actions.
    pub(super) fn step_once(&mut self, now: Millis, event: once::Event, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.once.step(now, event, &mut actions);
        for action in actions {
            match action {
                once::Action::Append {
                    ticket,
                    stream,
                    batch,
                } => {
                    self.append_claims(now, ticket, stream, &batch, out);
                }
                once::Action::Read { stream, from } => {
                    let read = ReadId::Once(stream);
                    out.push(Action::Read { read, from: from.0 });
                }
                once::Action::Tell { vm, message } => self.send_peer(&vm, message, out),
                once::Action::Run(CallId(id)) => self.claim_won(now, RequestId(id), out),
                once::Action::Reply {
                    id: CallId(id),
                    reply,
                } => {
                    self.claim_answered(now, RequestId(id), reply, out);
                }
            }
        }
    }

    /// Sends a call whose claim has won, unless the caller went away.
    fn claim_won(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let caller_left = self.plain_mut(id).is_none_or(|plain| plain.caller_left);
        if caller_left {
            self.step_once(now, once::Event::Unsent(CallId(id.0)), out);
            self.close_request(now, id, Finish::Dropped, out);
            out.push(Action::Drop(id));
            return;
        }
        self.send_plain(now, id, out);
    }

    /// Answers a call with a recorded answer or a failure, without sending it.
    fn claim_answered(
        &mut self,
        now: Millis,
        id: RequestId,
        reply: once::Reply,
        out: &mut Vec<Action>,
    ) {
        self.close_request(now, id, Finish::Dropped, out);
        out.push(match reply {
            once::Reply::Replay(answer) => Action::Replay { id, answer },
            once::Reply::Failure(failure) => Action::Fail { id, failure },
        });
    }

    /// Sends the call to an endpoint that it hasn't been sent to yet.
    pub(super) fn send_plain(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let candidates = self.candidates(id);
        let picked = self
            .check_ready(now)
            .and_then(|()| self.pick(now, id, &candidates));
        match picked {
            Ok(endpoint) => self.send_to(now, id, &endpoint, out),
            Err(failure) => self.give_up(now, id, failure, out),
        }
    }

    fn pick(
        &mut self,
        now: Millis,
        id: RequestId,
        candidates: &[EndpointName],
    ) -> Result<EndpointName, Failure> {
        let Some(open) = self.requests.get(&id) else {
            return Err(Failure::not_run(Code::NotFound, "The call is over."));
        };
        let service = open.service.clone();
        let tried = self
            .plain_mut(id)
            .map(|plain| plain.tried.clone())
            .unwrap_or_default();
        let requirements = Requirements {
            cost: 1,
            prefix: &[],
            avoid: &tried,
        };
        self.router
            .pick(now, &service, candidates, &requirements)
            .map_err(|none| {
                Failure::not_run(Code::NoCapacity, none.to_string()).retry_after(none.retry_after)
            })
    }

    fn send_to(
        &mut self,
        now: Millis,
        id: RequestId,
        endpoint: &EndpointName,
        out: &mut Vec<Action>,
    ) {
        let Some(addr) = self.state.endpoint(endpoint).map(|entry| entry.addr) else {
            return;
        };
        let suspicion = self.router.suspicion_timeout(endpoint);
        let left = self
            .requests
            .get(&id)
            .map_or(Millis(0), |open| open.deadline.since(now));
        let Some(plain) = self.plain_mut(id) else {
            return;
        };
        plain.attempt += 1;
        let attempt = plain.attempt;
        let keyed = plain.key.is_some();
        let timeout = match suspicion {
            Some(suspicion) if plain.idempotent => suspicion.min(left),
            _ => left,
        };
        plain.sending = Some(Sending {
            endpoint: endpoint.clone(),
            since: now,
        });
        self.router
            .apply(now, endpoint, route::Event::Started { cost: 1 });
        if keyed {
            self.step_once(now, once::Event::Sent(CallId(id.0)), out);
        }
        out.push(Action::Send {
            id,
            attempt,
            addr,
            timeout,
        });
    }

    pub(super) fn plain_answered(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u32,
        answer: PlainAnswer,
        out: &mut Vec<Action>,
    ) {
        let Some(sending) = self.take_sending(id, attempt) else {
            return;
        };
        if let Some(pause) = answer.pause {
            self.router
                .apply(now, &sending.endpoint, route::Event::Paused(pause));
        }
        if answer.refused {
            self.attempt_ended(now, &sending, Outcome::Unrun);
            self.try_another(now, id, sending.endpoint, out);
            return;
        }
        self.attempt_ended(now, &sending, Outcome::Ok);
        self.retry_budget.succeeded();
        if let Some(record) = answer.record
            && self.plain_mut(id).is_some_and(|plain| plain.key.is_some())
        {
            let event = once::Event::Answered {
                id: CallId(id.0),
                answer: record,
            };
            self.step_once(now, event, out);
        }
        self.close_request(now, id, Finish::Served, out);
        out.push(Action::Relay { id, attempt });
    }

    pub(super) fn plain_failed(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u32,
        fault: PlainFault,
        out: &mut Vec<Action>,
    ) {
        let Some(sending) = self.take_sending(id, attempt) else {
            return;
        };
        self.attempt_ended(now, &sending, Outcome::Failed);
        let idempotent = self.plain_mut(id).is_some_and(|plain| plain.idempotent);
        if fault == PlainFault::Unsent {
            self.try_another(now, id, sending.endpoint, out);
        } else if idempotent && self.may_retry(now, id) {
            self.mark_tried(id, sending.endpoint);
            self.mark_may_have_run(id);
            self.send_plain(now, id, out);
        } else {
            self.doubt(now, id, fault, out);
        }
    }

    /// Retries a call that the endpoint certainly did not run, on another endpoint.
    fn try_another(
        &mut self,
        now: Millis,
        id: RequestId,
        endpoint: EndpointName,
        out: &mut Vec<Action>,
    ) {
        self.mark_tried(id, endpoint);
        if self.may_retry(now, id) {
            self.send_plain(now, id, out);
            return;
        }
        let failure = Failure::not_run(Code::NoCapacity, "No endpoint took the call.");
        self.give_up(now, id, failure.retry_after(Millis::seconds(1)), out);
    }

    /// Fails a call that may have been run and must not be sent again.
    fn doubt(&mut self, now: Millis, id: RequestId, fault: PlainFault, out: &mut Vec<Action>) {
        if self.plain_mut(id).is_some_and(|plain| plain.key.is_some()) {
            self.step_once(now, once::Event::Broke(CallId(id.0)), out);
        }
        self.close_request(now, id, Finish::Dropped, out);
        let failure = match fault {
            PlainFault::Silent => {
                Failure::may_have_run(Code::DeadlinePassed, "The endpoint did not answer in time.")
            }
            PlainFault::Broken | PlainFault::Unsent => {
                Failure::may_have_run(Code::EndpointFailed, "The endpoint broke the connection.")
            }
        };
        out.push(Action::Fail { id, failure });
    }

    /// Fails a call that no endpoint took. It was not run, unless an earlier attempt may have been.
    fn give_up(&mut self, now: Millis, id: RequestId, mut failure: Failure, out: &mut Vec<Action>) {
        if self.plain_mut(id).is_some_and(|plain| plain.may_have_run) {
            failure.ran = Ran::Unknown;
        }
        if self.plain_mut(id).is_some_and(|plain| plain.key.is_some()) {
            self.step_once(now, once::Event::Unsent(CallId(id.0)), out);
        }
        self.close_request(now, id, Finish::Congested, out);
        out.push(Action::Fail { id, failure });
    }

    fn may_retry(&mut self, now: Millis, id: RequestId) -> bool {
        let Some(open) = self.requests.get(&id) else {
            return false;
        };
        let late = now >= open.deadline;
        let tries_left = self
            .plain_mut(id)
            .is_some_and(|plain| plain.tried.len() < MAX_ENDPOINTS);
        !late && tries_left && self.retry_budget.take()
    }

    /// Records that an attempt may have been run.
    fn mark_may_have_run(&mut self, id: RequestId) {
        if let Some(plain) = self.plain_mut(id) {
            plain.may_have_run = true;
        }
    }

    fn mark_tried(&mut self, id: RequestId, endpoint: EndpointName) {
        if let Some(plain) = self.plain_mut(id) {
            plain.tried.push(endpoint);
        }
    }

    fn take_sending(&mut self, id: RequestId, attempt: u32) -> Option<Sending> {
        let plain: &mut PlainCall = self.plain_mut(id)?;
        if plain.attempt != attempt {
            return None;
        }
        plain.sending.take()
    }
}
