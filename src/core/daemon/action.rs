//! The outputs of a daemon's core.

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

/// An output of a daemon's core, carried out by `io`.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a plain call to an endpoint.
    Send {
        /// The request.
        id: RequestId,
        /// The number of the attempt within the request, from 1.
        attempt: u32,
        /// The endpoint's address.
        addr: SocketAddr,
        /// How long to wait for the answer.
        timeout: Millis,
    },
    /// Forward the endpoint's answer to the caller.
    Relay {
        /// The request.
        id: RequestId,
        /// The number of the attempt within the request, from 1.
        attempt: u32,
    },
    /// Send the caller the answer that is recorded for its idempotency key.
    Replay {
        /// The request.
        id: RequestId,
        /// The recorded answer.
        answer: once::Answer,
    },
    /// Send the caller an error answer.
    Fail {
        /// The request.
        id: RequestId,
        /// The error code, the message and whether the work was run.
        failure: Failure,
    },
    /// Close a request whose caller went away, without an answer.
    Drop(RequestId),
    /// Send a hop to an endpoint.
    Hop {
        /// The request.
        id: RequestId,
        /// The endpoint's address.
        addr: SocketAddr,
        /// The layers to run and their input.
        hop: Hop,
    },
    /// Ask an endpoint for the state of a hop, over a new connection.
    Probe {
        /// The request.
        id: RequestId,
        /// The endpoint's address.
        addr: SocketAddr,
        /// The hop that has not been answered.
        key: HopKey,
    },
    /// Tell an endpoint to free the KV cache of a session.
    Release {
        /// The endpoint's address.
        addr: SocketAddr,
        /// The session to free.
        release: Release,
    },
    /// Stream a token to the caller.
    Token {
        /// The request.
        id: RequestId,
        /// The token id.
        value: u32,
        /// The event id with which the caller can resume the stream after this token.
        event: EventId,
    },
    /// End the caller's stream of tokens: the answer is complete.
    Finish {
        /// The request.
        id: RequestId,
        /// Why generation ended.
        reason: Reason,
    },
    /// Send the caller the list of models.
    Models {
        /// The request.
        id: RequestId,
        /// The models that the team may use.
        models: Vec<ServiceName>,
    },
    /// Answer an operator or an owner.
    Reply {
        /// The request.
        id: RequestId,
        /// The answer to the command.
        reply: Reply,
    },
    /// Poll an endpoint for its load.
    Poll {
        /// The endpoint to poll.
        endpoint: EndpointName,
        /// The endpoint's address.
        addr: SocketAddr,
    },
    /// Append a record to a stream.
    Append {
        /// Identifies the append in the event that reports its result.
        append: AppendId,
        /// The record, encoded as JSON.
        record: Vec<u8>,
    },
    /// Read a stream.
    Read {
        /// Identifies the read in the event that reports its result.
        read: ReadId,
        /// The offset of the first record to read.
        from: u64,
    },
    /// Send a message to another daemon; it may be lost.
    SendPeer {
        /// The receiver.
        vm: Vm,
        /// The receiver's address for peers.
        addr: SocketAddr,
        /// The message to send.
        message: Box<Message>,
    },
    /// Write an event to this daemon's own log.
    Log(LogEvent),
    /// End the process: nothing is in progress any more.
    Exit,
}

/// A stream of the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogStream {
    /// The stream of configuration records.
    Config,
    /// A stream of claims of idempotency keys.
    Once(once::StreamId),
}

/// Identifies an append in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AppendId {
    /// A configuration record.
    Config(publish::Ticket),
    /// A part of a configuration snapshot.
    SnapshotPart,
    /// A batch of claims of idempotency keys.
    Once {
        /// The stream that the batch goes to.
        stream: once::StreamId,
        /// The number that the claims module gave the append.
        ticket: once::Ticket,
    },
}

/// Identifies a read in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadId {
    /// The newest configuration records; holds the number of the read.
    Tail(u64),
    /// The newest configuration records, read to find out what became of an append.
    ReadBack(publish::Ticket),
    /// The oldest configuration records, read to find a snapshot.
    Snapshot,
    /// Claims of idempotency keys.
    Once(once::StreamId),
}

impl AppendId {
    /// Returns the stream that the record is appended to.
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

/// The answer to a command of an operator or an owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// A plan, which takes effect only when it is confirmed.
    Plan(Box<Plan>),
    /// The result of a change.
    Verdict(Verdict),
    /// The state of this VM.
    Status(Box<Status>),
    /// The audit trail, the oldest entry first.
    Audit(Vec<Entry>),
    /// The objects of the configuration in force.
    Objects(Vec<Object>),
}

/// An event for the daemon's own log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// The event's name, which becomes the message of the log line.
    pub event: &'static str,
    /// The object or detail that the event is about.
    pub subject: Arc<str>,
}
