//! The requests that run on each endpoint, from which the suspects of a crash are taken.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::core::poison::digest::RequestDigest;
use crate::core::poison::part::PartDigest;
use crate::core::session::RequestId;
use crate::names::EndpointName;

/// How long after a request's connection broke a crash of the endpoint is still attributed to the
/// request.
pub const CRASH_WINDOW: Millis = Millis::seconds(30);

/// A request that starts on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The caller's request.
    pub id: RequestId,
    /// Identifies the request's content.
    pub digest: RequestDigest,
    /// The parts of its prompt that other requests may share.
    pub parts: Arc<[PartDigest]>,
    /// The endpoint that runs the request.
    pub endpoint: EndpointName,
    /// Whether nothing else runs there: the request has a permit, and this VM has no other request
    /// on the endpoint.
    pub alone: bool,
}

/// How a request's run on an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The whole answer was received.
    Completed,
    /// The request was cancelled, moved or refused, which neither clears nor incriminates it.
    Inconclusive,
    /// The connection broke or went silent: the endpoint may have crashed.
    Broken,
}

/// A request that was running when its endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSuspect {
    /// Identifies the request's content.
    pub digest: RequestDigest,
    /// The parts of its prompt that other requests may share.
    pub parts: Arc<[PartDigest]>,
    /// Whether it was the only request running there.
    pub alone: bool,
}

/// A run that completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedRun {
    /// Identifies the request's content.
    pub digest: RequestDigest,
    /// The parts of its prompt that other requests may share.
    pub parts: Arc<[PartDigest]>,
    /// When the run started.
    pub start: Millis,
}

#[derive(Clone, Debug)]
struct ActiveRun {
    suspect: CrashSuspect,
    start: Millis,
    broken_at: Option<Millis>,
}

/// The running requests of this VM, by endpoint.
#[derive(Debug, Default)]
pub struct ActiveRuns {
    endpoints: BTreeMap<EndpointName, BTreeMap<RequestId, ActiveRun>>,
}

impl ActiveRuns {
    /// Adds a request, and removes those whose connection to the same endpoint broke longer than
    /// [`CRASH_WINDOW`] ago.
    pub fn begin(&mut self, now: Millis, run: Run) {
        let runs = self.endpoints.entry(run.endpoint).or_default();
        runs.retain(|_, run| run.is_attributable(now));
        let suspect = CrashSuspect {
            digest: run.digest,
            parts: run.parts,
            alone: run.alone,
        };
        let active = ActiveRun {
            suspect,
            start: now,
            broken_at: None,
        };
        runs.insert(run.id, active);
    }

    /// Removes a request; returns its run if that completed. After
    /// [`RunOutcome::Broken`] it is kept, since a crash may be detected later.
    pub fn leave(
        &mut self,
        now: Millis,
        id: RequestId,
        endpoint: &EndpointName,
        outcome: RunOutcome,
    ) -> Option<CompletedRun> {
        let runs = self.endpoints.get_mut(endpoint)?;
        if outcome == RunOutcome::Broken {
            runs.get_mut(&id)?.broken_at = Some(now);
            return None;
        }
        let run = runs.remove(&id)?;
        if runs.is_empty() {
            self.endpoints.remove(endpoint);
        }
        (outcome == RunOutcome::Completed).then_some(CompletedRun {
            digest: run.suspect.digest,
            parts: run.suspect.parts,
            start: run.start,
        })
    }

    /// Removes all requests from a crashed endpoint and returns those to suspect.
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
