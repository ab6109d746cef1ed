//! The JSON that callers speak: the shape of common model servers, and one shape of errors.
//!
//! Parsing and printing only; docs/PROTOCOLS.md lists the routes.

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
