//! Frames: a length of four bytes, then that many bytes of JSON.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use jsonrpsee_types::Notification;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::consts::FRAME_BYTES;
use crate::io::http::HttpError;
use crate::io::http::Reader;
use crate::io::http::Writer;

/// The bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// A frame that is no message.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The frame is no JSON-RPC notification, or its parameters are of another type.
    #[display("malformed message: {_0}")]
    Json(serde_json::Error),
}

/// Returns a message as the content of a frame.
///
/// # Errors
///
/// Fails if the parameters have no JSON form.
pub fn encode<T>(method: &str, params: &T) -> Result<Bytes, FrameError>
where
    T: Serialize,
{
    let message = Notification::new(method.into(), params);
    Ok(serde_json::to_vec(&message)?.into())
}

/// Reads the method and the parameters out of the content of a frame.
///
/// # Errors
///
/// Fails if the content is no JSON-RPC notification.
pub fn decode(content: &[u8]) -> Result<Notification<'_, &RawValue>, FrameError> {
    Ok(serde_json::from_slice(content)?)
}

pub(super) async fn read(reader: &mut Reader) -> Result<Bytes, HttpError> {
    let length = reader.exact(LENGTH_BYTES).await?;
    let length: [u8; LENGTH_BYTES] = length
        .as_ref()
        .try_into()
        .map_err(|_| HttpError::Malformed)?;
    let size = u32::from_be_bytes(length) as usize;
    if size > FRAME_BYTES {
        return Err(HttpError::TooLarge);
    }
    reader.exact(size).await
}

pub(super) async fn write(writer: &mut Writer, content: &[u8]) -> Result<(), HttpError> {
    let size = u32::try_from(content.len()).map_err(|_| HttpError::TooLarge)?;
    let mut frame = Vec::with_capacity(LENGTH_BYTES + content.len());
    frame.extend_from_slice(&size.to_be_bytes());
    frame.extend_from_slice(content);
    writer.raw(&frame).await
}
