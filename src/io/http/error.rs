//! What can go wrong on a connection.

use std::io;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

/// A failure of one connection; the connection is of no further use.
#[derive(Debug, Display, Error, From)]
pub enum HttpError {
    /// The head, the body or a chunk is over its bound.
    #[display("message over its bound")]
    #[from(skip)]
    TooLarge,
    /// The bytes are not HTTP/1.1.
    #[display("malformed message")]
    #[from(skip)]
    Malformed,
    /// The other side closed in the middle of a message.
    #[display("connection closed")]
    #[from(skip)]
    Closed,
    /// The wait was longer than its bound.
    #[display("timed out")]
    #[from(skip)]
    TimedOut,
    /// The operating system reports a failure.
    #[display("{_0}")]
    Io(io::Error),
}
