//! Leases in the log, such as the one for the orders to an endpoint.
//!
//! The order of the log decides who holds a lease; no clock but the records' own is read. See
//! docs/DESIGN.md, section 5.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::change::Offset;
use crate::core::config::content::Content;
use crate::core::config::outcome::Outcome;
use crate::names::LeaseName;
use crate::names::Vm;

/// How long a holder may be paused, and clocks may differ, before a lapsed lease is given away.
pub const TAKEOVER_DELAY: Millis = Millis::seconds(5);
/// The longest span that a lease may be asked for.
pub const MAX_LEASE_DURATION: Millis = Millis::seconds(60);
/// The most leases that are held at a time.
pub const MAX_LEASES: usize = 4096;

/// Who holds a lease: one boot of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// The VM.
    pub vm: Vm,
    /// Its boot; a restarted daemon is another holder.
    pub boot: u64,
}

/// A request for a lease, or for its renewal; a span of zero gives it back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    /// The lease.
    pub name: LeaseName,
    /// Who asks.
    pub holder: Holder,
    /// When it was asked for.
    pub at: Millis,
    /// For how long.
    pub span: Millis,
}

/// A lease that was granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Who holds it.
    pub holder: Holder,
    /// The fencing number: the offset at which this holder first got it.
    pub fence: Offset,
    /// When it was last renewed.
    pub at: Millis,
    /// How long it lasts from then on.
    pub span: Millis,
}

impl Lease {
    /// Says whether another may take the lease at a point in time.
    ///
    /// The holder itself must stop at `at + span`; the pause bound lies between the two.
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

    /// Makes room for one more lease by dropping the free ones, and says whether there is any.
    fn make_room(&mut self, now: Millis) -> bool {
        if self.leases.len() >= MAX_LEASES {
            self.leases.retain(|_, lease| !lease.is_free(now));
        }
        self.leases.len() < MAX_LEASES
    }
}
