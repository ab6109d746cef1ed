//! JSON bodies of commands.

use serde::Serialize;

use crate::core::config::rollout::Step;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Team;

/// Grants or revokes an owner's approval of a team for a service.
#[derive(Clone, Debug, Serialize)]
pub struct Approval {
    /// The calling team.
    pub team: Team,
    /// The service that the team may call.
    pub service: ServiceName,
    /// The only endpoint to cover, or `None` for all endpoints of the owner.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointName>,
    /// `true` grants the approval, `false` revokes it.
    pub on: bool,
}

/// Starts or ends the drain of an endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct Drain {
    /// The endpoint to drain.
    pub endpoint: EndpointName,
    /// `true` starts the drain, `false` ends it.
    pub on: bool,
}

/// Runs, pauses or rolls back the rollout of a model's version.
#[derive(Clone, Debug, Serialize)]
pub struct Rollout {
    /// The model's service name.
    pub service: ServiceName,
    /// What to do with the rollout.
    pub step: Step,
}
