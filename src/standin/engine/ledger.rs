//! What an engine counts, so that a run can be checked from outside.

use serde::Deserialize;
use serde::Serialize;

/// The counts of an engine since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ledger {
    /// Hops that ran.
    pub hops: u64,
    /// Token steps that ran, over all hops.
    pub steps: u64,
    /// Hops that asked for a token of an attempt a second time; none may.
    pub repeats: u64,
    /// Hops whose activations came from the wrong layer; none may.
    pub misplaced: u64,
    /// Hops of attempts whose KV cache was gone.
    pub lost: u64,
    /// Crashes.
    pub crashes: u64,
}
