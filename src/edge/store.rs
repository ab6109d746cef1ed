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

/// The timeout of a call, on top of the wait that it asks for. The store answers within
/// milliseconds, and a connection that is silent for longer is replaced.
pub const CALL_TIMEOUT: Millis = Millis(1000);

/// An error of a call to the store; the call may have taken effect nonetheless.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    /// The connection failed, or no answer came in time.
    #[display("{_0}")]
    Http(HttpError),
    /// The response has an error status or cannot be parsed.
    #[display("{_0}")]
    Dialect(DialectError),
}

/// A client of the platform's store; clones share its connections.
#[derive(Clone, Debug)]
pub struct Store {
    addr: SocketAddr,
    pool: Pool,
    dialect: Rc<Dialect>,
}

impl Store {
    /// Creates a client, which connects when it is first used.
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
    /// Fails if the store does not answer in time, refuses the call, or its response cannot be
    /// parsed.
    pub async fn tail(&self, topic: &str, from: u64, wait: Millis) -> Result<Tail, StoreError> {
        let request = (self.dialect.tail_request)(topic, from, wait);
        let response = self.call(&request, wait + CALL_TIMEOUT).await?;
        Ok((self.dialect.parse_tail)(&response, from)?)
    }

    /// Reads the newest record of each key, and the offset to continue from with [`Self::tail`].
    ///
    /// The pages are not a snapshot, so the offset is that of the first page: a record written
    /// while the pages were read is then read again.
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
    /// As [`Self::tail`]; the record may have been appended, or may still be.
    pub async fn append(&self, topic: &str, key: &str, value: &[u8]) -> Result<u64, StoreError> {
        let request = (self.dialect.append_request)(topic, key, value);
        let response = self.call(&request, CALL_TIMEOUT).await?;
        Ok((self.dialect.parse_append)(&response)?)
    }

    async fn call(&self, request: &Request, timeout: Millis) -> Result<Response, StoreError> {
        let conn = self.pool.get(self.addr).await?;
        let response = self.pool.call_on(self.addr, conn, request, timeout).await?;
        Ok(response)
    }
}
