//! The bodies of orders.

use serde::Serialize;

use crate::core::config::rollout::Step;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Team;

/// An owner's approval of a team for a service.
#[derive(Clone, Debug, Serialize)]
pub struct Approval {
    /// The team.
    pub team: Team,
    /// The service.
    pub service: ServiceName,
    /// The only endpoint that is meant; all of the owner's where it is left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointName>,
    /// Whether the approval is given, or else taken back.
    pub on: bool,
}

/// The order to an endpoint to leave, or to come back.
#[derive(Clone, Debug, Serialize)]
pub struct Drain {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Whether it shall leave.
    pub on: bool,
}

/// A step of a rollout.
#[derive(Clone, Debug, Serialize)]
pub struct Rollout {
    /// The model.
    pub service: ServiceName,
    /// What the rollout shall do.
    pub step: Step,
}
