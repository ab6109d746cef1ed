//! All VMs start at once, and the callers of all of them come back: what streams get while no VM knows what
//! the others run. Engines read prompts one after the other, and so do the links between domains carry them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::admit::order::NEW_LIMIT;
use cornelwharf::core::admit::token_capacity;
use cornelwharf::core::load::NameHash;
use cornelwharf::core::load::REPORT_INTERVAL;
use cornelwharf::core::pipe::Demand;
use cornelwharf::core::pipe::Engine;
use cornelwharf::core::pipe::Links;
use cornelwharf::core::pipe::Part;
use cornelwharf::core::pipe::Stage;
use cornelwharf::core::pipe::Unseen;
use cornelwharf::core::pipe::choose_path;
use cornelwharf::core::pipe::count_arrivals;
use cornelwharf::core::pipe::expect_arrivals;
use cornelwharf::core::pipe::link_name;
use cornelwharf::core::pipe::plan_placement;
use cornelwharf::core::pipe::spread_load;
use cornelwharf::core::site::Card;
use cornelwharf::core::site::Model;
use cornelwharf::names::Domain;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// The engines of each domain by card.
const COUNTS: [[usize; 3]; 3] = [[4, 6, 14], [2, 9, 22], [2, 15, 12]];
const CARDS: [Card; 3] = [
    Card {
        memory: 72e3,
        pace: 2.4,
        read: 3.2,
    },
    Card {
        memory: 43.2e3,
        pace: 5.6,
        read: 2.7,
    },
    Card {
        memory: 21.6e3,
        pace: 16.0,
        read: 8.2,
    },
];
/// The streams a second, and those that come back at once after the return.
const PER_S: u64 = 285;
const BACK: u64 = 900;
const DEMAND: Demand = Demand {
    prompt: 760.0,
    answer: 220.0,
};
/// The tokens of an event.
const EVENT: f64 = 5.0;
/// When the first event is due, and when a caller leaves without one (the users' figures).
const AIM: f64 = 500.0;
const PATIENCE: f64 = 2000.0;
/// Service has to be back after this time, at this share of what was served in time before.
const BACK_BY: f64 = 2000.0;
const BACK_SHARE: f64 = 0.9;
/// When VMs begin to hear of each other's load, and the age of what they hear.
const HEARD: f64 = 700.0;
const AGE: f64 = 200.0;
/// The mean duration of streams that VMs assume.
const DURATION: f64 = 2300.0;
const END: f64 = 6000.0;
/// When a refused caller is told to come back.
const REFUSED_FOR: f64 = 500.0;

fn model(pipe: f64) -> Model {
    Model {
        layers: 80,
        weight: 1750.0,
        token: 590e3,
        slots: 192,
        load: Millis::seconds(14),
        step: 1.02,
        sequence: 0.00459,
        context: 0.00615,
        reading: 164.0,
        activation: 29_500.0,
        pipe,
        delay: 0.3,
        usual: (DEMAND.prompt, DEMAND.answer),
        cards: BTreeMap::new(),
    }
}

/// Places the model, then takes one in `lost` of the faster engines away, as if they had restarted.
fn stages(model: &Model, lost: usize) -> Vec<Stage> {
    let mut engines = Vec::new();
    let mut cards = Vec::new();
    for (domain, counts) in DOMAINS.into_iter().zip(COUNTS) {
        for (count, card) in counts.into_iter().zip(CARDS) {
            for _ in 0..count {
                engines.push(Engine {
                    endpoint: format!("e{:03}", engines.len()).as_str().into(),
                    domain: domain.into(),
                    memory: card.memory,
                    pace: card.pace,
                    span: None,
                });
                cards.push(card);
            }
        }
    }
    let plan = plan_placement(&engines, model);
    for engine in &mut engines {
        engine.span = plan.get(&engine.endpoint).copied();
    }
    let is_empty = |index: usize, engine: &Engine| index.is_multiple_of(lost) && engine.pace < 10.0;
    for (index, engine) in engines.iter_mut().enumerate() {
        if is_empty(index, engine) {
            engine.span = None;
        }
    }
    let placed = engines.into_iter().zip(cards).enumerate();
    let stage = |(index, (engine, card)): (usize, (Engine, Card))| {
        Some(Stage {
            addr: SocketAddr::from(([10, 0, 0, index as u8], 80)),
            span: engine.span?,
            endpoint: engine.endpoint,
            domain: engine.domain,
            card,
            running: 0.0,
            memory_use: 0.0,
            penalty: 1.0,
            can_lead: true,
            is_warm: false,
        })
    };
    placed.filter_map(stage).collect()
}

/// A stream on its way through the engines of its path.
#[derive(Clone, Debug)]
struct Stream {
    begun: f64,
    is_return: bool,
    parts: Vec<usize>,
    layers: Vec<u32>,
    /// The time that a token takes, waits on links included.
    token: f64,
}

/// What happens at a time, in microseconds. Steps of streams name their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { is_return: bool },
    Step { stream: usize, part: usize },
    End { stream: usize },
}

/// The load at a time: the requests and cells of each engine, and the prompt tokens on each link.
type Report = (f64, Vec<f64>, Vec<f64>, BTreeMap<NameHash, u64>);

struct World {
    model: Model,
    stages: Vec<Stage>,
    rng: ChaCha8Rng,
    /// When each engine has read, and each link carried, what came so far.
    engines: Vec<f64>,
    links: BTreeMap<NameHash, f64>,
    running: Vec<f64>,
    cells: Vec<f64>,
    crossing: BTreeMap<NameHash, u64>,
    streams: Vec<Stream>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    reports: Vec<Report>,
    /// The streams that arrived in each second, and those of them whose first event was in time.
    seconds: Vec<(f64, f64)>,
}

impl World {
    fn new(pipe: f64, lost: usize, seed: u64) -> Self {
        let model = model(pipe);
        let stages = stages(&model, lost);
        let count = stages.len();
        Self {
            model,
            stages,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: vec![0.0; count],
            links: BTreeMap::new(),
            running: vec![0.0; count],
            cells: vec![0.0; count],
            crossing: BTreeMap::new(),
            streams: Vec::new(),
            events: BinaryHeap::new(),
            reports: Vec::new(),
            seconds: vec![(0.0, 0.0); END as usize / 1000],
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.events.push(Reverse(((at * 1000.0) as u64, event)));
    }

    /// Returns the path that a VM chooses; `is_young` says that all VMs have just started.
    fn choose(&mut self, now: f64, home: &Domain, is_young: bool) -> Option<Vec<Part>> {
        let mut view = self.stages.clone();
        let mut used = 0.0;
        let mut links = Links::unknown();
        let is_heard = !is_young || now >= HEARD;
        let report = self.reports.iter().rev().find(|last| now - last.0 >= AGE);
        if let Some((_, running, cells, crossing)) = report.filter(|_| is_heard) {
            for (index, stage) in view.iter_mut().enumerate() {
                let size = self.model.kv_capacity(stage.card, stage.span.len());
                stage.running = running[index];
                stage.memory_use = cells[index] / size;
                stage.can_lead = stage.running < f64::from(self.model.slots);
            }
            used = cells.iter().sum::<f64>() / f64::from(self.model.layers);
            let domains = DOMAINS.map(Domain::from);
            let span = Millis(AGE as u64) + REPORT_INTERVAL;
            let arrivals = count_arrivals(&view, &self.model, span.0 as f64 / DURATION);
            let unseen = Unseen { span, arrivals };
            let load = |link| crossing.get(&link).copied().unwrap_or(0);
            let rng = &mut self.rng;
            links = Links::between(&domains, &self.model, unseen, load, || rng.random());
            let draw = || rng.random();
            let turnover = AGE / DURATION;
            expect_arrivals(&mut view, &links, &self.model, turnover, Millis(0), draw);
        }
        for stage in &mut view {
            stage.penalty *= 1.0 + 0.15 * self.rng.random::<f64>();
        }
        if !is_heard {
            let used = f64::max(used, token_capacity(&view, &self.model) * 0.6);
            let rng = &mut self.rng;
            spread_load(&mut view, &self.model, used, || rng.random());
        }
        view.retain(|stage| stage.fits(&self.model, DEMAND, NEW_LIMIT));
        choose_path(&view, &links, &self.model, home, DEMAND)
    }

    fn arrive(&mut self, now: f64, is_return: bool, is_young: bool) {
        if let Some(second) = self.seconds.get_mut(now as usize / 1000) {
            second.0 += 1.0;
        }
        let home: Domain = DOMAINS[self.rng.random_range(0..DOMAINS.len())].into();
        let Some(path) = self.choose(now, &home, is_young) else {
            if !is_return {
                self.push(now + REFUSED_FOR, Event::Arrival { is_return: true });
            }
            return;
        };
        let index = |part: &Part| self.stages.iter().position(|it| it.addr == part.addr);
        let parts: Vec<usize> = path.iter().filter_map(index).collect();
        let layers: Vec<u32> = path.iter().map(|part| part.span.len()).collect();
        let stream = Stream {
            begun: now,
            is_return,
            parts,
            layers,
            token: 0.0,
        };
        self.hold(&stream, 1.0);
        for link in self.crossed(&stream) {
            *self.crossing.entry(link).or_default() += DEMAND.prompt as u64;
        }
        self.streams.push(stream);
        let stream = self.streams.len() - 1;
        self.push(now, Event::Step { stream, part: 0 });
    }

    fn hold(&mut self, stream: &Stream, sign: f64) {
        for (part, layers) in stream.parts.iter().zip(&stream.layers) {
            self.running[*part] += sign;
            self.cells[*part] += sign * (DEMAND.prompt + DEMAND.answer) * f64::from(*layers);
        }
    }

    fn link(&self, from: usize, to: usize) -> Option<NameHash> {
        let (from, to) = (&self.stages[from].domain, &self.stages[to].domain);
        (from != to).then(|| link_name(from, to))
    }

    fn crossed(&self, stream: &Stream) -> Vec<NameHash> {
        let pairs = stream.parts.windows(2);
        pairs
            .filter_map(|pair| self.link(pair[0], pair[1]))
            .collect()
    }

    /// Has a part of a path read the prompt, which may have to pass a link first.
    fn step(&mut self, now: f64, stream: usize, part: usize) {
        let known = self.streams[stream].clone();
        if now - known.begun > PATIENCE {
            return self.end_prompt(now, stream, f64::INFINITY);
        }
        let Some(index) = known.parts.get(part).copied() else {
            let first = now + known.token * EVENT - known.begun;
            return self.end_prompt(now, stream, first);
        };
        let share = f64::from(known.layers[part]) / f64::from(self.model.layers);
        let stage = &self.stages[index];
        let each = self.model.sequence + self.model.context;
        let pass = share * stage.card.pace * (self.model.step + each * self.running[index]);
        let read = share * stage.card.read * DEMAND.prompt / self.model.reading;
        let next = now.max(self.engines[index]) + read;
        self.engines[index] = next;
        self.streams[stream].token += pass;
        let link = known
            .parts
            .get(part + 1)
            .and_then(|to| self.link(index, *to));
        let arrived = link.map_or(next, |link| {
            let free = self.links.entry(link).or_insert(0.0);
            let wait = (*free - next).max(0.0);
            *free = next + wait + DEMAND.prompt * self.model.activation / (self.model.pipe * 125.0);
            self.streams[stream].token += wait + self.model.delay;
            *free
        });
        let part = part + 1;
        self.push(arrived, Event::Step { stream, part });
    }

    /// Counts the first event of a stream, and plans its end, or its return if its caller has left.
    fn end_prompt(&mut self, now: f64, stream: usize, first: f64) {
        let known = self.streams[stream].clone();
        for link in self.crossed(&known) {
            *self.crossing.entry(link).or_default() -= DEMAND.prompt as u64;
        }
        if let Some(second) = self.seconds.get_mut(known.begun as usize / 1000) {
            second.1 += f64::from(u8::from(first <= AIM));
        }
        if first <= PATIENCE {
            let left = known.token * DEMAND.answer;
            return self.push(now + left, Event::End { stream });
        }
        self.push(now, Event::End { stream });
        if !known.is_return {
            self.push(now, Event::Arrival { is_return: true });
        }
    }

    /// Plays the streams of all VMs, and returns the share whose first event is in time, by second.
    fn play(mut self, is_young: bool) -> Vec<f64> {
        let back = if is_young { BACK } else { 0 };
        for _ in 0..back {
            let at = self.rng.random_range(200.0..950.0);
            self.push(at, Event::Arrival { is_return: false });
        }
        for _ in 0..PER_S * END as u64 / 1000 {
            let at = self.rng.random_range(0.0..END);
            self.push(at, Event::Arrival { is_return: false });
        }
        while let Some(Reverse((at, event))) = self.events.pop() {
            let now = at as f64 / 1000.0;
            if now >= END + PATIENCE {
                break;
            }
            let is_due = |last: &Report| now - last.0 >= 100.0;
            if self.reports.last().is_none_or(is_due) {
                let (running, cells) = (self.running.clone(), self.cells.clone());
                self.reports
                    .push((now, running, cells, self.crossing.clone()));
            }
            match event {
                Event::Arrival { is_return } => self.arrive(now, is_return, is_young),
                Event::Step { stream, part } => self.step(now, stream, part),
                Event::End { stream } => {
                    let known = self.streams[stream].clone();
                    self.hold(&known, -1.0);
                }
            }
        }
        let shares = self.seconds.iter();
        shares
            .map(|(sent, served)| served / f64::max(*sent, 1.0))
            .collect()
    }
}

fn mean(seconds: &[f64]) -> f64 {
    seconds.iter().sum::<f64>() / seconds.len() as f64
}

/// Checks that callers are served as before soon after all VMs have started, over links of `pipe` Mbit/s and
/// with one in `lost` of the faster engines away.
fn check_return(pipe: f64, lost: usize) {
    for seed in 1..=2 {
        let before = mean(&World::new(pipe, lost, seed).play(false)[1..]);
        let after = World::new(pipe, lost, seed).play(true);
        let from = BACK_BY as usize / 1000;
        let is_back = |share: &f64| *share >= BACK_SHARE * before;
        assert!(
            after[from..].iter().all(is_back),
            "seed {seed}: {before:.3} before, then {after:.3?}"
        );
    }
}

#[test]
fn streams_fill_the_links_after_all_vms_started_without_an_eighth_of_the_fast_engines() {
    check_return(11e3, 8);
}

#[test]
fn streams_fill_slow_links_after_all_vms_started_without_an_eighth_of_the_fast_engines() {
    check_return(11e3 / 4.0, 8);
}

#[test]
fn streams_fill_the_links_between_domains_after_all_vms_started() {
    check_return(11e3, 4);
}

#[test]
fn streams_fill_links_of_a_quarter_of_their_speed_after_all_vms_started() {
    check_return(11e3 / 4.0, 4);
}
