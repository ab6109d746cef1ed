//! The arguments of the load tool.

use std::path::PathBuf;

use clap::Parser;

/// Loads running daemons by a scenario and measures what callers see.
#[derive(Debug, Parser)]
#[command(version)]
pub struct BenchArgs {
    /// The scenario, in YAML.
    #[arg(value_name = "FILE")]
    pub scenario: PathBuf,
    /// The seed, in place of the scenario's.
    #[arg(long, value_name = "NUMBER")]
    pub seed: Option<u64>,
    /// The intent in force, whose bound is printed beside the figures.
    #[arg(long, value_name = "FILE")]
    pub intent: Option<PathBuf>,
    /// Where to write the report as JSON, a table and plots.
    #[arg(long, value_name = "DIR")]
    pub report: Option<PathBuf>,
}
