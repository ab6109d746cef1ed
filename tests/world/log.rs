//! A fake of the durable log that the cores append to and read.

use std::collections::BTreeMap;

use cornelwharf::clock::Millis;
use cornelwharf::core::daemon::LogStream;
use cornelwharf::core::daemon::ReadResult;
use cornelwharf::core::sync::message::Batch;
use cornelwharf::core::sync::message::Record;

use super::consume;

/// The maximum number of records that one read returns.
const PAGE: usize = 64;

/// The streams of the log and the pending faults.
#[derive(Default)]
pub struct Log {
    streams: BTreeMap<LogStream, Records>,
    pub down: bool,
    pub slow: Millis,
    /// How many of the next appends take effect but get no answer.
    pub lose_appends: u32,
    /// How many of the next appends take effect much later and get no answer.
    pub delay_appends: u32,
    /// When each record of [`Stream::Config`] was appended, by offset.
    pub config_times: BTreeMap<u64, Millis>,
}

#[derive(Default)]
struct Records {
    first: u64,
    records: Vec<String>,
}

/// The result of an append.
pub enum Append {
    Done(u64),
    Lost,
    Delayed,
    Refused,
}

impl Log {
    pub fn append(&mut self, now: Millis, stream: LogStream, record: &[u8], cut: bool) -> Append {
        if self.down || cut {
            return Append::Refused;
        }
        if consume(&mut self.delay_appends) {
            return Append::Delayed;
        }
        let stored = self.streams.entry(stream).or_default();
        stored
            .records
            .push(String::from_utf8(record.to_vec()).expect("records are JSON"));
        let offset = stored.first + stored.records.len() as u64 - 1;
        if stream == LogStream::Config {
            self.config_times.insert(offset, now);
        }
        if consume(&mut self.lose_appends) {
            return Append::Lost;
        }
        Append::Done(offset)
    }

    pub fn read(&self, stream: LogStream, from: u64, cut: bool) -> ReadResult {
        if self.down || cut {
            return ReadResult::Failed;
        }
        let empty = Records::default();
        let stored = self.streams.get(&stream).unwrap_or(&empty);
        if from < stored.first {
            return ReadResult::Expired(stored.first);
        }
        let skip = (from - stored.first) as usize;
        let records: Vec<Record> = (from..)
            .zip(stored.records.iter().skip(skip).take(PAGE))
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
            .map_or(0, |stored| stored.first + stored.records.len() as u64)
    }

    /// Returns the offset of the latest record of [`Stream::Config`] that holds a snapshot.
    pub fn snapshot(&self) -> Option<u64> {
        let stored = self.streams.get(&LogStream::Config)?;
        let mut records = stored.records.iter();
        let at = records.rposition(|record| record.contains(r#""body":{"snapshot""#))?;
        Some(stored.first + at as u64)
    }

    /// Removes a stream's records before `first`, as the log's retention does.
    pub fn expire(&mut self, stream: LogStream, first: u64) {
        let Some(stored) = self.streams.get_mut(&stream) else {
            return;
        };
        let count = first
            .saturating_sub(stored.first)
            .min(stored.records.len() as u64);
        stored.records.drain(..count as usize);
        stored.first += count;
    }
}
