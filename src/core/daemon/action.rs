//! What a daemon's core orders.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::audit::Entry;
use crate::core::config::change::Object;
use crate::core::config::plan::Plan;
use crate::core::config::publish;
use crate::core::config::publish::Verdict;
use crate::core::once;
use crate::core::session::event::HopKey;
use crate::core::session::event::Reason;
use crate::core::session::event::RequestId;
use crate::core::session::resume::EventId;
use crate::core::session::wire::Hop;
use crate::core::session::wire::Release;
use crate::error::Failure;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Vm;

use super::peer::Message;
use super::status::Status;

/// What a daemon's core orders.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a plain call to an endpoint.
    Send {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// The endpoint's address.
        addr: SocketAddr,
        /// Whether only a fresh connection will do, because the call must not be repeated.
        fresh: bool,
        /// How long to wait for the answer.
        timeout: Millis,
    },
    /// Give the caller the endpoint's answer to this attempt.
    Relay {
        /// The call.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Give the caller the answer that was recorded for its key.
    Replay {
        /// The call.
        id: RequestId,
        /// The answer.
        answer: once::Answer,
    },
    /// Give the caller a failure.
    Fail {
        /// The request.
        id: RequestId,
        /// The failure.
        failure: Failure,
    },
    /// The caller went away and nothing is left to be done for it.
    Drop(RequestId),
    /// Send a hop to an endpoint.
    Hop {
        /// The request.
        id: RequestId,
        /// The endpoint's address.
        addr: SocketAddr,
        /// The hop.
        hop: Hop,
    },
    /// Ask an endpoint about a hop, over a fresh connection.
    Probe {
        /// The request.
        id: RequestId,
        /// The endpoint's address.
        addr: SocketAddr,
        /// The hop.
        key: HopKey,
    },
    /// Free what an endpoint holds for a session.
    Release {
        /// The endpoint's address.
        addr: SocketAddr,
        /// What to free.
        release: Release,
    },
    /// Give the caller a token.
    Token {
        /// The request.
        id: RequestId,
        /// The token.
        value: u32,
        /// The id to resume from.
        event: EventId,
    },
    /// The answer is complete.
    Finish {
        /// The request.
        id: RequestId,
        /// Why.
        reason: Reason,
    },
    /// Give the caller the list of models.
    Models {
        /// The request.
        id: RequestId,
        /// The models.
        models: Vec<ServiceName>,
    },
    /// Answer an operator or an owner.
    Reply {
        /// The request.
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Ask an endpoint for its load.
    Poll {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its address.
        addr: SocketAddr,
    },
    /// Append a record to a stream.
    Append {
        /// The append.
        append: AppendId,
        /// The record, as JSON.
        record: Vec<u8>,
    },
    /// Read a stream.
    Read {
        /// The read.
        read: ReadId,
        /// The first offset.
        from: u64,
    },
    /// Send a message to another daemon; it may be lost.
    SendPeer {
        /// The VM.
        vm: Vm,
        /// Its address for daemons.
        addr: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// Log an event.
    Note(LogEvent),
    /// The daemon may stop now.
    Exit,
}

/// A stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogStream {
    /// The configuration.
    Config,
    /// The claims of keys, by the number of the stream.
    Once(once::StreamId),
}

/// An append that is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AppendId {
    /// A record of the configuration.
    Config(publish::Ticket),
    /// A part of a snapshot of the configuration.
    SnapshotPart,
    /// A batch of claims.
    Once {
        /// The stream.
        stream: once::StreamId,
        /// The append.
        ticket: once::Ticket,
    },
}

/// A read that is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadId {
    /// The tail of the configuration.
    Tail(u64),
    /// The tail of the configuration, to settle an append whose answer was lost.
    ReadBack(publish::Ticket),
    /// The configuration's oldest records, in search of a snapshot.
    Snapshot,
    /// Claims.
    Once(once::StreamId),
}

impl AppendId {
    /// Returns the stream that the record goes to.
    #[must_use]
    pub const fn stream(self) -> LogStream {
        match self {
            Self::Config(_) | Self::SnapshotPart => LogStream::Config,
            Self::Once { stream, .. } => LogStream::Once(stream),
        }
    }
}

impl ReadId {
    /// Returns the stream that is read.
    #[must_use]
    pub const fn stream(self) -> LogStream {
        match self {
            Self::Tail(_) | Self::ReadBack(_) | Self::Snapshot => LogStream::Config,
            Self::Once(stream) => LogStream::Once(stream),
        }
    }
}

/// An answer to an operator or an owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// A plan, which changes nothing until it is confirmed.
    Plan(Box<Plan>),
    /// What became of a change.
    Verdict(Verdict),
    /// The state of this VM.
    Status(Box<Status>),
    /// The audit trail, the oldest entry first.
    Audit(Vec<Entry>),
    /// The objects in force.
    Objects(Vec<Object>),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// The event's name.
    pub event: &'static str,
    /// What it is about.
    pub subject: Arc<str>,
}
