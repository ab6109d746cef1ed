//! The JSON messages between a daemon and a model engine (docs/SESSIONS.md).
//!
//! `POST /v1/hops` carries one [`Hop`]; the answer is a stream of lines, each one [`HopReply`].
//! `POST /v1/releases` carries one [`Release`]. A refusal is an HTTP error status with a
//! [`HopError`] as its body. Each reply repeats the fields of the hop that it answers, because
//! connections are reused and an answer may arrive late or on the wrong connection.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::core::config::object::Layers;

/// The id of a session, unique across all VMs and their restarts.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{boot:x}-{serial:x}")]
#[serde(into = "String", try_from = "String")]
pub struct SessionId {
    /// The random number that the daemon drew when it started.
    pub boot: u64,
    /// The number of sessions that the daemon started up to this one, itself included.
    pub serial: u64,
}

/// Why a text is not a valid session id.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum SessionIdError {
    /// The hyphen between boot and serial is missing.
    #[display("the session id has no hyphen")]
    #[from(skip)]
    Hyphen,
    /// A part is not a 64-bit hexadecimal number.
    #[display("not a hexadecimal number: {_0}")]
    Number(ParseIntError),
}

impl FromStr for SessionId {
    type Err = SessionIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (boot, serial) = text.split_once('-').ok_or(SessionIdError::Hyphen)?;
        Ok(Self {
            boot: u64::from_str_radix(boot, 16)?,
            serial: u64::from_str_radix(serial, 16)?,
        })
    }
}

impl From<SessionId> for String {
    fn from(id: SessionId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for SessionId {
    type Error = SessionIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// A request to run one range of layers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hop {
    /// The session that the hop belongs to.
    pub session: SessionId,
    /// The attempt of the session; the engine keeps a separate KV cache for each attempt.
    pub attempt: u32,
    /// The index of the token that the hop produces or contributes to; 0 is the first after the
    /// prompt.
    pub token: u32,
    /// The layers to run; the engine must hold all of them.
    pub layers: Layers,
    /// How many tokens to stream at most, one line each; more than 1 only if `layers` covers the
    /// whole model.
    pub steps: u32,
    /// The sampling seed. The randomness for token `n` depends only on the seed and `n`, so that
    /// another attempt generates the same tokens.
    #[serde(default)]
    pub seed: u64,
    /// The input of the first of the layers.
    pub input: Input,
}

/// The header in which an engine names the hop that it refuses, as [`Hop::name`] returns it.
pub const HOP_HEADER: &str = "x-hop";

impl Hop {
    /// Returns the text by which an answer names the hop in [`HOP_HEADER`].
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}/{}/{}", self.session, self.attempt, self.token)
    }
}

/// The input of a hop's layers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Input {
    /// The prompt and the tokens generated so far, for the prefill on the first leg.
    Prompt {
        /// The token ids, the prompt first.
        tokens: Vec<u32>,
    },
    /// The last generated token, for a decode step on the first leg.
    Token {
        /// The token id.
        value: u32,
    },
    /// The output of the previous leg, for every later leg.
    State {
        /// The activations, in a form that only engines interpret.
        data: String,
        /// The number of positions they cover: all of them at the prefill, 1 at a decode step.
        positions: u32,
    },
}

/// One line of an engine's answer to a [`Hop`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HopReply {
    /// The session of the hop.
    pub session: SessionId,
    /// The attempt of the hop.
    pub attempt: u32,
    /// The index of the token that this line contains or contributes to.
    pub token: u32,
    /// The layers that ran, each exactly once.
    pub layers: Layers,
    /// The output of the last of the layers.
    pub output: Output,
}

/// The output of a range of layers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Output {
    /// The input of the next leg.
    State {
        /// The activations, in a form that only engines interpret.
        data: String,
    },
    /// The token that the last leg sampled.
    Token {
        /// The token id.
        value: u32,
        /// Whether the answer ends with this token, which is still sent to the caller.
        end: bool,
    },
}

/// A request to stop a session's work on an engine and to free its KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// The session to free.
    pub session: SessionId,
    /// The last attempt to free; later attempts are kept, so a delayed release is harmless.
    pub attempt: u32,
}

/// The response body of a refused [`Hop`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HopError {
    /// The reason for the refusal.
    pub error: Refusal,
    /// A human-readable sentence; may be empty.
    #[serde(default)]
    pub message: String,
}

/// Why an engine refused a hop. No layer has run in any of the cases.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The engine is full or shutting down; another engine may run the hop. Status 503.
    Unrun,
    /// The engine no longer has the KV cache of the attempt. Status 410.
    Lost,
    /// The hop is malformed, or the engine does not hold its layers. Status 400.
    Bad,
}

impl Refusal {
    /// Returns the HTTP status to send with the refusal.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Unrun => 503,
            Self::Lost => 410,
            Self::Bad => 400,
        }
    }
}
