//! Compares the routing policies: the real routers of many VMs with simulated endpoints and time.
//!
//! An endpoint processes token steps one at a time in order of arrival. A step takes a time given by
//! the endpoint's rate and the layers run, plus the link's delay each way. Load reports are measured
//! every 500 ms and arrive 300 ms later; VMs exchange hints every 250 ms. A fault makes one endpoint
//! silent for 20 s. docs/ROUTING.md has the results.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::config::object::Endpoint;
use cornelwharf::core::config::object::Layers;
use cornelwharf::core::config::object::Priority;
use cornelwharf::core::limit::Action;
use cornelwharf::core::limit::Decision;
use cornelwharf::core::limit::Finish;
use cornelwharf::core::limit::Limiter;
use cornelwharf::core::limit::Request;
use cornelwharf::core::limit::share::LimitRule;
use cornelwharf::core::poison::NodeHash;
use cornelwharf::core::poison::RequestDigest;
use cornelwharf::core::poison::shortlist;
use cornelwharf::core::route::Event;
use cornelwharf::core::route::Requirements;
use cornelwharf::core::route::Router;
use cornelwharf::core::route::chain::Leg;
use cornelwharf::core::route::choice::Policy;
use cornelwharf::core::route::flow;
use cornelwharf::core::route::view::Outcome;
use cornelwharf::core::route::view::Report;
use cornelwharf::names::EndpointName;
use cornelwharf::names::ServiceName;
use cornelwharf::names::Vm;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

// Names that end in `_US` are simulated times in microseconds.

const VMS: usize = 15;
const ENDPOINTS: usize = 43;
const LAYERS: u32 = 24;
const TOKENS: u32 = 32;
const TEAMS: usize = 10;
/// The demand of each team in twentieths of the total: a few large teams and many small ones.
const DEMAND: [u32; TEAMS] = [8, 4, 1, 1, 1, 1, 1, 1, 1, 1];
const WARMUP_US: u64 = 15_000_000;
const END_US: u64 = 60_000_000;
const REPORT_INTERVAL_US: u64 = 500_000;
const REPORT_DELAY_US: u64 = 300_000;
const HINT_INTERVAL_US: u64 = 250_000;
const TICK_INTERVAL_US: u64 = 50_000;
const FAULT_US: u64 = 20_000_000;
/// A refusal that takes longer than this counts as late.
const MAX_REFUSAL_US: u64 = 50_000;
const CALLER_TIMEOUT_US: u64 = 20_000_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive,
    Tick,
    Hints,
    Measure(usize),
    Reported(usize, u32, u64),
    Step(usize, u32, usize),
    Answer(usize, u32, usize),
    Silent(usize, u32, usize),
    Break(usize),
    Repair(usize),
}

#[derive(Clone, Copy, Debug)]
struct Setup {
    policy: Policy,
    rule: LimitRule,
    has_limiter: bool,
    offered: f64,
    faults: bool,
    lists: Lists,
    seed: u64,
}

/// Which endpoints a session may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lists {
    /// All endpoints of the service.
    All,
    /// The shortlist computed from the request's digest.
    Short,
}

#[derive(Debug)]
struct Session {
    vm: usize,
    team: usize,
    legs: Vec<Leg>,
    attempt: u32,
    left: u32,
    asked: u64,
    sent: u64,
    refused: Vec<EndpointName>,
}

#[derive(Debug, Default)]
struct Host {
    free: u64,
    running: u32,
    down: bool,
}

#[derive(Debug, Default)]
struct Figures {
    tokens: u64,
    first: Vec<u64>,
    good: u64,
    teams: [u64; TEAMS],
    asked: [u64; TEAMS],
    late: u64,
    refusals: u64,
    late_in_warmup: u64,
    slowest: u64,
}

/// The endpoints with their rendezvous hashes, grouped by the layers that they hold.
type Ranges = BTreeMap<Layers, Vec<(EndpointName, NodeHash)>>;

struct Simulation {
    setup: Setup,
    now: u64,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    count: u64,
    service: ServiceName,
    endpoints: Vec<Endpoint>,
    names: Vec<EndpointName>,
    ranges: Option<Ranges>,
    index: BTreeMap<EndpointName, usize>,
    hosts: Vec<Host>,
    routers: Vec<Router>,
    limiters: Vec<Limiter>,
    sessions: Vec<Session>,
    bound: f64,
    figures: Figures,
}

fn ranges(lists: Lists, endpoints: &[Endpoint]) -> Option<Ranges> {
    if lists == Lists::All {
        return None;
    }
    let mut ranges = Ranges::new();
    for one in endpoints {
        let hash = NodeHash::of(&one.name);
        let layers = one.layers.unwrap_or(Layers {
            from: 0,
            to: LAYERS,
        });
        ranges
            .entry(layers)
            .or_default()
            .push((one.name.clone(), hash));
    }
    Some(ranges)
}

fn endpoints(rng: &mut ChaCha8Rng) -> Vec<Endpoint> {
    let ranges = [(0, 8), (8, 16), (16, 24), (0, 12), (12, 24), (4, 20)];
    let make = |at: usize| {
        let (from, to) = ranges[at % ranges.len()];
        let speed = [100, 200, 400, 800][rng.random_range(0..4)];
        let rate = speed * 8 / (to - from);
        let delay = [1, 3, 10, 30, 100][rng.random_range(0..5)];
        Endpoint {
            name: format!("e{at:02}").as_str().into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 9000)),
            domain: "d".into(),
            owner: "o".into(),
            service: "drafts".into(),
            layers: Some(Layers { from, to }),
            kind: "k".into(),
            slots: (rate / 4).max(1),
            rate,
            delay: Millis(delay),
            fencing: false,
        }
    };
    (0..ENDPOINTS).map(make).collect()
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let endpoints = endpoints(&mut rng);
        let service = ServiceName::from("drafts");
        let all: Vec<&Endpoint> = endpoints.iter().collect();
        let slots = flow::max_concurrency(LAYERS, &all);
        let mut routers = Vec::new();
        let mut limiters = Vec::new();
        for vm in 0..VMS {
            let mut router = Router::new(setup.seed + 1 + vm as u64, setup.policy);
            router.set_peers(VMS - 1);
            router.set_endpoints(&service, LAYERS, &all);
            routers.push(router);
            let mut limiter = Limiter::default();
            limiter.set_slots(&service, slots);
            limiter.set_peers(VMS - 1);
            limiter.service(&service).share.set_rule(setup.rule);
            limiters.push(limiter);
        }
        let names: Vec<EndpointName> = endpoints.iter().map(|one| one.name.clone()).collect();
        let mut simulation = Self {
            ranges: ranges(setup.lists, &endpoints),
            now: 0,
            queue: BinaryHeap::new(),
            count: 0,
            index: names.iter().cloned().zip(0..).collect(),
            hosts: endpoints.iter().map(|_| Host::default()).collect(),
            sessions: Vec::new(),
            bound: flow::bound(LAYERS, &all).rate,
            figures: Figures::default(),
            setup,
            rng,
            service,
            endpoints,
            names,
            routers,
            limiters,
        };
        simulation.start();
        simulation
    }

    fn start(&mut self) {
        self.at(0, SimEvent::Arrive);
        self.at(TICK_INTERVAL_US, SimEvent::Tick);
        self.at(HINT_INTERVAL_US, SimEvent::Hints);
        for at in 0..ENDPOINTS {
            self.at(
                REPORT_INTERVAL_US * at as u64 / ENDPOINTS as u64,
                SimEvent::Measure(at),
            );
        }
        if self.setup.faults {
            let victim = self.rng.random_range(0..ENDPOINTS);
            self.at(WARMUP_US, SimEvent::Break(victim));
        }
    }

    fn at(&mut self, span: u64, item: SimEvent) {
        self.count += 1;
        self.queue
            .push(Reverse((self.now + span, self.count, item)));
    }

    fn millis(&self) -> Millis {
        Millis(self.now / 1000)
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((time, _, item))) = self.queue.pop() {
            if time > END_US {
                break;
            }
            self.now = time;
            self.handle(&item);
        }
        self
    }

    fn handle(&mut self, item: &SimEvent) {
        match *item {
            SimEvent::Arrive => self.arrive(),
            SimEvent::Tick => self.tick(),
            SimEvent::Hints => self.hints(),
            SimEvent::Measure(at) => self.measure(at),
            SimEvent::Reported(at, running, time) => self.reported(at, running, time),
            SimEvent::Step(session, attempt, leg) => self.step(session, attempt, leg),
            SimEvent::Answer(session, attempt, leg) => self.answer(session, attempt, leg),
            SimEvent::Silent(session, attempt, leg) => self.silent(session, attempt, leg),
            SimEvent::Break(at) => {
                self.hosts[at].down = true;
                self.at(FAULT_US, SimEvent::Repair(at));
            }
            SimEvent::Repair(at) => self.hosts[at].down = false,
        }
    }

    fn arrive(&mut self) {
        let rate = self.bound * self.setup.offered / f64::from(TOKENS);
        let span = -self.rng.random_range(1e-9..1.0_f64).ln() / rate;
        self.at((span * 1e6) as u64, SimEvent::Arrive);
        let mut drawn = self.rng.random_range(0..DEMAND.iter().sum());
        let team = DEMAND.iter().position(|&part| {
            let hit = drawn < part;
            drawn = drawn.saturating_sub(part);
            hit
        });
        let team = team.unwrap_or(0);
        let vm = self.rng.random_range(0..VMS);
        let id = self.sessions.len();
        self.sessions.push(Session {
            vm,
            team,
            legs: Vec::new(),
            attempt: 0,
            left: TOKENS,
            asked: self.now,
            sent: 0,
            refused: Vec::new(),
        });
        if self.now > WARMUP_US {
            self.figures.asked[team] += 1;
        }
        if !self.setup.has_limiter {
            return self.route(id);
        }
        let request = Request {
            id: id as u64,
            team: format!("t{team}").as_str().into(),
            weight: 1,
            rate_limit: 0,
            priority: Priority::Normal,
            cost: TOKENS,
            deadline: self.millis() + Millis(CALLER_TIMEOUT_US / 1000),
            service: self.service.clone(),
        };
        let now = self.millis();
        match self.limiters[vm].offer(now, request) {
            Decision::Admit => self.route(id),
            Decision::Queue => {}
            Decision::Refuse(_) => self.refused(id),
        }
    }

    fn refused(&mut self, id: usize) {
        let asked = self.sessions[id].asked;
        let waited = self.now - asked;
        if asked <= WARMUP_US {
            self.figures.late_in_warmup += u64::from(waited > MAX_REFUSAL_US);
            return;
        }
        self.figures.refusals += 1;
        self.figures.late += u64::from(waited > MAX_REFUSAL_US);
        self.figures.slowest = self.figures.slowest.max(waited);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Admit(id) => self.route(id as usize),
                Action::Refuse(id, _) => self.refused(id as usize),
            }
        }
    }

    fn route(&mut self, id: usize) {
        let now = self.millis();
        let one = &self.sessions[id];
        let requirements = Requirements {
            cost: one.left,
            prefix: &[],
            avoid: &one.refused,
        };
        let names = self.candidates(id);
        let found =
            self.routers[one.vm].pick_chain(now, &self.service, LAYERS, &names, &requirements);
        let Ok(legs) = found else {
            return self.finish(id, Finish::Congested);
        };
        let left = one.left;
        for leg in &legs {
            let (at, part) = (self.index[&leg.endpoint], self.layer_share(leg));
            self.hosts[at].running += 1;
            let cost = (f64::from(left) * part).ceil() as u32;
            let vm = self.sessions[id].vm;
            self.routers[vm].apply(now, &leg.endpoint, Event::Started { cost });
        }
        self.sessions[id].legs = legs;
        self.send(id, 0);
    }

    /// Returns the endpoints that may run a session: all, or the shortlist for its digest.
    fn candidates(&self, id: usize) -> Vec<EndpointName> {
        let Some(ranges) = &self.ranges else {
            return self.names.clone();
        };
        let digest = RequestDigest::of(&self.service, &[id as u32]);
        let lists = ranges
            .values()
            .flat_map(|range| shortlist(&digest, range.iter().map(|(name, hash)| (name, *hash))));
        lists.cloned().collect()
    }

    fn layer_share(&self, leg: &Leg) -> f64 {
        let held = self.endpoints[self.index[&leg.endpoint]]
            .layers
            .unwrap_or(leg.layers);
        f64::from(leg.layers.to - leg.layers.from) / f64::from(held.to - held.from)
    }

    fn send(&mut self, id: usize, leg: usize) {
        let attempt = self.sessions[id].attempt;
        self.sessions[id].sent = self.now;
        let at = self.index[&self.sessions[id].legs[leg].endpoint];
        let delay = self.endpoints[at].delay.0 * 1000;
        self.at(delay, SimEvent::Step(id, attempt, leg));
    }

    fn step(&mut self, id: usize, attempt: u32, leg: usize) {
        let at = self.index[&self.sessions[id].legs[leg].endpoint];
        let delay = self.endpoints[at].delay.0 * 1000;
        if self.hosts[at].down {
            let vm = self.sessions[id].vm;
            let patience = self.routers[vm]
                .suspicion_timeout(&self.names[at])
                .unwrap_or_default();
            return self.at(patience.0 * 1000, SimEvent::Silent(id, attempt, leg));
        }
        let service = self.layer_share(&self.sessions[id].legs[leg]) * 1e6;
        let span = (service / f64::from(self.endpoints[at].rate)) as u64;
        let host = &mut self.hosts[at];
        host.free = host.free.max(self.now) + span;
        let done = host.free - self.now;
        self.at(done + delay, SimEvent::Answer(id, attempt, leg));
    }

    fn answer(&mut self, id: usize, attempt: u32, leg: usize) {
        if self.sessions[id].attempt != attempt {
            return;
        }
        let now = self.millis();
        let took = Millis((self.now - self.sessions[id].sent) / 1000);
        let (vm, name) = (
            self.sessions[id].vm,
            self.sessions[id].legs[leg].endpoint.clone(),
        );
        self.routers[vm].apply(now, &name, Event::Answered { took });
        if leg + 1 < self.sessions[id].legs.len() {
            return self.send(id, leg + 1);
        }
        let asked = self.sessions[id].asked;
        if self.now > WARMUP_US {
            self.figures.tokens += 1;
            if self.sessions[id].left == TOKENS {
                self.figures.first.push((self.now - asked) / 1000);
            }
        }
        self.sessions[id].left -= 1;
        if self.sessions[id].left > 0 {
            return self.send(id, 0);
        }
        if self.now > WARMUP_US && self.now - asked <= CALLER_TIMEOUT_US {
            self.figures.good += u64::from(TOKENS);
            self.figures.teams[self.sessions[id].team] += 1;
        }
        self.release(id, None);
        self.finish(id, Finish::Served);
    }

    fn silent(&mut self, id: usize, attempt: u32, leg: usize) {
        if self.sessions[id].attempt != attempt {
            return;
        }
        let name = self.sessions[id].legs[leg].endpoint.clone();
        self.sessions[id].refused.push(name);
        self.release(id, Some(leg));
        self.sessions[id].attempt += 1;
        self.route(id);
    }

    fn release(&mut self, id: usize, failed: Option<usize>) {
        let now = self.millis();
        let vm = self.sessions[id].vm;
        let took = Millis((self.now - self.sessions[id].asked) / 1000);
        for (at, leg) in std::mem::take(&mut self.sessions[id].legs)
            .iter()
            .enumerate()
        {
            self.hosts[self.index[&leg.endpoint]].running -= 1;
            let outcome = if failed == Some(at) {
                Outcome::Failed
            } else {
                Outcome::Ok
            };
            self.routers[vm].apply(now, &leg.endpoint, Event::Ended { took, outcome });
        }
    }

    fn finish(&mut self, id: usize, finish: Finish) {
        if !self.setup.has_limiter {
            return;
        }
        let mut actions = Vec::new();
        let (now, vm) = (self.millis(), self.sessions[id].vm);
        self.limiters[vm].finished(now, &self.service, id as u64, finish, &mut actions);
        self.act(actions);
    }

    fn tick(&mut self) {
        self.at(TICK_INTERVAL_US, SimEvent::Tick);
        for vm in 0..VMS {
            let mut actions = Vec::new();
            let now = self.millis();
            self.limiters[vm].tick(now, &mut actions);
            self.act(actions);
        }
    }

    fn hints(&mut self) {
        self.at(HINT_INTERVAL_US, SimEvent::Hints);
        for vm in 0..VMS {
            let name = Vm::from(format!("v{vm}").as_str());
            let hints = self.routers[vm].hints();
            let demand = self.limiters[vm].service(&self.service).share.demand();
            for peer in (0..VMS).filter(|&peer| peer != vm) {
                for hint in &hints {
                    self.routers[peer].apply_hint(&name, hint);
                }
                self.limiters[peer]
                    .service(&self.service)
                    .share
                    .apply_demand(&name, demand);
            }
        }
    }

    fn measure(&mut self, at: usize) {
        self.at(REPORT_INTERVAL_US, SimEvent::Measure(at));
        if !self.hosts[at].down {
            self.at(
                REPORT_DELAY_US,
                SimEvent::Reported(at, self.hosts[at].running, self.now / 1000),
            );
        }
    }

    fn reported(&mut self, at: usize, running: u32, time: u64) {
        let report = Report {
            at: Millis(time),
            running,
            waiting: 0,
            free_kv: 0,
            leaving: false,
        };
        for router in &mut self.routers {
            let now = Millis(self.now / 1000);
            router.apply(now, &self.names[at], Event::Reported(report.clone()));
        }
    }

    fn percent_of_bound(&self, tokens: u64) -> f64 {
        tokens as f64 / ((END_US - WARMUP_US) as f64 / 1e6) / self.bound * 100.0
    }

    /// Returns the lowest percentage of its max-min fair share that any team was served.
    fn fairness(&self) -> f64 {
        let mut open: Vec<usize> = (0..TEAMS).collect();
        open.sort_by_key(|&team| self.figures.asked[team]);
        let mut left: u64 = self.figures.teams.iter().sum();
        let mut worst = f64::INFINITY;
        for (done, &team) in open.iter().enumerate() {
            let fair = (left / (TEAMS - done) as u64).min(self.figures.asked[team]);
            left -= fair;
            worst = worst.min(self.figures.teams[team] as f64 / fair.max(1) as f64);
        }
        worst * 100.0
    }
}

fn quantile(spans: &mut [u64], part: f64) -> u64 {
    spans.sort_unstable();
    spans
        .get((spans.len() as f64 * part) as usize)
        .copied()
        .unwrap_or(0)
}

fn main() {
    let mut args = std::env::args().skip(1);
    let part = args.next().unwrap_or_else(|| "steady".into());
    let seed = args.next().and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("cargo run --release --example policies -- {part} {seed}");
    let base = Setup {
        policy: Policy::TwoChoices,
        rule: LimitRule::Demand,
        has_limiter: false,
        offered: 0.5,
        faults: part == "faults",
        lists: Lists::All,
        seed,
    };
    if part == "overload" {
        overload(base);
    } else if part == "shortlist" {
        compare_lists(base);
    } else {
        compare(base);
    }
}

/// Compares routing over all endpoints with routing over the shortlist of each request.
fn compare_lists(base: Setup) {
    println!("| endpoints | offered | tokens/s of bound | first token p50 ms | p95 ms |");
    println!("| --- | --- | --- | --- | --- |");
    for offered in [0.8, 0.95, 1.0, 1.2] {
        for lists in [Lists::All, Lists::Short] {
            let setup = Setup {
                offered,
                lists,
                ..base
            };
            let mut done = Simulation::new(setup).run();
            let share = done.percent_of_bound(done.figures.tokens);
            let first = &mut done.figures.first;
            let (p50, p95) = (quantile(first, 0.5), quantile(first, 0.95));
            println!("| {lists:?} | {offered} | {share:.1}% | {p50} | {p95} |");
        }
    }
}

fn compare(base: Setup) {
    println!("| policy | offered | tokens/s of bound | first token p50 ms | p95 ms |");
    println!("| --- | --- | --- | --- | --- |");
    for offered in [0.5, 0.8, 0.95, 1.0, 1.2] {
        for policy in [
            Policy::Random,
            Policy::RoundRobin,
            Policy::LeastWork,
            Policy::TwoChoices,
        ] {
            let setup = Setup {
                policy,
                offered,
                ..base
            };
            let mut done = Simulation::new(setup).run();
            let share = done.percent_of_bound(done.figures.tokens);
            let first = &mut done.figures.first;
            let (p50, p95) = (quantile(first, 0.5), quantile(first, 0.95));
            println!("| {policy:?} | {offered} | {share:.1}% | {p50} | {p95} |");
        }
    }
}

fn overload(base: Setup) {
    println!(
        "| rule | policy | offered | goodput of bound | worst team | refused late | slowest | late while cold |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for offered in [2.0, 5.0] {
        for (rule, policy) in [
            (LimitRule::Demand, Policy::TwoChoices),
            (LimitRule::Adaptive, Policy::TwoChoices),
            (LimitRule::Demand, Policy::LeastWork),
        ] {
            let setup = Setup {
                policy,
                rule,
                offered,
                has_limiter: true,
                ..base
            };
            let done = Simulation::new(setup).run();
            let (good, fair) = (done.percent_of_bound(done.figures.good), done.fairness());
            let (late, all) = (done.figures.late, done.figures.refusals);
            let cold = done.figures.late_in_warmup;
            let slow = done.figures.slowest / 1000;
            println!(
                "| {rule:?} | {policy:?} | {offered} | {good:.1}% | {fair:.1}% | {late}/{all} | {slow} ms | {cold} |"
            );
        }
    }
}
