//! Simulates several VMs that exchange suspects over a network that delays and loses messages,
//! and checks that one request crashes a bounded number of endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

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

/// The guaranteed maximum of endpoints that requests of the same content may crash.
const ENDPOINT_BOUND: usize = 3;
const VMS: usize = 5;
const ENDPOINTS: usize = 12;
/// The number of different requests that never crash an endpoint.
const HARMLESS_REQUESTS: u32 = 6;
/// How long the callers send requests.
const SEND_PHASE_MS: u64 = 4000;
/// How long the VMs then have to reach the same state.
const SETTLE_PHASE_MS: u64 = 4000;
const STEP_MS: u64 = 10;
const GOSSIP_INTERVAL_MS: u64 = 50;
/// The number of simulations, each with its own seed, per network condition.
const RUNS: u64 = 10;

fn digest(content: u32) -> RequestDigest {
    RequestDigest::of(&ServiceName::from("assistant"), &[content])
}

/// The request that crashes every endpoint when its run ends.
fn poison() -> RequestDigest {
    digest(0)
}

#[derive(Clone, Debug)]
enum Message {
    Gossip(SuspectGossip),
    Request(PermitRequest),
    Reply {
        reply: PermitReply,
        request: PermitRequest,
        home: usize,
    },
    Return(PermitReturn),
}

#[derive(Clone, Debug)]
struct Job {
    /// The VM that sent the request.
    vm: usize,
    id: RequestId,
    digest: RequestDigest,
    /// The VM that granted the permit, `None` if none was needed.
    home: Option<usize>,
    /// When the run ends.
    end: u64,
}

/// How callers send the poison request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Calls {
    /// To every VM, at every step.
    EveryVm,
    /// To one VM after the other, every 150 ms.
    OneByOne,
}

#[derive(Default)]
struct Endpoint {
    boot: u64,
    jobs: Vec<Job>,
    /// When the endpoint is up again after its last crash.
    up: u64,
    /// Whether the endpoint runs a suspect alone.
    reserved: bool,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: u64,
    calls: Calls,
    /// The probability that a message is lost.
    loss: f64,
    /// The maximum delay of a message, in ms.
    delay: u64,
    names: Vec<EndpointName>,
    hashes: Vec<NodeHash>,
    vms: Vec<Vm>,
    tables: Vec<SuspectTable>,
    endpoints: Vec<Endpoint>,
    /// When each message arrives, at which VM.
    in_transit: Vec<(u64, usize, Message)>,
    serial: u64,
    /// The endpoints that the poison request crashed, and how often.
    crashes: BTreeMap<EndpointName, u32>,
    /// The number of runs that completed.
    completed: u32,
}

impl Simulation {
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
            hashes: names.iter().map(|name| NodeHash::of(name)).collect(),
            names,
            tables: vms.iter().cloned().map(SuspectTable::new).collect(),
            vms,
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            in_transit: Vec::new(),
            serial: 0,
            crashes: BTreeMap::new(),
            completed: 0,
        }
    }

    fn run(&mut self) {
        while self.now < SEND_PHASE_MS + SETTLE_PHASE_MS {
            self.now += STEP_MS;
            if self.now < SEND_PHASE_MS {
                self.send_requests();
            }
            self.deliver();
            self.finish_jobs();
            if self.now.is_multiple_of(GOSSIP_INTERVAL_MS) {
                self.send_gossip();
            }
        }
    }

    fn send_requests(&mut self) {
        for vm in 0..VMS {
            if self.calls == Calls::EveryVm {
                self.request(vm, poison());
            }
            let content = self.rng.random_range(1..=HARMLESS_REQUESTS);
            self.request(vm, digest(content));
        }
        if self.calls == Calls::OneByOne && self.now.is_multiple_of(150) {
            let vm = self.now / 150 % VMS as u64;
            self.request(vm as usize, poison());
        }
    }

    /// Lost gossip is not sent again; the messages about permits are calls, which are retried until
    /// they arrive, unless all messages are lost.
    fn send(&mut self, to: usize, message: Message) {
        let mut at = self.now + self.rng.random_range(1..=self.delay);
        while self.rng.random_bool(self.loss) {
            if matches!(message, Message::Gossip(_)) || self.loss > 0.99 {
                return;
            }
            at += 200;
        }
        self.in_transit.push((at, to, message));
    }

    fn request(&mut self, vm: usize, digest: RequestDigest) {
        match self.tables[vm].plan(Millis(self.now), &digest, &self.vms) {
            RunPlan::Shared => self.begin(vm, digest, None),
            RunPlan::WithPermit { home } => {
                self.serial += 1;
                let request = self.tables[vm].permit_request(RequestId(self.serial), &digest);
                let home = self.vms.iter().position(|vm| *vm == home).expect("live");
                self.send(home, Message::Request(request));
            }
            RunPlan::Barred { .. } => {}
        }
    }

    /// Runs a request on an endpoint of its shortlist, alone if it has a permit of `home`.
    fn begin(&mut self, vm: usize, digest: RequestDigest, home: Option<usize>) {
        let range = self.names.iter().zip(self.hashes.iter().copied());
        let listed = shortlist(&digest, range);
        let fits = |i: &usize| {
            let endpoint = &self.endpoints[*i];
            let free = home.is_none() || endpoint.jobs.is_empty();
            listed.contains(&&self.names[*i])
                && endpoint.up <= self.now
                && !endpoint.reserved
                && free
        };
        let fitting: Vec<usize> = (0..ENDPOINTS).filter(fits).collect();
        if fitting.is_empty() {
            return self.return_permit(vm, &digest, home);
        }
        let at = fitting[self.rng.random_range(0..fitting.len())];
        self.serial += 1;
        let id = RequestId(self.serial);
        let run = Run {
            id,
            digest,
            parts: Arc::from([]),
            endpoint: self.names[at].clone(),
            alone: home.is_some(),
        };
        self.tables[vm].run_started(Millis(self.now), run);
        let end = self.now + self.rng.random_range(20..100);
        self.endpoints[at].reserved = home.is_some();
        self.endpoints[at].jobs.push(Job {
            vm,
            id,
            digest,
            home,
            end,
        });
    }

    fn return_permit(&mut self, vm: usize, digest: &RequestDigest, home: Option<usize>) {
        if let Some(home) = home {
            let returned = self.tables[vm].permit_return(digest);
            self.send(home, Message::Return(returned));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .in_transit
            .extract_if(.., |(at, _, _)| *at <= now)
            .collect();
        for (_, to, message) in due {
            match message {
                Message::Gossip(gossip) => self.tables[to].merge(Millis(now), gossip),
                Message::Return(returned) => self.tables[to].accept_return(Millis(now), returned),
                Message::Request(request) => {
                    let vm = self
                        .vms
                        .iter()
                        .position(|vm| *vm == request.vm)
                        .expect("live");
                    let reply = self.tables[to].answer_request(Millis(now), request.clone());
                    let home = to;
                    self.send(
                        vm,
                        Message::Reply {
                            reply,
                            request,
                            home,
                        },
                    );
                }
                Message::Reply {
                    reply,
                    request,
                    home,
                } => {
                    if matches!(reply, PermitReply::Alone { .. }) {
                        self.begin(to, request.record.digest, Some(home));
                    }
                }
            }
        }
    }

    fn finish_jobs(&mut self) {
        let now = Millis(self.now);
        for at in 0..ENDPOINTS {
            let name = self.names[at].clone();
            let is_ended = |job: &mut Job| job.end <= now.0;
            let ended: Vec<Job> = self.endpoints[at].jobs.extract_if(.., is_ended).collect();
            let crash = ended.iter().any(|job| job.digest == poison());
            let jobs = if crash {
                *self.crashes.entry(name.clone()).or_default() += 1;
                let rest = std::mem::take(&mut self.endpoints[at].jobs);
                let boot = self.endpoints[at].boot;
                self.endpoints[at].boot += 1;
                self.endpoints[at].up = now.0 + 200;
                let jobs: Vec<Job> = ended.into_iter().chain(rest).collect();
                for job in &jobs {
                    self.tables[job.vm].run_ended(now, job.id, &name, RunOutcome::Broken);
                }
                let seen: BTreeSet<usize> = jobs.iter().map(|job| job.vm).collect();
                for vm in seen {
                    self.tables[vm].endpoint_crashed(now, &name, boot);
                }
                jobs
            } else {
                for job in &ended {
                    self.tables[job.vm].run_ended(now, job.id, &name, RunOutcome::Completed);
                    self.completed += 1;
                }
                ended
            };
            for job in jobs {
                self.endpoints[at].reserved &= job.home.is_none();
                self.return_permit(job.vm, &job.digest, job.home);
            }
        }
    }

    fn send_gossip(&mut self) {
        for vm in 0..VMS {
            let news = self.tables[vm].next_news();
            let repeat = self.tables[vm].next_repeat();
            for gossip in [news, repeat].into_iter().flatten() {
                let to = self.rng.random_range(0..VMS);
                self.send(to, Message::Gossip(gossip));
            }
        }
    }

    fn status(&self, vm: usize, content: u32) -> SuspectStatus {
        self.tables[vm].status(Millis(self.now), &digest(content))
    }
}

#[test]
fn one_request_crashes_at_most_three_endpoints() {
    for calls in [Calls::EveryVm, Calls::OneByOne] {
        for (loss, delay) in [(0.0, 10), (0.1, 50), (0.5, 500), (1.0, 1)] {
            let (mut endpoints, mut crashes, mut suspects, mut barred) = (0, 0, 0, 0);
            for seed in 0..RUNS {
                let mut sim = Simulation::new(seed, calls, loss, delay);
                sim.run();
                assert!(sim.crashes.len() <= ENDPOINT_BOUND, "{:?}", sim.crashes);
                assert!(sim.completed > 0);
                endpoints = endpoints.max(sim.crashes.len());
                crashes = crashes.max(sim.crashes.values().sum());
                for vm in 0..VMS {
                    for content in 1..=HARMLESS_REQUESTS {
                        match sim.status(vm, content) {
                            SuspectStatus::Clear => {}
                            SuspectStatus::Suspect => suspects += 1,
                            SuspectStatus::Barred(_) => barred += 1,
                        }
                    }
                    // If all messages are lost, a VM may not learn of the poison request.
                    let reachable = loss < 1.0;
                    let found = matches!(sim.status(vm, 0), SuspectStatus::Barred(_));
                    assert!(found || !reachable, "{calls:?} {loss} {seed} {vm}");
                }
            }
            assert!(
                loss > 0.99 || suspects + barred == 0,
                "a harmless request is not cleared"
            );
            println!(
                "{calls:?}, loss {loss}, delay {delay} ms, {RUNS} simulations: at most {endpoints} \
                 endpoints and {crashes} crashes; harmless: {suspects} suspects, {barred} barred"
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
    fn merges_are_commutative_associative_and_idempotent(a in entry(), b in entry(), c in entry()) {
        let ab = merged(&a, &b);
        assert_eq!(ab, merged(&b, &a));
        assert_eq!(merged(&ab, &c), merged(&a, &merged(&b, &c)));
        assert_eq!(merged(&ab, &b), ab);
    }
}

/// Returns a table in which request 1 ran `count` times on an endpoint that crashed each time.
fn crashed(count: u64, alone: bool) -> SuspectTable {
    let mut table = SuspectTable::new(Vm::from("vm0"));
    for boot in 0..count {
        run(&mut table, 100 + boot, alone);
        let endpoint = EndpointName::from("e0");
        table.run_ended(
            Millis(200),
            RequestId(100 + boot),
            &endpoint,
            RunOutcome::Broken,
        );
        table.endpoint_crashed(Millis(200 + boot), &endpoint, boot);
    }
    table
}

fn run(table: &mut SuspectTable, at: u64, alone: bool) {
    let run = Run {
        id: RequestId(at),
        digest: digest(1),
        parts: Arc::from([]),
        endpoint: EndpointName::from("e0"),
        alone,
    };
    table.run_started(Millis(at), run);
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
fn a_message_repeats_one_barred_request_and_one_suspect_after_the_news() {
    let mut table = SuspectTable::new(Vm::from("vm0"));
    let now = Millis(300);
    for content in 0..10 {
        let crashes = if content < 2 { 3 } else { 1 };
        for boot in 0..crashes {
            table.record_crash(now, digest(content), incident(0, boot, 200 + boot, false));
        }
    }
    let barred = [digest(0), digest(1)];
    let mut news = Vec::new();
    while table.has_news() {
        let records = table.next_records(now, 4).records;
        assert!(records.len() <= 5, "{}", records.len());
        let bytes = postcard::to_stdvec(&records).expect("encoded").len();
        assert!(bytes <= 1000, "{bytes} bytes");
        news.extend(records.into_iter().map(|record| record.digest));
    }
    assert!((0..10).all(|content| news.contains(&digest(content))));
    let messages: Vec<Vec<RequestDigest>> = (0..10)
        .map(|_| table.next_records(now, 4).records)
        .inspect(|records| assert!(records.len() <= 2))
        .map(|records| records.iter().map(|record| record.digest).collect())
        .collect();
    let repeated: Vec<RequestDigest> = messages.iter().map(|message| message[0]).collect();
    assert!(repeated.iter().all(|digest| barred.contains(digest)));
    assert!(repeated[0] != repeated[1] && repeated[..2] == repeated[2..4]);
    assert!((0..10).all(|content| messages.concat().contains(&digest(content))));
}

#[test]
fn a_bar_is_kept_although_many_suspects_follow() {
    let mut table = SuspectTable::new(Vm::from("vm0"));
    for boot in 0..3 {
        table.record_crash(Millis(200), digest(0), incident(0, boot, 100 + boot, false));
    }
    for content in 1..=2 * ENTRY_LIMIT as u32 {
        let at = 200 + u64::from(content);
        table.record_crash(Millis(at), digest(content), incident(1, at, at, false));
    }
    assert_eq!(table.len(), ENTRY_LIMIT);
    let mut entry = CrashHistory::default();
    for boot in 0..3 {
        entry.add(incident(0, boot, 50 + boot, false));
    }
    let digest_of_peer = digest(5000);
    let record = SuspectRecord {
        digest: digest_of_peer,
        entry,
    };
    let records = vec![record];
    table.merge(Millis(10_000), SuspectGossip { records });
    for content in [digest(0), digest_of_peer] {
        let status = table.status(Millis(10_000), &content);
        assert!(matches!(status, SuspectStatus::Barred(_)), "{status:?}");
    }
}

#[test]
fn a_call_is_recognized_by_team_method_path_and_body_alone() {
    let call = RequestDigest::of_call("red", "POST", "/draft/1?a=b", b"{}");
    assert_eq!(
        call,
        RequestDigest::of_call("red", "POST", "/draft/1?a=b", b"{}")
    );
    for other in [
        RequestDigest::of_call("blue", "POST", "/draft/1?a=b", b"{}"),
        RequestDigest::of_call("red", "GET", "/draft/1?a=b", b"{}"),
        RequestDigest::of_call("red", "POST", "/draft/1", b"{}"),
        RequestDigest::of_call("red", "POST", "/draft/1?a=b", b"{ }"),
        RequestDigest::of_call("redP", "OST", "/draft/1?a=b", b"{}"),
    ] {
        assert_ne!(call, other);
    }
}

#[test]
fn a_completed_run_clears_earlier_crashes_except_those_alone() {
    let endpoint = EndpointName::from("e0");
    for (start, alone, clear) in [(300, false, true), (150, false, false), (300, true, false)] {
        let mut table = crashed(1, alone);
        run(&mut table, start, true);
        table.run_ended(
            Millis(400),
            RequestId(start),
            &endpoint,
            RunOutcome::Completed,
        );
        let status = table.status(Millis(400), &digest(1));
        assert_eq!(status == SuspectStatus::Clear, clear, "{start} {alone}");
    }
}

#[test]
fn a_permit_is_granted_to_one_request_until_it_is_returned() {
    let now = Millis(300);
    let mut home = crashed(1, false);
    let request = |id| home_request(&crashed(1, false), id);
    assert!(matches!(
        home.answer_request(now, request(1)),
        PermitReply::Alone { .. }
    ));
    assert!(
        matches!(
            home.answer_request(now, request(1)),
            PermitReply::Alone { .. }
        ),
        "asked again"
    );
    assert!(matches!(
        home.answer_request(now, request(2)),
        PermitReply::Busy { .. }
    ));
    let returned = crashed(1, false).permit_return(&digest(1));
    home.accept_return(now, returned);
    assert!(matches!(
        home.answer_request(now, request(2)),
        PermitReply::Alone { .. }
    ));
    home.accept_return(now, crashed(1, true).permit_return(&digest(1)));
    assert!(matches!(
        home.answer_request(now, request(3)),
        PermitReply::Barred { .. }
    ));
}

fn home_request(table: &SuspectTable, id: u64) -> PermitRequest {
    table.permit_request(RequestId(id), &digest(1))
}

#[test]
fn suspicion_and_bars_expire() {
    let mut table = crashed(1, true);
    let last = Millis(200);
    assert_ne!(
        table.status(last + BAR_TTL - Millis(1), &digest(1)),
        SuspectStatus::Clear
    );
    assert_eq!(
        table.status(last + BAR_TTL, &digest(1)),
        SuspectStatus::Clear
    );
    table.expire(last + BAR_TTL);
    assert!(table.is_empty());
    let suspect = crashed(1, false);
    assert_eq!(
        suspect.status(last + SUSPECT_TTL, &digest(1)),
        SuspectStatus::Clear
    );
}

#[test]
fn the_table_and_its_messages_are_bounded() {
    let mut table = SuspectTable::new(Vm::from("vm0"));
    let count = ENTRY_LIMIT as u32 + 100;
    for content in 0..count {
        let mut entry = CrashHistory::default();
        entry.add(incident(0, 0, u64::from(content), false));
        let digest = digest(content);
        let records = vec![SuspectRecord { digest, entry }];
        table.merge(Millis(2000), SuspectGossip { records });
    }
    assert_eq!(table.len(), ENTRY_LIMIT);
    assert_eq!(table.status(Millis(2000), &digest(0)), SuspectStatus::Clear);
    assert_eq!(
        table.status(Millis(2000), &digest(count - 1)),
        SuspectStatus::Suspect
    );
    while let Some(gossip) = table.next_news() {
        assert!(gossip.records.len() <= GOSSIP_LIMIT);
    }
    let mut seen = BTreeSet::new();
    while let Some(gossip) = table.next_repeat() {
        assert!(gossip.records.len() <= GOSSIP_LIMIT);
        seen.extend(gossip.records.into_iter().map(|record| record.digest));
    }
    assert_eq!(seen.len(), ENTRY_LIMIT, "all are repeated in turn");
}

#[test]
fn a_record_from_the_far_future_is_ignored() {
    let mut table = SuspectTable::new(Vm::from("vm0"));
    let mut entry = CrashHistory::default();
    entry.clear(Millis::seconds(3600));
    let digest = digest(1);
    let records = vec![SuspectRecord { digest, entry }];
    table.merge(Millis(0), SuspectGossip { records });
    assert!(table.is_empty());
}

#[test]
fn digests_round_trip_through_text() {
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
