//! The digest that identifies a part of a prompt, in whichever requests it occurs.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::names::ServiceName;

/// The first 64 bits of the SHA-256 digest of a part of a prompt and of the service that runs it,
/// since a part that crashes the engines of one service may be harmless to those of another.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct PartDigest(u64);

impl PartDigest {
    /// Returns the digest of the part that callers name `id`.
    pub fn of(service: &ServiceName, id: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update((service.len() as u64).to_be_bytes());
        hash.update(service.as_str());
        hash.update(id);
        let bytes: [u8; 32] = hash.finalize().into();
        let first = bytes.iter().take(size_of::<u64>());
        Self(first.fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }

    /// Returns the key for rendezvous hashing.
    pub const fn key(self) -> u64 {
        self.0
    }
}
