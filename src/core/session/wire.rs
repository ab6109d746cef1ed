//! The JSON between a daemon and a model engine (docs/SESSIONS.md).
//!
//! `POST /v1/hops` carries one [`Hop`]; the answer is a stream of lines, each one [`HopReply`].
//! `POST /v1/releases` carries one [`Release`]. A refusal comes as an HTTP status with a
//! [`HopError`]. Each reply echoes what it answers, because connections are reused and answers
//! can come late or crossed.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::core::config::object::Layers;

/// The name of a session, unique over every boot of every VM.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{boot:x}-{serial:x}")]
#[serde(into = "String", try_from = "String")]
pub struct SessionId {
    /// The random number that the daemon drew when it started.
    pub boot: u64,
    /// The count of sessions since then.
    pub serial: u64,
}

/// A session's name that cannot be read.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum SessionIdError {
    /// The hyphen between boot and serial is missing.
    #[display("no hyphen in the session's name")]
    #[from(skip)]
    Hyphen,
    /// A part is no hexadecimal number of 64 bits.
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

/// The order to run one range of layers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hop {
    /// The session that the hop belongs to.
    pub session: SessionId,
    /// The attempt of the session; the engine keeps the KV cache of each attempt apart.
    pub attempt: u32,
    /// The index of the token that the hop works towards; 0 is the first after the prompt.
    pub token: u32,
    /// The layers to run, all of which the engine holds.
    pub layers: Layers,
    /// How many tokens to stream, one line each, unless one of them ends the answer; more than 1
    /// only where `layers` covers the whole model.
    pub steps: u32,
    /// The seed of the sampling. Token `n` is drawn from the seed and `n` alone, so that another
    /// attempt draws the same tokens.
    #[serde(default)]
    pub seed: u64,
    /// What the layers run on.
    pub input: Input,
}

/// What a hop's layers run on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Input {
    /// The prompt and the tokens given so far, for the prefill of a first leg.
    Prompt {
        /// The token ids.
        tokens: Vec<u32>,
    },
    /// The token given last, for a decode step of a first leg.
    Token {
        /// Its id.
        value: u32,
    },
    /// What the leg before put out, for every later leg.
    State {
        /// The opaque activations.
        data: String,
        /// How many positions they cover: all at the prefill, else 1.
        positions: u32,
    },
}

/// One line of an engine's answer to a [`Hop`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HopReply {
    /// The hop's session.
    pub session: SessionId,
    /// The hop's attempt.
    pub attempt: u32,
    /// The index of the token that this line worked towards.
    pub token: u32,
    /// The layers that ran, once each.
    pub layers: Layers,
    /// What they put out.
    pub output: Output,
}

/// What a range of layers puts out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Output {
    /// The input of the next leg.
    State {
        /// The opaque activations.
        data: String,
    },
    /// The token that the last leg drew.
    Token {
        /// Its id.
        value: u32,
        /// Whether the answer ends with it; it is given to the caller all the same.
        end: bool,
    },
}

/// The order to stop a session's work on an engine and to free its KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// The session to free.
    pub session: SessionId,
    /// The last attempt to free; a later one stays, so that a late release harms nothing.
    pub attempt: u32,
}

/// The body of a refused [`Hop`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HopError {
    /// Why the engine did not run it.
    pub error: Refusal,
    /// One sentence for a person.
    #[serde(default)]
    pub message: String,
}

/// Why an engine did not run a hop; in none of the cases did a layer run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The engine is full or leaving; another may take the hop. Status 503.
    Unrun,
    /// The engine no longer has the KV cache of the attempt. Status 410.
    Lost,
    /// The hop is malformed, or its layers are not held here. Status 400.
    Bad,
}

impl Refusal {
    /// Returns the HTTP status that carries the refusal.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Unrun => 503,
            Self::Lost => 410,
            Self::Bad => 400,
        }
    }
}
