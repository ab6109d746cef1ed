//! The objects of a configuration: what operators create and owners approve.
//!
//! These are plain data. How they change is in [`super`], and docs/operators/ shows them as YAML.

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
    /// Returns the digest of bytes, such as a bearer token or a canonical document.
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

    /// Says whether the text is a well-formed digest.
    pub fn is_valid(&self) -> bool {
        self.0.len() == DIGEST_DIGITS && self.0.chars().all(|c| HEX.contains(&c))
    }
}

/// The number of hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 64;
const HEX: [char; 16] = [
    '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'a', 'b', 'c', 'd', 'e', 'f',
];

/// A service that callers may call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name that callers use.
    pub name: ServiceName,
    /// What kind of service it is.
    pub kind: ServiceKind,
}

/// The two kinds of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceKind {
    /// A model, whose layers one endpoint or a chain of endpoints holds.
    Model {
        /// The number of layers, which a chain covers from 0 to this number.
        layers: u32,
        /// The version of the weights that is wanted.
        version: Version,
    },
    /// A plain service, whose requests and answers pass unchanged.
    Plain {
        /// The HTTP methods that may be repeated without a second effect.
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
    /// Its name, unique in the configuration.
    pub name: EndpointName,
    /// The address that it serves at.
    pub addr: SocketAddr,
    /// The failure domain that it is in.
    pub domain: Domain,
    /// Who owns it and approves teams.
    pub owner: Owner,
    /// The service that it serves.
    pub service: ServiceName,
    /// The layers that it holds; `None` for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layers: Option<Layers>,
    /// The kind of its accelerators.
    #[serde(default = "no_kind")]
    pub kind: Kind,
    /// How many requests it works on at a time.
    #[serde(default = "one_slot")]
    pub slots: u32,
    /// The token steps a second of its layers at full batch; 0 if unknown.
    #[serde(default)]
    pub rate: u32,
    /// The one-way delay of the link to it.
    #[serde(default)]
    pub delay: Millis,
    /// Whether it refuses an order that carries an old fencing number.
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
    /// The first layer.
    pub from: u32,
    /// The layer after the last.
    pub to: u32,
}

/// A calling team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// Its name.
    pub name: Team,
    /// The digest of its bearer token.
    pub token: Digest,
    /// Its weight in the fair shares.
    #[serde(default = "one_slot")]
    pub weight: u32,
    /// Its priority; counter staff come before batch work.
    #[serde(default)]
    pub priority: Priority,
    /// The most requests a second that it may start, over all VMs; 0 for no limit.
    #[serde(default)]
    pub limit: u32,
}

/// The priority classes, the most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A person waits at a counter or in a hearing.
    Urgent,
    /// The usual class.
    #[default]
    Normal,
    /// Work that may wait.
    Batch,
}

/// A grant: it admits a team to a service's endpoints whose owner approved it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The team that is admitted.
    pub team: Team,
    /// The service that it is admitted to.
    pub service: ServiceName,
}

/// An owner of endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerEntry {
    /// Its name.
    pub name: Owner,
    /// The digest of its bearer token.
    pub token: Digest,
}

/// An operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorEntry {
    /// Its name.
    pub name: Operator,
    /// The digest of its bearer token.
    pub token: Digest,
}
