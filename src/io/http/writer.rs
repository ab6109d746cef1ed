//! The writing half of a connection.

use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io::Write;
use std::net::SocketAddr;

use http::HeaderMap;
use http::StatusCode;
use http::header::HOST;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::OwnedWriteHalf;
use monoio::net::TcpStream;

use super::error::HttpError;
use super::message::Request;
use super::message::Response;
use crate::consts::WRITE_TIMEOUT;
use crate::io::timeout::within;

/// The largest buffer that is kept for the next write; a larger one is freed.
const MAX_KEPT_BYTES: usize = 8 * 1024;

/// The requests whose ids a connection remembers. A second copy of an answer arrives before the answer
/// to the request after it.
const MAX_RECENT: usize = 4;

/// The writing half of a connection.
#[derive(Debug)]
pub struct Writer {
    io: OwnedWriteHalf<TcpStream>,
    buf: Vec<u8>,
    host: Option<SocketAddr>,
    /// The hashes of the ids of the last requests, the newest last.
    recent: VecDeque<u64>,
}

impl Writer {
    pub(super) fn new(io: OwnedWriteHalf<TcpStream>) -> Self {
        Self {
            io,
            buf: Vec::new(),
            host: None,
            recent: VecDeque::new(),
        }
    }

    /// Sets the `host` header of requests that do not have one.
    pub(crate) fn set_host(&mut self, host: SocketAddr) {
        self.host = Some(host);
    }

    /// Remembers the id of a request that is about to be sent.
    pub(crate) fn record_id(&mut self, id: &str) {
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(hash(id));
    }

    /// Returns whether one of the last requests had an id. An answer that names it may then be a second
    /// copy of that request's answer.
    pub(crate) fn has_carried(&self, id: &str) -> bool {
        self.recent.contains(&hash(id))
    }

    /// Writes a complete request.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the other side reads too slowly.
    pub async fn request(&mut self, request: &Request) -> Result<(), HttpError> {
        let target = request
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        self.text(format_args!("{} {target} HTTP/1.1\r\n", request.method));
        if let Some(host) = self.host
            && !request.headers.contains_key(HOST)
        {
            self.text(format_args!("host: {host}\r\n"));
        }
        self.headers(&request.headers);
        if !request.body.is_empty() || !request.method.is_safe() {
            self.text(format_args!("content-length: {}\r\n", request.body.len()));
        }
        self.buf.extend_from_slice(b"\r\n");
        self.buf.extend_from_slice(&request.body);
        self.flush().await
    }

    /// Writes a complete response. `bodiless` omits the body but keeps its length in the head, as
    /// the answer to `HEAD` requires.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the other side reads too slowly.
    pub async fn response(&mut self, response: &Response, bodiless: bool) -> Result<(), HttpError> {
        self.status(response.status);
        self.headers(&response.headers);
        if response.status != StatusCode::NO_CONTENT {
            self.text(format_args!("content-length: {}\r\n", response.body.len()));
        }
        self.buf.extend_from_slice(b"\r\n");
        if !bodiless {
            self.buf.extend_from_slice(&response.body);
        }
        self.flush().await
    }

    /// Writes the head of a response whose body follows in parts, by [`Self::chunk`] and
    /// [`Self::finish`].
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the other side reads too slowly.
    pub async fn start(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<(), HttpError> {
        self.status(status);
        self.headers(headers);
        self.buf
            .extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        self.flush().await
    }

    /// Writes the next part of the body immediately; empty data writes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the other side reads too slowly.
    pub async fn chunk(&mut self, data: &[u8]) -> Result<(), HttpError> {
        if data.is_empty() {
            return Ok(());
        }
        self.text(format_args!("{:x}\r\n", data.len()));
        self.buf.extend_from_slice(data);
        self.buf.extend_from_slice(b"\r\n");
        self.flush().await
    }

    /// Writes the end of a body that was sent in parts.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the other side reads too slowly.
    pub async fn finish(&mut self) -> Result<(), HttpError> {
        self.buf.extend_from_slice(b"0\r\n\r\n");
        self.flush().await
    }

    /// Writes raw bytes, for protocols other than HTTP.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the other side reads too slowly.
    pub async fn write_raw(&mut self, data: &[u8]) -> Result<(), HttpError> {
        self.buf.extend_from_slice(data);
        self.flush().await
    }

    /// Shuts down the sending direction of the connection.
    pub async fn close(&mut self) {
        let _ = self.io.shutdown().await;
    }

    fn status(&mut self, status: StatusCode) {
        let reason = status.canonical_reason().unwrap_or("Unknown");
        self.text(format_args!("HTTP/1.1 {} {reason}\r\n", status.as_str()));
    }

    fn headers(&mut self, headers: &HeaderMap) {
        for (name, value) in headers {
            self.buf.extend_from_slice(name.as_str().as_bytes());
            self.buf.extend_from_slice(b": ");
            self.buf.extend_from_slice(value.as_bytes());
            self.buf.extend_from_slice(b"\r\n");
        }
    }

    fn text(&mut self, text: std::fmt::Arguments<'_>) {
        let _ = self.buf.write_fmt(text);
    }

    async fn flush(&mut self) -> Result<(), HttpError> {
        let buf = std::mem::take(&mut self.buf);
        let Ok((result, mut buf)) = within(WRITE_TIMEOUT, self.io.write_all(buf)).await else {
            return Err(HttpError::TimedOut);
        };
        result?;
        if buf.capacity() <= MAX_KEPT_BYTES {
            buf.clear();
            self.buf = buf;
        }
        Ok(())
    }
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
