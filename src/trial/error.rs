//! Errors of the trial.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::client::ClientError;
use crate::core::config::intent::IntentError;
use crate::io::daemon::StartError;
use crate::io::http::HttpError;
use crate::standin::site::SiteError;

/// Why a trial cannot continue. A broken promise is not an error but a failed check.
#[derive(Debug, Display, Error, From)]
pub enum TrialError {
    /// A daemon cannot start.
    Daemon(StartError),
    /// A stand-in cannot start.
    Standin(SiteError),
    /// The trial's own intent is invalid.
    Intent(IntentError),
    /// A request of an operator or an owner failed.
    Client(ClientError),
    /// An HTTP request failed.
    Http(HttpError),
    /// A message is not valid JSON of the expected form.
    Json(serde_json::Error),
    /// A request path is malformed.
    Path(http::uri::InvalidUri),
    /// The answer is not of the kind that the request should return.
    #[display("an answer of another kind than what was asked for")]
    #[from(skip)]
    UnexpectedAnswer,
    /// A condition did not hold within the timeout.
    #[display("{what} did not happen in time")]
    #[from(skip)]
    Late {
        /// What the trial waited for.
        what: &'static str,
    },
    /// The output cannot be written, or no free port was found.
    Io(std::io::Error),
}
