//! What a daemon's core is told.

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

/// What a daemon's core is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes.
    Tick,
    /// A team calls.
    Call(Call),
    /// A caller went away.
    Gone(RequestId),
    /// An endpoint answered a plain call.
    Answered {
        /// The call.
        id: RequestId,
        /// The attempt that was answered.
        attempt: u32,
        /// What matters of the answer.
        answer: PlainAnswer,
    },
    /// An endpoint did not answer a plain call.
    Failed {
        /// The call.
        id: RequestId,
        /// The attempt that failed.
        attempt: u32,
        /// How.
        fault: PlainFault,
    },
    /// Something happened to a hop of a session.
    Session(session::Event),
    /// An endpoint told its load.
    Reported {
        /// The endpoint.
        endpoint: EndpointName,
        /// The report.
        report: Report,
    },
    /// An endpoint told its load with the answer to a hop.
    Carried {
        /// The endpoint's address.
        addr: SocketAddr,
        /// The report.
        report: Report,
    },
    /// An endpoint did not tell its load.
    Unreachable(EndpointName),
    /// An operator or an owner asks for something.
    Operate(Operate),
    /// An append took effect.
    Appended {
        /// The append.
        append: AppendId,
        /// Where the record stands.
        offset: u64,
    },
    /// An append got no answer and may take effect.
    AppendLost(AppendId),
    /// An append was refused and never takes effect.
    AppendRefused(AppendId),
    /// A read of a stream ended.
    Read {
        /// The read.
        read: ReadId,
        /// What it found.
        found: Found,
    },
    /// Another daemon sent a message.
    Peer(Message),
    /// The platform told its list of VMs.
    Listed(Vec<ListedVm>),
    /// The daemon shall stop, and cut nobody off.
    Stop,
}

/// A call of a team.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request's number.
    pub id: RequestId,
    /// The digest of the bearer token.
    pub token: Option<Digest>,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// What is called.
    pub work: Work,
}

/// What is called.
#[derive(Clone, Debug)]
pub enum Work {
    /// A plain service.
    Plain {
        /// The service.
        service: ServiceName,
        /// The HTTP method.
        method: Arc<str>,
        /// The idempotency key.
        key: Option<Arc<str>>,
        /// The digest of method, path and body; only a call with a key needs it.
        digest: once::CallDigest,
    },
    /// A model.
    Model {
        /// The model.
        service: ServiceName,
        /// The tokens of the prompt.
        prompt: Vec<u32>,
        /// The most tokens to give.
        limit: u32,
        /// The seed of the sampling.
        seed: u64,
        /// The last event that the caller got from another VM or connection.
        resume: Option<EventId>,
    },
    /// The list of models.
    Models,
}

/// What matters of an endpoint's answer to a plain call.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// Whether the endpoint says that it refused the call unrun.
    pub unrun: bool,
    /// What is recorded of the answer, if the call has an idempotency key.
    pub record: Option<once::Answer>,
}

/// How an endpoint failed a plain call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlainFault {
    /// No byte of the call can have reached it.
    Unsent,
    /// The connection broke after the first byte may have reached it.
    Broken,
    /// There was no answer in time.
    Silent,
}

/// What an endpoint tells of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The number of the endpoint's start; another one means that it crashed or restarted.
    pub boot: u64,
    /// When the report was made, by the endpoint's clock.
    pub at: Millis,
    /// Hops in the running batch.
    pub running: u32,
    /// Hops that wait for a batch.
    pub waiting: u32,
    /// Free positions of the KV cache.
    pub free: u32,
    /// Whether the endpoint is about to leave and refuses new sessions.
    pub leaving: bool,
}

/// A request of an operator or an owner.
#[derive(Clone, Debug)]
pub struct Operate {
    /// The request's number.
    pub id: RequestId,
    /// The digest of the bearer token.
    pub token: Option<Digest>,
    /// What is asked.
    pub ask: Ask,
}

/// What an operator or an owner asks.
#[derive(Clone, Debug)]
pub enum Ask {
    /// The plan that brings an intent about.
    Plan(Box<Intent>),
    /// That a plan take effect.
    Confirm(PlanId),
    /// That a team be let in, or not any more; for owners only.
    Approve {
        /// The team.
        team: Team,
        /// The service.
        service: ServiceName,
        /// One endpoint, or all of the owner's.
        endpoint: Option<EndpointName>,
        /// Whether it is let in.
        on: bool,
    },
    /// That an endpoint leave, or come back.
    Drain {
        /// The endpoint.
        endpoint: EndpointName,
        /// Whether it leaves.
        on: bool,
    },
    /// A step of a rollout; for operators only.
    Rollout {
        /// The model.
        service: ServiceName,
        /// The step.
        step: Step,
    },
    /// The state of this VM.
    Status,
    /// The audit trail.
    Audit,
    /// The objects in force.
    Objects,
}

/// What a read of a stream found.
#[derive(Clone, Debug)]
pub enum Found {
    /// Records from the offset that was asked for.
    Records {
        /// The records.
        batch: Batch,
        /// Whether the stream holds no more.
        end: bool,
    },
    /// The offset has expired; this is the oldest that the stream holds.
    Expired(u64),
    /// The log did not answer.
    Failed,
}
