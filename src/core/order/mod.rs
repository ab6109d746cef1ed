//! Orders to endpoints. Only the holder of an endpoint's lease, a record in the log, may send them.
//!
//! The fencing token of an order is the offset of the lease record. An endpoint that checks it
//! never runs an outdated order. For other endpoints, a new holder waits until the old lease has
//! expired and [`MAX_ORDER_DELAY`] has passed, and each order has a short deadline that is checked
//! right before it is sent (docs/operators/membership.md).
//!
//! Clocks of different VMs are never compared: the holder counts its lease from when it sent the
//! append, the others from when they read the record, which is later.

mod holder;
mod lease;

pub use self::holder::Action;
pub use self::holder::DesiredState;
pub use self::holder::Holder;
pub use self::holder::Order;
pub use self::holder::OrderOutcome;
pub use self::lease::LEASE_DURATION;
pub use self::lease::Lease;
pub use self::lease::MAX_ORDER_DELAY;
