//! The failures that a caller can be told of.
//!
//! Every error answer has one JSON shape with a stable code and the field `ran`, which says
//! whether the work took place (docs/PROTOCOLS.md). Each module has its own error types besides.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// Says whether the work of a failed request took place.
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

/// The stable codes of failures.
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
    /// No such service, model, plan or route.
    NotFound,
    /// The route does not allow the method.
    MethodNotAllowed,
    /// The head, the body or a line is larger than its bound.
    TooLarge,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// The idempotency key's age cannot be shown to lie within the retention.
    KeyExpired,
    /// A call with the same idempotency key is in progress.
    InProgress,
    /// The team is over its limit.
    RateLimited,
    /// The queues are full for the time that the deadline leaves.
    Overloaded,
    /// No endpoint, or no full chain of layers, is available.
    NoCapacity,
    /// This VM has no configuration in force yet, or lost touch with it.
    NotReady,
    /// This VM is stopping and takes no new work.
    Stopping,
    /// The platform's log cannot be reached, and the request needs it.
    LogUnavailable,
    /// The deadline passed.
    DeadlinePassed,
    /// The endpoint failed and the work cannot be sent again.
    EndpointFailed,
    /// An earlier attempt with this key has no recorded outcome.
    OutcomeUnknown,
    /// The regenerated answer differs from the part that the caller has.
    ResumeMismatch,
    /// Requests of this content crashed endpoints and are barred for a time.
    RequestBarred,
    /// The plan no longer fits the configuration in force.
    StalePlan,
    /// An intent or a setting is invalid.
    InvalidIntent,
}

impl Code {
    /// Returns the HTTP status that carries the code.
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

/// A failure as its caller is told of it.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{code}: {message} (ran: {ran})")]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// The stable code.
    pub code: Code,
    /// Whether the work took place.
    pub ran: Ran,
    /// One sentence for a person.
    pub message: String,
    /// When to come back, where that is known.
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

    /// Tells the caller when to come back.
    #[must_use]
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry = Some(span);
        self
    }
}
