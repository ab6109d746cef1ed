//! What one VM knows of all suspects, and what follows for a request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use crate::clock::Millis;
use crate::core::poison::digest::RequestDigest;
use crate::core::poison::entry::BAR_SPAN;
use crate::core::poison::entry::Entry;
use crate::core::poison::entry::INCIDENT_LIMIT;
use crate::core::poison::entry::Incident;
use crate::core::poison::entry::Standing;
use crate::core::poison::message::Ask;
use crate::core::poison::message::Done;
use crate::core::poison::message::Grant;
use crate::core::poison::message::NOTE_LIMIT;
use crate::core::poison::message::Note;
use crate::core::poison::message::Record;
use crate::core::poison::permit::Permits;
use crate::core::poison::rank::home;
use crate::core::poison::running::Left;
use crate::core::poison::running::Run;
use crate::core::poison::running::Running;
use crate::core::session::RequestId;
use crate::error::Code;
use crate::error::Failure;
use crate::names::EndpointName;
use crate::names::Vm;

/// How many requests are remembered at most.
pub const ENTRY_LIMIT: usize = 1024;
/// How far a peer's clock may be ahead.
const SKEW_SPAN: Millis = Millis::seconds(60);
/// How long a caller waits before it tries a suspect again whose permit is out.
const BUSY_SPAN: Millis = Millis::seconds(1);

/// How a request is to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// On any endpoint of its shortlist, with others.
    Shared,
    /// Only under a permit of its home, which may be this VM.
    Ask {
        /// The home VM.
        home: Vm,
    },
    /// Not at all.
    Barred {
        /// When the bar ends.
        until: Millis,
    },
}

impl Plan {
    /// Returns the failure of a barred request, which this VM did not run.
    ///
    /// The attempt that crashed the endpoint is told "unknown" instead: its layers did run.
    #[must_use]
    pub fn failure(&self, now: Millis) -> Option<Failure> {
        let Self::Barred { until } = self else {
            return None;
        };
        let failure = Failure::unrun(
            Code::RequestBarred,
            "requests of this content crashed endpoints",
        );
        Some(failure.after(until.since(now)))
    }
}

/// The suspects that one VM knows of.
#[derive(Debug)]
pub struct Ledger {
    vm: Vm,
    entries: BTreeMap<RequestDigest, Entry>,
    running: Running,
    permits: Permits,
    /// What is news to the peers.
    news: BTreeSet<RequestDigest>,
    /// Where the last repeated note ended.
    cursor: Option<RequestDigest>,
}

impl Ledger {
    /// Returns the empty ledger of a VM.
    #[must_use]
    pub fn new(vm: Vm) -> Self {
        Self {
            vm,
            entries: BTreeMap::new(),
            running: Running::default(),
            permits: Permits::default(),
            news: BTreeSet::new(),
            cursor: None,
        }
    }

    /// Returns how many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how a request may run.
    #[must_use]
    pub fn standing(&self, now: Millis, digest: &RequestDigest) -> Standing {
        let entry = self.entries.get(digest);
        entry.map_or(Standing::Clear, |entry| entry.standing(now))
    }

    /// Returns how to run a request; `vms` are the live ones.
    #[must_use]
    pub fn plan(&self, now: Millis, digest: &RequestDigest, vms: &[Vm]) -> Plan {
        match self.standing(now, digest) {
            Standing::Clear => Plan::Shared,
            Standing::Suspect => Plan::Ask {
                home: home(digest, vms).unwrap_or(&self.vm).clone(),
            },
            Standing::Barred(until) => Plan::Barred { until },
        }
    }

    /// Returns what to ask a suspect's home.
    #[must_use]
    pub fn ask(&self, id: RequestId, digest: &RequestDigest) -> Ask {
        Ask {
            vm: self.vm.clone(),
            id,
            record: self.record(digest),
        }
    }

    /// Answers, as the home, the question of a VM.
    pub fn asked(&mut self, now: Millis, ask: Ask) -> Grant {
        let digest = ask.record.digest;
        self.learn(now, ask.record);
        match self.standing(now, &digest) {
            Standing::Clear => Grant::Shared,
            Standing::Barred(until) => Grant::Barred { until },
            Standing::Suspect => match self.permits.grant(now, digest, ask.vm, ask.id) {
                Ok(until) => Grant::Alone { until },
                Err(until) => Grant::Busy {
                    retry: until.since(now).min(BUSY_SPAN),
                },
            },
        }
    }

    /// Returns what to tell the home once a run under its permit is over.
    #[must_use]
    pub fn done(&self, digest: &RequestDigest) -> Done {
        Done {
            vm: self.vm.clone(),
            record: self.record(digest),
        }
    }

    /// Takes a permit back, as the home.
    pub fn returned(&mut self, now: Millis, done: Done) {
        let digest = done.record.digest;
        self.learn(now, done.record);
        self.permits.take(&digest, &done.vm);
    }

    /// Notes that a request begins on an endpoint.
    pub fn begin(&mut self, now: Millis, run: Run) {
        self.running.begin(now, run);
    }

    /// Notes that a request left an endpoint; a suspect that completed is cleared of the crashes
    /// before that run, unless it was alone in one.
    pub fn leave(&mut self, now: Millis, id: RequestId, endpoint: &EndpointName, left: Left) {
        let Some((digest, start)) = self.running.leave(now, id, endpoint, left) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.clear(start);
            self.news.insert(digest);
        }
    }

    /// Notes that an endpoint crashed: its boot id changed, or it refused connections right after
    /// one broke. Whatever of this VM ran there is a suspect.
    pub fn crashed(&mut self, now: Millis, endpoint: &EndpointName, boot: u64) {
        for victim in self.running.crash(now, endpoint) {
            let incident = Incident {
                alone: victim.alone,
                at: now,
                endpoint: endpoint.clone(),
                boot,
            };
            let mut entry = Entry::default();
            entry.add(incident);
            let digest = victim.digest;
            self.learn(now, Record { digest, entry });
        }
    }

    /// Merges a peer's note; what is news is passed on with the next note.
    pub fn merge(&mut self, now: Millis, note: Note) {
        for record in note.records.into_iter().take(NOTE_LIMIT) {
            self.learn(now, record);
        }
    }

    /// Returns the next note of news, `None` if there is none.
    pub fn news(&mut self) -> Option<Note> {
        let mut records = Vec::new();
        while records.len() < NOTE_LIMIT {
            let Some(digest) = self.news.pop_first() else {
                break;
            };
            records.push(self.record(&digest));
        }
        (!records.is_empty()).then_some(Note { records })
    }

    /// Returns the next part of all that is remembered, in turn, to mend lost notes.
    pub fn repeat(&mut self) -> Option<Note> {
        let from = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.entries.range((from, Bound::Unbounded));
        let records: Vec<Record> = next
            .take(NOTE_LIMIT)
            .map(|(digest, entry)| Record {
                digest: *digest,
                entry: entry.clone(),
            })
            .collect();
        self.cursor = records.last().map(|record| record.digest);
        (!records.is_empty()).then_some(Note { records })
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Millis) {
        self.entries
            .retain(|_, entry| now < entry.newest() + BAR_SPAN);
        self.permits.expire(now);
    }

    fn record(&self, digest: &RequestDigest) -> Record {
        Record {
            digest: *digest,
            entry: self.entries.get(digest).cloned().unwrap_or_default(),
        }
    }

    fn learn(&mut self, now: Millis, record: Record) {
        let Record { digest, entry } = record;
        let ahead = entry.newest() > now + SKEW_SPAN;
        if ahead || entry.is_empty() || entry.incidents().len() > INCIDENT_LIMIT {
            return;
        }
        if !self.entries.contains_key(&digest) && !self.make_room(entry.newest()) {
            return;
        }
        if self.entries.entry(digest).or_default().merge(entry) {
            self.news.insert(digest);
        }
    }

    /// Forgets the oldest entry when the ledger is full and the new one is younger.
    fn make_room(&mut self, newest: Millis) -> bool {
        if self.entries.len() < ENTRY_LIMIT {
            return true;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.newest());
        let Some((digest, _)) = oldest.filter(|(_, entry)| entry.newest() < newest) else {
            return false;
        };
        let digest = *digest;
        self.entries.remove(&digest);
        true
    }
}
