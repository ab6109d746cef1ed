//! Time: [`Millis`], the type of all times and durations, and [`Clock`], which reads the time.
//!
//! The core receives the current time with each event and never reads a clock, so a golden session,
//! the fault matrix and a daemon run the same code (docs/DESIGN.md). A daemon's [`Clock`] starts at
//! the wall time and then follows the monotonic clock, so steps of the wall clock don't affect a
//! running daemon.

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

/// A point in time, in milliseconds since the Unix epoch, or a duration in milliseconds.
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
    /// Returns the duration from `earlier` to this point, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns a duration of `count` seconds.
    #[must_use]
    pub const fn seconds(count: u64) -> Self {
        Self(count.saturating_mul(1000))
    }

    /// Converts the duration to the standard library's type, for timers.
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

/// The clock from which a process takes the time for its core.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Millis,
    start: Instant,
}

impl Clock {
    /// Returns a clock that starts at the current wall time.
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

    /// Returns the current time, which never goes back.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.base + Millis(self.start.elapsed().as_millis() as u64)
    }
}
