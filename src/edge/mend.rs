//! Choosing the path of a request, and changing it while the request runs.

use std::net::SocketAddr;

use super::dialect::OrderAnswer;
use super::engine;
use super::front::Job;
use super::probe;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::admit::Decision;
use crate::core::admit::Occupancy;
use crate::core::admit::token_capacity;
use crate::core::pipe::Demand;
use crate::core::pipe::Part;
use crate::core::pipe::Stage;
use crate::core::pipe::StallTimer;
use crate::core::pipe::choose_path;
use crate::core::pipe::reroute;
use crate::core::site::Model;
use crate::names::EndpointName;

/// The largest random part of an engine's cost, so that VMs with the same view choose differently.
const SPREAD: f64 = 0.15;

/// With less time left than this, no other path is tried.
pub const RETRY_LEAST: Millis = Millis(300);
/// The pace that an engine is marked with which turned a request away, until it is probed.
const TURNED_PACE: f64 = 8.0;

/// A request on its way through engines, and the ones that failed it.
#[derive(Debug)]
pub struct Trip<'a> {
    /// The daemon.
    pub edge: &'a Edge,
    /// The request.
    pub job: &'a Job,
    model: &'a Model,
    bad: Vec<SocketAddr>,
    another: bool,
    paid: bool,
}

impl<'a> Trip<'a> {
    /// Begins a trip.
    pub fn new(edge: &'a Edge, job: &'a Job, model: &'a Model) -> Self {
        Self {
            edge,
            job,
            model,
            bad: Vec::new(),
            another: false,
            paid: false,
        }
    }

    /// Says how many paths the request was sent along, and so whether it may be sent along another.
    pub fn sent(&mut self, paths: u32) {
        self.another = paths < self.job.route.attempts && self.job.route.may_repeat();
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

    /// Lets the request pass through engines again that failed it, once they are used at all: where no
    /// path stands without them, they may be back.
    pub fn forgive(&mut self) {
        self.bad.clear();
    }

    /// Chooses a path without the engines that failed the request.
    pub fn pick(&self) -> Option<Vec<Part>> {
        let stages = self.stages();
        choose_path(
            &stages,
            self.model,
            &self.edge.settings().domain,
            self.demand(),
        )
    }

    /// Decides whether the engines have room for the request.
    pub fn admit(&self) -> Decision {
        let now = self.edge.now();
        let fill = Occupancy {
            used: self.edge.fleet(|fleet| fleet.total_load(now)),
            capacity: token_capacity(&self.stages(), self.model),
        };
        let demand = self.demand();
        let tokens = demand.prompt + demand.answer;
        let draw = self.edge.draw();
        let left = self.job.until.since(self.job.start);
        self.edge.gate(|gate| {
            let back = gate.detect_retry(&self.job.route.name, left);
            let verdict = gate.decide(fill, tokens, back, draw);
            if let Decision::Refuse(wait) = verdict {
                let job = self.job;
                log::info!(
                    id = job.id,
                    version = job.site.version,
                    route = job.route.name,
                    used = fill.used as u64,
                    room = fill.capacity as u64,
                    tokens = tokens as u64,
                    back,
                    retry_ms = wait.0,
                    reason = "no_room";
                    "refused"
                );
            }
            verdict
        })
    }

    fn stages(&self) -> Vec<Stage> {
        let now = self.edge.now();
        let vms = self.edge.fleet(|fleet| fleet.serving_count(now)) as f64;
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

    /// Notes that an engine failed the request; returns its name if it is known.
    pub fn fail(&mut self, addr: SocketAddr) -> Option<EndpointName> {
        self.shun(addr);
        let now = self.edge.now();
        self.edge.roster(|roster| {
            let endpoint = roster.name_at(addr)?;
            roster.health(&endpoint)?.record_failure(now);
            Some(endpoint)
        })
    }

    /// Leaves an engine out of the request's next paths.
    fn shun(&mut self, addr: SocketAddr) {
        if !self.bad.contains(&addr) {
            self.bad.push(addr);
        }
    }

    /// Notes that a path could not be taken because of an engine: it is gone, leaves, gives up its
    /// layers or has no room. The other VMs are told, since they would be turned away too.
    pub fn turn_away(&mut self, addr: SocketAddr) {
        if let Some(endpoint) = self.fail(addr) {
            probe::mark(self.edge, &endpoint, Some(TURNED_PACE));
        }
    }

    /// Looks at a path that is quiet: has its engines asked whether they work, and changes the path if
    /// some do not.
    ///
    /// Returns whether it is worth waiting on: `false` if the first engine is silent or the path
    /// cannot be changed.
    pub async fn mend(&mut self, path: &mut Vec<Part>, watch: &StallTimer) -> bool {
        let Some(first) = path.first().cloned() else {
            return false;
        };
        let id = &self.job.id;
        let since = watch.last_event();
        let is_down = |part: &&Part| self.edge.roster(|roster| roster.is_down(&part.endpoint));
        if is_down(&&first) {
            let quiet = self.edge.now().since(since).0;
            log::info!(id, endpoint:% = first.endpoint, quiet; "path_silent");
            return false;
        }
        let silent: Vec<SocketAddr> = path.iter().filter(is_down).map(|part| part.addr).collect();
        if silent.is_empty() {
            self.question(path, watch);
            return true;
        }
        for addr in &silent {
            self.shun(*addr);
        }
        let stages = self.stages();
        let Some(other) = reroute(&stages, self.model, self.demand(), path, &self.bad) else {
            log::info!(id, silent:? = silent, reason = "no_path"; "path_silent");
            return false;
        };
        let request = (self.edge.dialect().repath)(id, &other);
        let answer = engine::order(self.edge, first.addr, &request).await;
        log::info!(id, silent:? = silent, path:% = spell(&other), answer:? = answer; "repath");
        match answer {
            Ok(OrderAnswer::Begun | OrderAnswer::Done) => {
                *path = other;
                true
            }
            // The engine no longer has the request: it ended just now.
            Ok(OrderAnswer::Refused(_)) => true,
            _ => false,
        }
    }

    /// Asks the engines of a quiet path that nothing was heard of since, and one more for comparison if
    /// that is only one.
    fn question(&self, path: &[Part], watch: &StallTimer) {
        let mut asked = Vec::new();
        for (place, part) in path.iter().enumerate() {
            if probe::suspect(self.edge, part, place == 0, watch) {
                asked.push(place);
            }
        }
        if let [only] = asked[..]
            && path.len() > 1
        {
            let other = usize::from(only == 0);
            probe::control(self.edge, &path[other], other == 0);
        }
    }

    /// Says whether a request may leave a path that stands still, and takes the retry out of the budget:
    /// where no other path can be taken, it goes on waiting, since silence alone ends no request.
    pub fn leave(&mut self) -> bool {
        let now = self.edge.now();
        let may = self.another && self.job.left(now) >= RETRY_LEAST && self.pick().is_some();
        self.paid = may && self.pay();
        self.paid
    }

    /// Takes a retry out of the budget, unless that was done when the path was left.
    pub fn pay(&mut self) -> bool {
        if std::mem::take(&mut self.paid) {
            return true;
        }
        let now = self.edge.now();
        let vms = self.edge.fleet(|fleet| fleet.assumed_size());
        let paid = self.edge.budget(|budget| budget.try_retry(now, vms));
        if !paid {
            log::info!(id = self.job.id, reason = "budget"; "not_retried");
        }
        paid
    }
}

/// Notes that the engines of a path made an event.
pub fn progress(edge: &Edge, path: &[Part]) {
    let now = edge.now();
    edge.roster(|roster| {
        for part in path {
            roster.record_liveness(now, &part.endpoint);
        }
    });
}

/// Notes that the engines of a path served a request.
pub fn succeed(edge: &Edge, path: &[Part]) {
    edge.roster(|roster| {
        for part in path {
            if let Some(health) = roster.health(&part.endpoint) {
                health.record_success();
            }
        }
    });
}

/// A request that counts at the engines of its path until this is dropped.
#[derive(Debug)]
pub struct Load {
    edge: Edge,
    tokens: u32,
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
                roster.begin_request(endpoint, *cells);
            }
        });
        let tokens = tokens as u32;
        edge.fleet(|fleet| fleet.me().load += tokens);
        Self {
            edge: edge.clone(),
            tokens,
            parts,
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.edge.fleet(|fleet| {
            let load = &mut fleet.me().load;
            *load = load.saturating_sub(self.tokens);
        });
        self.edge.roster(|roster| {
            for (endpoint, cells) in &self.parts {
                roster.end_request(endpoint, *cells);
            }
        });
    }
}

/// Spells a path for logs.
pub fn spell(path: &[Part]) -> String {
    let part = |part: &Part| format!("{}={}-{}", part.endpoint, part.span.from, part.span.to);
    path.iter().map(part).collect::<Vec<_>>().join(",")
}
