//! The compressed form in which VMs send each other what may be large.

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
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The maximum size of unpacked data, in bytes: four times the store's limit for a record.
const MAX_UNPACKED_BYTES: u64 = 16 * 1024 * 1024;

/// Failure to pack or unpack data.
#[derive(Debug, Display, Error, From)]
pub enum PackedError {
    /// Compression failed, or the bytes are not deflate data.
    #[display("{_0}")]
    Io(io::Error),
    /// The data is not the JSON form of the expected type.
    #[display("{_0}")]
    Json(serde_json::Error),
}

/// Returns a value as deflated JSON.
///
/// # Errors
///
/// Fails if the value cannot be serialized or compressed.
pub fn pack<T>(value: &T) -> Result<Bytes, PackedError>
where
    T: Serialize,
{
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(value)?)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses and parses what [`pack`] returned.
///
/// # Errors
///
/// Fails if the bytes are not a valid value of the type, or one larger than 16 MiB.
pub fn unpack<T>(bytes: &[u8]) -> Result<T, PackedError>
where
    T: DeserializeOwned,
{
    let mut text = Vec::new();
    DeflateDecoder::new(bytes)
        .take(MAX_UNPACKED_BYTES)
        .read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}
