//! Leases in the log, such as the one for sending orders to an endpoint.
//!
//! The log order decides who holds a lease. The fold reads no clock, only the times in the records.
//! See docs/DESIGN.md.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::change::Offset;
use crate::core::config::content::Content;
use crate::core::config::outcome::Outcome;
use crate::names::LeaseName;
use crate::names::Vm;

/// The time between the expiry of a lease and its grant to another holder. It covers a pause of the
/// old holder and the difference between clocks.
pub const TAKEOVER_DELAY: Millis = Millis::seconds(5);
/// The maximum duration that a lease request may ask for.
pub const MAX_LEASE_DURATION: Millis = Millis::seconds(60);
/// The maximum number of leases at a time.
pub const MAX_LEASES: usize = 4096;

/// The holder of a lease: one run of the daemon on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// The VM that the daemon runs on.
    pub vm: Vm,
    /// The boot number of the daemon. After a restart it is another holder.
    pub boot: u64,
}

/// A request for a lease or its renewal. A duration of zero releases the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    /// The name of the lease.
    pub name: LeaseName,
    /// The daemon that asks for it.
    pub holder: Holder,
    /// The time of the request, by the clock of the requester.
    pub at: Millis,
    /// The requested duration from `at`, at most [`MAX_LEASE_DURATION`].
    pub span: Millis,
}

/// A lease as last granted, which may have expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The daemon that it was granted to.
    pub holder: Holder,
    /// The fencing token: the offset at which this holder got the lease. Renewals keep it.
    pub fence: Offset,
    /// The time of the last granted request, by the clock of the holder.
    pub at: Millis,
    /// The duration of the lease from `at`.
    pub span: Millis,
}

impl Lease {
    /// Returns whether another daemon may take the lease at time `now`.
    ///
    /// The holder itself must stop at `at + span`, which is [`TAKEOVER_DELAY`] earlier.
    pub fn is_free(&self, now: Millis) -> bool {
        self.at + self.span + TAKEOVER_DELAY < now
    }
}

impl Content {
    /// Grants or refuses a lease.
    pub(super) fn request_lease(&mut self, offset: Offset, request: &LeaseRequest) -> Outcome {
        if request.span > MAX_LEASE_DURATION {
            return Outcome::Invalid;
        }
        let known = self.leases.contains_key(&request.name);
        if !known && !self.make_room(request.at) {
            return Outcome::Full;
        }
        let fence = match self.leases.get(&request.name) {
            Some(lease) if lease.holder == request.holder => {
                if request.at <= lease.at {
                    return Outcome::Unchanged;
                }
                lease.fence
            }
            Some(lease) if !lease.is_free(request.at) => {
                return Outcome::LeaseHeld {
                    holder: lease.holder.clone(),
                };
            }
            _ => offset,
        };
        let lease = Lease {
            holder: request.holder.clone(),
            fence,
            at: request.at,
            span: request.span,
        };
        self.leases.insert(request.name.clone(), lease);
        Outcome::Accepted
    }

    /// Drops free leases if the table is full. Returns whether there is room for one more.
    fn make_room(&mut self, now: Millis) -> bool {
        if self.leases.len() >= MAX_LEASES {
            self.leases.retain(|_, lease| !lease.is_free(now));
        }
        self.leases.len() < MAX_LEASES
    }
}
