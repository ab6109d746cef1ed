//! Ranks by rendezvous hashing: which VM is a suspect's home, and which endpoints may run a
//! request.

use std::cmp::Ordering;

use sha2::Digest;
use sha2::Sha256;

use crate::core::poison::digest::RequestDigest;
use crate::names::EndpointName;
use crate::names::Vm;

/// How many endpoints of one layer range may run the same content.
pub const SHORTLIST: usize = 3;

/// The place of a name in the ranks, worked out once for each name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    key: u64,
    weight: u32,
}

impl Seat {
    /// Returns the seat of a name, with the same weight as all others.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self::weighted(name, 1)
    }

    /// Returns the seat of a name that shall rank first in proportion to its weight.
    #[must_use]
    pub fn weighted(name: &str, weight: u32) -> Self {
        let bytes = Sha256::digest(name.as_bytes());
        let first = bytes.iter().take(size_of::<u64>());
        let key = first.fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        Self { key, weight }
    }

    fn score(self, digest: &RequestDigest) -> Score {
        let word = mix(self.key ^ digest.key());
        let unit = ((word >> 11) as f64 + 0.5) / UNITS;
        Score(f64::from(self.weight.max(1)) / -unit.ln())
    }
}

/// The numbers that the upper 53 bits of a word can be, which a float holds exactly.
const UNITS: f64 = (1u64 << 53) as f64;

/// The rank of a seat for one content; by the logarithm, a seat of twice the weight comes first
/// twice as often.
#[derive(Clone, Copy, Debug)]
struct Score(f64);

impl PartialEq for Score {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Score {}

impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Score {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The finishing step of `SplitMix64`, a bijection that spreads each bit over all.
fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

/// Returns the VM that grants the permits of a suspect, `None` only without VMs.
#[must_use]
pub fn home<'a>(digest: &RequestDigest, vms: &'a [Vm]) -> Option<&'a Vm> {
    vms.iter()
        .max_by_key(|vm| (Seat::of(vm).score(digest), vm.as_str()))
}

/// Returns the endpoints that may run a request, of those that hold the same layers.
///
/// `range` has every configured endpoint of the range, up or down: were it only those that are
/// up, each crash would bring the next endpoint in. Its length is that of one range of one model.
#[must_use]
pub fn shortlist<'a, R>(digest: &RequestDigest, range: R) -> Vec<&'a EndpointName>
where
    R: IntoIterator<Item = (&'a EndpointName, Seat)>,
{
    let mut best: Vec<(Score, &EndpointName)> = Vec::with_capacity(SHORTLIST + 1);
    for (name, seat) in range {
        let entry = (seat.score(digest), name);
        let at = best.partition_point(|held| *held > entry);
        if at < SHORTLIST {
            best.insert(at, entry);
            best.truncate(SHORTLIST);
        }
    }
    best.into_iter().map(|(_, name)| name).collect()
}
