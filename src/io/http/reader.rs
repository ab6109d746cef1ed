//! The reading half of a connection.

use std::pin::pin;
use std::task::Context;
use std::task::Waker;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use monoio::buf::IoBufMut;
use monoio::io::AsyncReadRent;
use monoio::io::OwnedReadHalf;
use monoio::net::TcpStream;
use monoio_codec::Decoded;
use monoio_codec::Decoder;
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;

use super::error::HttpError;
use super::keep::Account;
use super::message::Request;
use super::message::Response;
use crate::clock::Millis;
use crate::consts::IDLE_TIMEOUT;
use crate::consts::MAX_BODY_BYTES;
use crate::consts::MAX_CHUNK_BYTES;
use crate::consts::MAX_HEAD_BYTES;
use crate::consts::MAX_INFORMATIONAL;
use crate::consts::READ_TIMEOUT;
use crate::io::timeout::within;

/// The minimum free space in the buffer before each read.
const READ_BYTES: usize = 2048;
/// How long a connection that needs more memory waits for those that were ended to free theirs: one pass of
/// the event loop.
const FREEING_TIME: Millis = Millis(1);

/// Limits on the size and the duration of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The maximum size of the head, in bytes.
    pub max_head: usize,
    /// The maximum size of the body, in bytes.
    pub max_body: usize,
    /// How long the head may take to arrive after its first byte.
    pub head_timeout: Millis,
    /// How long a connection may be idle before it is closed.
    pub idle_timeout: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_head: MAX_HEAD_BYTES,
            max_body: MAX_BODY_BYTES,
            head_timeout: READ_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        }
    }
}

/// How the end of a message's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// The reading half of a connection.
#[derive(Debug)]
pub struct Reader {
    io: OwnedReadHalf<TcpStream>,
    buf: BytesMut,
    body_framing: Option<Framing>,
    /// Whether the body of the last response ends with the connection.
    ends_by_close: bool,
    /// Whether the other side said in its last response that it closes the connection.
    is_closing: bool,
    keep_alive: Option<Millis>,
    max_body: usize,
    /// Counts what is kept of a message that is not complete.
    account: Option<Account>,
    /// What is kept of it beside the buffer.
    taken: usize,
}

impl Reader {
    pub(super) fn new(io: OwnedReadHalf<TcpStream>) -> Self {
        Self {
            io,
            buf: BytesMut::new(),
            body_framing: None,
            ends_by_close: false,
            is_closing: false,
            keep_alive: None,
            max_body: MAX_BODY_BYTES,
            account: None,
            taken: 0,
        }
    }

    /// Counts what is kept of incomplete messages in a limit that connections share.
    pub fn set_account(&mut self, account: Account) {
        self.account = Some(account);
    }

    /// Records how much the caller keeps of the message that is being read.
    pub fn set_taken(&mut self, bytes: usize) {
        self.taken = bytes;
    }

    /// Reads the next request within the default bounds. Returns `None` if the other side closed
    /// the connection between two requests, or left it idle for too long.
    ///
    /// # Errors
    ///
    /// Fails on a malformed or oversized request, on a timeout, and if the connection breaks.
    pub async fn request(&mut self) -> Result<Option<Request>, HttpError> {
        self.request_with_bounds(Bounds::default).await
    }

    /// Reads the next request like [`Self::request`], within bounds that may change while the
    /// connection is idle.
    ///
    /// # Errors
    ///
    /// Fails on a malformed or oversized request, on a timeout, and if the connection breaks.
    pub async fn request_with_bounds<F>(&mut self, bounds: F) -> Result<Option<Request>, HttpError>
    where
        F: Fn() -> Bounds,
    {
        if !self.request_begins(&bounds).await? {
            return Ok(None);
        }
        let bounds = bounds();
        self.max_body = bounds.max_body;
        let mut decoder = RequestHeadDecoder;
        let decode = self.decode(&mut decoder, bounds.max_head);
        let head = with_timeout(bounds.head_timeout, decode).await?;
        let framing = parse_framing(&head.headers, Framing::Length(0))?;
        let body = with_timeout(READ_TIMEOUT, self.read_body(framing)).await;
        self.release(body.is_ok());
        let body = body?;
        let mut headers = head.headers;
        remove_framing(&mut headers);
        Ok(Some(Request {
            method: head.method,
            uri: head.uri,
            headers,
            body,
        }))
    }

    /// Waits for the first byte of a request. Returns `false` if the other side closed the connection
    /// instead, or left it idle for too long by `bounds`, which may change meanwhile.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn request_begins<F>(&mut self, bounds: F) -> Result<bool, HttpError>
    where
        F: Fn() -> Bounds,
    {
        let mut idle = Millis(0);
        while self.buf.is_empty() {
            // If the idle timeout was raised during the wait, wait for the rest of it.
            let left = bounds().idle_timeout.since(idle);
            if left == Millis(0) || self.wait_for_byte(left).await? == Some(false) {
                return Ok(false);
            }
            idle += left;
        }
        Ok(true)
    }

    /// Reads a complete response, without a timeout. `bodiless` means that the response has no body
    /// whatever its headers are, as after `HEAD`.
    ///
    /// # Errors
    ///
    /// Fails on a malformed or oversized response and if the connection breaks.
    pub async fn response(&mut self, bodiless: bool) -> Result<Response, HttpError> {
        let read = self.read_response(bodiless).await;
        self.release(read.is_ok());
        read
    }

    async fn read_response(&mut self, bodiless: bool) -> Result<Response, HttpError> {
        let mut response = self.response_head(bodiless).await?;
        response.body = match self.body_framing.take() {
            Some(framing) => self.read_body(framing).await?,
            None => Bytes::new(),
        };
        Ok(response)
    }

    /// Reads the head of a response, without a timeout; [`Self::chunk`] then reads the body.
    /// `bodiless` is as in [`Self::response`].
    ///
    /// # Errors
    ///
    /// Fails on a malformed or oversized head and if the connection breaks.
    pub async fn response_head(&mut self, bodiless: bool) -> Result<Response, HttpError> {
        let mut informational = 0;
        let head = loop {
            let head = self
                .decode(&mut ResponseHeadDecoder, MAX_HEAD_BYTES)
                .await?;
            if !head.status.is_informational() {
                break head;
            }
            informational += 1;
            if informational > MAX_INFORMATIONAL {
                return Err(HttpError::TooLarge);
            }
        };
        let has_no_body = bodiless
            || head.status == StatusCode::NO_CONTENT
            || head.status == StatusCode::NOT_MODIFIED;
        let framing = parse_framing(&head.headers, Framing::UntilClose)?;
        self.body_framing = (!has_no_body).then_some(framing);
        self.ends_by_close = self.body_framing == Some(Framing::UntilClose);
        self.is_closing = names_close(&head.headers);
        self.keep_alive = parse_keep_alive(&head.headers);
        let mut headers = head.headers;
        remove_framing(&mut headers);
        Ok(Response {
            status: head.status,
            headers,
            body: Bytes::new(),
        })
    }

    /// Reads the next part of a response's body, without a timeout; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails on a malformed or oversized chunk and if the connection breaks before the end.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, HttpError> {
        let part = self.next_part().await;
        if !matches!(part, Ok(Some(_))) {
            self.release(part.is_ok());
        }
        part
    }

    async fn next_part(&mut self) -> Result<Option<Bytes>, HttpError> {
        match self.body_framing {
            None | Some(Framing::Length(0)) => {
                self.body_framing = None;
                Ok(None)
            }
            Some(Framing::Chunked) => {
                let part = self
                    .decode(&mut ChunkedBodyDecoder::default(), MAX_CHUNK_BYTES)
                    .await?;
                if part.is_none() {
                    self.body_framing = None;
                }
                Ok(part)
            }
            Some(Framing::Length(left)) => {
                if self.buf.is_empty() && self.fill().await? == 0 {
                    return Err(HttpError::Closed);
                }
                let size = left.min(self.buf.len());
                self.body_framing = Some(Framing::Length(left - size));
                Ok(Some(self.buf.split_to(size).freeze()))
            }
            Some(Framing::UntilClose) => {
                if self.buf.is_empty() && self.fill().await? == 0 {
                    self.body_framing = None;
                    return Ok(None);
                }
                Ok(Some(self.buf.split().freeze()))
            }
        }
    }

    /// Waits until the other side closes or breaks the connection. Data that arrives first, such as the
    /// next request, is kept; after [`MAX_HEAD_BYTES`] of it, nothing more is read, and this never completes.
    ///
    /// The future may be dropped at any time without a loss of data.
    pub async fn closed(&mut self) {
        while self.buf.len() < MAX_HEAD_BYTES {
            // Not into the buffer, which a drop during the read would take with it.
            let (result, ahead) = self.io.read(BytesMut::with_capacity(READ_BYTES)).await;
            match result {
                Ok(size) if size > 0 => self.buf.extend_from_slice(&ahead),
                _ => return,
            }
        }
        std::future::pending::<()>().await;
    }

    /// Returns whether the last message has been read completely, so that another may follow.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        let is_read = self.buf.is_empty() && self.body_framing.is_none();
        is_read && !self.ends_by_close && !self.is_closing
    }

    /// Returns whether nothing arrived since the last message and the other side has not closed the
    /// connection, as far as the event loop knows. A connection on which something arrived must not
    /// be reused: the bytes would be read as the answer to the next request.
    pub fn is_silent(&mut self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        self.buf.is_empty() && pin!(self.fill()).poll(&mut context).is_pending()
    }

    /// Returns after how long without a request the other side closes the connection, by the
    /// `Keep-Alive` header of its last response; `None` if it did not say.
    #[must_use]
    pub const fn keep_alive(&self) -> Option<Millis> {
        self.keep_alive
    }

    /// Returns whether the end of the last response's body is marked, by a length or by chunks, and
    /// not by the close of the connection.
    #[must_use]
    pub fn has_marked_end(&self) -> bool {
        !self.ends_by_close
    }

    /// Reads exactly `size` bytes, without a size limit or a timeout.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or is closed before the last byte.
    pub async fn read_exact(&mut self, size: usize) -> Result<Bytes, HttpError> {
        while self.buf.len() < size {
            if self.fill().await? == 0 {
                return Err(HttpError::Closed);
            }
        }
        Ok(self.buf.split_to(size).freeze())
    }

    async fn read_body(&mut self, framing: Framing) -> Result<Bytes, HttpError> {
        match framing {
            Framing::Length(0) => Ok(Bytes::new()),
            Framing::Length(size) if size > self.max_body => Err(HttpError::TooLarge),
            Framing::Length(size) => self.read_exact(size).await,
            Framing::Chunked => self.read_chunked().await,
            Framing::UntilClose => self.read_to_close().await,
        }
    }

    async fn read_chunked(&mut self) -> Result<Bytes, HttpError> {
        let mut body = BytesMut::new();
        while let Some(part) = self
            .decode(&mut ChunkedBodyDecoder::default(), self.max_body)
            .await?
        {
            if body.len() + part.len() > self.max_body {
                return Err(HttpError::TooLarge);
            }
            body.extend_from_slice(&part);
            self.taken = body.capacity();
        }
        Ok(body.freeze())
    }

    async fn read_to_close(&mut self) -> Result<Bytes, HttpError> {
        while self.fill().await? > 0 {
            if self.buf.len() > self.max_body {
                return Err(HttpError::TooLarge);
            }
        }
        Ok(self.buf.split().freeze())
    }

    /// Decodes one item of at most `limit` bytes. Buffers at most one read more than that.
    async fn decode<D>(&mut self, decoder: &mut D, limit: usize) -> Result<D::Item, HttpError>
    where
        D: Decoder,
    {
        loop {
            let buffered = self.buf.len();
            if buffered > 0 {
                match decoder.decode(&mut self.buf) {
                    Ok(Decoded::Some(_)) if buffered - self.buf.len() > limit => {
                        return Err(HttpError::TooLarge);
                    }
                    Ok(Decoded::Some(item)) => return Ok(item),
                    Ok(_) if self.buf.len() > limit => return Err(HttpError::TooLarge),
                    Ok(_) => {}
                    Err(_) => return Err(HttpError::Malformed),
                }
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Closed);
            }
        }
    }

    /// Waits for the first byte of a request. Returns `Some(false)` if the other side closed the
    /// connection instead, and `None` on a timeout.
    async fn wait_for_byte(&mut self, timeout: Millis) -> Result<Option<bool>, HttpError> {
        match with_timeout(timeout, self.fill()).await {
            Ok(size) => Ok(Some(size > 0)),
            Err(HttpError::TimedOut) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn fill(&mut self) -> Result<usize, HttpError> {
        let must_grow = self.buf.capacity() - self.buf.len() < READ_BYTES;
        while must_grow && self.account.as_ref().is_some_and(Account::must_wait) {
            monoio::time::sleep(FREEING_TIME.duration()).await;
        }
        self.buf.reserve(READ_BYTES);
        let kept = self.taken + self.buf.capacity();
        let wake = match &mut self.account {
            Some(account) => {
                account.set(kept)?;
                account.wake()
            }
            None => None,
        };
        let Some(wake) = wake else {
            return Ok(self.read().await?);
        };
        monoio::select! {
            biased;
            () = wake.receive() => Err(HttpError::OverLimit),
            size = self.read() => Ok(size?),
        }
    }

    async fn read(&mut self) -> std::io::Result<usize> {
        let buf = std::mem::take(&mut self.buf);
        let from = buf.len();
        let to = buf.capacity();
        let (result, slice) = self.io.read(buf.slice_mut(from..to)).await;
        self.buf = slice.into_inner();
        result
    }

    /// Frees what is kept of a message that was read completely, or that cannot be read: its connection may
    /// stay open for long, or for as long as the peer is looked at.
    fn release(&mut self, is_complete: bool) {
        self.taken = 0;
        let has_grown = self.buf.is_empty() && self.buf.capacity() > MAX_HEAD_BYTES;
        if has_grown || !is_complete {
            self.buf = BytesMut::new();
        }
        if let Some(account) = &mut self.account {
            // Less than before is never over the limit.
            let _ = account.set(self.buf.capacity());
        }
    }
}

/// Runs `work` and fails with [`HttpError::TimedOut`] if it takes longer than `timeout`.
async fn with_timeout<T, F>(timeout: Millis, work: F) -> Result<T, HttpError>
where
    F: Future<Output = Result<T, HttpError>>,
{
    within(timeout, work)
        .await
        .unwrap_or(Err(HttpError::TimedOut))
}

/// Parses the headers that determine where the body ends. Rejects every ambiguous combination,
/// which another parser could read differently (request smuggling).
fn parse_framing(headers: &HeaderMap, default: Framing) -> Result<Framing, HttpError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(default),
        (Some(length), None) if lengths.next().is_none() => parse_length(length.as_bytes()),
        (None, Some(coding)) if codings.next().is_none() => {
            if coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                return Ok(Framing::Chunked);
            }
            Err(HttpError::Malformed)
        }
        _ => Err(HttpError::Malformed),
    }
}

fn parse_length(digits: &[u8]) -> Result<Framing, HttpError> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(HttpError::Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HttpError::Malformed)?;
    text.parse()
        .map(Framing::Length)
        .map_err(|_| HttpError::TooLarge)
}

fn names_close(headers: &HeaderMap) -> bool {
    let options = headers.get_all(CONNECTION).iter();
    let mut options = options.filter_map(|value| value.to_str().ok());
    options.any(|text| text.to_ascii_lowercase().contains("close"))
}

/// Returns the timeout of a `Keep-Alive` header, which is in whole seconds.
fn parse_keep_alive(headers: &HeaderMap) -> Option<Millis> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut options = text.split(',').filter_map(|option| option.split_once('='));
    let (_, seconds) = options.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Millis::seconds)
}

fn remove_framing(headers: &mut HeaderMap) {
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
}
