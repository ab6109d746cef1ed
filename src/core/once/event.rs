//! Events, actions and messages of [`Once`](super::Once).

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

/// An input of [`Once::step`](super::Once::step).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A call with an idempotency key arrived.
    Call {
        /// The number of the call, unique in this boot.
        id: CallId,
        /// The calling team, to which the key belongs.
        team: Team,
        /// The key as the caller sent it.
        key: Arc<str>,
        /// The digest of the call's method, path and body.
        digest: CallDigest,
        /// When the caller stops waiting; the call is not sent after that.
        deadline: Millis,
    },
    /// Timers may be due; sent at short, regular intervals.
    Tick,
    /// An append took effect.
    Appended {
        /// The ticket of the [`Action::Append`].
        ticket: Ticket,
        /// The stream that was appended to.
        stream: StreamId,
        /// The offset of the new record.
        offset: Offset,
    },
    /// An append got no answer: it may have taken effect, or may still do so.
    AppendLost {
        /// The ticket of the [`Action::Append`].
        ticket: Ticket,
    },
    /// An append was refused and will never take effect.
    AppendRefused {
        /// The ticket of the [`Action::Append`].
        ticket: Ticket,
    },
    /// An [`Action::Read`] returned records.
    Records {
        /// The stream that was read.
        stream: StreamId,
        /// The offset of the first record.
        from: Offset,
        /// The records without gaps; empty at the end of the stream.
        records: Vec<Batch>,
    },
    /// An [`Action::Read`] failed, because the log no longer has the records.
    Expired {
        /// The stream that was read.
        stream: StreamId,
        /// The first offset that the log still has.
        first: Offset,
    },
    /// A message of another VM arrived.
    Peer {
        /// The VM that sent it.
        vm: Vm,
        /// What it sent.
        message: Message,
    },
    /// The VMs that append to a stream may have changed.
    Homes {
        /// The stream that they append to.
        stream: StreamId,
        /// The home first, then the VMs that take its place when it does not answer.
        order: Vec<Vm>,
    },
    /// All boots that this VM currently considers live.
    Live(BTreeSet<Holder>),
    /// The call is being sent: from now on it may run.
    Sent(CallId),
    /// A call that [`Action::Run`] started was answered.
    Answered {
        /// The number of the call.
        id: CallId,
        /// What to record of the answer.
        answer: Answer,
    },
    /// A call was sent but ended without an answer, so it may have run.
    Broke(CallId),
    /// A call that [`Action::Run`] started has certainly not run, and won't be sent any more.
    Unsent(CallId),
}

/// An output of [`Once::step`](super::Once::step).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Append a batch to a stream as one record.
    Append {
        /// The number by which the result is matched.
        ticket: Ticket,
        /// The stream to append to.
        stream: StreamId,
        /// The content of the record.
        batch: Batch,
    },
    /// Read a stream; answered by [`Event::Records`] or [`Event::Expired`].
    Read {
        /// The stream to read.
        stream: StreamId,
        /// The first offset to read.
        from: Offset,
    },
    /// Send a message to a VM; it may be lost.
    Tell {
        /// The VM that receives it.
        vm: Vm,
        /// What to send.
        message: Message,
    },
    /// Send the call, since its claim won, and answer its caller.
    Run(CallId),
    /// Answer a call that this VM does not run.
    Reply {
        /// The number of the call.
        id: CallId,
        /// What to answer.
        reply: Reply,
    },
}

/// The answer to a call that this VM does not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Reply {
    /// The recorded answer of the call that ran with the same key.
    Replay(Answer),
    /// The failure to report to the caller.
    Failure(Failure),
}

/// Hashes only `code` and `ran` of a failure, since `Failure` does not implement `Hash`.
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

/// A message from one VM to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Message {
    /// Asks for entries to be appended, unless the log already settles them.
    Propose {
        /// The stream to append to.
        stream: StreamId,
        /// The entries to append.
        entries: Vec<Entry>,
    },
    /// Answers proposed entries.
    Rulings(Vec<Ruling>),
}

/// The answer to one proposed entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ruling {
    /// The entry that is answered.
    pub ident: Ident,
    /// The verdict of the log, or `None` if the log is down and the entry was not queued.
    pub verdict: Option<Verdict>,
    /// Whether the entry was queued for the log. If not, this proposal can't reach the log later.
    pub queued: bool,
}
