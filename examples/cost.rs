//! Measures the memory and the processor time per event of one core at the required size.
//!
//! Applies a configuration of 29 models, a plain service, 600 endpoints and a number of teams to a
//! core, then sends it calls and hop replies on a simulated clock. Prints the table for
//! docs/CAPACITY.md.

use std::net::SocketAddr;
use std::time::Instant;

use cornelwharf::clock::Millis;
use cornelwharf::core::config::change::Offset;
use cornelwharf::core::config::intent::Intent;
use cornelwharf::core::config::object::Digest;
use cornelwharf::core::config::object::Endpoint;
use cornelwharf::core::config::object::Grant;
use cornelwharf::core::config::object::Layers;
use cornelwharf::core::config::object::OperatorEntry;
use cornelwharf::core::config::object::OwnerEntry;
use cornelwharf::core::config::object::Priority;
use cornelwharf::core::config::object::Service;
use cornelwharf::core::config::object::ServiceKind;
use cornelwharf::core::config::object::TeamEntry;
use cornelwharf::core::config::record::Body;
use cornelwharf::core::config::record::Confirm;
use cornelwharf::core::config::record::Consent;
use cornelwharf::core::config::record::Record;
use cornelwharf::core::config::state::State;
use cornelwharf::core::daemon::Action;
use cornelwharf::core::daemon::Call;
use cornelwharf::core::daemon::CallKind;
use cornelwharf::core::daemon::Core;
use cornelwharf::core::daemon::Event;
use cornelwharf::core::daemon::PlainAnswer;
use cornelwharf::core::daemon::ReadId;
use cornelwharf::core::daemon::ReadResult;
use cornelwharf::core::daemon::Setup;
use cornelwharf::core::member::message::Member;
use cornelwharf::core::once::CallDigest;
use cornelwharf::core::session;
use cornelwharf::core::session::event::RequestId;
use cornelwharf::core::session::wire::Hop;
use cornelwharf::core::session::wire::HopReply;
use cornelwharf::core::session::wire::Output;
use cornelwharf::core::sync::message::Batch;
use cornelwharf::core::sync::message::Record as SyncRecord;

const MODELS: usize = 29;
const PER_MODEL: usize = 20;
const LAYERS: u32 = 24;
const CALLS: u64 = 20_000;
const SESSIONS: u64 = 1_000;
const TOKENS: u32 = 16;
/// The maximum number of endpoints in one intent; intents with teams have a quarter as many.
const INTENT_OBJECTS: usize = 400;

fn digest(text: &str) -> Digest {
    Digest::of(text.as_bytes())
}

fn addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8 + 1], 80))
}

fn model(at: usize) -> String {
    format!("model-{at}")
}

fn base_intent() -> Intent {
    let mut intent = Intent::default();
    intent.operators.push(OperatorEntry {
        name: "ada".into(),
        token: digest("ada"),
    });
    intent.owners.push(OwnerEntry {
        name: "olive".into(),
        token: digest("olive"),
    });
    for at in 0..MODELS {
        let kind = ServiceKind::Model {
            layers: LAYERS,
            version: "v1".into(),
        };
        intent.services.push(Service {
            name: model(at).as_str().into(),
            kind,
        });
    }
    let kind = ServiceKind::Plain {
        idempotent: vec!["GET".into()],
    };
    intent.services.push(Service {
        name: "ledger".into(),
        kind,
    });
    intent
}

fn endpoint(number: usize) -> Endpoint {
    let at = number / PER_MODEL;
    let third = LAYERS / 3;
    let stage = (number % 3) as u32;
    let plain = at >= MODELS;
    let service = if plain {
        "ledger".to_owned()
    } else {
        model(at)
    };
    Endpoint {
        name: format!("endpoint-{number}").as_str().into(),
        addr: addr(number),
        domain: "salem".into(),
        owner: "olive".into(),
        service: service.as_str().into(),
        layers: (!plain).then_some(Layers {
            from: stage * third,
            to: (stage + 1) * third,
        }),
        kind: "gpu".into(),
        slots: 10_000,
        rate: 0,
        delay: Millis(0),
        fencing: false,
    }
}

/// Returns the log records of a configuration with `teams` teams.
fn records(teams: usize) -> Vec<SyncRecord> {
    let mut log = Log {
        state: State::new(),
        records: Vec::new(),
    };
    log.change(&base_intent());
    let endpoints: Vec<Endpoint> = (0..(MODELS + 1) * PER_MODEL).map(endpoint).collect();
    for part in endpoints.chunks(INTENT_OBJECTS) {
        log.change(&Intent {
            endpoints: part.to_vec(),
            ..Intent::default()
        });
    }
    let names: Vec<String> = (0..teams).map(|at| format!("team-{at}")).collect();
    for part in names.chunks(INTENT_OBJECTS / 4) {
        let mut intent = Intent::default();
        for name in part {
            intent.teams.push(TeamEntry {
                name: name.as_str().into(),
                token: digest(name),
                weight: 1,
                priority: Priority::Normal,
                limit: 0,
            });
            for service in ["ledger", "model-0", "model-1"] {
                intent.grants.push(Grant {
                    team: name.as_str().into(),
                    service: service.into(),
                });
            }
        }
        log.change(&intent);
        for name in part {
            for service in ["ledger", "model-0", "model-1"] {
                log.push(Body::Approve(Consent {
                    owner: "olive".into(),
                    team: name.as_str().into(),
                    service: service.into(),
                    endpoint: None,
                    at: Millis(1),
                }));
            }
        }
    }
    log.records
}

struct Log {
    state: State,
    records: Vec<SyncRecord>,
}

impl Log {
    fn change(&mut self, intent: &Intent) {
        let at = Millis(1);
        let by = "ada".into();
        let plan = self
            .state
            .plan(at, &by, intent)
            .expect("the intent is valid");
        let id = plan.id.clone();
        self.push(Body::Plan(plan));
        self.push(Body::Confirm(Confirm { plan: id, by, at }));
    }

    fn push(&mut self, body: Body) {
        let record = Record::new(self.state.next(), body);
        let offset = self.state.next();
        let outcome = self.state.apply(offset, &record).expect("no gap");
        assert!(outcome.is_accepted(), "{outcome}");
        let data = String::from_utf8(record.encode()).expect("JSON");
        self.records.push(SyncRecord {
            offset: offset.0,
            data: data.as_str().into(),
        });
    }
}

struct Bench {
    core: Core,
    now: Millis,
    out: Vec<Action>,
}

impl Bench {
    fn step(&mut self, event: Event) -> Vec<Action> {
        self.core.step(self.now, event, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, log: &[SyncRecord]) {
        self.now += Millis(50);
        let mut todo = self.step(Event::Tick);
        while let Some(action) = todo.pop() {
            if let Action::Read {
                read: ReadId::Tail(number),
                from,
            } = action
            {
                let records: Vec<SyncRecord> =
                    log.iter().skip(from as usize).take(512).cloned().collect();
                let next = from + records.len() as u64;
                let end = next == log.len() as u64;
                let batch = Batch {
                    from,
                    next,
                    records,
                };
                let result = ReadResult::Records { batch, end };
                todo.extend(self.step(Event::ReadDone {
                    read: ReadId::Tail(number),
                    result,
                }));
            }
        }
    }

    fn call(&mut self, id: u64, kind: CallKind) -> Vec<Action> {
        let token = Some(digest("team-7"));
        let deadline = self.now + Millis::seconds(60);
        self.step(Event::Call(Call {
            id: RequestId(id),
            token,
            deadline,
            kind,
        }))
    }

    fn plain(&mut self, id: u64) {
        let kind = CallKind::Plain {
            service: "ledger".into(),
            method: "GET".into(),
            key: None,
            digest: CallDigest(0),
        };
        for action in self.call(id, kind) {
            if let Action::Send { id, attempt, .. } = action {
                let answer = PlainAnswer {
                    pause: None,
                    refused: false,
                    record: None,
                };
                self.step(Event::Answered {
                    id,
                    attempt,
                    answer,
                });
            }
        }
    }

    fn model(&mut self, id: u64) -> Vec<Action> {
        let kind = CallKind::Model {
            service: "model-0".into(),
            prompt: vec![id as u32; 64],
            limit: TOKENS,
            seed: id,
            resume: None,
        };
        self.call(id, kind)
    }

    fn answer(&mut self, id: RequestId, hop: &Hop) -> Vec<Action> {
        let output = if hop.layers.to == LAYERS {
            Output::Token {
                value: 97,
                end: false,
            }
        } else {
            Output::State {
                data: "0".to_owned(),
            }
        };
        let reply = HopReply {
            session: hop.session,
            attempt: hop.attempt,
            token: hop.token,
            layers: hop.layers,
            output,
        };
        self.step(Event::Session(session::Event::Reply { id, reply }))
    }
}

fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0u64) * 4
}

fn micros(start: Instant, count: u64) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn main() {
    println!(
        "| teams | fold ms | state KiB | plain call us | hop us | open session bytes | idle tick us | tick us, {SESSIONS} sessions |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for teams in [100, 2_100, 21_000] {
        measure(teams);
    }
}

fn measure(teams: usize) {
    let log = records(teams);
    let me = Member {
        vm: "vm-1".into(),
        domain: "salem".into(),
        peer: addr(1),
        caller: addr(2),
        boot: 1,
    };
    let setup = Setup {
        me,
        operators: Vec::new(),
        shards: 4,
        opaque: true,
        seed: 1,
    };
    let before = resident();
    let mut bench = Bench {
        core: Core::new(setup),
        now: Millis(1_000_000),
        out: Vec::new(),
    };
    let start = Instant::now();
    while bench.core.state().next() < Offset(log.len() as u64) {
        bench.tick(&log);
    }
    bench.tick(&log);
    let fold = start.elapsed().as_millis();
    let state = resident() - before;
    let start = Instant::now();
    for _ in 0..100 {
        bench.tick(&log);
    }
    let idle = micros(start, 100);
    let start = Instant::now();
    for id in 0..CALLS {
        bench.plain(id);
    }
    let plain = micros(start, CALLS);
    let before = resident();
    let mut hops = Vec::new();
    for id in 0..SESSIONS {
        hops.extend(bench.model(CALLS + id));
    }
    let open = (resident() - before) * 1024 / SESSIONS;
    let start = Instant::now();
    for _ in 0..100 {
        bench.tick(&log);
    }
    let busy = micros(start, 100);
    let start = Instant::now();
    let mut count = 0;
    while let Some(action) = hops.pop() {
        if let Action::Hop { id, hop, .. } = action {
            count += 1;
            hops.extend(bench.answer(id, &hop));
        }
    }
    let hop = micros(start, count);
    println!(
        "| {teams} | {fold} | {state} | {plain:.1} | {hop:.1} | {open} | {idle:.0} | {busy:.0} |"
    );
}
