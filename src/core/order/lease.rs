//! The lease for the orders of one endpoint, as every daemon derives it from the log.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::names::EndpointName;
use crate::names::Vm;

/// How long a lease is valid. The holder counts from when it sent the first append of the record.
pub const LEASE_DURATION: Millis = Millis::seconds(15);
/// The longest time that is allowed between the last check of an order and its arrival at an
/// endpoint that does not check fencing tokens. It covers a pause of the daemon, the network delay
/// and the drift between two clocks over one lease.
pub const MAX_ORDER_DELAY: Millis = Millis::seconds(10);

/// A lease record. It takes effect only if `after` names the lease in force at its place in the
/// log, so of two daemons that append at the same time exactly one gets the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The endpoint that the lease is for.
    pub name: EndpointName,
    /// The VM that may send orders.
    pub holder: Vm,
    /// The boot number of that VM, which no longer holds the lease after a restart.
    pub boot: u64,
    /// The offset of the lease record that this one replaces; `None` for the first.
    pub after: Option<u64>,
    /// How long the lease is valid.
    pub span: Millis,
}

/// The lease in force and when this daemon read it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CurrentLease {
    /// The lease record.
    pub(super) lease: Lease,
    /// The offset of the record, which is the fencing token of its orders.
    pub(super) offset: u64,
    /// When this daemon read the record, which is after it was appended.
    pub(super) read_at: Millis,
}

impl CurrentLease {
    /// Returns the time after which no order of this lease arrives, provided that no order takes
    /// longer than [`MAX_ORDER_DELAY`].
    pub(super) fn orders_end(&self) -> Millis {
        self.read_at + self.lease.span + MAX_ORDER_DELAY
    }
}
