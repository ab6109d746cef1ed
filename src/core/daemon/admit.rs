//! Admission of calls: authenticates the team, checks its grants, and queues the call if needed.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::core::config::index::Principal;
use crate::core::config::object::Digest;
use crate::core::config::object::Service;
use crate::core::config::object::ServiceKind;
use crate::core::limit;
use crate::core::limit::Decision;
use crate::core::limit::Finish;
use crate::core::poison::PartDigest;
use crate::core::poison::RequestDigest;
use crate::core::session::event::RequestId;
use crate::error::Code;
use crate::error::Failure;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Team;

use super::Core;
use super::action::Action;
use super::event::Call;
use super::event::CallKind;
use super::open::Job;
use super::open::ModelCall;
use super::open::OpenRequest;
use super::open::PlainCall;
use super::suspect::Permit;
use super::suspect::Purpose;

/// When a caller should retry at a VM that is not ready.
const NOT_READY_RETRY: Millis = Millis::seconds(1);

impl Core {
    pub(super) fn call(&mut self, now: Millis, call: Call, out: &mut Vec<Action>) {
        let id = call.id;
        if let Err(failure) = self.try_call(now, call, out) {
            out.push(Action::Fail { id, failure });
        }
    }

    fn try_call(&mut self, now: Millis, call: Call, out: &mut Vec<Action>) -> Result<(), Failure> {
        self.check_ready(now)?;
        let team = self.authenticate_team(call.token.as_ref())?;
        let id = call.id;
        let (service, job) = match call.kind {
            CallKind::Models => {
                let models = self.granted_models(&team);
                out.push(Action::Models { id, models });
                return Ok(());
            }
            CallKind::Plain {
                service,
                method,
                key,
                digest,
            } => {
                let idempotent = self.plain_service(&team, &service, &method)?;
                let key = key.filter(|_| !idempotent);
                let job = PlainCall {
                    idempotent,
                    key,
                    digest,
                    attempt: 0,
                    sending: None,
                    tried: Vec::new(),
                    may_have_run: false,
                    caller_left: false,
                };
                (service, Job::Plain(job))
            }
            CallKind::Model {
                service,
                prompt,
                limit,
                seed,
                resume,
            } => {
                let layers = self.model_service(&team, &service)?;
                let digest = RequestDigest::of(&service, &prompt);
                let parts = PartDigest::prefixes(&service, &prompt).into();
                let job = ModelCall {
                    prompt,
                    limit,
                    seed,
                    resume,
                    layers,
                    legs: Arc::from([]),
                    legs_since: now,
                    lost_at: None,
                    hop_sent_at: now,
                    faults: BTreeMap::new(),
                    digest,
                    parts,
                    permit: Permit::None,
                };
                (service, Job::Model(Box::new(job)))
            }
        };
        let open = OpenRequest {
            team,
            service,
            deadline: call.deadline,
            admitted: false,
            job,
        };
        self.admit_or_queue(now, id, open, out)
    }

    fn admit_or_queue(
        &mut self,
        now: Millis,
        id: RequestId,
        mut open: OpenRequest,
        out: &mut Vec<Action>,
    ) -> Result<(), Failure> {
        let request = self.limit_request(id, &open);
        match self.limiter.offer(now, request) {
            Decision::Admit => {
                open.admitted = true;
                self.requests.insert(id, open);
                self.start_job(now, id, out);
            }
            Decision::Queue => {
                self.requests.insert(id, open);
            }
            Decision::Refuse(failure) => return Err(failure),
        }
        Ok(())
    }

    fn limit_request(&self, id: RequestId, open: &OpenRequest) -> limit::Request {
        let team = self.state.team(&open.team);
        let cost = match &open.job {
            Job::Plain(_) => 1,
            Job::Model(model) => model.limit,
        };
        limit::Request {
            id: id.0,
            team: open.team.clone(),
            weight: team.map_or(1, |team| team.weight),
            rate_limit: team.map_or(0, |team| team.limit),
            priority: team.map(|team| team.priority).unwrap_or_default(),
            cost,
            deadline: open.deadline,
            service: open.service.clone(),
        }
    }

    /// Admits or refuses queued requests as the limiter decided.
    pub(super) fn apply_limiter_actions(
        &mut self,
        now: Millis,
        actions: Vec<limit::Action>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                limit::Action::Admit(id) => self.admit_queued(now, RequestId(id), out),
                limit::Action::Refuse(id, failure) => {
                    let id = RequestId(id);
                    self.requests.remove(&id);
                    out.push(Action::Fail { id, failure });
                }
            }
        }
    }

    fn admit_queued(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.admitted = true;
            self.start_job(now, id, out);
        }
    }

    fn start_job(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        match self.requests.get(&id).map(|open| &open.job) {
            Some(Job::Plain(plain)) if plain.key.is_some() => self.claim_key(now, id, out),
            Some(Job::Plain(_)) => self.send_plain(now, id, out),
            Some(Job::Model(_)) => self.run_if_permitted(now, id, Purpose::Start, out),
            None => {}
        }
    }

    /// Handles a caller that went away: cancels its request, unless that may have effects already.
    pub(super) fn caller_left(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else {
            out.push(Action::Drop(id));
            return;
        };
        match &mut open.job {
            Job::Plain(plain) if plain.must_finish(open.admitted) => plain.caller_left = true,
            Job::Plain(plain) => {
                let sending = plain.sending.take();
                if let Some(sending) = sending {
                    self.attempt_ended(now, &sending, crate::core::route::view::Outcome::Unrun);
                }
                self.close_request(now, id, Finish::Dropped, out);
                out.push(Action::Drop(id));
            }
            Job::Model(_) => self.cancel_model(now, id, out),
        }
    }

    /// Fails if this VM accepts no new requests. A VM can be paused between any two steps of a
    /// request, so this is checked again before work is sent to an endpoint.
    pub(super) fn check_ready(&self, now: Millis) -> Result<(), Failure> {
        self.ready(now).map_err(|reason| {
            Failure::not_run(Code::NotReady, reason.to_string()).retry_after(NOT_READY_RETRY)
        })
    }

    fn authenticate_team(&self, token: Option<&Digest>) -> Result<Team, Failure> {
        let principal = token.and_then(|token| self.state.authenticate(token));
        match principal {
            Some(Principal::Team(team)) => Ok(team.clone()),
            Some(_) => Err(Failure::not_run(
                Code::Forbidden,
                "Only teams may call services.",
            )),
            None => Err(Failure::not_run(
                Code::Unauthorized,
                "The bearer token is missing or unknown.",
            )),
        }
    }

    fn granted_models(&self, team: &Team) -> Vec<ServiceName> {
        let models = self.state.models().map(|model| &model.name);
        let granted = models.filter(|name| self.state.is_granted(team, name));
        granted.cloned().collect()
    }

    fn plain_service(
        &self,
        team: &Team,
        name: &ServiceName,
        method: &str,
    ) -> Result<bool, Failure> {
        match &self.service(team, name)?.kind {
            ServiceKind::Plain { idempotent } => Ok(idempotent.iter().any(|one| one == method)),
            ServiceKind::Model { .. } => Err(unknown_service(name)),
        }
    }

    fn model_service(&self, team: &Team, name: &ServiceName) -> Result<u32, Failure> {
        match &self.service(team, name)?.kind {
            ServiceKind::Model { layers, .. } => Ok(*layers),
            ServiceKind::Plain { .. } => Err(unknown_service(name)),
        }
    }

    fn service(&self, team: &Team, name: &ServiceName) -> Result<&Service, Failure> {
        let service = self
            .state
            .service(name)
            .ok_or_else(|| unknown_service(name))?;
        if !self.state.is_granted(team, name) {
            let message = format!("Team {team} has no grant to service {name}.");
            return Err(Failure::not_run(Code::Forbidden, message));
        }
        if self.state.is_unapproved(team, name) {
            let message = format!("No owner of endpoints of {name} has approved team {team}.");
            return Err(Failure::not_run(Code::Forbidden, message));
        }
        Ok(service)
    }

    /// Returns the endpoints that the request's team may use.
    pub(super) fn candidates(&self, id: RequestId) -> Vec<EndpointName> {
        let Some(open) = self.requests.get(&id) else {
            return Vec::new();
        };
        let endpoints = self.state.admitted(&open.team, &open.service);
        endpoints.map(|endpoint| endpoint.name.clone()).collect()
    }
}

impl PlainCall {
    /// Returns whether the call must be finished although its caller went away: it may have
    /// effects, and its result must be recorded if it has a key.
    fn must_finish(&self, admitted: bool) -> bool {
        let claimed = admitted && self.key.is_some();
        !self.idempotent && (self.sending.is_some() || claimed)
    }
}

fn unknown_service(name: &ServiceName) -> Failure {
    Failure::not_run(
        Code::NotFound,
        format!("There is no such service as {name}."),
    )
}
