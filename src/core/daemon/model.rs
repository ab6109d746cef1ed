//! Model requests: chooses a chain of endpoints for each, and another chain when an endpoint fails.

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
use super::open::Job;
use super::open::LegOutcome;
use super::open::OpenRequest;
use super::suspect::Permit;
use super::suspect::Purpose;

/// The longest time that a decode step may be unanswered before the endpoint is probed.
///
/// Together with the probe and the next prefill, a stream continues within 5 s of the fault.
const MAX_DECODE_TIMEOUT: Millis = Millis::seconds(3);
/// How long a prefill may be unanswered before the endpoint is probed.
const PREFILL_TIMEOUT: Millis = Millis::seconds(3);

/// How long a session that lost its chain waits for another one. Together with the time to notice
/// the loss, the caller gets an error within 5 s of the fault.
const CHAIN_TIMEOUT: Millis = Millis::seconds(4);
/// The error message when no chain was found within [`CHAIN_TIMEOUT`].
const NO_CHAIN_MESSAGE: &str = "No endpoints were found in time to go on with the stream.";
/// The interval at which a session without a chain tries to get one.
const CHAIN_RETRY_INTERVAL: Millis = Millis(100);
/// How long to wait for the load poll that shows whether an endpoint crashed.
const CRASH_CHECK_TIMEOUT: Millis = Millis(400);

/// A session that lost its chain and has no new one yet.
#[derive(Clone, Debug)]
pub(super) struct PendingChain {
    id: RequestId,
    /// The number of the session's query for a chain.
    query: u32,
    /// The endpoints that failed the session.
    avoid: Vec<EndpointName>,
    /// The endpoint whose connection broke and which is being checked for a crash.
    check: Option<EndpointName>,
    due: Millis,
}

impl Core {
    pub(super) fn start_model(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        match self.choose_chain(now, id, &[]) {
            Ok(chain) => self.start_session(now, id, chain, out),
            Err(failure) => {
                self.return_permit(now, id, out);
                self.close_request(now, id, Finish::Congested, out);
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
        let Some(deadline) = self.requests.get(&id).map(|open| open.deadline) else {
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
        self.step_sessions(now, session::Event::Start(start), out);
    }

    /// Chooses a chain, and records the request's work on its endpoints.
    fn choose_chain(
        &mut self,
        now: Millis,
        id: RequestId,
        avoid: &[EndpointName],
    ) -> Result<Arc<[Leg]>, Failure> {
        self.check_ready(now)?;
        let Some(service) = self.requests.get(&id).map(|open| open.service.clone()) else {
            return Err(Failure::not_run(Code::NotFound, "The request is over."));
        };
        let candidates = self.shortlisted_candidates(id, &service);
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
        let legs: Arc<[Leg]> = chosen
            .into_iter()
            .map(|leg| self.session_leg(leg))
            .collect();
        for leg in legs.iter() {
            self.record_run(now, id, &leg.endpoint);
            self.router
                .apply(now, &leg.endpoint, route::Event::Started { cost });
        }
        if let Some(model) = self.model_mut(id) {
            model.legs = Arc::clone(&legs);
            model.legs_since = now;
            model.faults = BTreeMap::new();
        }
        Ok(legs)
    }

    /// Returns the endpoints that the request may use: those that its team has access to and that
    /// are on the shortlist of its content. For a suspect with a permit, it returns only endpoints
    /// on which this VM has no other work, if there are any.
    fn shortlisted_candidates(
        &mut self,
        id: RequestId,
        service: &ServiceName,
    ) -> Vec<EndpointName> {
        let mut candidates = self.candidates(id);
        let Some(model) = self.model_mut(id) else {
            return Vec::new();
        };
        let alone = matches!(model.permit, Permit::Held { .. });
        let digest = model.digest;
        let shortlist = self.suspects.shortlist(service, &digest);
        candidates.retain(|name| shortlist.contains(name));
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

    /// Records that the request starts on an endpoint, in case the endpoint crashes.
    fn record_run(&mut self, now: Millis, id: RequestId, endpoint: &EndpointName) {
        let idle = self
            .router
            .view(endpoint)
            .is_some_and(|view| view.in_flight() == 0);
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let alone = idle && matches!(model.permit, Permit::Held { .. });
        let run = Run {
            id,
            digest: model.digest,
            parts: Arc::clone(&model.parts),
            endpoint: endpoint.clone(),
            alone,
        };
        self.suspects.table.run_started(now, run);
    }

    fn session_leg(&self, leg: route::chain::Leg) -> Leg {
        let patience = self
            .router
            .suspicion_timeout(&leg.endpoint)
            .unwrap_or(MAX_DECODE_TIMEOUT);
        Leg {
            decode_timeout: patience.min(MAX_DECODE_TIMEOUT),
            prefill_timeout: PREFILL_TIMEOUT,
            endpoint: leg.endpoint,
            layers: leg.layers,
        }
    }

    /// Passes an event to the sessions and carries out their actions.
    pub(super) fn step_sessions(
        &mut self,
        now: Millis,
        event: session::Event,
        out: &mut Vec<Action>,
    ) {
        self.observe_endpoint(now, &event);
        let mut actions = Vec::new();
        self.sessions.step(now, event, &mut actions);
        self.apply_session_actions(now, actions, out);
    }

    /// Records what an event shows about an endpoint: its response time or its fault.
    fn observe_endpoint(&mut self, now: Millis, event: &session::Event) {
        match event {
            session::Event::Reply { id, reply } => {
                let Some(model) = self.model_mut(*id) else {
                    return;
                };
                let took = now.since(std::mem::replace(&mut model.hop_sent_at, now));
                let leg = model.legs.iter().find(|leg| leg.layers == reply.layers);
                if let Some(endpoint) = leg.map(|leg| leg.endpoint.clone()) {
                    self.router
                        .apply(now, &endpoint, route::Event::Answered { took });
                }
            }
            session::Event::Failed { id, key, fault } => self.record_fault(*id, *key, *fault),
            _ => {}
        }
    }

    fn record_fault(&mut self, id: RequestId, key: HopKey, fault: Fault) {
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let leg = model.legs.iter().find(|leg| leg.layers == key.layers);
        let Some(endpoint) = leg.map(|leg| leg.endpoint.clone()) else {
            return;
        };
        let leg_outcome = match fault {
            Fault::Refused | Fault::CacheLost => LegOutcome {
                outcome: Outcome::Unrun,
                run_outcome: RunOutcome::Inconclusive,
            },
            Fault::Unreachable | Fault::Invalid => LegOutcome {
                outcome: Outcome::Failed,
                run_outcome: RunOutcome::Inconclusive,
            },
            Fault::Broken | Fault::Silent => LegOutcome {
                outcome: Outcome::Failed,
                run_outcome: RunOutcome::Broken,
            },
        };
        model.faults.insert(endpoint, leg_outcome);
    }

    pub(super) fn apply_session_actions(
        &mut self,
        now: Millis,
        actions: Vec<session::Action>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            self.apply_session_action(now, action, out);
        }
    }

    fn apply_session_action(
        &mut self,
        now: Millis,
        action: session::Action,
        out: &mut Vec<Action>,
    ) {
        match action {
            session::Action::Send { id, endpoint, hop } => {
                self.send_hop(now, id, &endpoint, hop, out);
            }
            session::Action::Emit { id, value, event } => {
                if let Some(model) = self.model_mut(id) {
                    model.lost_at = None;
                }
                out.push(Action::Token { id, value, event });
            }
            session::Action::Finish { id, reason } => {
                self.end_legs(now, id, LegOutcome::COMPLETED);
                self.return_permit(now, id, out);
                self.retry_budget.succeeded();
                self.close_request(now, id, Finish::Served, out);
                out.push(Action::Finish { id, reason });
            }
            session::Action::Fail { id, failure } => {
                self.end_legs(now, id, LegOutcome::ABANDONED);
                self.return_permit(now, id, out);
                self.close_request(now, id, Finish::Dropped, out);
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
            session::Action::NeedChain { id, query, avoid } => {
                self.chain_lost(now, id, query, avoid, out);
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

    /// Handles a session that lost its chain or has to leave it. An endpoint whose connection broke
    /// is checked first: if it crashed, the request becomes a suspect before it runs elsewhere.
    fn chain_lost(
        &mut self,
        now: Millis,
        id: RequestId,
        query: u32,
        avoid: Vec<EndpointName>,
        out: &mut Vec<Action>,
    ) {
        self.pending_chains.retain(|pending| pending.id != id);
        let check = self.broken_leg(id);
        if let Some(model) = self.model_mut(id) {
            model.lost_at.get_or_insert(now);
        }
        self.end_legs(now, id, LegOutcome::ABANDONED);
        let due = now
            + if check.is_some() {
                CRASH_CHECK_TIMEOUT
            } else {
                Millis(0)
            };
        let endpoint = check.clone();
        self.pending_chains.push(PendingChain {
            id,
            query,
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
            None => self.run_if_permitted(now, id, Purpose::Continue { query }, out),
        }
    }

    /// Moves sessions off an endpoint that is leaving or drained.
    pub(super) fn move_sessions(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        out: &mut Vec<Action>,
    ) {
        let uses = |open: &OpenRequest| match &open.job {
            Job::Model(model) => model.legs.iter().any(|leg| leg.endpoint == *endpoint),
            Job::Plain(_) => false,
        };
        let ids = self
            .requests
            .iter()
            .filter(|(_, open)| uses(open))
            .map(|(id, _)| *id);
        let ids: Vec<RequestId> = ids.collect();
        for id in ids {
            self.step_sessions(now, session::Event::Move { id }, out);
        }
    }

    fn broken_leg(&mut self, id: RequestId) -> Option<EndpointName> {
        let faults = &self.model_mut(id)?.faults;
        let broken = faults
            .iter()
            .find(|(_, leg_outcome)| leg_outcome.run_outcome == RunOutcome::Broken);
        broken.map(|(endpoint, _)| endpoint.clone())
    }

    /// Returns whether sessions wait for the crash check of an endpoint.
    pub(super) fn is_crash_check_pending(&self, endpoint: &EndpointName) -> bool {
        self.pending_chains
            .iter()
            .any(|pending| pending.check.as_ref() == Some(endpoint))
    }

    /// Continues the sessions that waited for the crash check of an endpoint.
    pub(super) fn crash_check_done(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        out: &mut Vec<Action>,
    ) {
        let mut ready = Vec::new();
        for pending in &mut self.pending_chains {
            if pending.check.as_ref() == Some(endpoint) {
                pending.check = None;
                ready.push((pending.id, pending.query));
            }
        }
        for (id, query) in ready {
            self.run_if_permitted(now, id, Purpose::Continue { query }, out);
        }
    }

    /// Chooses another chain: the first try avoids the endpoints that failed, later tries don't.
    pub(super) fn replace_chain(
        &mut self,
        now: Millis,
        id: RequestId,
        query: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self
            .pending_chains
            .iter()
            .position(|pending| pending.id == id)
        else {
            return;
        };
        let mut pending = self.pending_chains.swap_remove(at);
        let deadline = self.requests.get(&id).map_or(now, |open| open.deadline);
        let lost = self.model_mut(id).and_then(|model| model.lost_at);
        let end = (lost.unwrap_or(now) + CHAIN_TIMEOUT).min(deadline);
        let legs = if now < end {
            self.choose_chain(now, id, &pending.avoid)
        } else {
            Err(Failure::not_run(Code::NoCapacity, NO_CHAIN_MESSAGE))
        };
        if legs.is_err() && now < end {
            pending.due = now + CHAIN_RETRY_INTERVAL;
            pending.avoid.clear();
            self.pending_chains.push(pending);
        } else {
            self.step_sessions(now, session::Event::Chain { id, query, legs }, out);
        }
    }

    /// Tries again to get a chain for the sessions without one.
    pub(super) fn retry_chains(&mut self, now: Millis, out: &mut Vec<Action>) {
        let requests = &self.requests;
        self.pending_chains
            .retain(|pending| requests.contains_key(&pending.id));
        let due: Vec<(RequestId, u32)> = self
            .pending_chains
            .iter_mut()
            .filter(|pending| now >= pending.due)
            .map(|pending| {
                pending.check = None;
                pending.due = now + CHAIN_RETRY_INTERVAL;
                (pending.id, pending.query)
            })
            .collect();
        for (id, query) in due {
            let waits = self
                .model_mut(id)
                .is_some_and(|model| model.permit.is_asked());
            if !waits {
                self.run_if_permitted(now, id, Purpose::Continue { query }, out);
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
            model.hop_sent_at = now;
        }
        let Some(entry) = self.state.endpoint(endpoint) else {
            let failed = session::Event::Failed {
                id,
                key: hop.key(),
                fault: Fault::Refused,
            };
            self.step_sessions(now, failed, out);
            return;
        };
        out.push(Action::Hop {
            id,
            addr: entry.addr,
            hop,
        });
    }

    /// Records how the work on the current legs ended; `default` applies to legs without a fault.
    fn end_legs(&mut self, now: Millis, id: RequestId, default: LegOutcome) {
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let legs = std::mem::replace(&mut model.legs, Arc::from([]));
        let faults = std::mem::take(&mut model.faults);
        let took = now.since(model.legs_since);
        for leg in legs.iter() {
            let LegOutcome {
                outcome,
                run_outcome,
            } = faults.get(&leg.endpoint).copied().unwrap_or(default);
            self.suspects
                .table
                .run_ended(now, id, &leg.endpoint, run_outcome);
            self.router
                .apply(now, &leg.endpoint, route::Event::Ended { took, outcome });
        }
    }

    pub(super) fn cancel_model(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        self.step_sessions(now, session::Event::Cancel { id }, out);
        self.end_legs(now, id, LegOutcome::ABANDONED);
        self.return_permit(now, id, out);
        self.close_request(now, id, Finish::Dropped, out);
        out.push(Action::Drop(id));
    }
}
