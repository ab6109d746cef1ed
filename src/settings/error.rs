//! What can be wrong with settings.

use std::io;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

/// Settings that a daemon refuses to start with.
#[derive(Debug, Display, Error, From)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("the settings cannot be read: {_0}")]
    #[from(skip)]
    Read(io::Error),
    /// The text is no YAML, or a key is unknown, missing or of another type.
    #[display("{_0}")]
    Yaml(Box<serde_saphyr::Error>),
    /// A value is out of its range.
    #[display("line {line}: {key}: {error}")]
    #[from(skip)]
    Value {
        /// The line, from 1.
        line: u64,
        /// The key.
        key: &'static str,
        /// What is wrong with its value.
        error: ValueError,
    },
}

impl From<serde_saphyr::Error> for SettingsError {
    fn from(error: serde_saphyr::Error) -> Self {
        Self::Yaml(Box::new(error))
    }
}

/// What is wrong with a value.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ValueError {
    /// It is no IP address and port.
    #[display("not an IP address with a port")]
    Address,
    /// The port is 0, which other processes cannot connect to.
    #[display("the port must not be 0")]
    Port,
    /// The address stands at another key too.
    #[display("the address is used twice")]
    Duplicate,
    /// A name has a bad length or a character that names may not have.
    #[display("a name has 1 to 64 letters, digits, '-', '_' or '.'")]
    Name,
    /// The secret is too short.
    #[display("the secret needs 16 characters at least")]
    Secret,
    /// The number of shards is out of range.
    #[display("the number of shards is 1 to 64")]
    Shards,
}
