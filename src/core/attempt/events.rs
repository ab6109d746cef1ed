//! Splitting of an event stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;

/// The maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;
/// The size of the longest mark that ends an event.
const MAX_END_BYTES: usize = 4;

/// Buffers the bytes of a server-sent event stream and returns only complete events.
///
/// Event ids increase, so events that an endpoint repeats after a resumption are dropped by their
/// id.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    /// The bytes of `buf` in which no event ends.
    scanned: usize,
    ready: BytesMut,
    /// Whether `ready` has more than comments.
    has_event: bool,
    last_id: Option<u64>,
    count: u64,
}

impl EventBuffer {
    /// Appends bytes; returns `false` if they are not events: one is longer than
    /// [`MAX_EVENT_BYTES`], or has a line that is neither a field nor a comment.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        while let Some(end) = end_of_event(&self.buf[self.scanned..]) {
            let event = self.buf.split_to(self.scanned + end);
            self.scanned = 0;
            if !is_event(&event) {
                return false;
            }
            if let Some(id) = parse_id(&event) {
                if self.last_id.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_id = Some(id);
                self.count += 1;
            }
            self.has_event |= !is_comment(&event);
            self.ready.extend_from_slice(&event);
        }
        self.scanned = self.buf.len().saturating_sub(MAX_END_BYTES - 1);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the complete events that were not taken yet; empty if there are none.
    pub fn take(&mut self) -> Bytes {
        self.has_event = false;
        self.ready.split().freeze()
    }

    /// Returns whether the events that were not taken yet are more than comments, which show no
    /// progress of the stream.
    pub const fn has_progress(&self) -> bool {
        self.has_event
    }

    /// Discards a partial event after the connection to the endpoint broke.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    /// Returns whether no partial event is buffered.
    pub fn is_complete(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the id of the last complete event; `None` before the first event with an id.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events with an id.
    pub const fn count(&self) -> u64 {
        self.count
    }
}

/// Returns the length of the first event, including the blank line that ends it.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    let lf = buf
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2);
    let crlf = buf
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

/// Returns whether each line is empty, a comment, or a field: a name, alone or before a colon.
fn is_event(event: &[u8]) -> bool {
    let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    event.split(|byte| *byte == b'\n').all(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let name = line.split(|byte| *byte == b':').next().unwrap_or(line);
        name.iter().all(is_name)
    })
}

fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r' | b':', ..]))
}

/// Returns the value of the `id` field, or `None` if it is missing or not a number.
fn parse_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
