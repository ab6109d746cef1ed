//! The crash history of one request, as a mergeable value (a CRDT): VMs merge their copies in any
//! order and any number of times with the same result.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::names::EndpointName;

/// The maximum number of crashes kept for one request; at this number it is barred.
pub const INCIDENT_LIMIT: usize = 3;
/// How long a request stays a suspect after its last crash.
pub const SUSPECT_TTL: Millis = Millis::seconds(15 * 60);
/// How long a request is barred after its last crash.
pub const BAR_TTL: Millis = Millis::seconds(60 * 60);

/// One crash of an endpoint while the request ran on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Incident {
    /// Whether no other request was running on the endpoint.
    pub alone: bool,
    /// When the crash was detected, by the clock of the VM that detected it.
    pub at: Millis,
    /// The endpoint that crashed.
    pub endpoint: EndpointName,
    /// The boot id of the crashed process. With the endpoint it identifies the crash, whichever VM
    /// detected it.
    pub boot: u64,
}

impl Incident {
    fn is_same_crash(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.boot == other.boot
    }
}

/// Whether and how a request may run, given its crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Like any other request.
    Clear,
    /// Only under a permit, alone on its endpoint.
    Suspect,
    /// Not at all before this time.
    Barred(Millis),
}

/// The crashes of one request, most incriminating first, and its latest completed run.
///
/// A merge keeps the greatest value of each crash and then the [`INCIDENT_LIMIT`] greatest
/// crashes. Both steps are commutative and idempotent. A completed run removes the crashes before
/// it in which the request was not alone; in the sort order these are the least of their kind.
/// So all VMs reach the same value, in whatever order the messages arrive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashHistory {
    incidents: Vec<Incident>,
    /// The start of the latest run that completed, or 0 if none has.
    cleared: Millis,
}

impl CrashHistory {
    /// Returns the crashes that no completed run has cleared, at most [`INCIDENT_LIMIT`].
    #[must_use]
    pub fn incidents(&self) -> &[Incident] {
        &self.incidents
    }

    /// Adds a crash; of two records of the same crash the greater one is kept.
    pub fn add(&mut self, incident: Incident) {
        match self
            .incidents
            .iter_mut()
            .find(|i| i.is_same_crash(&incident))
        {
            Some(known) if *known < incident => *known = incident,
            Some(_) => {}
            None => self.incidents.push(incident),
        }
        self.normalize();
    }

    /// Records that a run which started at `start` completed.
    pub fn clear(&mut self, start: Millis) {
        self.cleared = self.cleared.max(start);
        self.normalize();
    }

    /// Merges the history that another VM holds; returns whether this one changed.
    pub fn merge(&mut self, other: Self) -> bool {
        let before = self.clone();
        self.cleared = self.cleared.max(other.cleared);
        for incident in other.incidents {
            self.add(incident);
        }
        self.normalize();
        *self != before
    }

    /// Returns whether and how the request may run.
    ///
    /// One crash while other requests were running does not show which of them caused it. A crash
    /// while alone is conclusive, and so are [`INCIDENT_LIMIT`] crashes with no completed run
    /// between them.
    #[must_use]
    pub fn status(&self, now: Millis) -> SuspectStatus {
        let conclusive = self.is_conclusive();
        let until = self.last_crash() + BAR_TTL;
        if conclusive && now < until {
            SuspectStatus::Barred(until)
        } else if !conclusive && !self.incidents.is_empty() && now < self.last_crash() + SUSPECT_TTL
        {
            SuspectStatus::Suspect
        } else {
            SuspectStatus::Clear
        }
    }

    /// Returns whether the crashes bar the request.
    #[must_use]
    pub fn is_conclusive(&self) -> bool {
        let alone = self.incidents.iter().any(|incident| incident.alone);
        alone || self.incidents.len() >= INCIDENT_LIMIT
    }

    /// Returns the time of the latest crash, or the start of the latest completed run if later.
    #[must_use]
    pub fn newest(&self) -> Millis {
        self.last_crash().max(self.cleared)
    }

    /// Returns whether there is neither a crash nor a completed run.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    fn last_crash(&self) -> Millis {
        let times = self.incidents.iter().map(|incident| incident.at);
        times.max().unwrap_or_default()
    }

    fn normalize(&mut self) {
        let cleared = self.cleared;
        self.incidents
            .retain(|incident| incident.alone || incident.at > cleared);
        self.incidents.sort_by(|a, b| b.cmp(a));
        self.incidents.truncate(INCIDENT_LIMIT);
    }
}
