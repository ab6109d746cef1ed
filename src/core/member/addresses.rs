//! Chooses the VMs that a caller should use.
//!
//! The cost per address does not depend on the size of the fleet: the caller's salt picks two VMs
//! of a domain, and the less loaded one is returned (power of two choices). A caller whose first
//! VM fails uses the next address, which is in another domain if there is one.

use std::collections::BTreeMap;

use super::message::Member;
use super::rendezvous::hash;
use crate::clock::Millis;
use crate::consts::ADDRESS_TTL;
use crate::names::Domain;

/// The VMs that a caller should use, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The VMs to use, the preferred one first.
    pub members: Vec<Member>,
    /// How long the caller may cache the answer.
    pub keep: Millis,
}

/// A VM that callers may use.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    /// The daemon on the VM.
    pub(super) member: Member,
    /// Its load, in requests in progress.
    pub(super) load: u32,
}

/// The VMs that callers may use, by domain.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    domains: BTreeMap<Domain, Vec<Candidate>>,
}

impl Candidates {
    pub(super) fn add(&mut self, candidate: Candidate) {
        let domain = candidate.member.domain.clone();
        self.domains.entry(domain).or_default().push(candidate);
    }

    /// Chooses up to `count` VMs, cycling through the domains.
    pub(super) fn choose(&self, count: usize, salt: u64) -> Addresses {
        let mut members: Vec<Member> = Vec::new();
        let domains: Vec<&Vec<Candidate>> = self.domains.values().collect();
        let total: usize = domains.iter().map(|list| list.len()).sum();
        let start = self.first_domain(total, salt);
        let mut turn = 0;
        while members.len() < count.min(total) {
            let list = domains[(start + turn) % domains.len()];
            if let Some(member) = pick(list, &members, salt, turn as u64) {
                members.push(member);
            }
            turn += 1;
        }
        Addresses {
            members,
            keep: ADDRESS_TTL,
        }
    }

    /// Chooses the first domain with a probability proportional to its number of VMs, so that a
    /// small domain is not overloaded.
    fn first_domain(&self, total: usize, salt: u64) -> usize {
        if total == 0 {
            return 0;
        }
        let mut spot = (hash(&[b"domain", &salt.to_le_bytes()]) % total as u64) as usize;
        for (index, list) in self.domains.values().enumerate() {
            if spot < list.len() {
                return index;
            }
            spot -= list.len();
        }
        0
    }
}

/// Picks the less loaded of two VMs that the salt selects among those not taken yet.
fn pick(list: &[Candidate], taken: &[Member], salt: u64, turn: u64) -> Option<Member> {
    let word = hash(&[&salt.to_le_bytes(), &turn.to_le_bytes()]);
    let one = find_free(list, taken, word as u32, None)?;
    let two = find_free(list, taken, (word >> 32) as u32, Some(one)).unwrap_or(one);
    let best = if list[two].load < list[one].load {
        two
    } else {
        one
    };
    Some(list[best].member.clone())
}

fn find_free(
    list: &[Candidate],
    taken: &[Member],
    start: u32,
    except: Option<usize>,
) -> Option<usize> {
    (0..list.len())
        .map(|step| (start as usize + step) % list.len())
        .find(|index| {
            let vm = &list[*index].member.vm;
            Some(*index) != except && !taken.iter().any(|member| member.vm == *vm)
        })
}
