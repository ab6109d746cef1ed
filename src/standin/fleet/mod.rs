//! Stand-ins for the platform of edge daemons: a store that returns the newest record of each key,
//! engines that hold layers and forward requests along paths, and plain endpoints.
//!
//! They run in one process and share their state, so each engine of a path knows whether the others
//! are available. Real engines find this out over the network.

mod dialect;
mod endpoint;
mod store;

pub use self::dialect::dialect;
pub use self::endpoint::CrashTarget;
pub use self::endpoint::EVENTS;
pub use self::endpoint::Endpoint;
pub use self::endpoint::Endpoints;
pub use self::endpoint::HiddenFault;
pub use self::store::Store;
