//! The choice of a request's path, and its change while the request runs.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Instant;

use monoio::task::JoinHandle;

use super::context::RequestContext;
use super::dialect::OrderAnswer;
use super::engine;
use super::load::LinkGuard;
use super::parts;
use super::probe;
use super::retry;
use super::state::Edge;
use super::suspect;
use super::suspect::Process;
use super::suspect::RunEnd;
use super::suspect::RunProgress;
use crate::clock::Millis;
use crate::core::admit::Decision;
use crate::core::admit::Occupancy;
use crate::core::admit::token_capacity;
use crate::core::load::REPORT_INTERVAL;
use crate::core::pipe::Demand;
use crate::core::pipe::Expected;
use crate::core::pipe::LinkCounts;
use crate::core::pipe::Links;
use crate::core::pipe::Part;
use crate::core::pipe::Stage;
use crate::core::pipe::StallTimer;
use crate::core::pipe::Unseen;
use crate::core::pipe::choose_path;
use crate::core::pipe::count_arrivals;
use crate::core::pipe::expect_arrivals;
use crate::core::pipe::find_gap;
use crate::core::pipe::reroute;
use crate::core::pipe::spread_load;
use crate::core::site::Model;
use crate::names::EndpointName;

/// The largest random addition to an engine's cost, as a share of it, so that VMs with the same
/// data choose different paths.
const COST_JITTER: f64 = 0.15;

/// How long after its start a VM that does not know the other VMs' load spreads its streams, as the callers
/// of all VMs may be coming back at once. Streams on slower engines last several times as long, so this
/// ends as soon as the load is known. Later, its own streams and the marks of full engines spread the load.
const YOUNG_TIME: Millis = Millis::seconds(5);
/// The share of the engines' memory that is assumed to be in use during that time.
const ASSUMED_USE: f64 = 0.6;

/// The least time that must remain for another path.
pub const MIN_RETRY_TIME: Millis = Millis(300);

/// The pace that an engine is marked with after it refused a request, until it is probed.
const REFUSED_PACE: f64 = 8.0;

/// What the last choice of a path was made on, and what it took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Choice {
    /// The engines that the path could use.
    pub engines: usize,
    /// The links between their domains.
    pub links: LinkCounts,
    /// The age of the other VMs' load, if it was known.
    pub age: Option<Millis>,
    /// The time of the whole choice, in milliseconds.
    pub ms: f64,
}

/// Selects the paths of one request, without the engines that failed it.
#[derive(Debug)]
pub struct PathSelector<'a> {
    /// The daemon that serves the request.
    pub edge: &'a Edge,
    /// The request, with its route and deadline.
    pub ctx: &'a RequestContext,
    model: &'a Model,
    excluded: Vec<SocketAddr>,
    may_retry: bool,
    is_retry_taken: bool,
    /// The engines to which no connection could be opened.
    unreached: usize,
    /// The path that admission found room on.
    first: Option<Vec<Part>>,
    run: Run,
    /// Counts the prompt on the links that the path crosses until its first event.
    links: Option<LinkGuard>,
    choice: Cell<Choice>,
}

/// The request's run on its current path.
#[derive(Clone, Debug, Default)]
struct Run {
    start: Millis,
    processes: Vec<Process>,
    progress: RunProgress,
    /// Whether the path's engines were checked for a crash.
    is_checked: bool,
    /// The estimated time to the first event without other requests, in milliseconds.
    first_estimate: f64,
}

impl<'a> PathSelector<'a> {
    /// Starts with no engine excluded; see [`Self::set_attempts`] for retries.
    pub fn new(edge: &'a Edge, ctx: &'a RequestContext, model: &'a Model) -> Self {
        Self {
            edge,
            ctx,
            model,
            excluded: Vec::new(),
            may_retry: false,
            is_retry_taken: false,
            unreached: 0,
            first: None,
            run: Run::default(),
            links: None,
            choice: Cell::default(),
        }
    }

    /// Returns what the last choice of a path was made on, for logs.
    pub fn choice(&self) -> Choice {
        self.choice.get()
    }

    /// Sets the path on which room was found for the request.
    pub fn set_first(&mut self, path: Option<Vec<Part>>) {
        self.first = path;
    }

    /// Returns the path on which room was found, once.
    pub fn take_first(&mut self) -> Option<Vec<Part>> {
        self.first.take()
    }

    /// Records that no connection to an engine could be opened.
    pub fn record_unreached(&mut self) {
        self.unreached += 1;
    }

    /// Returns the number of engines to which no connection could be opened.
    pub fn unreached(&self) -> usize {
        self.unreached
    }

    /// Records that the request starts to run on a new path, or on one that was changed from `old`.
    pub fn begin_run(&mut self, path: &[Part], old: &[Part]) {
        let prompt = self.demand().prompt;
        self.links = Some(LinkGuard::begin(self.edge, path, old, prompt));
        let process = |part: &Part| {
            let boot = self.edge.roster(|roster| roster.born(&part.endpoint));
            Some(Process {
                endpoint: part.endpoint.clone(),
                addr: part.addr,
                boot: boot?,
            })
        };
        self.run = Run {
            start: self.edge.now(),
            processes: path.iter().filter_map(process).collect(),
            ..Run::default()
        };
    }

    /// Records that the request no longer runs on its path.
    pub fn end_run(&mut self) {
        self.links = None;
    }

    /// Records that the path began to answer.
    pub fn record_head(&mut self) {
        self.run.progress.has_begun = true;
    }

    /// Starts the timer that decides when to check a path for silent engines. `target` is the longest
    /// time to its first event that the caller should see.
    pub fn watch(&mut self, path: &[Part], target: Millis) -> StallTimer {
        let now = self.edge.now();
        let (model, demand) = (self.model, self.demand());
        let (estimate, lag, gap) = self.edge.roster(|roster| {
            let estimate = roster.estimate_first(path, model, demand);
            let lag = roster.usual_lag(now, path);
            (estimate, lag, roster.usual_gap(now, path))
        });
        self.run.first_estimate = estimate;
        StallTimer::new(now, self.ctx.route.gap).expecting(Expected {
            first: Millis((estimate * lag) as u64),
            gap,
            target,
        })
    }

    /// Records that the path produced an event, `gap` after the one before, and with it that all its
    /// engines work.
    pub fn record_event(&mut self, path: &[Part], gap: Option<Millis>) {
        let now = self.edge.now();
        self.links = None;
        // After a change of path, there is no estimate.
        let (waited, estimate) = (now.since(self.run.start), self.run.first_estimate);
        self.edge.roster(|roster| {
            for part in path {
                roster.record_liveness(now, &part.endpoint);
                match gap {
                    Some(gap) => roster.record_gap(now, &part.endpoint, gap),
                    None => roster.record_lag(now, &part.endpoint, waited, estimate),
                }
            }
        });
        self.run.progress.events += 1;
        if self.run.progress.events == suspect::SURVIVED_EVENTS {
            parts::record_survival(self.edge, self.ctx);
        }
    }

    /// Records that the request's run ended without a crash of an engine.
    pub fn record_completion(&self) {
        suspect::record_completion(self.edge, self.ctx, self.run.start);
    }

    /// Returns whether requests of this content, or with a part of its prompt, crashed so many
    /// endpoints that it may not run again.
    pub fn is_barred(&self) -> bool {
        suspect::is_barred(self.edge, self.ctx)
    }

    /// Starts to look at engines of the path that failed under the current run, once a run.
    fn check(&mut self, addrs: &[SocketAddr], end: RunEnd) -> Option<JoinHandle<bool>> {
        if std::mem::replace(&mut self.run.is_checked, true) {
            return None;
        }
        let failed = self
            .run
            .processes
            .iter()
            .filter(|process| addrs.contains(&process.addr));
        let failed = failed.cloned().collect();
        let progress = self.run.progress;
        Some(suspect::check_endpoints(
            self.edge, self.ctx, progress, failed, end,
        ))
    }

    /// Looks whether the first engine of a path crashed, whose connection broke or ended; after a break the
    /// crash is recorded also if it shows later. Returns whether it is known to have crashed.
    pub async fn check_first(&mut self, path: &[Part], end: RunEnd) -> bool {
        let Some(first) = path.first() else {
            return false;
        };
        match self.check(&[first.addr], end) {
            Some(check) => check.await,
            None => false,
        }
    }

    /// Starts to look whether one of the silent engines of a path crashed.
    fn spawn_check(&mut self, silent: &[SocketAddr]) {
        // It goes on, and nothing waits for its result.
        drop(self.check(silent, RunEnd::Broken));
    }

    /// Sets how many paths the request was sent along, which decides whether it may try another.
    pub fn set_attempts(&mut self, paths: u32) {
        self.may_retry = paths < self.ctx.route.attempts && self.ctx.route.may_repeat();
    }

    /// Returns the request's prompt and answer tokens, from its headers or else the model's usual
    /// numbers.
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

    /// Allows the engines again that failed the request, as far as their health does: where no path
    /// exists without them, they may have recovered.
    pub fn clear_excluded(&mut self) {
        self.excluded.clear();
    }

    /// Chooses a path without the engines that failed the request, if possible within what the links between
    /// domains take; `None` if there is none.
    pub fn pick_path(&self) -> Option<Vec<Part>> {
        let start = Instant::now();
        let (stages, links) = self.stages();
        let home = &self.edge.settings().domain;
        let demand = self.demand();
        let path = choose_path(&stages, &links, self.model, home, demand)
            .or_else(|| choose_path(&stages, &links.unlimited(), self.model, home, demand));
        self.record_choice(start);
        path
    }

    /// Records the time of a choice that began at `start`.
    fn record_choice(&self, start: Instant) {
        let mut choice = self.choice.get();
        choice.ms = start.elapsed().as_secs_f64() * 1000.0;
        self.choice.set(choice);
        self.edge.metrics().record_choice(&choice);
    }

    /// Logs why there is no path: the first layers that no engine offers, and how many engines are known,
    /// hold layers, and are offered to this request.
    pub fn log_no_path(&self) {
        let now = self.edge.now();
        let (stages, _) = self.stages();
        let gap = find_gap(&stages, self.model.layers);
        let (from, to) = gap.map_or((0, 0), |gap| (gap.from, gap.to));
        let (known, holding) = self.edge.roster(|roster| {
            let serving = roster.serving(&self.ctx.service, now);
            serving.fold((0, 0), |(known, holding), (entry, _, _)| {
                (known + 1, holding + u32::from(entry.span.is_some()))
            })
        });
        log::info!(
            id = self.ctx.id,
            from,
            to,
            known,
            holding,
            offered = stages.len(),
            excluded = self.excluded.len();
            "no_path"
        );
    }

    /// Chooses a path of engines that each have memory for the request, if requests like it may fill
    /// up to `limit` of an engine's request memory, over links that take it; `None` if there is none.
    pub fn pick_path_within(&self, limit: f64) -> Option<Vec<Part>> {
        let start = Instant::now();
        let demand = self.demand();
        let (mut stages, links) = self.stages();
        stages.retain(|stage| stage.fits(self.model, demand, limit));
        let home = &self.edge.settings().domain;
        let path = choose_path(&stages, &links, self.model, home, demand);
        self.record_choice(start);
        path
    }

    /// Returns how long until the first engine takes requests again, if there is no path because
    /// engines asked for a pause or named a limit.
    pub fn pause(&self) -> Option<Millis> {
        let now = self.edge.now();
        let service = &self.ctx.service;
        let wait = self
            .edge
            .roster(|roster| roster.shortest_wait(now, service));
        wait.filter(|_| self.pick_path().is_none())
    }

    /// Returns the tokens that fit on the engines that may run the request, and the share of their
    /// memory in use.
    pub fn capacity(&self) -> (f64, f64) {
        let stages = self.reported_stages();
        let (mut cells, mut used) = (0.0, 0.0);
        for stage in &stages {
            let size = self
                .model
                .kv_capacity(stage.card, stage.span.len())
                .max(0.0);
            cells += size;
            used += size * stage.memory_use;
        }
        (
            token_capacity(&stages, self.model),
            used / f64::max(cells, 1.0),
        )
    }

    /// Decides whether the engines have room for the request, and logs a refusal.
    pub fn admit(&self) -> Decision {
        let now = self.edge.now();
        let occupancy = Occupancy {
            used: self.edge.fleet(|fleet| fleet.total_load(now)),
            capacity: token_capacity(&self.reported_stages(), self.model),
        };
        let demand = self.demand();
        let tokens = demand.prompt + demand.answer;
        let draw = self.edge.random();
        let patience = self.ctx.deadline.since(self.ctx.start);
        self.edge.admission(|controller| {
            let is_retry = controller.detect_retry(&self.ctx.route.name, patience);
            let decision = controller.decide(occupancy, tokens, is_retry, draw);
            if let Decision::Refuse(wait) = decision {
                let ctx = self.ctx;
                log::info!(
                    id = ctx.id,
                    version = ctx.site.version,
                    route = ctx.route.name,
                    used = occupancy.used as u64,
                    room = occupancy.capacity as u64,
                    tokens = tokens as u64,
                    back = is_retry,
                    retry_ms = wait.0,
                    reason = "no_room";
                    "refused"
                );
            }
            decision
        })
    }

    /// Returns the engines with their load as last reported.
    fn reported_stages(&self) -> Vec<Stage> {
        let now = self.edge.now();
        let service = &self.ctx.service;
        self.edge.load(|exchange| {
            let load = |engine| exchange.engine(now, engine).0;
            self.edge
                .roster(|roster| roster.stages(service, self.model, now, load))
        })
    }

    /// Returns the engines that may run the request and the links between them, with the load that they
    /// probably have now.
    fn stages(&self) -> (Vec<Stage>, Links) {
        let now = self.edge.now();
        let mut stages = self.reported_stages();
        let links = match self.edge.load(|exchange| exchange.age(now)) {
            Some(age) => {
                let links = self.reported_links(&stages, age);
                let mean = self.edge.admission(|controller| controller.mean_duration());
                let turnover = age.0 as f64 / mean.max(1.0);
                let draw = || self.edge.random();
                let late = self.edge.loop_delay();
                expect_arrivals(&mut stages, &links, self.model, turnover, late, draw);
                links
            }
            None => Links::unknown(),
        };
        let age = self.edge.load(|exchange| exchange.age(now));
        let is_blind = age.is_none();
        self.choice.set(Choice {
            engines: stages.len(),
            links: links.count(),
            age,
            ms: 0.0,
        });
        stages.retain(|stage| !self.excluded.contains(&stage.addr));
        for stage in &mut stages {
            stage.penalty *= 1.0 + COST_JITTER * self.edge.random();
            // Only the first engine of a path is connected to.
            stage.is_warm = stage.span.from == 0 && self.edge.pool().has_idle(stage.addr);
        }
        if is_blind && self.edge.uptime() < YOUNG_TIME {
            let known = self.edge.fleet(|fleet| fleet.total_load(now));
            let used = known.max(token_capacity(&stages, self.model) * ASSUMED_USE);
            spread_load(&mut stages, self.model, used, || self.edge.random());
        }
        (stages, links)
    }

    /// Returns the links between the engines' domains, whose load was reported at an `age`.
    fn reported_links(&self, stages: &[Stage], age: Millis) -> Links {
        let now = self.edge.now();
        let domains = stages.iter().map(|stage| &stage.domain);
        let mean = self.edge.admission(|controller| controller.mean_duration());
        let span = age + REPORT_INTERVAL;
        let turnover = span.0 as f64 / mean.max(1.0);
        let arrivals = count_arrivals(stages, self.model, turnover);
        let unseen = Unseen { span, arrivals };
        let draw = || self.edge.random();
        self.edge.load(|exchange| {
            let load = |link| exchange.engine(now, link).0.cells;
            Links::between(domains, self.model, unseen, load, draw)
        })
    }

    /// Records that an engine failed the request; returns its name if it is known.
    pub fn record_failure(&mut self, addr: SocketAddr) -> Option<EndpointName> {
        self.exclude(addr);
        let now = self.edge.now();
        self.edge.roster(|roster| {
            let endpoint = roster.name_at(addr)?;
            roster.health(&endpoint)?.record_failure(now);
            Some(endpoint)
        })
    }

    /// Excludes an engine from the request's next paths.
    pub fn exclude(&mut self, addr: SocketAddr) {
        if !self.excluded.contains(&addr) {
            self.excluded.push(addr);
        }
    }

    /// Records that an engine refused the request, since it is gone, is leaving, unloads its
    /// layers or has no room, or that it failed with an error status. The engine is marked for the
    /// other VMs too, since it would refuse their requests.
    pub fn record_refusal(&mut self, addr: SocketAddr) {
        if let Some(endpoint) = self.record_failure(addr) {
            probe::mark(self.edge, &endpoint, Some(REFUSED_PACE));
        }
    }

    /// Checks a quiet path: probes its engines, and replaces those that are down.
    ///
    /// Returns whether to keep waiting: `false` if the first engine is down, the path cannot be
    /// changed, or the request may not run on other engines.
    pub async fn repair(&mut self, path: &mut Vec<Part>, watch: &StallTimer) -> bool {
        let Some(first) = path.first().cloned() else {
            return false;
        };
        let id = &self.ctx.id;
        let since = watch.last_event();
        let is_any_heard = self.edge.roster(|roster| roster.has_heard_since(since));
        if self.edge.is_cut_off() && !is_any_heard {
            log::info!(id, endpoint:% = first.endpoint, reason = "cut_off"; "path_silent");
            return false;
        }
        let is_down = |part: &&Part| self.edge.roster(|roster| roster.is_down(&part.endpoint));
        if is_down(&&first) {
            let quiet = self.edge.now().since(since).0;
            log::info!(id, endpoint:% = first.endpoint, quiet; "path_silent");
            self.spawn_check(&[first.addr]);
            return false;
        }
        let down = path.iter().filter(is_down);
        let silent: Vec<SocketAddr> = down.map(|part| part.addr).collect();
        if silent.is_empty() {
            self.probe_engines(path, watch);
            return true;
        }
        self.spawn_check(&silent);
        if self.is_barred() {
            return false;
        }
        for addr in &silent {
            self.exclude(*addr);
        }
        let (stages, links) = self.stages();
        let links = links.unlimited();
        let Some(other) = reroute(
            &stages,
            &links,
            self.model,
            self.demand(),
            path,
            &self.excluded,
        ) else {
            log::info!(id, silent:? = silent, reason = "no_path"; "path_silent");
            return false;
        };
        let now = self.edge.now();
        if let Some(pause) = self
            .edge
            .roster(|roster| roster.paused_for(now, &first.endpoint))
        {
            log::info!(id, endpoint:% = first.endpoint, pause_ms = pause.0, reason = "paused"; "path_silent");
            return false;
        }
        let request = (self.edge.dialect().repath_request)(id, &other);
        let answer = engine::send_order(self.edge, &first.endpoint, first.addr, request).await;
        log::info!(id, silent:? = silent, path:% = format_path(&other), answer:? = answer; "repath");
        match answer {
            Ok(OrderAnswer::Begun | OrderAnswer::Done) => {
                self.begin_run(&other, path);
                *path = other;
                true
            }
            // The engine no longer has the request: it ended just now.
            Ok(OrderAnswer::Refused(_)) => true,
            _ => false,
        }
    }

    /// Probes the engines of a quiet path that were not heard from since its last event, and a
    /// second one for comparison if that is only one.
    fn probe_engines(&self, path: &[Part], watch: &StallTimer) {
        let mut probed = Vec::new();
        for (index, part) in path.iter().enumerate() {
            if probe::probe_if_quiet(self.edge, part, index == 0, watch) {
                probed.push(index);
            }
        }
        if let [only] = probed[..]
            && path.len() > 1
        {
            let other = usize::from(only == 0);
            probe::spawn_probe(self.edge, &path[other], other == 0);
        }
    }

    /// Returns whether the request may leave a stalled path for another, and takes that retry
    /// from the budget. Without another path the request keeps waiting: silence alone must not end
    /// it.
    pub fn try_leave(&mut self) -> bool {
        let now = self.edge.now();
        let may_leave = self.may_retry
            && self.ctx.remaining(now) >= MIN_RETRY_TIME
            && (self.ctx.needs_detour(self.edge, 0) || self.pick_path().is_some());
        self.is_retry_taken = may_leave && self.take_retry();
        self.is_retry_taken
    }

    /// Takes a retry from the budget, unless [`Self::try_leave`] already did.
    pub fn take_retry(&mut self) -> bool {
        if std::mem::take(&mut self.is_retry_taken) {
            return true;
        }
        retry::take_retry(self.edge, self.ctx)
    }
}

/// Records that the engines of a path completed a request.
pub fn record_success(edge: &Edge, path: &[Part]) {
    edge.roster(|roster| {
        for part in path {
            if let Some(health) = roster.health(&part.endpoint) {
                health.record_success();
            }
        }
    });
}

/// Returns how often a path passes from one domain to another, for logs.
pub fn count_crossings(edge: &Edge, path: &[Part]) -> usize {
    edge.roster(|roster| {
        let crosses = |pair: &&[Part]| {
            let [from, to] = pair else { return false };
            roster.domain_of(&from.endpoint) != roster.domain_of(&to.endpoint)
        };
        path.windows(2).filter(crosses).count()
    })
}

/// Formats a path for logs: each engine with its layers, as `engine=from-to`.
pub fn format_path(path: &[Part]) -> String {
    let part = |part: &Part| format!("{}={}-{}", part.endpoint, part.span.from, part.span.to);
    path.iter().map(part).collect::<Vec<_>>().join(",")
}
