//! What a VM says of itself to operators.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::names::Domain;
use crate::names::EndpointName;
use crate::names::Owner;
use crate::names::ServiceName;
use crate::names::Vm;

use super::Core;

/// The state of a VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The VM.
    pub vm: Vm,
    /// Its failure domain.
    pub domain: Domain,
    /// The number of this start of its daemon.
    pub boot: u64,
    /// Why it takes no new work, if so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusing: Option<String>,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The offset that its configuration reaches to.
    pub offset: u64,
    /// How old the proof is that this is all there is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age: Option<Millis>,
    /// The VMs that are believed to run.
    pub vms: Vec<Vm>,
    /// Requests in progress.
    pub open: usize,
    /// Answers of endpoints that fitted nothing and were dropped.
    pub dropped: u64,
    /// The endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

/// The state of an endpoint, as a VM sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub name: EndpointName,
    /// What it serves.
    pub service: ServiceName,
    /// Its owner.
    pub owner: Owner,
    /// Whether it was told to leave.
    pub drained: bool,
    /// Whether it may get work now.
    pub usable: bool,
    /// The requests that this VM has on it.
    pub own: u32,
}

impl Core {
    /// Returns the state of this VM.
    #[must_use]
    pub fn status(&self, now: Millis) -> Status {
        let drops = self.sessions.drops();
        let dropped =
            drops.closed + drops.wrong_session + drops.stale + drops.duplicate + drops.invalid;
        Status {
            vm: self.me.vm.clone(),
            domain: self.me.domain.clone(),
            boot: self.me.boot,
            refusing: self.ready(now).err().map(|reason| reason.to_string()),
            stopping: self.exit_at.is_some(),
            offset: self.sync.offset(),
            age: self.sync.fresh().map(|at| now.since(at)),
            vms: self
                .members
                .live()
                .into_iter()
                .map(|member| member.vm)
                .collect(),
            open: self.requests.len(),
            dropped,
            endpoints: self.endpoint_status(now),
        }
    }

    fn endpoint_status(&self, now: Millis) -> Vec<EndpointStatus> {
        let status = self.state.endpoints().map(|endpoint| {
            let view = self.router.view(&endpoint.name);
            let drained = self.state.is_drained(&endpoint.name);
            EndpointStatus {
                name: endpoint.name.clone(),
                service: endpoint.service.clone(),
                owner: endpoint.owner.clone(),
                drained,
                usable: !drained && view.is_some_and(|view| view.usable(now)),
                own: view.map_or(0, crate::core::route::view::View::in_flight),
            }
        });
        status.collect()
    }
}
