//! What can go wrong when a daemon is asked.

use derive_more::Display;
use derive_more::Error;

use crate::error::Failure;
use crate::io::http::HttpError;

/// An order or a question without a good answer.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// No address accepts a connection; nothing was sent.
    #[display("no daemon can be reached: {_0}")]
    Unreachable(HttpError),
    /// The order was sent and its answer was lost: it may have taken effect.
    #[display("the answer was lost: {_0}; ask again")]
    Lost(HttpError),
    /// The daemon tells a failure.
    #[display("{_0}")]
    Failed(Failure),
    /// The answer, or the order, has no JSON form that is expected.
    #[display("malformed answer: {_0}")]
    Malformed(serde_json::Error),
    /// The token has characters that a header may not carry.
    #[display("the token has characters that no token may have")]
    InvalidToken,
    /// A name or an id has characters that a path may not carry.
    #[display("the name has characters that no name may have")]
    InvalidTarget,
}
