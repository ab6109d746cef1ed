//! The records of a `once` stream.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use derive_more::Deref;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use super::id::Attempt;
use super::id::CallDigest;
use super::id::Holder;
use super::id::KeyId;
use super::id::Offset;
use crate::clock::Millis;
use crate::names::Team;

/// What one append carries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Batch(pub Vec<Entry>);

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Entry {
    /// A boot asks to be the one sender of a call.
    Claim(Claim),
    /// The sender records how the call ended.
    Outcome(Outcome),
    /// A boot declares that it has not sent under an attempt and never will.
    Release(Release),
    /// The home of the stream carries its state forward.
    Snapshot(Snapshot),
}

/// A claim on a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The calling team, for whoever reads the log.
    pub team: Team,
    /// The key.
    pub key: KeyId,
    /// The call that the key is bound to.
    pub call: CallDigest,
    /// Who claims.
    pub holder: Holder,
    /// The attempt, which makes a repeated append harmless.
    pub attempt: Attempt,
    /// The time in the key, or, for a key without one, of the claim.
    pub time: Millis,
    /// Whether the key has no time of its own.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub opaque: bool,
}

/// The end of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The key.
    pub key: KeyId,
    /// Who sent the call.
    pub holder: Holder,
    /// The attempt that it was sent under.
    pub attempt: Attempt,
    /// How it ended.
    pub answer: Answer,
}

/// What is recorded of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Answer {
    /// The whole answer; its body is at most [`super::ANSWER_BYTES`] long.
    Small {
        /// The HTTP status.
        status: u16,
        /// The headers that a replay repeats.
        headers: Vec<Header>,
        /// The body.
        body: Body,
    },
    /// The call ran, but its answer was too large to record.
    Large {
        /// The HTTP status.
        status: u16,
        /// The digest of the body.
        digest: CallDigest,
    },
    /// The call may have run.
    NotKnown,
}

/// A header of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Its name.
    pub name: Arc<str>,
    /// Its value.
    pub value: Arc<str>,
}

/// A recorded body; as text it is in base 64.
#[derive(Clone, Debug, Default, Deref, From, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Body(pub Bytes);

impl From<Body> for String {
    fn from(body: Body) -> Self {
        STANDARD.encode(&body.0)
    }
}

impl TryFrom<String> for Body {
    type Error = base64::DecodeError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        STANDARD.decode(text).map(|bytes| Self(bytes.into()))
    }
}

/// An attempt given up unsent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// The key.
    pub key: KeyId,
    /// Whose attempt.
    pub holder: Holder,
    /// The attempt; it and all before it by the holder on the key are void from here on.
    pub attempt: Attempt,
    /// The time of the claim, which says how long the release is remembered.
    pub time: Millis,
}

/// One part of a shard's state, carried forward.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Who wrote it.
    pub holder: Holder,
    /// The last record that is folded in.
    pub upto: Offset,
    /// The time before which no key is remembered, nor admitted.
    pub floor: Millis,
    /// The time before which no claim on a key without a time is admitted.
    pub opaque: Millis,
    /// The number of the part, from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
    /// The keys.
    pub rows: Vec<Row>,
}

/// One key of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The key.
    pub key: KeyId,
    /// Whose claim won, or whose attempts are void.
    pub holder: Holder,
    /// The attempt.
    pub attempt: Attempt,
    /// The time of the claim.
    pub time: Millis,
    /// What is known of the key.
    pub state: RowState,
}

/// What a snapshot knows of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RowState {
    /// Claimed for a call at an offset, with an outcome once there is one.
    Claimed {
        /// The call.
        call: CallDigest,
        /// Where the claim won.
        offset: Offset,
        /// The outcome.
        answer: Option<Answer>,
    },
    /// The holder's attempts up to the row's are void.
    Void,
}

/// What tells an entry from others, so that a repeated one is known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ident {
    /// The key.
    pub key: KeyId,
    /// Whose entry.
    pub holder: Holder,
    /// The attempt.
    pub attempt: Attempt,
    /// Whether it is a claim, and not an outcome or a release.
    pub claim: bool,
}

impl Answer {
    /// Returns the bytes of the body that is recorded.
    #[must_use]
    pub fn len(&self) -> usize {
        match self {
            Self::Small { body, .. } => body.len(),
            Self::Large { .. } | Self::NotKnown => 0,
        }
    }

    /// Says whether no body is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Entry {
    /// Returns the bytes of recorded body that the entry carries.
    #[must_use]
    pub fn body_len(&self) -> usize {
        match self {
            Self::Outcome(outcome) => outcome.answer.len(),
            Self::Claim(_) | Self::Release(_) | Self::Snapshot(_) => 0,
        }
    }

    /// Returns what tells the entry from others; a snapshot has no ident.
    #[must_use]
    pub fn ident(&self) -> Option<Ident> {
        let (key, holder, attempt, claim) = match self {
            Self::Claim(claim) => (claim.key, &claim.holder, claim.attempt, true),
            Self::Outcome(outcome) => (outcome.key, &outcome.holder, outcome.attempt, false),
            Self::Release(release) => (release.key, &release.holder, release.attempt, false),
            Self::Snapshot(_) => return None,
        };
        Some(Ident {
            key,
            holder: holder.clone(),
            attempt,
            claim,
        })
    }
}

impl Row {
    /// Returns the recorded outcome.
    #[must_use]
    pub fn answer(&self) -> Option<&Answer> {
        match &self.state {
            RowState::Claimed { answer, .. } => answer.as_ref(),
            RowState::Void => None,
        }
    }
}
