//! Requests that may have crashed an endpoint: shared between VMs, run alone, barred.
//!
//! Every request for tokens keeps to the shortlist of its content, and a suspect waits for a
//! permit of its home VM (docs/operators/barred-requests.md).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

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
use super::hints::URGENT;

/// How long a question for a permit may be unanswered.
const GRANT_SPAN: Millis = Millis::seconds(1);
/// The interval at which what is known of suspects is told again.
const REPEAT_SPAN: Millis = Millis::seconds(5);

/// What this VM knows of suspects, and the ranks of the endpoints.
#[derive(Debug)]
pub(super) struct Suspects {
    pub(super) ledger: SuspectTable,
    /// The live VMs, of which one is the home of each suspect.
    pub(super) vms: Vec<Vm>,
    seats: BTreeMap<ServiceName, BTreeMap<Layers, Vec<Place>>>,
    repeat: Millis,
}

#[derive(Clone, Debug)]
struct Place {
    name: EndpointName,
    seat: NodeHash,
}

/// The permit of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permit {
    /// None was needed.
    None,
    /// The home was asked at a time.
    Asked { since: Millis, purpose: Purpose },
    /// It is held until a time.
    Held { until: Millis },
}

impl Permit {
    /// Says whether the home has been asked and has not answered.
    pub(super) fn is_asked(self) -> bool {
        matches!(self, Self::Asked { .. })
    }
}

/// What a request needs a chain for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// To start.
    Start,
    /// To go on, in answer to its session's question of this number.
    GoOn { ask: u32 },
}

/// A home's answer to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The request.
    pub id: RequestId,
    /// The answer.
    pub grant: PermitReply,
}

impl Suspects {
    pub(super) fn new(vm: Vm) -> Self {
        Self {
            ledger: SuspectTable::new(vm),
            vms: Vec::new(),
            seats: BTreeMap::new(),
            repeat: Millis(0),
        }
    }

    /// Ranks the configured endpoints of a service anew.
    pub(super) fn seat(&mut self, service: &ServiceName, endpoints: &[&Endpoint]) {
        let mut ranges: BTreeMap<Layers, Vec<Place>> = BTreeMap::new();
        for endpoint in endpoints {
            let Some(layers) = endpoint.layers else {
                continue;
            };
            let place = Place {
                name: endpoint.name.clone(),
                seat: NodeHash::of(&endpoint.name),
            };
            ranges.entry(layers).or_default().push(place);
        }
        self.seats.insert(service.clone(), ranges);
    }

    /// Returns the endpoints that may run a content.
    pub(super) fn listed(
        &self,
        service: &ServiceName,
        digest: &RequestDigest,
    ) -> BTreeSet<EndpointName> {
        let ranges = self
            .seats
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values);
        let lists = ranges.flat_map(|places| {
            shortlist(digest, places.iter().map(|place| (&place.name, place.seat)))
        });
        lists.cloned().collect()
    }
}

impl Core {
    /// Goes on with a request for tokens, as what is known of its content allows.
    pub(super) fn proceed(
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
        let plan = self.suspects.ledger.plan(now, &digest, &self.suspects.vms);
        match plan {
            RunPlan::Shared => self.go(now, id, purpose, out),
            RunPlan::WithPermit { home } => self.ask_home(now, id, &home, purpose, out),
            RunPlan::Barred { .. } => {
                let failure = plan.failure(now).unwrap_or_else(busy);
                self.refuse(now, id, purpose, failure, out);
            }
        }
    }

    fn go(&mut self, now: Millis, id: RequestId, purpose: Purpose, out: &mut Vec<Action>) {
        match purpose {
            Purpose::Start => self.start_model(now, id, out),
            Purpose::GoOn { ask } => self.replace_chain(now, id, ask, out),
        }
    }

    fn ask_home(
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
        model.permit = Permit::Asked {
            since: now,
            purpose,
        };
        let digest = model.digest;
        let ask = self.suspects.ledger.permit_request(id, &digest);
        if *home == self.me.vm {
            let grant = self.suspects.ledger.answer_request(now, ask);
            self.granted(now, PermitAnswer { id, grant }, out);
        } else {
            self.tell(home, ask, out);
        }
    }

    /// Answers, as the home, whether a suspect may run.
    pub(super) fn may_run(&mut self, now: Millis, ask: PermitRequest, out: &mut Vec<Action>) {
        let vm = ask.vm.clone();
        let id = ask.id;
        let grant = self.suspects.ledger.answer_request(now, ask);
        self.tell(&vm, PermitAnswer { id, grant }, out);
    }

    /// The home answered.
    pub(super) fn granted(&mut self, now: Millis, granted: PermitAnswer, out: &mut Vec<Action>) {
        let id = granted.id;
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let Permit::Asked { purpose, .. } = model.permit else {
            return;
        };
        model.permit = Permit::None;
        match granted.grant {
            PermitReply::Shared => self.go(now, id, purpose, out),
            PermitReply::Alone { until } => {
                model.permit = Permit::Held { until };
                self.go(now, id, purpose, out);
            }
            PermitReply::Busy { retry } => {
                self.refuse(now, id, purpose, busy().retry_after(retry), out)
            }
            PermitReply::Barred { until } => {
                let failure = RunPlan::Barred { until }.failure(now).unwrap_or_else(busy);
                self.refuse(now, id, purpose, failure, out);
            }
        }
    }

    /// Ends a request that may not run, or not run on.
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
                self.close(now, id, Finish::Dropped, out);
                out.push(Action::Fail { id, failure });
            }
            Purpose::GoOn { ask } => {
                failure.ran = Ran::Unknown;
                let legs = Err(failure);
                self.session(
                    now,
                    session::Event::Chain {
                        id,
                        query: ask,
                        legs,
                    },
                    out,
                );
            }
        }
    }

    /// Gives up the questions that no home answered.
    pub(super) fn expire_asked(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.suspects.ledger.is_empty() {
            return;
        }
        let late = |open: &super::open::Open| match &open.job {
            super::open::Job::Model(model) => match model.permit {
                Permit::Asked { since, purpose } if now >= since + GRANT_SPAN => Some(purpose),
                _ => None,
            },
            super::open::Job::Plain(_) => None,
        };
        let expired: Vec<(RequestId, Purpose)> = self
            .open
            .iter()
            .filter_map(|(id, open)| late(open).map(|purpose| (*id, purpose)))
            .collect();
        for (id, purpose) in expired {
            self.refuse(now, id, purpose, busy().retry_after(GRANT_SPAN), out);
        }
    }

    /// Returns a permit, as its run is over.
    pub(super) fn give_back(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let Some(model) = self.model_mut(id) else {
            return;
        };
        let digest = model.digest;
        let permit = std::mem::replace(&mut model.permit, Permit::None);
        if !matches!(permit, Permit::Held { .. }) {
            return;
        }
        let done = self.suspects.ledger.permit_return(&digest);
        match crate::core::poison::home_vm(&digest, &self.suspects.vms) {
            Some(home) if *home != self.me.vm => self.tell(&home.clone(), done, out),
            _ => self.suspects.ledger.accept_return(now, done),
        }
    }

    /// Tells peers of suspects: what is news at once, the rest in turn.
    pub(super) fn tell_suspects(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.expire_asked(now, out);
        while let Some(note) = self.suspects.ledger.next_news() {
            self.tell_some(URGENT, &note, out);
        }
        if now < self.suspects.repeat {
            return;
        }
        self.suspects.repeat = now + REPEAT_SPAN;
        self.suspects.ledger.expire(now);
        if let Some(note) = self.suspects.ledger.next_repeat() {
            self.tell_some(1, &note, out);
        }
    }
}

fn busy() -> Failure {
    let message = "The request ran where an endpoint crashed; another copy of it is running.";
    Failure::not_run(Code::Overloaded, message)
}
