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
                return false;
            }
        };
        let addrs = path.iter().map(|part| part.addr);
        let stalled: Vec<SocketAddr> = addrs.filter(|addr| report.stalled.contains(addr)).collect();
        if stalled.is_empty() {
            return true;
        }
        for addr in &stalled {
            self.stand_still(*addr);
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

/// Probes the engines that stand still, for ever, so that they get work again once they answer.
pub async fn probe(edge: Edge) {
    loop {
        monoio::time::sleep(PROBE_SPAN.duration()).await;
        for (endpoint, addr) in edge.roster(|roster| roster.doubtful()) {
            let answered = engine::report(&edge, addr).await.is_ok();
            edge.roster(|roster| {
                if let Some(health) = roster.health(&endpoint).filter(|_| answered) {
                    health.answer_probe();
                }
            });
            if answered {
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
