//! HTTP/1.1 connections, as a client and as a server.
//!
//! Heads and chunks are decoded by `monoio-http`. That library does not limit sizes, and its
//! encoder delays streamed chunks until 8 KiB have accumulated. So this module limits every size
//! before it buffers, puts a timeout on reads and writes, and writes each chunk immediately
//! (docs/PROTOCOLS.md).

mod conn;
mod error;
mod keep;
mod message;
mod reader;
mod writer;

pub use conn::Conn;
pub use error::HttpError;
pub use keep::Account;
pub use keep::KeepLimit;
pub use message::Request;
pub use message::Response;
pub use reader::Bounds;
pub use reader::Reader;
pub use writer::Writer;
