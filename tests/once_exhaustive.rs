//! A depth-first search over all interleavings of two daemons, one log and their faults.
//!
//! The daemons are the real [`Once`]; the log, the links and the endpoint are the few lines below.
//! In every state that can be reached, no key may have had two effects, a call that was answered
//! "not run" may have had none, and a replayed answer must be the first one. A mutant bends one
//! event or action, as a fault in the code would, and the search has to find what it breaks.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::rc::Rc;

use cornelwharf::clock::Millis;
use cornelwharf::core::once::Action;
use cornelwharf::core::once::Answer;
use cornelwharf::core::once::Batch;
use cornelwharf::core::once::Boot;
use cornelwharf::core::once::CallDigest;
use cornelwharf::core::once::CallId;
use cornelwharf::core::once::Event;
use cornelwharf::core::once::Holder;
use cornelwharf::core::once::Message;
use cornelwharf::core::once::Offset;
use cornelwharf::core::once::Once;
use cornelwharf::core::once::Reply;
use cornelwharf::core::once::Settings;
use cornelwharf::core::once::StreamId;
use cornelwharf::core::once::Ticket;
use cornelwharf::core::once::Verdict;
use cornelwharf::error::Ran;
use cornelwharf::names::Team;
use cornelwharf::names::Vm;

const NAMES: [&str; 2] = ["a", "b"];
const STREAM: StreamId = StreamId(0);
/// A step of time that passes the wait for a silent home.
const HOME_STEP: Millis = Millis(450);
/// A step of time that passes the wait for a verdict.
const CLAIM_STEP: Millis = Millis(900);

/// One call of the script: the VM that it goes to and its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Asked {
    vm: usize,
    key: usize,
}

/// How many of each fault a run may contain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Faults {
    steps: u8,
    lost: u8,
    /// For each VM.
    crashes: [u8; 2],
    broken: u8,
    unsent: u8,
}

/// What a search starts from.
#[derive(Clone, Debug)]
struct Plan {
    script: &'static [Asked],
    faults: Faults,
    homes: [&'static [&'static str]; 2],
    mutant: Mutant,
    span: Millis,
}

/// A deliberate fault at the edge of the core.
#[derive(Clone, Copy, Debug)]
struct Mutant {
    name: &'static str,
    input: fn(Event) -> Event,
    output: fn(Action) -> Vec<Action>,
    boot: fn(u64) -> u64,
    place: fn(usize) -> usize,
}

const SOUND: Mutant = Mutant {
    name: "none",
    input: |event| event,
    output: |action| vec![action],
    boot: |boot| boot + 1,
    place: |end| end,
};

/// Something that waits to reach a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Input {
    Event(Event),
    Run(CallId),
}

/// A shared value with its hash, so that the many states that it is part of share both.
#[derive(Debug)]
struct Hashed<T> {
    value: Rc<T>,
    hash: u64,
}

impl<T> Hashed<T>
where
    T: Hash,
{
    fn new(value: T) -> Self {
        let hash = hash_of(&value);
        let value = Rc::new(value);
        Self { value, hash }
    }
}

impl<T> Clone for Hashed<T> {
    fn clone(&self) -> Self {
        let value = Rc::clone(&self.value);
        Self {
            value,
            hash: self.hash,
        }
    }
}

/// A daemon's state and an event, by their hashes, with the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Cause {
    once: u64,
    event: u64,
    now: Millis,
}

/// What an event made of a daemon.
#[derive(Clone, Debug)]
struct Effect {
    once: Hashed<Once>,
    actions: Rc<Vec<Action>>,
}

/// The daemons' steps so far: each is taken once, however many states it is part of.
type Steps = HashMap<Cause, Effect>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Flight {
    vm: usize,
    boot: u64,
    ticket: Ticket,
    batch: Batch,
    silent: bool,
}

#[derive(Clone, Debug)]
struct World {
    now: Millis,
    nodes: [Hashed<Once>; 2],
    boots: [u64; 2],
    inboxes: [Vec<Hashed<Input>>; 2],
    log: Hashed<Vec<Batch>>,
    flights: Vec<Hashed<Flight>>,
    /// A bit for each call that was made.
    asked: u8,
    effects: Vec<usize>,
    /// A bit for each call that was answered unrun.
    unrun: u8,
    faults: Faults,
}

/// One move of the search.
#[derive(Clone, Copy, Debug)]
enum Move {
    Ask(usize),
    Deliver(usize, usize),
    Give(usize, usize),
    Land(usize),
    Lose(usize),
    LandSilently(usize),
    Step(usize),
    Crash(usize),
}

fn holder(vm: usize, boot: u64) -> Holder {
    Holder {
        vm: Vm::from(NAMES[vm]),
        boot: Boot(boot),
    }
}

fn node(plan: &Plan, vm: usize, boot: u64) -> Hashed<Once> {
    let mut settings = Settings::new(holder(vm, boot));
    settings.streams = 1;
    settings.pace = Millis(0);
    let mut once = Once::new(settings);
    let order = plan.homes[vm].iter().map(|name| Vm::from(*name)).collect();
    let homes = Event::Homes {
        stream: STREAM,
        order,
    };
    once.step(Millis(0), homes, &mut Vec::new());
    Hashed::new(once)
}

fn hash_of<T>(value: &T) -> u64
where
    T: Hash,
{
    BuildHasherDefault::<DefaultHasher>::default().hash_one(value)
}

fn first_answer(id: usize) -> Answer {
    Answer::Large {
        status: 200 + id as u16,
        digest: CallDigest(0),
    }
}

impl World {
    fn start(plan: &Plan, steps: &mut Steps) -> Self {
        let mut world = Self {
            now: Millis::seconds(10),
            nodes: [node(plan, 0, 1), node(plan, 1, 1)],
            boots: [1, 1],
            inboxes: [Vec::new(), Vec::new()],
            log: Hashed::new(Vec::new()),
            flights: Vec::new(),
            asked: 0,
            effects: Vec::new(),
            unrun: 0,
            faults: plan.faults.clone(),
        };
        world.show_live(plan, steps);
        world
    }

    fn show_live(&mut self, plan: &Plan, steps: &mut Steps) {
        let live: BTreeSet<Holder> = (0..2).map(|vm| holder(vm, self.boots[vm])).collect();
        for vm in 0..2 {
            let hash = hash_of(&live);
            self.step(plan, steps, vm, hash, || Event::Live(live.clone()));
        }
    }

    /// Takes a daemon's step, which is worked out once for each state, event and time.
    fn step<F>(
        &mut self,
        plan: &Plan,
        steps: &mut Steps,
        vm: usize,
        event: u64,
        make: F,
    ) -> Rc<Vec<Action>>
    where
        F: FnOnce() -> Event,
    {
        let now = self.now;
        let node = &self.nodes[vm];
        let cause = Cause {
            once: node.hash,
            event,
            now,
        };
        let effect = steps.entry(cause).or_insert_with(|| {
            let mut once = (*node.value).clone();
            let mut actions = Vec::new();
            once.step(now, (plan.mutant.input)(make()), &mut actions);
            let actions = actions.into_iter().flat_map(plan.mutant.output);
            Effect {
                once: Hashed::new(once),
                actions: Rc::new(actions.collect()),
            }
        });
        self.nodes[vm] = effect.once.clone();
        Rc::clone(&effect.actions)
    }

    /// Returns a hash of the whole; what waits counts as a set, but for the messages of peers.
    fn hash(&self) -> u64 {
        let nodes = self.nodes.each_ref().map(|node| node.hash);
        let inboxes = self.inboxes.each_ref().map(|inbox| {
            let (peers, mut rest): (Vec<_>, Vec<_>) =
                inbox.iter().partition(|input| is_peer(input));
            rest.sort_unstable_by_key(|input| input.hash);
            let hashes = peers.iter().chain(&rest).map(|input| input.hash);
            hashes.collect::<Vec<u64>>()
        });
        let mut flights: Vec<u64> = self.flights.iter().map(|flight| flight.hash).collect();
        flights.sort_unstable();
        let script = (&self.asked, &self.effects, &self.unrun, &self.faults);
        let platform = (self.now, self.log.hash, flights);
        hash_of(&(platform, nodes, self.boots, inboxes, script))
    }

    fn moves(&self, plan: &Plan) -> Vec<Move> {
        let mut moves: Vec<Move> = (0..plan.script.len())
            .filter(|id| self.asked & (1 << *id) == 0)
            .map(Move::Ask)
            .collect();
        for vm in 0..2 {
            self.inputs(vm, &mut moves);
            if self.faults.steps > 0 {
                moves.push(Move::Step(vm));
            }
            if self.faults.crashes[vm] > 0 {
                moves.push(Move::Crash(vm));
            }
        }
        for (at, flight) in self.flights.iter().enumerate() {
            moves.push(Move::Land(at));
            if self.faults.lost > 0 && !flight.value.silent {
                moves.push(Move::Lose(at));
                moves.push(Move::LandSilently(at));
            }
        }
        moves
    }

    /// Peer messages come in order; all else comes in any order.
    fn inputs(&self, vm: usize, moves: &mut Vec<Move>) {
        let mut told = false;
        for (at, input) in self.inboxes[vm].iter().enumerate() {
            let peer = is_peer(input);
            if !(peer && told) {
                moves.push(Move::Deliver(vm, at));
            }
            told |= peer;
            let fails = match &*input.value {
                Input::Run(_) => self.faults.unsent,
                Input::Event(Event::Answered { .. }) => self.faults.broken,
                Input::Event(_) => 0,
            };
            if fails > 0 {
                moves.push(Move::Give(vm, at));
            }
        }
    }

    fn apply(&mut self, plan: &Plan, steps: &mut Steps, step: Move) -> Result<(), String> {
        match step {
            Move::Ask(id) => {
                self.asked |= 1 << id;
                let asked = plan.script[id];
                return self.feed(plan, steps, asked.vm, call(id, asked, self.now));
            }
            Move::Deliver(vm, at) => {
                let input = self.inboxes[vm].remove(at);
                return match &*input.value {
                    Input::Event(event) => {
                        self.feed_hashed(plan, steps, vm, input.hash, || event.clone())
                    }
                    Input::Run(id) => self.run(plan, steps, vm, *id),
                };
            }
            Move::Give(vm, at) => return self.give(plan, steps, vm, at),
            Move::Land(at) => self.land(plan, at),
            Move::LandSilently(at) => {
                self.lose(at);
                self.land(plan, at);
            }
            Move::Lose(at) => self.lose(at),
            Move::Step(vm) => {
                self.faults.steps -= 1;
                self.now += plan.span;
                return self.feed(plan, steps, vm, Event::Tick);
            }
            Move::Crash(vm) => self.crash(plan, steps, vm),
        }
        Ok(())
    }

    /// Answers a read with the records of this moment.
    fn read(
        &mut self,
        plan: &Plan,
        steps: &mut Steps,
        vm: usize,
        from: Offset,
    ) -> Result<(), String> {
        let log = self.log.clone();
        let hash = hash_of(&(log.hash, from));
        self.feed_hashed(plan, steps, vm, hash, || {
            let records = log.value.iter().skip(from.0 as usize).cloned().collect();
            Event::Records {
                stream: STREAM,
                from,
                records,
            }
        })
    }

    /// The call is sent and has its effect; its answer is on the way.
    fn run(&mut self, plan: &Plan, steps: &mut Steps, vm: usize, id: CallId) -> Result<(), String> {
        self.feed(plan, steps, vm, Event::Sent(id))?;
        let call = id.0 as usize;
        let key = plan.script[call].key;
        if self
            .effects
            .iter()
            .any(|other| plan.script[*other].key == key)
        {
            return Err(format!("key {key} had a second effect"));
        }
        if self.unrun & (1 << call) != 0 {
            return Err(format!("call {call} ran after it was answered unrun"));
        }
        self.effects.push(call);
        let answer = first_answer(call);
        self.deliver(vm, Input::Event(Event::Answered { id, answer }));
        Ok(())
    }

    fn deliver(&mut self, vm: usize, input: Input) {
        self.inboxes[vm].push(Hashed::new(input));
    }

    /// The send is refused, or the answer never comes.
    fn give(&mut self, plan: &Plan, steps: &mut Steps, vm: usize, at: usize) -> Result<(), String> {
        let input = self.inboxes[vm].remove(at);
        match &*input.value {
            Input::Run(id) => {
                self.faults.unsent -= 1;
                self.unrun |= 1 << id.0;
                self.feed(plan, steps, vm, Event::Unsent(*id))
            }
            Input::Event(Event::Answered { id, .. }) => {
                self.faults.broken -= 1;
                self.feed(plan, steps, vm, Event::Broke(*id))
            }
            Input::Event(_) => Ok(()),
        }
    }

    fn land(&mut self, plan: &Plan, at: usize) {
        let flight = self.flights.remove(at).value;
        let mut records = (*self.log.value).clone();
        let end = (plan.mutant.place)(records.len());
        records.insert(end, flight.batch.clone());
        self.log = Hashed::new(records);
        if !flight.silent && self.boots[flight.vm] == flight.boot {
            let ticket = flight.ticket;
            let offset = Offset(end as u64);
            let appended = Event::Appended {
                ticket,
                stream: STREAM,
                offset,
            };
            self.deliver(flight.vm, Input::Event(appended));
        }
    }

    /// The append's answer is lost; the append itself may land at any time.
    fn lose(&mut self, at: usize) {
        self.faults.lost -= 1;
        let mut flight = (*self.flights[at].value).clone();
        flight.silent = true;
        if self.boots[flight.vm] == flight.boot {
            let lost = Event::AppendLost {
                ticket: flight.ticket,
            };
            self.deliver(flight.vm, Input::Event(lost));
        }
        self.flights[at] = Hashed::new(flight);
    }

    /// Appends under way and messages of peers outlive a crash; the rest is gone.
    fn crash(&mut self, plan: &Plan, steps: &mut Steps, vm: usize) {
        self.faults.crashes[vm] -= 1;
        self.boots[vm] = (plan.mutant.boot)(self.boots[vm]);
        self.nodes[vm] = node(plan, vm, self.boots[vm]);
        self.inboxes[vm].retain(is_peer);
        self.show_live(plan, steps);
    }

    fn feed(
        &mut self,
        plan: &Plan,
        steps: &mut Steps,
        vm: usize,
        event: Event,
    ) -> Result<(), String> {
        let hash = hash_of(&event);
        self.feed_hashed(plan, steps, vm, hash, || event)
    }

    fn feed_hashed<F>(
        &mut self,
        plan: &Plan,
        steps: &mut Steps,
        vm: usize,
        hash: u64,
        make: F,
    ) -> Result<(), String>
    where
        F: FnOnce() -> Event,
    {
        let actions = self.step(plan, steps, vm, hash, make);
        for action in actions.iter() {
            self.act(plan, steps, vm, action)?;
        }
        Ok(())
    }

    fn act(
        &mut self,
        plan: &Plan,
        steps: &mut Steps,
        vm: usize,
        action: &Action,
    ) -> Result<(), String> {
        match action {
            Action::Append { ticket, batch, .. } => {
                let boot = self.boots[vm];
                let flight = Flight {
                    vm,
                    boot,
                    ticket: *ticket,
                    batch: batch.clone(),
                    silent: false,
                };
                self.flights.push(Hashed::new(flight));
            }
            Action::Read { from, .. } => return self.read(plan, steps, vm, *from),
            Action::Run(id) => self.deliver(vm, Input::Run(*id)),
            Action::Tell { vm: to, message } => {
                let told = Event::Peer {
                    vm: Vm::from(NAMES[vm]),
                    message: message.clone(),
                };
                let to = usize::from(to.as_str() == NAMES[1]);
                self.deliver(to, Input::Event(told));
            }
            Action::Reply { id, reply } => return self.reply(plan, id.0 as usize, reply),
        }
        Ok(())
    }

    fn reply(&mut self, plan: &Plan, call: usize, reply: &Reply) -> Result<(), String> {
        let Reply::Failure(failure) = reply else {
            return Err("a large answer was replayed".into());
        };
        let key = plan.script[call].key;
        let first = self
            .effects
            .iter()
            .find(|other| plan.script[**other].key == key);
        match failure.ran {
            Ran::No if self.effects.contains(&call) => Err(format!("call {call} ran, told unrun")),
            Ran::No => {
                self.unrun |= 1 << call;
                Ok(())
            }
            Ran::Yes => {
                let status = first.map(|first| format!("status {}", 200 + first));
                let same = status.is_some_and(|status| failure.message.contains(&status));
                let text = format!("call {call}: {failure} is not the first answer");
                same.then_some(()).ok_or(text)
            }
            Ran::Unknown => Ok(()),
        }
    }
}

fn is_peer(input: &Hashed<Input>) -> bool {
    matches!(*input.value, Input::Event(Event::Peer { .. }))
}

fn call(id: usize, asked: Asked, now: Millis) -> Event {
    Event::Call {
        id: CallId(id as u64),
        team: Team::from("team"),
        key: format!("key-{}", asked.key).into(),
        digest: CallDigest(asked.key as u128),
        deadline: now + Millis::seconds(60),
    }
}

/// What a search found.
struct Found {
    states: usize,
    broken: Option<String>,
}

fn search(plan: &Plan) -> Found {
    let mut steps = Steps::new();
    let mut seen = HashSet::new();
    let mut open = vec![World::start(plan, &mut steps)];
    while let Some(world) = open.pop() {
        for step in world.moves(plan) {
            let mut next = world.clone();
            if let Err(text) = next.apply(plan, &mut steps, step) {
                let states = seen.len();
                return Found {
                    states,
                    broken: Some(text),
                };
            }
            if seen.insert(next.hash()) {
                open.push(next);
            }
        }
    }
    Found {
        states: seen.len(),
        broken: None,
    }
}

const AGREED: [&[&str]; 2] = [&["a", "b"], &["a", "b"]];
const DIVIDED: [&[&str]; 2] = [&["a", "b"], &["b", "a"]];
const RETRY: &[Asked] = &[Asked { vm: 0, key: 0 }, Asked { vm: 1, key: 0 }];
const TWICE: &[Asked] = &[
    Asked { vm: 0, key: 0 },
    Asked { vm: 0, key: 0 },
    Asked { vm: 1, key: 0 },
];
const OTHER_KEY: &[Asked] = &[
    Asked { vm: 0, key: 0 },
    Asked { vm: 1, key: 0 },
    Asked { vm: 1, key: 1 },
];

const NONE: Faults = Faults {
    steps: 0,
    lost: 0,
    crashes: [0, 0],
    broken: 0,
    unsent: 0,
};

fn plan(script: &'static [Asked], homes: [&'static [&'static str]; 2], faults: Faults) -> Plan {
    Plan {
        script,
        faults,
        homes,
        mutant: SOUND,
        span: CLAIM_STEP,
    }
}

fn expect_sound(label: &str, plan: &Plan) {
    let found = search(plan);
    println!("{label}: {} states", found.states);
    assert_eq!(found.broken, None);
}

fn expect_caught(plan: &Plan) {
    let found = search(plan);
    let name = plan.mutant.name;
    println!(
        "mutant {name}: {:?} after {} states",
        found.broken, found.states
    );
    assert!(
        found.broken.is_some(),
        "the search passes the mutant {name}"
    );
}

#[test]
fn two_keys_with_a_lost_answer() {
    let faults = Faults { lost: 1, ..NONE };
    expect_sound("two keys", &plan(OTHER_KEY, AGREED, faults.clone()));
    expect_sound("two keys, two homes", &plan(OTHER_KEY, DIVIDED, faults));
}

#[test]
fn two_keys_with_a_crash() {
    let faults = Faults {
        crashes: [1, 1],
        ..NONE
    };
    expect_sound("two keys, crash", &plan(OTHER_KEY, AGREED, faults.clone()));
    expect_sound(
        "two keys, crash, two homes",
        &plan(OTHER_KEY, DIVIDED, faults),
    );
}

#[test]
fn retry_with_a_lost_answer_a_timeout_and_a_crash_of_the_home() {
    let faults = Faults {
        steps: 1,
        lost: 1,
        crashes: [1, 0],
        ..NONE
    };
    expect_sound("home crashes", &plan(RETRY, AGREED, faults));
}

#[test]
fn retry_with_a_lost_answer_a_timeout_and_a_crash_of_the_other() {
    let faults = Faults {
        steps: 1,
        lost: 1,
        crashes: [0, 1],
        ..NONE
    };
    expect_sound("other crashes", &plan(RETRY, AGREED, faults));
}

#[test]
fn retry_with_a_silent_home() {
    let faults = Faults {
        steps: 1,
        crashes: [1, 1],
        ..NONE
    };
    let mut plan = plan(RETRY, AGREED, faults);
    plan.span = HOME_STEP;
    expect_sound("silent home", &plan);
}

#[test]
fn retry_with_two_homes() {
    let faults = Faults {
        steps: 1,
        lost: 1,
        ..NONE
    };
    expect_sound("two homes", &plan(RETRY, DIVIDED, faults));
}

#[test]
fn retry_with_failed_sends() {
    let faults = Faults {
        steps: 1,
        crashes: [1, 1],
        broken: 1,
        unsent: 1,
        ..NONE
    };
    expect_sound("failed sends", &plan(RETRY, AGREED, faults));
}

#[test]
fn retry_on_the_same_vm() {
    let faults = Faults {
        lost: 1,
        unsent: 1,
        ..NONE
    };
    expect_sound("same vm", &plan(TWICE, DIVIDED, faults));
    let faults = Faults { steps: 1, ..NONE };
    expect_sound("same vm, timeout", &plan(TWICE, AGREED, faults));
}

#[test]
fn boots_that_share_a_number_are_caught() {
    let mutant = Mutant {
        name: "same boot",
        boot: |boot| boot,
        ..SOUND
    };
    let faults = Faults {
        crashes: [1, 1],
        ..NONE
    };
    expect_caught(&Plan {
        mutant,
        ..plan(TWICE, AGREED, faults)
    });
}

#[test]
fn a_home_that_lets_every_claim_win_is_caught() {
    let input = |event| each_verdict(event, |_| Some(Verdict::Won { offset: Offset(0) }));
    let mutant = Mutant {
        name: "every claim wins",
        input,
        ..SOUND
    };
    expect_caught(&Plan {
        mutant,
        ..plan(RETRY, AGREED, NONE)
    });
}

#[test]
fn a_fold_that_misses_a_record_is_caught() {
    let input = |mut event| {
        if let Event::Records { records, .. } = &mut event
            && let Some(first) = records.first_mut()
        {
            *first = Batch::default();
        }
        event
    };
    let mutant = Mutant {
        name: "fold without base",
        input,
        ..SOUND
    };
    expect_caught(&Plan {
        mutant,
        ..plan(RETRY, DIVIDED, NONE)
    });
}

#[test]
fn a_release_after_the_send_is_caught() {
    let input = |event| match event {
        Event::Broke(id) => Event::Unsent(id),
        other => other,
    };
    let mutant = Mutant {
        name: "release after send",
        input,
        ..SOUND
    };
    let faults = Faults { broken: 1, ..NONE };
    expect_caught(&Plan {
        mutant,
        ..plan(RETRY, AGREED, faults)
    });
}

#[test]
fn a_send_after_not_run_is_caught() {
    let output = |action| match action {
        Action::Reply { id, .. } => vec![action, Action::Run(id)],
        other => vec![other],
    };
    let mutant = Mutant {
        name: "send after not run",
        output,
        ..SOUND
    };
    let faults = Faults { steps: 1, ..NONE };
    expect_caught(&Plan {
        mutant,
        ..plan(RETRY, AGREED, faults)
    });
}

#[test]
fn a_log_without_order_is_caught() {
    let mutant = Mutant {
        name: "log without order",
        place: |_| 0,
        ..SOUND
    };
    expect_caught(&Plan {
        mutant,
        ..plan(RETRY, DIVIDED, NONE)
    });
}

#[test]
fn an_invented_answer_is_caught() {
    let input = |event| match event {
        Event::Broke(id) => Event::Answered {
            id,
            answer: first_answer(99),
        },
        other => other,
    };
    let mutant = Mutant {
        name: "invented answer",
        input,
        ..SOUND
    };
    let faults = Faults { broken: 1, ..NONE };
    expect_caught(&Plan {
        mutant,
        ..plan(RETRY, AGREED, faults)
    });
}

fn each_verdict(mut event: Event, change: fn(&Verdict) -> Option<Verdict>) -> Event {
    if let Event::Peer {
        message: Message::Rulings(rulings),
        ..
    } = &mut event
    {
        for ruling in rulings {
            if let Some(verdict) = &ruling.verdict {
                ruling.verdict = change(verdict);
            }
        }
    }
    event
}
