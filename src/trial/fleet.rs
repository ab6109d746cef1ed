//! The daemons and stand-ins of the trial.

use std::io;
use std::io::Write;
use std::net::SocketAddr;

use log::LevelFilter;

use super::caller;
use super::error::TrialError;
use super::port;
use super::report::Report;
use crate::client::Client;
use crate::client::ClientError;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::core::config::object::Digest;
use crate::core::config::object::Layers;
use crate::core::config::object::OperatorEntry;
use crate::core::daemon::Reply;
use crate::core::daemon::Status;
use crate::io::daemon;
use crate::io::platform::wire::VmEntry;
use crate::io::shell::Shell;
use crate::names::Domain;
use crate::names::Vm;
use crate::settings::Settings;
use crate::standin::engine::Engine;
use crate::standin::site::Site;

/// The number of daemons, one per VM and failure domain.
pub(super) const DAEMONS: usize = 3;
/// The number of layers of the model.
pub(super) const LAYERS: u32 = 12;
/// The number of layers of each stage.
const STAGE_LAYERS: u32 = 4;
/// The name of each stage and its number of engines.
const STAGES: [(&str, usize); 3] = [("head", 2), ("body", 3), ("tail", 2)];
/// The number of endpoints of the plain service `ledger`.
const LEDGERS: usize = 2;
/// The time that an engine takes for a batch.
const STEP: Millis = Millis(4);
/// The failure domain of each VM.
const DOMAINS: [&str; DAEMONS] = ["north", "centre", "south"];
/// The secret by which the daemons authenticate each other.
const SECRET: &str = "only-for-this-trial";
/// The timeout of [`Fleet::wait_until`], whose conditions normally hold within a second or two.
const WAIT_TIMEOUT: Millis = Millis::seconds(20);
/// The interval between checks of a condition.
const POLL_INTERVAL: Millis = Millis(50);

/// A model engine of one stage.
#[derive(Clone, Debug)]
pub(super) struct StageEngine {
    /// The name of the endpoint in the configuration.
    pub(super) name: String,
    /// The name of the stage that it belongs to.
    pub(super) stage: &'static str,
    /// The address that it listens on.
    pub(super) addr: SocketAddr,
    /// The range of layers that it runs.
    pub(super) layers: Layers,
}

/// The running daemons and stand-ins of the trial.
#[derive(Debug)]
pub(super) struct Fleet {
    clock: Clock,
    vms: Vec<VmEntry>,
    shells: Vec<Shell>,
    stages: Vec<StageEngine>,
    ledgers: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts the stand-ins and the daemons on the current event loop.
    pub(super) fn start() -> Result<Self, TrialError> {
        let engines: usize = STAGES.iter().map(|(_, count)| count).sum();
        let ports = port::free(1 + 2 * DAEMONS + engines + LEDGERS)?;
        let (platform, ports) = (ports[0], &ports[1..]);
        let (own, ports) = ports.split_at(2 * DAEMONS);
        let (engines, ledgers) = ports.split_at(engines);
        let vms: Vec<VmEntry> = own.chunks(2).zip(DOMAINS).enumerate().map(vm).collect();
        let stages = stages(engines);
        site(platform, &vms, &stages, ledgers).start()?;
        let clock = Clock::start();
        let start = |vm| daemon::start(&settings(vm, platform), clock);
        let shells = vms.iter().map(start).collect::<Result<_, _>>()?;
        Ok(Self {
            clock,
            vms,
            shells,
            stages,
            ledgers: ledgers.to_vec(),
        })
    }

    /// Prints what runs.
    pub(super) fn introduce<W>(&self, report: &mut Report<'_, W>) -> io::Result<()>
    where
        W: Write,
    {
        report.section("Three daemons, a model in three stages, a ledger, a platform")?;
        for VmEntry {
            vm, domain, caller, ..
        } in &self.vms
        {
            report.line(&format!(
                "{vm} in domain {domain} serves callers at {caller}"
            ))?;
        }
        for (stage, count) in STAGES {
            let layers = self.stages.iter().find(|each| each.stage == stage);
            let layers = layers.map_or_else(String::new, |each| each.layers.to_string());
            report.line(&format!(
                "stage {stage}: {count} engines hold layers {layers}"
            ))?;
        }
        report.line(&format!(
            "ledger: {LEDGERS} endpoints that count their effects"
        ))
    }

    /// Waits until every daemon reports ready: it has the configuration and knows the others.
    pub(super) async fn wait_ready(&self) -> Result<(), TrialError> {
        self.wait_until("the start of the daemons", || async {
            for vm in 0..DAEMONS {
                let ready = caller::get(self.caller(vm), "/readyz").await?;
                if !ready.status.is_success() {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await
    }

    /// Returns the address at which a VM serves callers.
    pub(super) fn caller(&self, vm: usize) -> SocketAddr {
        self.vms[vm].caller
    }

    /// Returns the name of a VM.
    pub(super) fn name(&self, vm: usize) -> &Vm {
        &self.vms[vm].vm
    }

    /// Returns the shell of a VM's daemon.
    pub(super) fn shell(&self, vm: usize) -> &Shell {
        &self.shells[vm]
    }

    /// Returns the engines of all stages, in the order of the stages.
    pub(super) fn stages(&self) -> &[StageEngine] {
        &self.stages
    }

    /// Returns the addresses of the ledgers.
    pub(super) fn ledgers(&self) -> &[SocketAddr] {
        &self.ledgers
    }

    /// Returns a client that sends requests to one VM with an operator's or owner's token.
    pub(super) fn client(&self, vm: usize, token: &str) -> Client {
        Client::new(vec![self.caller(vm)], token.to_owned())
    }

    /// Returns a VM's status.
    pub(super) async fn status(&self, vm: usize) -> Result<Status, TrialError> {
        match self.client(vm, ADA).get("status").await {
            Ok(Reply::Status(status)) => Ok(*status),
            Ok(_) => Err(TrialError::UnexpectedAnswer),
            Err(error) => Err(ClientError::into(error)),
        }
    }

    /// Waits until `is_so` returns true, and fails after [`WAIT_TIMEOUT`]; `what` names the
    /// condition in the error.
    pub(super) async fn wait_until<C, F>(
        &self,
        what: &'static str,
        is_so: C,
    ) -> Result<(), TrialError>
    where
        C: Fn() -> F,
        F: Future<Output = Result<bool, TrialError>>,
    {
        let end = self.clock.now() + WAIT_TIMEOUT;
        while !is_so().await? {
            if self.clock.now() >= end {
                return Err(TrialError::Late { what });
            }
            monoio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        Ok(())
    }
}

/// The token of the operator `ada`, who is also in the daemons' settings.
pub(super) const ADA: &str = "token-of-ada";
/// The token of the operator `ben`, who is only in the configuration.
pub(super) const BEN: &str = "token-of-ben";

fn vm((index, (addrs, domain)): (usize, (&[SocketAddr], &str))) -> VmEntry {
    VmEntry {
        vm: Vm::from(format!("vm-{}", index + 1)),
        domain: Domain::from(domain),
        peer: addrs[0],
        caller: addrs[1],
        leaving: false,
    }
}

fn stages(addrs: &[SocketAddr]) -> Vec<StageEngine> {
    let mut addrs = addrs.iter();
    let mut stages = Vec::new();
    for (index, (stage, count)) in STAGES.into_iter().enumerate() {
        let from = index as u32 * STAGE_LAYERS;
        let to = from + STAGE_LAYERS;
        for (number, addr) in (1..=count).zip(&mut addrs) {
            stages.push(StageEngine {
                name: format!("{stage}-{number}"),
                stage,
                addr: *addr,
                layers: Layers { from, to },
            });
        }
    }
    stages
}

fn site(
    platform: SocketAddr,
    vms: &[VmEntry],
    stages: &[StageEngine],
    ledgers: &[SocketAddr],
) -> Site {
    let engine = |stage: &StageEngine| Engine {
        addr: stage.addr,
        layers: stage.layers,
        total: LAYERS,
        slots: 16,
        step: STEP,
        prefill: 0,
        positions: 65_536,
    };
    Site {
        platform: Some(platform),
        vms: vms.to_vec(),
        engines: stages.iter().map(engine).collect(),
        services: ledgers.to_vec(),
    }
}

fn settings(vm: &VmEntry, platform: SocketAddr) -> Settings {
    Settings {
        vm: vm.vm.clone(),
        domain: vm.domain.clone(),
        caller: vm.caller,
        peer: vm.peer,
        platform,
        secret: SECRET.to_owned(),
        operators: vec![OperatorEntry {
            name: "ada".into(),
            token: Digest::of(ADA),
        }],
        level: LevelFilter::Off,
        shards: 4,
        opaque: true,
    }
}
