//! The settings of a daemon: a YAML file, checked as a whole at the start.
//!
//! What changes while the fleet runs is not here but in the `config` stream
//! (docs/operators/settings.md).

mod check;
mod error;

use std::net::SocketAddr;
use std::path::Path;

use log::LevelFilter;
use serde::Deserialize;
use serde_saphyr::Spanned;

pub use self::error::SettingsError;
pub use self::error::ValueError;
use crate::core::config::object::OperatorEntry;
use crate::names::Domain;
use crate::names::Vm;

/// The checked settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this VM.
    pub vm: Vm,
    /// The failure domain that it is in.
    pub domain: Domain,
    /// Where callers, operators and owners connect.
    pub caller: SocketAddr,
    /// Where other daemons connect.
    pub peer: SocketAddr,
    /// The platform's service.
    pub platform: SocketAddr,
    /// The secret that daemons prove to each other.
    pub secret: String,
    /// Who may act as long as the configuration names no operator.
    pub operators: Vec<OperatorEntry>,
    /// The least level of events that are logged.
    pub level: LevelFilter,
    /// The number of streams that claims are spread over; the same on every VM.
    pub shards: u16,
    /// Whether idempotency keys are accepted whose age cannot be read; they are protected for a day.
    pub opaque: bool,
}

/// The file as it is written, with the place of each value that is checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    vm: Spanned<Vm>,
    domain: Spanned<Domain>,
    caller: Spanned<String>,
    peer: Spanned<String>,
    platform: Spanned<String>,
    secret: Spanned<String>,
    #[serde(default)]
    operators: Vec<OperatorEntry>,
    #[serde(default)]
    level: Level,
    #[serde(default)]
    shards: Option<Spanned<u16>>,
    #[serde(default = "yes")]
    opaque: bool,
}

const fn yes() -> bool {
    true
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Level {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is no YAML, has an unknown key, lacks one, or holds a
    /// value out of its range; the error names the line.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(SettingsError::Read)?;
        Self::parse(&text)
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    ///
    /// As [`Self::load`], but for reading. No error quotes the file, which holds a secret.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let options = serde_saphyr::options! { with_snippet: false };
        let file: File = serde_saphyr::from_str_with_options(text, options)?;
        check::check(file)
    }
}
