//! Golden sessions and the fault matrix: real cores on a fake clock (docs/FAULTS.md).

mod world;

use std::collections::BTreeMap;
use std::num::NonZero;
use std::ops::Range;
use std::path::Path;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use cornelwharf::clock::Millis;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use world::World;
use world::check;
use world::random;
use world::script;
use world::script::Fault;
use world::script::ScheduledFault;
use world::script::Session;

/// How long a world runs after the last command, so that all work ends.
const SETTLE_TIME: Millis = Millis::seconds(30);

fn load(path: &Path) -> datatest_stable::Result<Session> {
    let text = std::fs::read_to_string(path)?;
    Ok(serde_saphyr::from_str(&text)?)
}

fn play(session: &Session, faults: Vec<ScheduledFault>) -> World {
    let mut world = World::new(session.vms, session.seed, Vec::new());
    if session.setup {
        script::set_up(&mut world);
    }
    world.set_faults(faults);
    for command in &session.commands {
        command.clone().run(&mut world);
    }
    world.run(SETTLE_TIME);
    world
}

/// Plays a session without faults and compares what the callers received with the file.
fn golden(path: &Path) -> datatest_stable::Result<()> {
    let session = load(path)?;
    let world = play(&session, Vec::new());
    let violations = check::violations(&world);
    let seen: Vec<String> = world
        .history
        .transcript()
        .into_iter()
        .filter(|line| !line.starts_with("setup"))
        .collect();
    if violations.is_empty() && seen == session.expect {
        return Ok(());
    }
    Err(format!("violations: {violations:#?}\nseen: {seen:#?}").into())
}

/// The faults that are injected before every step of every session in `tests/faults`.
const FAULTS: &str = include_str!("data/faults.yaml");

/// How many cells with two faults are sampled for each session without `MATRIX=full`.
const SAMPLED_CELLS: usize = 300;

/// One cell of the matrix: the faults, and the steps before which they are injected.
struct Cell {
    label: String,
    strikes: Vec<ScheduledFault>,
}

/// The totals over the played cells.
#[derive(Default)]
struct Outcome {
    answers: usize,
    unknown: usize,
    failed: Vec<String>,
}

impl Outcome {
    fn record(&mut self, label: &str, world: &World) {
        self.answers += world.history.answered();
        self.unknown += world.history.unknown();
        if std::env::var_os("TRACE").is_some() {
            println!("{label}\n{:#?}", world.history.transcript());
        }
        for violation in check::violations(world) {
            self.failed.push(format!("{label}: {violation}"));
        }
    }

    fn finish(self, what: &str, cells: usize) -> datatest_stable::Result<()> {
        let (answers, unknown) = (self.answers, self.unknown);
        let failed = self.failed.len();
        println!("{what}: {cells} cells, {failed} violations, {unknown} unknown of {answers}");
        if self.failed.is_empty() {
            return Ok(());
        }
        Err(self.failed.join("\n").into())
    }
}

/// Plays a session once for each step and fault, and for some combinations of two faults.
fn matrix(path: &Path) -> datatest_stable::Result<()> {
    let session = load(path)?;
    let mut faults = load_faults()?;
    faults.retain(|label, _| !session.never.contains_key(label));
    let steps = play(&session, Vec::new()).steps;
    let mut cells = Vec::new();
    for (step, name) in steps.iter().enumerate() {
        for (label, fault) in &faults {
            cells.push(single_cell(step, name, label, fault));
        }
    }
    cells.extend(double_cells(&steps, &faults));
    let filter = std::env::var("CELL").unwrap_or_default();
    cells.retain(|cell| cell.label.contains(&filter));
    let outcome = play_all(&cells, |cell, outcome| {
        let world = play(&session, cell.strikes.clone());
        outcome.record(&cell.label, &world);
    });
    outcome.finish(&path.display().to_string(), cells.len())
}

fn single_cell(step: usize, name: &str, label: &str, fault: &Fault) -> Cell {
    let fault = fault.clone();
    Cell {
        label: format!("{label} at {step} ({name})"),
        strikes: vec![ScheduledFault { step, fault }],
    }
}

/// Returns the cells with two faults at one step, and those with one fault at two steps.
fn double_cells(steps: &[&str], faults: &BTreeMap<String, Fault>) -> Vec<Cell> {
    let combine = |one: &Cell, two: &Cell| Cell {
        label: format!("{} and {}", one.label, two.label),
        strikes: [&one.strikes[..], &two.strikes[..]].concat(),
    };
    let cell = |step: usize, label: &String| single_cell(step, steps[step], label, &faults[label]);
    let labels: Vec<&String> = faults.keys().collect();
    let mut cells = Vec::new();
    if std::env::var("MATRIX").is_ok_and(|share| share == "full") {
        for step in 0..steps.len() {
            for one in &labels {
                for two in labels.iter().filter(|two| one < *two) {
                    cells.push(combine(&cell(step, one), &cell(step, two)));
                }
                for later in step + 1..steps.len() {
                    cells.push(combine(&cell(step, one), &cell(later, one)));
                }
            }
        }
        return cells;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(steps.len() as u64);
    for count in 0..SAMPLED_CELLS {
        let one = labels[rng.random_range(0..labels.len())];
        let two = labels[rng.random_range(0..labels.len())];
        let step = rng.random_range(0..steps.len());
        let later = rng.random_range(step..steps.len());
        cells.push(if count % 2 == 0 {
            combine(&cell(step, one), &cell(step, two))
        } else {
            combine(&cell(step, one), &cell(later, one))
        });
    }
    cells
}

fn load_faults() -> datatest_stable::Result<BTreeMap<String, Fault>> {
    Ok(serde_saphyr::from_str(FAULTS)?)
}

/// Plays the random sessions of a range of seeds; `SEEDS=FROM..TO` overrides the range.
fn seeded(path: &Path) -> datatest_stable::Result<()> {
    let mut seeds: Range<u64> = serde_saphyr::from_str(&std::fs::read_to_string(path)?)?;
    if let Ok(range) = std::env::var("SEEDS") {
        let (from, to) = range.split_once("..").ok_or("SEEDS is FROM..TO")?;
        seeds = from.parse()?..to.parse()?;
    }
    let faults = load_faults()?;
    let seeds: Vec<u64> = seeds.collect();
    let outcome = play_all(&seeds, |seed, outcome| {
        let session = random::session(*seed);
        let steps = play(&session, Vec::new()).steps.len();
        let drawn = random::faults(*seed, steps, &faults);
        let positions = drawn
            .iter()
            .map(|(label, strike)| format!(", {label} at {}", strike.step));
        let label = format!("seed {seed}{}", positions.collect::<String>());
        let strikes = drawn.into_iter().map(|(_, strike)| strike).collect();
        let world = play(&session, strikes);
        outcome.record(&label, &world);
    });
    outcome.finish(&path.display().to_string(), seeds.len())
}

/// Plays the cells on all processors. Worlds share nothing, so the order does not matter.
fn play_all<C, F>(cells: &[C], play: F) -> Outcome
where
    C: Sync,
    F: Fn(&C, &mut Outcome) + Sync,
{
    let threads = std::thread::available_parallelism().map_or(1, NonZero::get);
    let next = AtomicUsize::new(0);
    let work = || {
        let mut outcome = Outcome::default();
        while let Some(cell) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
            play(cell, &mut outcome);
        }
        outcome
    };
    std::thread::scope(|scope| {
        let started: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        let mut all = Outcome::default();
        for thread in started {
            let outcome = thread.join().expect("a cell panicked");
            all.answers += outcome.answers;
            all.unknown += outcome.unknown;
            all.failed.extend(outcome.failed);
        }
        all.failed.sort();
        all
    })
}

datatest_stable::harness! {
    { test = matrix, root = "tests/faults", pattern = r"\.yaml$" },
    { test = golden, root = "tests/golden", pattern = r"\.yaml$" },
    { test = seeded, root = "tests/seeds", pattern = r"\.yaml$" },
}
