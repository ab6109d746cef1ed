//! Event ids, by which a caller resumes its stream on any VM (docs/SESSIONS.md).
//!
//! No VM keeps anything for a stream that it lost. So the id carries what another one needs to
//! show that its regenerated answer is the same: the index, the seed and a digest.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use sha2::Digest;
use sha2::Sha256;

/// The longest text of an event id, in bytes: three hexadecimal numbers and two hyphens.
pub const EVENT_ID_BYTES: usize = 8 + 1 + 16 + 1 + 16;

/// The id of one token in a stream of server-sent events.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display("{index:x}-{digest:x}-{seed:x}")]
pub struct EventId {
    /// The index of the token.
    pub index: u32,
    /// The digest of the prompt, the seed and every token up to this one.
    pub digest: u64,
    /// The seed of the sampling.
    pub seed: u64,
}

/// An event id that cannot be read.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum EventIdError {
    /// The text is longer than any event id.
    #[display("longer than {EVENT_ID_BYTES} bytes")]
    #[from(skip)]
    TooLong,
    /// There are not three parts.
    #[display("not three numbers with hyphens between them")]
    #[from(skip)]
    PartCount,
    /// A part is no hexadecimal number of its size.
    #[display("not a hexadecimal number: {_0}")]
    Number(ParseIntError),
    /// The numbers are not written as this project writes them.
    #[display("not written in the usual form")]
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

/// The digest of a stream, carried on from token to token.
///
/// It chains truncated SHA-256 values rather than keep a hasher's state, which is 14 times as
/// large, for each open stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RollingDigest(u64);

impl RollingDigest {
    /// Starts with what decides the tokens.
    pub fn new(seed: u64, prompt: &[u32]) -> Self {
        let mut hash = Sha256::new();
        hash.update(seed.to_be_bytes());
        for token in prompt {
            hash.update(token.to_be_bytes());
        }
        Self::truncate(hash)
    }

    /// Adds a token.
    #[must_use]
    pub fn with_token(self, token: u32) -> Self {
        let mut hash = Sha256::new();
        hash.update(self.0.to_be_bytes());
        hash.update(token.to_be_bytes());
        Self::truncate(hash)
    }

    /// Returns the digest as event ids carry it.
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
