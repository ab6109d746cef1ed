//! The platform's fault switches.

use serde::Deserialize;
use serde::Serialize;

use super::log::Limits;
use crate::clock::Millis;
use crate::standin::take;

/// The fault switches, replaced as a whole by `PUT /faults`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Faults {
    /// How the log answers.
    pub(super) log: LogState,
    /// How many of the next appends take effect without an answer.
    pub(super) lose: u32,
    /// The log's limits.
    pub(super) limits: Limits,
    /// How long a change of the VM list takes to show.
    pub(super) lag: Millis,
    /// How long the weight store takes for one load.
    pub(super) rate: Millis,
}

/// How the log answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogState {
    /// At once.
    Up,
    /// With a refusal.
    Down,
    /// Not at all, on connections that stay open.
    Silent,
    /// After this time.
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
    /// Says whether this append's answer is lost, and counts it.
    pub(super) fn take_lost_append(&mut self) -> bool {
        take(&mut self.lose)
    }
}
