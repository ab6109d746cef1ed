//! One session: which hop is outstanding, which tokens were given, and what follows.

use std::sync::Arc;

use crate::clock::Millis;
use crate::core::session::admit::admit;
use crate::core::session::admit::covering;
use crate::core::session::answer::Answer;
use crate::core::session::answer::Taken;
use crate::core::session::event::Action;
use crate::core::session::event::Fault;
use crate::core::session::event::Health;
use crate::core::session::event::HopKey;
use crate::core::session::event::Leg;
use crate::core::session::event::Reason;
use crate::core::session::event::RequestId;
use crate::core::session::event::Start;
use crate::core::session::fit::Awaited;
use crate::core::session::fit::Fit;
use crate::core::session::flight::Flight;
use crate::core::session::reroute::Reroute;
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

/// How many attempts a session has in all, moves included; each costs a prefill.
pub const ATTEMPT_LIMIT: u32 = 32;

/// One session; its size counts, since every open stream has one (docs/SESSIONS.md).
#[derive(Debug)]
pub struct Session {
    id: RequestId,
    name: SessionId,
    layers: u32,
    deadline: Millis,
    answer: Answer,
    attempt: u32,
    /// The index of the token that the attempt's prefill works towards.
    base: u32,
    touched: bool,
    chain: Arc<[Leg]>,
    reroute: Reroute,
    stage: Stage,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    Running(Flight),
    Waiting,
    Closed,
}

impl Session {
    /// Starts a session and sends its first hop, or fails a request that cannot run.
    pub fn start(
        now: Millis,
        name: SessionId,
        start: Start,
        out: &mut Vec<Action>,
    ) -> Option<Self> {
        if let Err(failure) = admit(now, &start) {
            let id = start.id;
            out.push(Action::Fail { id, failure });
            return None;
        }
        let touched = start.resume.is_some();
        let mut session = Self {
            id: start.id,
            name,
            layers: start.layers,
            deadline: start.deadline,
            answer: Answer::new(start.prompt, start.max_tokens, start.seed, start.resume),
            attempt: 0,
            base: 0,
            touched,
            chain: start.chain,
            reroute: Reroute::default(),
            stage: Stage::Waiting,
        };
        session.prefill(now, out);
        Some(session)
    }

    /// Returns whether the session is over.
    pub fn is_closed(&self) -> bool {
        matches!(self.stage, Stage::Closed)
    }

    /// Returns the chain that it runs on, empty while it waits for one.
    pub fn legs(&self) -> &[Leg] {
        match self.stage {
            Stage::Running(_) => &self.chain,
            Stage::Waiting | Stage::Closed => &[],
        }
    }

    /// Returns when it has to wake at the latest.
    pub fn due(&self) -> Millis {
        match self.stage {
            Stage::Running(flight) => flight.due.min(self.deadline),
            Stage::Waiting | Stage::Closed => self.deadline,
        }
    }

    /// Takes a line of an engine's answer.
    pub fn reply(&mut self, now: Millis, reply: HopReply, out: &mut Vec<Action>) -> Fit {
        let fit = self.judge(&reply);
        match fit {
            Fit::Fits => self.accept(now, reply.output, out),
            Fit::Doubtful => self.give_up(now, true, out),
            Fit::Crossed | Fit::Late | Fit::Doubled => {}
        }
        fit
    }

    /// Takes the news that a hop will have no answer.
    pub fn fail(&mut self, now: Millis, key: HopKey, fault: Fault, out: &mut Vec<Action>) -> Fit {
        let Some(flight) = self.matching(key) else {
            return self.misfit(key);
        };
        match fault {
            Fault::Silent if flight.probing => {}
            Fault::Silent => self.overdue(now, out),
            Fault::CacheLost => self.give_up(now, false, out),
            Fault::Broken | Fault::Invalid => self.give_up(now, true, out),
            Fault::Refused => self.retry(now, true, out),
            Fault::Unreachable => self.pass_over(now, out),
        }
        Fit::Fits
    }

    /// Takes what a probe learnt.
    pub fn probed(
        &mut self,
        now: Millis,
        key: HopKey,
        health: Health,
        out: &mut Vec<Action>,
    ) -> Fit {
        let Some(flight) = self.matching(key).filter(|flight| flight.probing) else {
            return self.misfit(key);
        };
        match health {
            Health::Working => {
                let span = self.span(flight.leg);
                self.stage = Stage::Running(flight.extended(now, span));
            }
            Health::Idle => self.give_up(now, false, out),
            Health::Gone => self.give_up(now, true, out),
        }
        Fit::Fits
    }

    /// Takes the router's answer to a question for a chain.
    pub fn chain(
        &mut self,
        now: Millis,
        query: u32,
        legs: Result<Arc<[Leg]>, Failure>,
        out: &mut Vec<Action>,
    ) -> Fit {
        if !self.reroute.answered(query) {
            return Fit::Late;
        }
        let legs = legs.and_then(|legs| covering(legs, self.layers));
        match (legs, self.stage) {
            (Ok(legs), Stage::Running(_)) => self.reroute.keep(legs),
            (Ok(legs), _) => self.switch(now, legs, out),
            (Err(failure), Stage::Waiting) => self.close(failure, out),
            // A move that finds no other chain leaves the session where it is.
            (Err(_), _) => {}
        }
        Fit::Fits
    }

    /// Asks for another chain, to which the session moves at its next token.
    pub fn relocate(&mut self, out: &mut Vec<Action>) -> Fit {
        if self.reroute.is_idle() && self.attempt + 1 < ATTEMPT_LIMIT {
            self.ask(out);
        }
        Fit::Fits
    }

    /// Frees everything, since the caller went away.
    pub fn cancel(&mut self, out: &mut Vec<Action>) -> Fit {
        self.release(out);
        self.stage = Stage::Closed;
        Fit::Fits
    }

    /// Checks the deadline and the patience with the outstanding hop.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now >= self.deadline {
            self.touched |= matches!(self.stage, Stage::Running(_));
            let failure = Failure::unrun(Code::DeadlinePassed, "the deadline passed");
            self.release(out);
            self.close(failure, out);
            return;
        }
        if let Stage::Running(flight) = self.stage
            && now >= flight.due
        {
            self.overdue(now, out);
        }
    }

    fn in_prefill(&self) -> bool {
        self.answer.given() == self.base
    }

    fn span(&self, leg: usize) -> Millis {
        let leg = &self.chain[leg];
        if self.in_prefill() {
            leg.prefill_timeout
        } else {
            leg.decode_timeout
        }
    }

    fn key(&self, flight: Flight) -> HopKey {
        HopKey {
            session: self.name,
            attempt: self.attempt,
            token: flight.first,
            layers: self.chain[flight.leg].layers,
        }
    }

    fn matching(&self, key: HopKey) -> Option<Flight> {
        match self.stage {
            Stage::Running(flight) if self.key(flight) == key => Some(flight),
            _ => None,
        }
    }

    fn misfit(&self, key: HopKey) -> Fit {
        if key.session == self.name {
            Fit::Late
        } else {
            Fit::Crossed
        }
    }

    fn judge(&self, reply: &HopReply) -> Fit {
        let Stage::Running(flight) = self.stage else {
            return if reply.session == self.name {
                Fit::Late
            } else {
                Fit::Crossed
            };
        };
        let awaited = Awaited {
            session: self.name,
            attempt: self.attempt,
            token: self.answer.given(),
            chain: &self.chain,
            leg: flight.leg,
        };
        awaited.judge(reply)
    }

    fn accept(&mut self, now: Millis, output: Output, out: &mut Vec<Action>) {
        let Stage::Running(flight) = self.stage else {
            return;
        };
        self.touched = true;
        match output {
            Output::State { data } => {
                let positions = if self.in_prefill() {
                    self.answer.len()
                } else {
                    1
                };
                self.send(now, flight.leg + 1, Input::State { data, positions }, out);
            }
            Output::Token { value, end } => self.token(now, flight, value, end, out),
        }
    }

    fn token(&mut self, now: Millis, flight: Flight, value: u32, end: bool, out: &mut Vec<Action>) {
        self.reroute.progressed();
        let last = end || self.answer.left() == 1;
        match self.answer.take(value, last) {
            Taken::Emit(event) => {
                let id = self.id;
                out.push(Action::Emit { id, value, event });
            }
            Taken::Held => {}
            Taken::Differs => return self.differ(out),
        }
        if last {
            let reason = if end { Reason::Stop } else { Reason::Length };
            self.finish(reason, out);
        } else {
            self.go_on(now, flight, value, out);
        }
    }

    fn go_on(&mut self, now: Millis, flight: Flight, value: u32, out: &mut Vec<Action>) {
        if let Some(legs) = self.reroute.take() {
            self.release(out);
            self.switch(now, legs, out);
        } else if self.chain.len() == 1 {
            // The engine streams on: its next line belongs to the same hop.
            let span = self.span(flight.leg);
            self.stage = Stage::Running(flight.progressed(now + span));
        } else {
            self.send(now, 0, Input::Token { value }, out);
        }
    }

    fn prefill(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.base = self.answer.given();
        let tokens = self.answer.tokens().to_vec();
        self.send(now, 0, Input::Prompt { tokens }, out);
    }

    fn send(&mut self, now: Millis, leg: usize, input: Input, out: &mut Vec<Action>) {
        let token = self.answer.given();
        let whole = self.chain.len() == 1;
        let target = &self.chain[leg];
        let hop = Hop {
            session: self.name,
            attempt: self.attempt,
            token,
            layers: target.layers,
            steps: if whole { self.answer.left() } else { 1 },
            seed: self.answer.seed(),
            input,
        };
        out.push(Action::Send {
            id: self.id,
            endpoint: target.endpoint.clone(),
            hop,
        });
        let due = now + self.span(leg);
        self.stage = Stage::Running(Flight::new(leg, token, due));
    }

    fn overdue(&mut self, now: Millis, out: &mut Vec<Action>) {
        let Stage::Running(flight) = self.stage else {
            return;
        };
        let Some(probing) = flight.probe(now) else {
            self.give_up(now, true, out);
            return;
        };
        out.push(Action::Probe {
            id: self.id,
            endpoint: self.chain[flight.leg].endpoint.clone(),
            key: self.key(flight),
        });
        self.stage = Stage::Running(probing);
    }

    /// Ends an attempt whose outstanding hop may have run.
    fn give_up(&mut self, now: Millis, avoid: bool, out: &mut Vec<Action>) {
        self.touched = true;
        self.retry(now, avoid, out);
    }

    /// Ends the attempt and goes on with another, within the bounds.
    fn retry(&mut self, now: Millis, avoid: bool, out: &mut Vec<Action>) {
        let culprit = self.endpoint().filter(|_| avoid).cloned();
        self.reroute.failed(culprit);
        self.release(out);
        self.stage = Stage::Waiting;
        if self.reroute.is_spent() || self.attempt + 1 >= ATTEMPT_LIMIT {
            let code = if self.touched {
                Code::EndpointFailed
            } else {
                Code::Overloaded
            };
            self.close(Failure::unrun(code, "every attempt failed"), out);
        } else if let Some(legs) = self.reroute.take() {
            self.switch(now, legs, out);
        } else {
            self.ask(out);
        }
    }

    /// Goes on without an endpoint that cannot be reached; nothing ran, so no try is counted.
    fn pass_over(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.reroute.uncount();
        self.retry(now, true, out);
    }

    /// Returns the endpoint that has the outstanding hop.
    fn endpoint(&self) -> Option<&EndpointName> {
        match self.stage {
            Stage::Running(flight) => Some(&self.chain[flight.leg].endpoint),
            Stage::Waiting | Stage::Closed => None,
        }
    }

    fn ask(&mut self, out: &mut Vec<Action>) {
        out.push(Action::NeedChain {
            id: self.id,
            query: self.reroute.ask(),
            avoid: self.reroute.avoid().to_vec(),
        });
    }

    fn switch(&mut self, now: Millis, legs: Arc<[Leg]>, out: &mut Vec<Action>) {
        self.chain = legs;
        self.attempt += 1;
        self.prefill(now, out);
    }

    /// Frees the KV cache on each leg that the attempt reached.
    fn release(&self, out: &mut Vec<Action>) {
        let Stage::Running(flight) = self.stage else {
            return;
        };
        let reached = if self.in_prefill() {
            flight.leg + 1
        } else {
            self.chain.len()
        };
        for leg in &self.chain[..reached] {
            out.push(Action::Release {
                endpoint: leg.endpoint.clone(),
                release: Release {
                    session: self.name,
                    attempt: self.attempt,
                },
            });
        }
    }

    fn finish(&mut self, reason: Reason, out: &mut Vec<Action>) {
        self.release(out);
        self.stage = Stage::Closed;
        let id = self.id;
        out.push(Action::Finish { id, reason });
    }

    fn differ(&mut self, out: &mut Vec<Action>) {
        let failure = Failure::unrun(
            Code::ResumeMismatch,
            "the regenerated answer differs from the part already given",
        );
        self.release(out);
        self.close(failure, out);
    }

    /// Fails the request; it counts as not run only if no hop of any attempt can have run.
    fn close(&mut self, mut failure: Failure, out: &mut Vec<Action>) {
        if self.touched {
            failure.ran = Ran::Unknown;
        }
        self.stage = Stage::Closed;
        let id = self.id;
        out.push(Action::Fail { id, failure });
    }
}
