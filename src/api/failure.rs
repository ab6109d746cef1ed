//! The one JSON shape of errors.

use serde::Deserialize;
use serde::Serialize;

use crate::error::Failure;

/// An error answer, in the place where common clients look for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The failure.
    pub error: Failure,
}

impl From<Failure> for ErrorBody {
    fn from(error: Failure) -> Self {
        Self { error }
    }
}
