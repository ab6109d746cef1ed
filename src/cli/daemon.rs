//! Arguments of `cornelwharfd`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use log::LevelFilter;

use crate::settings::Settings;

/// The daemon on an entry VM: routes callers' requests to model engines and plain services.
#[derive(Debug, Parser)]
#[command(version)]
pub struct DaemonArgs {
    /// The settings file, in YAML.
    #[arg(value_name = "FILE")]
    pub settings: PathBuf,
    /// The listen address for callers; overrides the file's `caller`.
    #[arg(long, value_name = "ADDR")]
    pub caller: Option<SocketAddr>,
    /// The listen address for other daemons; overrides the file's `peer`.
    #[arg(long, value_name = "ADDR")]
    pub peer: Option<SocketAddr>,
    /// The address of the platform's service; overrides the file's `platform`.
    #[arg(long, value_name = "ADDR")]
    pub platform: Option<SocketAddr>,
    /// The lowest severity that is logged; overrides the file's `level`.
    #[arg(long, value_name = "LEVEL")]
    pub level: Option<LevelFilter>,
}

impl DaemonArgs {
    /// Overrides the file's settings with the flags that are given.
    pub fn merge(&self, settings: &mut Settings) {
        settings.caller = self.caller.unwrap_or(settings.caller);
        settings.peer = self.peer.unwrap_or(settings.peer);
        settings.platform = self.platform.unwrap_or(settings.platform);
        settings.level = self.level.unwrap_or(settings.level);
    }
}
