//! The compressed form of a configuration that VMs send each other.

use std::io;
use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use super::SiteConfig;

/// The maximum size of an unpacked configuration, in bytes: four times the store's limit for a
/// record.
const MAX_CONFIG_BYTES: u64 = 16 * 1024 * 1024;

/// Failure to pack or unpack a configuration.
#[derive(Debug, Display, Error, From)]
pub enum PackedError {
    /// Compression failed, or the bytes are not deflate data.
    #[display("{_0}")]
    Io(io::Error),
    /// The data is not the JSON form of a configuration.
    #[display("{_0}")]
    Json(serde_json::Error),
}

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
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&serde_json::to_vec(site)?)?;
        Ok(Self(encoder.finish()?.into()))
    }

    /// Decompresses and parses the configuration.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid configuration, or one larger than 16 MiB.
    pub fn unpack(&self) -> Result<SiteConfig, PackedError> {
        let mut text = Vec::new();
        DeflateDecoder::new(&*self.0)
            .take(MAX_CONFIG_BYTES)
            .read_to_end(&mut text)?;
        Ok(serde_json::from_slice(&text)?)
    }
}
