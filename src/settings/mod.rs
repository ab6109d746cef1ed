//! The settings of a daemon: a YAML file that is read and checked once at startup.
//!
//! Configuration that changes while the fleet runs is in the `config` stream instead
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

/// The validated settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM's name in the fleet.
    pub vm: Vm,
    /// The failure domain that contains the VM.
    pub domain: Domain,
    /// The listen address for callers, operators and owners.
    pub caller: SocketAddr,
    /// The listen address for other daemons.
    pub peer: SocketAddr,
    /// The address of the platform's service.
    pub platform: SocketAddr,
    /// The secret that all daemons of the fleet share, with which they authenticate to each other.
    pub secret: String,
    /// The operators to accept as long as the configuration contains none.
    pub operators: Vec<OperatorEntry>,
    /// The lowest severity that is logged.
    pub level: LevelFilter,
    /// The number of streams that claims are sharded over; must be the same on every VM.
    pub shards: u16,
    /// Whether opaque idempotency keys, which contain no time, are accepted; they are protected
    /// for a day.
    pub opaque: bool,
}

/// The file as written; each value that is checked carries its line for error messages.
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is not valid YAML, has an unknown key, lacks a required
    /// one, or has an invalid value; the error contains the line.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(SettingsError::Read)?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the text is invalid, as [`Self::load`] does. Errors don't quote the text, because
    /// it contains a secret.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let options = serde_saphyr::options! { with_snippet: false };
        let file: File = serde_saphyr::from_str_with_options(text, options)?;
        check::check(file)
    }
}
