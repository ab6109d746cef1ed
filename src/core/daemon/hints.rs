//! What daemons tell each other of load: hints of bounded size, a few a second.
//!
//! Each endpoint is asked for its load by two daemons only; they pass the reports on. So neither
//! an endpoint nor a daemon has more to do as the fleet grows (docs/CAPACITY.md).

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::limit::quota::Demand;
use crate::core::route;
use crate::core::route::Hint;
use crate::core::route::view;
use crate::core::route::view::UnreportedLoad;
use crate::names::EndpointName;
use crate::names::ServiceName;
use crate::names::Team;
use crate::names::Vm;

use super::Core;
use super::action::Action;
use super::action::LogEvent;
use super::event::LoadReport;
use super::peer::Body;

/// The interval at which an endpoint is asked for its load, and hints are sent.
const SHARE_SPAN: Millis = Millis::seconds(1);
/// How many daemons ask an endpoint.
const POLLERS: usize = 2;
/// How many peers get the hints each time; the loads that a VM routes by come with the answers to
/// its own hops, so this is for what it has not used lately.
const FANOUT: usize = 1;
/// How many peers learn at once that an endpoint is leaving.
pub(super) const URGENT: usize = 4;
/// The most reports in one message.
const REPORTS: usize = 8;
/// The most endpoints with work, services and teams in one message, each.
const ENTRIES: usize = 16;

/// The load of endpoints and the demand of teams, as one daemon sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Hints {
    /// Reports of endpoints.
    #[serde(rename = "r", skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<Reported>,
    /// Work that the reports do not count.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub work: Vec<Work>,
    /// Requests running and waiting, by service.
    #[serde(rename = "s", skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Wanted>,
    /// Calls a second, by team.
    #[serde(rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Calls>,
}

/// An endpoint's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reported {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: EndpointName,
    /// Its report.
    #[serde(rename = "r")]
    pub report: LoadReport,
}

/// Work on an endpoint that no report counts yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: EndpointName,
    /// When the report that this adds to was made.
    #[serde(rename = "b")]
    pub base: Millis,
    /// The requests, less those that ended since.
    #[serde(rename = "c")]
    pub count: i32,
}

/// The demand for a service on one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Its requests, running and waiting.
    #[serde(rename = "d")]
    pub demand: u32,
}

/// The calls of a team on one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// The team.
    #[serde(rename = "t")]
    pub team: Team,
    /// Its calls a second.
    #[serde(rename = "r")]
    pub rate: u32,
}

/// What a core remembers for its hints.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    due: Millis,
    /// The endpoints that this daemon asks, found anew after a change.
    polled: Vec<EndpointName>,
    /// The offset and the number of peers for which they were found.
    found: Option<Found>,
    reports: BTreeMap<EndpointName, LoadReport>,
    leaving: BTreeSet<EndpointName>,
    /// The endpoints that crashed and have not reported since, by the start that ended.
    crashed: BTreeMap<EndpointName, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Found {
    offset: u64,
    peers: usize,
}

impl Core {
    /// Asks endpoints and tells peers, when it is time.
    pub(super) fn share(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now < self.sharing.due {
            return;
        }
        self.sharing.due = now + SHARE_SPAN;
        self.find_polled();
        let crashed = self.sharing.crashed.keys();
        let crashed = crashed.filter(|name| !self.sharing.polled.contains(name));
        for endpoint in self.sharing.polled.iter().chain(crashed) {
            if let Some(entry) = self.state.endpoint(endpoint) {
                out.push(Action::Poll {
                    endpoint: endpoint.clone(),
                    addr: entry.addr,
                });
            }
        }
        let hints = self.hints();
        if hints != Hints::default() {
            self.tell_some(FANOUT, &hints, out);
        }
    }

    fn find_polled(&mut self) {
        let found = Found {
            offset: self.sync.offset(),
            peers: self.peers.len(),
        };
        if self.sharing.found == Some(found) {
            return;
        }
        self.sharing.found = Some(found);
        let mine = |name: &EndpointName| {
            self.members
                .rank(name)
                .iter()
                .take(POLLERS)
                .any(|vm| *vm == self.me.vm)
        };
        let names = self.state.endpoints().map(|endpoint| &endpoint.name);
        self.sharing.polled = names.filter(|name| mine(name)).cloned().collect();
    }

    fn hints(&mut self) -> Hints {
        let polled = self.sharing.polled.iter();
        let reports = polled.filter_map(|name| {
            let report = *self.sharing.reports.get(name)?;
            Some(Reported {
                endpoint: name.clone(),
                report,
            })
        });
        let reports = reports.take(REPORTS).collect();
        let work = self.router.hints().into_iter().map(|hint| Work {
            endpoint: hint.endpoint,
            base: hint.unreported.report_at,
            count: hint.unreported.count,
        });
        let work = work.take(ENTRIES).collect();
        let demands = self.gate.quota().demands().into_iter().take(ENTRIES);
        let teams = demands.map(|demand| Calls {
            team: demand.team,
            rate: demand.rate,
        });
        Hints {
            reports,
            work,
            services: self.wanted(),
            teams: teams.collect(),
        }
    }

    fn wanted(&mut self) -> Vec<Wanted> {
        let names: Vec<ServiceName> = self.state.services().map(|one| one.name.clone()).collect();
        let mut out = Vec::new();
        for service in names {
            let demand = self.gate.service(&service).share.demand();
            if demand > 0 {
                out.push(Wanted { service, demand });
            }
        }
        out.sort_by_key(|wanted| Reverse(wanted.demand));
        out.truncate(ENTRIES);
        out
    }

    /// Tells some peers, other ones each time.
    pub(super) fn tell_some<B>(&mut self, count: usize, body: &B, out: &mut Vec<Action>)
    where
        B: Clone + Into<Body>,
    {
        let size = self.peers.len();
        if size == 0 {
            return;
        }
        let start = self.rng.random_range(0..size);
        let around = self.peers.keys().cycle().skip(start);
        for vm in around.take(count.min(size)) {
            self.tell(vm, body.clone(), out);
        }
    }

    /// Takes in a peer's hints.
    pub(super) fn hear(&mut self, now: Millis, vm: &Vm, hints: Hints, out: &mut Vec<Action>) {
        for each in hints.reports {
            self.learn(now, &each.endpoint, each.report, out);
        }
        for work in hints.work {
            let unreported = UnreportedLoad {
                report_at: work.base,
                count: work.count,
            };
            self.router.apply_hint(
                vm,
                &Hint {
                    endpoint: work.endpoint,
                    unreported,
                },
            );
        }
        for wanted in hints.services {
            if self.state.service(&wanted.service).is_some() {
                self.gate
                    .service(&wanted.service)
                    .share
                    .apply_demand(vm, wanted.demand);
            }
        }
        for calls in hints.teams {
            let demand = Demand {
                team: calls.team,
                rate: calls.rate,
            };
            self.gate.quota().apply_demand(now, vm, &demand);
        }
    }

    /// An endpoint told its load with the answer to a hop.
    pub(super) fn carried(
        &mut self,
        now: Millis,
        addr: SocketAddr,
        report: LoadReport,
        out: &mut Vec<Action>,
    ) {
        if let Some(endpoint) = self.state.endpoint_at(addr).map(|entry| entry.name.clone()) {
            self.learn(now, &endpoint, report, out);
        }
    }

    /// An endpoint told its load when this VM asked, which ends a check whether it crashed.
    pub(super) fn reported(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        report: LoadReport,
        out: &mut Vec<Action>,
    ) {
        self.learn(now, endpoint, report, out);
        self.checked(now, endpoint, out);
    }

    /// An endpoint told its load, here or to a peer.
    fn learn(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        report: LoadReport,
        out: &mut Vec<Action>,
    ) {
        if self.state.endpoint(endpoint).is_none() {
            return;
        }
        let known = self.sharing.reports.get(endpoint).copied();
        if known.is_some_and(|known| (known.boot, known.at) >= (report.boot, report.at)) {
            return;
        }
        if let Some(known) = known.filter(|known| known.boot < report.boot) {
            self.crash(now, endpoint, known.boot);
        }
        self.sharing.reports.insert(endpoint.clone(), report);
        if self.sharing.crashed.remove(endpoint).is_some() {
            let back = route::Event::Leaving(report.leaving);
            self.router.apply(now, endpoint, back);
        }
        let load = view::Report {
            at: report.at,
            running: report.running,
            waiting: report.waiting,
            free_kv: report.free,
            leaving: report.leaving,
        };
        self.router
            .apply(now, endpoint, route::Event::Reported(load));
        self.note_leaving(now, endpoint, report, out);
    }

    /// An endpoint's start has ended: what ran there is suspect, and nothing goes there until it
    /// reports again. Connections that break before that are not further crashes.
    fn crash(&mut self, now: Millis, endpoint: &EndpointName, boot: u64) {
        if self.sharing.crashed.insert(endpoint.clone(), boot) == Some(boot) {
            return;
        }
        self.suspects.ledger.endpoint_crashed(now, endpoint, boot);
        self.router
            .apply(now, endpoint, route::Event::Leaving(true));
    }

    /// Spreads at once that an endpoint is leaving, or has come back.
    fn note_leaving(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        report: LoadReport,
        out: &mut Vec<Action>,
    ) {
        let news = if report.leaving {
            self.sharing.leaving.insert(endpoint.clone())
        } else {
            self.sharing.leaving.remove(endpoint)
        };
        if !news {
            return;
        }
        self.router
            .apply(now, endpoint, route::Event::Leaving(report.leaving));
        if report.leaving {
            self.move_off(now, endpoint, out);
        }
        let event = if report.leaving {
            "endpoint_leaving"
        } else {
            "endpoint_back"
        };
        out.push(Action::Note(LogEvent {
            event,
            subject: endpoint.as_str().into(),
        }));
        let reported = Reported {
            endpoint: endpoint.clone(),
            report,
        };
        let hints = Hints {
            reports: vec![reported],
            ..Hints::default()
        };
        self.tell_some(URGENT, &hints, out);
    }

    /// An endpoint did not tell its load. If work on it broke off just before, it crashed.
    pub(super) fn unreachable(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        out: &mut Vec<Action>,
    ) {
        if self.is_checked(endpoint) {
            let boot = self
                .sharing
                .reports
                .get(endpoint)
                .map_or(0, |report| report.boot);
            self.crash(now, endpoint, boot);
        }
        self.checked(now, endpoint, out);
    }
}
