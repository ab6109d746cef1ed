//! The configuration of an entry VM as the operator wrote it to the store: routes, services, teams.
//!
//! A [`SiteConfig`] is always complete and replaces the previous one, so a VM holds exactly one
//! version. [`ActiveConfig`] never returns to an older one (docs/PLATFORM.md).

mod accepted;
mod model;
mod packed;
mod route;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

pub use self::accepted::ActiveConfig;
pub use self::accepted::OfferResult;
pub use self::model::Card;
pub use self::model::Model;
pub use self::packed::PackedConfig;
pub use self::route::Route;
pub use self::route::RouteError;
pub use self::route::RouteKind;
pub use self::route::RouteMatch;
pub use self::route::WeightedService;
use crate::clock::Millis;
use crate::names::ServiceName;
use crate::names::Team;

/// One complete version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// The operator's version number; versions increase, with gaps.
    pub version: u64,
    /// The routes, in the order of the operator's file.
    pub routes: Vec<Route>,
    /// The services that routes may name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The holder of each API key; `None` if requests need no key.
    pub keys: Option<BTreeMap<String, KeyHolder>>,
    /// The bounds on requests and connections of callers.
    pub limits: Limits,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The maximum number of connections that each endpoint accepts from all callers.
    pub connections: u32,
    /// The model, if the endpoints are engines that hold ranges of layers; `None` for a plain
    /// service.
    pub model: Option<Model>,
}

/// The holder of an API key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHolder {
    /// The calling team that uses the key.
    pub team: Team,
    /// The priority of its requests, 0 highest; `None` to use that of the route.
    pub priority: Option<u8>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request head, in bytes.
    pub head: usize,
    /// The maximum size of a request body, in bytes.
    pub body: usize,
    /// How long a request head may take to arrive.
    pub arrival: Millis,
    /// How long an idle connection is kept open.
    pub idle: Millis,
}
