//! The arguments of `cornelwharfd`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use log::LevelFilter;

use crate::settings::Settings;

/// The daemon of an entry VM: routes callers' requests to model engines and plain services.
#[derive(Debug, Parser)]
#[command(version)]
pub struct DaemonArgs {
    /// The settings file, in YAML.
    #[arg(value_name = "FILE")]
    pub settings: PathBuf,
    /// Where callers connect, in place of the file's `caller`.
    #[arg(long, value_name = "ADDR")]
    pub caller: Option<SocketAddr>,
    /// Where other daemons connect, in place of the file's `peer`.
    #[arg(long, value_name = "ADDR")]
    pub peer: Option<SocketAddr>,
    /// The platform's service, in place of the file's `platform`.
    #[arg(long, value_name = "ADDR")]
    pub platform: Option<SocketAddr>,
    /// The least level that is logged, in place of the file's `level`.
    #[arg(long, value_name = "LEVEL")]
    pub level: Option<LevelFilter>,
}

impl DaemonArgs {
    /// Puts the flags over the file's settings.
    pub fn merge(&self, settings: &mut Settings) {
        settings.caller = self.caller.unwrap_or(settings.caller);
        settings.peer = self.peer.unwrap_or(settings.peer);
        settings.platform = self.platform.unwrap_or(settings.platform);
        settings.level = self.level.unwrap_or(settings.level);
    }
}
