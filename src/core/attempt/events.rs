//! Splitting of an event stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;

/// The maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;
/// The size of the longest mark that ends an event.
const MAX_END_BYTES: usize = 4;

/// The names of fields, the empty one of comments and empty lines among them.
const FIELDS: [&[u8]; 5] = [b"", b"data", b"event", b"id", b"retry"];

/// Buffers the bytes of a server-sent event stream and returns only complete events.
///
/// Event ids increase, so events that an endpoint repeats after a resumption are dropped by their
/// id. Where each id was the one after the last, a resumption that leaves some out is not the same stream.
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
    /// Whether an id was not the one after the last, so that none can be missed.
    has_gaps: bool,
    /// Whether the next new id is the first one of another endpoint.
    is_resumed: bool,
}

impl EventBuffer {
    /// Appends bytes; returns `false` if they are not the stream's next events: one is longer than
    /// [`MAX_EVENT_BYTES`], has a line that is neither a field nor a comment, or some are left out.
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
                let is_next = self
                    .last_id
                    .is_none_or(|last| last.checked_add(1) == Some(id));
                let is_resumed = std::mem::take(&mut self.is_resumed);
                if !is_next && is_resumed && self.count > 1 && !self.has_gaps {
                    return false;
                }
                self.has_gaps |= !is_next;
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

    /// Discards a partial event after the connection to the endpoint broke, before another endpoint
    /// resumes the stream.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        self.scanned = 0;
        self.is_resumed = true;
    }

    /// Returns whether no partial event is buffered.
    pub fn is_complete(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the bytes of the partial event.
    pub fn partial_len(&self) -> usize {
        self.buf.len()
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

/// Returns whether each line is empty, a comment, or a field of an event stream. The first line may be a
/// field of another name, alone or before a colon.
///
/// A strange field further on is most likely the head of another response, which follows a partial event
/// on a connection whose endpoint failed.
fn is_event(event: &[u8]) -> bool {
    let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    let mut lines = event.split(|byte| *byte == b'\n').map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        line.split(|byte| *byte == b':').next().unwrap_or(line)
    });
    let is_first_valid = lines.next().is_none_or(|name| name.iter().all(is_name));
    is_first_valid && lines.all(|name| FIELDS.contains(&name))
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
