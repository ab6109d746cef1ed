//! The KV cache of an engine, with one entry per attempt of a session.

use std::collections::BTreeMap;

use crate::core::session::wire::Release;
use crate::core::session::wire::SessionId;

/// Identifies an attempt of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    pub(super) session: SessionId,
    pub(super) attempt: u32,
}

/// The cached state of an attempt.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// The index of the next token.
    pub(super) next: u32,
    /// All tokens so far; empty unless the engine holds the first layer.
    pub(super) tokens: Vec<u32>,
    /// The number of cache positions in use.
    pub(super) positions: usize,
    last_use: u64,
}

impl Entry {
    /// Creates the entry of an attempt whose next token has the index `next`.
    pub(super) fn new(next: u32, tokens: Vec<u32>) -> Self {
        Self {
            next,
            tokens,
            positions: 0,
            last_use: 0,
        }
    }
}

/// A cache with a limit on positions, which evicts the least recently used entry.
#[derive(Debug)]
pub(super) struct Cache {
    limit: usize,
    used_positions: usize,
    uses: u64,
    entries: BTreeMap<Key, Entry>,
}

impl Cache {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            used_positions: 0,
            uses: 0,
            entries: BTreeMap::new(),
        }
    }

    pub(super) fn free(&self) -> u32 {
        self.limit.saturating_sub(self.used_positions) as u32
    }

    pub(super) fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Stores an entry after a step, and evicts others if the limit is exceeded.
    pub(super) fn put(&mut self, key: Key, mut entry: Entry) {
        self.remove(&key);
        self.uses += 1;
        entry.last_use = self.uses;
        self.used_positions += entry.positions;
        self.entries.insert(key, entry);
        while self.used_positions > self.limit && self.entries.len() > 1 {
            self.evict();
        }
    }

    /// Removes and returns an entry.
    pub(super) fn remove(&mut self, key: &Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.used_positions -= entry.positions;
        Some(entry)
    }

    /// Removes all attempts of the session up to and including the released one.
    pub(super) fn release(&mut self, release: Release) {
        let session = release.session;
        let from = Key {
            session,
            attempt: 0,
        };
        let to = Key {
            session,
            attempt: release.attempt,
        };
        let keys: Vec<Key> = self.entries.range(from..=to).map(|(key, _)| *key).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn evict(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.last_use)
            .map(|(key, _)| *key);
        if let Some(key) = oldest {
            self.remove(&key);
        }
    }
}
