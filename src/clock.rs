//! The project's one clock type: milliseconds.
//!
//! The core receives the current [`Millis`] with each event and never reads a clock, so that a
//! golden session, the fault matrix and a daemon run the same code (docs/DESIGN.md). A daemon's
//! [`Clock`] starts at the wall time and then follows the monotonic clock, so a stepped wall clock
//! moves nothing that runs.

use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// A point in time, in milliseconds since the Unix epoch, or a span of milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the span from `earlier` to this point, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns a span of whole seconds.
    #[must_use]
    pub const fn seconds(count: u64) -> Self {
        Self(count * 1000)
    }

    /// Returns the span as the standard library's duration, for timers.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}

/// The source of the time that a process hands to its core.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Millis,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the wall time.
    #[must_use]
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            base: Millis(wall.as_millis() as u64),
            start: Instant::now(),
        }
    }

    /// Returns the time now; it never goes back.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.base + Millis(self.start.elapsed().as_millis() as u64)
    }
}
