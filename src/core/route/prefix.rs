//! An estimate of what an endpoint's prefix cache holds.
//!
//! Cache events arrive late and with gaps, so the estimate only influences the choice among
//! endpoints. It is never a reason to skip work.

use std::collections::BTreeSet;
use std::collections::VecDeque;

/// The most blocks tracked for one endpoint; the oldest is dropped first.
const MAX_BLOCKS: usize = 256;
/// The number of tokens in one block.
pub const BLOCK_TOKENS: u32 = 16;

/// A change of an endpoint's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The block with this hash was stored; a block's hash covers all blocks before it.
    Stored(u64),
    /// The block with this hash was evicted.
    Evicted(u64),
    /// The whole cache was cleared, or events were missed.
    Cleared,
}

/// The blocks that one endpoint probably has in its cache.
#[derive(Clone, Debug, Default)]
pub struct PrefixSet {
    insertion_order: VecDeque<u64>,
    held: BTreeSet<u64>,
}

impl PrefixSet {
    /// Updates the set by an event that the endpoint reported.
    pub fn apply(&mut self, event: &CacheEvent) {
        match event {
            CacheEvent::Stored(hash) => self.store(*hash),
            CacheEvent::Evicted(hash) => {
                self.held.remove(hash);
                self.insertion_order.retain(|one| one != hash);
            }
            CacheEvent::Cleared => *self = Self::default(),
        }
    }

    fn store(&mut self, hash: u64) {
        if !self.held.insert(hash) {
            return;
        }
        self.insertion_order.push_back(hash);
        if self.insertion_order.len() > MAX_BLOCKS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.held.remove(&oldest);
        }
    }

    /// Returns how many leading tokens of a prompt are probably cached. The prompt is given by the
    /// hashes of its blocks.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &[u64]) -> u32 {
        let blocks = prompt.iter().take_while(|hash| self.held.contains(hash));
        u32::try_from(blocks.count())
            .unwrap_or(u32::MAX)
            .saturating_mul(BLOCK_TOKENS)
    }
}
