//! The settings of an edge daemon: a YAML file, checked as a whole at the start.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::clock::Millis;
use crate::names::Domain;
use crate::names::Vm;
use crate::settings::SettingsError;

/// The settings of an edge daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this VM.
    pub vm: Vm,
    /// The failure domain that it is in.
    pub domain: Domain,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the platform asks whether the VM is ready.
    pub ready: SocketAddr,
    /// Where callers ask which addresses to use.
    pub registry: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Where other VMs connect, by TCP and UDP.
    pub peer: SocketAddr,
    /// The machines at which other VMs may be found; their ports are this VM's.
    #[serde(default)]
    pub contacts: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Bounds that the platform sets.
    pub bounds: Bounds,
}

/// Bounds that the platform sets.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// How long a process may run on after it was told to stop, in seconds.
    pub grace: u64,
    /// Retries that are allowed for each request.
    pub ratio: f64,
    /// Retries that are allowed in a window besides.
    pub extra: f64,
    /// The window of the two, in seconds.
    pub window: u64,
    /// Within this span an accepted change is in force everywhere, in milliseconds.
    pub apply: u64,
    /// The longest that callers may keep an answer of the registry, in seconds.
    pub keep: u64,
}

impl Bounds {
    /// Returns the span within which an accepted change is in force everywhere.
    #[must_use]
    pub const fn apply(&self) -> Millis {
        Millis(self.apply)
    }

    /// Returns the time between the order to stop and the kill.
    #[must_use]
    pub const fn grace(&self) -> Millis {
        Millis::seconds(self.grace)
    }
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is no YAML, has an unknown key, lacks one, or holds a
    /// value of another type; the error names the line.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(SettingsError::Read)?;
        Self::parse(&text)
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    ///
    /// As [`Self::load`], but for reading.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        Ok(serde_saphyr::from_str(text)?)
    }

    /// Returns the addresses at which other VMs may be found.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        let port = self.peer.port();
        self.contacts
            .iter()
            .map(move |addr| SocketAddr::new(addr.ip(), port))
    }
}
