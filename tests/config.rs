//! Tests of `core::config`.

#![allow(
    clippy::unwrap_used,
    reason = "test helpers may panic like tests, but the lint's exemption covers only test functions"
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
