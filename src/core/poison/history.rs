//! What is known of one suspect: a value that VMs merge in any order, any number of times.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::names::EndpointName;

/// How many crashes are kept of one request; with as many it is barred.
pub const INCIDENT_LIMIT: usize = 3;
/// How long a request stays a suspect after its last crash.
pub const SUSPECT_TTL: Millis = Millis::seconds(15 * 60);
/// How long a request is barred after its last crash.
pub const BAR_TTL: Millis = Millis::seconds(60 * 60);

/// One crash of an endpoint while the request ran on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Incident {
    /// Whether nothing else ran there.
    pub alone: bool,
    /// When it was seen.
    pub at: Millis,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The boot that ended; with the endpoint it names the crash, whoever saw it.
    pub boot: u64,
}

impl Incident {
    fn is_same_crash(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.boot == other.boot
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// As any other.
    Clear,
    /// Only alone.
    Suspect,
    /// Not before this time.
    Barred(Millis),
}

/// The crashes of one request, the gravest first, and the proof of innocence.
///
/// A merge keeps the greatest value of each crash and then the [`INCIDENT_LIMIT`] greatest
/// crashes. Both steps commute and repeat without effect, and a completed run removes the crashes
/// before it, which are the least of their kind. So VMs agree whatever the order of their notes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashHistory {
    incidents: Vec<Incident>,
    /// The start of the latest run that came to its end.
    cleared: Millis,
}

impl CrashHistory {
    /// Returns the crashes that count.
    #[must_use]
    pub fn incidents(&self) -> &[Incident] {
        &self.incidents
    }

    /// Adds a crash.
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

    /// Notes that a run which began at `start` came to its end.
    pub fn clear(&mut self, start: Millis) {
        self.cleared = self.cleared.max(start);
        self.normalize();
    }

    /// Merges what another VM knows; returns whether it was news.
    pub fn merge(&mut self, other: Self) -> bool {
        let before = self.clone();
        self.cleared = self.cleared.max(other.cleared);
        for incident in other.incidents {
            self.add(incident);
        }
        self.normalize();
        *self != before
    }

    /// Returns how the request may run.
    ///
    /// One crash of a batch says little, since all of the batch ran there. A crash while alone
    /// says all; [`INCIDENT_LIMIT`] crashes with no completed run between them say enough.
    #[must_use]
    pub fn standing(&self, now: Millis) -> SuspectStatus {
        let alone = self.incidents.iter().any(|incident| incident.alone);
        let conclusive = alone || self.incidents.len() >= INCIDENT_LIMIT;
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

    /// Returns the time of the newest crash or completed run.
    #[must_use]
    pub fn newest(&self) -> Millis {
        self.last_crash().max(self.cleared)
    }

    /// Returns whether it says nothing.
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
