//! The client of the platform's store: the only code that calls it.

use std::cell::Cell;
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
use crate::core::position::Position;
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
    /// The response is from before the store came back from an older copy, or the store came back
    /// between two responses that belong together.
    #[display("the answer is of era {era} of the store, now in era {known}")]
    #[from(skip)]
    Era {
        /// The era of the answer.
        era: u64,
        /// The newest era known.
        known: u64,
    },
}

impl StoreError {
    /// Returns whether the store answered, and the records in its answer cannot be told apart.
    #[must_use]
    pub const fn is_unreadable(&self) -> bool {
        let Self::Dialect(error) = self else {
            return false;
        };
        !matches!(error, DialectError::Status { .. })
    }
}

/// A client of the platform's store; clones share its connections.
#[derive(Clone, Debug)]
pub struct Store {
    addr: SocketAddr,
    pool: Pool,
    dialect: Rc<Dialect>,
    era: Rc<Cell<u64>>,
}

impl Store {
    /// Creates a client, which connects when it is first used.
    pub fn new(addr: SocketAddr, pool: Pool, dialect: Rc<Dialect>) -> Self {
        Self {
            addr,
            pool,
            dialect,
            era: Rc::default(),
        }
    }

    /// Returns the newest era of the store that it has answered in.
    pub fn era(&self) -> u64 {
        self.era.get()
    }

    /// Reads a topic from a position on, waiting up to `wait` for the first record. A position of an
    /// earlier era counts as truncated: its offset may have been given out again.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time, refuses the call, or its response cannot be
    /// parsed.
    pub async fn tail(
        &self,
        topic: &str,
        from: Position,
        wait: Millis,
    ) -> Result<Tail, StoreError> {
        if from.era() < self.era() {
            return Ok(Tail::Truncated);
        }
        let request = (self.dialect.tail_request)(topic, from.offset(), wait);
        let (response, era) = self.call(&request, wait + CALL_TIMEOUT).await?;
        if from.era() < era {
            return Ok(Tail::Truncated);
        }
        Ok((self.dialect.parse_tail)(&response, from)?)
    }

    /// Reads the newest record of each key, and the position to continue from with [`Self::tail`].
    ///
    /// The pages are not a snapshot, so the position is that of the first page: a record written
    /// while the pages were read is then read again.
    ///
    /// # Errors
    ///
    /// As [`Self::tail`], and if the era changes between two pages.
    pub async fn newest(&self, topic: &str) -> Result<(Vec<KeyedRecord>, Position), StoreError> {
        let mut records = Vec::new();
        let mut after = None;
        let mut end = None;
        loop {
            let request = (self.dialect.newest_request)(topic, after.as_deref());
            let (response, era) = self.call(&request, CALL_TIMEOUT).await?;
            let page = (self.dialect.parse_page)(&response, era)?;
            records.extend(page.records);
            let first = *end.get_or_insert(page.end);
            if first.era() != era {
                let known = self.era();
                return Err(StoreError::Era {
                    era: first.era(),
                    known,
                });
            }
            match page.cursor {
                Some(key) => after = Some(key),
                None => return Ok((records, first)),
            }
        }
    }

    /// Appends a record under a key and returns its position.
    ///
    /// # Errors
    ///
    /// As [`Self::tail`]; the record may have been appended, or may still be.
    pub async fn append(
        &self,
        topic: &str,
        key: &str,
        value: &[u8],
    ) -> Result<Position, StoreError> {
        let request = (self.dialect.append_request)(topic, key, value);
        let (response, era) = self.call(&request, CALL_TIMEOUT).await?;
        Ok(Position::new(era, (self.dialect.parse_append)(&response)?))
    }

    /// Calls the store; returns the response and the era that it states.
    async fn call(
        &self,
        request: &Request,
        timeout: Millis,
    ) -> Result<(Response, u64), StoreError> {
        let conn = self.pool.get(self.addr).await?;
        let response = self.pool.call_on(self.addr, conn, request, timeout).await?;
        let era = self.record_era(&response)?;
        Ok((response, era))
    }

    /// Returns the era that an answer states; one that states none is of the era known.
    fn record_era(&self, response: &Response) -> Result<u64, StoreError> {
        let known = self.era();
        let Some(text) = response.header(&self.dialect.headers.store_era) else {
            return Ok(known);
        };
        let Ok(era) = text.parse::<u64>() else {
            log::warn!(dependency = "store", era = text, known; "era_ignored");
            return Ok(known);
        };
        if era < known {
            return Err(StoreError::Era { era, known });
        }
        if era > known {
            log::warn!(dependency = "store", era, known; "store_came_back_older");
            self.era.set(era);
        }
        Ok(era)
    }
}
