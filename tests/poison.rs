//! Suspects over several VMs whose messages are delayed and lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cornelwharf::clock::Millis;
use cornelwharf::core::poison::BAR_TTL;
use cornelwharf::core::poison::CrashHistory;
use cornelwharf::core::poison::ENTRY_LIMIT;
use cornelwharf::core::poison::GOSSIP_LIMIT;
use cornelwharf::core::poison::Incident;
use cornelwharf::core::poison::NodeHash;
use cornelwharf::core::poison::PermitReply;
use cornelwharf::core::poison::PermitRequest;
use cornelwharf::core::poison::PermitReturn;
use cornelwharf::core::poison::RequestDigest;
use cornelwharf::core::poison::Run;
use cornelwharf::core::poison::RunOutcome;
use cornelwharf::core::poison::RunPlan;
use cornelwharf::core::poison::SUSPECT_TTL;
use cornelwharf::core::poison::SuspectGossip;
use cornelwharf::core::poison::SuspectRecord;
use cornelwharf::core::poison::SuspectStatus;
use cornelwharf::core::poison::SuspectTable;
use cornelwharf::core::poison::shortlist;
use cornelwharf::core::session::RequestId;
use cornelwharf::error::Code;
use cornelwharf::error::Ran;
use cornelwharf::names::EndpointName;
use cornelwharf::names::ServiceName;
use cornelwharf::names::Vm;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The promise: how many endpoints one content may take down.
const BOUND: usize = 3;
const VMS: usize = 5;
const ENDPOINTS: usize = 12;
const INNOCENTS: u32 = 6;
/// How long the callers go on sending, and how long the VMs then have to agree.
const SENDING: u64 = 4000;
const SETTLING: u64 = 4000;
const STEP: u64 = 10;
const GOSSIP: u64 = 50;
const WORLDS: u64 = 10;

fn digest(content: u32) -> RequestDigest {
    RequestDigest::of(&ServiceName::from("assistant"), &[content])
}

fn poison() -> RequestDigest {
    digest(0)
}

#[derive(Clone, Debug)]
enum Message {
    Note(SuspectGossip),
    Ask(PermitRequest),
    Grant {
        grant: PermitReply,
        ask: PermitRequest,
        home: usize,
    },
    Done(PermitReturn),
}

#[derive(Clone, Debug)]
struct Job {
    vm: usize,
    id: RequestId,
    digest: RequestDigest,
    home: Option<usize>,
    end: u64,
}

/// How the poison's caller sends it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Calls {
    /// Through every VM, all the time.
    EveryVm,
    /// Through one VM after the other.
    OneByOne,
}

#[derive(Default)]
struct Machine {
    boot: u64,
    jobs: Vec<Job>,
    up: u64,
    reserved: bool,
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    calls: Calls,
    loss: f64,
    delay: u64,
    names: Vec<EndpointName>,
    seats: Vec<NodeHash>,
    vms: Vec<Vm>,
    ledgers: Vec<SuspectTable>,
    machines: Vec<Machine>,
    mail: Vec<(u64, usize, Message)>,
    serial: u64,
    /// The endpoints that the poison took down, and how often.
    crashes: BTreeMap<EndpointName, u32>,
    completed: u32,
}

impl World {
    fn new(seed: u64, calls: Calls, loss: f64, delay: u64) -> Self {
        let vms: Vec<Vm> = (0..VMS)
            .map(|i| Vm::from(format!("vm{i}").as_str()))
            .collect();
        let names: Vec<EndpointName> = (0..ENDPOINTS)
            .map(|i| EndpointName::from(format!("e{i}").as_str()))
            .collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            calls,
            loss,
            delay,
            seats: names.iter().map(|name| NodeHash::of(name)).collect(),
            names,
            ledgers: vms.iter().cloned().map(SuspectTable::new).collect(),
            vms,
            machines: (0..ENDPOINTS).map(|_| Machine::default()).collect(),
            mail: Vec::new(),
            serial: 0,
            crashes: BTreeMap::new(),
            completed: 0,
        }
    }

    fn run(&mut self) {
        while self.now < SENDING + SETTLING {
            self.now += STEP;
            if self.now < SENDING {
                self.callers();
            }
            self.deliver();
            self.work();
            if self.now.is_multiple_of(GOSSIP) {
                self.gossip();
            }
        }
    }

    fn callers(&mut self) {
        for vm in 0..VMS {
            if self.calls == Calls::EveryVm {
                self.request(vm, poison());
            }
            let content = self.rng.random_range(1..=INNOCENTS);
            self.request(vm, digest(content));
        }
        if self.calls == Calls::OneByOne && self.now.is_multiple_of(150) {
            let vm = self.now / 150 % VMS as u64;
            self.request(vm as usize, poison());
        }
    }

    /// Notes get lost; questions and answers are calls, which are sent again until the end.
    fn send(&mut self, to: usize, message: Message) {
        let mut at = self.now + self.rng.random_range(1..=self.delay);
        while self.rng.random_bool(self.loss) {
            if matches!(message, Message::Note(_)) || self.loss > 0.99 {
                return;
            }
            at += 200;
        }
        self.mail.push((at, to, message));
    }

    fn request(&mut self, vm: usize, digest: RequestDigest) {
        match self.ledgers[vm].plan(Millis(self.now), &digest, &self.vms) {
            RunPlan::Shared => self.begin(vm, digest, None),
            RunPlan::WithPermit { home } => {
                self.serial += 1;
                let ask = self.ledgers[vm].permit_request(RequestId(self.serial), &digest);
                let home = self.vms.iter().position(|vm| *vm == home).expect("live");
                self.send(home, Message::Ask(ask));
            }
            RunPlan::Barred { .. } => {}
        }
    }

    /// Runs a request on an endpoint of its shortlist; under a permit of `home`, alone.
    fn begin(&mut self, vm: usize, digest: RequestDigest, home: Option<usize>) {
        let range = self.names.iter().zip(self.seats.iter().copied());
        let listed = shortlist(&digest, range);
        let fits = |i: &usize| {
            let machine = &self.machines[*i];
            let free = home.is_none() || machine.jobs.is_empty();
            listed.contains(&&self.names[*i]) && machine.up <= self.now && !machine.reserved && free
        };
        let fitting: Vec<usize> = (0..ENDPOINTS).filter(fits).collect();
        if fitting.is_empty() {
            return self.give_back(vm, &digest, home);
        }
        let at = fitting[self.rng.random_range(0..fitting.len())];
        self.serial += 1;
        let id = RequestId(self.serial);
        let run = Run {
            id,
            digest,
            endpoint: self.names[at].clone(),
            alone: home.is_some(),
        };
        self.ledgers[vm].run_started(Millis(self.now), run);
        let end = self.now + self.rng.random_range(20..100);
        self.machines[at].reserved = home.is_some();
        self.machines[at].jobs.push(Job {
            vm,
            id,
            digest,
            home,
            end,
        });
    }

    fn give_back(&mut self, vm: usize, digest: &RequestDigest, home: Option<usize>) {
        if let Some(home) = home {
            let done = self.ledgers[vm].permit_return(digest);
            self.send(home, Message::Done(done));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.mail.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, to, message) in due {
            match message {
                Message::Note(note) => self.ledgers[to].merge(Millis(now), note),
                Message::Done(done) => self.ledgers[to].accept_return(Millis(now), done),
                Message::Ask(ask) => {
                    let vm = self.vms.iter().position(|vm| *vm == ask.vm).expect("live");
                    let grant = self.ledgers[to].answer_request(Millis(now), ask.clone());
                    let home = to;
                    self.send(vm, Message::Grant { grant, ask, home });
                }
                Message::Grant { grant, ask, home } => {
                    if matches!(grant, PermitReply::Alone { .. }) {
                        self.begin(to, ask.record.digest, Some(home));
                    }
                }
            }
        }
    }

    fn work(&mut self) {
        let now = Millis(self.now);
        for at in 0..ENDPOINTS {
            let name = self.names[at].clone();
            let done = |job: &mut Job| job.end <= now.0;
            let ended: Vec<Job> = self.machines[at].jobs.extract_if(.., done).collect();
            let crash = ended.iter().any(|job| job.digest == poison());
            let jobs = if crash {
                *self.crashes.entry(name.clone()).or_default() += 1;
                let rest = std::mem::take(&mut self.machines[at].jobs);
                let boot = self.machines[at].boot;
                self.machines[at].boot += 1;
                self.machines[at].up = now.0 + 200;
                let jobs: Vec<Job> = ended.into_iter().chain(rest).collect();
                for job in &jobs {
                    self.ledgers[job.vm].run_ended(now, job.id, &name, RunOutcome::Broken);
                }
                let seen: BTreeSet<usize> = jobs.iter().map(|job| job.vm).collect();
                for vm in seen {
                    self.ledgers[vm].endpoint_crashed(now, &name, boot);
                }
                jobs
            } else {
                for job in &ended {
                    self.ledgers[job.vm].run_ended(now, job.id, &name, RunOutcome::Completed);
                    self.completed += 1;
                }
                ended
            };
            for job in jobs {
                self.machines[at].reserved &= job.home.is_none();
                self.give_back(job.vm, &job.digest, job.home);
            }
        }
    }

    fn gossip(&mut self) {
        for vm in 0..VMS {
            let news = self.ledgers[vm].next_news();
            let repeat = self.ledgers[vm].next_repeat();
            for note in [news, repeat].into_iter().flatten() {
                let to = self.rng.random_range(0..VMS);
                self.send(to, Message::Note(note));
            }
        }
    }

    fn standing(&self, vm: usize, content: u32) -> SuspectStatus {
        self.ledgers[vm].status(Millis(self.now), &digest(content))
    }
}

#[test]
fn one_request_takes_down_three_endpoints_at_most() {
    for calls in [Calls::EveryVm, Calls::OneByOne] {
        for (loss, delay) in [(0.0, 10), (0.1, 50), (0.5, 500), (1.0, 1)] {
            let (mut endpoints, mut crashes, mut suspects, mut barred) = (0, 0, 0, 0);
            for seed in 0..WORLDS {
                let mut world = World::new(seed, calls, loss, delay);
                world.run();
                assert!(world.crashes.len() <= BOUND, "{:?}", world.crashes);
                assert!(world.completed > 0);
                endpoints = endpoints.max(world.crashes.len());
                crashes = crashes.max(world.crashes.values().sum());
                for vm in 0..VMS {
                    for content in 1..=INNOCENTS {
                        match world.standing(vm, content) {
                            SuspectStatus::Clear => {}
                            SuspectStatus::Suspect => suspects += 1,
                            SuspectStatus::Barred(_) => barred += 1,
                        }
                    }
                    // With every message lost no VM but the home can find out.
                    let sure = loss < 1.0;
                    let found = matches!(world.standing(vm, 0), SuspectStatus::Barred(_));
                    assert!(found || !sure, "{calls:?} {loss} {seed} {vm}");
                }
            }
            assert!(
                loss > 0.99 || suspects + barred == 0,
                "an innocent is not cleared"
            );
            println!(
                "{calls:?}, loss {loss}, delay {delay} ms, {WORLDS} worlds: at most {endpoints} \
                 endpoints and {crashes} crashes; innocents: {suspects} suspects, {barred} barred"
            );
        }
    }
}

fn incident(endpoint: u8, boot: u64, at: u64, alone: bool) -> Incident {
    Incident {
        alone,
        at: Millis(at),
        endpoint: EndpointName::from(format!("e{endpoint}").as_str()),
        boot,
    }
}

fn entry() -> impl Strategy<Value = CrashHistory> {
    let incidents = vec((0..3_u8, 0..3_u64, 1..20_u64, any::<bool>()), 0..5);
    (incidents, 0..20_u64).prop_map(|(incidents, cleared)| {
        let mut entry = CrashHistory::default();
        for (endpoint, boot, at, alone) in incidents {
            entry.add(incident(endpoint, boot, at, alone));
        }
        entry.clear(Millis(cleared));
        entry
    })
}

fn merged(a: &CrashHistory, b: &CrashHistory) -> CrashHistory {
    let mut all = a.clone();
    all.merge(b.clone());
    all
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        cases: 4096,
        ..Config::default()
    })]

    #[test]
    fn merges_commute_associate_and_repeat_without_effect(a in entry(), b in entry(), c in entry()) {
        let ab = merged(&a, &b);
        assert_eq!(ab, merged(&b, &a));
        assert_eq!(merged(&ab, &c), merged(&a, &merged(&b, &c)));
        assert_eq!(merged(&ab, &b), ab);
    }
}

/// A ledger where request 1 runs `count` times on an endpoint that crashes.
fn crashed(count: u64, alone: bool) -> SuspectTable {
    let mut ledger = SuspectTable::new(Vm::from("vm0"));
    for boot in 0..count {
        run(&mut ledger, 100 + boot, alone);
        let endpoint = EndpointName::from("e0");
        ledger.run_ended(
            Millis(200),
            RequestId(100 + boot),
            &endpoint,
            RunOutcome::Broken,
        );
        ledger.endpoint_crashed(Millis(200 + boot), &endpoint, boot);
    }
    ledger
}

fn run(ledger: &mut SuspectTable, at: u64, alone: bool) {
    let run = Run {
        id: RequestId(at),
        digest: digest(1),
        endpoint: EndpointName::from("e0"),
        alone,
    };
    ledger.run_started(Millis(at), run);
}

#[test]
fn a_crash_makes_a_suspect_and_a_second_one_alone_bars_it() {
    let now = Millis(300);
    let vms = [Vm::from("vm0")];
    let suspect = crashed(1, false);
    let home = vms[0].clone();
    assert_eq!(
        suspect.plan(now, &digest(1), &vms),
        RunPlan::WithPermit { home }
    );
    assert_eq!(suspect.plan(now, &digest(2), &vms), RunPlan::Shared);
    let plan = crashed(1, true).plan(now, &digest(1), &vms);
    let failure = plan.failure(now).expect("barred");
    assert_eq!((failure.code, failure.ran), (Code::RequestBarred, Ran::No));
    assert!(matches!(
        crashed(2, false).status(now, &digest(1)),
        SuspectStatus::Suspect
    ));
    assert!(matches!(
        crashed(3, false).status(now, &digest(1)),
        SuspectStatus::Barred(_)
    ));
}

#[test]
fn a_completed_run_clears_what_was_before_it_but_no_crash_alone() {
    let endpoint = EndpointName::from("e0");
    for (start, alone, clear) in [(300, false, true), (150, false, false), (300, true, false)] {
        let mut ledger = crashed(1, alone);
        run(&mut ledger, start, true);
        ledger.run_ended(
            Millis(400),
            RequestId(start),
            &endpoint,
            RunOutcome::Completed,
        );
        let standing = ledger.status(Millis(400), &digest(1));
        assert_eq!(standing == SuspectStatus::Clear, clear, "{start} {alone}");
    }
}

#[test]
fn a_permit_is_out_once_and_comes_back() {
    let now = Millis(300);
    let mut home = crashed(1, false);
    let ask = |id| home_ask(&crashed(1, false), id);
    assert!(matches!(
        home.answer_request(now, ask(1)),
        PermitReply::Alone { .. }
    ));
    assert!(
        matches!(home.answer_request(now, ask(1)), PermitReply::Alone { .. }),
        "asked again"
    );
    assert!(matches!(
        home.answer_request(now, ask(2)),
        PermitReply::Busy { .. }
    ));
    let done = crashed(1, false).permit_return(&digest(1));
    home.accept_return(now, done);
    assert!(matches!(
        home.answer_request(now, ask(2)),
        PermitReply::Alone { .. }
    ));
    home.accept_return(now, crashed(1, true).permit_return(&digest(1)));
    assert!(matches!(
        home.answer_request(now, ask(3)),
        PermitReply::Barred { .. }
    ));
}

fn home_ask(ledger: &SuspectTable, id: u64) -> PermitRequest {
    ledger.permit_request(RequestId(id), &digest(1))
}

#[test]
fn suspects_and_bars_end() {
    let mut ledger = crashed(1, true);
    let last = Millis(200);
    assert_ne!(
        ledger.status(last + BAR_TTL - Millis(1), &digest(1)),
        SuspectStatus::Clear
    );
    assert_eq!(
        ledger.status(last + BAR_TTL, &digest(1)),
        SuspectStatus::Clear
    );
    ledger.expire(last + BAR_TTL);
    assert!(ledger.is_empty());
    let suspect = crashed(1, false);
    assert_eq!(
        suspect.status(last + SUSPECT_TTL, &digest(1)),
        SuspectStatus::Clear
    );
}

#[test]
fn a_ledger_is_bounded_and_its_notes_are() {
    let mut ledger = SuspectTable::new(Vm::from("vm0"));
    let count = ENTRY_LIMIT as u32 + 100;
    for content in 0..count {
        let mut entry = CrashHistory::default();
        entry.add(incident(0, 0, u64::from(content), false));
        let digest = digest(content);
        let records = vec![SuspectRecord { digest, entry }];
        ledger.merge(Millis(2000), SuspectGossip { records });
    }
    assert_eq!(ledger.len(), ENTRY_LIMIT);
    assert_eq!(
        ledger.status(Millis(2000), &digest(0)),
        SuspectStatus::Clear
    );
    assert_eq!(
        ledger.status(Millis(2000), &digest(count - 1)),
        SuspectStatus::Suspect
    );
    while let Some(note) = ledger.next_news() {
        assert!(note.records.len() <= GOSSIP_LIMIT);
    }
    let mut seen = BTreeSet::new();
    while let Some(note) = ledger.next_repeat() {
        assert!(note.records.len() <= GOSSIP_LIMIT);
        seen.extend(note.records.into_iter().map(|record| record.digest));
    }
    assert_eq!(seen.len(), ENTRY_LIMIT, "all are repeated in turn");
}

#[test]
fn a_record_from_the_far_future_is_ignored() {
    let mut ledger = SuspectTable::new(Vm::from("vm0"));
    let mut entry = CrashHistory::default();
    entry.clear(Millis::seconds(3600));
    let digest = digest(1);
    let records = vec![SuspectRecord { digest, entry }];
    ledger.merge(Millis(0), SuspectGossip { records });
    assert!(ledger.is_empty());
}

#[test]
fn digests_survive_their_text() {
    let text = digest(1).to_string();
    assert_eq!(text.parse(), Ok(digest(1)));
    for wrong in [
        &text[1..],
        &text.replace(|c: char| c.is_ascii_digit(), "x"),
        "",
    ] {
        assert!(wrong.parse::<RequestDigest>().is_err());
    }
}
