//! Measures the throughput of one set of `once` streams: `cargo run --release --example once_rate`.
//!
//! Time is simulated, so the rates are exact. One VM is the home of all streams, and an append takes
//! a fixed time. Keyed calls arrive at even intervals, run for a fixed time and succeed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::error::Error;

use cornelwharf::clock::Millis;
use cornelwharf::core::once::APPENDS_PER_SECOND;
use cornelwharf::core::once::Action;
use cornelwharf::core::once::Answer;
use cornelwharf::core::once::Attempt;
use cornelwharf::core::once::Batch;
use cornelwharf::core::once::Body;
use cornelwharf::core::once::Boot;
use cornelwharf::core::once::CallDigest;
use cornelwharf::core::once::CallId;
use cornelwharf::core::once::Claim;
use cornelwharf::core::once::Entry;
use cornelwharf::core::once::Event;
use cornelwharf::core::once::Holder;
use cornelwharf::core::once::KeyId;
use cornelwharf::core::once::Offset;
use cornelwharf::core::once::Once;
use cornelwharf::core::once::Outcome;
use cornelwharf::core::once::STREAMS;
use cornelwharf::core::once::Settings;
use cornelwharf::core::once::Shard;
use cornelwharf::core::once::StreamId;
use cornelwharf::names::Team;
use cornelwharf::names::Vm;
use hdrhistogram::Histogram;

/// The duration of an append, and of a read.
const APPEND_SPAN: Millis = Millis(10);
/// The duration of a call at the endpoint.
const RUN_SPAN: Millis = Millis(50);
/// The period during which calls arrive.
const LOAD_SPAN: Millis = Millis::seconds(20);
/// The time after that for the last calls to end.
const DRAIN_SPAN: Millis = Millis::seconds(5);
/// The interval between ticks, in milliseconds.
const TICK_MS: u64 = 10;

/// The number of keys for the measurement of memory.
const KEYS: u64 = 200_000;
/// The assumed size of a memory page.
const PAGE_BYTES: u64 = 4096;

/// The home of all streams, with its simulated clock and the events due later.
struct Bench {
    now: Millis,
    once: Once,
    due: BTreeMap<Millis, Vec<Event>>,
    ends: BTreeMap<StreamId, u64>,
    starts: Vec<Millis>,
    waits: Histogram<u64>,
    appends: u64,
    failures: u64,
}

impl Bench {
    fn new() -> Result<Self, Box<dyn Error>> {
        let holder = Holder {
            vm: Vm::from("a"),
            boot: Boot(1),
        };
        let mut bench = Self {
            now: Millis::seconds(1_000_000),
            once: Once::new(Settings::new(holder.clone())),
            due: BTreeMap::new(),
            ends: BTreeMap::new(),
            starts: Vec::new(),
            waits: Histogram::new(3)?,
            appends: 0,
            failures: 0,
        };
        bench.feed(Event::Live(BTreeSet::from([holder])))?;
        for stream in (0..STREAMS).map(StreamId) {
            let order = vec![Vm::from("a")];
            bench.feed(Event::Homes { stream, order })?;
        }
        Ok(bench)
    }

    fn feed(&mut self, event: Event) -> Result<(), Box<dyn Error>> {
        let mut actions = Vec::new();
        self.once.step(self.now, event, &mut actions);
        for action in actions {
            self.act(&action)?;
        }
        Ok(())
    }

    fn act(&mut self, action: &Action) -> Result<(), Box<dyn Error>> {
        match *action {
            Action::Append { ticket, stream, .. } => {
                self.appends += 1;
                let end = self.ends.entry(stream).or_default();
                let offset = Offset(*end);
                *end += 1;
                self.schedule(
                    APPEND_SPAN,
                    Event::Appended {
                        ticket,
                        stream,
                        offset,
                    },
                );
            }
            Action::Read { stream, from } => {
                let records = Vec::new();
                self.schedule(
                    APPEND_SPAN,
                    Event::Records {
                        stream,
                        from,
                        records,
                    },
                );
            }
            Action::Run(id) => {
                self.waits
                    .record(self.now.since(self.starts[id.0 as usize]).0)?;
                self.feed(Event::Sent(id))?;
                let body = Body(vec![b'x'; 100].into());
                let answer = Answer::Small {
                    status: 200,
                    headers: Vec::new(),
                    body,
                };
                self.schedule(RUN_SPAN, Event::Answered { id, answer });
            }
            Action::Reply { .. } => self.failures += 1,
            Action::Tell { .. } => {}
        }
        Ok(())
    }

    fn schedule(&mut self, span: Millis, event: Event) {
        self.due.entry(self.now + span).or_default().push(event);
    }

    fn call(&mut self) -> Result<(), Box<dyn Error>> {
        let serial = self.starts.len();
        self.starts.push(self.now);
        self.feed(Event::Call {
            id: CallId(serial as u64),
            team: Team::from("team"),
            key: format!("{serial}").into(),
            digest: CallDigest(1),
            deadline: self.now + Millis::seconds(60),
        })
    }

    fn run(&mut self, rate: u64) -> Result<(), Box<dyn Error>> {
        let start = self.now;
        let mut owed = 0;
        while self.now < start + LOAD_SPAN + DRAIN_SPAN {
            self.now += Millis(1);
            while let Some(first) = self
                .due
                .first_entry()
                .filter(|first| *first.key() <= self.now)
            {
                for event in first.remove() {
                    self.feed(event)?;
                }
            }
            if self.now.0.is_multiple_of(TICK_MS) {
                self.feed(Event::Tick)?;
            }
            owed += rate;
            while owed >= 1000 && self.now < start + LOAD_SPAN {
                owed -= 1000;
                self.call()?;
            }
        }
        Ok(())
    }
}

/// Returns the resident memory of this process in bytes.
fn resident() -> Result<u64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Prints the memory per key of a shard whose keys have all run and have small answers.
fn measure_memory() -> Result<(), Box<dyn Error>> {
    let holder = Holder {
        vm: Vm::from("a"),
        boot: Boot(1),
    };
    let mut shard = Shard::default();
    let before = resident()?;
    for serial in 0..KEYS {
        let key = KeyId::of(&Team::from("team"), &serial.to_string());
        let attempt = Attempt(serial);
        let claim = Entry::Claim(Claim {
            team: Team::from("team"),
            key,
            call: CallDigest(1),
            holder: holder.clone(),
            attempt,
            time: Millis(0),
            opaque: false,
        });
        let body = Body(vec![b'x'; 100].into());
        let answer = Answer::Small {
            status: 200,
            headers: Vec::new(),
            body,
        };
        let outcome = Entry::Outcome(Outcome {
            key,
            holder: holder.clone(),
            attempt,
            answer,
        });
        shard.fold(&Batch(vec![claim, outcome]));
    }
    println!(
        "{} bytes a key, of {} keys",
        (resident()? - before) / KEYS,
        shard.len()
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    measure_memory()?;
    println!(
        "{STREAMS} streams, {APPENDS_PER_SECOND} appends/s allowed, an append takes {APPEND_SPAN} ms"
    );
    println!("calls/s  ran  failed  appends/s  claim wait ms: p50 p95 p99 max");
    for rate in [50, 300, 1000, 3000, 7100, 20_000, 40_000] {
        let mut bench = Bench::new()?;
        bench.run(rate)?;
        let waits = &bench.waits;
        let span = LOAD_SPAN + DRAIN_SPAN;
        println!(
            "{rate}  {}  {}  {}  {} {} {} {}",
            waits.len(),
            bench.failures,
            bench.appends * 1000 / span.0,
            waits.value_at_quantile(0.5),
            waits.value_at_quantile(0.95),
            waits.value_at_quantile(0.99),
            waits.max(),
        );
    }
    Ok(())
}
