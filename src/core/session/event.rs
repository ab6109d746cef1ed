//! The events that drive a session and the actions that it emits in response.

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

/// Identifies a caller's request on this VM; an id is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// One endpoint of a chain and the layers that it runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leg {
    /// The endpoint that runs the layers.
    pub endpoint: EndpointName,
    /// The range of the model's layers that this leg runs.
    pub layers: Layers,
    /// How long a decode step may go unanswered before the endpoint is probed.
    pub decode_timeout: Millis,
    /// How long the prefill may go unanswered before the endpoint is probed.
    pub prefill_timeout: Millis,
}

/// Identifies one hop. A [`Fault`] or a probe result counts only if its key equals that of the
/// pending hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopKey {
    /// The session that sent the hop.
    pub session: SessionId,
    /// The session's attempt, counted from 0.
    pub attempt: u32,
    /// The index of the first token that the hop produces or contributes to.
    pub token: u32,
    /// The layers that the hop runs.
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

/// A request for tokens that has been admitted and routed.
#[derive(Clone, Debug)]
pub struct Start {
    /// The request, also named by all later events and actions of the session.
    pub id: RequestId,
    /// The token ids of the prompt.
    pub prompt: Vec<u32>,
    /// The maximum number of tokens to generate, at least 1.
    pub max_tokens: u32,
    /// The number of layers of the model.
    pub layers: u32,
    /// The chain of the first attempt.
    pub chain: Arc<[Leg]>,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// The sampling seed; a resumed request uses the seed of its event id instead.
    pub seed: u64,
    /// The last event that the caller received before its stream broke; `None` for a new request.
    pub resume: Option<EventId>,
}

/// Why a hop got no valid answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The endpoint refused the hop without running it.
    Refused,
    /// No connection to the endpoint could be opened, so the hop was not run.
    Unreachable,
    /// The endpoint no longer has the KV cache of the attempt.
    CacheLost,
    /// The connection broke, or the answer ended before its last line.
    Broken,
    /// Nothing arrived on the connection for so long that it is presumed dead.
    Silent,
    /// The answer cannot be parsed, or the endpoint rejected the hop as malformed.
    Invalid,
}

/// The result of probing an endpoint about a hop over a fresh connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The endpoint is still working on the hop: it is slow.
    Working,
    /// The endpoint answers but is not working on the hop: the reply was lost.
    Idle,
    /// The endpoint does not answer.
    Gone,
}

/// An input of the session table.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new request starts its session.
    Start(Start),
    /// An endpoint sent one line of its answer to a hop.
    Reply {
        /// The request whose connection carried the line.
        id: RequestId,
        /// The parsed line.
        reply: HopReply,
    },
    /// A hop failed and will not be answered.
    Failed {
        /// The request that the hop was sent for.
        id: RequestId,
        /// The hop that failed.
        key: HopKey,
        /// The cause, which decides whether the endpoint is avoided and the work may have run.
        fault: Fault,
    },
    /// A probe ended.
    Probed {
        /// The request that [`Action::Probe`] named.
        id: RequestId,
        /// The hop that the probe asked about.
        key: HopKey,
        /// What the endpoint answered.
        health: Health,
    },
    /// The router's answer to [`Action::NeedChain`].
    Chain {
        /// The request that needs the chain.
        id: RequestId,
        /// The query number from [`Action::NeedChain`].
        query: u32,
        /// The new chain, or why there is none.
        legs: Result<Arc<[Leg]>, Failure>,
    },
    /// An endpoint of the chain is draining, so the session should move to another chain.
    Move {
        /// The request that uses the endpoint.
        id: RequestId,
    },
    /// The caller disconnected.
    Cancel {
        /// The request of that caller.
        id: RequestId,
    },
}

/// Why an answer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The model produced an end token.
    Stop,
    /// The answer reached the request's maximum number of tokens.
    Length,
}

/// An output of the session table, to be carried out by the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a hop to an endpoint.
    Send {
        /// The request that the hop belongs to.
        id: RequestId,
        /// The endpoint of the leg that runs the hop.
        endpoint: EndpointName,
        /// The hop to send.
        hop: Hop,
    },
    /// Send the caller its next token.
    Emit {
        /// The caller's request.
        id: RequestId,
        /// The token id.
        value: u32,
        /// The event id from which the caller can resume after this token.
        event: EventId,
    },
    /// The answer is complete and the session is closed.
    Finish {
        /// The finished request.
        id: RequestId,
        /// Why generation ended.
        reason: Reason,
    },
    /// The request failed and the session is closed.
    Fail {
        /// The failed request.
        id: RequestId,
        /// The failure to report to the caller.
        failure: Failure,
    },
    /// Free the KV cache that an endpoint keeps for the session.
    Release {
        /// The endpoint that keeps the cache.
        endpoint: EndpointName,
        /// The session and its last attempt to free.
        release: Release,
    },
    /// Ask the router for another chain.
    NeedChain {
        /// The request that needs the chain.
        id: RequestId,
        /// The query number; only the answer to the latest query counts.
        query: u32,
        /// The endpoints that failed the session since its last token.
        avoid: Vec<EndpointName>,
    },
    /// Ask an endpoint over a fresh connection whether it is working on a hop.
    Probe {
        /// The request that the hop belongs to.
        id: RequestId,
        /// The endpoint to probe.
        endpoint: EndpointName,
        /// The hop to ask about.
        key: HopKey,
    },
}
