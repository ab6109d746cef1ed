//! The lease of one endpoint, as every daemon folds it from the log.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::names::EndpointName;
use crate::names::Vm;

/// How long a lease lasts, counted by its holder from before the append.
pub const LEASE_DURATION: Millis = Millis::seconds(15);
/// The longest time that may pass between the last check of an order and its arrival at an
/// endpoint that does not check fencing numbers: a pause of the daemon, the network and the drift
/// of two clocks over one lease.
pub const MAX_ORDER_DELAY: Millis = Millis::seconds(10);

/// A lease record. It counts only if it replaces the lease that is in force where it stands in
/// the log, so that of two daemons that try at once exactly one gets it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The endpoint.
    pub name: EndpointName,
    /// The VM that may give orders.
    pub holder: Vm,
    /// The boot of that VM.
    pub boot: u64,
    /// The offset of the lease record that it replaces; `None` for the first.
    pub after: Option<u64>,
    /// How long it lasts.
    pub span: Millis,
}

/// The lease in force and what this daemon knows of its age.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CurrentLease {
    /// The record.
    pub(super) lease: Lease,
    /// Its offset, the fencing number.
    pub(super) offset: u64,
    /// When this daemon read it, which is after it was appended.
    pub(super) read_at: Millis,
}

impl CurrentLease {
    /// Returns when no order of this lease can arrive any more, provided that the pause bound
    /// holds.
    pub(super) fn orders_end(&self) -> Millis {
        self.read_at + self.lease.span + MAX_ORDER_DELAY
    }
}
