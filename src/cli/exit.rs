//! How a command of `cornelwharf` ends.

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

/// The exit codes (docs/operators/commands.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// What was asked for is done.
    Done = 0,
    /// It failed.
    Failed = 1,
    /// It was refused, or the input is invalid.
    Refused = 2,
    /// It is not known yet; ask again.
    NotKnown = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// A command that did not succeed.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// A daemon gave no good answer.
    Client(ClientError),
    /// A settings file is not accepted.
    #[display("{}: {error}", file.display())]
    #[from(skip)]
    Settings {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        error: SettingsError,
    },
    /// An intent is not accepted.
    #[display("{}: {error}", file.display())]
    #[from(skip)]
    Intent {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        error: IntentError,
    },
    /// A file cannot be read.
    #[display("{}: {error}", file.display())]
    #[from(skip)]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// No address of a daemon is given.
    #[display("no daemon's address: give --at ADDR or set CORNELWHARF_AT")]
    #[from(skip)]
    NoAddress,
    /// An address in the environment cannot be read.
    #[display("CORNELWHARF_AT: {_0}")]
    Address(std::net::AddrParseError),
    /// No bearer token is given.
    #[display("no bearer token: give --token-file FILE or set CORNELWHARF_TOKEN")]
    #[from(skip)]
    NoToken,
    /// The token on standard input is empty.
    #[display("no token on standard input")]
    #[from(skip)]
    EmptyToken,
    /// The answer cannot be printed.
    Format(FormatError),
    /// Standard input, standard output or the event loop fails.
    Io(std::io::Error),
    /// The load tool cannot go on.
    Bench(BenchError),
    /// The trial cannot go on.
    #[display("the trial cannot go on: {_0}")]
    Trial(TrialError),
}

impl CommandError {
    /// Returns the exit code that tells it.
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
