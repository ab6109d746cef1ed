//! The digest that identifies a request's content, whichever caller sends it to whichever VM.

use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Result as FmtResult;
use std::str::FromStr;

use derive_more::Display as DeriveDisplay;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::names::ServiceName;

/// The length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a request's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Returns the digest of a request with this model and these prompt tokens.
    ///
    /// The team, the VM and the idempotency key are not part of it, so that a repeated request is
    /// recognized even if these change.
    pub fn of(model: &ServiceName, prompt: &[u32]) -> Self {
        let mut hash = Sha256::new();
        hash.update((model.len() as u64).to_be_bytes());
        hash.update(model.as_str());
        for token in prompt {
            hash.update(token.to_be_bytes());
        }
        Self(hash.finalize().into())
    }

    /// Returns the digest of a call as its team sent it: method, path with query, and body.
    ///
    /// The names of the VM and of the caller's attempt are not part of it, so that a call which is
    /// sent again is recognized.
    pub fn of_call(team: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [team.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }

    /// Returns the first 64 bits of the digest as hexadecimal digits, for logs.
    pub fn short(&self) -> String {
        format!("{:016x}", self.key())
    }

    /// Returns the first 64 bits of the digest, as the key for rendezvous hashing.
    pub fn key(&self) -> u64 {
        let first = self.0.iter().take(size_of::<u64>());
        first.fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

impl Display for RequestDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// The error for a text that is not a digest of the right length in hexadecimal digits.
#[derive(Clone, Copy, Debug, DeriveDisplay, Error, PartialEq, Eq)]
#[display("not {} hexadecimal digits", 2 * DIGEST_BYTES)]
pub struct DigestError;

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 2 * DIGEST_BYTES {
            return Err(DigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = parse_digit(pair[0])? << 4 | parse_digit(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

fn parse_digit(text: u8) -> Result<u8, DigestError> {
    let value = char::from(text).to_digit(16).ok_or(DigestError)?;
    Ok(value as u8)
}

impl From<RequestDigest> for String {
    fn from(digest: RequestDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for RequestDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
