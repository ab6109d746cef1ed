//! Implementation of the `cornelwharf` commands.

use std::io::Read;
use std::io::Write;
use std::path::Path;

use clap::CommandFactory;
use clap_complete::Shell;

use super::bench::BenchArgs;
use super::control::ApprovalArgs;
use super::control::Command;
use super::control::ControlArgs;
use super::control::GlobalArgs;
use super::control::RolloutStep;
use super::exit::CommandError;
use super::exit::Exit;
use crate::bench;
use crate::client::Approval;
use crate::client::Client;
use crate::client::ClientError;
use crate::client::Drain;
use crate::client::Rollout;
use crate::core::config::intent::Intent;
use crate::core::config::object::Digest;
use crate::core::config::plan::PlanId;
use crate::core::config::rollout::Step;
use crate::core::daemon::Reply;
use crate::io::runtime;
use crate::settings::Settings;
use crate::trial;

/// The environment variable for the daemons' addresses, separated by commas.
const ADDRS_VAR: &str = "CORNELWHARF_AT";
/// The environment variable for the bearer token.
const TOKEN_VAR: &str = "CORNELWHARF_TOKEN";
/// The program's name in completion scripts.
const PROGRAM: &str = "cornelwharf";

impl ControlArgs {
    /// Runs the command, prints its output to `out` and returns the program's exit code.
    ///
    /// # Errors
    ///
    /// Fails if the command fails; [`CommandError::exit`] returns the exit code.
    pub fn run<R, W>(self, mut input: R, out: &mut W) -> Result<Exit, CommandError>
    where
        R: Read,
        W: Write,
    {
        match self.command {
            Command::Check { file, intent } => check_file(&file, intent, out),
            Command::Token => print_digest(&mut input, out),
            Command::Completions { shell } => print_completions(shell, out),
            Command::Try => run_trial(out),
            Command::Bench(args) => run_bench(&args),
            command => run_remote(&self.global, command, out),
        }
    }
}

fn check_file<W>(file: &Path, intent: bool, out: &mut W) -> Result<Exit, CommandError>
where
    W: Write,
{
    if intent {
        let text = read_file(file)?;
        let to_error = |error| CommandError::Intent {
            file: file.into(),
            error,
        };
        let intent = Intent::parse(&text).map_err(to_error)?;
        let objects = intent.objects().len();
        let removed = intent.removed().len();
        writeln!(out, "ok: {objects} objects wanted, {removed} to remove")?;
    } else {
        let to_error = |error| CommandError::Settings {
            file: file.into(),
            error,
        };
        let settings = Settings::load(file).map_err(to_error)?;
        writeln!(out, "ok: {} in {}", settings.vm, settings.domain)?;
    }
    Ok(Exit::Done)
}

fn print_digest<R, W>(input: &mut R, out: &mut W) -> Result<Exit, CommandError>
where
    R: Read,
    W: Write,
{
    let mut text = String::new();
    input.read_to_string(&mut text)?;
    let token = text.trim_end();
    if token.is_empty() {
        return Err(CommandError::EmptyToken);
    }
    writeln!(out, "{}", Digest::of(token))?;
    Ok(Exit::Done)
}

fn print_completions<W>(shell: Shell, out: &mut W) -> Result<Exit, CommandError>
where
    W: Write,
{
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut ControlArgs::command(), PROGRAM, &mut script);
    out.write_all(&script)?;
    Ok(Exit::Done)
}

fn run_trial<W>(out: &mut W) -> Result<Exit, CommandError>
where
    W: Write,
{
    let passed = runtime::run(trial::run(out))??;
    if passed {
        Ok(Exit::Done)
    } else {
        Ok(Exit::Failed)
    }
}

fn run_bench(args: &BenchArgs) -> Result<Exit, CommandError> {
    let report = runtime::run(bench::run(args))??;
    if report.is_correct() {
        Ok(Exit::Done)
    } else {
        Ok(Exit::Failed)
    }
}

fn run_remote<W>(global: &GlobalArgs, command: Command, out: &mut W) -> Result<Exit, CommandError>
where
    W: Write,
{
    let client = connect(global)?;
    let reply = match command {
        Command::Plan { file } => {
            let intent = read_file(&file)?;
            runtime::run(client.plan(intent))??
        }
        command => runtime::run(send(&client, command))??,
    };
    writeln!(out, "{}", global.output.render_reply(&reply)?)?;
    Ok(Exit::Done)
}

async fn send(client: &Client, command: Command) -> Result<Reply, ClientError> {
    match command {
        Command::Confirm { id } => client.confirm(&PlanId(Digest(id.into()))).await,
        Command::Audit => client.get("audit").await,
        Command::Objects => client.get("objects").await,
        Command::Approve(args) => client.approve(&approval(args, true)).await,
        Command::Revoke(args) => client.approve(&approval(args, false)).await,
        Command::Drain { endpoint } => client.drain(&drain(&endpoint, true)).await,
        Command::Undrain { endpoint } => client.drain(&drain(&endpoint, false)).await,
        Command::Rollout { service, step } => {
            let service = service.into();
            let step = step.into();
            client.rollout(&Rollout { service, step }).await
        }
        _ => client.get("status").await,
    }
}

fn approval(args: ApprovalArgs, on: bool) -> Approval {
    Approval {
        team: args.team.into(),
        service: args.service.into(),
        endpoint: args.endpoint.map(Into::into),
        on,
    }
}

fn drain(endpoint: &str, on: bool) -> Drain {
    Drain {
        endpoint: endpoint.into(),
        on,
    }
}

impl From<RolloutStep> for Step {
    fn from(step: RolloutStep) -> Self {
        match step {
            RolloutStep::Run { share } => Self::Run { share },
            RolloutStep::Pause => Self::Pause,
            RolloutStep::Back => Self::Back,
        }
    }
}

/// Creates a client from the flags, or from the environment where a flag is absent.
fn connect(global: &GlobalArgs) -> Result<Client, CommandError> {
    let mut addrs = global.at.clone();
    if addrs.is_empty() {
        let list = std::env::var(ADDRS_VAR).map_err(|_| CommandError::NoAddress)?;
        for addr in list.split(',') {
            addrs.push(addr.trim().parse()?);
        }
    }
    let token = match &global.token_file {
        Some(file) => read_file(file)?,
        None => std::env::var(TOKEN_VAR).map_err(|_| CommandError::NoToken)?,
    };
    Ok(Client::new(addrs, token.trim_end().to_owned()))
}

fn read_file(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|error| CommandError::Read {
        file: file.into(),
        error,
    })
}
