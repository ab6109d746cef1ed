//! The inputs of a daemon's core.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;
use crate::core::config::intent::Intent;
use crate::core::config::object::Digest;
use crate::core::config::plan::PlanId;
use crate::core::config::rollout::Step;
use crate::core::member::ListedVm;
use crate::core::once;
use crate::core::session;
use crate::core::session::event::RequestId;
use crate::core::session::resume::EventId;
use crate::core::sync::message::Batch;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Team;

use super::action::AppendId;
use super::action::ReadId;
use super::peer::Message;

/// An input of a daemon's core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A timer tick, every [`crate::consts::TICK_INTERVAL`].
    Tick,
    /// A team calls a service, or lists the models.
    Call(Call),
    /// A caller closed its connection before it got its whole answer.
    CallerLeft(RequestId),
    /// An endpoint answered an attempt of a plain call.
    Answered {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt, as in [`super::Action::Send`].
        attempt: u32,
        /// The parts of the answer that the core needs.
        answer: PlainAnswer,
    },
    /// An attempt of a plain call failed without an answer.
    Failed {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt, as in [`super::Action::Send`].
        attempt: u32,
        /// How the attempt failed.
        fault: PlainFault,
    },
    /// An event of a session with a model, such as the reply to a hop.
    Session(session::Event),
    /// An endpoint answered a load poll.
    PollAnswered {
        /// The endpoint that was polled.
        endpoint: EndpointName,
        /// The load that the endpoint reports.
        report: LoadReport,
    },
    /// An endpoint attached a load report to its reply to a hop.
    HopReport {
        /// The address that the hop was sent to.
        addr: SocketAddr,
        /// The load that the endpoint reports.
        report: LoadReport,
    },
    /// An endpoint did not answer a load poll.
    PollFailed(EndpointName),
    /// An operator or an owner sends a command.
    Operate(OperatorRequest),
    /// The log stored an appended record.
    Appended {
        /// The append, as in [`super::Action::Append`].
        append: AppendId,
        /// The record's offset in its stream.
        offset: u64,
    },
    /// An append got no answer; the log may still store the record.
    AppendLost(AppendId),
    /// The log refused an append and will never store the record.
    AppendRefused(AppendId),
    /// A read of a stream ended, with or without records.
    ReadDone {
        /// The read, as in [`super::Action::Read`].
        read: ReadId,
        /// The records, or why there are none.
        result: ReadResult,
    },
    /// A message from another daemon arrived.
    Peer(Message),
    /// The platform's current list of VMs arrived.
    VmsListed(Vec<ListedVm>),
    /// The daemon has to stop, after the requests in progress have ended.
    Stop,
}

/// A team's call of a service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The number that identifies the request on this VM.
    pub id: RequestId,
    /// The digest of the bearer token; `None` if the request has no token.
    pub token: Option<Digest>,
    /// The time at which the caller stops waiting.
    pub deadline: Millis,
    /// The service and the content of the call.
    pub kind: CallKind,
}

/// The service and the content of a call.
#[derive(Clone, Debug)]
pub enum CallKind {
    /// A call of a plain service, whose body the core doesn't read.
    Plain {
        /// The name of the service.
        service: ServiceName,
        /// The HTTP method; the service's configuration says which methods are idempotent.
        method: Arc<str>,
        /// The idempotency key that the caller sent, if any.
        key: Option<Arc<str>>,
        /// The digest of method, path and body; only used if there is a key.
        digest: once::CallDigest,
    },
    /// A completion by a model.
    Model {
        /// The name of the model.
        service: ServiceName,
        /// The token ids of the prompt.
        prompt: Vec<u32>,
        /// The maximum number of tokens to generate.
        limit: u32,
        /// The sampling seed.
        seed: u64,
        /// The last event that the caller received before it reconnected, to resume the stream
        /// after it.
        resume: Option<EventId>,
    },
    /// A list of the models that the team may use.
    Models,
}

/// The parts of an endpoint's answer to a plain call that the core needs.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// Whether the endpoint states that it refused the call without executing it.
    pub refused: bool,
    /// How long the endpoint asked this VM to send it nothing; `None` if it did not.
    pub pause: Option<Millis>,
    /// The answer to record and replay; `None` if the call has no idempotency key.
    pub record: Option<once::Answer>,
}

/// Why an attempt of a plain call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlainFault {
    /// No byte of the call can have reached the endpoint.
    Unsent,
    /// The connection broke after the first byte may have reached the endpoint.
    Broken,
    /// The endpoint did not answer within the timeout.
    Silent,
}

/// The load of an endpoint, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// The boot number of the endpoint's process; another one means that it crashed or restarted.
    pub boot: u64,
    /// When the report was made, by the endpoint's clock.
    pub at: Millis,
    /// The number of hops in the running batch.
    pub running: u32,
    /// The number of hops that wait for a batch.
    pub waiting: u32,
    /// The number of free positions (tokens) in the KV cache.
    pub free: u32,
    /// Whether the endpoint is about to leave and refuses new sessions.
    pub leaving: bool,
}

/// A request from an operator or an owner.
#[derive(Clone, Debug)]
pub struct OperatorRequest {
    /// The number that identifies the request on this VM.
    pub id: RequestId,
    /// The digest of the bearer token; `None` if the request has no token.
    pub token: Option<Digest>,
    /// The command to carry out.
    pub command: OperatorCommand,
}

/// A command of an operator or an owner.
#[derive(Clone, Debug)]
pub enum OperatorCommand {
    /// Computes the plan of changes that an intent needs.
    Plan(Box<Intent>),
    /// Confirms a plan, so that it takes effect.
    Confirm(PlanId),
    /// Approves a calling team, or revokes the approval; for owners only.
    Approve {
        /// The calling team.
        team: Team,
        /// The name of the service.
        service: ServiceName,
        /// The endpoint; `None` for all of the owner's endpoints of the service.
        endpoint: Option<EndpointName>,
        /// `true` to approve, `false` to revoke.
        on: bool,
    },
    /// Drains an endpoint, or ends its drain.
    Drain {
        /// The endpoint to drain.
        endpoint: EndpointName,
        /// `true` to drain, `false` to end the drain.
        on: bool,
    },
    /// Carries out a step of a rollout; for operators only.
    Rollout {
        /// The name of the model.
        service: ServiceName,
        /// The step, such as a pause or an advance.
        step: Step,
    },
    /// Returns the state of this VM.
    Status,
    /// Returns the audit trail.
    Audit,
    /// Returns the objects of the configuration in force.
    Objects,
}

/// The result of reading a stream of the log.
#[derive(Clone, Debug)]
pub enum ReadResult {
    /// Records from the requested offset on.
    Records {
        /// The records, in order; there may be none.
        batch: Batch,
        /// Whether the stream holds no further records.
        end: bool,
    },
    /// The requested offset has expired; holds the oldest offset that the stream still has.
    Expired(u64),
    /// The log did not answer, or answered with an error.
    Failed,
}
