//! The client of the platform's store: the only code that calls it.

use std::net::SocketAddr;
use std::rc::Rc;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use super::dialect::Dialect;
use super::dialect::DialectError;
use super::dialect::KeyedRecord;
use super::dialect::Tail;
use crate::clock::Millis;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::pool::Pool;

/// How long a call may take beyond the wait that it asks for; the store answers in some
/// milliseconds, and a channel that is silent for longer is replaced.
pub const CALL_TIMEOUT: Millis = Millis(1000);

/// A call to the store that failed; it may have taken effect.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    /// The connection failed.
    #[display("{_0}")]
    Http(HttpError),
    /// The answer cannot be understood, or is a refusal.
    #[display("{_0}")]
    Dialect(DialectError),
}

/// The store's client.
#[derive(Clone, Debug)]
pub struct Store {
    addr: SocketAddr,
    pool: Pool,
    dialect: Rc<Dialect>,
}

impl Store {
    /// Creates a client; it connects when it is first used.
    pub fn new(addr: SocketAddr, pool: Pool, dialect: Rc<Dialect>) -> Self {
        Self {
            addr,
            pool,
            dialect,
        }
    }

    /// Reads a topic from an offset on, waiting up to `wait` for the first record.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time, refuses, or answers what cannot be understood.
    pub async fn tail(&self, topic: &str, from: u64, wait: Millis) -> Result<Tail, StoreError> {
        let request = (self.dialect.tail_request)(topic, from, wait);
        let response = self.call(&request, wait + CALL_TIMEOUT).await?;
        Ok((self.dialect.parse_tail)(&response, from)?)
    }

    /// Reads the newest record of each key, and the offset to go on from.
    ///
    /// Pages are no snapshot, so the offset is the one of the first page: a record that came
    /// while the pages were read is read again from the tail.
    ///
    /// # Errors
    ///
    /// As [`Self::tail`].
    pub async fn newest(&self, topic: &str) -> Result<(Vec<KeyedRecord>, u64), StoreError> {
        let mut records = Vec::new();
        let mut after = None;
        let mut end = None;
        loop {
            let request = (self.dialect.newest_request)(topic, after.as_deref());
            let response = self.call(&request, CALL_TIMEOUT).await?;
            let page = (self.dialect.parse_page)(&response)?;
            records.extend(page.records);
            let first = *end.get_or_insert(page.end);
            match page.cursor {
                Some(key) => after = Some(key),
                None => return Ok((records, first)),
            }
        }
    }

    /// Appends a record under a key and returns its offset.
    ///
    /// # Errors
    ///
    /// As [`Self::tail`]; the record may have been appended, or may be later.
    pub async fn append(&self, topic: &str, key: &str, value: &[u8]) -> Result<u64, StoreError> {
        let request = (self.dialect.append_request)(topic, key, value);
        let response = self.call(&request, CALL_TIMEOUT).await?;
        Ok((self.dialect.parse_append)(&response)?)
    }

    async fn call(&self, request: &Request, timeout: Millis) -> Result<Response, StoreError> {
        let conn = self.pool.get(self.addr).await?;
        let response = self
            .pool
            .exchange(self.addr, conn, request, timeout)
            .await?;
        Ok(response)
    }
}
