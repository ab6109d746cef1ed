//! The load generator: sends requests to running daemons and measures what callers see.
//!
//! Load is open-loop with seeded arrivals, or closed-loop to find the peak rate. Every completion
//! is compared with the tokens that the stand-ins' model defines, and every keyed call with the
//! effects that they counted, so fast but wrong answers are noticed (docs/MEASURES.md).

pub mod arrival;
mod bound;
mod completion;
mod effects;
mod entries;
mod error;
mod fault;
mod load;
mod outcome;
mod plain;
mod plot;
pub mod report;
pub mod scenario;
pub mod tally;

use std::path::Path;

pub use self::error::BenchError;
use self::load::Load;
use self::report::Report;
use self::scenario::Scenario;
use crate::cli::BenchArgs;

/// Runs the scenario that the arguments name, prints the report and returns it.
///
/// # Errors
///
/// Fails if a file cannot be read or written, or if no daemon answers. Wrong answers and doubled
/// effects are not errors; the report counts them.
pub async fn run(args: &BenchArgs) -> Result<Report, BenchError> {
    let mut scenario = Scenario::parse(&std::fs::read_to_string(&args.scenario)?)?;
    if let Some(seed) = args.seed {
        scenario.seed = seed;
    }
    let bounds = match &args.intent {
        Some(path) => bound::read(&std::fs::read_to_string(path)?)?,
        None => Vec::new(),
    };
    let load = Load::new(scenario.clone());
    let tally = load.run().await;
    let effects = effects::check(&scenario.effects, &load.keyed_calls()).await;
    let report = Report::new(&scenario, &tally, bounds, effects);
    println!("{}", report.table());
    if let Some(dir) = &args.report {
        write(&report, dir)?;
    }
    Ok(report)
}

fn write(report: &Report, dir: &Path) -> Result<(), BenchError> {
    std::fs::create_dir_all(dir)?;
    std::fs::write(dir.join("report.json"), serde_json::to_vec_pretty(report)?)?;
    std::fs::write(dir.join("report.txt"), report.table())?;
    plot::write(report, dir)
}
