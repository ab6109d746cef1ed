//! Measures the processor time of one choice of a path, by the number of engines and domains and the state of
//! the links between these. Prints the table for docs/CAPACITY.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cornelwharf::clock::Millis;
use cornelwharf::core::pipe::Demand;
use cornelwharf::core::pipe::Engine;
use cornelwharf::core::pipe::Links;
use cornelwharf::core::pipe::Stage;
use cornelwharf::core::pipe::Unseen;
use cornelwharf::core::pipe::choose_path;
use cornelwharf::core::pipe::expect_arrivals;
use cornelwharf::core::pipe::plan_placement;
use cornelwharf::core::site::Card;
use cornelwharf::core::site::Model;
use cornelwharf::names::Domain;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SIZES: [usize; 4] = [41, 86, 218, 2660];
const DOMAINS: [usize; 3] = [1, 3, 5];
const DEMAND: Demand = Demand {
    prompt: 760.0,
    answer: 140.0,
};
/// The share of the requests in progress that ended and began since the loads were reported.
const TURNOVER: f64 = 0.1;
/// How long each row is measured, and for how many choices at least.
const SPAN: Duration = Duration::from_millis(300);
const MIN_CHOICES: usize = 3;
/// Every how many engines one has the first and the second card; the others have the third.
const CARD_STEPS: [usize; 2] = [15, 2];
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
        token: 459e3,
        slots: 192,
        load: Millis::seconds(14),
        step: 0.85,
        sequence: 0.003,
        context: 0.004,
        reading: 252.0,
        activation: 22_900.0,
        pipe: 5_600.0,
        delay: 0.25,
        usual: (DEMAND.prompt, DEMAND.answer),
        cards: BTreeMap::new(),
    }
}

fn card(index: usize) -> Card {
    let [first, second] = CARD_STEPS;
    if index.is_multiple_of(first) {
        CARDS[0]
    } else if index.is_multiple_of(second) {
        CARDS[1]
    } else {
        CARDS[2]
    }
}

/// Returns engines with the layers that the placement gives them, each under load.
fn stages(count: usize, domains: usize, model: &Model, rng: &mut ChaCha8Rng) -> Vec<Stage> {
    let engine = |index: usize| Engine {
        endpoint: format!("i-{index:010x}").as_str().into(),
        domain: format!("zone-{}", index / 7 % domains).as_str().into(),
        memory: card(index).memory,
        pace: card(index).pace,
        span: None,
    };
    let engines: Vec<Engine> = (0..count).map(engine).collect();
    let plan = plan_placement(&engines, model);
    let placed = engines.into_iter().enumerate();
    let stage = |(index, engine): (usize, Engine)| Stage {
        span: plan[&engine.endpoint],
        endpoint: engine.endpoint,
        addr: SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 80)),
        domain: engine.domain,
        card: card(index),
        running: rng.random_range(5.0..15.0),
        memory_use: rng.random_range(0.2..0.6),
        penalty: 1.0,
        can_lead: true,
        is_warm: false,
    };
    placed.map(stage).collect()
}

/// Returns the links, all in the same state: closed ones carry more than they can.
fn links(stages: &[Stage], model: &Model, state: &str) -> Links {
    if state == "unknown" {
        return Links::unknown();
    }
    let tokens = if state == "closed" { 1_000_000 } else { 0 };
    let domains = stages.iter().map(|stage| &stage.domain);
    Links::between(domains, model, Unseen::default(), |_| tokens, || 0.5)
}

/// Chooses a path as a VM does for a request: other VMs' arrivals first, and without a limit on links where
/// there is no path otherwise.
fn choose(stages: &[Stage], model: &Model, state: &str, rng: &mut ChaCha8Rng) -> bool {
    let home = Domain::from("zone-0");
    let mut view = stages.to_vec();
    let links = links(&view, model, state);
    expect_arrivals(&mut view, &links, model, TURNOVER, Millis(0), || {
        rng.random()
    });
    for stage in &mut view {
        stage.penalty *= 1.0 + 0.15 * rng.random::<f64>();
    }
    choose_path(&view, &links, model, &home, DEMAND)
        .or_else(|| choose_path(&view, &links.unlimited(), model, &home, DEMAND))
        .is_some()
}

fn main() {
    let model = model();
    println!("| engines | domains | links | ms of a core |");
    println!("| --- | --- | --- | --- |");
    for count in SIZES {
        for domains in DOMAINS {
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let stages = stages(count, domains, &model, &mut rng);
            for state in ["open", "closed", "unknown"] {
                let (start, mut choices) = (Instant::now(), 0);
                while choices < MIN_CHOICES || start.elapsed() < SPAN {
                    assert!(choose(&stages, &model, state, &mut rng), "no path");
                    choices += 1;
                }
                let ms = start.elapsed().as_secs_f64() * 1000.0 / choices as f64;
                println!("| {count} | {domains} | {state} | {ms:.3} |");
            }
        }
    }
}
