//! At-most-once calls, which carry an idempotency key (docs/ONCE.md).
//!
//! Before such a call is sent, a claim on its key is appended to one of the `once` streams of the
//! platform's log. The first claim in log order wins, and only the VM boot that it names may send
//! the call. [`Shard`] is the state of one stream, folded from its records; [`Once`] is the state
//! machine of a daemon, which claims keys and records outcomes.
//!
//! Each stream has a home, a VM that appends for all others. VMs may disagree about the home: that
//! makes calls slower, but never runs one twice, since the log alone decides.

mod call;
mod event;
mod id;
mod peer;
mod record;
mod reply;
mod run;
mod shard;
mod snapshot;
mod state;
mod verdict;
mod writer;

pub use self::event::Action;
pub use self::event::Event;
pub use self::event::Message;
pub use self::event::Reply;
pub use self::event::Ruling;
pub use self::id::Attempt;
pub use self::id::Boot;
pub use self::id::CallDigest;
pub use self::id::CallId;
pub use self::id::Holder;
pub use self::id::KeyId;
pub use self::id::Offset;
pub use self::id::StreamId;
pub use self::id::Ticket;
pub use self::id::key_time;
pub use self::record::Answer;
pub use self::record::Batch;
pub use self::record::Body;
pub use self::record::Claim;
pub use self::record::Entry;
pub use self::record::Header;
pub use self::record::Ident;
pub use self::record::Outcome;
pub use self::record::Release;
pub use self::record::Row;
pub use self::record::RowState;
pub use self::record::Snapshot;
pub use self::shard::Shard;
pub use self::shard::Verdict;
pub use self::state::Once;
pub use self::state::Settings;

use crate::clock::Millis;

/// The number of `once` streams. It must not change while the streams hold live keys, because it
/// decides which stream a key belongs to.
pub const STREAMS: u16 = 8;
/// How long a key is remembered, counted from its time.
pub const WINDOW: Millis = Millis::seconds(24 * 60 * 60);
/// How far the time in a key may be ahead of this VM's clock; later keys are refused.
pub const KEY_AHEAD_SPAN: Millis = Millis::seconds(60);
/// How long a claim may wait for its verdict before the call fails as not run.
pub const CLAIM_SPAN: Millis = Millis(900);
/// How long a VM waits for the home's answer to a claim before it proposes the claim to the next VM
/// in order, and in the end appends it itself.
pub const HOME_SPAN: Millis = Millis(300);
/// The interval at which a call that waits for another VM's outcome proposes its claim again to
/// learn it, and at which a VM reads each stream that it appends to.
pub const POLL_SPAN: Millis = Millis(200);
/// How long a call waits for the outcome of another call with the same key.
pub const WAIT_SPAN: Millis = Millis::seconds(5);
/// The interval at which an outcome or a release is proposed again until it is recorded.
pub const RECORD_SPAN: Millis = Millis::seconds(1);
/// The interval between snapshots of a shard. It is well below the log's retention, so that a
/// snapshot is always left to start from.
pub const SNAPSHOT_SPAN: Millis = Millis::seconds(60 * 60);
/// The maximum rate of appends to all `once` streams together.
pub const APPENDS_PER_SECOND: u64 = 300;
/// The maximum number of entries in one append.
pub const MAX_BATCH_ENTRIES: usize = 500;
/// The maximum size of the recorded bodies in one append, in bytes.
pub const MAX_BATCH_BYTES: usize = 256 * 1024;
/// The maximum size of one part of a snapshot, in bytes.
pub const MAX_PART_BYTES: usize = 256 * 1024;
/// The assumed size of one key in a snapshot without its recorded body, in bytes.
pub const ROW_BYTES: usize = 256;
/// When this many outcomes and releases wait to be recorded, further releases are dropped.
pub const MAX_RELEASES: usize = 10_000;
/// The maximum size of an answer's body that is recorded in full, in bytes.
pub const ANSWER_BYTES: usize = 4096;
/// The maximum size of the recorded bodies that the state of one stream keeps, in bytes; the
/// oldest are replaced by their digests.
pub const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;
