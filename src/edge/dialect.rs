//! How a platform spells what the edge says and hears: names, formats and calls, as plain
//! functions that decide nothing (docs/PLATFORM.md).

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use http::HeaderName;
use http::HeaderValue;

use crate::clock::Millis;
use crate::core::pipe::Part;
use crate::core::pipe::Span;
use crate::core::roster::Entry;
use crate::core::site::Site;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::names::Domain;
use crate::names::EndpointName;

/// A message that cannot be understood.
#[derive(Debug, Display, Error, From)]
pub enum DialectError {
    /// The body is not in the form that was expected.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A field is missing or of another type.
    #[display("field {field} is missing or of another type")]
    #[from(skip)]
    Field {
        /// The field, as the platform spells it.
        field: &'static str,
    },
    /// The body ends in the middle of a record.
    #[display("the body ends in the middle of a record")]
    #[from(skip)]
    Short,
    /// The other side answered with a status that is no success.
    #[display("status {status}")]
    #[from(skip)]
    Status {
        /// The status.
        status: u16,
    },
}

/// The names of headers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id of a caller's attempt.
    pub request_id: HeaderName,
    /// The milliseconds that a caller will still wait.
    pub deadline: HeaderName,
    /// The endpoint that must be the one to run a request.
    pub expected_endpoint: HeaderName,
    /// The team that the request's key belongs to.
    pub team: HeaderName,
    /// The endpoint's signature of its answer.
    pub signature: HeaderName,
    /// Says that an endpoint did not run the request.
    pub not_run: HeaderName,
    /// The path through the engines.
    pub path: HeaderName,
    /// The endpoint at fault, by address.
    pub faulty_addr: HeaderName,
    /// The id of the last event that a caller has.
    pub last_event: HeaderName,
    /// The number of prompt tokens and the most answer tokens.
    pub tokens: HeaderName,
    /// The rank of a request at an engine.
    pub priority: HeaderName,
    /// The caller's estimate of the answer's tokens.
    pub length_hint: HeaderName,
}

/// The store's topics and keys that the edge follows.
#[derive(Clone, Copy, Debug)]
pub struct Topics {
    /// Where the operator writes the configuration.
    pub operator: &'static str,
    /// The key of the configuration there.
    pub config_key: &'static str,
    /// Where endpoints write their entries.
    pub endpoints: &'static str,
    /// Where VMs write where they are, by name.
    pub vms: &'static str,
    /// Where holders of orders take their fencing numbers from.
    pub terms: &'static str,
}

/// A record of a topic that keeps the newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was dropped.
    pub value: Option<Bytes>,
    /// The record's offset.
    pub offset: u64,
}

/// What a read of a topic's tail gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tail {
    /// The records, and the offset to read from next.
    Records(Vec<KeyedRecord>, u64),
    /// The records asked for are no longer kept; the newest of each key still are.
    Truncated,
}

/// A page of the newest records of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// The last key, if more pages follow.
    pub cursor: Option<String>,
    /// The offset after the newest record of the topic.
    pub end: u64,
}

/// An order to an engine: the layers that it should hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerOrder {
    /// The layers.
    pub layers: Span,
    /// The fencing number of the sender's term.
    pub fence: u64,
    /// The number of orders that the engine has accepted, if this is the next.
    pub expected_orders: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It has begun.
    Begun,
    /// The state holds already.
    Done,
    /// The engine's state is not the one that the order was made for.
    Stale,
    /// A holder with a higher fencing number has given orders since.
    Fenced,
    /// It is refused for another reason.
    Refused(u16),
}

/// What an engine says of itself and of the engines behind it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// How many times longer than usual its work takes.
    pub pace: f64,
    /// The addresses of engines that hold up its work.
    pub stalled: Vec<SocketAddr>,
    /// The orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Whether it carries an order out now.
    pub busy: bool,
    /// The layers that it holds.
    pub layers: Option<Span>,
}

/// A question to the edge that is no request for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlQuery {
    /// Is this VM ready?
    Ready,
    /// Where may a caller in this domain connect?
    Addresses(Option<Domain>),
}

/// The functions that spell and read messages.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header names.
    pub headers: Headers,
    /// Topics.
    pub topics: Topics,
    /// The key of a request, from its headers.
    pub api_key: fn(&Request) -> Option<&str>,
    /// Reads a question to the edge.
    pub parse_query: fn(&Request) -> Option<ControlQuery>,
    /// Spells where callers may connect and for how long they may keep that.
    pub addresses_response: fn(&[SocketAddr], Millis) -> Response,
    /// Reads a configuration.
    pub parse_site: fn(&[u8]) -> Result<Site, DialectError>,
    /// Reads an endpoint's entry.
    pub parse_entry: fn(&EndpointName, &[u8]) -> Result<Entry, DialectError>,
    /// Asks for a topic's records from an offset on, waiting for the first if there is none.
    pub tail_request: fn(topic: &str, from: u64, wait: Millis) -> Request,
    /// Reads the answer to [`Self::tail_request`].
    pub parse_tail: fn(&Response, u64) -> Result<Tail, DialectError>,
    /// Asks for the newest records of a topic, after a key.
    pub newest_request: fn(topic: &str, after: Option<&str>) -> Request,
    /// Reads the answer to [`Self::newest_request`].
    pub parse_page: fn(&Response) -> Result<Page, DialectError>,
    /// Appends a record under a key.
    pub append_request: fn(topic: &str, key: &str, value: &[u8]) -> Request,
    /// Reads the offset of the appended record.
    pub parse_append: fn(&Response) -> Result<u64, DialectError>,
    /// Spells the path through the engines.
    pub path_header: fn(&[Part]) -> HeaderValue,
    /// Spells an order.
    pub order_request: fn(&LayerOrder) -> Request,
    /// Reads the answer to an order.
    pub parse_answer: fn(&Response) -> OrderAnswer,
    /// Spells an order that changes the path of a request in progress.
    pub repath_request: fn(request: &str, path: &[Part]) -> Request,
    /// Asks an engine for its report.
    pub report_request: fn() -> Request,
    /// Reads a report.
    pub parse_report: fn(&Response) -> Result<Report, DialectError>,
}
