//! Limits, timeouts and intervals that several modules share.

use crate::clock::Millis;

/// The largest head of an HTTP message.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The largest body of an HTTP message.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The largest chunk of a body that is read in parts. It is buffered whole, for each request in
/// progress.
pub const MAX_CHUNK_BYTES: usize = 512 * 1024;
/// What the connections of a daemon together keep of incomplete messages, where its memory is not set.
pub const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;
/// The most informational heads before the head of a response.
pub const MAX_INFORMATIONAL: usize = 8;
/// The largest frame between daemons.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// How long an idle connection from a caller is kept open.
pub const IDLE_TIMEOUT: Millis = Millis::seconds(75);
/// How long a message may take to arrive after its first byte.
pub const READ_TIMEOUT: Millis = Millis::seconds(20);
/// How long a write may wait for a slow reader.
pub const WRITE_TIMEOUT: Millis = Millis::seconds(20);
/// How long opening a connection may take.
pub const CONNECT_TIMEOUT: Millis = Millis::seconds(1);
/// How long a probe of an endpoint may take, from opening the connection to the answer.
pub const PROBE_TIMEOUT: Millis = Millis(400);
/// The time limit of a request that sets no deadline.
pub const DEFAULT_TIMEOUT: Millis = Millis::seconds(60);
/// The interval between the timer ticks that a daemon passes to its core.
pub const TICK_INTERVAL: Millis = Millis(50);
/// How long callers may cache an answer of the addresses route.
pub const ADDRESS_TTL: Millis = Millis::seconds(5);
/// How long a VM's configuration counts as current after it last matched the end of the log;
/// [`Sync::may_serve`](crate::core::sync::Sync::may_serve) says when a VM then stops accepting
/// requests.
pub const FRESHNESS_TIMEOUT: Millis = Millis::seconds(6);
