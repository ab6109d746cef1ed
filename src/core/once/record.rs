//! The record format of a `once` stream.

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

/// The content of one record: the entries of one append, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Batch(pub Vec<Entry>);

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Entry {
    /// A boot asks to be the only sender of a call.
    Claim(Claim),
    /// The sender records how the call ended.
    Outcome(Outcome),
    /// A boot declares that it has not sent the call under an attempt and never will.
    Release(Release),
    /// The home of the stream writes down its state.
    Snapshot(Snapshot),
}

/// A claim on a key. The first one in log order wins.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The calling team. Not used by the fold; it is there for people who read the log.
    pub team: Team,
    /// The key that is claimed.
    pub key: KeyId,
    /// The digest of the call, to which the claim binds the key.
    pub call: CallDigest,
    /// The boot that claims the key.
    pub holder: Holder,
    /// The attempt, by which a claim that is appended twice is recognized.
    pub attempt: Attempt,
    /// The time in the key, or the time of the claim if the key is opaque.
    pub time: Millis,
    /// Whether the key is opaque, that is, contains no time.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub opaque: bool,
}

/// The recorded end of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The key of the call.
    pub key: KeyId,
    /// The boot that sent the call.
    pub holder: Holder,
    /// The attempt under which it was sent.
    pub attempt: Attempt,
    /// What is recorded of the answer.
    pub answer: Answer,
}

/// What is recorded of the answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Answer {
    /// The full answer; its body has at most [`super::ANSWER_BYTES`] bytes.
    Small {
        /// The HTTP status that a replay repeats.
        status: u16,
        /// The headers that a replay repeats.
        headers: Vec<Header>,
        /// The body that a replay repeats.
        body: Body,
    },
    /// The call ran, but its answer was too large to record or has been dropped since.
    Large {
        /// The HTTP status of the answer.
        status: u16,
        /// The digest of the body that is not kept.
        digest: CallDigest,
    },
    /// The call ended without an answer and may have run.
    NotKnown,
}

/// A header of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The header's name, as in HTTP.
    pub name: Arc<str>,
    /// The header's value as text.
    pub value: Arc<str>,
}

/// A recorded body, serialized as base64 text.
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

/// An attempt that was given up before the call was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// The key that was claimed.
    pub key: KeyId,
    /// The boot that made the attempt.
    pub holder: Holder,
    /// The attempt. From here on it and all earlier attempts of the holder on the key are void.
    pub attempt: Attempt,
    /// The time of the claim, which decides how long the release is remembered.
    pub time: Millis,
}

/// One part of a snapshot of a shard, from which the fold can start without earlier records.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The boot that wrote the snapshot.
    pub holder: Holder,
    /// The offset of the last record that the snapshot covers.
    pub upto: Offset,
    /// Keys with an earlier time are neither remembered nor admitted.
    pub floor: Millis,
    /// Claims on opaque keys with an earlier time are not admitted.
    pub opaque: Millis,
    /// The number of this part, from 0.
    pub part: u32,
    /// The number of parts of the snapshot.
    pub parts: u32,
    /// The keys in this part.
    pub rows: Vec<Row>,
}

/// The state of one key in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The key that was claimed or released.
    pub key: KeyId,
    /// The boot whose claim won or whose attempts are void.
    pub holder: Holder,
    /// The attempt that won, or the last one that is void.
    pub attempt: Attempt,
    /// The time of the claim.
    pub time: Millis,
    /// Whether the key is claimed or the attempts are void.
    pub state: RowState,
}

/// The state of a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RowState {
    /// A claim holds the key.
    Claimed {
        /// The digest of the call to which the key is bound.
        call: CallDigest,
        /// The offset of the record with the claim.
        offset: Offset,
        /// The outcome, or `None` while the log has none.
        answer: Option<Answer>,
    },
    /// The holder's attempts up to [`Row::attempt`] are void.
    Void,
}

/// Identifies an entry, so that a repeated one is recognized.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ident {
    /// The key that the entry is about.
    pub key: KeyId,
    /// The boot that proposed the entry.
    pub holder: Holder,
    /// The attempt that the entry claims, ends or releases.
    pub attempt: Attempt,
    /// Whether the entry is a claim; `false` for an outcome or a release.
    pub claim: bool,
}

impl Answer {
    /// Returns the size of the recorded body in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        match self {
            Self::Small { body, .. } => body.len(),
            Self::Large { .. } | Self::NotKnown => 0,
        }
    }

    /// Returns whether no body is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Entry {
    /// Returns the size of the recorded body in the entry, in bytes.
    #[must_use]
    pub fn body_len(&self) -> usize {
        match self {
            Self::Outcome(outcome) => outcome.answer.len(),
            Self::Claim(_) | Self::Release(_) | Self::Snapshot(_) => 0,
        }
    }

    /// Returns the identity of the entry, or `None` for a snapshot.
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
    /// Returns the recorded outcome, or `None` if there is none yet or the attempts are void.
    #[must_use]
    pub fn answer(&self) -> Option<&Answer> {
        match &self.state {
            RowState::Claimed { answer, .. } => answer.as_ref(),
            RowState::Void => None,
        }
    }
}
