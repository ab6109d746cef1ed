//! Event ids, with which a caller resumes its stream on any VM (docs/SESSIONS.md).
//!
//! VMs keep no state for a broken stream. The id therefore carries what any VM needs to regenerate
//! the answer and to verify that it is the same: the token's index, the seed and a digest.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use sha2::Digest;
use sha2::Sha256;

/// The maximum length of an event id, in bytes: three hexadecimal numbers and two hyphens.
pub const EVENT_ID_BYTES: usize = 8 + 1 + 16 + 1 + 16;

/// The id of one token in a stream of server-sent events.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display("{index:x}-{digest:x}-{seed:x}")]
pub struct EventId {
    /// The index of the token in the answer, counted from 0.
    pub index: u32,
    /// The [`RollingDigest`] of the seed, the prompt and every token up to this one.
    pub digest: u64,
    /// The sampling seed of the answer.
    pub seed: u64,
}

/// Why a text is not a valid event id.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum EventIdError {
    /// The text is longer than [`EVENT_ID_BYTES`].
    #[display("longer than {EVENT_ID_BYTES} bytes")]
    #[from(skip)]
    TooLong,
    /// The text has fewer than three parts.
    #[display("not three numbers with hyphens between them")]
    #[from(skip)]
    PartCount,
    /// A part is not a hexadecimal number or does not fit its type.
    #[display("not a hexadecimal number: {_0}")]
    Number(ParseIntError),
    /// The numbers are not in the form that `Display` writes, for example with leading zeros.
    #[display("not in canonical form")]
    #[from(skip)]
    NotCanonical,
}

impl FromStr for EventId {
    type Err = EventIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > EVENT_ID_BYTES {
            return Err(EventIdError::TooLong);
        }
        let mut parts = text.splitn(3, '-');
        let mut part = || parts.next().ok_or(EventIdError::PartCount);
        let (index, digest, seed) = (part()?, part()?, part()?);
        let event = Self {
            index: u32::from_str_radix(index, 16)?,
            digest: u64::from_str_radix(digest, 16)?,
            seed: u64::from_str_radix(seed, 16)?,
        };
        if event.to_string() == text {
            Ok(event)
        } else {
            Err(EventIdError::NotCanonical)
        }
    }
}

/// A digest of a stream's seed, prompt and tokens, updated with each token.
///
/// It chains truncated SHA-256 values, because the state of a hasher is 14 times as large and
/// every open stream would need one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RollingDigest(u64);

impl RollingDigest {
    /// Returns the digest before the first token.
    pub fn new(seed: u64, prompt: &[u32]) -> Self {
        let mut hash = Sha256::new();
        hash.update(seed.to_be_bytes());
        for token in prompt {
            hash.update(token.to_be_bytes());
        }
        Self::truncate(hash)
    }

    /// Returns the digest with one more token.
    #[must_use]
    pub fn with_token(self, token: u32) -> Self {
        let mut hash = Sha256::new();
        hash.update(self.0.to_be_bytes());
        hash.update(token.to_be_bytes());
        Self::truncate(hash)
    }

    /// Returns the digest as a number, for event ids.
    #[must_use]
    pub fn value(self) -> u64 {
        self.0
    }

    fn truncate(hash: Sha256) -> Self {
        let bytes = hash.finalize();
        let first = bytes.iter().take(size_of::<u64>());
        Self(first.fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}
