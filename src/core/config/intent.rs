//! What operators want: the objects that shall exist and those that shall be removed.
//!
//! An intent is YAML (docs/operators/plan-and-confirm.md). It names only the objects that it is
//! about; all others stay as they are.

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

/// The largest intent document, in bytes.
pub const MAX_INTENT_BYTES: usize = 256 * 1024;
/// The most objects that one intent may name, wanted and removed together.
pub const MAX_INTENT_OBJECTS: usize = 500;

/// The objects that shall exist, and the keys of those that shall not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Intent {
    /// The services wanted.
    pub services: Vec<Service>,
    /// The endpoints wanted.
    pub endpoints: Vec<Endpoint>,
    /// The teams wanted.
    pub teams: Vec<TeamEntry>,
    /// The grants wanted.
    pub grants: Vec<Grant>,
    /// The owners wanted.
    pub owners: Vec<OwnerEntry>,
    /// The operators wanted.
    pub operators: Vec<OperatorEntry>,
    /// The objects to remove.
    pub remove: Removal,
}

/// The keys of the objects to remove.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Removal {
    /// The services to remove.
    pub services: Vec<ServiceName>,
    /// The endpoints to remove.
    pub endpoints: Vec<EndpointName>,
    /// The teams to remove.
    pub teams: Vec<Team>,
    /// The grants to remove.
    pub grants: Vec<Grant>,
    /// The owners to remove.
    pub owners: Vec<Owner>,
    /// The operators to remove.
    pub operators: Vec<Operator>,
}

/// Why a document is not a valid intent.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum IntentError {
    /// The document is larger than [`MAX_INTENT_BYTES`].
    #[display("the intent has {bytes} bytes, more than {MAX_INTENT_BYTES}")]
    TooLarge {
        /// The size of the document.
        bytes: usize,
    },
    /// The document is not YAML of the expected shape.
    #[display("line {line}: {reason}")]
    Syntax {
        /// The line, counted from 1; 0 if the parser names none.
        line: u64,
        /// What the parser says.
        reason: String,
    },
    /// An object of the document is not valid by itself.
    #[display("line {line}: {fault}")]
    Invalid {
        /// The line of the object, counted from 1; 0 if it is not known.
        line: u64,
        /// What is wrong.
        fault: Fault,
    },
}

impl Intent {
    /// Reads an intent from YAML and checks each object by itself.
    ///
    /// # Errors
    ///
    /// Returns an [`IntentError`] that names the line at fault.
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

    /// Checks each object by itself, and that no object is named twice.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), Fault> {
        check::validate_objects(&self.objects(), &self.removed())
    }

    /// Returns the objects that shall exist, in the order of their kinds.
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

    /// Returns the keys of the objects that shall not exist.
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

/// The lines at which the objects of a document start, in the order of [`Intent::objects`].
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
    /// Reads the lines of a document that was read as an intent before.
    fn of(text: &str) -> Self {
        serde_saphyr::from_str(text).unwrap_or_default()
    }

    /// Returns the line of the last object that the fault is about, or 0.
    ///
    /// The last is taken because an object that is named twice is at fault the second time.
    fn find(&self, intent: &Intent, fault: &Fault) -> u64 {
        let Some(key) = fault.key() else {
            return 0;
        };
        let mut keys: Vec<Key> = intent.objects().iter().map(Object::key).collect();
        keys.extend(intent.removed());
        let lines = self.starts();
        let mut found = keys.iter().zip(lines).filter(|(each, _)| *each == key);
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
