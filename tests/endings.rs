//! Requests that crash the endpoints that run them, beside harmless ones and cut connections: what the
//! VMs find out from looks at the endpoints, tell each other and refuse.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use cornelwharf::clock::Millis;
use cornelwharf::core::poison::EndingWatch;
use cornelwharf::core::poison::Finding;
use cornelwharf::core::poison::Incident;
use cornelwharf::core::poison::RequestDigest;
use cornelwharf::core::poison::Sight;
use cornelwharf::core::poison::SuspectStatus;
use cornelwharf::core::poison::SuspectTable;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const VMS: usize = 5;
const ENDPOINTS: usize = 12;
/// The time that rules leave a VM to find out and tell the others (the users' bound).
const CONTACT_SPAN: Millis = Millis::seconds(3);
const CRASH_LIMIT: usize = 3;
/// The retries that may reach endpoints after [`CONTACT_SPAN`] (the users' rule on repeats).
const RUN_LIMIT: usize = 3;
/// The share of harmless requests that has to be served (the users' target).
const HARMLESS_SHARE: f64 = 0.9;
const PLAY_TIME: Millis = Millis::seconds(40);
const GUILTY_GAP: Millis = Millis(700);
const HARMLESS_GAP: Millis = Millis(25);
/// A caller sends a harmless request whose run broke at most once more.
const MAX_TRIES: u32 = 2;
const RUN_TIME: (u64, u64) = (30, 2500);
const MESSAGE_GAP: Millis = Millis(300);
/// The records of a message, as the daemon has them.
const MAX_NEWS: usize = 4;

/// What ends when a guilty request runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The process, so long after the connection broke; another one is there after the second time.
    Process(Millis, Millis),
    /// The process, which falls silent and is back after this time.
    Silence(Millis),
    /// The connection only.
    Connection,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Guilty,
    Harmless(u32, u32),
    Break {
        vm: usize,
        endpoint: usize,
        boot: u64,
        content: u32,
    },
    Done {
        vm: usize,
        endpoint: usize,
        boot: u64,
        content: u32,
        start: Millis,
        tries: u32,
    },
    Look {
        vm: usize,
        endpoint: usize,
        boot: u64,
    },
    Message(usize),
    Restart(usize),
}

#[derive(Clone, Copy, Debug)]
struct Endpoint {
    boot: u64,
    /// When the listener of the process closes, and when another process is there.
    down: Option<(Millis, Millis)>,
    is_silent: bool,
}

struct Play {
    rng: ChaCha8Rng,
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64, Due)>>,
    order: u64,
    vms: Vec<SuspectTable>,
    /// When each VM started.
    started: [Millis; VMS],
    watches: BTreeMap<(usize, usize, u64), (EndingWatch, Vec<u32>)>,
    endpoints: Vec<Endpoint>,
    crashed: Vec<Millis>,
    late: usize,
    guilty_runs: usize,
    served: u32,
    failed: u32,
}

fn digest(content: u32) -> RequestDigest {
    RequestDigest::of_call("red", "POST", &content.to_string(), b"")
}

fn table(vm: usize) -> SuspectTable {
    SuspectTable::new(format!("vm-{vm}").as_str().into())
}

impl Play {
    fn new(seed: u64) -> Self {
        let endpoint = Endpoint {
            boot: 1,
            down: None,
            is_silent: false,
        };
        let mut play = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis(0),
            queue: BinaryHeap::new(),
            order: 0,
            vms: (0..VMS).map(table).collect(),
            started: [Millis(0); VMS],
            watches: BTreeMap::new(),
            endpoints: vec![endpoint; ENDPOINTS],
            crashed: Vec::new(),
            late: 0,
            guilty_runs: 0,
            served: 0,
            failed: 0,
        };
        play.add(Millis(1000), Due::Guilty);
        play.add(Millis(0), Due::Harmless(1, 1));
        for vm in 0..VMS {
            play.add(Millis(vm as u64 * 60), Due::Message(vm));
        }
        play
    }

    fn add(&mut self, delay: Millis, due: Due) {
        self.order += 1;
        self.queue
            .push(Reverse((self.now + delay, self.order, due)));
    }

    fn run(&mut self, ending: impl Fn(&mut ChaCha8Rng) -> Ending) {
        while let Some(Reverse((at, _, due))) = self.queue.pop() {
            self.now = at;
            if at > PLAY_TIME {
                return;
            }
            self.handle(due, &ending);
        }
    }

    fn is_barred(&self, vm: usize, content: u32) -> bool {
        let status = self.vms[vm].status(self.now, &digest(content));
        matches!(status, SuspectStatus::Barred(_))
    }

    fn pick(&mut self) -> Option<(usize, u64)> {
        let now = self.now;
        let up = |endpoint: &Endpoint| endpoint.down.is_none_or(|(_, back)| now >= back);
        let up: Vec<usize> = (0..ENDPOINTS)
            .filter(|at| up(&self.endpoints[*at]))
            .collect();
        let at = *up.get(self.rng.random_range(0..up.len().max(1)))?;
        self.revive(at);
        Some((at, self.endpoints[at].boot))
    }

    fn revive(&mut self, at: usize) {
        let endpoint = &mut self.endpoints[at];
        if endpoint.down.is_some_and(|(_, back)| self.now >= back) {
            *endpoint = Endpoint {
                boot: endpoint.boot + 1,
                down: None,
                is_silent: false,
            };
        }
    }

    fn handle(&mut self, due: Due, ending: &impl Fn(&mut ChaCha8Rng) -> Ending) {
        match due {
            Due::Guilty => {
                self.add(GUILTY_GAP, Due::Guilty);
                let vm = self.rng.random_range(0..VMS);
                if self.is_barred(vm, 0) {
                    return;
                }
                let Some((at, boot)) = self.pick() else {
                    return;
                };
                self.guilty_runs += 1;
                let third = self.crashed.get(CRASH_LIMIT - 1).copied();
                // The rule holds for VMs that have run for so long.
                let bound = third.map(|third| third.max(self.started[vm]) + CONTACT_SPAN);
                self.late += usize::from(bound.is_some_and(|bound| self.now > bound));
                let ending = ending(&mut self.rng);
                self.end(vm, at, boot, ending);
            }
            Due::Harmless(content, tries) => {
                if tries == 1 {
                    self.add(HARMLESS_GAP, Due::Harmless(content + 1, 1));
                }
                let vm = self.rng.random_range(0..VMS);
                let picked = if self.is_barred(vm, content) {
                    None
                } else {
                    self.pick()
                };
                let Some((endpoint, boot)) = picked else {
                    self.failed += 1;
                    return;
                };
                let span = Millis(self.rng.random_range(RUN_TIME.0..RUN_TIME.1));
                let start = self.now;
                self.add(
                    span,
                    Due::Done {
                        vm,
                        endpoint,
                        boot,
                        content,
                        start,
                        tries,
                    },
                );
            }
            Due::Done {
                vm,
                endpoint,
                boot,
                content,
                start,
                tries,
            } => {
                let state = self.endpoints[endpoint];
                if state.boot == boot && state.down.is_none() {
                    self.vms[vm].record_completion(&digest(content), start);
                    self.served += 1;
                    return;
                }
                self.record_break(vm, endpoint, boot, content);
                if tries < MAX_TRIES {
                    self.add(Millis(5), Due::Harmless(content, tries + 1));
                } else {
                    self.failed += 1;
                }
            }
            Due::Break {
                vm,
                endpoint,
                boot,
                content,
            } => self.record_break(vm, endpoint, boot, content),
            Due::Look { vm, endpoint, boot } => self.look(vm, endpoint, boot),
            Due::Message(vm) => {
                self.add(MESSAGE_GAP, Due::Message(vm));
                let message = self.vms[vm].next_records(self.now, MAX_NEWS);
                for _ in 0..2 {
                    let to = self.rng.random_range(0..VMS);
                    // One message in ten is lost.
                    if to != vm && self.rng.random_range(0..10) > 0 {
                        self.vms[to].merge(self.now, message.clone());
                    }
                }
            }
            Due::Restart(vm) => {
                self.vms[vm] = table(vm);
                self.started[vm] = self.now;
                self.watches.retain(|(of, _, _), _| *of != vm);
            }
        }
    }

    fn end(&mut self, vm: usize, at: usize, boot: u64, ending: Ending) {
        let broken = Due::Break {
            vm,
            endpoint: at,
            boot,
            content: 0,
        };
        let (closes, back, is_silent) = match ending {
            Ending::Connection => return self.add(Millis(40), broken),
            Ending::Process(closes, back) => (closes, closes + back, false),
            Ending::Silence(back) => (Millis(0), back, true),
        };
        self.crashed.push(self.now);
        let down = Some((self.now + closes, self.now + back));
        self.endpoints[at] = Endpoint {
            boot,
            down,
            is_silent,
        };
        self.add(Millis(0), broken);
    }

    fn record_break(&mut self, vm: usize, endpoint: usize, boot: u64, content: u32) {
        let now = self.now;
        let key = (vm, endpoint, boot);
        let is_new = !self.watches.contains_key(&key);
        let new = (EndingWatch::new(now, boot), Vec::new());
        let (watch, runs) = self.watches.entry(key).or_insert(new);
        watch.record_break(now);
        runs.push(content);
        if is_new {
            self.look(vm, endpoint, boot);
        }
    }

    fn look(&mut self, vm: usize, endpoint: usize, boot: u64) {
        let now = self.now;
        self.revive(endpoint);
        let state = self.endpoints[endpoint];
        let sight = match state.down {
            None => Sight::Answered(Some(state.boot)),
            Some(_) if state.is_silent => Sight::Unclear,
            Some((closes, _)) if now < closes => Sight::Unclear,
            Some(_) => Sight::Refused,
        };
        let Some((watch, _)) = self.watches.get(&(vm, endpoint, boot)) else {
            return;
        };
        match watch.judge(now, sight) {
            Finding::Open(pause) => self.add(pause, Due::Look { vm, endpoint, boot }),
            Finding::Ended => {
                let (_, runs) = self.watches.remove(&(vm, endpoint, boot)).expect("a watch");
                for content in runs {
                    let name = format!("e{endpoint}");
                    let endpoint = name.as_str().into();
                    let incident = Incident {
                        alone: false,
                        at: now,
                        endpoint,
                        boot,
                    };
                    self.vms[vm].record_crash(now, digest(content), incident);
                }
            }
            Finding::GoesOn | Finding::Unknown => {
                self.watches.remove(&(vm, endpoint, boot));
            }
        }
    }

    fn check(&self, seed: u64) {
        let late = self.late;
        assert!(self.crashed.len() >= CRASH_LIMIT, "seed {seed}");
        assert!(late <= RUN_LIMIT, "seed {seed}: {late} late runs");
        let share = f64::from(self.served) / f64::from(self.served + self.failed);
        assert!(
            share >= HARMLESS_SHARE,
            "seed {seed}: {share} of the harmless ones"
        );
    }
}

#[test]
fn requests_whose_endpoints_end_within_300_ms_run_no_more_once_three_have() {
    for seed in 0..100 {
        let mut play = Play::new(seed);
        play.run(|rng| {
            let closes = Millis(rng.random_range(0..300));
            Ending::Process(closes, Millis(rng.random_range(2000..4000)))
        });
        play.check(seed);
    }
}

#[test]
fn requests_whose_endpoints_are_replaced_at_once_run_no_more_once_three_have() {
    for seed in 0..100 {
        let mut play = Play::new(seed);
        play.run(|rng| Ending::Process(Millis(rng.random_range(0..300)), Millis(0)));
        play.check(seed);
    }
}

#[test]
fn crashes_are_not_forgotten_when_vms_start_anew_one_after_the_other() {
    for seed in 0..100 {
        let mut play = Play::new(seed);
        for turn in 0..10 {
            play.add(
                Millis(2000 + 1200 * turn),
                Due::Restart(turn as usize % VMS),
            );
        }
        play.run(|_| Ending::Process(Millis(50), Millis::seconds(3)));
        play.check(seed);
    }
}

#[test]
fn engines_that_fall_silent_count_once_they_are_back() {
    for seed in 0..100 {
        let mut play = Play::new(seed);
        play.run(|rng| Ending::Silence(Millis(rng.random_range(1000..2500))));
        play.check(seed);
    }
}

#[test]
fn a_request_whose_connections_are_cut_is_never_barred() {
    for seed in 0..100 {
        let mut play = Play::new(seed);
        play.run(|_| Ending::Connection);
        let sent = (PLAY_TIME.0 - 1000) / GUILTY_GAP.0;
        assert!(
            play.guilty_runs as u64 >= sent,
            "seed {seed}: {}",
            play.guilty_runs
        );
        assert!(play.vms.iter().all(SuspectTable::is_empty), "seed {seed}");
    }
}
