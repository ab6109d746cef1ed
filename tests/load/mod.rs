//! Callers of several priorities and customers, many VMs with old views, and engines of limited
//! memory, on a simulated clock; only the decisions are the product's.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cornelwharf::clock::Millis;
use cornelwharf::core::admit::order::View;
use cornelwharf::core::admit::streams::Arrival;
use cornelwharf::core::admit::streams::StreamAdmission;
use cornelwharf::core::load::ClassKey;
use cornelwharf::core::load::Load;
use cornelwharf::core::poison::RequestDigest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The tokens that fit on the engines.
pub const CAPACITY: f64 = 400_000.0;
/// How long a request runs while all fit.
pub const RUN: Millis = Millis(3000);
const TARGET: Millis = Millis(500);
/// How long callers wait at most.
const PATIENCE: Millis = Millis::seconds(20);
const STEP: Millis = Millis(10);
/// The age at which VMs know the use of engines, which follows reports and claims.
const ROOM_AGE: Millis = Millis(200);
const MEAN_SIZE: f64 = 800.0;

/// How a caller fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    OnTime,
    Late,
    RefusedTwice,
}

/// A stream of like callers: `rate` as a share of what the engines can serve.
#[derive(Clone, Debug)]
pub struct Source {
    pub priority: u8,
    pub team: &'static str,
    pub rate: f64,
    /// A factor on the rate, from and to these seconds.
    pub burst: (f64, u64, u64),
}

/// A caller who was served or gave up.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub priority: u8,
    pub team: &'static str,
    pub sent: Millis,
    pub fate: Fate,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    priority: u8,
    team: &'static str,
    size: u32,
    content: RequestDigest,
    first: Millis,
    /// How long it waits.
    patience: Millis,
    refused: bool,
}

#[derive(Debug)]
struct Running {
    caller: Caller,
    vm: usize,
    key: ClassKey,
    begun: Millis,
    progress: f64,
}

#[derive(Debug)]
struct Waiting {
    caller: Caller,
    id: u64,
    limit: f64,
    until: Millis,
}

#[derive(Debug, Default)]
struct Vm {
    admission: StreamAdmission,
    own: Load,
    waiting: Vec<Waiting>,
    is_down: bool,
    frozen_until: Millis,
}

/// A run of the simulation.
#[derive(Debug)]
pub struct World {
    rng: ChaCha8Rng,
    pub now: Millis,
    vms: Vec<Vm>,
    /// The ages of the VMs' views.
    ages: Vec<Millis>,
    history: VecDeque<(Millis, Vec<Load>)>,
    uses: VecDeque<f64>,
    running: Vec<Running>,
    returning: Vec<(Millis, Caller)>,
    pub ended: Vec<Ended>,
    /// When each return arrived.
    pub returns: Vec<Millis>,
    pub used: Vec<f64>,
    /// The tokens that VMs take as asked for, as a share of the capacity, by arrival.
    pub demand: Vec<(Millis, f64)>,
    /// The part of their patience by which callers differ.
    pub spread: f64,
    due: f64,
}

impl World {
    pub fn new(vms: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ages = (0..vms).map(|_| Millis(rng.random_range(200..2000)));
        let ages = ages.collect();
        Self {
            rng,
            now: Millis::seconds(1000),
            vms: (0..vms).map(|_| Vm::default()).collect(),
            ages,
            history: VecDeque::new(),
            uses: VecDeque::new(),
            running: Vec::new(),
            returning: Vec::new(),
            ended: Vec::new(),
            returns: Vec::new(),
            used: Vec::new(),
            demand: Vec::new(),
            spread: 0.0,
            due: 0.0,
        }
    }

    pub fn second(&self) -> u64 {
        self.now.0 / 1000 - 1000
    }

    pub fn kill(&mut self, vm: usize) {
        self.vms[vm] = Vm {
            is_down: true,
            ..Vm::default()
        };
        self.running.retain(|one| one.vm != vm);
    }

    /// Keeps a VM from hearing of others, so that its view grows old.
    pub fn freeze(&mut self, vm: usize, until: Millis) {
        self.vms[vm].frozen_until = until;
    }

    /// Runs the sources for some seconds.
    pub fn run(&mut self, sources: &[Source], seconds: u64) {
        let end = self.now + Millis::seconds(seconds);
        while self.now < end {
            self.step(sources);
        }
    }

    /// Runs without new callers until all have ended.
    pub fn drain(&mut self) {
        while !(self.running.is_empty() && self.returning.is_empty()) {
            self.step(&[]);
        }
    }

    fn step(&mut self, sources: &[Source]) {
        self.end_requests();
        if self.now.0.is_multiple_of(100) {
            for vm in &mut self.vms {
                vm.admission.refresh(self.now, &mut vm.own);
            }
            let loads = self.vms.iter().map(|vm| vm.own.clone()).collect();
            self.history.push_back((self.now, loads));
            if self.history.len() > 80 {
                self.history.pop_front();
            }
        }
        self.uses.push_back(self.used_now());
        if self.uses.len() as u64 > ROOM_AGE.0 / STEP.0 {
            self.uses.pop_front();
        }
        for vm in 0..self.vms.len() {
            self.serve_queue(vm);
        }
        for caller in self.arrivals(sources) {
            let vm = self.draw_vm();
            self.arrive(vm, caller);
        }
        self.used.push(self.used_now() / CAPACITY);
        self.now += STEP;
    }

    fn used_now(&self) -> f64 {
        let sizes = self.running.iter().map(|one| f64::from(one.caller.size));
        sizes.sum()
    }

    fn draw_vm(&mut self) -> usize {
        loop {
            let vm = self.rng.random_range(0..self.vms.len());
            if !self.vms[vm].is_down && self.vms[vm].frozen_until <= self.now {
                return vm;
            }
        }
    }

    fn arrivals(&mut self, sources: &[Source]) -> Vec<Caller> {
        let mut all = Vec::new();
        let second = self.second();
        for source in sources {
            let (factor, from, to) = source.burst;
            let is_burst = (from..to).contains(&second);
            let rate = source.rate * if is_burst { factor } else { 1.0 };
            // Whole requests a second that fill the engines.
            let full = CAPACITY / MEAN_SIZE / (RUN.0 as f64 / 1000.0);
            let mean = rate * full * STEP.0 as f64 / 1000.0;
            let mut count = mean.floor() as u32;
            count += u32::from(self.rng.random::<f64>() < mean.fract());
            for _ in 0..count {
                self.due += 1.0;
                let text = format!("{}", self.due);
                let mut patience = 1.0;
                if self.spread > 0.0 {
                    patience -= self.spread * self.rng.random::<f64>();
                }
                all.push(Caller {
                    priority: source.priority,
                    team: source.team,
                    size: self.rng.random_range(400..1200),
                    content: RequestDigest::of_call(source.team, "POST", "/", text.as_bytes()),
                    first: self.now,
                    patience: Millis((PATIENCE.0 as f64 * patience) as u64),
                    refused: false,
                });
            }
        }
        let now = self.now;
        let due = self.returning.extract_if(.., |(at, _)| *at <= now);
        for (_, caller) in due {
            self.returns.push(now);
            all.push(caller);
        }
        all
    }

    /// Returns what a VM sees of the fleet, and the age of it.
    fn view(&self, vm: usize) -> (Load, Option<Millis>) {
        let frozen = self.vms[vm].frozen_until;
        let woken = frozen > Millis(0) && self.now.since(frozen) < Millis(500);
        let age = self.ages[vm] + if woken { Millis::seconds(5) } else { Millis(0) };
        let seen = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| *at + age <= self.now);
        let mut sum = self.vms[vm].own.clone();
        let Some((at, loads)) = seen else {
            return (sum, None);
        };
        let others = loads.iter().enumerate().filter(|(other, _)| *other != vm);
        others.for_each(|(_, load)| sum.add(load));
        (sum, Some(self.now.since(*at)))
    }

    fn fits(&self, size: u32, limit: f64) -> bool {
        let used = self.uses.front().copied().unwrap_or_default();
        used + f64::from(size) <= CAPACITY * limit
    }

    fn arrival(&self, caller: &Caller) -> Arrival {
        Arrival {
            service: "s".into(),
            route: "r".to_owned(),
            team: Some(caller.team.into()),
            priority: caller.priority,
            size: caller.size,
            content: caller.content,
            target: TARGET,
            left: caller.patience.since(self.now.since(caller.first)),
        }
    }

    fn arrive(&mut self, at: usize, caller: Caller) {
        let arrival = self.arrival(&caller);
        let (load, age) = self.view(at);
        let draw = self.rng.random();
        let now = self.now;
        let view = View {
            load: &load,
            age,
            capacity: CAPACITY,
            fill: self.uses.front().copied().unwrap_or_default() / CAPACITY,
        };
        let vm = &mut self.vms[at];
        let claim = vm.admission.arrive(now, &arrival, &view, &mut vm.own);
        let grant = vm.admission.grant(now, &arrival, &claim, &view, draw);
        let demand = vm.admission.order(&arrival.service).inputs().demand;
        self.demand.push((now, demand / CAPACITY));
        if grant.is_shed {
            return self.refuse(at, caller);
        }
        let must_follow = vm.admission.must_follow(&arrival, &grant);
        if !must_follow && self.fits(caller.size, grant.limit) {
            return self.begin(at, caller);
        }
        let vm = &mut self.vms[at];
        match vm.admission.wait(&arrival, &claim, &grant, &view) {
            None => self.refuse(at, caller),
            Some((id, longest)) => {
                let load = vm.own.classes.entry(claim.key).or_default();
                load.waiting += caller.size;
                vm.waiting.push(Waiting {
                    caller,
                    id,
                    limit: grant.limit,
                    until: now + longest,
                });
            }
        }
    }

    fn serve_queue(&mut self, at: usize) {
        let service = "s".into();
        loop {
            let next = self.vms[at].admission.queue(&service).next();
            let now = self.now;
            let mut found = None;
            for (index, one) in self.vms[at].waiting.iter().enumerate() {
                let has_room = Some(one.id) == next && self.fits(one.caller.size, one.limit);
                if has_room || one.until <= now {
                    found = Some((index, has_room));
                    break;
                }
            }
            let Some((index, has_room)) = found else {
                return;
            };
            let one = self.vms[at].waiting.remove(index);
            let key = self.arrival(&one.caller).key();
            let vm = &mut self.vms[at];
            let load = vm.own.classes.entry(key).or_default();
            load.waiting -= one.caller.size;
            if has_room {
                vm.admission.queue(&service).pop();
                self.begin(at, one.caller);
            } else {
                vm.admission.queue(&service).remove(one.id);
                self.refuse(at, one.caller);
            }
        }
    }

    fn begin(&mut self, vm: usize, caller: Caller) {
        let key = self.arrival(&caller).key();
        self.vms[vm].own.classes.entry(key).or_default().held += caller.size;
        self.running.push(Running {
            caller,
            vm,
            key,
            begun: self.now,
            progress: 0.0,
        });
    }

    fn refuse(&mut self, at: usize, mut caller: Caller) {
        let arrival = self.arrival(&caller);
        let (load, age) = self.view(at);
        let draw = self.rng.random();
        let now = self.now;
        let vm = &mut self.vms[at];
        let wait = vm
            .admission
            .refuse(now, &arrival, &load, age, &mut vm.own, draw);
        if caller.refused {
            return self.finish(&caller, Fate::RefusedTwice);
        }
        caller.refused = true;
        self.returning.push((now + wait, caller));
    }

    /// Runs the engines: when requests exceed the memory, some are preempted and read again.
    fn end_requests(&mut self) {
        let over = (self.used_now() / CAPACITY).max(1.0);
        let rate = over.powi(-3);
        let now = self.now;
        for one in &mut self.running {
            one.progress += STEP.0 as f64 * rate;
        }
        let ended: Vec<Running> = self
            .running
            .extract_if(.., |one| one.progress >= RUN.0 as f64)
            .collect();
        for one in ended {
            let vm = &mut self.vms[one.vm];
            let load = vm.own.classes.entry(one.key).or_default();
            load.held -= one.caller.size;
            let took = now.since(one.begun);
            vm.admission.record_duration(&one.key, took);
            let is_smooth = took.0 as f64 <= RUN.0 as f64 * 1.5;
            let is_early = one.begun.since(one.caller.first) <= TARGET;
            let fate = if is_early && is_smooth && !one.caller.refused {
                Fate::OnTime
            } else {
                Fate::Late
            };
            self.finish(&one.caller, fate);
        }
    }

    fn finish(&mut self, caller: &Caller, fate: Fate) {
        self.ended.push(Ended {
            priority: caller.priority,
            team: caller.team,
            sent: caller.first,
            fate,
        });
    }

    /// Returns the share of callers with this fate among those chosen.
    pub fn share<F>(&self, fate: Fate, choose: F) -> f64
    where
        F: Fn(&Ended) -> bool,
    {
        let mut counts: BTreeMap<Fate, f64> = BTreeMap::new();
        for one in self.ended.iter().filter(|one| choose(one)) {
            *counts.entry(one.fate).or_default() += 1.0;
        }
        let all: f64 = counts.values().sum();
        counts.get(&fate).copied().unwrap_or_default() / all.max(1.0)
    }
}

/// Returns whether a caller came between these seconds.
pub fn came_in(one: &Ended, from: u64, to: u64) -> bool {
    (from..to).contains(&(one.sent.0 / 1000 - 1000))
}
