//! Rendezvous hashing, which selects a suspect's home VM and the endpoints that may run a request.

use sha2::Digest;
use sha2::Sha256;

use crate::core::poison::digest::RequestDigest;
use crate::names::EndpointName;
use crate::names::Vm;

/// The maximum number of endpoints per layer range that may run the same content.
pub const SHORTLIST_LEN: usize = 3;

/// The hash of a VM's or endpoint's name, computed once per name and combined with each digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeHash(u64);

impl NodeHash {
    /// Returns the first 64 bits of the SHA-256 digest of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let bytes = Sha256::digest(name.as_bytes());
        let first = bytes.iter().take(size_of::<u64>());
        Self(first.fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }

    /// Returns the score of a VM for an endpoint; the VM with the highest score comes first.
    #[must_use]
    pub fn score_for(self, other: Self) -> u64 {
        self.score(other.0)
    }

    fn score(self, key: u64) -> u64 {
        mix(self.0 ^ key)
    }
}

/// The finishing step of `SplitMix64`, a bijection that spreads each bit over all.
fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

/// Returns the VM that grants the permits of a suspect, `None` only if `vms` is empty.
#[must_use]
pub fn home_vm<'a>(digest: &RequestDigest, vms: &'a [Vm]) -> Option<&'a Vm> {
    home_of(digest.key(), vms)
}

/// Returns the first VM in the ranking for a key, `None` only if `vms` is empty.
#[must_use]
pub fn home_of(key: u64, vms: &[Vm]) -> Option<&Vm> {
    vms.iter()
        .max_by_key(|vm| (NodeHash::of(vm).score(key), vm.as_str()))
}

/// Returns the endpoints that may run a request, out of those that hold the same layers.
///
/// `endpoints` has to contain every configured endpoint with these layers, up or down: if it
/// contained only those that are up, each crash would add the next endpoint to the list.
#[must_use]
pub fn shortlist<'a, R>(digest: &RequestDigest, endpoints: R) -> Vec<&'a EndpointName>
where
    R: IntoIterator<Item = (&'a EndpointName, NodeHash)>,
{
    let mut best: Vec<(u64, &EndpointName)> = Vec::with_capacity(SHORTLIST_LEN + 1);
    for (name, node) in endpoints {
        let entry = (node.score(digest.key()), name);
        let at = best.partition_point(|held| *held > entry);
        if at < SHORTLIST_LEN {
            best.insert(at, entry);
            best.truncate(SHORTLIST_LEN);
        }
    }
    best.into_iter().map(|(_, name)| name).collect()
}
