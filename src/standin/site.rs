//! A file that lists stand-ins to run in one process.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use super::engine;
use super::engine::Engine;
use super::platform;
use super::service;
use crate::io::platform::wire::VmEntry;
use crate::io::platform::wire::VmList;

/// The stand-ins of a site.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Site {
    /// Where the platform listens.
    pub platform: Option<SocketAddr>,
    /// The VMs of its list.
    pub vms: Vec<VmEntry>,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// Where the plain services listen.
    pub services: Vec<SocketAddr>,
}

/// A site that cannot be started.
#[derive(Debug, Display, Error, From)]
pub enum SiteError {
    /// The file is not as it should be.
    #[display("{_0}")]
    Yaml(Box<serde_saphyr::Error>),
    /// An address cannot be bound.
    #[display("an address cannot be bound: {_0}")]
    Bind(std::io::Error),
}

impl Site {
    /// Reads a site from YAML.
    ///
    /// # Errors
    ///
    /// Fails if the text is no YAML of the expected form; the error names the line.
    pub fn parse(text: &str) -> Result<Self, SiteError> {
        serde_saphyr::from_str(text).map_err(|error| SiteError::Yaml(Box::new(error)))
    }

    /// Starts all stand-ins on the running loop.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub fn start(self) -> Result<(), SiteError> {
        if let Some(addr) = self.platform {
            platform::start(addr, VmList { vms: self.vms })?;
        }
        for engine in self.engines {
            engine::start(engine)?;
        }
        for addr in self.services {
            service::start(addr)?;
        }
        Ok(())
    }
}
