//! Snapshots of a state, which keep it available after the log has dropped its first records.
//!
//! A snapshot is the canonical document of a state, split into parts that each fit into a record. A
//! state is loaded only from a complete set of parts with a matching digest. A state never returns
//! to an older one, so a late snapshot is harmless.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::core::config::change::Offset;
use crate::core::config::content::Content;
use crate::core::config::object::Digest;
use crate::core::config::state::State;

/// The format version of the document. A release reads only its own.
pub const SNAPSHOT_FORMAT: u32 = 1;
/// The maximum size of the document text in one part, in bytes.
///
/// JSON escaping at most doubles it, so the part still fits into a record.
pub const MAX_PART_BYTES: usize = 120 * 1024;
/// The maximum number of parts of a snapshot.
pub const MAX_SNAPSHOT_PARTS: u32 = 512;
/// The maximum number of incomplete snapshots that a [`Loader`] keeps.
pub const MAX_INCOMPLETE_SNAPSHOTS: usize = 2;

/// A complete snapshot of a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The offset of the last record that it covers.
    pub covers: Offset,
    /// The digest of the document, which equals [`State::digest`].
    pub digest: Digest,
    text: String,
}

/// A part of a snapshot, as stored in one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The offset of the last record that the snapshot covers.
    pub covers: Offset,
    /// The digest of the whole document.
    pub digest: Digest,
    /// The number of this part, counted from 0.
    pub number: u32,
    /// The number of parts of the snapshot.
    pub count: u32,
    /// This part's piece of the document.
    pub text: Arc<str>,
}

/// The reason why a snapshot cannot be written or loaded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The state has folded no record yet.
    #[display("the state has no record yet")]
    Empty,
    /// The state skipped records that this release cannot read.
    #[display("the state skipped {skipped} records that this release cannot read")]
    Incomplete {
        /// The number of skipped records.
        skipped: u64,
    },
    /// The document would need more than [`MAX_SNAPSHOT_PARTS`] parts.
    #[display("the state has {bytes} bytes, too many for a snapshot")]
    TooLarge {
        /// The size of the document, in bytes.
        bytes: usize,
    },
    /// The document does not have the digest that its parts name.
    #[display("the digest of the snapshot does not fit")]
    Digest,
    /// The document has another format, or covers another offset than its parts name.
    #[display("the snapshot is not one that this release can read")]
    Format,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    format: u32,
    next: Offset,
    content: Content,
}

impl Snapshot {
    /// Takes a snapshot of a state.
    ///
    /// # Errors
    ///
    /// Returns a [`SnapshotError`] if the state has folded no record, skipped one, or is too large.
    pub fn of(state: &State) -> Result<Self, SnapshotError> {
        let covers = state.offset().ok_or(SnapshotError::Empty)?;
        if state.skipped() > 0 {
            let skipped = state.skipped();
            return Err(SnapshotError::Incomplete { skipped });
        }
        let document = state.document();
        let digest = Digest::of(&document);
        let text = String::from_utf8(document).map_err(|_| SnapshotError::Format)?;
        let bytes = text.len();
        if bytes > MAX_PART_BYTES / 2 * MAX_SNAPSHOT_PARTS as usize {
            return Err(SnapshotError::TooLarge { bytes });
        }
        Ok(Self {
            covers,
            digest,
            text,
        })
    }

    /// Splits the snapshot into parts.
    pub fn parts(&self) -> Vec<Part> {
        let slices = split_text(&self.text);
        let count = slices.len() as u32;
        let parts = slices.into_iter().zip(0..).map(|(text, number)| Part {
            covers: self.covers,
            digest: self.digest.clone(),
            number,
            count,
            text: text.into(),
        });
        parts.collect()
    }

    /// Restores the state from the document.
    ///
    /// # Errors
    ///
    /// Returns a [`SnapshotError`] if the digest, the format or the offset does not match.
    pub fn load(&self) -> Result<State, SnapshotError> {
        if Digest::of(&self.text) != self.digest {
            return Err(SnapshotError::Digest);
        }
        let document: Document =
            serde_json::from_str(&self.text).map_err(|_| SnapshotError::Format)?;
        if document.format != SNAPSHOT_FORMAT || document.next != self.covers.next() {
            return Err(SnapshotError::Format);
        }
        Ok(State::from_content(document.next, document.content))
    }
}

/// Splits a text at character boundaries into slices of at most [`MAX_PART_BYTES`].
fn split_text(text: &str) -> Vec<&str> {
    let mut slices = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (slice, tail) = rest.split_at(rest.floor_char_boundary(MAX_PART_BYTES));
        slices.push(slice);
        rest = tail;
    }
    slices
}

/// Assembles snapshots from parts that arrive in any order.
#[derive(Debug, Default)]
pub struct Loader {
    incomplete: BTreeMap<SnapshotKey, PartTexts>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotKey {
    covers: Offset,
    digest: Digest,
    count: u32,
}

type PartTexts = BTreeMap<u32, Arc<str>>;

impl Loader {
    /// Creates a loader without parts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a part, and returns the snapshot if this was its last missing part.
    ///
    /// Above [`MAX_INCOMPLETE_SNAPSHOTS`] incomplete snapshots, the oldest is dropped.
    pub fn offer(&mut self, part: &Part) -> Option<Snapshot> {
        if part.number >= part.count || part.count > MAX_SNAPSHOT_PARTS {
            return None;
        }
        let key = SnapshotKey {
            covers: part.covers,
            digest: part.digest.clone(),
            count: part.count,
        };
        let texts = self.incomplete.entry(key.clone()).or_default();
        texts.insert(part.number, Arc::clone(&part.text));
        if texts.len() < part.count as usize {
            self.drop_oldest();
            return None;
        }
        let texts = self.incomplete.remove(&key)?;
        Some(Snapshot {
            covers: key.covers,
            digest: key.digest,
            text: texts.values().map(AsRef::as_ref).collect(),
        })
    }

    fn drop_oldest(&mut self) {
        while self.incomplete.len() > MAX_INCOMPLETE_SNAPSHOTS {
            self.incomplete.pop_first();
        }
    }
}
