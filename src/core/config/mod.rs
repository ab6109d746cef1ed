//! The configuration: objects, plans, the fold of the `config` stream, and the audit trail.
//!
//! Nothing here has input or output. Operators write an [`intent::Intent`]; [`state::State`]
//! answers with a [`plan::Plan`]; records of the stream ([`record::Record`]) are folded in log
//! order, so that every VM holds the same state at the same offset (docs/DESIGN.md, and
//! docs/operators/plan-and-confirm.md for the operators' side).

pub mod approval;
pub mod audit;
pub mod change;
pub mod check;
pub mod content;
pub mod effect;
mod encoding;
mod fold;
pub mod index;
pub mod intent;
pub mod lease;
pub mod object;
pub mod outcome;
pub mod plan;
pub mod publish;
pub mod record;
pub mod rollout;
pub mod snapshot;
pub mod state;
mod verify;
