//! The platform's service as a client sees it.

pub mod wire;
