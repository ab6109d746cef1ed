//! What a daemon's at-most-once part takes in and gives out.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::id::CallDigest;
use super::id::CallId;
use super::id::Holder;
use super::id::Offset;
use super::id::StreamId;
use super::id::Ticket;
use super::record::Answer;
use super::record::Batch;
use super::record::Entry;
use super::record::Ident;
use super::shard::Verdict;
use crate::clock::Millis;
use crate::error::Failure;
use crate::names::Team;
use crate::names::Vm;

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A caller calls with an idempotency key.
    Call {
        /// The call, unique in this boot.
        id: CallId,
        /// The calling team.
        team: Team,
        /// The key as the caller wrote it.
        key: Arc<str>,
        /// The digest of method, path and body.
        digest: CallDigest,
        /// When the caller stops waiting.
        deadline: Millis,
    },
    /// Time passed.
    Tick,
    /// An append took effect.
    Appended {
        /// The append.
        ticket: Ticket,
        /// Its stream.
        stream: StreamId,
        /// Where it landed.
        offset: Offset,
    },
    /// An append got no answer: it may have taken effect, or may yet.
    AppendLost {
        /// The append.
        ticket: Ticket,
    },
    /// An append was refused and never takes effect.
    AppendRefused {
        /// The append.
        ticket: Ticket,
    },
    /// Records that were read from a stream, without gaps; none at its end.
    Records {
        /// The stream.
        stream: StreamId,
        /// The offset of the first.
        from: Offset,
        /// The records.
        records: Vec<Batch>,
    },
    /// Records before an offset are gone from a stream.
    Expired {
        /// The stream.
        stream: StreamId,
        /// The first offset that is left.
        first: Offset,
    },
    /// A message of another VM.
    Peer {
        /// Who sent it.
        vm: Vm,
        /// The message.
        message: Message,
    },
    /// The VMs that serve a stream, the home first.
    Homes {
        /// The stream.
        stream: StreamId,
        /// The VMs in order.
        order: Vec<Vm>,
    },
    /// The boots that are alive, as far as this VM knows.
    Live(BTreeSet<Holder>),
    /// From now on the first byte of a call may reach an endpoint.
    Sent(CallId),
    /// A call that this part let run was answered.
    Answered {
        /// The call.
        id: CallId,
        /// The answer.
        answer: Answer,
    },
    /// A call that was sent ended without an answer.
    Broke(CallId),
    /// A call that this part let run was surely not run, and is given up.
    Unsent(CallId),
}

/// An action.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Append a batch to a stream as one record.
    Append {
        /// The append.
        ticket: Ticket,
        /// The stream.
        stream: StreamId,
        /// The record.
        batch: Batch,
    },
    /// Read a stream; answered by `Records` or `Expired`.
    Read {
        /// The stream.
        stream: StreamId,
        /// The first offset to read.
        from: Offset,
    },
    /// Send a message to a VM; it may be lost.
    Tell {
        /// To whom.
        vm: Vm,
        /// The message.
        message: Message,
    },
    /// This boot holds the winning claim: send the call. Whoever runs it answers its caller.
    Run(CallId),
    /// Answer a call that is not run here.
    Reply {
        /// The call.
        id: CallId,
        /// The answer.
        reply: Reply,
    },
}

/// How a call is answered that is not run here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Reply {
    /// With the answer of the call that ran.
    Replay(Answer),
    /// With a failure.
    Failure(Failure),
}

/// `Failure` has no hash; its code and its `ran` say what matters.
impl std::hash::Hash for Reply {
    fn hash<H>(&self, state: &mut H)
    where
        H: std::hash::Hasher,
    {
        match self {
            Self::Replay(answer) => answer.hash(state),
            Self::Failure(failure) => (failure.code as u8, failure.ran).hash(state),
        }
    }
}

/// A message between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Message {
    /// To the home: append these, unless the log has settled them already.
    Propose {
        /// The stream.
        stream: StreamId,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// From the home: what the log says of them.
    Rulings(Vec<Ruling>),
}

/// What the home says of a proposed entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ruling {
    /// The entry.
    pub ident: Ident,
    /// What the log says, or `None` if the log is down and the entry was not queued.
    pub verdict: Option<Verdict>,
    /// Whether the entry was queued; if not, no copy of it was made on its way through the home.
    pub queued: bool,
}
