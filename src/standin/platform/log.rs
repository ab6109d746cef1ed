//! The in-memory log, a set of named streams.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::clock::Millis;
use crate::io::platform::wire::Appended;
use crate::io::platform::wire::Page;
use crate::io::platform::wire::StoredRecord;

/// The maximum number of records in the answer to one read.
pub(super) const PAGE_RECORDS: u64 = 512;

/// The append rate and retention of the log.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Limits {
    /// The maximum number of appends per second, over all streams.
    cap: u32,
    /// How long a record is kept.
    keep: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            cap: 400,
            keep: Millis::seconds(3600),
        }
    }
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug)]
pub(super) enum Append {
    /// The record is stored at the returned offset.
    Done(Appended),
    /// The rate limit is reached; nothing was appended.
    RateLimited,
}

#[derive(Debug)]
struct Entry {
    at: Millis,
    data: Box<RawValue>,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    entries: VecDeque<Entry>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    fn expire(&mut self, before: Millis) {
        while self.entries.front().is_some_and(|entry| entry.at < before) {
            self.entries.pop_front();
            self.first += 1;
        }
    }
}

/// All streams, and the number of appends in the current second.
#[derive(Debug, Default)]
pub(super) struct Log {
    streams: BTreeMap<String, Stream>,
    second: u64,
    count: u32,
}

impl Log {
    pub(super) fn append(
        &mut self,
        now: Millis,
        name: &str,
        data: Box<RawValue>,
        limits: Limits,
    ) -> Append {
        if !self.admit(now, limits.cap) {
            return Append::RateLimited;
        }
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.expire(now - limits.keep);
        let offset = stream.next();
        stream.entries.push_back(Entry { at: now, data });
        Append::Done(Appended { offset })
    }

    pub(super) fn read(&self, name: &str, from: u64, limit: u64) -> Page {
        let Some(stream) = self.streams.get(name) else {
            return Page {
                first: 0,
                next: 0,
                records: Vec::new(),
            };
        };
        let from = from.max(stream.first);
        let skip = (from - stream.first) as usize;
        let limit = limit.min(PAGE_RECORDS) as usize;
        let records = stream.entries.iter().skip(skip).take(limit);
        let records = (from..)
            .zip(records)
            .map(|(offset, entry)| StoredRecord {
                offset,
                data: entry.data.clone(),
            })
            .collect();
        Page {
            first: stream.first,
            next: stream.next(),
            records,
        }
    }

    fn admit(&mut self, now: Millis, cap: u32) -> bool {
        let second = now.0 / 1000;
        if second != self.second {
            self.second = second;
            self.count = 0;
        }
        self.count += 1;
        self.count <= cap
    }
}
