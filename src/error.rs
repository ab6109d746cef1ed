//! The failures that are reported to callers.
//!
//! All error answers have the same JSON form, with a stable code and the field `ran`, which says
//! whether the work was run (docs/PROTOCOLS.md). Modules also have error types of their own.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// Whether the work of a failed request was run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The work was not run and never will be.
    No,
    /// The work was run.
    Yes,
    /// The work may have been run.
    Unknown,
}

/// The kind of a failure. The codes are stable: clients may rely on them.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The bearer token is missing or unknown.
    Unauthorized,
    /// The team has no approved grant, or the role does not allow the action.
    Forbidden,
    /// The service, model, plan or route does not exist.
    NotFound,
    /// The route does not allow the method.
    MethodNotAllowed,
    /// The head, the body or a line is larger than its limit.
    TooLarge,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// The idempotency key is older than the retention time, or its age is unknown.
    KeyExpired,
    /// A call with the same idempotency key is in progress.
    InProgress,
    /// The team exceeds its rate limit.
    RateLimited,
    /// The queue is full, or the request would not leave it before its deadline.
    Overloaded,
    /// No endpoint, or no chain of endpoints for all layers, is available.
    NoCapacity,
    /// This VM has no configuration yet, or can't be sure that its configuration is current.
    NotReady,
    /// This VM is stopping and takes no new work.
    Stopping,
    /// The platform's log cannot be reached, and the request needs it.
    LogUnavailable,
    /// The deadline passed.
    DeadlinePassed,
    /// The endpoint failed and the work can't be sent again.
    EndpointFailed,
    /// An earlier attempt with this idempotency key has no recorded outcome.
    OutcomeUnknown,
    /// The regenerated answer differs from the part that the caller already has.
    ResumeMismatch,
    /// Requests with this content crashed endpoints and are barred for a time.
    RequestBarred,
    /// The plan no longer fits the configuration in force, or has expired.
    StalePlan,
    /// An intent or a setting is invalid.
    InvalidIntent,
}

impl Code {
    /// Returns the HTTP status of answers with this code.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::InvalidIntent => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::StalePlan | Self::InProgress | Self::ResumeMismatch => 409,
            Self::KeyExpired => 410,
            Self::TooLarge => 413,
            Self::KeyReused | Self::RequestBarred => 422,
            Self::RateLimited => 429,
            Self::EndpointFailed | Self::OutcomeUnknown => 502,
            Self::Overloaded
            | Self::NoCapacity
            | Self::NotReady
            | Self::Stopping
            | Self::LogUnavailable => 503,
            Self::DeadlinePassed => 504,
        }
    }
}

/// A failure, as reported to the caller.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{code}: {message} (ran: {ran})")]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// The kind of the failure.
    pub code: Code,
    /// Whether the work was run.
    pub ran: Ran,
    /// One sentence for people; programs should use the code.
    pub message: String,
    /// After how long to retry, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry: Option<Millis>,
}

impl Failure {
    /// Returns a failure of work that was not run and never will be.
    pub fn not_run<M>(code: Code, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            code,
            ran: Ran::No,
            message: message.into(),
            retry: None,
        }
    }

    /// Returns a failure of work that may have been run.
    pub fn may_have_run<M>(code: Code, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            code,
            ran: Ran::Unknown,
            message: message.into(),
            retry: None,
        }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry = Some(span);
        self
    }
}
