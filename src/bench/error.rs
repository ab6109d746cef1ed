//! Why a run of the load tool fails.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::core::config::intent::IntentError;

/// A run that cannot be made or reported.
#[derive(Debug, Display, Error, From)]
pub enum BenchError {
    /// A file cannot be read or written.
    #[display("{_0}")]
    File(std::io::Error),
    /// The scenario is not as it should be.
    #[display("the scenario is malformed: {_0}")]
    Scenario(Box<serde_saphyr::Error>),
    /// The intent whose bound is wanted is not as it should be.
    #[display("the intent is malformed: {_0}")]
    Intent(IntentError),
    /// The report has no JSON form.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A plot cannot be drawn.
    #[display("a plot cannot be drawn: {reason}")]
    #[from(skip)]
    Plot {
        /// What the plotting library says.
        reason: String,
    },
}
