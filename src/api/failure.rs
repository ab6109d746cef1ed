//! The JSON body of error responses.

use serde::Deserialize;
use serde::Serialize;

use crate::error::Failure;

/// The body of an error response, in the form that common clients expect: `{"error": ...}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The code, the message and whether the request ran.
    pub error: Failure,
}

impl From<Failure> for ErrorBody {
    fn from(error: Failure) -> Self {
        Self { error }
    }
}
