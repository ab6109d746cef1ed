//! Frames: a length as four big-endian bytes, then that many bytes of JSON-RPC.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use jsonrpsee_types::TwoPointZero;
use serde::Serialize;

use crate::consts::MAX_FRAME_BYTES;
use crate::core::daemon::Body;
use crate::io::http::HttpError;
use crate::io::http::Reader;
use crate::io::http::Writer;

/// The size of the length prefix.
const LENGTH_BYTES: usize = 4;

/// Why a frame's content cannot be encoded or decoded.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The content is not a JSON-RPC notification, or this release does not know its method.
    #[display("malformed message: {_0}")]
    Json(serde_json::Error),
}

/// A JSON-RPC notification; the body provides the method and the parameters.
#[derive(Debug, Serialize)]
struct Notification<'a> {
    jsonrpc: TwoPointZero,
    #[serde(flatten)]
    body: &'a Body,
}

/// Encodes a message as the content of a frame, without the length.
///
/// # Errors
///
/// Fails if the message cannot be serialized as JSON.
pub fn encode(body: &Body) -> Result<Bytes, FrameError> {
    let message = Notification {
        jsonrpc: TwoPointZero,
        body,
    };
    Ok(serde_json::to_vec(&message)?.into())
}

/// Decodes the content of a frame.
///
/// # Errors
///
/// Fails if the content is not a message that this release knows. The receiver may drop it, because
/// senders tolerate the loss of any message.
pub fn decode(content: &[u8]) -> Result<Body, FrameError> {
    Ok(serde_json::from_slice(content)?)
}

pub(super) async fn read(reader: &mut Reader) -> Result<Bytes, HttpError> {
    let length = reader.read_exact(LENGTH_BYTES).await?;
    let length: [u8; LENGTH_BYTES] = length
        .as_ref()
        .try_into()
        .map_err(|_| HttpError::Malformed)?;
    let size = u32::from_be_bytes(length) as usize;
    if size > MAX_FRAME_BYTES {
        return Err(HttpError::TooLarge);
    }
    reader.read_exact(size).await
}

pub(super) async fn write(writer: &mut Writer, content: &[u8]) -> Result<(), HttpError> {
    let size = u32::try_from(content.len()).map_err(|_| HttpError::TooLarge)?;
    let mut frame = Vec::with_capacity(LENGTH_BYTES + content.len());
    frame.extend_from_slice(&size.to_be_bytes());
    frame.extend_from_slice(content);
    writer.write_raw(&frame).await
}
