//! Output formats of the command line: tables for people, JSON or YAML for programs.

mod table;

use clap::ValueEnum;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Serialize;

use crate::core::daemon::Reply;

/// The output format of a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Tables and lines, for people.
    #[default]
    Table,
    /// JSON, as returned by the daemons' routes.
    Json,
    /// YAML, with the same keys as the JSON.
    Yaml,
}

/// Why a value can't be converted to an output format.
#[derive(Debug, Display, Error, From)]
pub enum FormatError {
    /// The value can't be serialized as JSON.
    Json(serde_json::Error),
    /// The value can't be serialized as YAML.
    Yaml(Box<serde_saphyr::ser_error::Error>),
}

impl Format {
    /// Converts a daemon's answer to text in this format.
    ///
    /// # Errors
    ///
    /// Fails if the answer can't be serialized.
    pub fn render_reply(self, reply: &Reply) -> Result<String, FormatError> {
        self.render(reply, table::format_reply)
    }

    /// Converts a value to text in this format; `to_table` converts it for [`Self::Table`].
    ///
    /// # Errors
    ///
    /// Fails if the value can't be serialized.
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
