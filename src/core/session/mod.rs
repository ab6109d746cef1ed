//! Pipeline sessions: one model request carried hop by hop over a chain of endpoints.
//!
//! The daemon drives every hop, so each answer can be held against the one question that it
//! belongs to (docs/SESSIONS.md).

pub mod wire;
