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
pub struct Victim {
    /// Its content.
    pub digest: RequestDigest,
    /// Whether nothing else ran there.
    pub alone: bool,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    victim: Victim,
    start: Millis,
    broken: Option<Millis>,
}

/// The requests of this VM, by endpoint.
#[derive(Debug, Default)]
pub struct Running {
    endpoints: BTreeMap<EndpointName, BTreeMap<RequestId, Place>>,
}

impl Running {
    /// Adds a request; those that broke off there long ago are forgotten.
    pub fn begin(&mut self, now: Millis, run: Run) {
        let places = self.endpoints.entry(run.endpoint).or_default();
        places.retain(|_, place| place.is_kept(now));
        let victim = Victim {
            digest: run.digest,
            alone: run.alone,
        };
        let place = Place {
            victim,
            start: now,
            broken: None,
        };
        places.insert(run.id, place);
    }

    /// Takes a request off; returns its digest and start if its whole answer came.
    pub fn leave(
        &mut self,
        now: Millis,
        id: RequestId,
        endpoint: &EndpointName,
        left: RunOutcome,
    ) -> Option<(RequestDigest, Millis)> {
        let places = self.endpoints.get_mut(endpoint)?;
        if left == RunOutcome::Broken {
            places.get_mut(&id)?.broken = Some(now);
            return None;
        }
        let place = places.remove(&id)?;
        if places.is_empty() {
            self.endpoints.remove(endpoint);
        }
        (left == RunOutcome::Completed).then_some((place.victim.digest, place.start))
    }

    /// Takes every request off a crashed endpoint and returns them.
    pub fn crash(&mut self, now: Millis, endpoint: &EndpointName) -> Vec<Victim> {
        let places = self.endpoints.remove(endpoint).unwrap_or_default();
        let kept = places.into_values().filter(|place| place.is_kept(now));
        kept.map(|place| place.victim).collect()
    }
}

impl Place {
    fn is_kept(&self, now: Millis) -> bool {
        self.broken.is_none_or(|at| now < at + CRASH_WINDOW)
    }
}
