//! Faults that can be injected into the platform.

use serde::Deserialize;
use serde::Serialize;

use super::log::Limits;
use crate::clock::Millis;
use crate::standin::take_one;

/// The injected faults; `PUT /faults` replaces all of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Faults {
    /// The availability of the log.
    pub(super) log: LogState,
    /// How many of the next appends are stored but get no answer.
    pub(super) lose: u32,
    /// The append rate and retention of the log.
    pub(super) limits: Limits,
    /// The delay before a change of the VM list becomes visible.
    pub(super) lag: Millis,
    /// How long the weight store takes to serve one load.
    pub(super) rate: Millis,
}

/// The availability of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogState {
    /// Requests are answered without delay.
    Up,
    /// Requests are answered with status 503.
    Down,
    /// Requests get no answer, and connections stay open.
    Silent,
    /// Requests are answered after this delay.
    Slow(Millis),
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            log: LogState::Up,
            lose: 0,
            limits: Limits::default(),
            lag: Millis::seconds(2),
            rate: Millis(200),
        }
    }
}

impl Faults {
    /// Returns whether the answer to this append is dropped, and decrements the counter.
    pub(super) fn take_lost_append(&mut self) -> bool {
        take_one(&mut self.lose)
    }
}
