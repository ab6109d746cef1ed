//! Orders to endpoints: one holder for each endpoint, by a lease in the log.
//!
//! The fencing number of an order is the offset of the lease record. An endpoint that checks it
//! is safe whatever happens. For the others, a new holder waits out the old lease and a pause
//! bound, and each order carries a short deadline that is checked last thing before it is sent
//! (docs/operators/membership.md). No two clocks are ever compared: the holder counts its lease
//! from when it sent the append, the others from when they read the record, which is later.

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
