//! Intents: the objects that an operator wants to create, replace or remove.
//!
//! An intent is a YAML document (docs/operators/plan-and-confirm.md). Objects that it does not name
//! stay unchanged.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use serde::de::IgnoredAny;
use serde_saphyr::Spanned;

use crate::core::config::change::Key;
use crate::core::config::change::Object;
use crate::core::config::check;
use crate::core::config::check::Fault;
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

/// The maximum size of an intent document, in bytes.
pub const MAX_INTENT_BYTES: usize = 256 * 1024;
/// The maximum number of objects that one intent may name, including those to remove.
pub const MAX_INTENT_OBJECTS: usize = 500;

/// The objects to create or replace, and the keys of those to remove.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Intent {
    /// The services to create or replace.
    pub services: Vec<Service>,
    /// The endpoints to create or replace.
    pub endpoints: Vec<Endpoint>,
    /// The teams to create or replace.
    pub teams: Vec<TeamEntry>,
    /// The grants to create.
    pub grants: Vec<Grant>,
    /// The owners to create or replace.
    pub owners: Vec<OwnerEntry>,
    /// The operators to create or replace.
    pub operators: Vec<OperatorEntry>,
    /// The objects to remove.
    pub remove: Removal,
}

/// The keys of the objects to remove.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Removal {
    /// The services to remove, which must have no endpoints or grants left.
    pub services: Vec<ServiceName>,
    /// The endpoints to remove, with their drains and approvals.
    pub endpoints: Vec<EndpointName>,
    /// The teams to remove, which must have no grants left.
    pub teams: Vec<Team>,
    /// The grants to remove, with their approvals.
    pub grants: Vec<Grant>,
    /// The owners to remove, which must have no endpoints left.
    pub owners: Vec<Owner>,
    /// The operators to remove. At least one must remain.
    pub operators: Vec<Operator>,
}

/// The reason why a document is not a valid intent.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum IntentError {
    /// The document is larger than [`MAX_INTENT_BYTES`].
    #[display("the intent has {bytes} bytes, more than {MAX_INTENT_BYTES}")]
    TooLarge {
        /// The size of the document, in bytes.
        bytes: usize,
    },
    /// The document is not YAML, or has unknown, missing or mistyped fields.
    #[display("line {line}: {reason}")]
    Syntax {
        /// The line, counted from 1; 0 if the parser reports none.
        line: u64,
        /// The message of the parser.
        reason: String,
    },
    /// An object of the document is invalid.
    #[display("line {line}: {fault}")]
    Invalid {
        /// The line of the object, counted from 1; 0 if it is unknown.
        line: u64,
        /// The violated rule and the object.
        fault: Fault,
    },
}

impl Intent {
    /// Parses an intent from YAML and checks each object, but not its references to others.
    ///
    /// # Errors
    ///
    /// Returns an [`IntentError`] that names the line of the fault if it is known.
    pub fn parse(text: &str) -> Result<Self, IntentError> {
        if text.len() > MAX_INTENT_BYTES {
            return Err(IntentError::TooLarge { bytes: text.len() });
        }
        let intent: Self = serde_saphyr::from_str(text).map_err(|e| syntax_error(&e))?;
        intent.check().map_err(|fault| IntentError::Invalid {
            line: Lines::of(text).find(&intent, &fault),
            fault,
        })?;
        Ok(intent)
    }

    /// Checks each object, the number of objects, and that no object is named twice.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] that is found.
    pub fn check(&self) -> Result<(), Fault> {
        check::validate_objects(&self.objects(), &self.removed())
    }

    /// Returns the objects to create or replace, grouped by kind.
    pub fn objects(&self) -> Vec<Object> {
        let mut objects = Vec::new();
        objects.extend(self.services.iter().cloned().map(Object::from));
        objects.extend(self.endpoints.iter().cloned().map(Object::from));
        objects.extend(self.teams.iter().cloned().map(Object::from));
        objects.extend(self.grants.iter().cloned().map(Object::from));
        objects.extend(self.owners.iter().cloned().map(Object::from));
        objects.extend(self.operators.iter().cloned().map(Object::from));
        objects
    }

    /// Returns the keys of the objects to remove, grouped by kind.
    pub fn removed(&self) -> Vec<Key> {
        let remove = &self.remove;
        let mut keys = Vec::new();
        keys.extend(remove.services.iter().cloned().map(Key::Service));
        keys.extend(remove.endpoints.iter().cloned().map(Key::Endpoint));
        keys.extend(remove.teams.iter().cloned().map(Key::Team));
        keys.extend(remove.grants.iter().cloned().map(Key::Grant));
        keys.extend(remove.owners.iter().cloned().map(Key::Owner));
        keys.extend(remove.operators.iter().cloned().map(Key::Operator));
        keys
    }
}

fn syntax_error(error: &serde_saphyr::Error) -> IntentError {
    IntentError::Syntax {
        line: error.location().map_or(0, |location| location.line()),
        reason: error.to_string(),
    }
}

/// The first line of each object of a document, in the order of [`Intent::objects`] and
/// [`Intent::removed`].
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Lines {
    services: Vec<Spanned<IgnoredAny>>,
    endpoints: Vec<Spanned<IgnoredAny>>,
    teams: Vec<Spanned<IgnoredAny>>,
    grants: Vec<Spanned<IgnoredAny>>,
    owners: Vec<Spanned<IgnoredAny>>,
    operators: Vec<Spanned<IgnoredAny>>,
    remove: RemovalLines,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RemovalLines {
    services: Vec<Spanned<IgnoredAny>>,
    endpoints: Vec<Spanned<IgnoredAny>>,
    teams: Vec<Spanned<IgnoredAny>>,
    grants: Vec<Spanned<IgnoredAny>>,
    owners: Vec<Spanned<IgnoredAny>>,
    operators: Vec<Spanned<IgnoredAny>>,
}

impl Lines {
    /// Finds the lines in a document that was already parsed as an intent.
    fn of(text: &str) -> Self {
        serde_saphyr::from_str(text).unwrap_or_default()
    }

    /// Returns the line of the last object that the fault is about, or 0 if it is about none.
    ///
    /// The last one is the right one for [`check::Problem::NamedTwice`]. In all other cases an
    /// object is named only once.
    fn find(&self, intent: &Intent, fault: &Fault) -> u64 {
        let Some(key) = fault.key() else {
            return 0;
        };
        let mut keys: Vec<Key> = intent.objects().iter().map(Object::key).collect();
        keys.extend(intent.removed());
        let lines = self.starts();
        let mut found = keys.iter().zip(lines).filter(|(object, _)| *object == key);
        found.next_back().map_or(0, |(_, line)| line)
    }

    fn starts(&self) -> Vec<u64> {
        let remove = &self.remove;
        let lists = [
            &self.services,
            &self.endpoints,
            &self.teams,
            &self.grants,
            &self.owners,
            &self.operators,
            &remove.services,
            &remove.endpoints,
            &remove.teams,
            &remove.grants,
            &remove.owners,
            &remove.operators,
        ];
        let all = lists.into_iter().flatten();
        all.map(|span| span.referenced.line()).collect()
    }
}
