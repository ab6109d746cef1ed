//! What the commands of `cornelwharf` do.

use std::io::Read;
use std::io::Write;
use std::path::Path;

use clap::CommandFactory;
use clap_complete::Shell;

use super::bench::Bench;
use super::control::Command;
use super::control::Consent;
use super::control::Control;
use super::control::Global;
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

/// The environment's name for the daemons' addresses.
const AT: &str = "CORNELWHARF_AT";
/// The environment's name for the bearer token.
const TOKEN: &str = "CORNELWHARF_TOKEN";
/// The name of the program, for completions.
const PROGRAM: &str = "cornelwharf";

impl Control {
    /// Does what the arguments say, prints to `out`, and tells how the program shall end.
    ///
    /// # Errors
    ///
    /// Fails if the command does; [`CommandError::exit`] gives the exit code.
    pub fn run<R, W>(self, mut input: R, out: &mut W) -> Result<Exit, CommandError>
    where
        R: Read,
        W: Write,
    {
        match self.command {
            Command::Check { file, intent } => check(&file, intent, out),
            Command::Token => token(&mut input, out),
            Command::Completions { shell } => complete(shell, out),
            Command::Try => try_out(out),
            Command::Bench(args) => measure(&args),
            command => remote(&self.global, command, out),
        }
    }
}

fn check<W>(file: &Path, intent: bool, out: &mut W) -> Result<Exit, CommandError>
where
    W: Write,
{
    if intent {
        let text = text(file)?;
        let error = |error| CommandError::Intent {
            file: file.into(),
            error,
        };
        let intent = Intent::parse(&text).map_err(error)?;
        let objects = intent.objects().len();
        let removed = intent.removed().len();
        writeln!(out, "ok: {objects} objects wanted, {removed} to remove")?;
    } else {
        let error = |error| CommandError::Settings {
            file: file.into(),
            error,
        };
        let settings = Settings::load(file).map_err(error)?;
        writeln!(out, "ok: {} in {}", settings.vm, settings.domain)?;
    }
    Ok(Exit::Done)
}

fn token<R, W>(input: &mut R, out: &mut W) -> Result<Exit, CommandError>
where
    R: Read,
    W: Write,
{
    let mut text = String::new();
    input.read_to_string(&mut text)?;
    let token = text.trim_end();
    if token.is_empty() {
        return Err(CommandError::Empty);
    }
    writeln!(out, "{}", Digest::of(token))?;
    Ok(Exit::Done)
}

fn complete<W>(shell: Shell, out: &mut W) -> Result<Exit, CommandError>
where
    W: Write,
{
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Control::command(), PROGRAM, &mut script);
    out.write_all(&script)?;
    Ok(Exit::Done)
}

fn try_out<W>(out: &mut W) -> Result<Exit, CommandError>
where
    W: Write,
{
    let held = runtime::run(trial::run(out))??;
    if held {
        Ok(Exit::Done)
    } else {
        Ok(Exit::Failed)
    }
}

fn measure(args: &Bench) -> Result<Exit, CommandError> {
    let report = runtime::run(bench::run(args))??;
    if report.is_correct() {
        Ok(Exit::Done)
    } else {
        Ok(Exit::Failed)
    }
}

fn remote<W>(global: &Global, command: Command, out: &mut W) -> Result<Exit, CommandError>
where
    W: Write,
{
    let client = connect(global)?;
    let reply = match command {
        Command::Plan { file } => {
            let intent = text(&file)?;
            runtime::run(client.plan(intent))??
        }
        command => runtime::run(order(&client, command))??,
    };
    writeln!(out, "{}", global.output.reply(&reply)?)?;
    Ok(Exit::Done)
}

async fn order(client: &Client, command: Command) -> Result<Reply, ClientError> {
    match command {
        Command::Confirm { id } => client.confirm(&PlanId(Digest(id.into()))).await,
        Command::Audit => client.get("audit").await,
        Command::Objects => client.get("objects").await,
        Command::Approve(consent) => client.approve(&approval(consent, true)).await,
        Command::Revoke(consent) => client.approve(&approval(consent, false)).await,
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

fn approval(consent: Consent, on: bool) -> Approval {
    Approval {
        team: consent.team.into(),
        service: consent.service.into(),
        endpoint: consent.endpoint.map(Into::into),
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

/// Merges the flags with the environment.
fn connect(global: &Global) -> Result<Client, CommandError> {
    let mut addrs = global.at.clone();
    if addrs.is_empty() {
        let list = std::env::var(AT).map_err(|_| CommandError::Nowhere)?;
        for addr in list.split(',') {
            addrs.push(addr.trim().parse()?);
        }
    }
    let token = match &global.token_file {
        Some(file) => text(file)?,
        None => std::env::var(TOKEN).map_err(|_| CommandError::Nobody)?,
    };
    Ok(Client::new(addrs, token.trim_end().to_owned()))
}

fn text(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|error| CommandError::Read {
        file: file.into(),
        error,
    })
}
