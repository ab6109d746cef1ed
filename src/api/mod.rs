//! The JSON bodies of the callers' API, compatible with common model servers.
//!
//! This module only parses and serializes; docs/PROTOCOLS.md lists the routes.

mod failure;
mod request;
mod response;
mod text;

pub use failure::ErrorBody;
pub use request::CompletionRequest;
pub use request::RequestError;
pub use response::CompletionKind;
pub use response::CompletionResponse;
pub use response::Model;
pub use response::Models;
pub use text::Detokenizer;
pub use text::tokenize;
