//! A connection, split into its two halves.

use std::net::SocketAddr;

use http::Method;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::time::timeout;

use super::error::HttpError;
use super::message::Request;
use super::message::Response;
use super::reader::Reader;
use super::writer::Writer;
use crate::clock::Millis;
use crate::consts::CONNECT_TIMEOUT;

/// A connection, split into two halves that can be used at the same time.
#[derive(Debug)]
pub struct Conn {
    /// Reads what the other side sends.
    pub reader: Reader,
    /// Writes to the other side.
    pub writer: Writer,
}

impl Conn {
    /// Wraps an accepted or opened stream and disables Nagle's algorithm on it.
    ///
    /// # Errors
    ///
    /// Fails if the socket option cannot be set.
    pub fn accept(stream: TcpStream) -> Result<Self, HttpError> {
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        Ok(Self {
            reader: Reader::new(read),
            writer: Writer::new(write),
        })
    }

    /// Opens a connection; requests without a `host` header then name `addr` in it.
    ///
    /// # Errors
    ///
    /// Fails if the other side refuses the connection or does not accept it within
    /// [`CONNECT_TIMEOUT`]. No request has been sent then.
    pub async fn dial(addr: SocketAddr) -> Result<Self, HttpError> {
        let Ok(stream) = timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect_addr(addr)).await
        else {
            return Err(HttpError::TimedOut);
        };
        let mut conn = Self::accept(stream?)?;
        conn.writer.set_host(addr);
        Ok(conn)
    }

    /// Sends a request and waits for the complete response, for at most `limit` in all.
    ///
    /// # Errors
    ///
    /// Fails on a malformed or oversized response, on a timeout, and if the connection breaks. The
    /// request may have been executed then.
    pub async fn call(&mut self, request: &Request, limit: Millis) -> Result<Response, HttpError> {
        let bodiless = request.method == Method::HEAD;
        let work = async {
            self.writer.request(request).await?;
            self.reader.response(bodiless).await
        };
        timeout(limit.duration(), work)
            .await
            .unwrap_or(Err(HttpError::TimedOut))
    }
}
