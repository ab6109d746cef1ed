//! The replicated configuration: objects, plans, the records of the `config` stream, and the audit
//! trail.
//!
//! Nothing here does I/O. An operator submits an [`intent::Intent`], for which [`state::State`]
//! computes a [`plan::Plan`]. The plan and its confirmation are appended to the stream as records
//! ([`record::Record`]). Every VM folds the records into its state in log order, so all VMs hold
//! the same state at the same offset (docs/DESIGN.md; docs/operators/plan-and-confirm.md describes
//! the workflow of operators).

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
