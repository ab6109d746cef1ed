//! Errors of requests to a daemon.

use derive_more::Display;
use derive_more::Error;

use crate::error::Failure;
use crate::io::http::HttpError;

/// Why a request to a daemon failed.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// No address accepted a connection; nothing was sent.
    #[display("no daemon can be reached: {_0}")]
    Unreachable(HttpError),
    /// The request was sent but no answer arrived, so it may have taken effect.
    #[display("no answer arrived: {_0}; repeat the command")]
    Lost(HttpError),
    /// The daemon answered with an error.
    #[display("{_0}")]
    Failed(Failure),
    /// The answer is not the expected JSON, or the request can't be serialized.
    #[display("malformed answer: {_0}")]
    Malformed(serde_json::Error),
    /// The token contains characters that are not allowed in a header.
    #[display("the token contains characters that are not allowed in a header")]
    InvalidToken,
    /// A name or an id contains characters that are not allowed in a path.
    #[display("the name or id contains characters that are not allowed in a path")]
    InvalidTarget,
}
