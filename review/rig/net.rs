//! A minimal HTTP/1.1 reader and writer over blocking sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body arrived, by its framing.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&addr, Duration::from_secs(1))?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16384];
        let size = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..size]);
        Ok(size)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the head of a message; `None` if the other side closed the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else { return Ok(None) };
        let mut message = Message { start, ..Message::default() };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    if let Some((name, value)) = line.split_once(':') {
                        message.headers.push((name.to_owned(), value.trim().to_owned()));
                    }
                }
            }
        }
    }

    /// Reads a whole message. A response without a length ends with the connection.
    pub fn message(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if message.header("transfer-encoding").is_some() {
            while let Some(part) = self.chunk()? {
                if part.is_empty() {
                    message.whole = true;
                    break;
                }
                message.body.extend_from_slice(&part);
            }
        } else if let Some(size) = message.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
            while self.buf.len() < size && self.fill()? > 0 {}
            message.whole = self.buf.len() >= size;
            message.body = self.buf.drain(..size.min(self.buf.len())).collect();
        } else if is_response {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buf);
            message.whole = true;
        } else {
            message.whole = true;
        }
        Ok(Some(message))
    }

    /// Reads a chunk of a body, which is empty at its end; `None` if the connection ended before.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
        while self.buf.len() < size + 2 {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        let part: Vec<u8> = self.buf.drain(..size + 2).take(size).collect();
        Ok(Some(part))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

/// Sends a request without a body on a new connection and reads the response, for at most `limit`.
pub fn get(addr: SocketAddr, target: &str, limit: Duration) -> io::Result<Message> {
    let mut conn = Conn::open(addr)?;
    conn.stream.set_read_timeout(Some(limit))?;
    conn.write(format!("GET {target} HTTP/1.1\r\nHost: {addr}\r\n\r\n").as_bytes())?;
    conn.message(true)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = (0..3).fold(0u32, |number, at| number << 8 | u32::from(*group.get(at).unwrap_or(&0)));
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= group.len() { digit } else { '=' });
        }
    }
    text
}
