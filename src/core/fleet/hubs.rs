//! Which VMs add up the load of the others.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::Fleet;
use super::Member;
use crate::clock::Millis;
use crate::names::Domain;
use crate::names::Vm;

/// The VMs of a domain that may be hubs, so that one takes over at once when the other is gone.
const HUBS_PER_DOMAIN: usize = 2;

/// The VMs to exchange loads with, by their peer addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hubs {
    /// The hubs of this VM's domain, which may include itself, the preferred one first.
    pub near: Vec<SocketAddr>,
    /// The hubs of the other domains.
    pub far: Vec<SocketAddr>,
}

impl Fleet {
    /// Records the share of a core that a VM has, in thousandths.
    pub fn record_capacity(&mut self, vm: &Vm, capacity: u16) {
        self.capacities.insert(vm.clone(), capacity);
    }

    /// Returns the preferred hub of this VM's domain among the others alive, so that VMs which start together
    /// learn of it from whomever they hear of first.
    pub(super) fn own_hub(&self, now: Millis) -> Option<&Member> {
        let near = self
            .alive(now)
            .filter(|member| member.ready && member.domain == self.me.domain);
        near.min_by_key(|member| self.hub_rank(member))
    }

    /// Returns the address of the hub of this VM's domain by the store's list, unless it was heard from.
    pub(super) fn unheard_hub(&self, now: Millis) -> Option<SocketAddr> {
        let near = self
            .others
            .values()
            .filter(|known| known.member.domain == self.me.domain);
        let first = near.min_by_key(|known| self.hub_rank(&known.member))?;
        let is_alive = self.alive(now).any(|member| member.vm == first.member.vm);
        (!is_alive).then_some(first.member.peer)
    }

    /// Returns the rank of a VM as a hub, lowest first.
    fn hub_rank<'a>(&self, member: &'a Member) -> (Reverse<u16>, &'a Vm) {
        let capacity = self.capacities.get(&member.vm).copied().unwrap_or(0);
        (Reverse(capacity), &member.vm)
    }

    /// Returns the hubs of each domain: the VMs with the largest share of a core, as far as it is
    /// known, and among equal ones the first by name. A hub sends messages to every VM of its domain,
    /// which would take a small VM much of its time.
    pub fn hubs(&self, now: Millis) -> Hubs {
        let mut domains: BTreeMap<&Domain, Vec<(_, SocketAddr)>> = BTreeMap::new();
        let me = std::iter::once(&self.me);
        for member in me.chain(self.alive(now)).filter(|member| member.ready) {
            let first = domains.entry(&member.domain).or_default();
            let rank = self.hub_rank(member);
            let at = first.partition_point(|(known, _)| *known <= rank);
            if at < HUBS_PER_DOMAIN {
                first.insert(at, (rank, member.peer));
                first.truncate(HUBS_PER_DOMAIN);
            }
        }
        let mut hubs = Hubs::default();
        for (domain, first) in domains {
            let addrs = first.into_iter().map(|(_, addr)| addr);
            if *domain == self.me.domain {
                hubs.near.extend(addrs);
            } else {
                hubs.far.extend(addrs);
            }
        }
        hubs
    }
}
