//! A fake of the platform's log.

use std::collections::BTreeMap;

use cornelwharf::clock::Millis;
use cornelwharf::core::daemon::LogStream;
use cornelwharf::core::daemon::ReadResult;
use cornelwharf::core::sync::message::Batch;
use cornelwharf::core::sync::message::Record;

use super::take;

/// The most records that one read returns.
const PAGE: usize = 64;

/// The streams, and the fault switches.
#[derive(Default)]
pub struct Log {
    streams: BTreeMap<LogStream, Kept>,
    pub down: bool,
    pub slow: Millis,
    /// How many of the next appends take effect without an answer.
    pub lose: u32,
    /// How many of the next appends take effect much later, without an answer.
    pub later: u32,
    /// When each record of the configuration took effect.
    pub times: BTreeMap<u64, Millis>,
}

#[derive(Default)]
struct Kept {
    first: u64,
    records: Vec<String>,
}

/// What became of an append.
pub enum Append {
    Done(u64),
    Lost,
    Later,
    Refused,
}

impl Log {
    pub fn append(&mut self, now: Millis, stream: LogStream, record: &[u8], cut: bool) -> Append {
        if self.down || cut {
            return Append::Refused;
        }
        if take(&mut self.later) {
            return Append::Later;
        }
        let kept = self.streams.entry(stream).or_default();
        kept.records
            .push(String::from_utf8(record.to_vec()).expect("records are JSON"));
        let offset = kept.first + kept.records.len() as u64 - 1;
        if stream == LogStream::Config {
            self.times.insert(offset, now);
        }
        if take(&mut self.lose) {
            return Append::Lost;
        }
        Append::Done(offset)
    }

    pub fn read(&self, stream: LogStream, from: u64, cut: bool) -> ReadResult {
        if self.down || cut {
            return ReadResult::Failed;
        }
        let empty = Kept::default();
        let kept = self.streams.get(&stream).unwrap_or(&empty);
        if from < kept.first {
            return ReadResult::Expired(kept.first);
        }
        let skip = (from - kept.first) as usize;
        let records: Vec<Record> = (from..)
            .zip(kept.records.iter().skip(skip).take(PAGE))
            .map(|(offset, data)| Record {
                offset,
                data: data.as_str().into(),
            })
            .collect();
        let next = from + records.len() as u64;
        let end = next >= self.next(stream);
        ReadResult::Records {
            batch: Batch {
                from,
                next,
                records,
            },
            end,
        }
    }

    pub fn next(&self, stream: LogStream) -> u64 {
        self.streams
            .get(&stream)
            .map_or(0, |kept| kept.first + kept.records.len() as u64)
    }

    /// Returns the offset of the latest snapshot of the configuration, of one part.
    pub fn snapshot(&self) -> Option<u64> {
        let kept = self.streams.get(&LogStream::Config)?;
        let mut records = kept.records.iter();
        let at = records.rposition(|record| record.contains(r#""body":{"snapshot""#))?;
        Some(kept.first + at as u64)
    }

    /// Drops a stream's records before `first`, as retention does.
    pub fn expire(&mut self, stream: LogStream, first: u64) {
        let Some(kept) = self.streams.get_mut(&stream) else {
            return;
        };
        let count = first
            .saturating_sub(kept.first)
            .min(kept.records.len() as u64);
        kept.records.drain(..count as usize);
        kept.first += count;
    }
}
