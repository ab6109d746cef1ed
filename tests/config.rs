//! Tests of `core::config`.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests may panic as tests do; the linter's exception covers only tests"
)]

#[path = "config/approvals.rs"]
mod approvals;
#[path = "config/intents.rs"]
mod intents;
#[path = "config/leases.rs"]
mod leases;
#[path = "config/log.rs"]
mod log;
#[path = "config/plans.rs"]
mod plans;
#[path = "config/publisher.rs"]
mod publisher;
#[path = "config/replicas.rs"]
mod replicas;
#[path = "config/rollouts.rs"]
mod rollouts;
#[path = "config/scale.rs"]
mod scale;
