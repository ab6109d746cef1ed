//! Configuration objects of any kind, their keys, and changes to them.

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::core::config::object::Endpoint;
use crate::core::config::object::Grant;
use crate::core::config::object::OperatorEntry;
use crate::core::config::object::OwnerEntry;
use crate::core::config::object::Service;
use crate::core::config::object::TeamEntry;
use crate::names::EndpointName;
use crate::names::Operator;
use crate::names::Owner;
use crate::names::ServiceName;
use crate::names::Team;

/// The position of a record in the `config` stream, counted from 0. It is also the version of the
/// objects that the record changed.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns how many records this offset is after `earlier`, or 0 if it is before it.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A configuration object of any kind.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Object {
    /// A model or a plain service.
    Service(Service),
    /// A back end of a service.
    Endpoint(Endpoint),
    /// A calling team.
    Team(TeamEntry),
    /// The grant of a service to a team.
    Grant(Grant),
    /// An owner of endpoints.
    Owner(OwnerEntry),
    /// A person who may change the configuration.
    Operator(OperatorEntry),
}

impl Object {
    /// Returns the key that identifies the object.
    pub fn key(&self) -> Key {
        match self {
            Self::Service(service) => Key::Service(service.name.clone()),
            Self::Endpoint(endpoint) => Key::Endpoint(endpoint.name.clone()),
            Self::Team(team) => Key::Team(team.name.clone()),
            Self::Grant(grant) => Key::Grant(grant.clone()),
            Self::Owner(owner) => Key::Owner(owner.name.clone()),
            Self::Operator(operator) => Key::Operator(operator.name.clone()),
        }
    }
}

/// The key of an object: its kind and its name. A grant has no name and is its own key.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Key {
    /// The key of a service.
    #[display("service {_0}")]
    Service(ServiceName),
    /// The key of an endpoint.
    #[display("endpoint {_0}")]
    Endpoint(EndpointName),
    /// The key of a calling team.
    #[display("team {_0}")]
    Team(Team),
    /// The key of a grant.
    #[display("grant of {} to {}", _0.service, _0.team)]
    Grant(Grant),
    /// The key of an owner.
    #[display("owner {_0}")]
    Owner(Owner),
    /// The key of an operator.
    #[display("operator {_0}")]
    Operator(Operator),
}

/// The creation, replacement or removal of one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The object that changes.
    pub key: Key,
    /// The object before; `None` if it did not exist.
    pub before: Option<Object>,
    /// The object after; `None` if it is removed.
    pub after: Option<Object>,
}
