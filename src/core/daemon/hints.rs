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
const SHARE_INTERVAL: Millis = Millis::seconds(1);
/// How many daemons ask an endpoint.
const POLLERS: usize = 2;
/// How many peers get the hints each time; the loads that a VM routes by come with the answers to
/// its own hops, so this is for what it has not used lately.
const FANOUT: usize = 1;
/// How many peers learn at once that an endpoint is leaving.
pub(super) const URGENT_FANOUT: usize = 4;
/// The most reports in one message.
const MAX_REPORTS: usize = 8;
/// The most endpoints with work, services and teams in one message, each.
const MAX_ENTRIES: usize = 16;

/// The load of endpoints and the demand of teams, as one daemon sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Hints {
    /// Reports of endpoints.
    #[serde(rename = "r", skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<EndpointReport>,
    /// Work that the reports do not count.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub work: Vec<UnreportedWork>,
    /// Requests running and waiting, by service.
    #[serde(rename = "s", skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceDemand>,
    /// Calls a second, by team.
    #[serde(rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamRate>,
}

/// An endpoint's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: EndpointName,
    /// Its report.
    #[serde(rename = "r")]
    pub report: LoadReport,
}

/// Work on an endpoint that no report counts yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreportedWork {
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
pub struct ServiceDemand {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Its requests, running and waiting.
    #[serde(rename = "d")]
    pub demand: u32,
}

/// The calls of a team on one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRate {
    /// The team.
    #[serde(rename = "t")]
    pub team: Team,
    /// Its calls a second.
    #[serde(rename = "r")]
    pub rate: u32,
}

/// What a core remembers for its hints.
#[derive(Debug, Default)]
pub(super) struct LoadSharing {
    due: Millis,
    /// The endpoints that this daemon asks, found anew after a change.
    polled: Vec<EndpointName>,
    /// The offset and the number of peers for which they were found.
    poll_basis: Option<PollBasis>,
    reports: BTreeMap<EndpointName, LoadReport>,
    leaving: BTreeSet<EndpointName>,
    /// The endpoints that crashed and have not reported since, by the start that ended.
    crashed: BTreeMap<EndpointName, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PollBasis {
    offset: u64,
    peers: usize,
}

impl Core {
    /// Asks endpoints and tells peers, when it is time.
    pub(super) fn share_load(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now < self.load_sharing.due {
            return;
        }
        self.load_sharing.due = now + SHARE_INTERVAL;
        self.update_polled();
        let crashed = self.load_sharing.crashed.keys();
        let crashed = crashed.filter(|name| !self.load_sharing.polled.contains(name));
        for endpoint in self.load_sharing.polled.iter().chain(crashed) {
            if let Some(entry) = self.state.endpoint(endpoint) {
                out.push(Action::Poll {
                    endpoint: endpoint.clone(),
                    addr: entry.addr,
                });
            }
        }
        let hints = self.collect_hints();
        if hints != Hints::default() {
            self.send_random_peers(FANOUT, &hints, out);
        }
    }

    fn update_polled(&mut self) {
        let found = PollBasis {
            offset: self.sync.offset(),
            peers: self.peers.len(),
        };
        if self.load_sharing.poll_basis == Some(found) {
            return;
        }
        self.load_sharing.poll_basis = Some(found);
        let is_mine = |name: &EndpointName| {
            self.members
                .rank(name)
                .iter()
                .take(POLLERS)
                .any(|vm| *vm == self.me.vm)
        };
        let names = self.state.endpoints().map(|endpoint| &endpoint.name);
        self.load_sharing.polled = names.filter(|name| is_mine(name)).cloned().collect();
    }

    fn collect_hints(&mut self) -> Hints {
        let polled = self.load_sharing.polled.iter();
        let reports = polled.filter_map(|name| {
            let report = *self.load_sharing.reports.get(name)?;
            Some(EndpointReport {
                endpoint: name.clone(),
                report,
            })
        });
        let reports = reports.take(MAX_REPORTS).collect();
        let work = self.router.hints().into_iter().map(|hint| UnreportedWork {
            endpoint: hint.endpoint,
            base: hint.unreported.report_at,
            count: hint.unreported.count,
        });
        let work = work.take(MAX_ENTRIES).collect();
        let demands = self.limiter.quota().demands().into_iter().take(MAX_ENTRIES);
        let teams = demands.map(|demand| TeamRate {
            team: demand.team,
            rate: demand.rate,
        });
        Hints {
            reports,
            work,
            services: self.service_demands(),
            teams: teams.collect(),
        }
    }

    fn service_demands(&mut self) -> Vec<ServiceDemand> {
        let names: Vec<ServiceName> = self.state.services().map(|one| one.name.clone()).collect();
        let mut out = Vec::new();
        for service in names {
            let demand = self.limiter.service(&service).share.demand();
            if demand > 0 {
                out.push(ServiceDemand { service, demand });
            }
        }
        out.sort_by_key(|wanted| Reverse(wanted.demand));
        out.truncate(MAX_ENTRIES);
        out
    }

    /// Tells some peers, other ones each time.
    pub(super) fn send_random_peers<B>(&mut self, count: usize, body: &B, out: &mut Vec<Action>)
    where
        B: Clone + Into<Body>,
    {
        let size = self.peers.len();
        if size == 0 {
            return;
        }
        let start = self.rng.random_range(0..size);
        let receivers = self.peers.keys().cycle().skip(start);
        for vm in receivers.take(count.min(size)) {
            self.send_peer(vm, body.clone(), out);
        }
    }

    /// Takes in a peer's hints.
    pub(super) fn apply_hints(
        &mut self,
        now: Millis,
        vm: &Vm,
        hints: Hints,
        out: &mut Vec<Action>,
    ) {
        for reported in hints.reports {
            self.apply_report(now, &reported.endpoint, reported.report, out);
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
                self.limiter
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
            self.limiter.quota().apply_demand(now, vm, &demand);
        }
    }

    /// An endpoint told its load with the answer to a hop.
    pub(super) fn hop_report(
        &mut self,
        now: Millis,
        addr: SocketAddr,
        report: LoadReport,
        out: &mut Vec<Action>,
    ) {
        if let Some(endpoint) = self.state.endpoint_at(addr).map(|entry| entry.name.clone()) {
            self.apply_report(now, &endpoint, report, out);
        }
    }

    /// An endpoint told its load when this VM asked, which ends a check whether it crashed.
    pub(super) fn poll_answered(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        report: LoadReport,
        out: &mut Vec<Action>,
    ) {
        self.apply_report(now, endpoint, report, out);
        self.crash_check_done(now, endpoint, out);
    }

    /// An endpoint told its load, here or to a peer.
    fn apply_report(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        report: LoadReport,
        out: &mut Vec<Action>,
    ) {
        if self.state.endpoint(endpoint).is_none() {
            return;
        }
        let known = self.load_sharing.reports.get(endpoint).copied();
        if known.is_some_and(|known| (known.boot, known.at) >= (report.boot, report.at)) {
            return;
        }
        if let Some(known) = known.filter(|known| known.boot < report.boot) {
            self.record_crash(now, endpoint, known.boot);
        }
        self.load_sharing.reports.insert(endpoint.clone(), report);
        if self.load_sharing.crashed.remove(endpoint).is_some() {
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
        self.announce_leaving(now, endpoint, report, out);
    }

    /// An endpoint's start has ended: what ran there is suspect, and nothing goes there until it
    /// reports again. Connections that break before that are not further crashes.
    fn record_crash(&mut self, now: Millis, endpoint: &EndpointName, boot: u64) {
        if self.load_sharing.crashed.insert(endpoint.clone(), boot) == Some(boot) {
            return;
        }
        self.suspects.table.endpoint_crashed(now, endpoint, boot);
        self.router
            .apply(now, endpoint, route::Event::Leaving(true));
    }

    /// Spreads at once that an endpoint is leaving, or has come back.
    fn announce_leaving(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        report: LoadReport,
        out: &mut Vec<Action>,
    ) {
        let changed = if report.leaving {
            self.load_sharing.leaving.insert(endpoint.clone())
        } else {
            self.load_sharing.leaving.remove(endpoint)
        };
        if !changed {
            return;
        }
        self.router
            .apply(now, endpoint, route::Event::Leaving(report.leaving));
        if report.leaving {
            self.move_sessions(now, endpoint, out);
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
        let reported = EndpointReport {
            endpoint: endpoint.clone(),
            report,
        };
        let hints = Hints {
            reports: vec![reported],
            ..Hints::default()
        };
        self.send_random_peers(URGENT_FANOUT, &hints, out);
    }

    /// An endpoint did not tell its load. If work on it broke off just before, it crashed.
    pub(super) fn poll_failed(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        out: &mut Vec<Action>,
    ) {
        if self.is_crash_check_pending(endpoint) {
            let boot = self
                .load_sharing
                .reports
                .get(endpoint)
                .map_or(0, |report| report.boot);
            self.record_crash(now, endpoint, boot);
        }
        self.crash_check_done(now, endpoint, out);
    }
}
