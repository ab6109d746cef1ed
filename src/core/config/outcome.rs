//! What the fold made of a record.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::core::config::change::Key;
use crate::core::config::change::Offset;
use crate::core::config::check::Fault;
use crate::core::config::lease::Holder;

/// What became of a record. Each VM reaches the same outcome at the same offset.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The record took effect.
    #[display("accepted")]
    Accepted,
    /// The record asks for what is so already.
    #[display("unchanged")]
    Unchanged,
    /// The plan of the record was accepted before.
    #[display("already accepted at {first}")]
    AlreadyAccepted {
        /// Where it was accepted.
        first: Offset,
    },
    /// An equal record was folded before; this one has no effect.
    #[display("a copy of the record at {first}")]
    Duplicate {
        /// Where the first one stands.
        first: Offset,
        /// Whether the first one was accepted.
        accepted: bool,
    },
    /// An object changed since the plan was made.
    #[display("stale plan: {key} changed since")]
    StalePlan {
        /// The object.
        key: Key,
    },
    /// No such plan waits for confirmation.
    #[display("unknown plan")]
    UnknownPlan,
    /// The plan was confirmed too late.
    #[display("the plan expired")]
    Expired,
    /// What the plan's objects refer to has changed since.
    #[display("the plan no longer fits: {_0}")]
    Conflict(Fault),
    /// The record's author may not do this.
    #[display("not allowed")]
    NotAllowed,
    /// The record is about something that does not exist.
    #[display("not found")]
    NotFound,
    /// Another holder has the lease.
    #[display("the lease is held by {}", holder.vm)]
    LeaseHeld {
        /// The holder.
        holder: Holder,
    },
    /// The rollout changed since the record was written.
    #[display("the rollout changed since")]
    StaleRollout,
    /// The rollout is paused, or more endpoints would be out than its share allows.
    #[display("the rollout is paused or at its bound")]
    RolloutBound,
    /// The record contradicts itself or exceeds a bound.
    #[display("invalid record")]
    Invalid,
    /// A bounded table is full.
    #[display("no room")]
    Full,
    /// The record reached the log too long after it was written, or names an offset to come.
    #[display("the record came too late")]
    Late,
    /// The record is of a kind that this release does not know, or cannot be read.
    #[display("skipped")]
    Skipped,
    /// The state is past the record's offset.
    #[display("folded before")]
    Passed,
    /// The record is a part of a snapshot and changes nothing.
    #[display("a snapshot")]
    Noted,
}

impl Outcome {
    /// Says whether what the record asks for is in force.
    pub const fn is_accepted(&self) -> bool {
        matches!(
            self,
            Self::Accepted
                | Self::Unchanged
                | Self::Noted
                | Self::AlreadyAccepted { .. }
                | Self::Duplicate { accepted: true, .. }
        )
    }
}

/// A record was skipped over: the one expected was not handed in.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("expected the record at {expected}, got the one at {got}")]
pub struct Gap {
    /// The offset of the next record.
    pub expected: Offset,
    /// The offset that was handed in.
    pub got: Offset,
}
