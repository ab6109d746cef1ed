//! The records of the `config` stream.
//!
//! A record is one JSON document. A release that meets a kind it does not know skips the record
//! and counts it; docs/operators/plan-and-confirm.md says what follows for rolling upgrades.

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::approval::ApprovalKey;
use crate::core::config::change::Offset;
use crate::core::config::encoding::canonical;
use crate::core::config::lease::LeaseRequest;
use crate::core::config::object::Digest;
use crate::core::config::plan::Plan;
use crate::core::config::plan::PlanId;
use crate::core::config::rollout::Advance;
use crate::core::config::rollout::Control;
use crate::core::config::snapshot::Part;
use crate::names::EndpointName;
use crate::names::Operator;
use crate::names::Owner;
use crate::names::ServiceName;
use crate::names::Team;

/// The largest record, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;
/// A record that reaches the log more than this many records after `seen` has no effect.
pub const MAX_RECORD_LAG: u64 = 4096;

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The next offset in its writer's state when it was written.
    ///
    /// It bounds how late a lost copy can take effect: past [`MAX_RECORD_LAG`] it has none, and
    /// copies within that range are known by their digest.
    pub seen: Offset,
    /// What the record says.
    pub body: Body,
}

/// What a record says.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A plan is proposed. It changes nothing, and lets every VM confirm it by its id.
    Plan(Plan),
    /// An operator confirms a plan.
    Confirm(Confirm),
    /// An owner approves a team.
    #[from(skip)]
    Approve(Consent),
    /// An owner takes an approval back.
    #[from(skip)]
    Revoke(Consent),
    /// An endpoint is told to leave, or to come back.
    Drain(DrainOrder),
    /// An operator controls a rollout.
    Rollout(Control),
    /// A daemon moves a rollout on.
    Advance(Advance),
    /// A daemon asks for a lease.
    Lease(LeaseRequest),
    /// A part of a snapshot.
    Snapshot(Part),
    /// A record that this release cannot read. It is never read back as such.
    #[serde(skip_deserializing)]
    Unread(Unread),
}

/// Why a record cannot be read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unread {
    /// It is of another kind or shape than this release knows.
    #[display("unknown kind of record")]
    Unknown,
    /// It is not a record at all.
    #[display("not a record")]
    Malformed,
}

/// An operator's confirmation of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirm {
    /// The plan.
    pub plan: PlanId,
    /// Who confirms it.
    pub by: Operator,
    /// When.
    pub at: Millis,
}

/// An owner's word on a team: an approval, or that it is taken back.
///
/// Only the owner's own token may lead to one: who writes it checks that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Consent {
    /// Whose word it is.
    pub owner: Owner,
    /// The team.
    pub team: Team,
    /// The service.
    pub service: ServiceName,
    /// One endpoint, or `None` for all of the owner's.
    pub endpoint: Option<EndpointName>,
    /// When.
    pub at: Millis,
}

impl Consent {
    /// Returns what the approval is about.
    pub fn key(&self) -> ApprovalKey {
        ApprovalKey {
            team: self.team.clone(),
            service: self.service.clone(),
            owner: self.owner.clone(),
        }
    }
}

/// Tells an endpoint to leave, or lifts that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Who says so.
    pub by: Party,
    /// When.
    pub at: Millis,
    /// Whether it shall leave.
    pub on: bool,
}

/// A person who acts on the configuration.
#[derive(Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Party {
    /// An operator.
    #[display("operator {_0}")]
    Operator(Operator),
    /// An owner.
    #[display("owner {_0}")]
    Owner(Owner),
}

impl Record {
    /// Returns a record written by a VM whose state expects the record at `seen` next.
    pub fn new<B>(seen: Offset, body: B) -> Self
    where
        B: Into<Body>,
    {
        Self {
            seen,
            body: body.into(),
        }
    }

    /// Returns the record as it is written to the stream.
    pub fn encode(&self) -> Vec<u8> {
        canonical(self)
    }

    /// Reads a record of the stream. It never fails: what cannot be read is [`Body::Unread`].
    pub fn decode(bytes: &[u8]) -> Self {
        if bytes.len() > MAX_RECORD_BYTES {
            return Self::unread(Unread::Malformed);
        }
        serde_json::from_slice(bytes).unwrap_or_else(|_| Self::unread(classify_unreadable(bytes)))
    }

    /// Returns the digest that the record is known by.
    pub fn digest(&self) -> Digest {
        Digest::of(self.encode())
    }

    fn unread(why: Unread) -> Self {
        Self::new(Offset::default(), why)
    }
}

/// Tells a record of a newer release from bytes that are no record.
fn classify_unreadable(bytes: &[u8]) -> Unread {
    #[derive(Deserialize)]
    struct Outline {
        #[serde(rename = "seen")]
        _seen: Offset,
        #[serde(rename = "body")]
        _body: serde::de::IgnoredAny,
    }
    match serde_json::from_slice::<Outline>(bytes) {
        Ok(_) => Unread::Unknown,
        Err(_) => Unread::Malformed,
    }
}
