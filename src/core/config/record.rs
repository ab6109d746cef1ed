//! The records of the `config` stream.
//!
//! A record is one JSON document. A release skips and counts records of unknown kinds;
//! docs/operators/plan-and-confirm.md describes the consequences for rolling upgrades.

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

/// The maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;
/// A record whose offset is more than this many records after [`Record::seen`] has no effect.
pub const MAX_RECORD_LAG: u64 = 4096;

/// A record of the `config` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The next offset to fold in the state of the writer when it wrote the record.
    ///
    /// It limits how late a delayed copy can take effect: after [`MAX_RECORD_LAG`] further records
    /// it has no effect, and copies within that range are recognized by their digest.
    pub seen: Offset,
    /// The kind of the record and its data.
    pub body: Body,
}

/// The kind of a record, with its data.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Proposes a plan. This changes no object, but any VM can then confirm the plan by its id.
    Plan(Plan),
    /// Confirms a plan on behalf of an operator.
    Confirm(Confirm),
    /// Approves a team on behalf of an owner.
    #[from(skip)]
    Approve(Consent),
    /// Revokes an approval on behalf of its owner.
    #[from(skip)]
    Revoke(Consent),
    /// Starts or ends the drain of an endpoint.
    Drain(DrainOrder),
    /// Gives an operator's command to a rollout.
    Rollout(Control),
    /// Advances a rollout, written by a daemon.
    Advance(Advance),
    /// Requests a lease for a daemon.
    Lease(LeaseRequest),
    /// Carries a part of a snapshot of the state.
    Snapshot(Part),
    /// Stands for a record that this release cannot read. It is never deserialized.
    #[serde(skip_deserializing)]
    Unread(Unread),
}

/// The reason why a record cannot be read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unread {
    /// It has the outline of a record, but a kind or fields that this release does not know.
    #[display("unknown kind of record")]
    Unknown,
    /// It is larger than [`MAX_RECORD_BYTES`] or lacks the outline of a record.
    #[display("not a record")]
    Malformed,
}

/// An operator's confirmation of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirm {
    /// The confirmed plan.
    pub plan: PlanId,
    /// The operator who confirms it, who need not be its author.
    pub by: Operator,
    /// The time of the confirmation, by the clock of the VM that wrote the record.
    pub at: Millis,
}

/// An owner's approval of a team, or its revocation.
///
/// The writer must check that the request was authenticated by the token of the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Consent {
    /// The owner who approves or revokes.
    pub owner: Owner,
    /// The calling team that is approved.
    pub team: Team,
    /// The service that the team has a grant to.
    pub service: ServiceName,
    /// The endpoint; `None` for all endpoints of the owner that serve the service.
    pub endpoint: Option<EndpointName>,
    /// The time of the decision, by the clock of the VM that wrote the record.
    pub at: Millis,
}

impl Consent {
    /// Returns the key of the approval that this record changes.
    pub fn key(&self) -> ApprovalKey {
        ApprovalKey {
            team: self.team.clone(),
            service: self.service.clone(),
            owner: self.owner.clone(),
        }
    }
}

/// A request to start or end the drain of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    /// The endpoint to drain.
    pub endpoint: EndpointName,
    /// The operator or owner who asks for it.
    pub by: Party,
    /// The time of the request, by the clock of the VM that wrote the record.
    pub at: Millis,
    /// Whether to start the drain of this party, or to end it.
    pub on: bool,
}

/// A person who acts on the configuration.
#[derive(Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Party {
    /// An operator, who plans and confirms changes and may drain any endpoint.
    #[display("operator {_0}")]
    Operator(Operator),
    /// An owner, who approves teams for their own endpoints and may drain those.
    #[display("owner {_0}")]
    Owner(Owner),
}

impl Record {
    /// Creates a record, where `seen` is the next offset to fold in the state of the writer.
    pub fn new<B>(seen: Offset, body: B) -> Self
    where
        B: Into<Body>,
    {
        Self {
            seen,
            body: body.into(),
        }
    }

    /// Encodes the record for the stream.
    pub fn encode(&self) -> Vec<u8> {
        canonical(self)
    }

    /// Decodes a record of the stream. Bytes that cannot be read become [`Body::Unread`].
    pub fn decode(bytes: &[u8]) -> Self {
        if bytes.len() > MAX_RECORD_BYTES {
            return Self::unread(Unread::Malformed);
        }
        serde_json::from_slice(bytes).unwrap_or_else(|_| Self::unread(classify_unreadable(bytes)))
    }

    /// Returns the digest by which copies of the record are recognized.
    pub fn digest(&self) -> Digest {
        Digest::of(self.encode())
    }

    fn unread(why: Unread) -> Self {
        Self::new(Offset::default(), why)
    }
}

/// Distinguishes records of a newer release from bytes that are no record.
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
