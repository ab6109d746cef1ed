//! Typed names of the objects in a configuration, as shared immutable strings.
//!
//! A name is cloned into every event and action that contains it, so each type wraps an `Arc<str>`:
//! a clone only increments a counter. docs/GLOSSARY.md defines the terms.

use std::borrow::Borrow;
use std::sync::Arc;

use derive_more::AsRef;
use derive_more::Debug;
use derive_more::Deref;
use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        $(
            $(#[$doc])*
            #[derive(
                AsRef, Clone, Debug, Deref, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash,
                Serialize, Deserialize,
            )]
            #[as_ref(forward)]
            #[debug("{_0}")]
            #[deref(forward)]
            #[from(forward)]
            #[serde(transparent)]
            pub struct $name(Arc<str>);

            impl $name {
                /// Returns the name as a string slice.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }
        )*
    };
}

names! {
    /// A virtual machine that runs one daemon.
    Vm;
    /// A failure domain: a set of machines that may fail together.
    Domain;
    /// A calling team, the unit of grants, limits and fairness.
    Team;
    /// A back end that serves a service: a model engine or a plain service process.
    EndpointName;
    /// A service that operators create: a model or a plain service.
    ServiceName;
    /// An owner of endpoints, who approves each new calling team.
    Owner;
    /// A person who may plan and confirm changes.
    Operator;
    /// A kind of accelerator, such as a GPU model.
    Kind;
    /// A version of a model's weights.
    Version;
    /// A lease in the log, such as the one for an endpoint's orders.
    LeaseName;
}
