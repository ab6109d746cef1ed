//! Why a trial cannot go on.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::client::ClientError;
use crate::core::config::intent::IntentError;
use crate::io::daemon::StartError;
use crate::io::http::HttpError;
use crate::standin::site::SiteError;

/// Why a trial cannot go on; a promise that is broken is no error but a check that failed.
#[derive(Debug, Display, Error, From)]
pub enum TrialError {
    /// A daemon cannot start.
    Daemon(StartError),
    /// A stand-in cannot start.
    Standin(SiteError),
    /// The trial's own intent is refused.
    Intent(IntentError),
    /// A daemon gave no good answer to an operator or an owner.
    Client(ClientError),
    /// A call broke.
    Http(HttpError),
    /// A message is not the JSON that is expected.
    Json(serde_json::Error),
    /// A path is malformed.
    Path(http::uri::InvalidUri),
    /// An answer is of another kind than what was asked for.
    #[display("an answer of another kind than what was asked for")]
    #[from(skip)]
    UnexpectedAnswer,
    /// Something did not happen in time.
    #[display("{what} did not happen in time")]
    #[from(skip)]
    Late {
        /// What.
        what: &'static str,
    },
    /// The output cannot be written, or a free port cannot be had.
    Io(std::io::Error),
}
