//! A depth-first search over all interleavings of two daemons, one log and their faults.
//!
//! The daemons run the real [`Once`]; the log, the links and the endpoint are simulated here. In
//! every reachable state a key must not have had two effects, a call that was answered "not run"
//! must not have had any, and a replayed answer must be the first one. A mutant changes one event
//! or action as a fault in the code would, and the search has to find the violation.

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
/// A time step that is longer than the wait for a home without an answer.
const HOME_TICK: Millis = Millis(450);
/// A time step that is as long as the wait for a verdict.
const CLAIM_TICK: Millis = Millis(900);

/// One call of the script: the VM that receives it and its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ScriptedCall {
    vm: usize,
    key: usize,
}

/// The maximum number of each fault in a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Faults {
    /// Time steps.
    ticks: u8,
    /// Appends whose answer is lost.
    lost_answers: u8,
    /// Crashes of each VM.
    crashes: [u8; 2],
    /// Calls that have their effect but get no answer.
    broken: u8,
    /// Calls that are not sent.
    unsent: u8,
}

/// The parameters of a search.
#[derive(Clone, Debug)]
struct Plan {
    script: &'static [ScriptedCall],
    faults: Faults,
    /// For each VM, the order of homes that it believes in.
    homes: [&'static [&'static str]; 2],
    mutant: Mutant,
    tick_span: Millis,
}

/// A deliberate fault in the inputs and outputs of the core, or in the log.
#[derive(Clone, Copy, Debug)]
struct Mutant {
    name: &'static str,
    input: fn(Event) -> Event,
    output: fn(Action) -> Vec<Action>,
    next_boot: fn(u64) -> u64,
    /// Where a record is inserted into the log, given the log's length.
    append_at: fn(usize) -> usize,
}

const NO_MUTANT: Mutant = Mutant {
    name: "none",
    input: |event| event,
    output: |action| vec![action],
    next_boot: |boot| boot + 1,
    append_at: |end| end,
};

/// Something that waits to be delivered to a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Input {
    Event(Event),
    Run(CallId),
}

/// A shared value with its hash, so that all states that contain it share both.
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

/// The key of a cached step: the hashes of the daemon's state and the event, and the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct StepKey {
    once: u64,
    event: u64,
    now: Millis,
}

/// The state and the actions of a daemon after an event.
#[derive(Clone, Debug)]
struct StepResult {
    once: Hashed<Once>,
    actions: Rc<Vec<Action>>,
}

/// The results of all steps so far; each step is computed once, in however many states it occurs.
type StepCache = HashMap<StepKey, StepResult>;

/// An append that has not reached the log yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    vm: usize,
    boot: u64,
    ticket: Ticket,
    batch: Batch,
    /// Whether its answer is lost.
    silent: bool,
}

/// One state of the search.
#[derive(Clone, Debug)]
struct World {
    now: Millis,
    nodes: [Hashed<Once>; 2],
    boots: [u64; 2],
    inboxes: [Vec<Hashed<Input>>; 2],
    log: Hashed<Vec<Batch>>,
    in_flight: Vec<Hashed<InFlight>>,
    /// A bit for each call that was made.
    called: u8,
    /// The calls that had their effect, in order.
    effects: Vec<usize>,
    /// A bit for each call that was answered "not run".
    unrun: u8,
    faults: Faults,
}

/// One transition of the search; numbers are calls, VMs and positions.
#[derive(Clone, Copy, Debug)]
enum Move {
    Call(usize),
    Deliver(usize, usize),
    Fail(usize, usize),
    Append(usize),
    Lose(usize),
    AppendSilently(usize),
    Tick(usize),
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
    fn start(plan: &Plan, cache: &mut StepCache) -> Self {
        let mut world = Self {
            now: Millis::seconds(10),
            nodes: [node(plan, 0, 1), node(plan, 1, 1)],
            boots: [1, 1],
            inboxes: [Vec::new(), Vec::new()],
            log: Hashed::new(Vec::new()),
            in_flight: Vec::new(),
            called: 0,
            effects: Vec::new(),
            unrun: 0,
            faults: plan.faults.clone(),
        };
        world.report_live(plan, cache);
        world
    }

    fn report_live(&mut self, plan: &Plan, cache: &mut StepCache) {
        let live: BTreeSet<Holder> = (0..2).map(|vm| holder(vm, self.boots[vm])).collect();
        for vm in 0..2 {
            let hash = hash_of(&live);
            self.step(plan, cache, vm, hash, || Event::Live(live.clone()));
        }
    }

    /// Applies an event to a daemon; the result is cached for each state, event and time.
    fn step<F>(
        &mut self,
        plan: &Plan,
        cache: &mut StepCache,
        vm: usize,
        event: u64,
        make: F,
    ) -> Rc<Vec<Action>>
    where
        F: FnOnce() -> Event,
    {
        let now = self.now;
        let node = &self.nodes[vm];
        let key = StepKey {
            once: node.hash,
            event,
            now,
        };
        let result = cache.entry(key).or_insert_with(|| {
            let mut once = (*node.value).clone();
            let mut actions = Vec::new();
            once.step(now, (plan.mutant.input)(make()), &mut actions);
            let actions = actions.into_iter().flat_map(plan.mutant.output);
            StepResult {
                once: Hashed::new(once),
                actions: Rc::new(actions.collect()),
            }
        });
        self.nodes[vm] = result.once.clone();
        Rc::clone(&result.actions)
    }

    /// Returns a hash of the state. Pending inputs and appends are hashed as sets, except that peer
    /// messages keep their order.
    fn hash(&self) -> u64 {
        let nodes = self.nodes.each_ref().map(|node| node.hash);
        let inboxes = self.inboxes.each_ref().map(|inbox| {
            let (peers, mut rest): (Vec<_>, Vec<_>) =
                inbox.iter().partition(|input| is_peer(input));
            rest.sort_unstable_by_key(|input| input.hash);
            let hashes = peers.iter().chain(&rest).map(|input| input.hash);
            hashes.collect::<Vec<u64>>()
        });
        let mut in_flight: Vec<u64> = self.in_flight.iter().map(|append| append.hash).collect();
        in_flight.sort_unstable();
        let script = (&self.called, &self.effects, &self.unrun, &self.faults);
        let platform = (self.now, self.log.hash, in_flight);
        hash_of(&(platform, nodes, self.boots, inboxes, script))
    }

    fn moves(&self, plan: &Plan) -> Vec<Move> {
        let mut moves: Vec<Move> = (0..plan.script.len())
            .filter(|id| self.called & (1 << *id) == 0)
            .map(Move::Call)
            .collect();
        for vm in 0..2 {
            self.inputs(vm, &mut moves);
            if self.faults.ticks > 0 {
                moves.push(Move::Tick(vm));
            }
            if self.faults.crashes[vm] > 0 {
                moves.push(Move::Crash(vm));
            }
        }
        for (at, append) in self.in_flight.iter().enumerate() {
            moves.push(Move::Append(at));
            if self.faults.lost_answers > 0 && !append.value.silent {
                moves.push(Move::Lose(at));
                moves.push(Move::AppendSilently(at));
            }
        }
        moves
    }

    /// Adds the deliveries and failures of a VM's pending inputs. Peer messages arrive in order, all
    /// other inputs in any order.
    fn inputs(&self, vm: usize, moves: &mut Vec<Move>) {
        let mut has_peer = false;
        for (at, input) in self.inboxes[vm].iter().enumerate() {
            let peer = is_peer(input);
            if !(peer && has_peer) {
                moves.push(Move::Deliver(vm, at));
            }
            has_peer |= peer;
            let fails = match &*input.value {
                Input::Run(_) => self.faults.unsent,
                Input::Event(Event::Answered { .. }) => self.faults.broken,
                Input::Event(_) => 0,
            };
            if fails > 0 {
                moves.push(Move::Fail(vm, at));
            }
        }
    }

    fn apply(&mut self, plan: &Plan, cache: &mut StepCache, step: Move) -> Result<(), String> {
        match step {
            Move::Call(id) => {
                self.called |= 1 << id;
                let scripted = plan.script[id];
                return self.feed(plan, cache, scripted.vm, call(id, scripted, self.now));
            }
            Move::Deliver(vm, at) => {
                let input = self.inboxes[vm].remove(at);
                return match &*input.value {
                    Input::Event(event) => {
                        self.feed_hashed(plan, cache, vm, input.hash, || event.clone())
                    }
                    Input::Run(id) => self.run(plan, cache, vm, *id),
                };
            }
            Move::Fail(vm, at) => return self.fail(plan, cache, vm, at),
            Move::Append(at) => self.append(plan, at),
            Move::AppendSilently(at) => {
                self.lose(at);
                self.append(plan, at);
            }
            Move::Lose(at) => self.lose(at),
            Move::Tick(vm) => {
                self.faults.ticks -= 1;
                self.now += plan.tick_span;
                return self.feed(plan, cache, vm, Event::Tick);
            }
            Move::Crash(vm) => self.crash(plan, cache, vm),
        }
        Ok(())
    }

    /// Answers a read with the current records.
    fn read(
        &mut self,
        plan: &Plan,
        cache: &mut StepCache,
        vm: usize,
        from: Offset,
    ) -> Result<(), String> {
        let log = self.log.clone();
        let hash = hash_of(&(log.hash, from));
        self.feed_hashed(plan, cache, vm, hash, || {
            let records = log.value.iter().skip(from.0 as usize).cloned().collect();
            Event::Records {
                stream: STREAM,
                from,
                records,
            }
        })
    }

    /// Sends a call, which has its effect, and queues its answer.
    fn run(
        &mut self,
        plan: &Plan,
        cache: &mut StepCache,
        vm: usize,
        id: CallId,
    ) -> Result<(), String> {
        self.feed(plan, cache, vm, Event::Sent(id))?;
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

    /// Lets an input fail: the call is not sent, or its answer never arrives.
    fn fail(
        &mut self,
        plan: &Plan,
        cache: &mut StepCache,
        vm: usize,
        at: usize,
    ) -> Result<(), String> {
        let input = self.inboxes[vm].remove(at);
        match &*input.value {
            Input::Run(id) => {
                self.faults.unsent -= 1;
                self.unrun |= 1 << id.0;
                self.feed(plan, cache, vm, Event::Unsent(*id))
            }
            Input::Event(Event::Answered { id, .. }) => {
                self.faults.broken -= 1;
                self.feed(plan, cache, vm, Event::Broke(*id))
            }
            Input::Event(_) => Ok(()),
        }
    }

    fn append(&mut self, plan: &Plan, at: usize) {
        let append = self.in_flight.remove(at).value;
        let mut records = (*self.log.value).clone();
        let end = (plan.mutant.append_at)(records.len());
        records.insert(end, append.batch.clone());
        self.log = Hashed::new(records);
        if !append.silent && self.boots[append.vm] == append.boot {
            let ticket = append.ticket;
            let offset = Offset(end as u64);
            let appended = Event::Appended {
                ticket,
                stream: STREAM,
                offset,
            };
            self.deliver(append.vm, Input::Event(appended));
        }
    }

    /// Loses the answer to an append; the append itself may take effect at any time.
    fn lose(&mut self, at: usize) {
        self.faults.lost_answers -= 1;
        let mut append = (*self.in_flight[at].value).clone();
        append.silent = true;
        if self.boots[append.vm] == append.boot {
            let lost = Event::AppendLost {
                ticket: append.ticket,
            };
            self.deliver(append.vm, Input::Event(lost));
        }
        self.in_flight[at] = Hashed::new(append);
    }

    /// Restarts a VM. Appends in flight and peer messages survive the crash, all else is lost.
    fn crash(&mut self, plan: &Plan, cache: &mut StepCache, vm: usize) {
        self.faults.crashes[vm] -= 1;
        self.boots[vm] = (plan.mutant.next_boot)(self.boots[vm]);
        self.nodes[vm] = node(plan, vm, self.boots[vm]);
        self.inboxes[vm].retain(is_peer);
        self.report_live(plan, cache);
    }

    fn feed(
        &mut self,
        plan: &Plan,
        cache: &mut StepCache,
        vm: usize,
        event: Event,
    ) -> Result<(), String> {
        let hash = hash_of(&event);
        self.feed_hashed(plan, cache, vm, hash, || event)
    }

    fn feed_hashed<F>(
        &mut self,
        plan: &Plan,
        cache: &mut StepCache,
        vm: usize,
        hash: u64,
        make: F,
    ) -> Result<(), String>
    where
        F: FnOnce() -> Event,
    {
        let actions = self.step(plan, cache, vm, hash, make);
        for action in actions.iter() {
            self.act(plan, cache, vm, action)?;
        }
        Ok(())
    }

    fn act(
        &mut self,
        plan: &Plan,
        cache: &mut StepCache,
        vm: usize,
        action: &Action,
    ) -> Result<(), String> {
        match action {
            Action::Append { ticket, batch, .. } => {
                let boot = self.boots[vm];
                let append = InFlight {
                    vm,
                    boot,
                    ticket: *ticket,
                    batch: batch.clone(),
                    silent: false,
                };
                self.in_flight.push(Hashed::new(append));
            }
            Action::Read { from, .. } => return self.read(plan, cache, vm, *from),
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
            Ran::No if self.effects.contains(&call) => {
                Err(format!("call {call} ran but was answered unrun"))
            }
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

fn call(id: usize, scripted: ScriptedCall, now: Millis) -> Event {
    Event::Call {
        id: CallId(id as u64),
        team: Team::from("team"),
        key: format!("key-{}", scripted.key).into(),
        digest: CallDigest(scripted.key as u128),
        deadline: now + Millis::seconds(60),
    }
}

/// The number of states of a search, and the first violation if there is one.
struct SearchResult {
    states: usize,
    violation: Option<String>,
}

fn search(plan: &Plan) -> SearchResult {
    let mut cache = StepCache::new();
    let mut seen = HashSet::new();
    let mut open = vec![World::start(plan, &mut cache)];
    while let Some(world) = open.pop() {
        for step in world.moves(plan) {
            let mut next = world.clone();
            if let Err(text) = next.apply(plan, &mut cache, step) {
                let states = seen.len();
                return SearchResult {
                    states,
                    violation: Some(text),
                };
            }
            if seen.insert(next.hash()) {
                open.push(next);
            }
        }
    }
    SearchResult {
        states: seen.len(),
        violation: None,
    }
}

const SAME_HOME: [&[&str]; 2] = [&["a", "b"], &["a", "b"]];
const TWO_HOMES: [&[&str]; 2] = [&["a", "b"], &["b", "a"]];
const RETRY: &[ScriptedCall] = &[
    ScriptedCall { vm: 0, key: 0 },
    ScriptedCall { vm: 1, key: 0 },
];
const TWICE: &[ScriptedCall] = &[
    ScriptedCall { vm: 0, key: 0 },
    ScriptedCall { vm: 0, key: 0 },
    ScriptedCall { vm: 1, key: 0 },
];
const OTHER_KEY: &[ScriptedCall] = &[
    ScriptedCall { vm: 0, key: 0 },
    ScriptedCall { vm: 1, key: 0 },
    ScriptedCall { vm: 1, key: 1 },
];

const NO_FAULTS: Faults = Faults {
    ticks: 0,
    lost_answers: 0,
    crashes: [0, 0],
    broken: 0,
    unsent: 0,
};

fn plan(
    script: &'static [ScriptedCall],
    homes: [&'static [&'static str]; 2],
    faults: Faults,
) -> Plan {
    Plan {
        script,
        faults,
        homes,
        mutant: NO_MUTANT,
        tick_span: CLAIM_TICK,
    }
}

fn expect_no_violation(label: &str, plan: &Plan) {
    let result = search(plan);
    println!("{label}: {} states", result.states);
    assert_eq!(result.violation, None);
}

fn expect_violation(plan: &Plan) {
    let result = search(plan);
    let name = plan.mutant.name;
    println!(
        "mutant {name}: {:?} after {} states",
        result.violation, result.states
    );
    assert!(
        result.violation.is_some(),
        "the search passes the mutant {name}"
    );
}

#[test]
fn two_keys_with_a_lost_answer() {
    let faults = Faults {
        lost_answers: 1,
        ..NO_FAULTS
    };
    expect_no_violation("two keys", &plan(OTHER_KEY, SAME_HOME, faults.clone()));
    expect_no_violation("two keys, two homes", &plan(OTHER_KEY, TWO_HOMES, faults));
}

#[test]
fn two_keys_with_a_crash() {
    let faults = Faults {
        crashes: [1, 1],
        ..NO_FAULTS
    };
    expect_no_violation(
        "two keys, crash",
        &plan(OTHER_KEY, SAME_HOME, faults.clone()),
    );
    expect_no_violation(
        "two keys, crash, two homes",
        &plan(OTHER_KEY, TWO_HOMES, faults),
    );
}

#[test]
fn retry_with_a_lost_answer_a_timeout_and_a_crash_of_the_home() {
    let faults = Faults {
        ticks: 1,
        lost_answers: 1,
        crashes: [1, 0],
        ..NO_FAULTS
    };
    expect_no_violation("home crashes", &plan(RETRY, SAME_HOME, faults));
}

#[test]
fn retry_with_a_lost_answer_a_timeout_and_a_crash_of_the_other() {
    let faults = Faults {
        ticks: 1,
        lost_answers: 1,
        crashes: [0, 1],
        ..NO_FAULTS
    };
    expect_no_violation("other crashes", &plan(RETRY, SAME_HOME, faults));
}

#[test]
fn retry_with_a_silent_home() {
    let faults = Faults {
        ticks: 1,
        crashes: [1, 1],
        ..NO_FAULTS
    };
    let mut plan = plan(RETRY, SAME_HOME, faults);
    plan.tick_span = HOME_TICK;
    expect_no_violation("silent home", &plan);
}

#[test]
fn retry_with_two_homes() {
    let faults = Faults {
        ticks: 1,
        lost_answers: 1,
        ..NO_FAULTS
    };
    expect_no_violation("two homes", &plan(RETRY, TWO_HOMES, faults));
}

#[test]
fn retry_with_failed_sends() {
    let faults = Faults {
        ticks: 1,
        crashes: [1, 1],
        broken: 1,
        unsent: 1,
        ..NO_FAULTS
    };
    expect_no_violation("failed sends", &plan(RETRY, SAME_HOME, faults));
}

#[test]
fn retry_on_the_same_vm() {
    let faults = Faults {
        lost_answers: 1,
        unsent: 1,
        ..NO_FAULTS
    };
    expect_no_violation("same vm", &plan(TWICE, TWO_HOMES, faults));
    let faults = Faults {
        ticks: 1,
        ..NO_FAULTS
    };
    expect_no_violation("same vm, timeout", &plan(TWICE, SAME_HOME, faults));
}

#[test]
fn reuse_of_a_boot_number_is_caught() {
    let mutant = Mutant {
        name: "same boot",
        next_boot: |boot| boot,
        ..NO_MUTANT
    };
    let faults = Faults {
        crashes: [1, 1],
        ..NO_FAULTS
    };
    expect_violation(&Plan {
        mutant,
        ..plan(TWICE, SAME_HOME, faults)
    });
}

#[test]
fn a_home_that_lets_every_claim_win_is_caught() {
    let input = |event| each_verdict(event, |_| Some(Verdict::Won { offset: Offset(0) }));
    let mutant = Mutant {
        name: "every claim wins",
        input,
        ..NO_MUTANT
    };
    expect_violation(&Plan {
        mutant,
        ..plan(RETRY, SAME_HOME, NO_FAULTS)
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
        ..NO_MUTANT
    };
    expect_violation(&Plan {
        mutant,
        ..plan(RETRY, TWO_HOMES, NO_FAULTS)
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
        ..NO_MUTANT
    };
    let faults = Faults {
        broken: 1,
        ..NO_FAULTS
    };
    expect_violation(&Plan {
        mutant,
        ..plan(RETRY, SAME_HOME, faults)
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
        ..NO_MUTANT
    };
    let faults = Faults {
        ticks: 1,
        ..NO_FAULTS
    };
    expect_violation(&Plan {
        mutant,
        ..plan(RETRY, SAME_HOME, faults)
    });
}

#[test]
fn a_log_without_order_is_caught() {
    let mutant = Mutant {
        name: "log without order",
        append_at: |_| 0,
        ..NO_MUTANT
    };
    expect_violation(&Plan {
        mutant,
        ..plan(RETRY, TWO_HOMES, NO_FAULTS)
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
        ..NO_MUTANT
    };
    let faults = Faults {
        broken: 1,
        ..NO_FAULTS
    };
    expect_violation(&Plan {
        mutant,
        ..plan(RETRY, SAME_HOME, faults)
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
