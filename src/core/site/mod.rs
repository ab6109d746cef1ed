//! The configuration of an entry VM as the operator wrote it to the store: routes, services, teams.
//!
//! A [`Site`] is always whole and replaces the one before it, so a VM holds exactly one version and
//! [`Accepted`] never goes back (docs/PLATFORM.md).

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
pub use self::packed::PackedError;
pub use self::route::Route;
pub use self::route::RouteError;
pub use self::route::RouteKind;
pub use self::route::RouteMatch;
pub use self::route::WeightedService;
use crate::clock::Millis;
use crate::names::ServiceName;
use crate::names::Team;

/// One version of the configuration, whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// The operator's version; versions rise in uneven steps.
    pub version: u64,
    /// The routes, in the order in which they were written.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The holder of each key; `None` if requests need no key.
    pub keys: Option<BTreeMap<String, KeyHolder>>,
    /// What callers may send.
    pub limits: Limits,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The most connections that one endpoint of it accepts from all callers.
    pub connections: u32,
    /// The model, if its endpoints are engines that hold ranges of layers.
    pub model: Option<Model>,
}

/// The team that holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHolder {
    /// The team.
    pub team: Team,
    /// Its rank, 0 first, which goes before the route's.
    pub priority: Option<u8>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head, in bytes.
    pub head: usize,
    /// The largest body, in bytes.
    pub body: usize,
    /// How long a head may take to arrive.
    pub arrival: Millis,
    /// How long an idle connection is kept.
    pub idle: Millis,
}
