//! Constants that several modules share, with their units.

use crate::clock::Millis;

/// The largest head of an HTTP message, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The largest body of an HTTP message, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The largest frame between daemons, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// How long an idle connection of a caller is kept.
pub const IDLE_TIMEOUT: Millis = Millis::seconds(75);
/// How long a message may take to arrive once its first byte has.
pub const READ_TIMEOUT: Millis = Millis::seconds(20);
/// How long one write may wait for a slow reader.
pub const WRITE_TIMEOUT: Millis = Millis::seconds(20);
/// How long to wait for a connection to open.
pub const CONNECT_TIMEOUT: Millis = Millis::seconds(1);
/// How long a probe of an endpoint may take, from opening the connection to the answer.
pub const PROBE_TIMEOUT: Millis = Millis(400);
/// The deadline of a request that names none.
pub const DEFAULT_TIMEOUT: Millis = Millis::seconds(60);
/// The interval between the ticks that a daemon feeds to its core.
pub const TICK_INTERVAL: Millis = Millis(50);
/// How long callers may keep an answer of the addresses route.
pub const ADDRESS_TTL: Millis = Millis::seconds(5);
/// Within this span a VM that saw no fresh state of the log stops taking new work.
pub const FRESHNESS_TIMEOUT: Millis = Millis::seconds(6);
