//! An in-memory store of records by topic, which can return the newest record of each key.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::standin::serve;
use crate::standin::serve::Reply;

/// How often a waiting read checks for new records.
const POLL_INTERVAL: Millis = Millis(5);

/// A record of a topic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// The key, of which only the newest record counts.
    pub key: String,
    /// The value; empty if the key was deleted.
    pub value: Vec<u8>,
    /// The position in the topic, starting at 0.
    pub offset: u64,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Records {
    /// The records found, which may be none.
    pub records: Vec<Record>,
    /// The offset after the last record of the topic.
    pub end: u64,
}

/// The store; clones share their records.
#[derive(Clone, Debug, Default)]
pub struct Store {
    topics: Rc<RefCell<BTreeMap<String, Vec<Record>>>>,
    silent: Rc<Cell<bool>>,
    era: Rc<Cell<u64>>,
    calls: Rc<Cell<u64>>,
}

impl Store {
    /// Serves the store at `addr`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn listen(&self, addr: SocketAddr) -> std::io::Result<()> {
        let store = self.clone();
        serve::listen(addr, move |request, conn| {
            let store = store.clone();
            async move {
                let reply = store.answer(&request).await;
                (conn, reply)
            }
        })
    }

    /// Sets whether calls stay unanswered while their connections stay open.
    pub fn set_silent(&self, away: bool) {
        self.silent.set(away);
    }

    /// Comes back from a copy in which these topics end earlier; their later records are lost, and
    /// their offsets are given out again.
    pub fn fall(&self, ends: &[(&str, usize)]) {
        let mut topics = self.topics.borrow_mut();
        for (topic, end) in ends {
            if let Some(records) = topics.get_mut(*topic) {
                records.truncate(*end);
            }
        }
        self.era.set(self.era.get() + 1);
    }

    /// Returns the number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Appends a record without a network call, and returns its offset.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut topics = self.topics.borrow_mut();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len() as u64;
        records.push(Record {
            key: key.to_owned(),
            value: value.to_vec(),
            offset,
        });
        offset
    }

    /// Returns the records of a topic.
    #[must_use]
    pub fn records(&self, topic: &str) -> Vec<Record> {
        self.read_from(topic, 0).records
    }

    async fn answer(&self, request: &Request) -> Reply {
        self.calls.set(self.calls.get() + 1);
        if self.silent.get() {
            return Reply::NoAnswer;
        }
        let topic = request.query("topic").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let response = match (&request.method, request.uri.path()) {
            (&Method::POST, "/append") => {
                let key = request.query("key").unwrap_or_default();
                let end = self.put(topic, key, &request.body);
                Response::json(StatusCode::OK, &end)
            }
            (&Method::GET, "/newest") => Response::json(StatusCode::OK, &self.newest(topic)),
            (&Method::GET, "/tail") => {
                let from = number("from").unwrap_or(0);
                let wait = Millis(number("wait").unwrap_or(0));
                if from > self.end(topic) {
                    Response::new(StatusCode::GONE)
                } else {
                    Response::json(StatusCode::OK, &self.tail(topic, from, wait).await)
                }
            }
            _ => Response::new(StatusCode::NOT_FOUND),
        };
        let mut response = response;
        let era = HeaderValue::from(self.era.get());
        response.headers.insert(HeaderName::from_static("era"), era);
        Reply::Response(response)
    }

    /// Returns the offset after the last record of a topic.
    #[must_use]
    pub fn end(&self, topic: &str) -> u64 {
        let topics = self.topics.borrow();
        topics.get(topic).map_or(0, |records| records.len() as u64)
    }

    fn newest(&self, topic: &str) -> Records {
        let topics = self.topics.borrow();
        let Some(records) = topics.get(topic) else {
            return Records::default();
        };
        let newest: BTreeMap<&str, &Record> = records
            .iter()
            .map(|record| (record.key.as_str(), record))
            .collect();
        Records {
            records: newest.into_values().cloned().collect(),
            end: records.len() as u64,
        }
    }

    async fn tail(&self, topic: &str, from: u64, wait: Millis) -> Records {
        for _ in 0..=wait.0 / POLL_INTERVAL.0 {
            let found = self.read_from(topic, from);
            if !found.records.is_empty() {
                return found;
            }
            monoio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        self.read_from(topic, from)
    }

    fn read_from(&self, topic: &str, from: u64) -> Records {
        let topics = self.topics.borrow();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let fresh = records.iter().filter(|record| record.offset >= from);
        Records {
            records: fresh.cloned().collect(),
            end: (records.len() as u64).max(from),
        }
    }
}

/// Returns the value of a record, or `None` if its key was deleted.
pub fn value(record: &Record) -> Option<Bytes> {
    (!record.value.is_empty()).then(|| Bytes::from(record.value.clone()))
}
