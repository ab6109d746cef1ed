//! The state machine of one session: its pending hop, its tokens and its attempts.

use std::sync::Arc;

use crate::clock::Millis;
use crate::core::session::answer::Answer;
use crate::core::session::answer::TokenAction;
use crate::core::session::event::Action;
use crate::core::session::event::Fault;
use crate::core::session::event::Health;
use crate::core::session::event::HopKey;
use crate::core::session::event::Leg;
use crate::core::session::event::Reason;
use crate::core::session::event::RequestId;
use crate::core::session::event::Start;
use crate::core::session::pending::PendingHop;
use crate::core::session::reply::ExpectedReply;
use crate::core::session::reply::ReplyStatus;
use crate::core::session::reroute::Reroute;
use crate::core::session::validate::require_coverage;
use crate::core::session::validate::validate;
use crate::core::session::wire::Hop;
use crate::core::session::wire::HopReply;
use crate::core::session::wire::Input;
use crate::core::session::wire::Output;
use crate::core::session::wire::Release;
use crate::core::session::wire::SessionId;
use crate::error::Code;
use crate::error::Failure;
use crate::error::Ran;
use crate::names::EndpointName;

/// The maximum number of attempts of a session, including moves; each costs a prefill.
pub const ATTEMPT_LIMIT: u32 = 32;

/// One session. Keep it small: every open stream has one (docs/SESSIONS.md).
#[derive(Debug)]
pub struct Session {
    id: RequestId,
    /// The session id in messages to engines.
    wire_id: SessionId,
    layers: u32,
    deadline: Millis,
    answer: Answer,
    attempt: u32,
    /// The index of the token that the attempt's prefill produces.
    prefill_token: u32,
    /// Whether a hop of any attempt may have run, so that a failure cannot be reported as not run.
    may_have_run: bool,
    chain: Arc<[Leg]>,
    reroute: Reroute,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// A hop is pending.
    Running(PendingHop),
    /// The session waits for the router's answer to [`Action::NeedChain`].
    Waiting,
    /// The request has finished, failed or been cancelled.
    Closed,
}

impl Session {
    /// Starts a session and sends its first hop. Fails the request and returns `None` if it is
    /// not valid.
    pub fn start(
        now: Millis,
        wire_id: SessionId,
        start: Start,
        out: &mut Vec<Action>,
    ) -> Option<Self> {
        if let Err(failure) = validate(now, &start) {
            let id = start.id;
            out.push(Action::Fail { id, failure });
            return None;
        }
        let may_have_run = start.resume.is_some();
        let mut session = Self {
            id: start.id,
            wire_id,
            layers: start.layers,
            deadline: start.deadline,
            answer: Answer::new(start.prompt, start.max_tokens, start.seed, start.resume),
            attempt: 0,
            prefill_token: 0,
            may_have_run,
            chain: start.chain,
            reroute: Reroute::default(),
            phase: Phase::Waiting,
        };
        session.prefill(now, out);
        Some(session)
    }

    /// Returns whether the session is over.
    pub fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    /// Returns the chain of the current attempt, empty while the session waits for one.
    pub fn legs(&self) -> &[Leg] {
        match self.phase {
            Phase::Running(_) => &self.chain,
            Phase::Waiting | Phase::Closed => &[],
        }
    }

    /// Returns when [`Self::tick`] has to be called at the latest.
    pub fn wake_at(&self) -> Millis {
        match self.phase {
            Phase::Running(hop) => hop.due.min(self.deadline),
            Phase::Waiting | Phase::Closed => self.deadline,
        }
    }

    /// Handles one line of an engine's answer.
    pub fn reply(&mut self, now: Millis, reply: HopReply, out: &mut Vec<Action>) -> ReplyStatus {
        let status = self.check_reply(&reply);
        match status {
            ReplyStatus::Expected => self.accept_output(now, reply.output, out),
            ReplyStatus::Invalid => self.fail_attempt(now, true, out),
            ReplyStatus::WrongSession | ReplyStatus::Stale | ReplyStatus::Duplicate => {}
        }
        status
    }

    /// Handles the failure of a hop.
    pub fn hop_failed(
        &mut self,
        now: Millis,
        key: HopKey,
        fault: Fault,
        out: &mut Vec<Action>,
    ) -> ReplyStatus {
        let Some(hop) = self.pending_hop(key) else {
            return self.mismatch(key);
        };
        match fault {
            Fault::Silent if hop.is_probing => {}
            Fault::Silent => self.handle_timeout(now, out),
            Fault::CacheLost => self.fail_attempt(now, false, out),
            Fault::Broken | Fault::Invalid => self.fail_attempt(now, true, out),
            Fault::Refused => self.retry(now, true, out),
            Fault::Unreachable => self.skip_unreachable(now, out),
        }
        ReplyStatus::Expected
    }

    /// Handles the result of a probe.
    pub fn probed(
        &mut self,
        now: Millis,
        key: HopKey,
        health: Health,
        out: &mut Vec<Action>,
    ) -> ReplyStatus {
        let Some(hop) = self.pending_hop(key).filter(|hop| hop.is_probing) else {
            return self.mismatch(key);
        };
        match health {
            Health::Working => {
                let timeout = self.hop_timeout(hop.leg);
                self.phase = Phase::Running(hop.extended(now, timeout));
            }
            Health::Idle => self.fail_attempt(now, false, out),
            Health::Gone => self.fail_attempt(now, true, out),
        }
        ReplyStatus::Expected
    }

    /// Handles the router's answer to [`Action::NeedChain`].
    pub fn chain_found(
        &mut self,
        now: Millis,
        query: u32,
        legs: Result<Arc<[Leg]>, Failure>,
        out: &mut Vec<Action>,
    ) -> ReplyStatus {
        if !self.reroute.finish_query(query) {
            return ReplyStatus::Stale;
        }
        let legs = legs.and_then(|legs| require_coverage(legs, self.layers));
        match (legs, self.phase) {
            (Ok(legs), Phase::Running(_)) => self.reroute.set_next(legs),
            (Ok(legs), _) => self.switch_chain(now, legs, out),
            (Err(failure), Phase::Waiting) => self.fail_request(failure, out),
            // A move that finds no other chain: the session stays on its current one.
            (Err(_), _) => {}
        }
        ReplyStatus::Expected
    }

    /// Requests another chain, to which the session moves at its next token.
    pub fn relocate(&mut self, out: &mut Vec<Action>) -> ReplyStatus {
        if self.reroute.is_idle() && self.attempt + 1 < ATTEMPT_LIMIT {
            self.request_chain(out);
        }
        ReplyStatus::Expected
    }

    /// Closes the session after the caller disconnected, and frees its KV caches.
    pub fn cancel(&mut self, out: &mut Vec<Action>) -> ReplyStatus {
        self.release_caches(out);
        self.phase = Phase::Closed;
        ReplyStatus::Expected
    }

    /// Checks the deadline and the timeout of the pending hop.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now >= self.deadline {
            self.may_have_run |= matches!(self.phase, Phase::Running(_));
            let failure = Failure::not_run(Code::DeadlinePassed, "the deadline passed");
            self.release_caches(out);
            self.fail_request(failure, out);
            return;
        }
        if let Phase::Running(hop) = self.phase
            && now >= hop.due
        {
            self.handle_timeout(now, out);
        }
    }

    fn in_prefill(&self) -> bool {
        self.answer.generated() == self.prefill_token
    }

    fn hop_timeout(&self, leg: usize) -> Millis {
        let leg = &self.chain[leg];
        if self.in_prefill() {
            leg.prefill_timeout
        } else {
            leg.decode_timeout
        }
    }

    fn hop_key(&self, hop: PendingHop) -> HopKey {
        HopKey {
            session: self.wire_id,
            attempt: self.attempt,
            token: hop.first_token,
            layers: self.chain[hop.leg].layers,
        }
    }

    fn pending_hop(&self, key: HopKey) -> Option<PendingHop> {
        match self.phase {
            Phase::Running(hop) if self.hop_key(hop) == key => Some(hop),
            _ => None,
        }
    }

    fn mismatch(&self, key: HopKey) -> ReplyStatus {
        if key.session == self.wire_id {
            ReplyStatus::Stale
        } else {
            ReplyStatus::WrongSession
        }
    }

    fn check_reply(&self, reply: &HopReply) -> ReplyStatus {
        let Phase::Running(hop) = self.phase else {
            return if reply.session == self.wire_id {
                ReplyStatus::Stale
            } else {
                ReplyStatus::WrongSession
            };
        };
        let expected = ExpectedReply {
            session: self.wire_id,
            attempt: self.attempt,
            token: self.answer.generated(),
            chain: &self.chain,
            leg: hop.leg,
        };
        expected.check(reply)
    }

    fn accept_output(&mut self, now: Millis, output: Output, out: &mut Vec<Action>) {
        let Phase::Running(hop) = self.phase else {
            return;
        };
        self.may_have_run = true;
        match output {
            Output::State { data } => {
                let positions = if self.in_prefill() {
                    self.answer.len()
                } else {
                    1
                };
                self.send_hop(now, hop.leg + 1, Input::State { data, positions }, out);
            }
            Output::Token { value, end } => self.handle_token(now, hop, value, end, out),
        }
    }

    fn handle_token(
        &mut self,
        now: Millis,
        hop: PendingHop,
        value: u32,
        end: bool,
        out: &mut Vec<Action>,
    ) {
        self.reroute.reset_failures();
        let last = end || self.answer.remaining() == 1;
        match self.answer.push(value, last) {
            TokenAction::Emit(event) => {
                let id = self.id;
                out.push(Action::Emit { id, value, event });
            }
            TokenAction::Skip => {}
            TokenAction::Mismatch => return self.fail_mismatch(out),
        }
        if last {
            let reason = if end { Reason::Stop } else { Reason::Length };
            self.finish(reason, out);
        } else {
            self.continue_answer(now, hop, value, out);
        }
    }

    fn continue_answer(&mut self, now: Millis, hop: PendingHop, value: u32, out: &mut Vec<Action>) {
        if let Some(legs) = self.reroute.take_next() {
            self.release_caches(out);
            self.switch_chain(now, legs, out);
        } else if self.chain.len() == 1 {
            // A single leg streams all tokens: its next line belongs to the same hop.
            let timeout = self.hop_timeout(hop.leg);
            self.phase = Phase::Running(hop.progressed(now + timeout));
        } else {
            self.send_hop(now, 0, Input::Token { value }, out);
        }
    }

    fn prefill(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.prefill_token = self.answer.generated();
        let tokens = self.answer.tokens().to_vec();
        self.send_hop(now, 0, Input::Prompt { tokens }, out);
    }

    fn send_hop(&mut self, now: Millis, leg: usize, input: Input, out: &mut Vec<Action>) {
        let token = self.answer.generated();
        let whole = self.chain.len() == 1;
        let target = &self.chain[leg];
        let hop = Hop {
            session: self.wire_id,
            attempt: self.attempt,
            token,
            layers: target.layers,
            steps: if whole { self.answer.remaining() } else { 1 },
            seed: self.answer.seed(),
            input,
        };
        out.push(Action::Send {
            id: self.id,
            endpoint: target.endpoint.clone(),
            hop,
        });
        let due = now + self.hop_timeout(leg);
        self.phase = Phase::Running(PendingHop::new(leg, token, due));
    }

    fn handle_timeout(&mut self, now: Millis, out: &mut Vec<Action>) {
        let Phase::Running(hop) = self.phase else {
            return;
        };
        let Some(probing) = hop.probe(now) else {
            self.fail_attempt(now, true, out);
            return;
        };
        out.push(Action::Probe {
            id: self.id,
            endpoint: self.chain[hop.leg].endpoint.clone(),
            key: self.hop_key(hop),
        });
        self.phase = Phase::Running(probing);
    }

    /// Ends an attempt whose pending hop may have run, and retries.
    fn fail_attempt(&mut self, now: Millis, avoid: bool, out: &mut Vec<Action>) {
        self.may_have_run = true;
        self.retry(now, avoid, out);
    }

    /// Ends the attempt. Starts another, or fails the request if a limit is reached. `avoid` is
    /// whether the endpoint of the pending hop is excluded from the next chain.
    fn retry(&mut self, now: Millis, avoid: bool, out: &mut Vec<Action>) {
        let endpoint = self.endpoint().filter(|_| avoid).cloned();
        self.reroute.record_failure(endpoint);
        self.release_caches(out);
        self.phase = Phase::Waiting;
        if self.reroute.is_exhausted() || self.attempt + 1 >= ATTEMPT_LIMIT {
            let code = if self.may_have_run {
                Code::EndpointFailed
            } else {
                Code::Overloaded
            };
            self.fail_request(Failure::not_run(code, "every attempt failed"), out);
        } else if let Some(legs) = self.reroute.take_next() {
            self.switch_chain(now, legs, out);
        } else {
            self.request_chain(out);
        }
    }

    /// Retries without the unreachable endpoint; nothing ran, so no failure is counted.
    fn skip_unreachable(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.reroute.undo_failure();
        self.retry(now, true, out);
    }

    /// Returns the endpoint of the pending hop.
    fn endpoint(&self) -> Option<&EndpointName> {
        match self.phase {
            Phase::Running(hop) => Some(&self.chain[hop.leg].endpoint),
            Phase::Waiting | Phase::Closed => None,
        }
    }

    fn request_chain(&mut self, out: &mut Vec<Action>) {
        out.push(Action::NeedChain {
            id: self.id,
            query: self.reroute.start_query(),
            avoid: self.reroute.avoid().to_vec(),
        });
    }

    fn switch_chain(&mut self, now: Millis, legs: Arc<[Leg]>, out: &mut Vec<Action>) {
        self.chain = legs;
        self.attempt += 1;
        self.prefill(now, out);
    }

    /// Frees the KV cache on each leg that was sent a hop in this attempt.
    fn release_caches(&self, out: &mut Vec<Action>) {
        let Phase::Running(hop) = self.phase else {
            return;
        };
        let reached = if self.in_prefill() {
            hop.leg + 1
        } else {
            self.chain.len()
        };
        for leg in &self.chain[..reached] {
            out.push(Action::Release {
                endpoint: leg.endpoint.clone(),
                release: Release {
                    session: self.wire_id,
                    attempt: self.attempt,
                },
            });
        }
    }

    fn finish(&mut self, reason: Reason, out: &mut Vec<Action>) {
        self.release_caches(out);
        self.phase = Phase::Closed;
        let id = self.id;
        out.push(Action::Finish { id, reason });
    }

    fn fail_mismatch(&mut self, out: &mut Vec<Action>) {
        let failure = Failure::not_run(
            Code::ResumeMismatch,
            "the regenerated answer differs from the part already given",
        );
        self.release_caches(out);
        self.fail_request(failure, out);
    }

    /// Fails the request; it is reported as not run only if no hop of any attempt can have run.
    fn fail_request(&mut self, mut failure: Failure, out: &mut Vec<Action>) {
        if self.may_have_run {
            failure.ran = Ran::Unknown;
        }
        self.phase = Phase::Closed;
        let id = self.id;
        out.push(Action::Fail { id, failure });
    }
}
