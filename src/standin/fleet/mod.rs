//! Stand-ins for a platform that edge daemons run on: a store that keeps the newest record of each
//! key, engines that hold layers and pass requests along paths, and plain endpoints.
//!
//! They live in one process and share one view of the engines, so an engine of a path knows
//! whether the others are there, as real ones find out over the wire.

mod dialect;
mod endpoint;
mod store;

pub use self::dialect::dialect;
pub use self::endpoint::EVENTS;
pub use self::endpoint::Endpoint;
pub use self::endpoint::Endpoints;
pub use self::endpoint::HiddenFault;
pub use self::store::Store;
