//! Which requests run on which endpoint, so that a crash finds its suspects.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::core::poison::digest::RequestDigest;
use crate::core::session::RequestId;
use crate::names::EndpointName;

/// How long after a broken connection a crash of its endpoint still counts against the request.
pub const CRASH_WINDOW: Millis = Millis::seconds(30);

/// A request that begins on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub id: RequestId,
    /// Its content.
    pub digest: RequestDigest,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Whether nothing else runs there.
    pub alone: bool,
}

/// How a request left an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The whole answer came.
    Completed,
    /// It was cancelled, moved or refused; this shows nothing.
    Inconclusive,
    /// The connection broke or went silent: perhaps the endpoint crashed.
    Broken,
}

/// A request that ran when its endpoint crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSuspect {
    /// Its content.
    pub digest: RequestDigest,
    /// Whether nothing else ran there.
    pub alone: bool,
}

#[derive(Clone, Copy, Debug)]
struct ActiveRun {
    suspect: CrashSuspect,
    start: Millis,
    broken_at: Option<Millis>,
}

/// The requests of this VM, by endpoint.
#[derive(Debug, Default)]
pub struct ActiveRuns {
    endpoints: BTreeMap<EndpointName, BTreeMap<RequestId, ActiveRun>>,
}

impl ActiveRuns {
    /// Adds a request; those that broke off there long ago are forgotten.
    pub fn begin(&mut self, now: Millis, run: Run) {
        let runs = self.endpoints.entry(run.endpoint).or_default();
        runs.retain(|_, run| run.is_attributable(now));
        let suspect = CrashSuspect {
            digest: run.digest,
            alone: run.alone,
        };
        let active = ActiveRun {
            suspect,
            start: now,
            broken_at: None,
        };
        runs.insert(run.id, active);
    }

    /// Takes a request off; returns its digest and start if its whole answer came.
    pub fn leave(
        &mut self,
        now: Millis,
        id: RequestId,
        endpoint: &EndpointName,
        outcome: RunOutcome,
    ) -> Option<(RequestDigest, Millis)> {
        let runs = self.endpoints.get_mut(endpoint)?;
        if outcome == RunOutcome::Broken {
            runs.get_mut(&id)?.broken_at = Some(now);
            return None;
        }
        let run = runs.remove(&id)?;
        if runs.is_empty() {
            self.endpoints.remove(endpoint);
        }
        (outcome == RunOutcome::Completed).then_some((run.suspect.digest, run.start))
    }

    /// Takes every request off a crashed endpoint and returns them.
    pub fn take_crashed(&mut self, now: Millis, endpoint: &EndpointName) -> Vec<CrashSuspect> {
        let runs = self.endpoints.remove(endpoint).unwrap_or_default();
        let kept = runs.into_values().filter(|run| run.is_attributable(now));
        kept.map(|run| run.suspect).collect()
    }
}

impl ActiveRun {
    fn is_attributable(&self, now: Millis) -> bool {
        self.broken_at.is_none_or(|at| now < at + CRASH_WINDOW)
    }
}
