//! Which VMs reach no endpoint, as they tell each other, and which VM serves the callers of one that
//! does not.

use std::cmp::Ordering;
use std::net::SocketAddr;

use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use super::ALIVE_TIMEOUT;
use super::ALIVE_TIMEOUT_PER_VM;
use super::Fleet;
use super::Member;
use super::start_hash;
use crate::clock::Millis;

/// The largest number of notices in one message.
const MAX_NOTICES: usize = 48;

/// A notice that a VM reaches no endpoint. It is passed on from VM to VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CutNotice {
    /// Identifies the VM and its start, as [`super::Digest::start_hash`].
    pub start_hash: u32,
    /// The time since the VM last said so itself.
    pub age: Millis,
}

impl Fleet {
    /// Records whether this VM reaches no endpoint.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Returns how long a notice is valid unless the VM renews it: as long as a VM counts as alive.
    fn notice_ttl(&self) -> Millis {
        ALIVE_TIMEOUT + Millis(ALIVE_TIMEOUT_PER_VM.0 * self.others.len() as u64)
    }

    /// Returns the notices for the next message, this VM's own first, then the newest.
    pub fn cut_notices(&mut self, now: Millis) -> Vec<CutNotice> {
        let ttl = self.notice_ttl();
        self.cut_vms.retain(|_, at| now.since(*at) < ttl);
        let own = self.is_cut_off.then(|| CutNotice {
            start_hash: start_hash(&self.me),
            age: Millis(0),
        });
        let mut known: Vec<CutNotice> = self
            .cut_vms
            .iter()
            .map(|(start_hash, at)| CutNotice {
                start_hash: *start_hash,
                age: now.since(*at),
            })
            .collect();
        known.sort_by_key(|notice| notice.age);
        own.into_iter().chain(known).take(MAX_NOTICES).collect()
    }

    /// Merges another VM's notices.
    pub fn receive_cut_notices(&mut self, now: Millis, notices: &[CutNotice]) {
        let ttl = self.notice_ttl();
        for notice in notices.iter().filter(|notice| notice.age < ttl) {
            let at = now - notice.age;
            let known = self.cut_vms.entry(notice.start_hash).or_insert(at);
            *known = (*known).max(at);
        }
    }

    /// Returns whether a VM reaches endpoints, as far as this one knows.
    pub(super) fn reaches_endpoints(&self, now: Millis, member: &Member) -> bool {
        let ttl = self.notice_ttl();
        let last = self.cut_vms.get(&start_hash(member));
        last.is_none_or(|at| now.since(*at) >= ttl)
    }

    /// Returns the peer address of the VM that should serve a caller of this one, which reaches no
    /// endpoint: of two random VMs that do, the one with fewer tokens in progress. `None` if there is
    /// none besides those in `failed`.
    ///
    /// This answers the load of callers at many VMs that are cut off at once, as most of a domain may
    /// be: the choice is not bound to a domain, and follows the load that the others report.
    ///
    /// A VM with an older configuration is chosen only if there is no other, since it declines unless
    /// it has learned the newer one meanwhile: the caller's requests may have been served by that
    /// one already.
    pub fn choose_detour(&mut self, now: Millis, failed: &[SocketAddr]) -> Option<SocketAddr> {
        let fit = self.alive(now).filter(|member| {
            let is_failed = failed.contains(&member.peer);
            member.ready && !is_failed && self.reaches_endpoints(now, member)
        });
        let (newer, older): (Vec<&Member>, Vec<&Member>) =
            fit.partition(|member| member.version >= self.me.version);
        let fit = if newer.is_empty() { older } else { newer };
        let fit: Vec<(u32, SocketAddr)> = fit
            .into_iter()
            .map(|member| (member.load, member.peer))
            .collect();
        if fit.is_empty() {
            return None;
        }
        let first = fit[self.rng.random_range(0..fit.len())];
        let second = fit[self.rng.random_range(0..fit.len())];
        let least = match first.0.cmp(&second.0) {
            Ordering::Greater => second,
            _ => first,
        };
        Some(least.1)
    }
}
