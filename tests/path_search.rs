//! The search for a path against an enumeration of all paths, over random engines and links.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::load::NameHash;
use cornelwharf::core::pipe::Demand;
use cornelwharf::core::pipe::Links;
use cornelwharf::core::pipe::Part;
use cornelwharf::core::pipe::Span;
use cornelwharf::core::pipe::Stage;
use cornelwharf::core::pipe::Unseen;
use cornelwharf::core::pipe::choose_subpath;
use cornelwharf::core::pipe::link_name;
use cornelwharf::core::site::Card;
use cornelwharf::core::site::Model;
use cornelwharf::names::Domain;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LAYERS: u32 = 12;
const DEMAND: Demand = Demand {
    prompt: 700.0,
    answer: 60.0,
};
const ROUNDS: u64 = 3000;
/// A number of tokens on a link that closes it.
const FULL: u64 = 10_000_000;

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

/// A case: engines, the prompt tokens on each link, where the path enters, and its layers.
struct Case {
    stages: Vec<Stage>,
    tokens: BTreeMap<NameHash, u64>,
    links: Links,
    home: Domain,
    range: Span,
}

fn case(seed: u64) -> Case {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let domains = ["a", "b", "c"].map(Domain::from);
    let count = rng.random_range(2..=9);
    let stage = |index: usize| {
        let from = rng.random_range(0..LAYERS);
        let to = rng.random_range(from + 1..=LAYERS);
        Stage {
            endpoint: format!("e{index}").as_str().into(),
            addr: SocketAddr::from(([10, 0, 0, index as u8], 80)),
            domain: domains[rng.random_range(0..domains.len())].clone(),
            span: Span {
                from: if rng.random_bool(0.3) { 0 } else { from },
                to: if rng.random_bool(0.3) { LAYERS } else { to },
            },
            card: Card {
                memory: 40_000.0,
                pace: rng.random_range(1.0..16.0),
                read: rng.random_range(1.0..15.0),
            },
            running: rng.random_range(0.0..9.0),
            memory_use: rng.random_range(0.0..1.0),
            penalty: rng.random_range(1.0..2.0),
            can_lead: rng.random_bool(0.7),
            is_warm: rng.random_bool(0.5),
        }
    };
    let stages: Vec<Stage> = (0..count).map(stage).collect();
    let mut tokens = BTreeMap::new();
    for (index, a) in domains.iter().enumerate() {
        for b in &domains[index + 1..] {
            let load = [0, 4_000, FULL][rng.random_range(0..3)];
            tokens.insert(link_name(a, b), load);
        }
    }
    let links = Links::between(
        &domains,
        &model(),
        Unseen::default(),
        |link| tokens[&link],
        || 0.5,
    );
    let from = if rng.random_bool(0.7) {
        0
    } else {
        rng.random_range(1..LAYERS - 1)
    };
    let to = if rng.random_bool(0.7) {
        LAYERS
    } else {
        rng.random_range(from + 1..=LAYERS)
    };
    Case {
        home: domains[rng.random_range(0..domains.len())].clone(),
        range: Span { from, to },
        stages,
        tokens,
        links,
    }
}

fn transfer_time() -> f64 {
    let per_token = model().activation / (model().pipe * 125.0);
    (DEMAND.prompt + DEMAND.answer) * per_token + (model().delay + 6.0) * DEMAND.answer
}

impl Case {
    fn time(&self, stage: usize, layers: u32) -> f64 {
        let (stage, model) = (&self.stages[stage], model());
        let share = f64::from(layers) / f64::from(LAYERS);
        let context = (DEMAND.prompt + DEMAND.answer) / 1000.0 * model.context;
        let step = model.step + (model.sequence + context) * stage.running;
        let token = share * stage.card.pace * step + 0.4;
        let prompt = share * stage.card.read * DEMAND.prompt / model.reading;
        let full = 3.0_f64.powf((stage.memory_use - 0.6).max(0.0) * 10.0);
        (token * DEMAND.answer + prompt) * stage.penalty * full
    }

    /// Returns the time of a transfer between two engines; `None` if the link is closed.
    fn crossing(&self, from: usize, to: usize) -> Option<f64> {
        let (a, b) = (&self.stages[from].domain, &self.stages[to].domain);
        if a == b {
            return Some(0.0);
        }
        let tokens = self.tokens[&link_name(a, b)];
        let wait = tokens as f64 * model().activation / (model().pipe * 125.0);
        (tokens < FULL).then(|| (wait - 100.0).max(0.0) + transfer_time())
    }

    fn entry(&self, stage: usize) -> Option<f64> {
        let Span { from, to } = self.range;
        let each = &self.stages[stage];
        if !each.span.contains(from) || (from == 0 && !each.can_lead) {
            return None;
        }
        let is_near = each.domain == self.home;
        let away = if from > 0 {
            transfer_time()
        } else {
            model().delay * DEMAND.answer
        };
        let opens = from == 0 && !each.is_warm;
        let opening = if opens {
            0.1 * self.time(stage, each.span.to.min(to))
        } else {
            0.0
        };
        Some(if is_near { 0.0 } else { away } + opening)
    }

    /// Returns the least cost from an engine that begins at a layer to the end, over all paths.
    fn least(&self, stage: usize, layer: u32) -> f64 {
        let Span { to, .. } = self.stages[stage].span;
        let end = self.range.to;
        if to >= end {
            return self.time(stage, end - layer);
        }
        let mut least = f64::INFINITY;
        for (next, other) in self.stages.iter().enumerate() {
            if next == stage || other.span.to <= to {
                continue;
            }
            let Some(crossing) = self.crossing(stage, next) else {
                continue;
            };
            let mut pass = |at: u32| {
                let cost = self.time(stage, at - layer) + crossing + self.least(next, at);
                least = least.min(cost);
            };
            if other.span.contains(to) {
                pass(to);
            }
            if other.span.from > layer && other.span.from < to {
                pass(other.span.from);
            }
        }
        least
    }

    fn cost(&self, path: &[Part]) -> f64 {
        let index = |part: &Part| {
            let found = self.stages.iter().position(|each| each.addr == part.addr);
            found.expect("a known engine")
        };
        let mut cost = self.entry(index(&path[0])).expect("it may lead");
        for part in path {
            cost += self.time(index(part), part.span.len());
        }
        for pair in path.windows(2) {
            let crossing = self.crossing(index(&pair[0]), index(&pair[1]));
            cost += crossing.expect("an open link");
        }
        cost
    }

    fn check_layers(&self, path: &[Part]) {
        let mut layer = self.range.from;
        for part in path {
            let held = self.stages.iter().find(|each| each.addr == part.addr);
            let held = held.expect("a known engine").span;
            assert_eq!(part.span.from, layer);
            assert!(held.from <= part.span.from && part.span.to <= held.to);
            assert!(!part.span.is_empty());
            layer = part.span.to;
        }
        assert_eq!(layer, self.range.to);
    }
}

#[test]
fn the_search_misses_the_cheapest_path_or_finds_one_that_is_not_allowed() {
    let mut found = 0;
    for seed in 0..ROUNDS {
        let case = case(seed);
        let costs = (0..case.stages.len()).filter_map(|stage| {
            let entry = case.entry(stage)?;
            Some(entry + case.least(stage, case.range.from))
        });
        let least = costs.fold(f64::INFINITY, f64::min);
        let path = choose_subpath(
            &case.stages,
            &case.links,
            &model(),
            &case.home,
            DEMAND,
            case.range,
        );
        let Some(path) = path else {
            assert!(least.is_infinite(), "seed {seed}: a path was missed");
            continue;
        };
        found += 1;
        case.check_layers(&path);
        let cost = case.cost(&path);
        assert!(
            (cost - least).abs() <= least * 1e-9,
            "seed {seed}: {cost} for {path:?}, {least} is possible"
        );
    }
    assert!(found > ROUNDS / 4, "{found} cases have a path");
}
