//! A store that comes back from older copies: VMs that read it or each other, endpoints that leave,
//! and leaders that take fencing tokens, in random order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::position::Position;
use cornelwharf::core::roster::Change;
use cornelwharf::core::roster::Entry;
use cornelwharf::core::roster::Roster;
use cornelwharf::names::EndpointName;
use cornelwharf::names::ServiceName;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 10_000;
const STEPS: u64 = 120;
const VMS: usize = 3;
const ENDPOINTS: u64 = 4;

/// A record of the store: the endpoint, and its entry unless it was removed.
type Record = (u64, Option<Entry>);

#[derive(Clone, Debug, Default)]
struct Store {
    era: u64,
    endpoints: Vec<Record>,
    terms: u64,
}

/// The endpoint as it is: when it started, and whether it is leaving.
#[derive(Clone, Copy, Debug, Default)]
struct Truth {
    born: u64,
    is_leaving: bool,
}

#[derive(Clone, Debug, Default)]
struct Vm {
    roster: Roster,
    from: Option<Position>,
    /// The starts of endpoints that this VM has learned to be leaving.
    left: BTreeSet<(u64, u64)>,
}

fn name(endpoint: u64) -> EndpointName {
    format!("e{endpoint}").as_str().into()
}

fn entry(endpoint: u64, truth: Truth) -> Entry {
    Entry {
        endpoint: name(endpoint),
        born: truth.born,
        service: "pool".into(),
        addr: SocketAddr::from(([10, 0, 0, endpoint as u8], 80)),
        domain: "north".into(),
        leaving: truth.is_leaving,
        slots: 1,
        kind: None,
        span: None,
    }
}

impl Vm {
    fn apply(&mut self, now: Millis, change: Change) {
        if let Some(entry) = change.entry.as_ref().filter(|entry| entry.leaving) {
            let endpoint = entry.endpoint.as_str()[1..].parse().expect("a number");
            self.left.insert((endpoint, entry.born));
        }
        self.roster.apply(now, change);
    }

    /// Reads the store like a VM that follows it: new records, or the newest of each key if the era
    /// is another one.
    fn read(&mut self, now: Millis, store: &Store) {
        let end = Position::new(store.era, store.endpoints.len() as u64);
        if self.from.is_some_and(|from| from.era() < store.era) {
            self.roster.record_store_return(now);
        }
        let from = self.from.filter(|from| from.era() == store.era);
        let mut newest: BTreeMap<u64, (u64, Option<Entry>)> = BTreeMap::new();
        for (offset, (endpoint, entry)) in store.endpoints.iter().enumerate() {
            let offset = offset as u64;
            let change = Change {
                endpoint: name(*endpoint),
                offset: Position::new(store.era, offset),
                entry: entry.clone(),
            };
            match from {
                Some(from) if offset >= from.offset() => self.apply(now, change),
                Some(_) => {}
                None => {
                    newest.insert(*endpoint, (offset, entry.clone()));
                }
            }
        }
        if from.is_none() {
            let listed: Vec<EndpointName> = newest.keys().copied().map(name).collect();
            for (endpoint, (offset, entry)) in newest {
                let change = Change {
                    endpoint: name(endpoint),
                    offset: Position::new(store.era, offset),
                    entry,
                };
                self.apply(now, change);
            }
            for gone in self.roster.removals(&listed, end) {
                self.apply(now, gone);
            }
            self.roster.record_full_list(end);
        }
        self.roster.advance(end);
        self.from = Some(end);
    }

    /// Fetches the news of another VM.
    fn fetch(&mut self, now: Millis, other: &Self) {
        if other.roster.end() <= self.roster.end() {
            return;
        }
        let update = other.roster.changes_since(self.roster.end());
        if update.end.era() > self.roster.end().era() {
            self.roster.record_store_return(now);
        }
        let (is_whole, end) = (update.whole, update.end);
        for change in self.roster.expand(update) {
            self.apply(now, change);
        }
        if is_whole {
            self.roster.record_full_list(end);
        }
        self.roster.advance(end);
    }

    fn serving(&self, now: Millis) -> Vec<(u64, u64)> {
        let service = ServiceName::from("pool");
        let list = self.roster.serving(&service, now);
        list.map(|(entry, _, _)| {
            let endpoint = entry.endpoint.as_str()[1..].parse().expect("a number");
            (endpoint, entry.born)
        })
        .collect()
    }
}

fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Millis::seconds(1000);
    let mut store = Store::default();
    let mut truths = [Truth::default(); ENDPOINTS as usize];
    let mut vms = vec![Vm::default(); VMS];
    let mut fences: Vec<u64> = Vec::new();
    for step in 0..STEPS {
        now += Millis(rng.random_range(0..600));
        let endpoint = rng.random_range(0..ENDPOINTS);
        let truth = &mut truths[endpoint as usize];
        let vm = rng.random_range(0..VMS);
        match rng.random_range(0..100) {
            // An endpoint writes its entry, as it does all the time and after a fall.
            0..30 => {
                if truth.born > 0 {
                    store
                        .endpoints
                        .push((endpoint, Some(entry(endpoint, *truth))));
                }
            }
            30..38 => {
                *truth = Truth {
                    born: step + 1,
                    is_leaving: false,
                };
                store
                    .endpoints
                    .push((endpoint, Some(entry(endpoint, *truth))));
            }
            38..46 => {
                if truth.born > 0 {
                    truth.is_leaving = true;
                    store
                        .endpoints
                        .push((endpoint, Some(entry(endpoint, *truth))));
                }
            }
            46..50 => store.endpoints.push((endpoint, None)),
            50..72 => vms[vm].read(now, &store),
            72..88 => {
                let other = vms[rng.random_range(0..VMS)].clone();
                vms[vm].fetch(now, &other);
            }
            88..92 => vms[vm] = Vm::default(),
            92..96 => {
                store.terms += 1;
                let position = Position::new(store.era, store.terms - 1);
                fences.push(position.next().number());
            }
            _ => {
                let kept = rng.random_range(0..=store.endpoints.len());
                store.endpoints.truncate(kept);
                store.terms = rng.random_range(0..=store.terms);
                store.era += 1;
            }
        }
        for vm in &vms {
            for start in vm.serving(now) {
                let (endpoint, born) = start;
                assert!(
                    !vm.left.contains(&start),
                    "seed {seed}, step {step}: endpoint {endpoint} of start {born} left"
                );
            }
        }
        assert!(
            fences.is_sorted_by(|a, b| a < b),
            "seed {seed}, step {step}: fencing tokens do not rise: {fences:?}"
        );
    }
    // The store is at rest. Once the endpoints have written their entries twice, as they do all the
    // time, every VM agrees with the truth.
    now += Millis::seconds(60);
    for _ in 0..2 {
        for (endpoint, truth) in truths.iter().enumerate() {
            let endpoint = endpoint as u64;
            let entry = (truth.born > 0).then(|| entry(endpoint, *truth));
            store.endpoints.push((endpoint, entry));
        }
        for vm in &mut vms {
            vm.read(now, &store);
        }
    }
    let live = truths.iter().enumerate();
    let live = live.filter(|(_, truth)| truth.born > 0 && !truth.is_leaving);
    let live: Vec<(u64, u64)> = live
        .map(|(endpoint, truth)| (endpoint as u64, truth.born))
        .collect();
    for vm in &vms {
        assert_eq!(vm.serving(now), live, "seed {seed}");
    }
}

#[test]
fn no_left_endpoint_gets_work_and_fences_rise_over_falls_of_the_store() {
    for seed in 0..SEEDS {
        play(seed);
    }
}
