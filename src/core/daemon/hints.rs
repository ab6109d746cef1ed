//! Gossip about load between daemons: messages of bounded size, at a bounded rate.
//!
//! Only two daemons poll each endpoint, and pass its reports on. So the work of an endpoint and of
//! a daemon doesn't grow with the fleet (docs/CAPACITY.md).

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

/// The interval between polls of an endpoint, and between hint messages.
const SHARE_INTERVAL: Millis = Millis::seconds(1);
/// How many daemons poll each endpoint.
const POLLERS: usize = 2;
/// How many peers get each hint message. One is enough: a VM mostly routes by the load reports in
/// the replies to its own hops, and needs hints only for endpoints that it hasn't used lately.
const FANOUT: usize = 1;
/// How many peers are sent a message at once when an endpoint is leaving or newly suspected.
pub(super) const URGENT_FANOUT: usize = 4;
/// The most load reports in one message.
const MAX_REPORTS: usize = 8;
/// The most entries in each other list of a message.
const MAX_ENTRIES: usize = 16;

/// The load of endpoints and the demand of teams, as one daemon sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Hints {
    /// Load reports of the endpoints that the sender polls.
    #[serde(rename = "r", skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<EndpointReport>,
    /// The sender's work on endpoints that their reports don't include yet.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub work: Vec<UnreportedWork>,
    /// The sender's demand for each service.
    #[serde(rename = "s", skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceDemand>,
    /// The rate of each team's calls at the sender.
    #[serde(rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamRate>,
}

/// A load report and the endpoint that made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The endpoint's name.
    #[serde(rename = "e")]
    pub endpoint: EndpointName,
    /// The load that the endpoint reported.
    #[serde(rename = "r")]
    pub report: LoadReport,
}

/// The work of one daemon on an endpoint that no load report includes yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreportedWork {
    /// The endpoint's name.
    #[serde(rename = "e")]
    pub endpoint: EndpointName,
    /// The time of the load report that the work comes on top of, by the endpoint's clock.
    #[serde(rename = "b")]
    pub base: Millis,
    /// The requests started since that report, minus those that ended since.
    #[serde(rename = "c")]
    pub count: i32,
}

/// The demand for a service at one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service's name.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The number of requests, running and queued.
    #[serde(rename = "d")]
    pub demand: u32,
}

/// The rate of a team's calls at one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRate {
    /// The calling team.
    #[serde(rename = "t")]
    pub team: Team,
    /// Calls per second.
    #[serde(rename = "r")]
    pub rate: u32,
}

/// The load reports that this daemon has, and the state of its polls and hints.
#[derive(Debug, Default)]
pub(super) struct LoadSharing {
    due: Millis,
    /// The endpoints that this daemon polls.
    polled: Vec<EndpointName>,
    /// The configuration and peers that `polled` was computed for.
    poll_basis: Option<PollBasis>,
    reports: BTreeMap<EndpointName, LoadReport>,
    leaving: BTreeSet<EndpointName>,
    /// The endpoints that crashed and have not reported since, with the boot number of the process
    /// that crashed.
    crashed: BTreeMap<EndpointName, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PollBasis {
    offset: u64,
    peers: usize,
}

impl Core {
    /// Polls endpoints and sends hints to peers, once per [`SHARE_INTERVAL`].
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
        let names: Vec<ServiceName> = self
            .state
            .services()
            .map(|service| service.name.clone())
            .collect();
        let mut out = Vec::new();
        for service in names {
            let demand = self.limiter.service(&service).share.demand();
            if demand > 0 {
                out.push(ServiceDemand { service, demand });
            }
        }
        out.sort_by_key(|entry| Reverse(entry.demand));
        out.truncate(MAX_ENTRIES);
        out
    }

    /// Sends a message to up to `count` peers: neighbours in name order from a random start.
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

    /// Applies a peer's hints.
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
        for entry in hints.services {
            if self.state.service(&entry.service).is_some() {
                self.limiter
                    .service(&entry.service)
                    .share
                    .apply_demand(vm, entry.demand);
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

    /// Handles a load report that came with the reply to a hop.
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

    /// Handles the answer to a load poll, which also ends a crash check of the endpoint.
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

    /// Applies a load report that reached this VM or a peer, unless it is older than the known one.
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

    /// Handles the crash of an endpoint's process: the requests that ran on it become suspects, and
    /// the endpoint gets no work until it reports again. Connections that break until then don't
    /// count as further crashes.
    fn record_crash(&mut self, now: Millis, endpoint: &EndpointName, boot: u64) {
        if self.load_sharing.crashed.insert(endpoint.clone(), boot) == Some(boot) {
            return;
        }
        self.suspects.table.endpoint_crashed(now, endpoint, boot);
        self.router
            .apply(now, endpoint, route::Event::Leaving(true));
    }

    /// Tells peers immediately that an endpoint is leaving, or is back.
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
        out.push(Action::Log(LogEvent {
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

    /// Handles a load poll without an answer. If a connection to the endpoint broke just before,
    /// the endpoint counts as crashed.
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
