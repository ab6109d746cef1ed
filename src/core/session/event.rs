//! What a session is told and what it orders, as typed events and actions.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::object::Layers;
use crate::core::session::resume::EventId;
use crate::core::session::wire::Hop;
use crate::core::session::wire::HopReply;
use crate::core::session::wire::Release;
use crate::core::session::wire::SessionId;
use crate::error::Failure;
use crate::names::EndpointName;

/// The number of a caller's request on this VM; it is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// One endpoint of a chain and the layers that it runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leg {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The layers that it runs.
    pub layers: Layers,
    /// How long a decode step may stay unanswered before the endpoint is probed.
    pub patience: Millis,
    /// How long the prefill may stay unanswered before the endpoint is probed.
    pub prefill: Millis,
}

/// What names one hop; a [`Fault`] must match the outstanding hop as strictly as a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopKey {
    /// The hop's session.
    pub session: SessionId,
    /// The hop's attempt.
    pub attempt: u32,
    /// The first token that the hop works towards.
    pub token: u32,
    /// The hop's layers.
    pub layers: Layers,
}

impl Hop {
    /// Returns the key that faults and probes of this hop carry.
    #[must_use]
    pub fn key(&self) -> HopKey {
        HopKey {
            session: self.session,
            attempt: self.attempt,
            token: self.token,
            layers: self.layers,
        }
    }
}

/// A request for tokens, admitted and routed.
#[derive(Clone, Debug)]
pub struct Start {
    /// The request.
    pub id: RequestId,
    /// The token ids of the prompt.
    pub prompt: Vec<u32>,
    /// The most tokens to give.
    pub limit: u32,
    /// The number of layers of the model.
    pub layers: u32,
    /// The chain to begin with.
    pub chain: Arc<[Leg]>,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// The seed of the sampling; a resumed request takes that of its event id.
    pub seed: u64,
    /// The last event that the caller got from another VM or connection.
    pub resume: Option<EventId>,
}

/// Why a hop has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The endpoint refused the hop unrun.
    Refused,
    /// No connection to the endpoint could be opened, so the hop was not run.
    Unreachable,
    /// The endpoint no longer has the KV cache of the attempt.
    Lost,
    /// The connection broke, or the stream of lines ended too early.
    Broken,
    /// The connection is suspected to be silently dead.
    Silent,
    /// The answer cannot be read, or does not fit the hop.
    Bad,
}

/// What a probe on a fresh connection learnt of a hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The endpoint still works on the hop: it is slow.
    Working,
    /// The endpoint answers but does not work on the hop: the reply is lost.
    Idle,
    /// The endpoint does not answer.
    Gone,
}

/// What a session is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request begins.
    Start(Start),
    /// An endpoint sent a line for the request.
    Reply {
        /// The request whose connection carried the line.
        id: RequestId,
        /// The line.
        reply: HopReply,
    },
    /// A hop will have no answer.
    Failed {
        /// The request.
        id: RequestId,
        /// The hop.
        key: HopKey,
        /// Why.
        fault: Fault,
    },
    /// A probe ended.
    Probed {
        /// The request.
        id: RequestId,
        /// The hop that was asked about.
        key: HopKey,
        /// What the probe learnt.
        health: Health,
    },
    /// The router answered [`Action::NeedChain`].
    Chain {
        /// The request.
        id: RequestId,
        /// The number of the question.
        ask: u32,
        /// The new chain, or why there is none.
        legs: Result<Arc<[Leg]>, Failure>,
    },
    /// An endpoint of the chain drains; the session may move to another chain.
    Move {
        /// The request.
        id: RequestId,
    },
    /// The caller went away.
    Cancel {
        /// The request.
        id: RequestId,
    },
}

/// Why an answer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The model ended it.
    Stop,
    /// It has as many tokens as the request allows.
    Length,
}

/// What a session orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a hop to an endpoint.
    Send {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointName,
        /// The hop.
        hop: Hop,
    },
    /// Give the caller its next token.
    Emit {
        /// The request.
        id: RequestId,
        /// The token's id.
        value: u32,
        /// The event id, with the token's index.
        event: EventId,
    },
    /// The answer is complete.
    Finish {
        /// The request.
        id: RequestId,
        /// Why.
        reason: Reason,
    },
    /// The request failed.
    Fail {
        /// The request.
        id: RequestId,
        /// What the caller is told.
        failure: Failure,
    },
    /// Free what an endpoint holds for the session.
    Release {
        /// The endpoint.
        endpoint: EndpointName,
        /// What to free.
        release: Release,
    },
    /// Ask the router for another chain.
    NeedChain {
        /// The request.
        id: RequestId,
        /// The number of the question; only the answer to the newest counts.
        ask: u32,
        /// The endpoints that failed the session since its last token.
        avoid: Vec<EndpointName>,
    },
    /// Ask an endpoint about a hop, over a fresh connection.
    Probe {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointName,
        /// The hop.
        key: HopKey,
    },
}
