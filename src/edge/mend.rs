//! Choosing the path of a request, and changing it while the request runs.

use std::net::SocketAddr;

use super::dialect::OrderAnswer;
use super::engine;
use super::front::Job;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::pipe::Demand;
use crate::core::pipe::Part;
use crate::core::pipe::Stage;
use crate::core::pipe::choose;
use crate::core::pipe::detour;
use crate::core::roster::Health;
use crate::core::site::Model;
use crate::names::EndpointName;

/// The largest random part of an engine's cost, so that VMs with the same view choose differently.
const SPREAD: f64 = 0.15;

/// The pace from which an engine counts as slow.
const SLOW_PACE: f64 = 2.0;
/// The pace that an engine is marked with which turned a request away, until it is probed.
const TURNED_PACE: f64 = 8.0;
/// The interval between two probes of an engine that stands still.
const PROBE_SPAN: Millis = Millis(600);

/// A request on its way through engines, and the ones that failed it.
#[derive(Debug)]
pub struct Trip<'a> {
    /// The daemon.
    pub edge: &'a Edge,
    /// The request.
    pub job: &'a Job,
    model: &'a Model,
    bad: Vec<SocketAddr>,
}

impl<'a> Trip<'a> {
    /// Begins a trip.
    pub fn new(edge: &'a Edge, job: &'a Job, model: &'a Model) -> Self {
        Self {
            edge,
            job,
            model,
            bad: Vec::new(),
        }
    }

    /// Returns what the request asks of a path, as far as its headers tell.
    pub fn demand(&self) -> Demand {
        let names = &self.edge.dialect().headers;
        let request = &self.job.request;
        let (prompt, answer) = self.model.usual;
        let text = request.header(&names.tokens).unwrap_or_default();
        let mut numbers = text
            .split(',')
            .map(|number| number.trim().parse::<f64>().ok());
        let prompt = numbers.next().flatten().unwrap_or(prompt);
        let most = numbers.next().flatten().unwrap_or(answer);
        let hint = request
            .header(&names.hint)
            .and_then(|text| text.parse::<f64>().ok());
        Demand {
            prompt,
            answer: hint.unwrap_or(answer).min(most),
        }
    }

    /// Chooses a path without the engines that failed the request.
    pub fn pick(&self) -> Option<Vec<Part>> {
        let stages = self.stages();
        choose(
            &stages,
            self.model,
            &self.edge.settings().domain,
            self.demand(),
        )
    }

    fn stages(&self) -> Vec<Stage> {
        let now = self.edge.now();
        let vms = self.edge.fleet(|fleet| fleet.serving(now)) as f64;
        let service = &self.job.service;
        let mut stages = self
            .edge
            .roster(|roster| roster.stages(service, self.model, now, vms));
        stages.retain(|stage| !self.bad.contains(&stage.addr));
        for stage in &mut stages {
            stage.penalty *= 1.0 + SPREAD * self.edge.draw();
        }
        stages
    }

    /// Notes that an engine failed the request.
    pub fn fail(&mut self, addr: SocketAddr) {
        self.note(addr, Health::fail);
    }

    /// Notes that a path could not be taken because of an engine: it is gone, leaves, gives up its
    /// layers or has no room. The other VMs are told, since they would be turned away too.
    pub fn turn_away(&mut self, addr: SocketAddr) {
        self.fail(addr);
        let endpoint = self
            .edge
            .roster(|roster| roster.at(addr).map(|entry| entry.endpoint.clone()));
        if let Some(endpoint) = endpoint {
            mark(self.edge, &endpoint, Some(TURNED_PACE));
        }
    }

    /// Notes that an engine stands still.
    fn stand_still(&mut self, addr: SocketAddr) {
        self.note(addr, Health::stand_still);
    }

    fn note<F>(&mut self, addr: SocketAddr, take: F)
    where
        F: FnOnce(&mut Health, Millis),
    {
        let now = self.edge.now();
        if !self.bad.contains(&addr) {
            self.bad.push(addr);
        }
        self.edge.roster(|roster| {
            let endpoint = roster.at(addr).map(|entry| entry.endpoint.clone());
            if let Some(health) = endpoint.and_then(|endpoint| roster.health(&endpoint)) {
                take(health, now);
            }
        });
    }

    /// Finds out why a path is quiet and changes it if an engine of it stands still.
    ///
    /// Returns whether it is worth waiting on: `false` if the first engine is silent or the path
    /// cannot be changed.
    pub async fn mend(&mut self, path: &mut Vec<Part>) -> bool {
        let Some(first) = path.first().cloned() else {
            return false;
        };
        let id = &self.job.id;
        let report = match engine::report(self.edge, first.addr).await {
            Ok(report) => report,
            Err(error) => {
                log::info!(id, endpoint:% = first.endpoint, error:% = error; "path_given_up");
                self.stand_still(first.addr);
                mark(self.edge, &first.endpoint, None);
                return false;
            }
        };
        let addrs = path.iter().map(|part| part.addr);
        let stalled: Vec<SocketAddr> = addrs.filter(|addr| report.stalled.contains(addr)).collect();
        if stalled.is_empty() {
            note_pace(self.edge, &first.endpoint, report.pace);
            for part in path.iter().skip(1) {
                look(self.edge, part);
            }
            return true;
        }
        for addr in &stalled {
            self.stand_still(*addr);
        }
        for part in path.iter().filter(|part| stalled.contains(&part.addr)) {
            mark(self.edge, &part.endpoint, None);
        }
        let stages = self.stages();
        let Some(other) = detour(&stages, self.model, self.demand(), path, &self.bad) else {
            log::info!(id, stalled:? = stalled, reason = "no_path"; "path_given_up");
            return false;
        };
        let request = (self.edge.dialect().repath)(id, &other);
        let answer = engine::order(self.edge, first.addr, &request).await;
        log::info!(id, stalled:? = stalled, path:% = spell(&other), answer:? = answer; "repath");
        if matches!(answer, Ok(OrderAnswer::Begun | OrderAnswer::Done)) {
            *path = other;
            return true;
        }
        false
    }
}

/// Asks an engine of a slow path for its pace, unless that is known.
fn look(edge: &Edge, part: &Part) {
    let now = edge.now();
    if !edge.roster(|roster| roster.wants_look(now, &part.endpoint)) {
        return;
    }
    let edge = edge.clone();
    let part = part.clone();
    monoio::spawn(async move {
        if let Ok(report) = engine::report(&edge, part.addr).await {
            note_pace(&edge, &part.endpoint, report.pace);
        }
    });
}

fn note_pace(edge: &Edge, endpoint: &EndpointName, pace: f64) {
    if pace >= SLOW_PACE {
        mark(edge, endpoint, Some(pace));
    } else {
        edge.roster(|roster| roster.unwatch(endpoint));
    }
}

/// Tells this VM and the others that an engine is slow, or stands still.
fn mark(edge: &Edge, endpoint: &EndpointName, pace: Option<f64>) {
    let now = edge.now();
    if edge.roster(|roster| roster.mark(now, endpoint, pace)) {
        let pace = pace.unwrap_or(f64::INFINITY);
        log::info!(endpoint:% = endpoint, pace, source = "self"; "endpoint_marked");
        edge.nudge();
    }
}

/// Probes the engines that stand still, and those that this VM found slow, for ever, so that they get work again once they answer.
pub async fn probe(edge: Edge) {
    loop {
        monoio::time::sleep(PROBE_SPAN.duration()).await;
        for (endpoint, addr) in edge.roster(|roster| roster.doubtful()) {
            let report = engine::report(&edge, addr).await;
            let answered = report.is_ok();
            match report {
                Ok(report) => note_pace(&edge, &endpoint, report.pace),
                Err(_) => mark(&edge, &endpoint, None),
            }
            let back = edge.roster(|roster| {
                let health = roster.health(&endpoint).filter(|health| health.is_down());
                let back = health.filter(|_| answered);
                back.map(Health::answer_probe).is_some()
            });
            if back {
                log::info!(endpoint:% = endpoint; "endpoint_answers");
            }
        }
    }
}

/// Notes that the engines of a path served a request.
pub fn succeed(edge: &Edge, path: &[Part]) {
    edge.roster(|roster| {
        for part in path {
            if let Some(health) = roster.health(&part.endpoint) {
                health.succeed();
            }
        }
    });
}

/// A request that counts at the engines of its path until this is dropped.
#[derive(Debug)]
pub struct Load {
    edge: Edge,
    parts: Vec<(EndpointName, f64)>,
}

impl Load {
    /// Counts a request at the engines of its path.
    pub fn begin(edge: &Edge, path: &[Part], demand: Demand) -> Self {
        let tokens = demand.prompt + demand.answer;
        let cells = |part: &Part| (part.endpoint.clone(), tokens * f64::from(part.span.len()));
        let parts: Vec<_> = path.iter().map(cells).collect();
        edge.roster(|roster| {
            for (endpoint, cells) in &parts {
                roster.begin(endpoint, *cells);
            }
        });
        Self {
            edge: edge.clone(),
            parts,
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.edge.roster(|roster| {
            for (endpoint, cells) in &self.parts {
                roster.end_work(endpoint, *cells);
            }
        });
    }
}

/// Spells a path for logs.
pub fn spell(path: &[Part]) -> String {
    let part = |part: &Part| format!("{}={}-{}", part.endpoint, part.span.from, part.span.to);
    path.iter().map(part).collect::<Vec<_>>().join(",")
}
