//! Whether this VM reaches any endpoint.
//!
//! A VM may lose its links to all endpoints while callers and other VMs still reach it. One failed
//! endpoint does not show that, and neither do answers over connections that were opened before: a
//! fault may spare those. So several failures without an answer over a new connection make a check
//! due, and the check decides (docs/PLATFORM.md).
//!
//! This answers the load of callers at a VM during such a fault: their requests fail here within
//! seconds, while other VMs could serve them. Without requests nothing fails, and nothing is checked.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::clock::Millis;

/// The number of failed endpoints that make a check due. A single one has mostly failed by itself.
const MIN_FAILED: usize = 2;
/// How long a failure counts. Endpoints that fail by themselves seldom fail together.
const FAILURE_TTL: Millis = Millis::seconds(2);

/// What this VM knows about its links to endpoints.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// The endpoints that failed since the last contact, and when each last did.
    failed: BTreeMap<SocketAddr, Millis>,
    last_contact: Millis,
    cut_since: Option<Millis>,
    is_checking: bool,
}

impl Reach {
    /// Records that a connection to an endpoint could not be opened or broke, or that the endpoint
    /// did not answer in time.
    pub fn record_failure(&mut self, now: Millis, addr: SocketAddr) {
        self.failed.retain(|_, at| now.since(*at) < FAILURE_TTL);
        self.failed.insert(addr, now);
    }

    /// Records that an endpoint answered over a new connection. Returns for how long none was
    /// reached, if the VM was cut off.
    pub fn record_contact(&mut self, now: Millis) -> Option<Millis> {
        self.failed.clear();
        self.last_contact = now;
        self.cut_since.take().map(|since| now.since(since))
    }

    /// Returns whether to check now if any endpoint is reached, with `known` endpoints in all. If so,
    /// records the check as begun.
    pub fn begin_check(&mut self, now: Millis, known: usize) -> bool {
        self.failed.retain(|_, at| now.since(*at) < FAILURE_TTL);
        let is_due = self.failed.len() >= MIN_FAILED.min(known.max(1));
        let begins = is_due && !self.is_checking && self.cut_since.is_none();
        self.is_checking |= begins;
        begins
    }

    /// Records a check as begun that does not depend on failures; returns `false` if one is already
    /// in progress.
    pub fn begin_recheck(&mut self) -> bool {
        !std::mem::replace(&mut self.is_checking, true)
    }

    /// Records the end of a check that began at `start` and asked so many endpoints. Returns whether it
    /// showed that the VM is cut off, which it was not before; with none to ask, it shows nothing.
    pub fn end_check(&mut self, now: Millis, start: Millis, asked: usize) -> bool {
        self.is_checking = false;
        if asked == 0 || self.last_contact >= start || self.cut_since.is_some() {
            return false;
        }
        self.cut_since = Some(now);
        true
    }

    /// Ends a check that was given up; it shows nothing.
    pub const fn cancel_check(&mut self) {
        self.is_checking = false;
    }

    /// Returns whether a check is in progress.
    #[must_use]
    pub const fn is_checking(&self) -> bool {
        self.is_checking
    }

    /// Returns whether the last check reached no endpoint, and none has answered since.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns whether an endpoint failed since the last contact.
    #[must_use]
    pub fn has_failed(&self, addr: &SocketAddr) -> bool {
        self.failed.contains_key(addr)
    }
}
