//! The outcomes of folding records.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::core::config::change::Key;
use crate::core::config::change::Offset;
use crate::core::config::check::Fault;
use crate::core::config::lease::Holder;

/// The effect of a record. Every VM computes the same outcome at the same offset.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The record took effect.
    #[display("accepted")]
    Accepted,
    /// The record requests a state that is already in force.
    #[display("unchanged")]
    Unchanged,
    /// The plan of the record was accepted before.
    #[display("already accepted at {first}")]
    AlreadyAccepted {
        /// The offset at which it was accepted.
        first: Offset,
    },
    /// An equal record was folded before, so this copy has no effect.
    #[display("a copy of the record at {first}")]
    Duplicate {
        /// The offset of the first copy.
        first: Offset,
        /// Whether the first copy was accepted.
        accepted: bool,
    },
    /// An object changed since the plan was computed.
    #[display("stale plan: {key} changed since")]
    StalePlan {
        /// The object that changed.
        key: Key,
    },
    /// No plan with this id awaits confirmation. It may have been evicted by newer ones.
    #[display("unknown plan")]
    UnknownPlan,
    /// The plan was confirmed too late.
    #[display("the plan expired")]
    Expired,
    /// The changes are no longer valid, because other objects have changed since the plan was
    /// computed.
    #[display("the plan no longer fits: {_0}")]
    Conflict(Fault),
    /// The author of the record lacks the permission.
    #[display("not allowed")]
    NotAllowed,
    /// The record refers to something that does not exist.
    #[display("not found")]
    NotFound,
    /// Another daemon holds the lease.
    #[display("the lease is held by {}", holder.vm)]
    LeaseHeld {
        /// The daemon that holds the lease.
        holder: Holder,
    },
    /// An operator changed the rollout after the record was written.
    #[display("the rollout changed since")]
    StaleRollout,
    /// The rollout is paused, or more endpoints would be out at a time than its share allows.
    #[display("the rollout is paused or at its bound")]
    RolloutBound,
    /// The record is inconsistent or exceeds a limit.
    #[display("invalid record")]
    Invalid,
    /// The table of leases is full.
    #[display("no room")]
    Full,
    /// The record reached the log too many records after it was written, or its `seen` is greater
    /// than its own offset.
    #[display("the record came too late")]
    Late,
    /// The record is malformed, or of a kind that this release does not know.
    #[display("skipped")]
    Skipped,
    /// The record was folded before at this offset.
    #[display("folded before")]
    Passed,
    /// The record is a part of a snapshot, which does not change the state.
    #[display("a snapshot")]
    Noted,
}

impl Outcome {
    /// Returns whether the request of the record has taken effect, now or before.
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

/// The error that a record was passed to the fold before the records preceding it.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("expected the record at {expected}, got the one at {got}")]
pub struct Gap {
    /// The offset of the next record to fold.
    pub expected: Offset,
    /// The offset of the record that was passed.
    pub got: Offset,
}
