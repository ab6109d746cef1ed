//! The errors of a connection.

use std::io;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::io::listen::is_exhausted;

/// Why an operation on a connection failed. The connection must not be used again.
#[derive(Debug, Display, Error, From)]
pub enum HttpError {
    /// The head, the body or a chunk is larger than allowed.
    #[display("message too large")]
    #[from(skip)]
    TooLarge,
    /// The bytes are not a valid message.
    #[display("malformed message")]
    #[from(skip)]
    Malformed,
    /// The other side closed the connection in the middle of a message, or before one.
    #[display("connection closed")]
    #[from(skip)]
    Closed,
    /// The operation took longer than its timeout.
    #[display("timed out")]
    #[from(skip)]
    TimedOut,
    /// The connections together keep more of incomplete messages than they may, and those to this peer most.
    #[display("too much kept of the peer's messages")]
    #[from(skip)]
    OverLimit,
    /// The operating system reported an error.
    #[display("{_0}")]
    Io(io::Error),
}

impl HttpError {
    /// Returns whether this process had no descriptor or memory left for the connection, which says nothing of the
    /// other side.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        matches!(self, Self::Io(error) if is_exhausted(error))
    }
}
