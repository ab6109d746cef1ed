//! Chains of engines that hold ranges of a model's layers: which engine holds what, and which
//! engines a request passes through (docs/PLATFORM.md).

mod detour;
mod path;
mod place;
mod watch;

pub use self::detour::reroute;
pub use self::path::Demand;
pub use self::path::Part;
pub use self::path::Stage;
pub use self::path::choose_path;
pub use self::path::choose_subpath;
pub use self::place::Engine;
pub use self::place::plan_placement;
pub use self::place::repair_placement;
pub use self::watch::StallTimer;

use serde::Deserialize;
use serde::Serialize;

/// A range of layers, the end exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span {
    /// The first layer.
    pub from: u32,
    /// The layer after the last.
    pub to: u32,
}

impl Span {
    /// Returns the number of layers.
    #[must_use]
    pub const fn len(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Says whether there is no layer in the range.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.to <= self.from
    }

    /// Says whether a layer is in the range.
    #[must_use]
    pub const fn contains(self, layer: u32) -> bool {
        self.from <= layer && layer < self.to
    }
}
