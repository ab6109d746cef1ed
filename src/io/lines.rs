//! Lines of a streamed body, bounded.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// The longest line, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Collects the parts of a body and gives out whole lines.
#[derive(Debug, Default)]
pub struct Lines {
    buf: BytesMut,
}

impl Lines {
    /// Adds a part of the body.
    pub fn add(&mut self, part: &[u8]) {
        self.buf.extend_from_slice(part);
    }

    /// Says whether the line at the end is longer than the bound.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        self.buf.len() > MAX_LINE_BYTES
    }
}

impl Iterator for Lines {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        let end = self.buf.iter().position(|byte| *byte == b'\n')?;
        let line = self.buf.split_to(end).freeze();
        self.buf.advance(1);
        Some(line)
    }
}
