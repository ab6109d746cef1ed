//! A cache of the load report, which simulates reports that lag.

use crate::clock::Millis;
use crate::core::daemon::LoadReport;

/// The most recent load report.
#[derive(Debug, Default)]
pub(super) struct CachedReport {
    last: Option<LoadReport>,
}

impl CachedReport {
    /// Returns the cached report, or stores and returns `fresh` if the cached one is at least `lag`
    /// old or from before a restart.
    pub(super) fn get(&mut self, now: Millis, lag: Millis, fresh: LoadReport) -> LoadReport {
        match self.last {
            Some(last) if now.since(last.at) < lag && last.boot == fresh.boot => last,
            _ => *self.last.insert(fresh),
        }
    }
}
