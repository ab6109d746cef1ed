//! The arguments of `standin`.

use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;

/// Small stand-ins for what surrounds the daemons, for trials and benchmarks.
#[derive(Debug, Parser)]
#[command(version)]
pub struct StandinArgs {
    /// What to stand in for.
    #[command(subcommand)]
    pub command: StandinCommand,
}

/// What to stand in for.
#[derive(Debug, Subcommand)]
pub enum StandinCommand {
    /// Everything that a file lists: the platform, model engines, plain services.
    All {
        /// The file, in YAML.
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// An edge daemon that speaks as the stand-ins of its platform do.
    Edge {
        /// The settings, in YAML.
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
}
