//! What became of a request, as its caller sees it.

use std::time::Duration;

use crate::api::ErrorBody;
use crate::clock::Millis;
use crate::error::Code;
use crate::error::Ran;
use crate::io::http::Response;

/// Why a request has no good answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailKind {
    /// A daemon told a failure.
    Reported(Code),
    /// The connection was refused: nothing was sent.
    Unsent,
    /// The connection broke or went silent.
    Broken,
    /// The answer is not of the expected form.
    Malformed,
    /// The answer is whole and wrong.
    Wrong,
}

/// A failure with what the caller may conclude from it.
#[derive(Clone, Copy, Debug)]
pub struct Fail {
    /// The kind.
    pub kind: FailKind,
    /// Whether the work took place.
    pub ran: Ran,
    /// When to come back, if told.
    pub retry: Option<Millis>,
}

impl Fail {
    /// Returns a failure of the connection before anything was sent.
    pub(super) const fn unsent() -> Self {
        Self {
            kind: FailKind::Unsent,
            ran: Ran::No,
            retry: None,
        }
    }

    /// Returns a failure of which the caller knows only its kind.
    pub(super) const fn unknown(miss: FailKind) -> Self {
        Self {
            kind: miss,
            ran: Ran::Unknown,
            retry: None,
        }
    }

    /// Reads the failure that a daemon tells.
    pub(super) fn of(response: &Response) -> Self {
        Self::parse(&response.body)
    }

    /// Reads the body of an error answer or of a stream's error event.
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

impl Fail {
    /// Says whether the same request may succeed later or elsewhere.
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

/// A request that is over.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// From the time that it was due to the end.
    pub span: Duration,
    /// From the time that it was due to the first token, if it streams.
    pub first: Option<Duration>,
    /// The spans between tokens.
    pub gaps: Vec<Duration>,
    /// The tokens given.
    pub tokens: usize,
    /// How often it was made again.
    pub again: u32,
    /// Why it failed, if it did.
    pub fail: Option<Fail>,
}
