//! The status report of a VM for operators.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::names::Domain;
use crate::names::EndpointName;
use crate::names::Owner;
use crate::names::ServiceName;
use crate::names::Vm;

use super::Core;

/// The state of a VM and its view of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The name of the VM.
    pub vm: Vm,
    /// The VM's failure domain.
    pub domain: Domain,
    /// The boot number of the daemon: its start time in milliseconds since the Unix epoch.
    pub boot: u64,
    /// Why the VM accepts no new requests; `None` if it accepts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusing: Option<String>,
    /// Whether the daemon is stopping.
    pub stopping: bool,
    /// The offset of the next configuration record to apply.
    pub offset: u64,
    /// The time since the VM last knew that no newer configuration existed; `None` if it never did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age: Option<Millis>,
    /// The VMs that this VM considers live.
    pub vms: Vec<Vm>,
    /// The number of requests in progress, queued ones included.
    pub open: usize,
    /// The number of replies from endpoints that matched no hop and were dropped.
    pub dropped: u64,
    /// The configured endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

/// The state of an endpoint, as a VM sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The service that the endpoint serves.
    pub service: ServiceName,
    /// The owner, who approves calling teams.
    pub owner: Owner,
    /// Whether the endpoint is drained by a command.
    pub drained: bool,
    /// Whether this VM may send work to the endpoint now.
    pub usable: bool,
    /// The number of this VM's requests in progress on the endpoint.
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
