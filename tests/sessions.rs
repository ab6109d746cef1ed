//! Golden sessions and the fault matrix: real cores on a fake clock (docs/FAULTS.md).

mod world;

use std::collections::BTreeMap;
use std::num::NonZero;
use std::path::Path;

use cornelwharf::clock::Millis;

use world::World;
use world::check;
use world::script;
use world::script::Fault;
use world::script::Session;
use world::script::Strike;

/// How long a world runs on after the last order, so that all work ends.
const AFTER: Millis = Millis::seconds(30);

fn load(path: &Path) -> datatest_stable::Result<Session> {
    let text = std::fs::read_to_string(path)?;
    Ok(serde_saphyr::from_str(&text)?)
}

fn play(session: &Session, faults: Vec<Strike>) -> World {
    let mut world = World::new(session.vms, session.seed, Vec::new());
    if session.setup {
        script::set_up(&mut world);
    }
    world.arm(faults);
    for order in &session.orders {
        order.clone().run(&mut world);
    }
    world.run(AFTER);
    world
}

/// Plays a session and compares what everybody saw with the file.
fn golden(path: &Path) -> datatest_stable::Result<()> {
    let session = load(path)?;
    let world = play(&session, Vec::new());
    let broken = check::violations(&world);
    let seen: Vec<String> = world
        .ledger
        .transcript()
        .into_iter()
        .filter(|line| !line.starts_with("setup"))
        .collect();
    if broken.is_empty() && seen == session.expect {
        return Ok(());
    }
    Err(format!("broken: {broken:#?}\nseen: {seen:#?}").into())
}

/// The faults that strike every step of every kind of work.
const FAULTS: &str = include_str!("data/faults.yaml");

/// One cell of the matrix: a fault that strikes before a step.
struct Cell<'a> {
    step: usize,
    name: &'static str,
    label: &'a str,
    fault: &'a Fault,
}

/// What the cells that were played came to.
#[derive(Default)]
struct Outcome {
    unknown: usize,
    failed: Vec<String>,
}

impl Cell<'_> {
    fn play(&self, session: &Session, outcome: &mut Outcome) {
        let strike = Strike {
            step: self.step,
            fault: self.fault.clone(),
        };
        let world = play(session, vec![strike]);
        outcome.unknown += world.ledger.unknown();
        for broken in check::violations(&world) {
            let line = format!(
                "step {} ({}), {}: {broken}",
                self.step, self.name, self.label
            );
            outcome.failed.push(line);
        }
    }
}

/// Strikes every step of a session with every fault.
fn matrix(path: &Path) -> datatest_stable::Result<()> {
    let session = load(path)?;
    let faults: BTreeMap<String, Fault> = serde_saphyr::from_str(FAULTS)?;
    let steps = play(&session, Vec::new()).steps;
    let mut cells = Vec::new();
    for (step, name) in steps.iter().copied().enumerate() {
        for (label, fault) in &faults {
            cells.push(Cell {
                step,
                name,
                label,
                fault,
            });
        }
    }
    let outcome = play_all(&session, &cells);
    println!(
        "{}: {} cells, {} unknown",
        path.display(),
        cells.len(),
        outcome.unknown
    );
    if outcome.failed.is_empty() {
        return Ok(());
    }
    let failed = outcome.failed;
    Err(format!("{} of {}\n{}", failed.len(), cells.len(), failed.join("\n")).into())
}

/// Plays the cells on all processors; each world is its own, so the order does not matter.
fn play_all(session: &Session, cells: &[Cell<'_>]) -> Outcome {
    let threads = std::thread::available_parallelism().map_or(1, NonZero::get);
    let share = cells.len().div_ceil(threads).max(1);
    std::thread::scope(|scope| {
        let work = |part: &'_ [Cell<'_>]| {
            let mut outcome = Outcome::default();
            for cell in part {
                cell.play(session, &mut outcome);
            }
            outcome
        };
        let started: Vec<_> = cells
            .chunks(share)
            .map(|part| scope.spawn(move || work(part)))
            .collect();
        let mut all = Outcome::default();
        for thread in started {
            let outcome = thread.join().expect("a cell panicked");
            all.unknown += outcome.unknown;
            all.failed.extend(outcome.failed);
        }
        all
    })
}

datatest_stable::harness! {
    { test = matrix, root = "tests/faults", pattern = r"\.yaml$" },
    { test = golden, root = "tests/golden", pattern = r"\.yaml$" },
}
