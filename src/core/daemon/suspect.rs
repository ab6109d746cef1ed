//! Suspects: requests that may have crashed an endpoint. They are known to all VMs, run alone, and
//! are barred after further crashes.
//!
//! Every model request runs only on the shortlist of endpoints for its content, and a suspect needs
//! a permit from its home VM (docs/operators/barred-requests.md).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Layers;
use crate::core::limit::Finish;
use crate::core::poison::NodeHash;
use crate::core::poison::PermitReply;
use crate::core::poison::PermitRequest;
use crate::core::poison::RequestDigest;
use crate::core::poison::RunPlan;
use crate::core::poison::SuspectTable;
use crate::core::poison::shortlist;
use crate::core::session;
use crate::core::session::event::RequestId;
use crate::error::Code;
use crate::error::Failure;
use crate::error::Ran;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Vm;

use super::Core;
use super::action::Action;
use super::hints::URGENT_FANOUT;

/// How long a permit request may be unanswered.
const PERMIT_TIMEOUT: Millis = Millis::seconds(1);
/// The most records of parts of prompts in one message.
const MAX_PART_RECORDS: usize = 64;
/// The interval at which known suspects are sent to peers again.
const REPEAT_INTERVAL: Millis = Millis::seconds(5);

/// The suspects that this VM knows, and the endpoints that shortlists are chosen from.
#[derive(Debug)]
pub(super) struct Suspects {
    pub(super) table: SuspectTable,
    /// The live VMs; each suspect has one of them as its home.
    pub(super) vms: Vec<Vm>,
    endpoints: BTreeMap<ServiceName, BTreeMap<Layers, Vec<HashedEndpoint>>>,
    repeat_at: Millis,
}

#[derive(Clone, Debug)]
struct HashedEndpoint {
    name: EndpointName,
    hash: NodeHash,
}

/// The state of a request's permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permit {
    /// No permit is needed so far.
    None,
    /// The home VM was asked at `since` and has not answered.
    Requested { since: Millis, purpose: Purpose },
    /// The request holds a permit that expires at `until`.
    Held { until: Millis },
}

impl Permit {
    /// Returns whether the home VM has been asked and has not answered.
    pub(super) fn is_asked(self) -> bool {
        matches!(self, Self::Requested { .. })
    }
}

/// Why a request needs a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// To start its session.
    Start,
    /// To continue its session, as the answer to the session's query of this number.
    Continue { query: u32 },
}

/// The home VM's answer to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The request that asked for the permit.
    pub id: RequestId,
    /// Whether and how the request may run.
    pub grant: PermitReply,
}

impl Suspects {
    pub(super) fn new(vm: Vm) -> Self {
        Self {
            table: SuspectTable::new(vm),
            vms: Vec::new(),
            endpoints: BTreeMap::new(),
            repeat_at: Millis(0),
        }
    }

    /// Sets the configured endpoints of a service.
    pub(super) fn set_endpoints(&mut self, service: &ServiceName, endpoints: &[&Endpoint]) {
        let mut ranges: BTreeMap<Layers, Vec<HashedEndpoint>> = BTreeMap::new();
        for endpoint in endpoints {
            let Some(layers) = endpoint.layers else {
                continue;
            };
            let hashed = HashedEndpoint {
                name: endpoint.name.clone(),
                hash: NodeHash::of(&endpoint.name),
            };
            ranges.entry(layers).or_default().push(hashed);
        }
        self.endpoints.insert(service.clone(), ranges);
    }

    /// Returns the endpoints on the shortlist of a request's content, for all ranges of layers.
    pub(super) fn shortlist(
        &self,
        service: &ServiceName,
        digest: &RequestDigest,
    ) -> BTreeSet<EndpointName> {
        let ranges = self
            .endpoints
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values);
        let lists = ranges.flat_map(|hashed| {
            shortlist(
                digest,
                hashed.iter().map(|hashed| (&hashed.name, hashed.hash)),
            )
        });
        lists.cloned().collect()
    }
}

impl Core {
    /// Starts or continues a model request, or first requests a permit, or refuses the request,
    /// depending on what is known about its content.
    pub(super) fn run_if_permitted(
        &mut self,
        now: Millis,
        id: RequestId,
        purpose: Purpose,
        out: &mut Vec<Action>,
    ) {
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let digest = model.digest;
        let parts = Arc::clone(&model.parts);
        let Suspects { table, vms, .. } = &mut self.suspects;
        let plan = match table.find_barred_part(now, &parts, vms) {
            Some(until) => RunPlan::Barred { until },
            None => table.plan(now, &digest, vms),
        };
        match plan {
            RunPlan::Shared => self.run_model(now, id, purpose, out),
            RunPlan::WithPermit { home } => self.request_permit(now, id, &home, purpose, out),
            RunPlan::Barred { .. } => {
                let failure = plan.failure(now).unwrap_or_else(busy_failure);
                self.refuse(now, id, purpose, failure, out);
            }
        }
    }

    fn run_model(&mut self, now: Millis, id: RequestId, purpose: Purpose, out: &mut Vec<Action>) {
        match purpose {
            Purpose::Start => self.start_model(now, id, out),
            Purpose::Continue { query } => self.replace_chain(now, id, query, out),
        }
    }

    fn request_permit(
        &mut self,
        now: Millis,
        id: RequestId,
        home: &Vm,
        purpose: Purpose,
        out: &mut Vec<Action>,
    ) {
        let Some(model) = self.model_mut(id) else {
            return;
        };
        model.permit = Permit::Requested {
            since: now,
            purpose,
        };
        let digest = model.digest;
        let request = self.suspects.table.permit_request(id, &digest);
        if *home == self.me.vm {
            let grant = self.suspects.table.answer_request(now, request);
            self.permit_answered(now, PermitAnswer { id, grant }, out);
        } else {
            self.send_peer(home, request, out);
        }
    }

    /// Answers a permit request as the suspect's home VM.
    pub(super) fn answer_permit_request(
        &mut self,
        now: Millis,
        request: PermitRequest,
        out: &mut Vec<Action>,
    ) {
        let vm = request.vm.clone();
        let id = request.id;
        let grant = self.suspects.table.answer_request(now, request);
        self.send_peer(&vm, PermitAnswer { id, grant }, out);
    }

    /// Handles the home VM's answer to a permit request.
    pub(super) fn permit_answered(
        &mut self,
        now: Millis,
        answer: PermitAnswer,
        out: &mut Vec<Action>,
    ) {
        let id = answer.id;
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let Permit::Requested { purpose, .. } = model.permit else {
            return;
        };
        model.permit = Permit::None;
        match answer.grant {
            PermitReply::Shared => self.run_model(now, id, purpose, out),
            PermitReply::Alone { until } => {
                model.permit = Permit::Held { until };
                self.run_model(now, id, purpose, out);
            }
            PermitReply::Busy { retry } => {
                self.refuse(now, id, purpose, busy_failure().retry_after(retry), out);
            }
            PermitReply::Barred { until } => {
                let failure = RunPlan::Barred { until }
                    .failure(now)
                    .unwrap_or_else(busy_failure);
                self.refuse(now, id, purpose, failure, out);
            }
        }
    }

    /// Fails a request that may not run or continue.
    fn refuse(
        &mut self,
        now: Millis,
        id: RequestId,
        purpose: Purpose,
        mut failure: Failure,
        out: &mut Vec<Action>,
    ) {
        match purpose {
            Purpose::Start => {
                self.close_request(now, id, Finish::Dropped, out);
                out.push(Action::Fail { id, failure });
            }
            Purpose::Continue { query } => {
                failure.ran = Ran::Unknown;
                let legs = Err(failure);
                self.step_sessions(now, session::Event::Chain { id, query, legs }, out);
            }
        }
    }

    /// Refuses the requests whose permit requests were not answered in time.
    pub(super) fn expire_permit_requests(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.suspects.table.is_empty() {
            return;
        }
        let late = |open: &super::open::OpenRequest| match &open.job {
            super::open::Job::Model(model) => match model.permit {
                Permit::Requested { since, purpose } if now >= since + PERMIT_TIMEOUT => {
                    Some(purpose)
                }
                _ => None,
            },
            super::open::Job::Plain(_) => None,
        };
        let expired: Vec<(RequestId, Purpose)> = self
            .requests
            .iter()
            .filter_map(|(id, open)| late(open).map(|purpose| (*id, purpose)))
            .collect();
        for (id, purpose) in expired {
            self.refuse(
                now,
                id,
                purpose,
                busy_failure().retry_after(PERMIT_TIMEOUT),
                out,
            );
        }
    }

    /// Returns the request's permit to the home VM at the end of the run.
    pub(super) fn return_permit(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let digest = model.digest;
        let permit = std::mem::replace(&mut model.permit, Permit::None);
        if !matches!(permit, Permit::Held { .. }) {
            return;
        }
        let returned = self.suspects.table.permit_return(&digest);
        match crate::core::poison::home_vm(&digest, &self.suspects.vms) {
            Some(home) if *home != self.me.vm => self.send_peer(&home.clone(), returned, out),
            _ => self.suspects.table.accept_return(now, returned),
        }
    }

    /// Sends suspects to peers: new ones immediately, the others in turn.
    pub(super) fn share_suspects(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.expire_permit_requests(now, out);
        while let Some(gossip) = self.suspects.table.next_news() {
            self.send_random_peers(URGENT_FANOUT, &gossip, out);
        }
        while self.suspects.table.parts().has_news() {
            let records = self.suspects.table.parts().next_records(MAX_PART_RECORDS);
            self.send_random_peers(URGENT_FANOUT, &records, out);
        }
        if now < self.suspects.repeat_at {
            return;
        }
        self.suspects.repeat_at = now + REPEAT_INTERVAL;
        self.suspects.table.expire(now);
        if let Some(gossip) = self.suspects.table.next_repeat() {
            self.send_random_peers(1, &gossip, out);
        }
        let records = self.suspects.table.parts().next_records(MAX_PART_RECORDS);
        if !records.is_empty() {
            self.send_random_peers(1, &records, out);
        }
    }
}

fn busy_failure() -> Failure {
    let message = "The request ran where an endpoint crashed; another copy of it is running.";
    Failure::not_run(Code::Overloaded, message)
}
