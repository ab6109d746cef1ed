//! The arguments of `cornelwharf`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;

use super::bench::BenchArgs;
use crate::output::Format;

/// The command line of operators and owners.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done; 1 failed; 2 refused, or invalid input; 3 not known yet, \
                  ask again."
)]
pub struct ControlArgs {
    /// Which daemons to ask, and how to print.
    #[command(flatten)]
    pub global: GlobalArgs,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Which daemons to ask, and how to print.
#[derive(Clone, Debug, Args)]
pub struct GlobalArgs {
    /// A daemon's address; the next one is tried where one refuses [env: `CORNELWHARF_AT`].
    #[arg(long, value_name = "ADDR", value_delimiter = ',', global = true)]
    pub at: Vec<SocketAddr>,
    /// A file with the bearer token, which else comes from the environment [env: `CORNELWHARF_TOKEN`].
    #[arg(long, value_name = "FILE", global = true)]
    pub token_file: Option<PathBuf>,
    /// How to print.
    #[arg(long, value_enum, default_value_t, global = true)]
    pub output: Format,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Ask what an intent would change; nothing changes before it is confirmed.
    Plan {
        /// The intent, in YAML.
        file: PathBuf,
    },
    /// Confirm a plan; to repeat it is harmless.
    Confirm {
        /// The plan's id.
        id: String,
    },
    /// Show the state of a VM, as it sees itself and the endpoints.
    Status,
    /// Show who changed what, and when.
    Audit,
    /// Show the objects that are in force.
    Objects,
    /// Approve a team for a service, as the owner of its endpoints.
    Approve(ApprovalArgs),
    /// Take an approval back.
    Revoke(ApprovalArgs),
    /// Tell an endpoint to leave: it gets no new work.
    Drain {
        /// The endpoint.
        endpoint: String,
    },
    /// Lift a drain.
    Undrain {
        /// The endpoint.
        endpoint: String,
    },
    /// Move the rollout of a model's version.
    Rollout {
        /// The model.
        service: String,
        /// What the rollout shall do.
        #[command(subcommand)]
        step: RolloutStep,
    },
    /// Check a daemon's settings file, or an intent.
    Check {
        /// The file, in YAML.
        file: PathBuf,
        /// Whether the file is an intent.
        #[arg(long)]
        intent: bool,
    },
    /// Read a bearer token from standard input and print the digest that configurations hold.
    Token,
    /// Run three daemons with all that surrounds them in this process, and show what they do.
    Try,
    /// Load running daemons by a scenario and measure what callers see.
    Bench(BenchArgs),
    /// Print the completions of a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// What an approval is about.
#[derive(Debug, Args)]
pub struct ApprovalArgs {
    /// The calling team.
    #[arg(long)]
    pub team: String,
    /// The service.
    #[arg(long)]
    pub service: String,
    /// The only endpoint that is meant, instead of all of the owner's.
    #[arg(long)]
    pub endpoint: Option<String>,
}

/// What a rollout shall do.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum RolloutStep {
    /// Move endpoints to the new version.
    Run {
        /// The most endpoints that are out at a time, in percent; one may always be.
        #[arg(long, default_value_t = 25, value_parser = clap::value_parser!(u8).range(1..=100))]
        share: u8,
    },
    /// Stop where it is.
    Pause,
    /// Go back to the version from before.
    Back,
}
