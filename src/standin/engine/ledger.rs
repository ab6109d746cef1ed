//! Counters of an engine, by which tests and trials check a run.

use serde::Deserialize;
use serde::Serialize;

/// The counters of an engine since its process started; crashes do not reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ledger {
    /// Hops that were admitted.
    pub hops: u64,
    /// Token steps that ran, over all hops.
    pub steps: u64,
    /// Hops that requested a token which the attempt had already produced; 0 in a correct run.
    pub repeats: u64,
    /// Hops whose activations came from the wrong layer; 0 in a correct run.
    pub misplaced: u64,
    /// Hops that were refused because the KV cache had no matching entry of their attempt.
    pub lost: u64,
    /// Injected crashes.
    pub crashes: u64,
}
