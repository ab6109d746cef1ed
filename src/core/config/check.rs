//! Checks of single objects, independent of the configuration in force.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::change::Key;
use crate::core::config::change::Object;
use crate::core::config::intent::MAX_INTENT_OBJECTS;
use crate::core::config::object::Digest;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Service;
use crate::core::config::object::ServiceKind;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The maximum number of layers of a model.
pub const MAX_MODEL_LAYERS: u32 = 4096;
/// The maximum number of slots of an endpoint, which is the number of its concurrent requests.
pub const MAX_ENDPOINT_SLOTS: u32 = 65_536;
/// The maximum rate of an endpoint, in token steps per second.
pub const MAX_ENDPOINT_RATE: u32 = 100_000_000;
/// The maximum one-way delay of the link to an endpoint.
pub const MAX_LINK_DELAY: Millis = Millis::seconds(10);
/// The maximum weight of a team in fair queueing.
pub const MAX_TEAM_WEIGHT: u32 = 1_000_000;
/// The maximum number of idempotent HTTP methods that a plain service may list.
pub const MAX_SERVICE_METHODS: usize = 16;

/// The reason why an object or a list of objects is invalid.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{problem}{}", self.subject())]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The rule that is violated.
    pub problem: Problem,
    /// The object that violates it; `None` if the rule is about all objects together.
    pub key: Option<Key>,
}

impl Fault {
    /// Creates the fault of one object.
    pub const fn new(problem: Problem, key: Key) -> Self {
        Self {
            problem,
            key: Some(key),
        }
    }

    /// Returns the key of the invalid object; `None` if the fault is about all objects together.
    pub const fn key(&self) -> Option<&Key> {
        self.key.as_ref()
    }

    fn subject(&self) -> String {
        let subject = self.key.as_ref().map(|key| format!(": {key}"));
        subject.unwrap_or_default()
    }
}

/// The rules that objects can violate.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Problem {
    /// The intent names more than [`MAX_INTENT_OBJECTS`] objects.
    #[display("more than {MAX_INTENT_OBJECTS} objects in one intent")]
    TooMany,
    /// The intent names an object twice.
    #[display("the object is named twice")]
    NamedTwice,
    /// A name is empty, too long, has a character outside `A-Z a-z 0-9 . _ -`, or does
    /// not start with a letter or digit.
    #[display(
        "a name must have 1 to {MAX_NAME_BYTES} characters of A-Z a-z 0-9 . _ - and start with a \
         letter or digit"
    )]
    Name,
    /// A token's digest is not 64 lower-case hexadecimal digits.
    #[display("a token's digest must be 64 lower-case hexadecimal digits")]
    TokenDigest,
    /// Two principals would have the same token.
    #[display("the token is in use")]
    TokenTaken,
    /// Two endpoints would have the same address.
    #[display("the address is in use")]
    AddrTaken,
    /// The port is 0, or the IP address is unspecified or multicast.
    #[display("the address must name a host and a port")]
    Addr,
    /// The number of layers of a model is out of range.
    #[display("a model must have 1 to {MAX_MODEL_LAYERS} layers")]
    ModelLayers,
    /// The layers of an endpoint are not a non-empty range within its model, or it serves a plain
    /// service, which has no layers.
    #[display("the layers must be a range inside the model, and a plain service has none")]
    Layers,
    /// The list of idempotent methods is too long or has an entry that is not an HTTP method in
    /// capitals.
    #[display("the idempotent methods must be at most {MAX_SERVICE_METHODS} names in capitals")]
    Methods,
    /// The weight of a team is out of range.
    #[display("a weight must be 1 to {MAX_TEAM_WEIGHT}")]
    Weight,
    /// The slots, the rate or the delay of an endpoint is out of range.
    #[display(
        "an endpoint must have 1 to {MAX_ENDPOINT_SLOTS} slots, a rate of at most \
         {MAX_ENDPOINT_RATE} and a delay of at most {MAX_LINK_DELAY} ms"
    )]
    Range,
    /// The service that the object names does not exist.
    #[display("the service does not exist")]
    NoService,
    /// The owner that the object names does not exist.
    #[display("the owner does not exist")]
    NoOwner,
    /// The team that the object names does not exist.
    #[display("the team does not exist")]
    NoTeam,
    /// The intent removes an object that other objects refer to.
    #[display("other objects refer to the object that is to be removed")]
    InUse,
    /// The changes would leave the configuration without any operator.
    #[display("the configuration must name an operator")]
    NoOperator,
}

/// Checks each object of an intent, the number of objects, and that none is named twice.
pub(super) fn validate_objects(wanted: &[Object], removed: &[Key]) -> Result<(), Fault> {
    if wanted.len() + removed.len() > MAX_INTENT_OBJECTS {
        return Err(Fault {
            problem: Problem::TooMany,
            key: None,
        });
    }
    let mut keys = BTreeSet::new();
    for key in wanted
        .iter()
        .map(Object::key)
        .chain(removed.iter().cloned())
    {
        if !keys.insert(key.clone()) {
            return Err(Fault::new(Problem::NamedTwice, key));
        }
    }
    wanted.iter().try_for_each(validate_object)
}

/// Checks a single object.
pub(super) fn validate_object(object: &Object) -> Result<(), Fault> {
    match object_problem(object) {
        Some(problem) => Err(Fault::new(problem, object.key())),
        None => Ok(()),
    }
}

fn object_problem(object: &Object) -> Option<Problem> {
    if !names(object).into_iter().all(is_name) {
        return Some(Problem::Name);
    }
    match object {
        Object::Service(service) => service_problem(service),
        Object::Endpoint(endpoint) => endpoint_problem(endpoint),
        Object::Team(team) if !(1..=MAX_TEAM_WEIGHT).contains(&team.weight) => {
            Some(Problem::Weight)
        }
        Object::Team(team) => token_problem(&team.token),
        Object::Owner(owner) => token_problem(&owner.token),
        Object::Operator(operator) => token_problem(&operator.token),
        Object::Grant(_) => None,
    }
}

/// Returns every name that occurs in an object.
fn names(object: &Object) -> Vec<&str> {
    match object {
        Object::Service(service) => match &service.kind {
            ServiceKind::Model { version, .. } => vec![&service.name, version],
            ServiceKind::Plain { .. } => vec![&service.name],
        },
        Object::Endpoint(endpoint) => vec![
            &endpoint.name,
            &endpoint.domain,
            &endpoint.owner,
            &endpoint.service,
            &endpoint.kind,
        ],
        Object::Team(team) => vec![&team.name],
        Object::Grant(grant) => vec![&grant.team, &grant.service],
        Object::Owner(owner) => vec![&owner.name],
        Object::Operator(operator) => vec![&operator.name],
    }
}

/// Returns whether a text is a valid name, which is safe in paths, log lines and header fields.
pub fn is_name(text: &str) -> bool {
    let safe = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    let starts = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    starts && text.len() <= MAX_NAME_BYTES && text.bytes().all(safe)
}

fn service_problem(service: &Service) -> Option<Problem> {
    match &service.kind {
        ServiceKind::Model { layers, .. } => {
            (!(1..=MAX_MODEL_LAYERS).contains(layers)).then_some(Problem::ModelLayers)
        }
        ServiceKind::Plain { idempotent } => {
            let is_valid = idempotent.len() <= MAX_SERVICE_METHODS
                && idempotent.iter().all(|method| is_method(method));
            (!is_valid).then_some(Problem::Methods)
        }
    }
}

fn is_method(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_uppercase())
}

fn endpoint_problem(endpoint: &Endpoint) -> Option<Problem> {
    if !is_addr(endpoint.addr) {
        return Some(Problem::Addr);
    }
    if endpoint
        .layers
        .is_some_and(|layers| layers.from >= layers.to)
    {
        return Some(Problem::Layers);
    }
    let is_valid = (1..=MAX_ENDPOINT_SLOTS).contains(&endpoint.slots)
        && endpoint.rate <= MAX_ENDPOINT_RATE
        && endpoint.delay <= MAX_LINK_DELAY;
    (!is_valid).then_some(Problem::Range)
}

fn is_addr(addr: SocketAddr) -> bool {
    addr.port() != 0 && !addr.ip().is_unspecified() && !addr.ip().is_multicast()
}

fn token_problem(token: &Digest) -> Option<Problem> {
    (!token.is_valid()).then_some(Problem::TokenDigest)
}
