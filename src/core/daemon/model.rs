//! Requests for tokens: a chain of endpoints for each, and another when one fails.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::core::limit::Finish;
use crate::core::poison::Run;
use crate::core::poison::RunOutcome;
use crate::core::route;
use crate::core::route::Requirements;
use crate::core::route::view::Outcome;
use crate::core::session;
use crate::core::session::event::Fault;
use crate::core::session::event::HopKey;
use crate::core::session::event::Leg;
use crate::core::session::event::RequestId;
use crate::core::session::event::Start;
use crate::core::session::wire::Hop;
use crate::error::Code;
use crate::error::Failure;
use crate::names::EndpointName;
use crate::names::ServiceName;

use super::Core;
use super::action::Action;
use super::open::Blame;
use super::open::Job;
use super::open::Open;
use super::suspect::Permit;
use super::suspect::Purpose;

/// The longest that a decode step may be unanswered before the endpoint is probed.
///
/// With the probe and the next prefill, a stream goes on within 5 s of the fault.
const STEP_SPAN: Millis = Millis::seconds(3);
/// How long a prefill may be unanswered before the endpoint is probed.
const PREFILL_SPAN: Millis = Millis::seconds(3);

/// How long a session that lost its chain waits for another one; with the time to notice the loss,
/// its caller learns within 5 s of the fault.
const PARK_SPAN: Millis = Millis::seconds(4);
/// What the caller is told if none was found in that time.
const STILL: &str = "No endpoints were found in time to go on with the stream.";
/// The interval at which it asks for one.
const PARK_STEP: Millis = Millis(100);
/// How long the check may take whether an endpoint crashed.
const CHECK_SPAN: Millis = Millis(400);

/// A session that lost its chain and has no other yet.
#[derive(Clone, Debug)]
pub(super) struct Parked {
    id: RequestId,
    /// The number of its question for a chain.
    ask: u32,
    /// The endpoints that failed it.
    avoid: Vec<EndpointName>,
    /// The endpoint that broke off and is being checked for a crash.
    check: Option<EndpointName>,
    due: Millis,
}

impl Core {
    pub(super) fn start_model(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        match self.chain(now, id, &[]) {
            Ok(chain) => self.start_session(now, id, chain, out),
            Err(failure) => {
                self.give_back(now, id, out);
                self.close(now, id, Finish::Congested, out);
                out.push(Action::Fail { id, failure });
            }
        }
    }

    fn start_session(
        &mut self,
        now: Millis,
        id: RequestId,
        chain: Arc<[Leg]>,
        out: &mut Vec<Action>,
    ) {
        let Some(deadline) = self.open.get(&id).map(|open| open.deadline) else {
            return;
        };
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let start = Start {
            id,
            prompt: std::mem::take(&mut model.prompt),
            max_tokens: model.limit,
            layers: model.layers,
            chain,
            deadline,
            seed: model.seed,
            resume: model.resume,
        };
        self.session(now, session::Event::Start(start), out);
    }

    /// Chooses a chain and notes its work.
    fn chain(
        &mut self,
        now: Millis,
        id: RequestId,
        avoid: &[EndpointName],
    ) -> Result<Arc<[Leg]>, Failure> {
        self.check_ready(now)?;
        let Some(service) = self.open.get(&id).map(|open| open.service.clone()) else {
            return Err(Failure::not_run(Code::NotFound, "The request is over."));
        };
        let candidates = self.listed_candidates(id, &service);
        let (layers, cost) = self
            .model_mut(id)
            .map_or((0, 0), |model| (model.layers, model.limit));
        let requirements = Requirements {
            cost,
            prefix: &[],
            avoid,
        };
        let chosen = self
            .router
            .pick_chain(now, &service, layers, &candidates, &requirements);
        let chosen = chosen.map_err(|none| {
            Failure::not_run(Code::NoCapacity, none.to_string()).retry_after(none.retry_after)
        })?;
        let legs: Arc<[Leg]> = chosen.into_iter().map(|leg| self.leg(leg)).collect();
        for leg in legs.iter() {
            self.begin(now, id, &leg.endpoint);
            self.router
                .apply(now, &leg.endpoint, route::Event::Started { cost });
        }
        if let Some(model) = self.model_mut(id) {
            model.legs = Arc::clone(&legs);
            model.since = now;
            model.faults = BTreeMap::new();
        }
        Ok(legs)
    }

    /// Returns the endpoints that the request's team and its content may use; for a suspect under
    /// a permit, those where this VM has no other work, if there are any.
    fn listed_candidates(&mut self, id: RequestId, service: &ServiceName) -> Vec<EndpointName> {
        let mut candidates = self.candidates(id);
        let Some(model) = self.model_mut(id) else {
            return Vec::new();
        };
        let alone = matches!(model.permit, Permit::Held { .. });
        let digest = model.digest;
        let listed = self.suspects.listed(service, &digest);
        candidates.retain(|name| listed.contains(name));
        if alone {
            let mut idle = candidates.clone();
            idle.retain(|name| {
                self.router
                    .view(name)
                    .is_some_and(|view| view.in_flight() == 0)
            });
            if !idle.is_empty() {
                return idle;
            }
        }
        candidates
    }

    /// Notes that the request begins on an endpoint, in case that crashes.
    fn begin(&mut self, now: Millis, id: RequestId, endpoint: &EndpointName) {
        let idle = self
            .router
            .view(endpoint)
            .is_some_and(|view| view.in_flight() == 0);
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let alone = idle && matches!(model.permit, Permit::Held { .. });
        let digest = model.digest;
        let run = Run {
            id,
            digest,
            endpoint: endpoint.clone(),
            alone,
        };
        self.suspects.ledger.run_started(now, run);
    }

    fn leg(&self, leg: route::chain::Leg) -> Leg {
        let patience = self
            .router
            .suspicion_timeout(&leg.endpoint)
            .unwrap_or(STEP_SPAN);
        Leg {
            decode_timeout: patience.min(STEP_SPAN),
            prefill_timeout: PREFILL_SPAN,
            endpoint: leg.endpoint,
            layers: leg.layers,
        }
    }

    /// Hands an event to the sessions and carries out what follows.
    pub(super) fn session(&mut self, now: Millis, event: session::Event, out: &mut Vec<Action>) {
        self.observe(now, &event);
        let mut actions = Vec::new();
        self.sessions.step(now, event, &mut actions);
        self.sessions_out(now, actions, out);
    }

    /// Tells the router what an event says of an endpoint.
    fn observe(&mut self, now: Millis, event: &session::Event) {
        match event {
            session::Event::Reply { id, reply } => {
                let Some(model) = self.model_mut(*id) else {
                    return;
                };
                let took = now.since(std::mem::replace(&mut model.sent, now));
                let leg = model.legs.iter().find(|leg| leg.layers == reply.layers);
                if let Some(endpoint) = leg.map(|leg| leg.endpoint.clone()) {
                    self.router
                        .apply(now, &endpoint, route::Event::Answered { took });
                }
            }
            session::Event::Failed { id, key, fault } => self.blame(*id, *key, *fault),
            _ => {}
        }
    }

    fn blame(&mut self, id: RequestId, key: HopKey, fault: Fault) {
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let leg = model.legs.iter().find(|leg| leg.layers == key.layers);
        let Some(endpoint) = leg.map(|leg| leg.endpoint.clone()) else {
            return;
        };
        let blame = match fault {
            Fault::Refused | Fault::CacheLost => Blame {
                outcome: Outcome::Unrun,
                left: RunOutcome::Inconclusive,
            },
            Fault::Unreachable | Fault::Invalid => Blame {
                outcome: Outcome::Failed,
                left: RunOutcome::Inconclusive,
            },
            Fault::Broken | Fault::Silent => Blame {
                outcome: Outcome::Failed,
                left: RunOutcome::Broken,
            },
        };
        model.faults.insert(endpoint, blame);
    }

    pub(super) fn sessions_out(
        &mut self,
        now: Millis,
        actions: Vec<session::Action>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            self.session_out(now, action, out);
        }
    }

    fn session_out(&mut self, now: Millis, action: session::Action, out: &mut Vec<Action>) {
        match action {
            session::Action::Send { id, endpoint, hop } => {
                self.send_hop(now, id, &endpoint, hop, out);
            }
            session::Action::Emit { id, value, event } => {
                if let Some(model) = self.model_mut(id) {
                    model.lost = None;
                }
                out.push(Action::Token { id, value, event });
            }
            session::Action::Finish { id, reason } => {
                self.end_legs(now, id, Blame::COMPLETED);
                self.give_back(now, id, out);
                self.budget.succeeded();
                self.close(now, id, Finish::Served, out);
                out.push(Action::Finish { id, reason });
            }
            session::Action::Fail { id, failure } => {
                self.end_legs(now, id, Blame::ENDED);
                self.give_back(now, id, out);
                self.close(now, id, Finish::Dropped, out);
                out.push(Action::Fail { id, failure });
            }
            session::Action::Release { endpoint, release } => {
                if let Some(entry) = self.state.endpoint(&endpoint) {
                    out.push(Action::Release {
                        addr: entry.addr,
                        release,
                    });
                }
            }
            session::Action::NeedChain {
                id,
                query: ask,
                avoid,
            } => {
                self.lost_chain(now, id, ask, avoid, out);
            }
            session::Action::Probe { id, endpoint, key } => {
                if let Some(entry) = self.state.endpoint(&endpoint) {
                    out.push(Action::Probe {
                        id,
                        addr: entry.addr,
                        key,
                    });
                }
            }
        }
    }

    /// A session lost its chain, or is to leave it. An endpoint that broke off is checked first: if it crashed, the
    /// request is a suspect before it runs anywhere else.
    fn lost_chain(
        &mut self,
        now: Millis,
        id: RequestId,
        ask: u32,
        avoid: Vec<EndpointName>,
        out: &mut Vec<Action>,
    ) {
        self.parked.retain(|parked| parked.id != id);
        let check = self.broken_leg(id);
        if let Some(model) = self.model_mut(id) {
            model.lost.get_or_insert(now);
        }
        self.end_legs(now, id, Blame::ENDED);
        let due = now
            + if check.is_some() {
                CHECK_SPAN
            } else {
                Millis(0)
            };
        let endpoint = check.clone();
        self.parked.push(Parked {
            id,
            ask,
            avoid,
            check,
            due,
        });
        match endpoint.as_ref().and_then(|name| self.state.endpoint(name)) {
            Some(entry) => {
                let endpoint = entry.name.clone();
                out.push(Action::Poll {
                    endpoint,
                    addr: entry.addr,
                });
            }
            None => self.proceed(now, id, Purpose::GoOn { ask }, out),
        }
    }

    /// Moves the sessions that an endpoint which is leaving has a part in.
    pub(super) fn move_off(&mut self, now: Millis, endpoint: &EndpointName, out: &mut Vec<Action>) {
        let on = |open: &Open| match &open.job {
            Job::Model(model) => model.legs.iter().any(|leg| leg.endpoint == *endpoint),
            Job::Plain(_) => false,
        };
        let ids = self
            .open
            .iter()
            .filter(|(_, open)| on(open))
            .map(|(id, _)| *id);
        let ids: Vec<RequestId> = ids.collect();
        for id in ids {
            self.session(now, session::Event::Move { id }, out);
        }
    }

    fn broken_leg(&mut self, id: RequestId) -> Option<EndpointName> {
        let faults = &self.model_mut(id)?.faults;
        let broken = faults
            .iter()
            .find(|(_, blame)| blame.left == RunOutcome::Broken);
        broken.map(|(endpoint, _)| endpoint.clone())
    }

    /// Says whether sessions wait to hear whether an endpoint crashed.
    pub(super) fn is_checked(&self, endpoint: &EndpointName) -> bool {
        self.parked
            .iter()
            .any(|parked| parked.check.as_ref() == Some(endpoint))
    }

    /// The check of an endpoint is over: the sessions that waited for it go on.
    pub(super) fn checked(&mut self, now: Millis, endpoint: &EndpointName, out: &mut Vec<Action>) {
        let mut ready = Vec::new();
        for parked in &mut self.parked {
            if parked.check.as_ref() == Some(endpoint) {
                parked.check = None;
                ready.push((parked.id, parked.ask));
            }
        }
        for (id, ask) in ready {
            self.proceed(now, id, Purpose::GoOn { ask }, out);
        }
    }

    /// Finds another chain: one without the endpoints that failed, or later also with them.
    pub(super) fn replace_chain(
        &mut self,
        now: Millis,
        id: RequestId,
        ask: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.parked.iter().position(|parked| parked.id == id) else {
            return;
        };
        let mut parked = self.parked.swap_remove(at);
        let deadline = self.open.get(&id).map_or(now, |open| open.deadline);
        let lost = self.model_mut(id).and_then(|model| model.lost);
        let end = (lost.unwrap_or(now) + PARK_SPAN).min(deadline);
        let legs = if now < end {
            self.chain(now, id, &parked.avoid)
        } else {
            Err(Failure::not_run(Code::NoCapacity, STILL))
        };
        if legs.is_err() && now < end {
            parked.due = now + PARK_STEP;
            parked.avoid.clear();
            self.parked.push(parked);
        } else {
            self.session(
                now,
                session::Event::Chain {
                    id,
                    query: ask,
                    legs,
                },
                out,
            );
        }
    }

    /// Tries again for the sessions that have no chain.
    pub(super) fn unpark(&mut self, now: Millis, out: &mut Vec<Action>) {
        let open = &self.open;
        self.parked.retain(|parked| open.contains_key(&parked.id));
        let due: Vec<(RequestId, u32)> = self
            .parked
            .iter_mut()
            .filter(|parked| now >= parked.due)
            .map(|parked| {
                parked.check = None;
                parked.due = now + PARK_STEP;
                (parked.id, parked.ask)
            })
            .collect();
        for (id, ask) in due {
            let waits = self
                .model_mut(id)
                .is_some_and(|model| model.permit.is_asked());
            if !waits {
                self.proceed(now, id, Purpose::GoOn { ask }, out);
            }
        }
    }

    fn send_hop(
        &mut self,
        now: Millis,
        id: RequestId,
        endpoint: &EndpointName,
        hop: Hop,
        out: &mut Vec<Action>,
    ) {
        if let Some(model) = self.model_mut(id) {
            model.sent = now;
        }
        let Some(entry) = self.state.endpoint(endpoint) else {
            let failed = session::Event::Failed {
                id,
                key: hop.key(),
                fault: Fault::Refused,
            };
            self.session(now, failed, out);
            return;
        };
        out.push(Action::Hop {
            id,
            addr: entry.addr,
            hop,
        });
    }

    /// Notes how the work on the present legs ended; `blameless` stands for those that
    /// did not fail.
    fn end_legs(&mut self, now: Millis, id: RequestId, blameless: Blame) {
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let legs = std::mem::replace(&mut model.legs, Arc::from([]));
        let faults = std::mem::take(&mut model.faults);
        let took = now.since(model.since);
        for leg in legs.iter() {
            let Blame { outcome, left } = faults.get(&leg.endpoint).copied().unwrap_or(blameless);
            self.suspects.ledger.run_ended(now, id, &leg.endpoint, left);
            self.router
                .apply(now, &leg.endpoint, route::Event::Ended { took, outcome });
        }
    }

    pub(super) fn cancel_model(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        self.session(now, session::Event::Cancel { id }, out);
        self.end_legs(now, id, Blame::ENDED);
        self.give_back(now, id, out);
        self.close(now, id, Finish::Dropped, out);
        out.push(Action::Drop(id));
    }
}
