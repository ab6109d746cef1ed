//! The settings of an edge daemon: a YAML file that is read and checked at startup.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::clock::Millis;
use crate::consts::MAX_KEPT_BYTES;
use crate::names::Domain;
use crate::names::Vm;
use crate::settings::SettingsError;

/// The part of a daemon's memory that incomplete answers may take, and incomplete requests the same. Buffers
/// that grow add to each for a moment, and a process should stay under half of its limit with what it needs
/// itself.
const KEPT_PART: usize = 12;
const BYTES_PER_MB: usize = 1_000_000;

/// The settings of an edge daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this VM, unique among all VMs.
    pub vm: Vm,
    /// The failure domain of this VM.
    pub domain: Domain,
    /// The address that callers connect to.
    pub front: SocketAddr,
    /// The address on which the platform checks whether the VM is ready.
    pub ready: SocketAddr,
    /// The address on which callers ask which VMs to connect to.
    pub registry: SocketAddr,
    /// The address on which Prometheus reads the metrics.
    pub metrics: SocketAddr,
    /// The address on which other VMs reach this one, by TCP and UDP.
    pub peer: SocketAddr,
    /// Machines that may run other VMs. Their ports are ignored: peers use the port of
    /// [`Self::peer`].
    #[serde(default)]
    pub contacts: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The share of a core that this VM has, from which the VMs choose those that sum up the load of
    /// the others; 0 if it is not known.
    #[serde(default)]
    pub share: f64,
    /// The memory that the daemon may use, in megabytes, of which incomplete answers and requests may take
    /// a part each; 0 if it is not limited.
    #[serde(default)]
    pub memory: u64,
    /// The limits that the platform sets.
    pub bounds: Bounds,
}

/// The limits that a platform sets.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The time between SIGTERM and the kill of the process, in seconds.
    pub grace: u64,
    /// The retries allowed per request within [`Self::window`].
    pub ratio: f64,
    /// The retries allowed in addition within each window, shared by all VMs.
    pub extra: f64,
    /// The window of [`Self::ratio`] and [`Self::extra`], in seconds.
    pub window: u64,
    /// The longest time until an accepted change is in force on every VM, in milliseconds.
    pub apply: u64,
    /// The longest time that callers may cache the addresses from the registry, in seconds.
    pub keep: u64,
}

impl Bounds {
    /// Returns the longest time until an accepted change is in force on every VM.
    #[must_use]
    pub const fn apply(&self) -> Millis {
        Millis(self.apply)
    }

    /// Returns the time between SIGTERM and the kill of the process.
    #[must_use]
    pub const fn grace(&self) -> Millis {
        Millis::seconds(self.grace)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not YAML, has an unknown key, lacks a key, or has a
    /// value of the wrong type; the error names the line.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(SettingsError::Read)?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// As [`Self::load`], except for reading the file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        Ok(serde_saphyr::from_str(text)?)
    }

    /// Returns how many bytes of incomplete answers the connections to endpoints, other VMs and the store may
    /// keep together, and those from callers of incomplete requests.
    #[must_use]
    pub fn keep_limit(&self) -> usize {
        match self.memory {
            0 => MAX_KEPT_BYTES,
            memory => memory as usize * BYTES_PER_MB / KEPT_PART,
        }
    }

    /// Returns the share of a core that this VM has, in thousandths.
    #[must_use]
    pub fn capacity(&self) -> u16 {
        (self.share * 1000.0) as u16
    }

    /// Returns the addresses on which other VMs may be reached.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        let port = self.peer.port();
        self.contacts
            .iter()
            .map(move |addr| SocketAddr::new(addr.ip(), port))
    }
}
