//! Arguments of `cornelwharf`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;

use super::bench::BenchArgs;
use crate::output::Format;

/// The command-line client for operators and owners of endpoints.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done; 1 failed; 2 refused, or invalid input; 3 outcome not known \
                  yet, repeat the command."
)]
pub struct ControlArgs {
    /// The options that every command accepts.
    #[command(flatten)]
    pub global: GlobalArgs,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Options that every command accepts.
#[derive(Clone, Debug, Args)]
pub struct GlobalArgs {
    /// Addresses of daemons, tried in order until one accepts a connection [env: `CORNELWHARF_AT`].
    #[arg(long, value_name = "ADDR", value_delimiter = ',', global = true)]
    pub at: Vec<SocketAddr>,
    /// A file that contains the bearer token; overrides the environment [env: `CORNELWHARF_TOKEN`].
    #[arg(long, value_name = "FILE", global = true)]
    pub token_file: Option<PathBuf>,
    /// The output format.
    #[arg(long, value_enum, default_value_t, global = true)]
    pub output: Format,
}

/// The commands of `cornelwharf`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Show what an intent would change; nothing changes until the plan is confirmed.
    Plan {
        /// The intent file, in YAML.
        file: PathBuf,
    },
    /// Confirm a plan; it is safe to repeat.
    Confirm {
        /// The id that `plan` printed.
        id: String,
    },
    /// Show the state of a VM and of the endpoints as that VM sees them.
    Status,
    /// Show the audit trail: who changed what, and when.
    Audit,
    /// Show the objects of the configuration in force.
    Objects,
    /// Allow a team to call a service, as an owner of its endpoints.
    Approve(ApprovalArgs),
    /// Revoke an approval.
    Revoke(ApprovalArgs),
    /// Drain an endpoint: it gets no new requests.
    Drain {
        /// The endpoint's name.
        endpoint: String,
    },
    /// End the drain of an endpoint.
    Undrain {
        /// The endpoint's name.
        endpoint: String,
    },
    /// Run, pause or roll back the rollout of a model's version.
    Rollout {
        /// The model's service name.
        service: String,
        /// What to do with the rollout.
        #[command(subcommand)]
        step: RolloutStep,
    },
    /// Check a daemon's settings file or an intent file.
    Check {
        /// The file to check, in YAML.
        file: PathBuf,
        /// Treat the file as an intent instead of a daemon's settings.
        #[arg(long)]
        intent: bool,
    },
    /// Read a bearer token from standard input and print its digest for use in a configuration.
    Token,
    /// Run the trial: three daemons and stand-ins for their dependencies in this process.
    Try,
    /// Generate load on running daemons as a scenario describes, and measure what callers see.
    Bench(BenchArgs),
    /// Print a completion script for a shell.
    Completions {
        /// The shell to generate the script for.
        shell: Shell,
    },
}

/// The team, service and endpoint that an approval covers.
#[derive(Debug, Args)]
pub struct ApprovalArgs {
    /// The calling team's name.
    #[arg(long)]
    pub team: String,
    /// The name of the service that the team may call.
    #[arg(long)]
    pub service: String,
    /// The only endpoint to cover; by default all endpoints of the owner.
    #[arg(long)]
    pub endpoint: Option<String>,
}

/// What to do with a rollout.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum RolloutStep {
    /// Move endpoints to the new version.
    Run {
        /// The maximum share of endpoints out of service at once, in percent; one is always allowed.
        #[arg(long, default_value_t = 25, value_parser = clap::value_parser!(u8).range(1..=100))]
        share: u8,
    },
    /// Pause the rollout at its current progress.
    Pause,
    /// Roll back to the previous version.
    Back,
}
