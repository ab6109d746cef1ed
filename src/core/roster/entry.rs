//! What an endpoint says of itself.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::pipe::Span;
use crate::names::Domain;
use crate::names::EndpointName;
use crate::names::Kind;
use crate::names::ServiceName;

/// An endpoint's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name, which mostly changes at each start.
    pub endpoint: EndpointName,
    /// When it started, by its own clock, in milliseconds since the Unix epoch.
    pub born: u64,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Its accelerator, if it is an engine.
    pub kind: Option<Kind>,
    /// The layers that it holds.
    pub span: Option<Span>,
}

/// A change of one entry, as the store tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Where the change stands in the store's log.
    pub offset: u64,
    /// The entry; `None` if it was removed or names no endpoint to use.
    pub entry: Option<Entry>,
}
