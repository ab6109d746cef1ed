//! Rendezvous hashing: all daemons compute the same ranking of VMs for a key without coordination.
//!
//! A join or a departure moves only the keys of that VM, so the VMs that hold other roles don't
//! change (docs/operators/membership.md).

use crate::names::Vm;

/// The offset basis of FNV-1a at 64 bits, by its specification.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of FNV-1a at 64 bits, by its specification.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns a hash of the parts that is the same on every VM and in every release.
#[must_use]
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut sum = FNV_BASIS;
    for part in parts {
        for byte in *part {
            sum = (sum ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        sum = (sum ^ part.len() as u64).wrapping_mul(FNV_PRIME);
    }
    mix(sum)
}

/// Spreads the bits of a weak hash over the whole word.
const fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Returns the VMs ordered by their preference for the role `key`, the preferred one first.
pub fn rank<'a, I>(key: &str, vms: I) -> Vec<Vm>
where
    I: IntoIterator<Item = &'a Vm>,
{
    let mut scored: Vec<(u64, &Vm)> = vms.into_iter().map(|vm| (score(key, vm), vm)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, vm)| vm.clone()).collect()
}

fn score(key: &str, vm: &Vm) -> u64 {
    hash(&[key.as_bytes(), vm.as_str().as_bytes()])
}
