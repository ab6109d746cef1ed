//! Positions in the topics of a store that may come back from an older copy.

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

/// The number of low bits that hold the offset. Eras and offsets below 2^12 and 2^40 keep a position
/// below 2^52, which every JSON reader holds exactly.
const OFFSET_BITS: u32 = 40;

/// A position in a topic: the store's era, then the offset.
///
/// When the store comes back from an older copy, offsets fall and are given out again, and its era
/// rises. Positions of different eras therefore compare by era first. In era 0 a position is the
/// bare offset, which is what earlier releases send (docs/PROTOCOLS.md).
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{}:{}", self.era(), self.offset())]
#[serde(transparent)]
pub struct Position(u64);

impl Position {
    /// Creates the position of an offset in an era.
    #[must_use]
    pub const fn new(era: u64, offset: u64) -> Self {
        Self(era << OFFSET_BITS | offset)
    }

    /// Returns the store's era.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.0 >> OFFSET_BITS
    }

    /// Returns the offset within the era.
    #[must_use]
    pub const fn offset(self) -> u64 {
        self.0 & ((1 << OFFSET_BITS) - 1)
    }

    /// Returns the position that follows.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the position as one number, which rises over eras: a fencing token, or a query.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}
