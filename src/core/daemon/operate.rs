//! Commands of operators and owners: plans, confirmations, approvals, drains, rollouts.

use crate::clock::Millis;
use crate::core::config::index::Principal;
use crate::core::config::object::Digest;
use crate::core::config::outcome::Outcome;
use crate::core::config::plan::Plan;
use crate::core::config::publish::Ticket;
use crate::core::config::publish::Verdict;
use crate::core::config::record::Body;
use crate::core::config::record::Confirm;
use crate::core::config::record::Consent;
use crate::core::config::record::DrainOrder;
use crate::core::config::record::Party;
use crate::core::config::record::Record;
use crate::core::config::rollout::Control;
use crate::core::session::event::RequestId;
use crate::error::Code;
use crate::error::Failure;
use crate::names::EndpointName;
use crate::names::Operator;
use crate::names::ServiceName;
use crate::names::Team;

use super::Core;
use super::action::Action;
use super::action::Reply;
use super::event::OperatorCommand;
use super::event::OperatorRequest;

/// When to retry while the log doesn't answer.
const LOG_RETRY_AFTER: Millis = Millis::seconds(2);

/// A command that waits for the result of its record.
#[derive(Clone, Debug)]
pub(super) struct PendingReply {
    id: RequestId,
    /// The plan to reply with, if the command asked for a plan.
    plan: Option<Box<Plan>>,
}

/// How to answer a command: at once, or after its record is published.
enum Decision {
    Reply(Reply),
    Publish { body: Body, plan: Option<Box<Plan>> },
}

impl Core {
    pub(super) fn operate(&mut self, now: Millis, request: OperatorRequest, out: &mut Vec<Action>) {
        let id = request.id;
        match self.decide(now, request) {
            Ok(Decision::Reply(reply)) => out.push(Action::Reply { id, reply }),
            Ok(Decision::Publish { body, plan }) => {
                self.last_ticket += 1;
                let ticket = Ticket(self.last_ticket);
                self.pending_replies
                    .insert(ticket, PendingReply { id, plan });
                let record = Record::new(self.state.next(), body);
                self.publish(now, ticket, record, out);
            }
            Err(failure) => out.push(Action::Fail { id, failure }),
        }
    }

    fn decide(&self, now: Millis, request: OperatorRequest) -> Result<Decision, Failure> {
        let by = self.authenticate_party(request.token.as_ref())?;
        match request.command {
            OperatorCommand::Status => {
                Ok(Decision::Reply(Reply::Status(Box::new(self.status(now)))))
            }
            OperatorCommand::Audit => {
                let entries = self.state.audit().entries().cloned().collect();
                Ok(Decision::Reply(Reply::Audit(entries)))
            }
            OperatorCommand::Objects => Ok(Decision::Reply(Reply::Objects(self.state.objects()))),
            OperatorCommand::Plan(intent) => {
                self.check_may_change(now)?;
                let by = operator(by)?;
                let plan = self
                    .state
                    .plan(now, &by, &intent)
                    .map_err(|error| Failure::not_run(Code::InvalidIntent, error.to_string()))?;
                Ok(propose(plan))
            }
            OperatorCommand::Confirm(plan) => {
                self.check_may_change(now)?;
                let confirm = Confirm {
                    plan,
                    by: operator(by)?,
                    at: now,
                };
                Ok(change(confirm))
            }
            OperatorCommand::Approve {
                team,
                service,
                endpoint,
                on,
            } => {
                self.check_may_change(now)?;
                approve(now, by, team, service, endpoint, on)
            }
            OperatorCommand::Drain { endpoint, on } => {
                self.check_may_change(now)?;
                self.drain(now, by, endpoint, on)
            }
            OperatorCommand::Rollout { service, step } => {
                self.check_may_change(now)?;
                Ok(change(Control {
                    service,
                    step,
                    by: operator(by)?,
                    at: now,
                }))
            }
        }
    }

    fn drain(
        &self,
        now: Millis,
        by: Party,
        endpoint: EndpointName,
        on: bool,
    ) -> Result<Decision, Failure> {
        if self.state.endpoint(&endpoint).is_none() {
            let message = format!("There is no such endpoint as {endpoint}.");
            return Err(Failure::not_run(Code::NotFound, message));
        }
        Ok(change(DrainOrder {
            endpoint,
            by,
            at: now,
            on,
        }))
    }

    fn check_may_change(&self, now: Millis) -> Result<(), Failure> {
        let reach = self.members.reach(now);
        self.sync.may_confirm(now, reach).map_err(|reason| {
            Failure::not_run(Code::NotReady, reason.to_string()).retry_after(LOG_RETRY_AFTER)
        })
    }

    fn authenticate_party(&self, token: Option<&Digest>) -> Result<Party, Failure> {
        let unknown = || {
            Failure::not_run(
                Code::Unauthorized,
                "The bearer token is missing or unknown.",
            )
        };
        let token = token.ok_or_else(unknown)?;
        match self.state.authenticate(token).map(Principal::party) {
            Some(Some(party)) => Ok(party),
            Some(None) => {
                let message = "Teams may not see or change the configuration.";
                Err(Failure::not_run(Code::Forbidden, message))
            }
            None => self
                .settings_operator(token)
                .map(Party::Operator)
                .ok_or_else(unknown),
        }
    }

    /// Returns the operator with this token in the settings, which apply only while the
    /// configuration names no operator.
    fn settings_operator(&self, token: &Digest) -> Option<Operator> {
        if self.state.has_operators() {
            return None;
        }
        let entry = self.operators.iter().find(|entry| entry.token == *token)?;
        Some(entry.name.clone())
    }

    /// Answers the command whose record was accepted, refused or lost.
    pub(super) fn record_settled(
        &mut self,
        ticket: Ticket,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let Some(PendingReply { id, plan }) = self.pending_replies.remove(&ticket) else {
            return;
        };
        match (failure(&verdict), plan) {
            (Some(failure), _) => out.push(Action::Fail { id, failure }),
            (None, Some(plan)) => out.push(Action::Reply {
                id,
                reply: Reply::Plan(plan),
            }),
            (None, None) => out.push(Action::Reply {
                id,
                reply: Reply::Verdict(verdict),
            }),
        }
    }
}

fn change<B>(body: B) -> Decision
where
    B: Into<Body>,
{
    Decision::Publish {
        body: body.into(),
        plan: None,
    }
}

/// Publishes a plan, unless it is empty: an empty plan needs no confirmation.
fn propose(plan: Plan) -> Decision {
    if plan.changes.is_empty() {
        return Decision::Reply(Reply::Plan(Box::new(plan)));
    }
    let body = Body::Plan(plan.clone());
    Decision::Publish {
        body,
        plan: Some(Box::new(plan)),
    }
}

fn operator(by: Party) -> Result<Operator, Failure> {
    match by {
        Party::Operator(name) => Ok(name),
        Party::Owner(_) => Err(Failure::not_run(
            Code::Forbidden,
            "Only operators may do this.",
        )),
    }
}

fn approve(
    at: Millis,
    by: Party,
    team: Team,
    service: ServiceName,
    endpoint: Option<EndpointName>,
    on: bool,
) -> Result<Decision, Failure> {
    let Party::Owner(owner) = by else {
        let message = "Only the owner of the endpoints may approve a team.";
        return Err(Failure::not_run(Code::Forbidden, message));
    };
    let consent = Consent {
        owner,
        team,
        service,
        endpoint,
        at,
    };
    let body = if on {
        Body::Approve(consent)
    } else {
        Body::Revoke(consent)
    };
    Ok(Decision::Publish { body, plan: None })
}

/// Returns the error answer for a verdict, or `None` if the record was accepted.
fn failure(verdict: &Verdict) -> Option<Failure> {
    match verdict {
        Verdict::Accepted { .. } => None,
        Verdict::Refused { outcome } => Some(refusal(outcome)),
        Verdict::NotAppended => {
            let message = "The log did not take the record.";
            Some(Failure::not_run(Code::LogUnavailable, message).retry_after(LOG_RETRY_AFTER))
        }
        Verdict::NotKnown => {
            let message = "It is not known yet whether the change was accepted; ask again.";
            Some(Failure::may_have_run(Code::OutcomeUnknown, message).retry_after(LOG_RETRY_AFTER))
        }
    }
}

fn refusal(outcome: &Outcome) -> Failure {
    let code = match outcome {
        Outcome::StalePlan { .. }
        | Outcome::Expired
        | Outcome::Conflict(_)
        | Outcome::StaleRollout
        | Outcome::RolloutBound
        | Outcome::Late => Code::StalePlan,
        Outcome::UnknownPlan | Outcome::NotFound => Code::NotFound,
        Outcome::NotAllowed => Code::Forbidden,
        _ => Code::InvalidIntent,
    };
    Failure::not_run(code, outcome.to_string())
}
