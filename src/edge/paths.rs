//! Choosing the path of a request, and changing it while the request runs.

use std::net::SocketAddr;

use super::dialect::OrderAnswer;
use super::engine;
use super::front::RequestContext;
use super::probe;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::admit::Fill;
use crate::core::admit::Verdict;
use crate::core::admit::room;
use crate::core::pipe::Demand;
use crate::core::pipe::Part;
use crate::core::pipe::Stage;
use crate::core::pipe::Watch;
use crate::core::pipe::choose;
use crate::core::pipe::detour;
use crate::core::site::Model;
use crate::names::EndpointName;

/// The largest random part of an engine's cost, so that VMs with the same view choose differently.
const COST_JITTER: f64 = 0.15;

/// With less time left than this, no other path is tried.
pub const MIN_RETRY_TIME: Millis = Millis(300);
/// The pace that an engine is marked with which turned a request away, until it is probed.
const REFUSED_PACE: f64 = 8.0;

/// A request on its way through engines, and the ones that failed it.
#[derive(Debug)]
pub struct PathSelector<'a> {
    /// The daemon.
    pub edge: &'a Edge,
    /// The request.
    pub ctx: &'a RequestContext,
    model: &'a Model,
    excluded: Vec<SocketAddr>,
    may_retry: bool,
    is_retry_taken: bool,
}

impl<'a> PathSelector<'a> {
    /// Begins a trip.
    pub fn new(edge: &'a Edge, ctx: &'a RequestContext, model: &'a Model) -> Self {
        Self {
            edge,
            ctx,
            model,
            excluded: Vec::new(),
            may_retry: false,
            is_retry_taken: false,
        }
    }

    /// Says how many paths the request was sent along, and so whether it may be sent along another.
    pub fn set_attempts(&mut self, paths: u32) {
        self.may_retry = paths < self.ctx.route.attempts && self.ctx.route.may_repeat();
    }

    /// Returns what the request asks of a path, as far as its headers tell.
    pub fn demand(&self) -> Demand {
        let names = &self.edge.dialect().headers;
        let request = &self.ctx.request;
        let (prompt, answer) = self.model.usual;
        let text = request.header(&names.tokens).unwrap_or_default();
        let mut numbers = text
            .split(',')
            .map(|number| number.trim().parse::<f64>().ok());
        let prompt = numbers.next().flatten().unwrap_or(prompt);
        let most = numbers.next().flatten().unwrap_or(answer);
        let hint = request
            .header(&names.length_hint)
            .and_then(|text| text.parse::<f64>().ok());
        Demand {
            prompt,
            answer: hint.unwrap_or(answer).min(most),
        }
    }

    /// Lets the request pass through engines again that failed it, once they are used at all: where no
    /// path stands without them, they may be back.
    pub fn clear_excluded(&mut self) {
        self.excluded.clear();
    }

    /// Chooses a path without the engines that failed the request.
    pub fn pick_path(&self) -> Option<Vec<Part>> {
        let stages = self.stages();
        choose(
            &stages,
            self.model,
            &self.edge.settings().domain,
            self.demand(),
        )
    }

    /// Decides whether the engines have room for the request.
    pub fn admit(&self) -> Verdict {
        let now = self.edge.now();
        let fill = Fill {
            used: self.edge.fleet(|fleet| fleet.load(now)),
            room: room(&self.stages(), self.model),
        };
        let demand = self.demand();
        let tokens = demand.prompt + demand.answer;
        let draw = self.edge.random();
        let patience = self.ctx.deadline.since(self.ctx.start);
        self.edge.gate(|gate| {
            let back = gate.came_back(&self.ctx.route.name, patience);
            let verdict = gate.decide(fill, tokens, back, draw);
            if let Verdict::Refuse(wait) = verdict {
                let ctx = self.ctx;
                log::info!(
                    id = ctx.id,
                    version = ctx.site.version,
                    route = ctx.route.name,
                    used = fill.used as u64,
                    room = fill.room as u64,
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
        let vms = self.edge.fleet(|fleet| fleet.serving(now)) as f64;
        let service = &self.ctx.service;
        let mut stages = self
            .edge
            .roster(|roster| roster.stages(service, self.model, now, vms));
        stages.retain(|stage| !self.excluded.contains(&stage.addr));
        for stage in &mut stages {
            stage.penalty *= 1.0 + COST_JITTER * self.edge.random();
        }
        stages
    }

    /// Notes that an engine failed the request; returns its name if it is known.
    pub fn record_failure(&mut self, addr: SocketAddr) -> Option<EndpointName> {
        self.exclude(addr);
        let now = self.edge.now();
        self.edge.roster(|roster| {
            let endpoint = roster.name_at(addr)?;
            roster.health(&endpoint)?.fail(now);
            Some(endpoint)
        })
    }

    /// Leaves an engine out of the request's next paths.
    fn exclude(&mut self, addr: SocketAddr) {
        if !self.excluded.contains(&addr) {
            self.excluded.push(addr);
        }
    }

    /// Notes that a path could not be taken because of an engine: it is gone, leaves, gives up its
    /// layers or has no room. The other VMs are told, since they would be turned away too.
    pub fn record_refusal(&mut self, addr: SocketAddr) {
        if let Some(endpoint) = self.record_failure(addr) {
            probe::mark(self.edge, &endpoint, Some(REFUSED_PACE));
        }
    }

    /// Looks at a path that is quiet: has its engines asked whether they work, and changes the path if
    /// some do not.
    ///
    /// Returns whether it is worth waiting on: `false` if the first engine is silent or the path
    /// cannot be changed.
    pub async fn repair(&mut self, path: &mut Vec<Part>, watch: &Watch) -> bool {
        let Some(first) = path.first().cloned() else {
            return false;
        };
        let id = &self.ctx.id;
        let since = watch.since();
        let is_down = |part: &&Part| self.edge.roster(|roster| roster.is_down(&part.endpoint));
        if is_down(&&first) {
            let quiet = self.edge.now().since(since).0;
            log::info!(id, endpoint:% = first.endpoint, quiet; "path_silent");
            return false;
        }
        let silent: Vec<SocketAddr> = path.iter().filter(is_down).map(|part| part.addr).collect();
        if silent.is_empty() {
            self.probe_engines(path, watch);
            return true;
        }
        for addr in &silent {
            self.exclude(*addr);
        }
        let stages = self.stages();
        let Some(other) = detour(&stages, self.model, self.demand(), path, &self.excluded) else {
            log::info!(id, silent:? = silent, reason = "no_path"; "path_silent");
            return false;
        };
        let request = (self.edge.dialect().repath_request)(id, &other);
        let answer = engine::send_order(self.edge, first.addr, &request).await;
        log::info!(id, silent:? = silent, path:% = format_path(&other), answer:? = answer; "repath");
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
    fn probe_engines(&self, path: &[Part], watch: &Watch) {
        let mut asked = Vec::new();
        for (place, part) in path.iter().enumerate() {
            if probe::probe_if_quiet(self.edge, part, place == 0, watch) {
                asked.push(place);
            }
        }
        if let [only] = asked[..]
            && path.len() > 1
        {
            let other = usize::from(only == 0);
            probe::spawn_probe(self.edge, &path[other], other == 0);
        }
    }

    /// Says whether a request may leave a path that stands still, and takes the retry out of the budget:
    /// where no other path can be taken, it goes on waiting, since silence alone ends no request.
    pub fn try_leave(&mut self) -> bool {
        let now = self.edge.now();
        let may = self.may_retry
            && self.ctx.remaining(now) >= MIN_RETRY_TIME
            && self.pick_path().is_some();
        self.is_retry_taken = may && self.take_retry();
        self.is_retry_taken
    }

    /// Takes a retry out of the budget, unless that was done when the path was left.
    pub fn take_retry(&mut self) -> bool {
        if std::mem::take(&mut self.is_retry_taken) {
            return true;
        }
        let now = self.edge.now();
        let vms = self.edge.fleet(|fleet| fleet.sharers());
        let paid = self.edge.budget(|budget| budget.retry(now, vms));
        if !paid {
            log::info!(id = self.ctx.id, reason = "budget"; "not_retried");
        }
        paid
    }
}

/// Notes that the engines of a path made an event.
pub fn record_progress(edge: &Edge, path: &[Part]) {
    let now = edge.now();
    edge.roster(|roster| {
        for part in path {
            roster.hear(now, &part.endpoint);
        }
    });
}

/// Notes that the engines of a path served a request.
pub fn record_success(edge: &Edge, path: &[Part]) {
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
pub struct LoadGuard {
    edge: Edge,
    tokens: u32,
    parts: Vec<(EndpointName, f64)>,
}

impl LoadGuard {
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
        let tokens = tokens as u32;
        edge.fleet(|fleet| fleet.me().load += tokens);
        Self {
            edge: edge.clone(),
            tokens,
            parts,
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.edge.fleet(|fleet| {
            let load = &mut fleet.me().load;
            *load = load.saturating_sub(self.tokens);
        });
        self.edge.roster(|roster| {
            for (endpoint, cells) in &self.parts {
                roster.end_work(endpoint, *cells);
            }
        });
    }
}

/// Spells a path for logs.
pub fn format_path(path: &[Part]) -> String {
    let part = |part: &Part| format!("{}={}-{}", part.endpoint, part.span.from, part.span.to);
    path.iter().map(part).collect::<Vec<_>>().join(",")
}
