//! Errors in the settings file.

use std::io;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

/// Why settings are invalid; a daemon doesn't start with them.
#[derive(Debug, Display, Error, From)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("the settings cannot be read: {_0}")]
    #[from(skip)]
    Read(io::Error),
    /// The text is not valid YAML, or a key is unknown, missing or of the wrong type.
    #[display("{_0}")]
    Yaml(Box<serde_saphyr::Error>),
    /// A value is out of range or malformed.
    #[display("line {line}: {key}: {error}")]
    #[from(skip)]
    Value {
        /// The line of the value, counted from 1.
        line: u64,
        /// The key that holds the value.
        key: &'static str,
        /// Why the value is invalid.
        error: ValueError,
    },
}

impl From<serde_saphyr::Error> for SettingsError {
    fn from(error: serde_saphyr::Error) -> Self {
        Self::Yaml(Box::new(error))
    }
}

/// Why the value of one key is invalid.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ValueError {
    /// The value is not an IP address with a port.
    #[display("not an IP address with a port")]
    Address,
    /// The port is 0, to which other processes can't connect.
    #[display("the port must not be 0")]
    Port,
    /// Another key has the same address.
    #[display("the address is used twice")]
    Duplicate,
    /// The name is empty or too long, or contains a character that is not allowed.
    #[display("a name has 1 to 64 letters, digits, '-', '_' or '.'")]
    Name,
    /// The secret has fewer than 16 bytes.
    #[display("the secret needs 16 characters at least")]
    Secret,
    /// The number of shards is not in 1 to 64.
    #[display("the number of shards is 1 to 64")]
    Shards,
}
