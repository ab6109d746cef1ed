//! What VMs know of the load of engines, and the paths that they choose by it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::fleet::Message;
use cornelwharf::core::load::EngineLoad;
use cornelwharf::core::load::Exchange;
use cornelwharf::core::load::LoadMessage;
use cornelwharf::core::load::NameHash;
use cornelwharf::core::load::REPORT_INTERVAL;
use cornelwharf::core::pipe::Demand;
use cornelwharf::core::pipe::Engine;
use cornelwharf::core::pipe::Links;
use cornelwharf::core::pipe::Stage;
use cornelwharf::core::pipe::choose_path;
use cornelwharf::core::pipe::expect_arrivals;
use cornelwharf::core::pipe::plan_placement;
use cornelwharf::core::site::Card;
use cornelwharf::core::site::Model;
use cornelwharf::names::Domain;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const DOMAINS: usize = 3;
const ENGINE: &str = "engine";

/// VMs that exchange loads; each is reached at its index.
struct Net {
    vms: Vec<Exchange<usize>>,
    /// The VMs that are down.
    down: Vec<usize>,
    /// The VMs whose messages are lost.
    mute: Vec<usize>,
    now: Millis,
}

impl Net {
    fn new(count: usize) -> Self {
        let vms = (0..count).map(|index| Exchange::new(NameHash::of(&index.to_string())));
        Self {
            vms: vms.collect(),
            down: Vec::new(),
            mute: Vec::new(),
            now: Millis(1000),
        }
    }

    /// Returns the hubs of a domain: its first two VMs, alive or not.
    fn hubs(domain: usize) -> Vec<usize> {
        vec![domain, domain + DOMAINS]
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += REPORT_INTERVAL;
            for vm in 0..self.vms.len() {
                if self.down.contains(&vm) {
                    continue;
                }
                let domain = vm % DOMAINS;
                let others = (0..DOMAINS).filter(|other| *other != domain);
                let far: Vec<usize> = others.flat_map(Self::hubs).collect();
                let near = Self::hubs(domain);
                let messages = self.vms[vm].next_messages(self.now, &vm, &near, &far, false);
                for (to, message) in messages {
                    if !self.down.contains(&to) && !self.mute.contains(&vm) {
                        self.vms[to].receive(self.now, vm, message);
                    }
                }
            }
        }
    }

    fn running(&self, vm: usize) -> u32 {
        let (load, _) = self.vms[vm].engine(self.now, NameHash::of(ENGINE));
        load.running
    }

    fn begin(&mut self, vm: usize) {
        self.vms[vm].begin_request(NameHash::of(ENGINE), true, 1000);
    }
}

#[test]
fn every_vm_knows_what_all_vms_run_within_a_second() {
    let mut net = Net::new(132);
    for vm in 0..132 {
        net.begin(vm);
    }
    net.run(Millis(1000));
    for vm in 0..132 {
        assert_eq!(net.running(vm), 132, "vm {vm}");
    }
}

#[test]
fn the_requests_of_a_dead_vm_lapse_and_its_hub_is_replaced_within_two_seconds() {
    let mut net = Net::new(30);
    for vm in 0..30 {
        net.begin(vm);
    }
    net.run(Millis(1000));
    net.down = vec![0, 7];
    net.run(Millis(2000));
    for vm in (0..30).filter(|vm| !net.down.contains(vm)) {
        assert_eq!(net.running(vm), 28, "vm {vm}");
    }
}

#[test]
fn a_vm_whose_reports_are_lost_relies_on_its_own_load_and_lapses_elsewhere() {
    let mut net = Net::new(30);
    for vm in 0..30 {
        net.begin(vm);
    }
    net.run(Millis(1000));
    net.mute = vec![20];
    net.run(Millis(4000));
    assert_eq!(net.running(20), 1);
    assert_eq!(net.running(21), 29);
    net.mute.clear();
    net.run(Millis(2000));
    assert_eq!((net.running(20), net.running(21)), (30, 30));
}

#[test]
fn a_vm_that_wakes_with_an_old_view_uses_the_next_report() {
    let mut net = Net::new(30);
    net.begin(5);
    net.run(Millis(1000));
    net.down = vec![20];
    net.vms[5].end_request(NameHash::of(ENGINE), true, 1000);
    net.run(Millis(5000));
    net.down.clear();
    assert_eq!(net.running(20), 0);
    net.run(Millis(1000));
    assert_eq!(net.running(20), 0);
}

#[test]
fn a_hub_that_has_heard_of_no_vm_takes_the_others_for_idle() {
    let mut hub = Exchange::new(NameHash::of("hub"));
    let now = Millis(1000);
    hub.next_messages(now, &1, &[1], &[], false);
    assert_eq!(hub.age(now), None);
    let mut other = Exchange::new(NameHash::of("vm"));
    for (_, message) in other.next_messages(now, &2, &[1], &[], false) {
        hub.receive(now, 2, message);
    }
    hub.next_messages(now, &1, &[1], &[], false);
    assert_eq!(hub.age(now), Some(Millis(0)));
}

#[test]
fn a_vm_that_is_alone_waits_for_the_load_of_others() {
    let mut only = Exchange::new(NameHash::of("vm"));
    only.next_messages(Millis(1000), &1, &[1], &[], true);
    assert_eq!(only.age(Millis(1000)), Some(Millis(0)));
}

#[test]
fn a_vm_of_an_earlier_release_drops_messages_on_load() {
    let mut exchange = Exchange::new(NameHash::of("vm-1"));
    exchange.begin_request(NameHash::of(ENGINE), true, 900);
    let messages = exchange.next_messages(Millis(1000), &1, &[2], &[], false);
    for (_, message) in messages {
        let bytes = message.encode().expect("encoded");
        assert!(postcard::take_from_bytes::<Message>(&bytes).is_err());
        let decoded = LoadMessage::decode(&bytes).expect("a message on load");
        assert_eq!(decoded.expect("decoded"), message);
    }
}

fn model() -> Model {
    Model {
        layers: 80,
        weight: 1750.0,
        token: 590_000.0,
        slots: 192,
        load: Millis::seconds(14),
        step: 1.02,
        sequence: 0.004_59,
        context: 0.006_15,
        reading: 164.0,
        activation: 29_500.0,
        pipe: 11_000.0,
        delay: 0.3,
        usual: (730.0, 220.0),
        cards: BTreeMap::new(),
    }
}

/// Returns the engines of three domains with cards of three kinds, all layers placed.
fn stages() -> Vec<Stage> {
    let card = |memory, pace, read| Card { memory, pace, read };
    let kinds = [
        card(72_000.0, 2.4, 3.2),
        card(43_200.0, 5.6, 2.7),
        card(21_600.0, 16.0, 8.2),
    ];
    let counts = [[4, 6, 14], [2, 9, 22], [2, 15, 12]];
    let mut engines = Vec::new();
    let mut cards = Vec::new();
    for (domain, counts) in counts.into_iter().enumerate() {
        for (count, card) in counts.into_iter().zip(kinds) {
            for _ in 0..count {
                engines.push(Engine {
                    endpoint: format!("e{:03}", engines.len()).as_str().into(),
                    domain: format!("d{domain}").as_str().into(),
                    memory: card.memory,
                    pace: card.pace,
                    span: None,
                });
                cards.push(card);
            }
        }
    }
    let plan = plan_placement(&engines, &model());
    let placed = engines.into_iter().zip(cards).enumerate();
    placed
        .map(|(index, (engine, card))| Stage {
            addr: SocketAddr::from(([10, 0, 0, index as u8], 80)),
            span: plan[&engine.endpoint],
            endpoint: engine.endpoint,
            domain: engine.domain,
            card,
            running: 0.0,
            memory_use: 0.0,
            penalty: 1.0,
            can_lead: true,
            is_warm: false,
        })
        .collect()
}

/// What streams get whose VMs choose by views of an age.
#[derive(Debug, Default)]
struct Outcome {
    streams: usize,
    /// Streams for which an engine of their path had no memory.
    overflows: usize,
    /// The streams that began at each engine.
    first: BTreeMap<usize, usize>,
}

/// Plays 290 streams a second for 8 s: every VM knows what ran on each engine `age` ago, and what it
/// sent there since, which with 132 VMs is next to nothing.
fn play(age: Millis, seed: u64) -> Outcome {
    const STREAMS_PER_S: u64 = 290;
    const SPAN_MS: u64 = 6000;
    let model = model();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let stages = stages();
    let index_of: BTreeMap<SocketAddr, usize> = stages
        .iter()
        .enumerate()
        .map(|(i, s)| (s.addr, i))
        .collect();
    let mut loads = vec![EngineLoad::default(); stages.len()];
    let mut history: Vec<(u64, Vec<EngineLoad>)> = Vec::new();
    let mut ends: BTreeMap<(u64, u64), Vec<(usize, u64)>> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let mut begin: f64 = 0.0;
    for stream in 0.. {
        // Callers arrive ever faster for 2 s, then at the full rate.
        begin += 1000.0 / STREAMS_PER_S as f64 * (2000.0 / (begin + 100.0)).max(1.0);
        let now = begin as u64;
        if now > SPAN_MS {
            break;
        }
        while let Some(((at, _), _)) = ends.first_key_value()
            && *at <= now
        {
            let (_, parts) = ends.pop_first().expect("an end");
            for (index, cells) in parts {
                loads[index].running -= 1;
                loads[index].cells -= cells;
            }
        }
        history.push((now, loads.clone()));
        let known = history.iter().rev().find(|(at, _)| at + age.0 <= now);
        let mut view = stages.clone();
        for (index, stage) in view.iter_mut().enumerate() {
            let load = known.map_or(EngineLoad::default(), |(_, loads)| loads[index]);
            let capacity = model.kv_capacity(stage.card, stage.span.len());
            stage.running = f64::from(load.running);
            stage.memory_use = load.cells as f64 / capacity;
            stage.penalty = 1.0 + 0.15 * rng.random::<f64>();
        }
        let arrivals = age.0 as f64 / 1500.0;
        expect_arrivals(
            &mut view,
            &Links::default(),
            &model,
            arrivals,
            Millis(0),
            || rng.random(),
        );
        let answer = 220.0 * rng.random_range(0.2..1.8);
        let demand = Demand {
            prompt: 730.0,
            answer,
        };
        let home = Domain::from(format!("d{}", rng.random_range(0..DOMAINS)).as_str());
        let Some(path) = choose_path(&view, &Links::default(), &model, &home, demand) else {
            continue;
        };
        outcome.streams += 1;
        let mut time = 100.0;
        let mut parts = Vec::new();
        let mut fits = true;
        for part in &path {
            let index = index_of[&part.addr];
            let stage = &stages[index];
            let cells = ((730.0 + answer) * f64::from(part.span.len())) as u64;
            loads[index].running += 1;
            loads[index].cells += cells;
            let capacity = model.kv_capacity(stage.card, stage.span.len());
            fits &= loads[index].cells as f64 <= capacity;
            let share = f64::from(part.span.len()) / 80.0;
            let step = model.step + 0.0105 * f64::from(loads[index].running);
            time += (share * stage.card.pace * step + 0.4) * answer;
            parts.push((index, cells));
        }
        outcome.overflows += usize::from(!fits);
        *outcome.first.entry(index_of[&path[0].addr]).or_default() += 1;
        ends.insert((now + time as u64, stream), parts);
    }
    outcome
}

#[test]
fn engines_run_out_of_memory_though_the_fleet_has_room() {
    let ages = [200, 500, 1000, 2000];
    let shares = ages.map(|age| {
        let outcome = play(Millis(age), age);
        outcome.overflows as f64 / outcome.streams as f64
    });
    assert!(shares.iter().all(|share| *share <= 0.005), "{shares:?}");
}

#[test]
fn one_first_engine_gets_more_than_twice_the_mean_of_its_kind() {
    let stages = stages();
    let outcome = play(Millis(500), 1);
    let mut kinds: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for (index, stage) in stages.iter().enumerate() {
        if stage.span.from == 0 {
            let count = outcome.first.get(&index).copied().unwrap_or(0);
            kinds
                .entry(stage.card.pace.to_bits())
                .or_default()
                .push(count);
        }
    }
    for counts in kinds.values() {
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        let most = counts.iter().copied().max().unwrap_or(0) as f64;
        assert!(most <= 2.0 * mean.max(10.0), "{kinds:?}");
    }
}
