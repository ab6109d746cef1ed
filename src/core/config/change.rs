//! Objects of any kind, their keys, and changes to them.

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

/// The place of a record in its stream; also the version of an object that the record changed.
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

    /// Returns how many records lie between `earlier` and this offset, or 0 if it is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// An object of any kind.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Object {
    /// A service.
    Service(Service),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A calling team.
    Team(TeamEntry),
    /// A grant.
    Grant(Grant),
    /// An owner.
    Owner(OwnerEntry),
    /// An operator.
    Operator(OperatorEntry),
}

impl Object {
    /// Returns the key that the object is found by.
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

/// The key of an object: its kind and its name.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Key {
    /// A service.
    #[display("service {_0}")]
    Service(ServiceName),
    /// An endpoint.
    #[display("endpoint {_0}")]
    Endpoint(EndpointName),
    /// A calling team.
    #[display("team {_0}")]
    Team(Team),
    /// A grant.
    #[display("grant of {} to {}", _0.service, _0.team)]
    Grant(Grant),
    /// An owner.
    #[display("owner {_0}")]
    Owner(Owner),
    /// An operator.
    #[display("operator {_0}")]
    Operator(Operator),
}

/// One object's change; `None` stands for an object that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Which object changes.
    pub key: Key,
    /// The object before.
    pub before: Option<Object>,
    /// The object after.
    pub after: Option<Object>,
}
