//! Runs sessions against fake engines with every kind of fault at every hop and token.
//!
//! The engines run a toy model in which each layer folds every position into its cache, so a layer
//! that is skipped, repeated or run out of order changes all later tokens.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use cornelwharf::clock::Millis;
use cornelwharf::core::config::object::Layers;
use cornelwharf::core::session::Action;
use cornelwharf::core::session::Event;
use cornelwharf::core::session::FAILURE_LIMIT;
use cornelwharf::core::session::RequestId;
use cornelwharf::core::session::Session;
use cornelwharf::core::session::Sessions;
use cornelwharf::core::session::event::Fault;
use cornelwharf::core::session::event::Health;
use cornelwharf::core::session::event::Leg;
use cornelwharf::core::session::event::Reason;
use cornelwharf::core::session::event::Start;
use cornelwharf::core::session::resume::EVENT_ID_BYTES;
use cornelwharf::core::session::resume::EventId;
use cornelwharf::core::session::resume::EventIdError;
use cornelwharf::core::session::table::DropCounts;
use cornelwharf::core::session::wire::Hop;
use cornelwharf::core::session::wire::HopReply;
use cornelwharf::core::session::wire::Input;
use cornelwharf::core::session::wire::Output;
use cornelwharf::core::session::wire::SessionId;
use cornelwharf::error::Code;
use cornelwharf::error::Failure;
use cornelwharf::error::Ran;
use cornelwharf::names::EndpointName;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const LAYERS: u32 = 6;
const MAX_TOKENS: u32 = 3;
const SEED: u64 = 7;
const ONE: RequestId = RequestId(1);
const TWO: RequestId = RequestId(2);

fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.rotate_left(25).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b;
    x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 32)
}

fn run_layer(layer: u32, cache: &mut u64, state: u64) -> u64 {
    *cache = mix(*cache, state ^ u64::from(layer));
    mix(state, *cache)
}

fn draw(state: u64, seed: u64, index: u32) -> u32 {
    (mix(state, mix(seed, u64::from(index))) % 50_000) as u32
}

/// Computes the expected tokens independently: runs the whole model from scratch for each.
fn expected(prompt: &[u32], seed: u64, count: u32) -> Vec<u32> {
    let mut all = prompt.to_vec();
    for index in 0..count {
        let mut caches = [0; LAYERS as usize];
        let mut state = 0;
        for token in &all {
            state = u64::from(*token);
            for layer in 0..LAYERS {
                state = run_layer(layer, &mut caches[layer as usize], state);
            }
        }
        all.push(draw(state, seed, index));
    }
    all.split_off(prompt.len())
}

/// What happens to one line that an engine was to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    /// The engine refuses the hop.
    Refused,
    /// The engine reports that the KV cache is gone.
    CacheLost,
    /// The answer is malformed.
    Invalid,
    /// The engine crashes before it runs the layers.
    CrashBefore,
    /// The engine crashes after it ran the layers; the reply arrives late.
    CrashAfter,
    /// The engine neither replies nor answers probes.
    Gone,
    /// The reply arrives late, and probes find the engine idle.
    Idle,
    /// Like `Idle`, and the connection is reported as silent.
    Silent,
    /// The reply arrives late, and all probes find the engine working.
    Slow,
    /// The reply arrives after one probe that finds the engine working.
    SlowOnce,
    /// The reply arrives twice.
    Duplicate,
    /// The reply names the next token.
    NextToken,
    /// The reply names other layers.
    OtherLayers,
    /// The reply has a token in place of activations, or the reverse.
    OtherOutput,
    /// The reply names the next attempt.
    NextAttempt,
    /// A reply with another session precedes the right one.
    ExtraWrongSession,
    /// The reply names another session.
    WrongSession,
    /// The session is told to move to another chain.
    Move,
    /// The session is told to move, but the router finds no other chain.
    MoveWithoutChain,
    /// The reply arrives on the connection of the other request.
    Swapped,
    /// The caller disconnects.
    Cancel,
}

/// The faults after which the answer must still be complete.
const SURVIVED: [FaultKind; 19] = [
    FaultKind::Refused,
    FaultKind::CacheLost,
    FaultKind::Invalid,
    FaultKind::CrashBefore,
    FaultKind::CrashAfter,
    FaultKind::Gone,
    FaultKind::Idle,
    FaultKind::Silent,
    FaultKind::Slow,
    FaultKind::SlowOnce,
    FaultKind::Duplicate,
    FaultKind::NextToken,
    FaultKind::OtherLayers,
    FaultKind::OtherOutput,
    FaultKind::NextAttempt,
    FaultKind::ExtraWrongSession,
    FaultKind::WrongSession,
    FaultKind::Move,
    FaultKind::MoveWithoutChain,
];

#[derive(Clone, Debug, PartialEq)]
enum End {
    Finished(Reason),
    Failed(Failure),
}

#[derive(Default)]
struct Engine {
    caches: BTreeMap<(SessionId, u32, u32), u64>,
}

impl Engine {
    /// Runs a hop's layers; `None` if the cache of the attempt is gone.
    fn run(&mut self, hop: &Hop, states: &[u64], prefill: bool) -> Option<Vec<u64>> {
        let mut states = states.to_vec();
        for layer in hop.layers.from..hop.layers.to {
            let key = (hop.session, hop.attempt, layer);
            if prefill {
                assert!(self.caches.insert(key, 0).is_none(), "prefilled twice");
            }
            let cache = self.caches.get_mut(&key)?;
            for state in &mut states {
                *state = run_layer(layer, cache, *state);
            }
        }
        Some(states)
    }
}

struct Simulation {
    now: Millis,
    sessions: Sessions,
    /// The number of legs of each chain.
    legs: u32,
    prompts: BTreeMap<RequestId, Vec<u32>>,
    engines: BTreeMap<EndpointName, Engine>,
    /// The faults, by the index of the line that they hit.
    faults: BTreeMap<usize, FaultKind>,
    /// The index of the next line, over all engines.
    line_index: usize,
    /// The result of the next probe.
    health: Health,
    queue: VecDeque<Event>,
    /// Replies on a slow or broken connection, which arrive later.
    delayed: Vec<(RequestId, HopReply)>,
    /// Events to deliver after the result of the next probe.
    after_probe: Vec<Event>,
    /// Whether the router finds no chain at the next query.
    fail_next_route: bool,
    /// The index of the token that ends the answer.
    stop_index: u32,
    /// The index of the token that each attempt's prefill produces.
    prefill_tokens: BTreeMap<(SessionId, u32), u32>,
    /// The layers that ran for each session, attempt and token, in order.
    runs: BTreeMap<(SessionId, u32, u32), Vec<u32>>,
    /// The session and attempt of the last hop of each request.
    current: BTreeMap<RequestId, (SessionId, u32)>,
    /// The index of the first token that each caller should receive.
    first_token: BTreeMap<RequestId, u32>,
    emitted: BTreeMap<RequestId, Vec<EventId>>,
    ends: BTreeMap<RequestId, End>,
}

fn leg(replica: u32, place: u32, from: u32, to: u32) -> Leg {
    Leg {
        endpoint: EndpointName::from(format!("r{replica}-{place}").as_str()),
        layers: Layers { from, to },
        decode_timeout: Millis(100),
        prefill_timeout: Millis(400),
    }
}

/// Returns the chain of one replica. Even and odd replicas split the model at different layers.
fn chain(legs: u32, replica: u32) -> Arc<[Leg]> {
    let cuts = match (legs, replica % 2) {
        (1, _) => vec![0, LAYERS],
        (2, shift) => vec![0, 3 + shift, LAYERS],
        (_, shift) => vec![0, 1 + shift, 4, LAYERS],
    };
    let places = cuts.windows(2).zip(0..);
    places
        .map(|(cut, place)| leg(replica, place, cut[0], cut[1]))
        .collect()
}

impl Simulation {
    fn new(boot: u64, legs: u32, faults: &[(usize, FaultKind)]) -> Self {
        Self {
            now: Millis(1000),
            sessions: Sessions::new(boot),
            legs,
            prompts: BTreeMap::new(),
            engines: BTreeMap::new(),
            faults: faults.iter().copied().collect(),
            line_index: 0,
            health: Health::Gone,
            queue: VecDeque::new(),
            delayed: Vec::new(),
            after_probe: Vec::new(),
            fail_next_route: false,
            stop_index: u32::MAX,
            prefill_tokens: BTreeMap::new(),
            runs: BTreeMap::new(),
            current: BTreeMap::new(),
            first_token: BTreeMap::new(),
            emitted: BTreeMap::new(),
            ends: BTreeMap::new(),
        }
    }

    fn start(&mut self, id: RequestId, prompt: &[u32], resume: Option<EventId>) {
        self.prompts.insert(id, prompt.to_vec());
        self.first_token
            .insert(id, resume.map_or(0, |event| event.index + 1));
        self.emitted.insert(id, Vec::new());
        self.queue.push_back(Event::Start(Start {
            id,
            prompt: prompt.to_vec(),
            max_tokens: MAX_TOKENS,
            layers: LAYERS,
            chain: chain(self.legs, 0),
            deadline: Millis(60_000),
            seed: SEED,
            resume,
        }));
    }

    fn run(&mut self) {
        while !(self.queue.is_empty() && self.sessions.is_empty()) {
            let mut out = Vec::new();
            if let Some(event) = self.queue.pop_front() {
                self.sessions.step(self.now, event, &mut out);
            } else {
                self.now += Millis(50);
                self.sessions.tick(self.now, &mut out);
            }
            assert!(self.now < Millis(70_000), "outlived its deadline");
            for action in out {
                self.act(action);
            }
        }
        self.check();
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, endpoint, hop } => self.send(id, &endpoint, &hop),
            Action::Emit { id, value, event } => self.emit(id, value, event),
            Action::Finish { id, reason } => self.end(id, End::Finished(reason)),
            Action::Fail { id, failure } => self.end(id, End::Failed(failure)),
            Action::Release { endpoint, release } => {
                let engine = self.engines.get_mut(&endpoint).expect("was sent a hop");
                engine.caches.retain(|(session, attempt, _), _| {
                    *session != release.session || *attempt > release.attempt
                });
            }
            Action::NeedChain { id, query, avoid } => self.route(id, query, &avoid),
            Action::Probe { id, key, .. } => {
                let health = self.health;
                self.queue.push_back(Event::Probed { id, key, health });
                self.queue.extend(self.after_probe.drain(..));
            }
        }
    }

    fn end(&mut self, id: RequestId, end: End) {
        assert!(self.ends.insert(id, end).is_none(), "ended twice");
    }

    fn route(&mut self, id: RequestId, query: u32, avoid: &[EndpointName]) {
        for (id, reply) in self.delayed.clone() {
            self.queue.push_back(Event::Reply { id, reply });
        }
        let free = |legs: &Arc<[Leg]>| legs.iter().all(|leg| !avoid.contains(&leg.endpoint));
        let found = (0..8).map(|replica| chain(self.legs, replica)).find(free);
        let legs = found
            .filter(|_| !self.fail_next_route)
            .ok_or_else(|| Failure::not_run(Code::NoCapacity, "no chain"));
        self.fail_next_route = false;
        self.queue.push_back(Event::Chain { id, query, legs });
    }

    fn emit(&mut self, id: RequestId, value: u32, event: EventId) {
        let emitted = self.emitted.get_mut(&id).expect("started");
        let index = self.first_token[&id] + emitted.len() as u32;
        assert_eq!(event.index, index, "in order");
        let want = expected(&self.prompts[&id], event.seed, index + 1);
        assert_eq!(Some(&value), want.last(), "the token of the whole model");
        let (session, attempt) = self.current[&id];
        let runs = &self.runs[&(session, attempt, index)];
        assert!(
            runs.iter().copied().eq(0..LAYERS),
            "each layer once, in order"
        );
        emitted.push(event);
    }

    fn send(&mut self, id: RequestId, endpoint: &EndpointName, hop: &Hop) {
        assert!(hop.steps == 1 || hop.layers.to - hop.layers.from == LAYERS);
        let place = (hop.session, hop.attempt);
        self.current.insert(id, place);
        let prefill_token = *self.prefill_tokens.entry(place).or_insert(hop.token);
        let is_stale = |(_, reply): &mut (RequestId, HopReply)| reply.attempt < hop.attempt;
        for (id, reply) in self.delayed.extract_if(.., is_stale) {
            self.queue.push_back(Event::Reply { id, reply });
        }
        let mut states: Vec<u64> = match &hop.input {
            Input::Prompt { tokens } => tokens.iter().map(|token| u64::from(*token)).collect(),
            Input::Token { value } => vec![u64::from(*value)],
            Input::State { data, positions } => {
                let states: Vec<u64> = serde_json::from_str(data).expect("our own state");
                assert_eq!(states.len(), *positions as usize);
                states
            }
        };
        for token in hop.token..hop.token + hop.steps {
            let fault = self.faults.get(&self.line_index).copied();
            self.line_index += 1;
            if self.refuse(id, endpoint, hop, fault) {
                return;
            }
            let engine = self.engines.entry(endpoint.clone()).or_default();
            let Some(ran) = engine.run(hop, &states, token == prefill_token) else {
                self.fail(id, hop, Fault::CacheLost);
                return;
            };
            let key = (hop.session, hop.attempt, token);
            let runs = self.runs.entry(key).or_default();
            runs.extend(hop.layers.from..hop.layers.to);
            let reply = self.line(hop, token, &ran);
            let Output::Token { value, end } = reply.output else {
                self.answer(id, endpoint, hop, reply, fault);
                return;
            };
            if !self.answer(id, endpoint, hop, reply, fault) || end {
                return;
            }
            states = vec![u64::from(value)];
        }
    }

    fn fail(&mut self, id: RequestId, hop: &Hop, fault: Fault) {
        let key = hop.key();
        self.queue.push_back(Event::Failed { id, key, fault });
    }

    /// Applies the faults that prevent the layers from running; returns whether one did.
    fn refuse(
        &mut self,
        id: RequestId,
        at: &EndpointName,
        hop: &Hop,
        kind: Option<FaultKind>,
    ) -> bool {
        let engine = self.engines.entry(at.clone()).or_default();
        match kind {
            Some(FaultKind::Refused) => self.fail(id, hop, Fault::Refused),
            Some(FaultKind::CacheLost) => self.fail(id, hop, Fault::CacheLost),
            Some(FaultKind::Invalid) => self.fail(id, hop, Fault::Invalid),
            Some(FaultKind::CrashBefore) => {
                engine.caches.clear();
                self.fail(id, hop, Fault::Broken);
            }
            Some(FaultKind::Gone) => self.health = Health::Gone,
            _ => return false,
        }
        true
    }

    fn line(&self, hop: &Hop, token: u32, states: &[u64]) -> HopReply {
        let output = if hop.layers.to == LAYERS {
            Output::Token {
                value: draw(*states.last().expect("a position"), hop.seed, token),
                end: token == self.stop_index,
            }
        } else {
            Output::State {
                data: serde_json::to_string(states).expect("numbers"),
            }
        };
        HopReply {
            session: hop.session,
            attempt: hop.attempt,
            token,
            layers: hop.layers,
            output,
        }
    }

    /// Delivers a line with its fault applied; returns whether the stream continues.
    fn answer(
        &mut self,
        id: RequestId,
        at: &EndpointName,
        hop: &Hop,
        mut reply: HopReply,
        kind: Option<FaultKind>,
    ) -> bool {
        let good = Event::Reply {
            id,
            reply: reply.clone(),
        };
        match kind {
            None if self.after_probe.is_empty() => self.queue.push_back(good),
            None => self.after_probe.push(good),
            Some(FaultKind::SlowOnce) => {
                self.health = Health::Working;
                self.after_probe.push(good);
            }
            Some(FaultKind::Duplicate) => self.queue.extend([good.clone(), good]),
            Some(FaultKind::Move) => self.queue.extend([Event::Move { id }, good]),
            Some(FaultKind::MoveWithoutChain) => {
                self.fail_next_route = true;
                self.queue.extend([Event::Move { id }, good]);
            }
            Some(FaultKind::Cancel) => self.queue.extend([Event::Cancel { id }, good]),
            Some(FaultKind::ExtraWrongSession) => {
                reply.session.serial += 100;
                self.queue.extend([Event::Reply { id, reply }, good]);
            }
            Some(FaultKind::Swapped) => {
                self.health = Health::Idle;
                let id = if id == ONE { TWO } else { ONE };
                self.queue.push_back(Event::Reply { id, reply });
                return false;
            }
            Some(kind) => {
                self.corrupt(id, at, hop, reply, kind);
                return false;
            }
        }
        true
    }

    /// Delays or falsifies the last line of an attempt.
    fn corrupt(
        &mut self,
        id: RequestId,
        at: &EndpointName,
        hop: &Hop,
        mut reply: HopReply,
        kind: FaultKind,
    ) {
        self.health = match kind {
            FaultKind::Slow => Health::Working,
            _ => Health::Idle,
        };
        match kind {
            FaultKind::NextToken => reply.token += 1,
            FaultKind::OtherLayers => reply.layers.to += 1,
            FaultKind::NextAttempt => reply.attempt += 1,
            FaultKind::WrongSession => reply.session.boot += 1,
            FaultKind::OtherOutput => {
                reply.output = match reply.output {
                    Output::State { .. } => Output::Token {
                        value: 1,
                        end: false,
                    },
                    Output::Token { .. } => Output::State { data: "[1]".into() },
                };
            }
            _ => return self.withhold(id, at, hop, reply, kind),
        }
        self.queue.push_back(Event::Reply { id, reply });
    }

    fn withhold(
        &mut self,
        id: RequestId,
        at: &EndpointName,
        hop: &Hop,
        reply: HopReply,
        kind: FaultKind,
    ) {
        self.delayed.push((id, reply));
        if kind == FaultKind::CrashAfter {
            self.engines.entry(at.clone()).or_default().caches.clear();
            self.fail(id, hop, Fault::Broken);
        }
        if kind == FaultKind::Silent {
            self.fail(id, hop, Fault::Silent);
        }
    }

    /// Checks what must hold at the end of every case: no cache is left, answers have the right
    /// length, and nothing ran if the failure says so.
    fn check(&self) {
        for (name, engine) in &self.engines {
            assert!(engine.caches.is_empty(), "{name} still holds a cache");
        }
        for (id, end) in &self.ends {
            let last = self.first_token[id] + self.emitted[id].len() as u32;
            match end {
                End::Finished(Reason::Length) => assert_eq!(last, MAX_TOKENS),
                End::Finished(Reason::Stop) => assert_eq!(last, self.stop_index + 1),
                End::Failed(failure) if failure.ran == Ran::No => {
                    assert!(self.runs.is_empty(), "it ran");
                }
                End::Failed(_) => {}
            }
        }
    }

    fn finished(&self, id: RequestId) -> bool {
        matches!(self.ends.get(&id), Some(End::Finished(_)))
    }
}

fn prompt() -> Vec<u32> {
    vec![11, 22, 33]
}

fn run_single(legs: u32, faults: &[(usize, FaultKind)]) -> Simulation {
    let mut sim = Simulation::new(1, legs, faults);
    sim.start(ONE, &prompt(), None);
    sim.run();
    sim
}

fn line_count(legs: u32) -> usize {
    (legs * MAX_TOKENS) as usize
}

#[test]
fn answers_are_complete_over_one_to_three_legs() {
    for legs in 1..=3 {
        let sim = run_single(legs, &[]);
        assert_eq!(sim.ends[&ONE], End::Finished(Reason::Length));
        assert_eq!(sim.line_index, line_count(legs));
    }
}

#[test]
fn an_ending_token_stops_the_answer() {
    for (legs, stop_index) in (1..=3).flat_map(|legs| (0..MAX_TOKENS).map(move |end| (legs, end))) {
        let mut sim = Simulation::new(1, legs, &[]);
        sim.stop_index = stop_index;
        sim.start(ONE, &prompt(), None);
        sim.run();
        assert_eq!(sim.ends[&ONE], End::Finished(Reason::Stop));
    }
}

/// Returns whether the drop counts are as expected for a single fault of this kind.
fn drops_match(sim: &Simulation, kind: FaultKind) -> bool {
    let drops = sim.sessions.drops();
    let none = DropCounts::default();
    match kind {
        FaultKind::NextToken
        | FaultKind::OtherLayers
        | FaultKind::OtherOutput
        | FaultKind::NextAttempt => drops == DropCounts { invalid: 1, ..none },
        FaultKind::ExtraWrongSession | FaultKind::WrongSession => {
            drops
                == DropCounts {
                    wrong_session: 1,
                    ..none
                }
        }
        // The duplicate of the last line arrives after the request has closed.
        FaultKind::Duplicate => drops.duplicate + drops.closed == 1,
        FaultKind::CrashAfter | FaultKind::Idle | FaultKind::Silent | FaultKind::Slow => {
            let stale = drops.stale;
            stale > 0 && drops == DropCounts { stale, ..none }
        }
        _ => true,
    }
}

#[test]
fn every_fault_at_every_hop_is_survived() {
    let mut cases = 0;
    for legs in 1..=3 {
        for line in 0..line_count(legs) {
            for kind in SURVIVED {
                let sim = run_single(legs, &[(line, kind)]);
                assert!(sim.finished(ONE), "{legs} {line} {kind:?}");
                assert!(drops_match(&sim, kind), "{legs} {line} {kind:?}");
                cases += 1;
            }
        }
    }
    println!("single faults: {cases} cases");
}

#[test]
fn every_pair_of_faults_is_survived() {
    let mut cases = 0;
    for legs in 1..=3 {
        for one in 0..line_count(legs) {
            // The second fault may also hit any hop of the attempt that follows the first fault.
            for two in one + 1..=one + line_count(legs) {
                for (a, b) in SURVIVED.iter().flat_map(|a| SURVIVED.map(|b| (*a, b))) {
                    let sim = run_single(legs, &[(one, a), (two, b)]);
                    assert!(sim.finished(ONE), "{legs} {one} {a:?} {two} {b:?}");
                    cases += 1;
                }
            }
        }
    }
    println!("pairs of faults: {cases} cases");
}

#[test]
fn swapped_replies_reach_neither_of_two_callers() {
    let mut cases = 0;
    for legs in 1..=3 {
        for line in 0..2 * line_count(legs) {
            for other in line..2 * line_count(legs) {
                let faults = [(line, FaultKind::Swapped), (other, FaultKind::Swapped)];
                let mut sim = Simulation::new(1, legs, &faults);
                sim.start(ONE, &prompt(), None);
                sim.start(TWO, &[5, 6], None);
                sim.run();
                assert!(sim.finished(ONE) && sim.finished(TWO));
                // A reply that reaches the other request after it has finished counts as closed.
                let drops = sim.sessions.drops();
                assert!(drops.wrong_session + drops.closed > 0);
                cases += 1;
            }
        }
    }
    println!("swapped replies: {cases} cases");
}

#[test]
fn a_cancelled_request_frees_its_caches() {
    for legs in 1..=3 {
        for line in 0..line_count(legs) {
            let sim = run_single(legs, &[(line, FaultKind::Cancel)]);
            assert!(sim.ends.is_empty());
        }
    }
}

#[test]
fn another_vm_resumes_after_every_token_and_fault() {
    let mut cases = 0;
    for (legs, other) in (1..=3).flat_map(|legs| (1..=3).map(move |other| (legs, other))) {
        for event in run_single(legs, &[]).emitted[&ONE].clone() {
            let event = event.to_string().parse().expect("our own event id");
            for line in 0..line_count(other) {
                for kind in SURVIVED {
                    let mut sim = Simulation::new(2, other, &[(line, kind)]);
                    sim.start(ONE, &prompt(), Some(event));
                    sim.run();
                    assert!(sim.finished(ONE), "{event} {line} {kind:?}");
                    cases += 1;
                }
            }
        }
    }
    println!("resumed streams: {cases} cases");
}

#[test]
fn a_resumed_answer_that_differs_fails_with_its_own_code() {
    let events = run_single(2, &[]).emitted[&ONE].clone();
    for event in events {
        let wrong = [
            (
                prompt(),
                EventId {
                    digest: event.digest ^ 1,
                    ..event
                },
                u32::MAX,
            ),
            (
                prompt(),
                EventId {
                    seed: event.seed + 1,
                    ..event
                },
                u32::MAX,
            ),
            (vec![11, 22, 34], event, u32::MAX),
            (prompt(), EventId { index: 2, ..event }, 0),
        ];
        for (prompt, event, stop_index) in wrong {
            let mut sim = Simulation::new(2, 3, &[]);
            sim.stop_index = stop_index;
            sim.start(ONE, &prompt, Some(event));
            sim.run();
            let Some(End::Failed(failure)) = sim.ends.get(&ONE) else {
                panic!("not refused");
            };
            assert_eq!(
                (failure.code, failure.ran),
                (Code::ResumeMismatch, Ran::Unknown)
            );
            assert!(sim.emitted[&ONE].is_empty());
        }
    }
}

fn failure(legs: u32, kind: FaultKind, count: usize) -> Failure {
    let faults: Vec<_> = (0..count).map(|line| (line, kind)).collect();
    match run_single(legs, &faults).ends.remove(&ONE) {
        Some(End::Failed(failure)) => failure,
        end => panic!("{end:?}"),
    }
}

#[test]
fn attempts_without_progress_are_bounded() {
    let count = FAILURE_LIMIT as usize;
    for legs in 1..=3 {
        let refused = failure(legs, FaultKind::Refused, count);
        assert_eq!((refused.code, refused.ran), (Code::Overloaded, Ran::No));
        for kind in [
            FaultKind::CrashBefore,
            FaultKind::Gone,
            FaultKind::Slow,
            FaultKind::NextToken,
        ] {
            let failed = failure(legs, kind, count);
            assert_eq!(
                (failed.code, failed.ran),
                (Code::EndpointFailed, Ran::Unknown)
            );
        }
    }
}

#[test]
fn a_request_without_another_chain_fails_with_the_routers_code() {
    for (kind, ran) in [
        (FaultKind::Refused, Ran::No),
        (FaultKind::Gone, Ran::Unknown),
    ] {
        let mut sim = Simulation::new(1, 2, &[(0, kind)]);
        sim.fail_next_route = true;
        sim.start(ONE, &prompt(), None);
        sim.run();
        let failure = Failure {
            ran,
            ..Failure::not_run(Code::NoCapacity, "no chain")
        };
        assert_eq!(sim.ends[&ONE], End::Failed(failure));
    }
}

/// Starts one request and returns the resulting actions.
fn begin(sessions: &mut Sessions, chain: Arc<[Leg]>, max_tokens: u32) -> Vec<Action> {
    let mut out = Vec::new();
    let start = Start {
        id: ONE,
        prompt: prompt(),
        max_tokens,
        layers: LAYERS,
        chain,
        deadline: Millis(500),
        seed: SEED,
        resume: None,
    };
    sessions.step(Millis(1), Event::Start(start), &mut out);
    out
}

#[test]
fn the_deadline_bounds_every_wait() {
    for health in [None, Some(Health::Working)] {
        let mut sessions = Sessions::new(1);
        let mut out = begin(&mut sessions, chain(2, 0), MAX_TOKENS);
        for now in 2..=500 {
            if let Some(Action::Probe { id, key, .. }) = out.last()
                && let Some(health) = health
            {
                let (id, key) = (*id, *key);
                let event = Event::Probed { id, key, health };
                sessions.step(Millis(now), event, &mut out);
            }
            sessions.tick(Millis(now), &mut out);
        }
        let Some(Action::Fail { failure, .. }) = out.last() else {
            panic!("{out:?}");
        };
        assert_eq!(
            (failure.code, failure.ran),
            (Code::DeadlinePassed, Ran::Unknown)
        );
        assert!(sessions.is_empty());
    }
}

#[test]
fn a_chain_with_a_gap_an_overlap_or_an_end_missing_is_refused() {
    let cuts: [&[(u32, u32)]; 6] = [
        &[],
        &[(0, 3)],
        &[(1, 6)],
        &[(0, 3), (4, 6)],
        &[(0, 3), (2, 6)],
        &[(0, 3), (3, 3), (3, 6)],
    ];
    for cuts in cuts {
        let legs = cuts.iter().map(|(from, to)| leg(0, 0, *from, *to));
        let out = begin(&mut Sessions::new(1), legs.collect(), MAX_TOKENS);
        let [Action::Fail { failure, .. }] = &out[..] else {
            panic!("{cuts:?} {out:?}");
        };
        assert_eq!((failure.code, failure.ran), (Code::NoCapacity, Ran::No));
    }
}

#[test]
fn an_empty_request_is_refused() {
    let out = begin(&mut Sessions::new(1), chain(1, 0), 0);
    assert!(matches!(&out[..], [Action::Fail { failure, .. }] if failure.code == Code::BadRequest));
}

#[test]
fn a_session_is_small() {
    assert!(
        size_of::<Session>() <= 256,
        "{} bytes",
        size_of::<Session>()
    );
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    })]

    #[test]
    fn event_ids_round_trip_through_text(index in any::<u32>(), digest in any::<u64>(), seed in any::<u64>()) {
        let event = EventId { index, digest, seed };
        let text = event.to_string();
        assert!(text.len() <= EVENT_ID_BYTES);
        assert_eq!(text.parse(), Ok(event));
    }

    #[test]
    fn parsed_event_ids_are_canonical(text in "[0-9a-fA-F+-]{0,50}") {
        if let Ok(event) = text.parse::<EventId>() {
            assert_eq!(event.to_string(), text);
        }
    }
}

#[test]
fn malformed_event_ids_are_rejected() {
    assert_eq!(
        "1".repeat(EVENT_ID_BYTES + 1).parse::<EventId>(),
        Err(EventIdError::TooLong)
    );
    assert_eq!("1-2".parse::<EventId>(), Err(EventIdError::PartCount));
    for text in ["01-2-3", "+1-2-3", "A-2-3"] {
        assert_eq!(text.parse::<EventId>(), Err(EventIdError::NotCanonical));
    }
    for text in ["", "1-2-3-4", "1--3", "1-2-x", "100000000-2-3"] {
        assert!(text.parse::<EventId>().is_err(), "{text}");
    }
}

#[test]
fn the_wire_format_is_stable() {
    let hop = Hop {
        session: SessionId {
            boot: 0xab,
            serial: 16,
        },
        attempt: 1,
        token: 2,
        layers: Layers { from: 0, to: 3 },
        steps: 1,
        seed: 7,
        input: Input::Token { value: 9 },
    };
    let text = r#"{"session":"ab-10","attempt":1,"token":2,"layers":{"from":0,"to":3},"steps":1,"seed":7,"input":{"token":{"value":9}}}"#;
    assert_eq!(serde_json::to_string(&hop).expect("plain data"), text);
    assert_eq!(
        serde_json::from_str::<Hop>(text).expect("our own text"),
        hop
    );
    assert!(serde_json::from_str::<SessionId>("\"ab10\"").is_err());
}
