//! Paths chosen by hundreds of VMs that have just started and know nothing of each other's load.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::admit::token_capacity;
use cornelwharf::core::pipe::Demand;
use cornelwharf::core::pipe::Engine;
use cornelwharf::core::pipe::Links;
use cornelwharf::core::pipe::Stage;
use cornelwharf::core::pipe::choose_path;
use cornelwharf::core::pipe::count_batches;
use cornelwharf::core::pipe::plan_placement;
use cornelwharf::core::pipe::spread_load;
use cornelwharf::core::site::Card;
use cornelwharf::core::site::Model;
use cornelwharf::names::Domain;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The VMs of the users' large deployment.
const VMS: usize = 195;
/// Its streams a second, and how long one runs.
const STREAMS_PER_S: usize = 335;
const STREAM_TIME: Millis = Millis(2300);
/// The share of the engines' memory that a VM assumes to be in use after its start.
const ASSUMED_USE: f64 = 0.6;
const DEMAND: Demand = Demand {
    prompt: 780.0,
    answer: 140.0,
};

/// The engines of a domain: those with 36, 21.6 and 14.4 GB.
const DOMAINS: [(&str, [usize; 3]); 5] = [
    ("burlington", [2, 19, 27]),
    ("hartford", [2, 32, 15]),
    ("portland", [4, 13, 18]),
    ("providence", [4, 13, 18]),
    ("worcester", [3, 20, 28]),
];
const CARDS: [Card; 3] = [
    Card {
        memory: 36_000.0,
        pace: 3.1,
        read: 3.2,
    },
    Card {
        memory: 21_600.0,
        pace: 16.0,
        read: 8.2,
    },
    Card {
        memory: 14_400.0,
        pace: 15.0,
        read: 15.0,
    },
];

fn model() -> Model {
    Model {
        layers: 80,
        weight: 1750.0,
        token: 459_000.0,
        slots: 192,
        load: Millis::seconds(14),
        step: 0.85,
        sequence: 0.003,
        context: 0.004,
        reading: 252.0,
        activation: 22_900.0,
        pipe: 5600.0,
        delay: 0.25,
        usual: (770.0, 150.0),
        cards: BTreeMap::new(),
    }
}

fn stages() -> Vec<Stage> {
    let mut engines = Vec::new();
    let mut cards = Vec::new();
    for (domain, counts) in DOMAINS {
        for (count, card) in counts.into_iter().zip(CARDS) {
            for _ in 0..count {
                engines.push(Engine {
                    endpoint: format!("e{:03}", engines.len()).as_str().into(),
                    domain: domain.into(),
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

/// What callers get in the first seconds after a start of all VMs.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    streams: usize,
    /// Streams that an engine refused for lack of memory.
    refused: usize,
    /// Steps of paths from one domain to another.
    crossings: usize,
}

/// Plays the streams that a fleet has in progress, all of them begun at once after a start of all
/// VMs. Each VM knows its own streams only.
fn play(is_spread: bool, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let model = model();
    let stages = stages();
    let mut held = vec![0.0; stages.len()];
    let mut own: Vec<BTreeMap<usize, f64>> = vec![BTreeMap::new(); VMS];
    let mut outcome = Outcome::default();
    for _ in 0..STREAMS_PER_S * STREAM_TIME.0 as usize / 1000 {
        let vm = rng.random_range(0..VMS);
        let home: Domain = DOMAINS[vm % DOMAINS.len()].0.into();
        let mut view = stages.clone();
        for (index, stage) in view.iter_mut().enumerate() {
            let cells = model.kv_capacity(stage.card, stage.span.len()).max(1.0);
            let uses = own[vm].get(&index).copied().unwrap_or(0.0);
            let streams = uses / (920.0 * f64::from(stage.span.len()));
            stage.running = streams * VMS as f64;
            stage.memory_use = uses * VMS as f64 / cells;
            stage.penalty = 1.0 + 0.15 * rng.random::<f64>();
            stage.can_lead = stage.running < f64::from(model.slots);
        }
        if is_spread {
            let used = token_capacity(&view, &model) * ASSUMED_USE;
            spread_load(&mut view, &model, used, || rng.random());
        }
        let path = choose_path(&view, &Links::default(), &model, &home, DEMAND).expect("a path");
        outcome.streams += 1;
        let index = |addr: SocketAddr| stages.iter().position(|stage| stage.addr == addr);
        let parts: Vec<(usize, f64)> = path
            .iter()
            .map(|part| {
                let cells = 920.0 * f64::from(part.span.len());
                (index(part.addr).expect("an engine"), cells)
            })
            .collect();
        let fits = parts.iter().all(|(index, cells)| {
            let stage = &stages[*index];
            held[*index] + cells <= model.kv_capacity(stage.card, stage.span.len())
        });
        if !fits {
            outcome.refused += 1;
            continue;
        }
        for (index, cells) in &parts {
            held[*index] += cells;
            *own[vm].entry(*index).or_default() += cells;
        }
        outcome.crossings += parts
            .windows(2)
            .filter(|pair| stages[pair[0].0].domain != stages[pair[1].0].domain)
            .count();
    }
    outcome
}

#[test]
fn vms_that_know_no_load_do_not_all_choose_the_fastest_engines() {
    for seed in 1..=3 {
        let alone = play(false, seed);
        let spread = play(true, seed);
        assert!(alone.refused > alone.streams / 10, "{alone:?}");
        assert!(spread.refused <= spread.streams / 50, "{spread:?}");
        assert!(spread.crossings <= spread.streams / 50, "{spread:?}");
    }
}

#[test]
fn a_fleet_with_little_load_uses_its_fastest_engines() {
    let model = model();
    let mut view = stages();
    let used = token_capacity(&view, &model) / 50.0;
    spread_load(&mut view, &model, used, || 0.99);
    assert!(view.iter().all(|stage| stage.penalty <= 1.0));
}

#[test]
fn a_vm_that_is_late_spends_its_core_on_choices_of_paths() {
    const SEARCH_MS: f64 = 1.2;
    const OTHER_MS: f64 = 2.0;
    const SHARE: f64 = 0.12;
    let play = |batches: &dyn Fn(Millis) -> usize| {
        let mut delay = 0.0_f64;
        for _ in 0..600 {
            let searches = 1 + batches(Millis(delay as u64));
            let work = (OTHER_MS + SEARCH_MS * searches as f64) / SHARE;
            delay = (delay + work - 100.0).max(0.0);
        }
        delay
    };
    assert!(play(&|_| count_batches(100.0, Millis(0))) > 2000.0);
    assert!(play(&|late| count_batches(100.0, late)) <= 100.0);
    assert_eq!(count_batches(100.0, Millis(0)), 8);
    assert_eq!(count_batches(100.0, Millis(10_000)), 1);
    assert_eq!(count_batches(0.0, Millis(0)), 0);
}
