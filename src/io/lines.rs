//! Splits a streamed body into lines of limited length.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// The maximum length of a line.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Buffers the parts of a body and iterates over the complete lines, without their line feeds.
#[derive(Debug, Default)]
pub struct Lines {
    buf: BytesMut,
}

impl Lines {
    /// Appends the next part of the body.
    pub fn add(&mut self, part: &[u8]) {
        self.buf.extend_from_slice(part);
    }

    /// Returns whether the incomplete line at the end is already longer than 4 MiB.
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
