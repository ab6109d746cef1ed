//! The digest that identifies a part of a prompt, in whichever requests it occurs.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::names::ServiceName;

/// The number of tokens by which the prefixes of a prompt grow.
const BLOCK_TOKENS: usize = 16;
/// The largest number of prefixes of a prompt, which bounds the work for a long one.
const MAX_BLOCKS: usize = 64;

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
        Self::finish(hash)
    }

    /// Returns the digests of a prompt's prefixes of 1 to [`MAX_BLOCKS`] blocks, without the whole
    /// prompt. They stand for the parts of a prompt of tokens, whose parts callers do not name.
    ///
    /// Prompts that have a part in common after the same prefix also share the prefix that includes
    /// it.
    pub fn prefixes(service: &ServiceName, prompt: &[u32]) -> Vec<Self> {
        let mut hash = Sha256::new();
        hash.update((service.len() as u64).to_be_bytes());
        hash.update(service.as_str());
        let blocks = prompt.len().saturating_sub(1) / BLOCK_TOKENS;
        let blocks = prompt.chunks(BLOCK_TOKENS).take(blocks.min(MAX_BLOCKS));
        let digests = blocks.map(|block| {
            for token in block {
                hash.update(token.to_be_bytes());
            }
            Self::finish(hash.clone())
        });
        digests.collect()
    }

    fn finish(hash: Sha256) -> Self {
        let bytes: [u8; 32] = hash.finalize().into();
        let first = bytes.iter().take(size_of::<u64>());
        Self(first.fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }

    /// Returns the key for rendezvous hashing.
    pub const fn key(self) -> u64 {
        self.0
    }
}
