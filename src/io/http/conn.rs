//! A connection with its two halves.

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

/// A connection with its two halves, which may be used at the same time.
#[derive(Debug)]
pub struct Conn {
    /// The reading half.
    pub reader: Reader,
    /// The writing half.
    pub writer: Writer,
}

impl Conn {
    /// Takes over an accepted stream.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the socket's option.
    pub fn accept(stream: TcpStream) -> Result<Self, HttpError> {
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        Ok(Self {
            reader: Reader::new(read),
            writer: Writer::new(write),
        })
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the other side refuses, or does not answer within [`CONNECT_TIMEOUT`]; nothing was
    /// sent then.
    pub async fn dial(addr: SocketAddr) -> Result<Self, HttpError> {
        let Ok(stream) = timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect_addr(addr)).await
        else {
            return Err(HttpError::TimedOut);
        };
        let mut conn = Self::accept(stream?)?;
        conn.writer.set_host(addr);
        Ok(conn)
    }

    /// Sends a request and waits for the whole response, for no longer than `span`.
    ///
    /// # Errors
    ///
    /// Fails on malformed or oversized messages, on time-outs, and if the connection breaks; the
    /// request may have been run then.
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
