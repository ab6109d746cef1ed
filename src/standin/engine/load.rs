//! The load report, which lags.

use crate::clock::Millis;
use crate::core::daemon::LoadReport;

/// The last report that was made.
#[derive(Debug, Default)]
pub(super) struct CachedReport {
    last: Option<LoadReport>,
}

impl CachedReport {
    /// Returns the last report, or `fresh` if that one is older than `lag`.
    pub(super) fn get(&mut self, now: Millis, lag: Millis, fresh: LoadReport) -> LoadReport {
        match self.last {
            Some(last) if now.since(last.at) < lag && last.boot == fresh.boot => last,
            _ => *self.last.insert(fresh),
        }
    }
}
