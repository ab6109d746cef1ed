//! At most once: calls that carry an idempotency key (docs/ONCE.md).
//!
//! Before such a call is sent, a claim on its key is appended to one of the `once` streams of the
//! platform's log. The first claim in log order wins, and only the VM boot that it names may send
//! the call. [`Shard`] is the fold of one stream, [`Once`] the part of a daemon that claims, sends
//! and records; all opinions on who is home of a stream cost speed only, since the log decides.

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

/// The number of `once` streams; it never changes while the streams hold live keys.
pub const STREAMS: u16 = 8;
/// How long a key is remembered.
pub const WINDOW: Millis = Millis::seconds(24 * 60 * 60);
/// How far ahead of this VM's clock the time in a key may lie.
pub const KEY_AHEAD_SPAN: Millis = Millis::seconds(60);
/// How long a claim may wait for its verdict before the call is answered unrun.
pub const CLAIM_SPAN: Millis = Millis(900);
/// How long a silent home is waited for before the VM claims by itself.
pub const HOME_SPAN: Millis = Millis(300);
/// The interval at which a call that waits for another VM's outcome asks again.
pub const POLL_SPAN: Millis = Millis(200);
/// How long a call waits for the outcome of another call with its key.
pub const WAIT_SPAN: Millis = Millis::seconds(5);
/// The interval at which an outcome or a release is proposed until it is recorded.
pub const RECORD_SPAN: Millis = Millis::seconds(1);
/// The interval between snapshots of a shard; well within the log's retention.
pub const SNAPSHOT_SPAN: Millis = Millis::seconds(60 * 60);
/// The appends a second that all `once` streams may take together.
pub const APPENDS_PER_SECOND: u64 = 300;
/// The most entries of one append.
pub const MAX_BATCH_ENTRIES: usize = 500;
/// The most bytes of recorded answers in one append.
pub const MAX_BATCH_BYTES: usize = 256 * 1024;
/// The most bytes of one part of a snapshot.
pub const MAX_PART_BYTES: usize = 256 * 1024;
/// The bytes that one key takes in a snapshot, without a recorded body.
pub const ROW_BYTES: usize = 256;
/// The most releases that wait to be recorded; further ones are dropped.
pub const MAX_RELEASES: usize = 10_000;
/// The largest body of an answer that is recorded whole, in bytes.
pub const ANSWER_BYTES: usize = 4096;
/// The bytes of recorded answers that the fold of one stream keeps.
pub const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;
