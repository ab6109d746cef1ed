//! A platform's message formats: names of headers and topics, and functions that build requests and
//! parse responses. None of them makes a decision (docs/PLATFORM.md).

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
use crate::core::position::Position;
use crate::core::roster::Entry;
use crate::core::site::SiteConfig;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::names::Domain;
use crate::names::EndpointName;

/// A message that cannot be parsed.
#[derive(Debug, Display, Error, From)]
pub enum DialectError {
    /// The body is not JSON of the expected form.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A field is missing or of another type.
    #[display("field {field} is missing or of another type")]
    #[from(skip)]
    Field {
        /// The field's name in the message.
        field: &'static str,
    },
    /// The body ends in the middle of a record.
    #[display("the body ends in the middle of a record")]
    #[from(skip)]
    Short,
    /// The response has an error status.
    #[display("status {status}")]
    #[from(skip)]
    Status {
        /// The HTTP status code.
        status: u16,
    },
}

/// The names of the headers that the edge reads and sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id of a caller's attempt; endpoints may repeat it in their answers.
    pub request_id: HeaderName,
    /// How long the caller still waits, in milliseconds.
    pub deadline: HeaderName,
    /// The endpoint that is meant to run the request.
    pub expected_endpoint: HeaderName,
    /// The team whose key the request carries.
    pub team: HeaderName,
    /// The endpoint's signature of its answer; an answer without one is not trusted.
    pub signature: HeaderName,
    /// Present if the endpoint did not run the request.
    pub not_run: HeaderName,
    /// The era of the store, in all its answers; it rises when the store comes back from an older
    /// copy.
    pub store_era: HeaderName,
    /// Holds `1` if the endpoint is leaving and takes no new work.
    pub leaving: HeaderName,
    /// The requests a second that the endpoint takes from all VMs together.
    pub limit: HeaderName,
    /// The path of engines, each with the layers that it runs.
    pub path: HeaderName,
    /// The address of the engine that made the path refuse the request.
    pub faulty_addr: HeaderName,
    /// The id of the last event that the caller received.
    pub last_event: HeaderName,
    /// The number of prompt tokens and the limit of answer tokens, separated by a comma.
    pub tokens: HeaderName,
    /// The priority of the request at an engine; 0 is the highest.
    pub priority: HeaderName,
    /// The caller's estimate of the number of answer tokens.
    pub length_hint: HeaderName,
}

/// The store's topics and keys that the edge uses.
#[derive(Clone, Copy, Debug)]
pub struct Topics {
    /// The topic to which the operator writes the configuration.
    pub operator: &'static str,
    /// The key of the configuration in the topic [`Self::operator`].
    pub config_key: &'static str,
    /// The topic to which endpoints write their entries.
    pub endpoints: &'static str,
    /// The topic to which VMs write their records, keyed by VM name.
    pub vms: &'static str,
    /// The topic to which VMs write the requests that are barred, keyed by content.
    pub bars: &'static str,
    /// The topic from whose positions placement leaders take their fencing tokens.
    pub terms: &'static str,
}

/// A record of a compacted topic, which keeps the newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key; the newest record of a key replaces the earlier ones.
    pub key: String,
    /// The value; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// The record's position in its topic.
    pub offset: Position,
}

/// The result of reading a topic from a position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tail {
    /// The records, and the position to read from next.
    Records(Vec<KeyedRecord>, Position),
    /// The records from the position on are no longer all kept, or the store came back from an older
    /// copy; the newest of each key still are.
    Truncated,
}

/// A page of the newest records of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The newest records of this page's keys.
    pub records: Vec<KeyedRecord>,
    /// The key after which the next page starts; `None` on the last page.
    pub cursor: Option<String>,
    /// The position after the newest record of the topic.
    pub end: Position,
}

/// An order to an engine to hold a range of layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerOrder {
    /// The layers to hold.
    pub layers: Span,
    /// The fencing token of the sender's term.
    pub fence: u64,
    /// How many orders the engine must have accepted so far for this one to apply.
    pub expected_orders: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine has started to carry it out.
    Begun,
    /// The engine is already in the ordered state.
    Done,
    /// The engine is not in the state that the order was made for.
    Stale,
    /// A leader with a higher fencing token has sent orders since.
    Fenced,
    /// The engine refused it for another reason, with this HTTP status.
    Refused(u16),
}

/// An engine's report on itself and on the engines after it in its paths.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// How many times longer than usual its work takes; 1 is normal.
    pub pace: f64,
    /// The addresses of the engines that stall its work.
    pub stalled: Vec<SocketAddr>,
    /// The number of orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// The layers that it holds, if any.
    pub layers: Option<Span>,
    /// When its process started, by its own clock, in milliseconds since the Unix epoch; `None` if it does
    /// not say so.
    pub born: Option<u64>,
}

/// A request of the platform or a caller to the edge itself, not to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlQuery {
    /// Asks whether this VM is ready to serve callers.
    Ready,
    /// Asks which addresses a caller may connect to; the domain is the caller's, if known.
    Addresses(Option<Domain>),
}

/// The functions that build and parse a platform's messages.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// The names of its headers.
    pub headers: Headers,
    /// The topics and keys of its store.
    pub topics: Topics,
    /// Returns the API key of a request from its headers.
    pub api_key: fn(&Request) -> Option<&str>,
    /// Returns the ids of the parts of a request's prompt that other requests share, in order. The
    /// last part belongs to the request or its session alone and is left out.
    pub shared_parts: fn(&Request) -> Vec<&str>,
    /// Parses a control request; `None` if it is not one.
    pub parse_query: fn(&Request) -> Option<ControlQuery>,
    /// Builds the response with the addresses for callers, which they may cache for the given time.
    pub addresses_response: fn(&[SocketAddr], Millis) -> Response,
    /// Parses a configuration.
    pub parse_site: fn(&[u8]) -> Result<SiteConfig, DialectError>,
    /// Parses an endpoint's entry in the store.
    pub parse_entry: fn(&EndpointName, &[u8]) -> Result<Entry, DialectError>,
    /// Builds a request for a topic's records from an offset on; the store waits for the first one
    /// for up to `wait`.
    pub tail_request: fn(topic: &str, from: u64, wait: Millis) -> Request,
    /// Parses the response to [`Self::tail_request`] for records from the given position on.
    pub parse_tail: fn(&Response, Position) -> Result<Tail, DialectError>,
    /// Builds a request for a page of the newest records of a topic, after a key or from the first
    /// one.
    pub newest_request: fn(topic: &str, after: Option<&str>) -> Request,
    /// Parses the response to [`Self::newest_request`] in the given era of the store.
    pub parse_page: fn(&Response, u64) -> Result<Page, DialectError>,
    /// Builds a request that appends a record under a key.
    pub append_request: fn(topic: &str, key: &str, value: &[u8]) -> Request,
    /// Parses the response to [`Self::append_request`]: the offset of the record.
    pub parse_append: fn(&Response) -> Result<u64, DialectError>,
    /// Builds the value of the path header.
    pub path_header: fn(&[Part]) -> HeaderValue,
    /// Builds the request for an order to hold layers.
    pub order_request: fn(&LayerOrder) -> Request,
    /// Parses the response to [`Self::order_request`] or [`Self::repath_request`].
    pub parse_answer: fn(&Response) -> OrderAnswer,
    /// Builds a request that changes the path of a request in progress.
    pub repath_request: fn(request: &str, path: &[Part]) -> Request,
    /// Builds the request for an engine's report.
    pub report_request: fn() -> Request,
    /// Parses the response to [`Self::report_request`].
    pub parse_report: fn(&Response) -> Result<Report, DialectError>,
}
