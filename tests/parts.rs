//! The parts of prompts that crash endpoints: the verdict from crashes and surviving runs, and its
//! exchange between VMs.

use cornelwharf::clock::Millis;
use cornelwharf::core::poison::CLEAR_VERDICT;
use cornelwharf::core::poison::PartCrash;
use cornelwharf::core::poison::PartDigest;
use cornelwharf::core::poison::PartTable;
use cornelwharf::core::poison::RequestDigest;
use cornelwharf::core::poison::Run;
use cornelwharf::core::poison::RunOutcome;
use cornelwharf::core::poison::SuspectTable;
use cornelwharf::core::poison::TIED_VERDICT;
use cornelwharf::core::session::RequestId;
use cornelwharf::names::EndpointName;
use cornelwharf::names::Vm;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

const START: Millis = Millis::seconds(1000);
const SECOND: Millis = Millis::seconds(1);

fn part(id: &str) -> PartDigest {
    PartDigest::of(&"pool".into(), id)
}

fn parts(ids: &[&str]) -> Vec<PartDigest> {
    ids.iter().map(|id| part(id)).collect()
}

fn crash(at: Millis, boot: u64) -> PartCrash {
    PartCrash {
        at,
        endpoint: format!("e{}", boot % 4).as_str().into(),
        boot,
    }
}

/// Records a crash under requests with these parts.
fn record(table: &mut PartTable, at: Millis, boot: u64, requests: &[&[&str]]) {
    for request in requests {
        table.record_crash(at, &parts(request), &crash(at, boot));
    }
}

fn is_barred(table: &PartTable, now: Millis, id: &str) -> bool {
    table.barred_for(now, part(id)).is_some()
}

#[test]
fn a_part_present_at_three_crashes_is_barred_and_those_beside_it_are_not() {
    let mut table = PartTable::default();
    table.record_survival(START, &parts(&["shared"]));
    for turn in 0..CLEAR_VERDICT as u64 {
        let at = START + Millis(300 * turn);
        let other = format!("subject{turn}");
        record(
            &mut table,
            at,
            turn,
            &[&["shared", "guilty"], &["shared", &other]],
        );
    }
    let now = START + SECOND;
    assert!(is_barred(&table, now, "guilty"));
    assert!(!is_barred(&table, now, "shared"));
    assert!(!is_barred(&table, now, "subject0"));
    assert!(table.explains("e0", 0));
}

#[test]
fn a_harmless_part_present_at_as_many_crashes_is_cleared_by_a_run_that_goes_on() {
    let mut table = PartTable::default();
    for turn in 0..TIED_VERDICT as u64 {
        let at = START + Millis(300 * turn);
        let both: &[&[&str]] = &[&["shared", "guilty"]];
        record(&mut table, at, turn, both);
        let is_last = turn + 1 == TIED_VERDICT as u64;
        assert_eq!(is_barred(&table, at, "guilty"), is_last, "crash {turn}");
    }
    let now = START + Millis::seconds(2);
    assert!(is_barred(&table, now, "shared"), "not told apart yet");
    table.record_survival(now, &parts(&["shared", "subject"]));
    assert!(!is_barred(&table, now, "shared"));
    assert!(is_barred(&table, now, "guilty"));
}

#[test]
fn an_uncertain_bar_allows_two_trials_and_a_certain_one_none() {
    let mut table = PartTable::default();
    for turn in 0..TIED_VERDICT as u64 {
        let both: &[&[&str]] = &[&["shared", "guilty"]];
        record(&mut table, START, turn, both);
    }
    let mut trials = 0;
    for second in 0..60 {
        let now = START + Millis::seconds(second);
        trials += u32::from(table.begin_trial(now, part("shared")));
    }
    assert_eq!(trials, 2);
    let mut table = PartTable::default();
    for turn in 0..TIED_VERDICT as u64 {
        record(&mut table, START, turn, &[&["guilty"]]);
    }
    assert!(!table.begin_trial(START + Millis::seconds(10), part("guilty")));
}

#[test]
fn a_trial_that_reached_no_endpoint_is_made_again_after_the_usual_pause() {
    let mut table = PartTable::default();
    for turn in 0..TIED_VERDICT as u64 {
        record(&mut table, START, turn, &[&["shared", "guilty"]]);
    }
    let mut trials = 0;
    for second in 0..60 {
        let now = START + Millis::seconds(second);
        if table.begin_trial(now, part("shared")) {
            trials += 1;
            if trials == 1 {
                table.return_trial(part("shared"));
                assert!(!table.begin_trial(now, part("shared")));
            }
        }
    }
    assert_eq!(trials, 3);
}

#[test]
fn a_part_that_was_harmless_before_is_barred_if_nothing_else_explains_the_crashes() {
    let mut table = PartTable::default();
    table.record_survival(START, &parts(&["once-good"]));
    let later = START + Millis::seconds(60);
    for turn in 0..TIED_VERDICT as u64 {
        table.record_survival(later, &parts(&["shared"]));
        record(&mut table, later, turn, &[&["shared", "once-good"]]);
    }
    assert!(is_barred(&table, later, "once-good"));
    assert!(!is_barred(&table, later, "shared"));
}

#[test]
fn two_guilty_parts_at_once_are_both_barred() {
    let mut table = PartTable::default();
    table.record_survival(START, &parts(&["shared"]));
    for turn in 0..12 {
        let at = START + Millis(200 * turn);
        let guilty: &[&str] = if turn % 3 == 0 {
            &["shared", "guilty1"]
        } else {
            &["shared", "guilty2"]
        };
        let other = format!("subject{turn}");
        record(&mut table, at, turn, &[guilty, &["shared", &other]]);
    }
    let now = START + Millis::seconds(3);
    assert!(is_barred(&table, now, "guilty1") && is_barred(&table, now, "guilty2"));
    assert!((0..12).all(|turn| !is_barred(&table, now, &format!("subject{turn}"))));
}

#[test]
fn a_bar_ends_and_is_kept_although_many_suspects_follow() {
    let mut table = PartTable::default();
    for turn in 0..CLEAR_VERDICT as u64 {
        record(&mut table, START, turn, &[&["guilty"]]);
    }
    for turn in 0..4096 {
        let other = format!("subject{turn}");
        record(&mut table, START + SECOND, 100 + turn, &[&[&other]]);
    }
    assert!(is_barred(&table, START + SECOND, "guilty"));
    let end = START + Millis::seconds(60 * 60);
    table.expire(end);
    assert!(!is_barred(&table, end, "guilty"));
    assert_eq!(table.take_changes().begun, Vec::new());
}

/// The users' bound on what reaches every VM.
const CONTACT_SPAN: Millis = Millis::seconds(3);
const VMS: usize = 15;

/// Fifteen VMs that exchange records as the daemons do: every 40 ms each VM with news sends them to
/// three others, of which one in five loses them.
struct Fleet {
    tables: Vec<PartTable>,
    rng: ChaCha8Rng,
    now: Millis,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            tables: (0..VMS).map(|_| PartTable::default()).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START,
        }
    }

    fn run_for(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += Millis(40);
            for vm in 0..VMS {
                let is_due = self.tables[vm].has_news() || self.rng.random_bool(0.13);
                if !is_due {
                    continue;
                }
                let records = self.tables[vm].next_records(6);
                for _ in 0..3 {
                    let to = self.rng.random_range(0..VMS);
                    if to != vm && !self.rng.random_bool(0.2) {
                        self.tables[to].merge(self.now, records.clone());
                    }
                }
            }
        }
    }

    /// Crashes an endpoint under one guilty request and `beside` harmless ones that had just begun,
    /// each on a random VM. The harmless ones have popular subjects, which come at crash after crash.
    fn crash(&mut self, boot: u64, beside: usize) {
        let crash = crash(self.now, boot);
        let subjects: Vec<String> = (0..60).map(|subject| format!("subject{subject}")).collect();
        let mut requests = vec![parts(&["shared", "guilty"])];
        for _ in 0..beside {
            let subject = subjects.choose(&mut self.rng).expect("a subject");
            requests.push(parts(&["shared", subject]));
        }
        for request in requests {
            let vm = self.rng.random_range(0..VMS);
            self.tables[vm].record_crash(self.now, &request, &crash);
        }
    }
}

#[test]
fn every_vm_bars_the_guilty_part_in_time_and_no_other_although_no_run_survives() {
    for seed in 0..60 {
        let mut fleet = Fleet::new(seed);
        for table in &mut fleet.tables {
            table.record_survival(START, &parts(&["shared"]));
        }
        for boot in 0..TIED_VERDICT as u64 {
            let beside = fleet.rng.random_range(5..35);
            fleet.crash(boot, beside);
            let span = Millis(fleet.rng.random_range(50..600));
            fleet.run_for(span);
        }
        fleet.run_for(SECOND);
        // A subject that was present at all five crashes too is told apart by its trial.
        let barred: Vec<PartDigest> = fleet.tables[0].barred().collect();
        for tried in barred.into_iter().filter(|tried| *tried != part("guilty")) {
            assert!(fleet.tables[0].begin_trial(fleet.now, tried), "seed {seed}");
            fleet.tables[0].record_survival(fleet.now, &[tried]);
        }
        fleet.run_for(CONTACT_SPAN - SECOND);
        for (vm, table) in fleet.tables.iter().enumerate() {
            let barred: Vec<PartDigest> = table.barred().collect();
            assert_eq!(barred, [part("guilty")], "seed {seed}, vm {vm}");
        }
    }
}

/// Returns a prompt of 16 tokens that all share, 32 of this kind, and 40 of its own.
fn prompt(kind: u32, own: u32) -> Vec<u32> {
    let shared = 0..16;
    let kind = (0..32).map(|token| 1000 * kind + token);
    let own = (0..40).map(|token| 1_000_000 + 100 * own + token);
    shared.chain(kind).chain(own).collect()
}

#[test]
fn prompts_that_share_a_prefix_that_crashes_endpoints_are_barred_on_every_vm() {
    const GUILTY: u32 = 1;
    const HARMLESS: u32 = 2;
    let service = "model".into();
    let vms: Vec<Vm> = ["vm0", "vm1", "vm2"].map(Vm::from).to_vec();
    let mut tables: Vec<SuspectTable> = vms.iter().cloned().map(SuspectTable::new).collect();
    let mut serial = 0;
    let mut begin = |table: &mut SuspectTable, now, endpoint: &EndpointName, kind| {
        serial += 1;
        let prompt = prompt(kind, serial);
        let run = Run {
            id: RequestId(u64::from(serial)),
            digest: RequestDigest::of(&service, &prompt),
            parts: PartDigest::prefixes(&service, &prompt).into(),
            endpoint: endpoint.clone(),
            alone: false,
        };
        let id = run.id;
        table.run_started(now, run);
        id
    };
    let mut now = START;
    for turn in 0..TIED_VERDICT {
        now += SECOND;
        let endpoint = EndpointName::from(format!("e{turn}").as_str());
        let other = EndpointName::from("other");
        let table = &mut tables[turn % 3];
        let id = begin(table, now, &other, HARMLESS);
        table.run_ended(now, id, &other, RunOutcome::Completed);
        begin(table, now, &endpoint, GUILTY);
        begin(table, now, &endpoint, HARMLESS);
        table.endpoint_crashed(now, &endpoint, 1);
        for _ in 0..3 {
            for from in 0..3 {
                let records = tables[from].parts().next_records(64);
                for table in &mut tables {
                    table.parts().merge(now, records.clone());
                }
            }
        }
    }
    now += Millis::seconds(10);
    for (vm, table) in tables.iter_mut().enumerate() {
        let mut is_barred = |kind| {
            let parts = PartDigest::prefixes(&service, &prompt(kind, 999));
            let mut parts = parts.into_iter();
            parts.any(|part| table.parts().barred_for(now, part).is_some())
        };
        assert!(is_barred(GUILTY), "vm {vm}");
        assert!(!is_barred(HARMLESS), "vm {vm}");
        let harmless = PartDigest::prefixes(&service, &prompt(HARMLESS, 999));
        assert_eq!(table.find_barred_part(now, &harmless, &vms), None);
    }
}
