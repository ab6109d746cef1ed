//! The client for the platform's service: its log and its list of VMs.

mod client;
pub mod wire;

pub use client::Platform;
pub use client::PlatformError;
pub use client::Read;
