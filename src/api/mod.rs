//! The JSON that callers speak: the shape of common model servers, and one shape of errors.
//!
//! Parsing and printing only; docs/PROTOCOLS.md lists the routes.

mod answer;
mod ask;
mod failure;
mod text;

pub use answer::Answer;
pub use answer::Model;
pub use answer::Models;
pub use answer::Shape;
pub use ask::Ask;
pub use ask::AskError;
pub use failure::ErrorBody;
pub use text::Text;
pub use text::tokens;
