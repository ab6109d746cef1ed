//! Requests for tokens: a chain of endpoints for each, and another when one fails.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::core::limit::Finish;
use crate::core::route;
use crate::core::route::Need;
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

use super::Core;
use super::action::Action;

/// How long a decode step may be unanswered where the endpoint's times are not known.
const STEP_SPAN: Millis = Millis::seconds(1);
/// How long a prefill may be unanswered before the endpoint is probed.
const PREFILL_SPAN: Millis = Millis::seconds(5);

/// How long a session that lost its chain waits for another one.
const PARK_SPAN: Millis = Millis::seconds(5);
/// The interval at which it asks for one.
const PARK_STEP: Millis = Millis(100);

/// A session that lost its chain and found no other yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Parked {
    id: RequestId,
    /// The number of its question for a chain.
    ask: u32,
    since: Millis,
    due: Millis,
}

impl Core {
    pub(super) fn start_model(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        match self.chain(now, id, &[]) {
            Ok(chain) => self.start_session(now, id, chain, out),
            Err(failure) => {
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
            limit: model.limit,
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
        let candidates = self.candidates(id);
        let Some(service) = self.open.get(&id).map(|open| open.service.clone()) else {
            return Err(Failure::unrun(Code::NotFound, "The request is over."));
        };
        let (layers, cost) = self
            .model_mut(id)
            .map_or((0, 0), |model| (model.layers, model.limit));
        let need = Need {
            cost,
            prefix: &[],
            avoid,
        };
        let chosen = self.router.chain(now, &service, layers, &candidates, &need);
        let chosen = chosen
            .map_err(|none| Failure::unrun(Code::NoCapacity, none.to_string()).after(none.retry))?;
        let legs: Arc<[Leg]> = chosen.into_iter().map(|leg| self.leg(leg)).collect();
        for leg in legs.iter() {
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

    fn leg(&self, leg: route::chain::Leg) -> Leg {
        let patience = self.router.patience(&leg.endpoint).unwrap_or(STEP_SPAN);
        Leg {
            patience,
            prefill: PREFILL_SPAN.max(patience),
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
        let outcome = match fault {
            Fault::Refused | Fault::Lost => Outcome::Unrun,
            Fault::Broken | Fault::Silent | Fault::Bad => Outcome::Failed,
        };
        model.faults.insert(endpoint, outcome);
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
                out.push(Action::Token { id, value, event });
            }
            session::Action::Finish { id, reason } => {
                self.end_legs(now, id, Outcome::Ok);
                self.budget.succeeded();
                self.close(now, id, Finish::Served, out);
                out.push(Action::Finish { id, reason });
            }
            session::Action::Fail { id, failure } => {
                self.end_legs(now, id, Outcome::Unrun);
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
            session::Action::NeedChain { id, ask, avoid } => {
                self.end_legs(now, id, Outcome::Unrun);
                self.replace_chain(now, id, ask, &avoid, out);
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

    /// Finds another chain: one without the endpoints that failed, else one with them, else later.
    fn replace_chain(
        &mut self,
        now: Millis,
        id: RequestId,
        ask: u32,
        avoid: &[EndpointName],
        out: &mut Vec<Action>,
    ) {
        let chain = self
            .chain(now, id, avoid)
            .or_else(|_| self.chain(now, id, &[]));
        match chain {
            Ok(legs) => self.session(
                now,
                session::Event::Chain {
                    id,
                    ask,
                    legs: Ok(legs),
                },
                out,
            ),
            Err(_) => self.parked.push(Parked {
                id,
                ask,
                since: now,
                due: now + PARK_STEP,
            }),
        }
    }

    /// Tries again for the sessions that found no chain.
    pub(super) fn unpark(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.parked.iter().all(|parked| now < parked.due) {
            return;
        }
        for mut parked in std::mem::take(&mut self.parked) {
            if now < parked.due {
                self.parked.push(parked);
                continue;
            }
            let Parked { id, ask, since, .. } = parked;
            let Some(deadline) = self.open.get(&id).map(|open| open.deadline) else {
                continue;
            };
            let legs = self.chain(now, id, &[]);
            if legs.is_err() && now < (since + PARK_SPAN).min(deadline) {
                parked.due = now + PARK_STEP;
                self.parked.push(parked);
            } else {
                self.session(now, session::Event::Chain { id, ask, legs }, out);
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

    /// Tells the router how the work on the present legs ended; `blameless` stands for those that
    /// did not fail.
    fn end_legs(&mut self, now: Millis, id: RequestId, blameless: Outcome) {
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let legs = std::mem::replace(&mut model.legs, Arc::from([]));
        let faults = std::mem::take(&mut model.faults);
        let took = now.since(model.since);
        for leg in legs.iter() {
            let outcome = faults.get(&leg.endpoint).copied().unwrap_or(blameless);
            self.router
                .apply(now, &leg.endpoint, route::Event::Ended { took, outcome });
        }
    }

    pub(super) fn cancel_model(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        self.session(now, session::Event::Cancel { id }, out);
        self.end_legs(now, id, Outcome::Unrun);
        self.close(now, id, Finish::Dropped, out);
        out.push(Action::Drop(id));
    }
}
