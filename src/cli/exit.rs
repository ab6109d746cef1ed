//! Exit codes and errors of `cornelwharf` commands.

use std::path::PathBuf;
use std::process::ExitCode;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::bench::BenchError;
use crate::client::ClientError;
use crate::core::config::intent::IntentError;
use crate::error::Code;
use crate::error::Ran;
use crate::output::FormatError;
use crate::settings::SettingsError;
use crate::trial::TrialError;

/// The exit codes of `cornelwharf` (docs/operators/commands.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed.
    Failed = 1,
    /// The command was refused, or its input is invalid.
    Refused = 2,
    /// The outcome is not known yet; the command should be repeated.
    NotKnown = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command didn't succeed.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// No daemon answered, or a daemon answered with an error.
    Client(ClientError),
    /// A settings file is invalid.
    #[display("{}: {error}", file.display())]
    #[from(skip)]
    Settings {
        /// The settings file.
        file: PathBuf,
        /// Why it is invalid.
        error: SettingsError,
    },
    /// An intent is invalid.
    #[display("{}: {error}", file.display())]
    #[from(skip)]
    Intent {
        /// The intent file.
        file: PathBuf,
        /// Why it is invalid.
        error: IntentError,
    },
    /// A settings, intent or token file can't be read.
    #[display("{}: {error}", file.display())]
    #[from(skip)]
    Read {
        /// The path as given on the command line.
        file: PathBuf,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// Neither `--at` nor the environment gives a daemon's address.
    #[display("no daemon address: give --at ADDR or set CORNELWHARF_AT")]
    #[from(skip)]
    NoAddress,
    /// An address in the environment is not an IP address with a port.
    #[display("CORNELWHARF_AT: {_0}")]
    Address(std::net::AddrParseError),
    /// Neither `--token-file` nor the environment gives a bearer token.
    #[display("no bearer token: give --token-file FILE or set CORNELWHARF_TOKEN")]
    #[from(skip)]
    NoToken,
    /// The token on standard input is empty.
    #[display("no token on standard input")]
    #[from(skip)]
    EmptyToken,
    /// The answer can't be converted to the output format.
    Format(FormatError),
    /// Standard input, standard output or the event loop failed.
    Io(std::io::Error),
    /// The load generator failed.
    Bench(BenchError),
    /// The trial stopped before its end because of an error.
    #[display("the trial stopped early: {_0}")]
    Trial(TrialError),
}

impl CommandError {
    /// Returns the exit code for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Client(error) => client_exit(error),
            Self::Format(_) | Self::Io(_) | Self::Bench(_) | Self::Trial(_) => Exit::Failed,
            Self::Settings { .. }
            | Self::Intent { .. }
            | Self::Read { .. }
            | Self::NoAddress
            | Self::Address(_)
            | Self::NoToken
            | Self::EmptyToken => Exit::Refused,
        }
    }
}

fn client_exit(error: &ClientError) -> Exit {
    match error {
        ClientError::Lost(_) => Exit::NotKnown,
        ClientError::Unreachable(_) | ClientError::Malformed(_) => Exit::Failed,
        ClientError::InvalidToken | ClientError::InvalidTarget => Exit::Refused,
        ClientError::Failed(failure) => match (failure.ran, failure.code) {
            (Ran::Unknown, _) => Exit::NotKnown,
            (_, Code::NotReady | Code::LogUnavailable | Code::Stopping | Code::Overloaded) => {
                Exit::Failed
            }
            _ => Exit::Refused,
        },
    }
}
