//! A configuration packed for other VMs.

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

/// The largest configuration that is unpacked, in bytes: four times what the platform's store takes in
/// one record.
const MAX_CONFIG_BYTES: u64 = 16 * 1024 * 1024;

/// Bytes that hold no configuration.
#[derive(Debug, Display, Error, From)]
pub enum PackedError {
    /// They are not deflated data, or cannot be deflated.
    #[display("{_0}")]
    Io(io::Error),
    /// They hold something else.
    #[display("{_0}")]
    Json(serde_json::Error),
}

/// A configuration as VMs hand it on: one of thousands of routes takes a second on a slow link as it
/// is, and a tenth of that when it is packed. A VM hands on the bytes that it got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedConfig(pub Bytes);

impl PackedConfig {
    /// Packs a configuration.
    ///
    /// # Errors
    ///
    /// Fails if it has no JSON form.
    pub fn new(site: &SiteConfig) -> Result<Self, PackedError> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&serde_json::to_vec(site)?)?;
        Ok(Self(encoder.finish()?.into()))
    }

    /// Unpacks the configuration.
    ///
    /// # Errors
    ///
    /// Fails if the bytes hold none, or one that is larger than any that the store takes.
    pub fn unpack(&self) -> Result<SiteConfig, PackedError> {
        let mut text = Vec::new();
        DeflateDecoder::new(&*self.0)
            .take(MAX_CONFIG_BYTES)
            .read_to_end(&mut text)?;
        Ok(serde_json::from_slice(&text)?)
    }
}
