//! Calls to a plain service of three endpoints from hundreds of VMs, on a simulated clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use cornelwharf::clock::Millis;
use cornelwharf::core::load::NameHash;
use cornelwharf::core::plain::Admission;
use cornelwharf::core::plain::Attempt;
use cornelwharf::core::plain::Candidate;
use cornelwharf::core::plain::Choice;
use cornelwharf::core::plain::Draws;
use cornelwharf::core::plain::ErrorNotice;
use cornelwharf::core::plain::ErrorTable;
use cornelwharf::core::plain::Limits;
use cornelwharf::core::plain::Room;
use cornelwharf::core::plain::Supply;
use cornelwharf::core::plain::choose;
use cornelwharf::core::plain::estimate_running;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The users' endpoints: slots, places in the queue, and the mean work of a call.
const ENDPOINTS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK_MS: f64 = 30.0;
/// The users' calls: a second, the part that is idempotent, and the latency target of the others.
const CALLS_PER_S: f64 = 34.0;
const LOOKUPS: f64 = 0.29;
const TARGET: Millis = Millis(200);
const TIMEOUT: Millis = Millis(2500);
/// The part of lookups that every endpoint fails.
const OWN_ERRORS: f64 = 0.14;
const START: Millis = Millis::seconds(100);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Try(usize),
    Done(usize, usize),
    Gossip(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Good(Millis),
    Error,
    Refused(Millis),
}

#[derive(Debug)]
struct Call {
    vm: usize,
    is_lookup: bool,
    priority: u8,
    /// When its caller first sent it, and when this time.
    begun: Millis,
    arrival: Millis,
    ticket: Option<cornelwharf::core::plain::Ticket>,
    sent: u32,
    tried: Vec<usize>,
    answer: Option<Answer>,
    returned: bool,
    runs: u32,
}

#[derive(Debug)]
struct Vm {
    errors: ErrorTable,
    room: Room,
    own: [u32; ENDPOINTS],
    view_age: Millis,
    /// Whether the VM gets messages.
    hears: bool,
}

#[derive(Debug, Default)]
struct Endpoint {
    running: usize,
    queue: VecDeque<usize>,
    fails: f64,
    is_dead: bool,
    rejected: usize,
    /// The calls in progress, every millisecond.
    history: Vec<u32>,
}

struct World {
    now: Millis,
    rng: ChaCha8Rng,
    vms: Vec<Vm>,
    endpoints: Vec<Endpoint>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    count: u64,
    rate: f64,
    urgent: f64,
}

fn name(endpoint: usize) -> NameHash {
    NameHash::of(&endpoint.to_string())
}

impl World {
    fn new(vms: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vm = |index: usize| Vm {
            errors: ErrorTable::new(NameHash::of(&format!("vm{index}"))),
            room: Room::new(),
            own: [0; ENDPOINTS],
            view_age: Millis(rng.random_range(200..2000)),
            hears: true,
        };
        let vms: Vec<Vm> = (0..vms).map(vm).collect();
        let mut world = Self {
            now: START,
            rng,
            vms,
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            count: 0,
            rate: CALLS_PER_S,
            urgent: 0.0,
        };
        world.after(Millis(0), Event::Arrive);
        for vm in 0..world.vms.len() {
            let delay = Millis(world.rng.random_range(0..300));
            world.after(delay, Event::Gossip(vm));
        }
        world
    }

    fn after(&mut self, delay: Millis, event: Event) {
        self.count += 1;
        let entry = (self.now + delay, self.count, event);
        self.events.push(Reverse(entry));
    }

    /// Returns the calls that arrived within `span`, after it has passed.
    fn run(&mut self, span: Millis) -> std::ops::Range<usize> {
        let first = self.calls.len();
        let end = self.now + span;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            while self.now < at {
                self.now += Millis(1);
                for endpoint in &mut self.endpoints {
                    let running = endpoint.running + endpoint.queue.len();
                    endpoint.history.push(running as u32);
                }
            }
            if at >= end {
                self.count += 1;
                self.events.push(Reverse((at, self.count, event)));
                break;
            }
            self.handle(event);
        }
        first..self.calls.len()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Try(call) => self.try_call(call),
            Event::Done(endpoint, call) => self.end_work(endpoint, call),
            Event::Gossip(vm) => self.gossip(vm),
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() * 1000.0 / self.rate;
        self.after(Millis(gap.round() as u64), Event::Arrive);
        self.calls.push(Call {
            vm: self.rng.random_range(0..self.vms.len()),
            is_lookup: self.rng.random::<f64>() < LOOKUPS,
            priority: if self.rng.random::<f64>() < self.urgent { 0 } else { 2 },
            begun: self.now,
            arrival: self.now,
            ticket: None,
            sent: 0,
            tried: Vec::new(),
            answer: None,
            returned: false,
            runs: 0,
        });
        self.try_call(self.calls.len() - 1);
    }

    fn candidates(&mut self, vm: usize) -> Vec<Candidate> {
        let names: Vec<NameHash> = (0..ENDPOINTS).map(name).collect();
        let standings = self.vms[vm].errors.compare(self.now, &names);
        let state = &self.vms[vm];
        let candidate = |index: usize| {
            let history = &self.endpoints[index].history;
            let seen = history.len().checked_sub(state.view_age.0 as usize);
            let others = seen.map_or(0, |at| history[at]);
            Candidate {
                slots: SLOTS as u32,
                own: state.own[index],
                fleet: Some((others + state.own[index], state.view_age)),
                penalty: 1.0,
                is_home: vm % ENDPOINTS == index,
                is_avoided: false,
                stands_out: standings[index].stands_out,
            }
        };
        (0..ENDPOINTS).map(candidate).collect()
    }

    fn try_call(&mut self, call: usize) {
        let Call { vm, is_lookup, sent, .. } = self.calls[call];
        let mut candidates = self.candidates(vm);
        if sent == 0 && self.calls[call].tried.is_empty() && !self.is_admitted(call, &candidates) {
            return;
        }
        let tried = self.calls[call].tried.clone();
        let indexes: Vec<usize> = (0..ENDPOINTS).filter(|index| !tried.contains(index)).collect();
        candidates = indexes.iter().map(|index| candidates[*index]).collect();
        let attempt = Attempt {
            is_first: sent == 0,
            may_repeat: is_lookup && sent == 0,
        };
        let draws = Draws {
            pick: self.rng.random(),
            test: self.rng.random(),
        };
        let Choice::Send(index) = choose(&candidates, attempt, draws) else {
            let answer = if sent > 0 { Answer::Error } else { Answer::Refused(Millis(400)) };
            self.finish(call, answer);
            return;
        };
        let index = indexes[index];
        self.calls[call].tried.push(index);
        self.send(call, index);
    }

    fn is_admitted(&mut self, call: usize, candidates: &[Candidate]) -> bool {
        let Call { vm, priority, arrival, .. } = self.calls[call];
        let supply = Supply {
            slots: candidates.iter().map(|candidate| candidate.slots).sum(),
            running: estimate_running(candidates).iter().sum(),
            share: 1.0 / self.vms.len() as f64,
        };
        let limits = Limits {
            arrival,
            target: TARGET,
            deadline: arrival + TIMEOUT,
        };
        let draw = self.rng.random();
        let room = &mut self.vms[vm].room;
        let ticket = *self.calls[call].ticket.get_or_insert_with(|| room.enter(priority));
        match room.decide(self.now, ticket, limits, supply, draw) {
            Admission::Go => return true,
            Admission::Wait => self.after(Millis(5), Event::Try(call)),
            Admission::Refuse(wait) => self.finish(call, Answer::Refused(wait)),
        }
        false
    }

    fn send(&mut self, call: usize, index: usize) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.is_dead {
            self.vms[self.calls[call].vm].errors.record(self.now, name(index), true);
            return self.try_call(call);
        }
        if endpoint.running + endpoint.queue.len() >= SLOTS + QUEUE {
            endpoint.rejected += 1;
            return self.try_call(call);
        }
        self.calls[call].sent += 1;
        self.vms[self.calls[call].vm].own[index] += 1;
        endpoint.queue.push_back(call);
        self.start_work(index);
    }

    fn start_work(&mut self, index: usize) {
        while self.endpoints[index].running < SLOTS {
            let Some(call) = self.endpoints[index].queue.pop_front() else {
                return;
            };
            self.endpoints[index].running += 1;
            let work = WORK_MS * (0.5 + self.rng.random::<f64>());
            self.calls[call].runs += 1;
            self.after(Millis(work as u64 + 2), Event::Done(index, call));
        }
    }

    fn end_work(&mut self, index: usize, call: usize) {
        self.endpoints[index].running -= 1;
        self.start_work(index);
        let Call { vm, is_lookup, sent, arrival, .. } = self.calls[call];
        let own = if is_lookup { OWN_ERRORS } else { 0.0 };
        let share = own.max(self.endpoints[index].fails);
        let is_failed = self.rng.random::<f64>() < share;
        let state = &mut self.vms[vm];
        state.own[index] -= 1;
        state.room.record_duration(self.now.since(arrival));
        state.errors.record(self.now, name(index), is_failed);
        if !is_failed {
            self.finish(call, Answer::Good(self.now.since(self.calls[call].begun)));
        } else if is_lookup && sent < 2 {
            self.try_call(call);
        } else {
            self.finish(call, Answer::Error);
        }
    }

    /// Ends a call; a caller that is refused comes back once.
    fn finish(&mut self, call: usize, answer: Answer) {
        let state = &mut self.calls[call];
        match answer {
            Answer::Refused(wait) if !state.returned => {
                state.returned = true;
                state.arrival = self.now + wait;
                state.ticket = None;
                state.tried.clear();
                state.vm = self.rng.random_range(0..self.vms.len());
                self.after(wait, Event::Try(call));
            }
            _ => state.answer = Some(answer),
        }
    }

    fn gossip(&mut self, vm: usize) {
        let notices = self.vms[vm].errors.next_notices(self.now);
        let bytes = postcard::to_stdvec(&notices).expect("notices are encoded");
        for _ in 0..3 {
            let to = self.rng.random_range(0..self.vms.len());
            let notices: Vec<ErrorNotice> = postcard::from_bytes(&bytes).expect("and decoded");
            if self.vms[to].hears {
                self.vms[to].errors.receive(self.now, &notices);
            }
        }
        self.after(Millis(300), Event::Gossip(vm));
    }

    /// Returns the share of VMs that consider an endpoint as failing.
    fn knowing(&mut self, index: usize) -> f64 {
        let all = self.vms.len();
        let knowing = (0..all).filter(|vm| self.candidates(*vm)[index].stands_out);
        knowing.collect::<Vec<_>>().len() as f64 / all as f64
    }

    fn share<F>(&self, calls: std::ops::Range<usize>, is_such: F) -> f64
    where
        F: Fn(&Call) -> bool,
    {
        let all = calls.len().max(1) as f64;
        self.calls[calls].iter().filter(|call| is_such(call)).count() as f64 / all
    }
}

#[test]
fn probe() {
    for seed in 0..5 {
        let mut world = World::new(132, seed);
        world.run(Millis::seconds(10));
        println!("alike {:?}", (0..3).map(|i| world.knowing(i)).collect::<Vec<_>>());
        world.endpoints[0].fails = 0.34;
        for _ in 0..12 {
            let calls = world.run(Millis(500));
            let at = world.share(calls.clone(), |call| call.tried.first() == Some(&0));
            let err = world.share(calls, |call| call.answer == Some(Answer::Error) && !call.is_lookup);
            println!("grey {:.2} first there {at:.2} errors {err:.2}", world.knowing(0));
        }
        world.endpoints[0].fails = 0.0;
        for _ in 0..10 {
            let calls = world.run(Millis::seconds(1));
            let at = world.share(calls, |call| call.tried.first() == Some(&0));
            println!("after {:.2} first there {at:.2}", world.knowing(0));
        }
    }
}
#[test]
fn probe_alike() {
    for seed in 0..5 {
        let mut world = World::new(132, seed);
        let mut out = 0.0f64;
        for _ in 0..120 {
            world.run(Millis(500));
            for i in 0..3 { out += world.knowing(i) / 360.0; }
        }
        println!("alike out {out:.4}");
    }
}
#[test]
fn probe_burst() {
    for (rate, age) in [(34.0, 0), (400.0,0), (600.0,0), (1800.0, 0)] {
        let mut world = World::new(132, 1);
        world.run(Millis::seconds(2));
        world.rate = rate;
        world.urgent = 0.2;
        for step in 0..8 {
            let calls = world.run(Millis(500));
            world.rate = if step >= 5 { 34.0 } else { rate };
            let c = calls.clone();
            let q: Vec<usize> = world.endpoints.iter().map(|e| e.running + e.queue.len()).collect();
            let rej: usize = world.endpoints.iter().map(|e| e.rejected).sum();
            let intime = world.share(c.clone(), |call| matches!(call.answer, Some(Answer::Good(t)) if t <= TARGET));
            let late = world.share(c.clone(), |call| matches!(call.answer, Some(Answer::Good(t)) if t > TARGET));
            let refused = world.share(c.clone(), |call| call.returned);
            let errs = world.share(c.clone(), |call| call.answer == Some(Answer::Error));
            println!("rate {rate} age {age} n {} intime {intime:.2} late {late:.2} returned {refused:.2} errs {errs:.2} q {q:?} rej {rej}", c.len());
        }
    }
}
