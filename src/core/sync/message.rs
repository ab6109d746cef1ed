//! The messages between daemons that carry records of the `config` stream.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// One record of the stream; its content is opaque to this module.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The record's position in the stream.
    #[serde(rename = "o")]
    pub offset: u64,
    /// The encoded content.
    #[serde(rename = "d")]
    pub data: Arc<str>,
}

/// All records of the stream whose offsets lie in `from..next`. Offsets may have gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The first offset that the batch covers.
    pub from: u64,
    /// The offset after the last that the batch covers.
    pub next: u64,
    /// The records, in increasing order of offsets.
    pub records: Vec<Record>,
}

impl Batch {
    /// Returns whether the records are in order and within `from..next`.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let ordered = self
            .records
            .windows(2)
            .all(|pair| pair[0].offset < pair[1].offset);
        let inside = |record: &Record| (self.from..self.next).contains(&record.offset);
        self.from <= self.next && ordered && self.records.iter().all(inside)
    }
}

/// A message that requests or carries records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Message {
    /// Asks for the records from an offset on.
    Want {
        /// The first offset that the sender lacks.
        from: u64,
    },
    /// Carries records, either requested or newly pushed.
    Records(Batch),
    /// Answers a [`Message::Want`] for records that the sender no longer keeps.
    Behind {
        /// The first offset that the sender keeps.
        first: u64,
    },
    /// A message added by a later release; it is ignored.
    #[serde(other)]
    Unknown,
}
