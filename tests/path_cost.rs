//! What the choice of a path costs, as the fleet grows and links between domains are open or closed. Times are
//! compared within one run, the shortest of several each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cornelwharf::clock::Millis;
use cornelwharf::core::pipe::Demand;
use cornelwharf::core::pipe::Links;
use cornelwharf::core::pipe::Span;
use cornelwharf::core::pipe::Stage;
use cornelwharf::core::pipe::Unseen;
use cornelwharf::core::pipe::choose_path;
use cornelwharf::core::site::Card;
use cornelwharf::core::site::Model;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LAYERS: u32 = 80;
const DEMAND: Demand = Demand {
    prompt: 760.0,
    answer: 140.0,
};
/// The repetitions, of which the fastest counts.
const ROUNDS: usize = 12;
/// How far a ratio may exceed the one that is stated, for caches and the clock.
const MARGIN: f64 = 1.5;

fn model() -> Model {
    Model {
        layers: LAYERS,
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

/// Returns engines that hold 7 to 20 layers each, hardly any two alike, spread over domains.
fn stages(count: usize, domains: usize, seed: u64) -> Vec<Stage> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let stage = |index: usize| {
        let held = rng.random_range(7..=20);
        let from = match index % 12 {
            0 => 0,
            1 => LAYERS - held,
            _ => rng.random_range(0..=LAYERS - held),
        };
        Stage {
            endpoint: format!("engine-{index:04}").as_str().into(),
            addr: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 80)),
            domain: format!("zone-of-the-fleet-{}", index % domains)
                .as_str()
                .into(),
            span: Span {
                from,
                to: from + held,
            },
            card: Card {
                memory: 40_000.0,
                pace: rng.random_range(3.0..16.0),
                read: rng.random_range(3.0..15.0),
            },
            running: rng.random_range(0.0..9.0),
            memory_use: rng.random_range(0.0..0.7),
            penalty: 1.0,
            can_lead: true,
            is_warm: false,
        }
    };
    (0..count).map(stage).collect()
}

/// Returns engines that hold one of eight parts of the model each, on cards of one kind.
fn alike(count: usize, domains: usize) -> Vec<Stage> {
    let mut stages = stages(count, domains, 1);
    let card = stages[0].card;
    for (index, stage) in stages.iter_mut().enumerate() {
        let from = (index / domains % 8) as u32 * 10;
        stage.span = Span {
            from,
            to: from + 10,
        };
        stage.card = card;
    }
    stages
}

fn open_links(stages: &[Stage]) -> Links {
    let domains = stages.iter().map(|stage| &stage.domain);
    Links::between(domains, &model(), Unseen::default(), |_| 0, || 0.5)
}

/// Returns the least time that a search takes.
fn search_time(stages: &[Stage], links: &Links) -> Duration {
    let model = model();
    let home = &stages[0].domain;
    let time = || {
        let start = Instant::now();
        let path = choose_path(stages, links, &model, home, DEMAND);
        assert!(path.is_some());
        start.elapsed()
    };
    (0..ROUNDS).map(|_| time()).min().expect("several rounds")
}

#[test]
fn the_search_for_a_path_slows_with_the_square_of_the_engines() {
    let (small, large) = (stages(220, 5, 1), stages(1100, 5, 1));
    let few = search_time(&small, &open_links(&small));
    let many = search_time(&large, &open_links(&large));
    let ratio = many.as_secs_f64() / few.as_secs_f64();
    assert!(
        ratio <= 5.0 * MARGIN,
        "{few:?} at 220 engines, {many:?} at 1,100"
    );
}

#[test]
fn every_further_domain_multiplies_the_cost_of_a_search() {
    let (joined, apart) = (alike(220, 1), alike(220, 5));
    let one = search_time(&joined, &open_links(&joined));
    let five = search_time(&apart, &open_links(&apart));
    let ratio = five.as_secs_f64() / one.as_secs_f64();
    assert!(
        ratio <= MARGIN,
        "{one:?} in one domain, {five:?} in five, {ratio:.1} times"
    );
}
