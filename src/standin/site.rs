//! The configuration of stand-ins that run in one process.

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

/// The stand-ins to start, as read from a site file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Site {
    /// The address of the platform; `None` starts no platform.
    pub platform: Option<SocketAddr>,
    /// The initial VM list of the platform.
    pub vms: Vec<VmEntry>,
    /// The model engines to start.
    pub engines: Vec<Engine>,
    /// The addresses of the plain services to start.
    pub services: Vec<SocketAddr>,
}

/// An error while reading or starting a site.
#[derive(Debug, Display, Error, From)]
pub enum SiteError {
    /// The file is not valid YAML or does not match [`Site`].
    #[display("{_0}")]
    Yaml(Box<serde_saphyr::Error>),
    /// A stand-in could not bind its address.
    #[display("an address cannot be bound: {_0}")]
    Bind(std::io::Error),
}

impl Site {
    /// Reads a site from YAML.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid YAML or does not match [`Site`]; the error names the line.
    pub fn parse(text: &str) -> Result<Self, SiteError> {
        serde_saphyr::from_str(text).map_err(|error| SiteError::Yaml(Box::new(error)))
    }

    /// Starts all stand-ins on the current runtime.
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
