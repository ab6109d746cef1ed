//! The outcome of a request as its caller sees it.

use std::time::Duration;

use crate::api::ErrorBody;
use crate::clock::Millis;
use crate::error::Code;
use crate::error::Ran;
use crate::io::http::Response;

/// The kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailKind {
    /// A daemon returned an error.
    Reported(Code),
    /// No connection could be opened, or no address is known: nothing was sent.
    Unsent,
    /// The connection broke or the attempt timed out.
    Broken,
    /// The request could not be built, or the answer could not be parsed.
    Malformed,
    /// The answer is complete but its text is wrong.
    Wrong,
}

/// A failed attempt, and what the caller knows about it.
#[derive(Clone, Copy, Debug)]
pub struct RequestFailure {
    /// What went wrong.
    pub kind: FailKind,
    /// Whether the request ran, as far as the caller knows.
    pub ran: Ran,
    /// How long to wait before a retry, if the daemon set a delay.
    pub retry: Option<Millis>,
}

impl RequestFailure {
    /// Creates a failure that happened before anything was sent.
    pub(super) const fn unsent() -> Self {
        Self {
            kind: FailKind::Unsent,
            ran: Ran::No,
            retry: None,
        }
    }

    /// Creates a failure after which the request may or may not have run.
    pub(super) const fn unknown(kind: FailKind) -> Self {
        Self {
            kind,
            ran: Ran::Unknown,
            retry: None,
        }
    }

    /// Parses the failure in a daemon's answer.
    pub(super) fn of(response: &Response) -> Self {
        Self::parse(&response.body)
    }

    /// Parses the body of an error answer or of a stream's error event.
    pub(super) fn parse(body: &[u8]) -> Self {
        match serde_json::from_slice::<ErrorBody>(body) {
            Ok(ErrorBody { error }) => Self {
                kind: FailKind::Reported(error.code),
                ran: error.ran,
                retry: error.retry,
            },
            Err(_) => Self::unknown(FailKind::Malformed),
        }
    }
}

impl RequestFailure {
    /// Returns whether the same request may succeed later or on another VM.
    pub(super) const fn is_retryable(&self) -> bool {
        match self.kind {
            FailKind::Unsent | FailKind::Broken => true,
            FailKind::Malformed | FailKind::Wrong => false,
            FailKind::Reported(code) => matches!(
                code,
                Code::InProgress
                    | Code::RateLimited
                    | Code::Overloaded
                    | Code::NoCapacity
                    | Code::NotReady
                    | Code::Stopping
                    | Code::LogUnavailable
                    | Code::EndpointFailed
            ),
        }
    }
}

/// The outcome of one request over all its attempts.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The time from when the request was due to its end.
    pub span: Duration,
    /// The time from when the request was due to the first streamed token.
    pub first: Option<Duration>,
    /// The times between consecutive streamed tokens.
    pub gaps: Vec<Duration>,
    /// The number of tokens received.
    pub tokens: usize,
    /// The number of retries.
    pub retries: u32,
    /// The last attempt's failure; `None` if the request succeeded.
    pub fail: Option<RequestFailure>,
}
