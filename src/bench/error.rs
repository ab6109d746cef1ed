//! Errors of the load tool.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::core::config::intent::IntentError;

/// Why a run could not start or its report could not be written.
#[derive(Debug, Display, Error, From)]
pub enum BenchError {
    /// A scenario, intent or report file cannot be read or written.
    #[display("{_0}")]
    File(std::io::Error),
    /// The scenario is not valid YAML of the expected form.
    #[display("the scenario is malformed: {_0}")]
    Scenario(Box<serde_saphyr::Error>),
    /// The intent passed for computing the bounds is invalid.
    #[display("the intent is malformed: {_0}")]
    Intent(IntentError),
    /// The report cannot be serialized to JSON.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A plot cannot be drawn.
    #[display("a plot cannot be drawn: {reason}")]
    #[from(skip)]
    Plot {
        /// The error message of the plotting library.
        reason: String,
    },
}
