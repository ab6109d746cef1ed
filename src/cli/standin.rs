//! Arguments of `standin`.

use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;

/// Small stand-ins for the daemons' dependencies, for trials and benchmarks.
#[derive(Debug, Parser)]
#[command(version)]
pub struct StandinArgs {
    /// The command to run.
    #[command(subcommand)]
    pub command: StandinCommand,
}

/// The commands of `standin`.
#[derive(Debug, Subcommand)]
pub enum StandinCommand {
    /// Run everything that a site file lists: the platform, model engines, plain services.
    All {
        /// The site file, in YAML.
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Run an edge daemon that uses the message formats of the stand-in platform.
    Edge {
        /// The edge daemon's settings file, in YAML.
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
}
