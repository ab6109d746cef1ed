//! How the command line prints: as tables for people, as JSON or YAML for programs.

mod table;

use clap::ValueEnum;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Serialize;

use crate::core::daemon::Reply;

/// The format of what is printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Tables and lines, for people.
    #[default]
    Table,
    /// JSON, as the daemons' routes give it.
    Json,
    /// YAML, with the same keys as the JSON.
    Yaml,
}

/// A value that has no form in the format.
#[derive(Debug, Display, Error, From)]
pub enum FormatError {
    /// It has no JSON form.
    Json(serde_json::Error),
    /// It has no YAML form.
    Yaml(Box<serde_saphyr::ser_error::Error>),
}

impl Format {
    /// Returns the text of a daemon's answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer has no form in this format.
    pub fn render_reply(self, reply: &Reply) -> Result<String, FormatError> {
        self.render(reply, table::format_reply)
    }

    /// Returns the text of a value; `to_table` gives its form for people.
    ///
    /// # Errors
    ///
    /// Fails if the value has no form in this format.
    pub fn render<T, F>(self, value: &T, to_table: F) -> Result<String, FormatError>
    where
        T: Serialize,
        F: FnOnce(&T) -> String,
    {
        match self {
            Self::Table => Ok(to_table(value)),
            Self::Json => Ok(serde_json::to_string_pretty(value)?),
            Self::Yaml => {
                let text = serde_saphyr::to_string(value).map_err(Box::new)?;
                Ok(text.trim_end().to_owned())
            }
        }
    }
}
