//! The compressed form of a configuration that VMs send each other.

use bytes::Bytes;

use super::SiteConfig;
use crate::core::packed::PackedError;
use crate::core::packed::pack;
use crate::core::packed::unpack;

/// A configuration as deflated JSON. Uncompressed, one with thousands of routes takes a second on a
/// slow link; compressed, a tenth of that. A VM forwards the bytes that it received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedConfig(pub Bytes);

impl PackedConfig {
    /// Serializes and compresses a configuration.
    ///
    /// # Errors
    ///
    /// Fails if the configuration cannot be serialized or compressed.
    pub fn new(site: &SiteConfig) -> Result<Self, PackedError> {
        Ok(Self(pack(site)?))
    }

    /// Decompresses and parses the configuration.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid configuration, or one larger than 16 MiB.
    pub fn unpack(&self) -> Result<SiteConfig, PackedError> {
        unpack(&self.0)
    }
}
