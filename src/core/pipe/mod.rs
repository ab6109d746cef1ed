//! Pipelines of engines that each hold a range of a model's layers: the placement of layers on
//! engines, and the path of a request through them (docs/PLATFORM.md).

mod detour;
mod even;
mod link;
mod moves;
mod path;
mod place;
mod room;
mod search;
mod spread;
mod watch;

pub use self::detour::reroute;
pub use self::link::LinkCounts;
pub use self::link::Links;
pub use self::link::Unseen;
pub use self::link::link_name;
pub use self::moves::Move;
pub use self::moves::Mover;
pub use self::moves::plan_moves;
pub use self::path::Demand;
pub use self::path::Part;
pub use self::path::Stage;
pub use self::path::choose_path;
pub use self::path::choose_subpath;
pub use self::path::find_gap;
pub use self::place::Departures;
pub use self::place::Engine;
pub use self::place::judge_departures;
pub use self::place::plan_placement;
pub use self::place::repair_placement;
pub use self::spread::count_arrivals;
pub use self::spread::count_batches;
pub use self::spread::expect_arrivals;
pub use self::spread::spread_load;
pub use self::watch::Expected;
pub use self::watch::StallTimer;

use serde::Deserialize;
use serde::Serialize;

/// A half-open range of layers, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span {
    /// The first layer of the range.
    pub from: u32,
    /// The layer after the last one of the range.
    pub to: u32,
}

impl Span {
    /// Returns the number of layers.
    #[must_use]
    pub const fn len(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Returns whether the range has no layers.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.to <= self.from
    }

    /// Returns whether a model of so many layers has all of the range.
    #[must_use]
    pub const fn is_within(self, layers: u32) -> bool {
        self.to <= layers
    }

    /// Returns whether `layer` is in the range.
    #[must_use]
    pub const fn contains(self, layer: u32) -> bool {
        self.from <= layer && layer < self.to
    }
}
