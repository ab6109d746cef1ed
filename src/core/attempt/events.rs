//! The events of a stream, passed on whole.

use bytes::Bytes;
use bytes::BytesMut;

/// The longest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Collects the bytes of a stream and gives out whole events.
///
/// Ids rise, so what an endpoint repeats after a resumption is dropped by its id, and half an
/// event is never given out.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    ready: BytesMut,
    last_id: Option<u64>,
    count: u64,
}

impl EventBuffer {
    /// Adds bytes; `false` if an event is longer than [`EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        while let Some(end) = end_of_event(&self.buf) {
            let event = self.buf.split_to(end);
            if let Some(id) = parse_id(&event) {
                if self.last_id.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_id = Some(id);
                self.count += 1;
            }
            self.ready.extend_from_slice(&event);
        }
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Takes the whole events that were not given out yet.
    pub fn take(&mut self) -> Bytes {
        self.ready.split().freeze()
    }

    /// Forgets half an event, because the endpoint that sent it broke off.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }

    /// Says whether nothing of an event is waiting for its rest.
    pub fn is_complete(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the id of the last event that was given out.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events that were given out.
    pub const fn count(&self) -> u64 {
        self.count
    }
}

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

fn parse_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
