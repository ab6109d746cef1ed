//! Arguments of the load generator (`cornelwharf bench`).

use std::path::PathBuf;

use clap::Parser;

/// Generates load on running daemons as a scenario describes, and measures what callers see.
#[derive(Debug, Parser)]
#[command(version)]
pub struct BenchArgs {
    /// The scenario file, in YAML.
    #[arg(value_name = "FILE")]
    pub scenario: PathBuf,
    /// The random seed; overrides the scenario's.
    #[arg(long, value_name = "NUMBER")]
    pub seed: Option<u64>,
    /// The intent file that is in force; its throughput bound is printed with the results.
    #[arg(long, value_name = "FILE")]
    pub intent: Option<PathBuf>,
    /// The directory to which the report is written as JSON, a table and plots.
    #[arg(long, value_name = "DIR")]
    pub report: Option<PathBuf>,
}
