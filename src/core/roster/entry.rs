//! The entries that endpoints publish in the store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::pipe::Span;
use crate::core::position::Position;
use crate::names::Domain;
use crate::names::EndpointName;
use crate::names::Kind;
use crate::names::ServiceName;

/// What an endpoint publishes about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The endpoint's name. Most endpoints choose a new one at each start.
    pub endpoint: EndpointName,
    /// When the endpoint started, by its own clock, in milliseconds since the Unix epoch.
    pub born: u64,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// Where the endpoint accepts requests.
    pub addr: SocketAddr,
    /// The failure domain that the endpoint runs in.
    pub domain: Domain,
    /// Whether the endpoint is shutting down and takes no new requests.
    pub leaving: bool,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// The kind of accelerator; `None` if the endpoint is not an engine.
    pub kind: Option<Kind>,
    /// The model layers that are loaded; `None` if there are none.
    pub span: Option<Span>,
}

/// A change of one entry, as read from the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The endpoint whose entry changed.
    pub endpoint: EndpointName,
    /// The position of the change in the store's log.
    pub offset: Position,
    /// The new entry; `None` if it was removed or cannot be used.
    pub entry: Option<Entry>,
}
