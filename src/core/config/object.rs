//! The objects of a configuration, as operators write them in intents.
//!
//! These types only hold data. The other modules of [`super`] change them, and docs/operators/
//! shows them as YAML.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use crate::clock::Millis;
use crate::names::Domain;
use crate::names::EndpointName;
use crate::names::Kind;
use crate::names::Operator;
use crate::names::Owner;
use crate::names::ServiceName;
use crate::names::Team;
use crate::names::Version;

/// The SHA-256 digest of a secret or of a document, as lower-case hexadecimal digits.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub std::sync::Arc<str>);

impl Digest {
    /// Computes the digest of a bearer token, a canonical document or other bytes.
    pub fn of<B>(bytes: B) -> Self
    where
        B: AsRef<[u8]>,
    {
        let sum = Sha256::digest(bytes.as_ref());
        let mut text = String::with_capacity(DIGEST_DIGITS);
        for byte in sum {
            text.push(HEX[usize::from(byte >> 4)]);
            text.push(HEX[usize::from(byte & 0xf)]);
        }
        Self(text.into())
    }

    /// Returns whether the text has the form of a digest: 64 lower-case hexadecimal digits.
    pub fn is_valid(&self) -> bool {
        self.0.len() == DIGEST_DIGITS && self.0.chars().all(|c| HEX.contains(&c))
    }
}

/// The number of hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;
const HEX: [char; 16] = [
    '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'a', 'b', 'c', 'd', 'e', 'f',
];

/// A service that teams may call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name that callers use.
    pub name: ServiceName,
    /// Whether it is a model or a plain service, with the settings of that kind.
    pub kind: ServiceKind,
}

/// The kind of a service, with its settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceKind {
    /// A model, whose layers are held by one endpoint or a chain of endpoints.
    Model {
        /// The number of layers. A chain of endpoints covers the range from 0 to this number.
        layers: u32,
        /// The version of the weights. A change of it opens a paused rollout.
        version: Version,
    },
    /// A plain service, whose requests and responses are forwarded unchanged.
    Plain {
        /// The idempotent HTTP methods, whose requests may be retried; by default GET, HEAD and
        /// OPTIONS.
        #[serde(default = "idempotent_methods")]
        idempotent: Vec<String>,
    },
}

fn idempotent_methods() -> Vec<String> {
    vec!["GET".into(), "HEAD".into(), "OPTIONS".into()]
}

/// A back end that serves one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The name of the endpoint, unique in the configuration.
    pub name: EndpointName,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// The failure domain that it is in.
    pub domain: Domain,
    /// The owner, who approves the teams that may call it.
    pub owner: Owner,
    /// The service that it serves.
    pub service: ServiceName,
    /// The layers of the model that it holds; `None` for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layers: Option<Layers>,
    /// The kind of its accelerators; `none` by default.
    #[serde(default = "no_kind")]
    pub kind: Kind,
    /// The number of concurrent requests that it can process; 1 by default.
    #[serde(default = "one_slot")]
    pub slots: u32,
    /// The token steps per second of its layers at full batch; 0 if unknown.
    #[serde(default)]
    pub rate: u32,
    /// The one-way network delay to it.
    #[serde(default)]
    pub delay: Millis,
    /// Whether it checks fencing tokens and refuses an order with an outdated one.
    #[serde(default)]
    pub fencing: bool,
}

fn no_kind() -> Kind {
    Kind::from("none")
}

const fn one_slot() -> u32 {
    1
}

/// A half-open range of layers, `from..to`.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{from}..{to}")]
#[serde(deny_unknown_fields)]
pub struct Layers {
    /// The first layer of the range, counted from 0.
    pub from: u32,
    /// The layer after the last of the range.
    pub to: u32,
}

/// A team that calls services, the unit of grants, limits and fair queueing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// The name of the team.
    pub name: Team,
    /// The digest of its bearer token.
    pub token: Digest,
    /// Its weight in fair queueing; 1 by default.
    #[serde(default = "one_slot")]
    pub weight: u32,
    /// The priority class of its requests. Requests of a higher class are usually served first.
    #[serde(default)]
    pub priority: Priority,
    /// The maximum number of requests per second that it may start over all VMs; 0 for no limit.
    #[serde(default)]
    pub limit: u32,
}

/// The priority classes, highest first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A person waits for the answer at a counter or in a hearing.
    Urgent,
    /// The class of teams that configure none.
    #[default]
    Normal,
    /// Batch work, which may wait.
    Batch,
}

/// A grant. It lets a team call those endpoints of a service whose owner approved the team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The team that may call the service.
    pub team: Team,
    /// The service that it may call.
    pub service: ServiceName,
}

/// An owner of endpoints, who approves calling teams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerEntry {
    /// The name of the owner, which endpoints refer to.
    pub name: Owner,
    /// The digest of its bearer token.
    pub token: Digest,
}

/// An operator, who plans and confirms changes of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorEntry {
    /// The name that plans, drains and audit entries refer to.
    pub name: Operator,
    /// The digest of its bearer token.
    pub token: Digest,
}
