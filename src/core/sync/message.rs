//! The messages between daemons that carry records of the `config` stream.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// One record of the stream, which this module does not look into.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its offset in the stream.
    #[serde(rename = "o")]
    pub offset: u64,
    /// Its content.
    #[serde(rename = "d")]
    pub data: Arc<str>,
}

/// All records of the stream whose offsets lie in `from..next`. Offsets may have gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The first offset that the batch covers.
    pub from: u64,
    /// The offset after the last that it covers.
    pub next: u64,
    /// The records, in the order of offsets.
    pub records: Vec<Record>,
}

impl Batch {
    /// Says whether the records lie in the range that the batch claims, in order.
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

/// One message about records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Message {
    /// Asks for the records from an offset on.
    Want {
        /// The first offset that is wanted.
        from: u64,
    },
    /// Carries records, asked for or new.
    Records(Batch),
    /// Answers a [`Message::Want`] for records that the sender does not keep any more.
    Behind {
        /// The first offset that the sender keeps.
        first: u64,
    },
    /// A message of a later release.
    #[serde(other)]
    Unknown,
}
