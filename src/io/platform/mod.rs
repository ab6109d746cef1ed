//! The platform's service as a client sees it.

mod client;
pub mod wire;

pub use client::Platform;
pub use client::PlatformError;
pub use client::Read;
