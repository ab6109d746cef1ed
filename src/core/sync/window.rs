//! The last records of the stream, kept to answer peers' requests.

use std::collections::VecDeque;

use super::message::Batch;
use super::message::Record;

/// The most bytes of records kept, unless the newest record alone is larger.
const WINDOW_BYTES: usize = 1024 * 1024;
/// The most bytes of records in one message, unless a single record is larger.
const BATCH_BYTES: usize = 64 * 1024;

/// The records of the offsets from `first` on.
#[derive(Debug, Default)]
pub(super) struct Window {
    first: u64,
    bytes: usize,
    records: VecDeque<Record>,
}

impl Window {
    /// Drops all records and continues at offset `first`.
    pub(super) fn reset(&mut self, first: u64) {
        *self = Self {
            first,
            ..Self::default()
        };
    }

    /// Returns the first offset whose records are still kept.
    pub(super) fn first(&self) -> u64 {
        self.first
    }

    /// Adds the newest record and drops old ones beyond [`WINDOW_BYTES`].
    pub(super) fn push(&mut self, record: Record) {
        self.bytes += record.data.len();
        self.records.push_back(record);
        while self.bytes > WINDOW_BYTES && self.records.len() > 1 {
            let Some(old) = self.records.pop_front() else {
                break;
            };
            self.bytes -= old.data.len();
            self.first = old.offset + 1;
        }
    }

    /// Returns as many records from `from` on as one message may hold. `next` is the offset after
    /// the last delivered record.
    pub(super) fn batch(&self, from: u64, next: u64) -> Batch {
        let start = self.records.partition_point(|record| record.offset < from);
        let mut bytes = 0;
        let mut records: Vec<Record> = Vec::new();
        for record in self.records.range(start..) {
            bytes += record.data.len();
            if bytes > BATCH_BYTES && !records.is_empty() {
                break;
            }
            records.push(record.clone());
        }
        let whole = start + records.len() == self.records.len();
        let last = records.last().map_or(next, |record| record.offset + 1);
        Batch {
            from,
            next: if whole { next } else { last },
            records,
        }
    }
}
