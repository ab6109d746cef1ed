//! The wire format of the stand-ins: domain types as JSON, and their own header names.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Uri;
use serde::Deserialize;
use serde::Serialize;

use super::store::Record;
use super::store::Records;
use super::store::value;
use crate::clock::Millis;
use crate::core::pipe::Part;
use crate::core::pipe::Span;
use crate::core::position::Position;
use crate::edge::dialect::ControlQuery;
use crate::edge::dialect::Dialect;
use crate::edge::dialect::DialectError;
use crate::edge::dialect::Headers;
use crate::edge::dialect::KeyedRecord;
use crate::edge::dialect::LayerOrder;
use crate::edge::dialect::OrderAnswer;
use crate::edge::dialect::Page;
use crate::edge::dialect::Report;
use crate::edge::dialect::Tail;
use crate::edge::dialect::Topics;
use crate::io::http::Request;
use crate::io::http::Response;

/// An order to an engine, in its wire format.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Changes the layers that the engine holds.
    Hold {
        /// The layers to hold.
        span: Span,
        /// The fencing token of the sender; lower ones than the highest seen are refused.
        fence: u64,
        /// The number of orders that the engine must have accepted before this one.
        after: u64,
    },
    /// Moves a running request to another path.
    Repath {
        /// The id of the request.
        request: String,
        /// The new path, in the format of the `path` header.
        path: String,
    },
}

/// The report of an engine, in its wire format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportBody {
    /// The addresses of stalled engines.
    pub stalled: Vec<SocketAddr>,
    /// The number of orders accepted so far.
    pub orders: u64,
    /// The layers held; `None` for a plain endpoint or an engine without layers.
    pub span: Option<Span>,
    /// When the process started.
    #[serde(default)]
    pub born: Option<u64>,
}

/// Returns the dialect of the stand-ins, for use by an edge daemon.
pub fn dialect() -> Dialect {
    let name = HeaderName::from_static;
    Dialect {
        headers: Headers {
            request_id: name("request-id"),
            deadline: name("deadline"),
            expected_endpoint: name("endpoint"),
            team: name("team"),
            signature: name("signature"),
            not_run: name("not-run"),
            store_era: name("era"),
            leaving: name("leaving"),
            limit: name("limit"),
            path: name("path"),
            faulty_addr: name("fault"),
            last_event: name("last-event-id"),
            tokens: name("tokens"),
            priority: name("rank"),
            length_hint: name("hint"),
        },
        topics: Topics {
            operator: "operator",
            config_key: "site",
            endpoints: "endpoints",
            vms: "vms",
            bars: "bars",
            terms: "terms",
        },
        api_key: |request| request.header(&HeaderName::from_static("key")),
        shared_parts,
        parse_query,
        addresses_response: |list, _| Response::json(StatusCode::OK, &list),
        parse_site: |bytes| Ok(serde_json::from_slice(bytes)?),
        parse_entry: |_, bytes| Ok(serde_json::from_slice(bytes)?),
        tail_request: |topic, from, wait| {
            get(&format!("/tail?topic={topic}&from={from}&wait={}", wait.0))
        },
        parse_tail: |response, from| {
            if response.status == StatusCode::GONE {
                return Ok(Tail::Truncated);
            }
            let era = from.era();
            let read = parse_records(response)?;
            let records = read.records.iter().map(|record| keyed_record(record, era));
            Ok(Tail::Records(
                records.collect(),
                Position::new(era, read.end),
            ))
        },
        newest_request: |topic, _| get(&format!("/newest?topic={topic}")),
        parse_page: |response, era| {
            let read = parse_records(response)?;
            let records = read.records.iter().map(|record| keyed_record(record, era));
            Ok(Page {
                records: records.collect(),
                cursor: None,
                end: Position::new(era, read.end),
            })
        },
        append_request: |topic, key, value| {
            let mut request = get(&format!("/append?topic={topic}&key={key}"));
            request.method = Method::POST;
            request.body = Bytes::copy_from_slice(value);
            request
        },
        parse_append: |response| Ok(response.parse()?),
        path_header,
        order_request,
        parse_answer: |response| match response.status.as_u16() {
            202 => OrderAnswer::Begun,
            409 => OrderAnswer::Stale,
            412 => OrderAnswer::Fenced,
            status => OrderAnswer::Refused(status),
        },
        repath_request,
        report_request: || get("/report"),
        parse_report,
    }
}

/// Formats a path as `ADDR=FROM-TO,...`, as in the `path` header.
pub fn format_path(parts: &[Part]) -> String {
    let part = |part: &Part| format!("{}={}-{}", part.addr, part.span.from, part.span.to);
    parts.iter().map(part).collect::<Vec<_>>().join(",")
}

fn path_header(parts: &[Part]) -> HeaderValue {
    HeaderValue::from_str(&format_path(parts)).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn shared_parts(request: &Request) -> Vec<&str> {
    let list = request.header(&HeaderName::from_static("parts"));
    let mut parts: Vec<&str> = list.map_or_else(Vec::new, |list| list.split(',').collect());
    parts.pop();
    parts
}

fn parse_query(request: &Request) -> Option<ControlQuery> {
    match request.uri.path() {
        "/ready" => Some(ControlQuery::Ready),
        "/addresses" => Some(ControlQuery::Addresses(None)),
        _ => None,
    }
}

fn order_request(order: &LayerOrder) -> Request {
    order_post(&Order::Hold {
        span: order.layers,
        fence: order.fence,
        after: order.expected_orders,
    })
}

fn repath_request(request: &str, parts: &[Part]) -> Request {
    order_post(&Order::Repath {
        request: request.to_owned(),
        path: format_path(parts),
    })
}

fn order_post(order: &Order) -> Request {
    let mut request = get("/order");
    request.method = Method::POST;
    request.body = serde_json::to_vec(order).unwrap_or_default().into();
    request
}

fn parse_report(response: &Response) -> Result<Report, DialectError> {
    let body: ReportBody = response.parse()?;
    Ok(Report {
        pace: 1.0,
        stalled: body.stalled,
        accepted_orders: body.orders,
        busy: false,
        layers: body.span,
        born: body.born,
    })
}

fn parse_records(response: &Response) -> Result<Records, DialectError> {
    Ok(response.parse()?)
}

fn keyed_record(record: &Record, era: u64) -> KeyedRecord {
    KeyedRecord {
        key: record.key.clone(),
        value: value(record),
        offset: Position::new(era, record.offset),
    }
}

fn get(target: &str) -> Request {
    Request::new(Method::GET, Uri::try_from(target).unwrap_or_default())
}

/// The time to generate one event of a stream, over all layers.
pub const EVENT_INTERVAL: Millis = Millis(10);
