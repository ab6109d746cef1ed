//! What one VM knows of all suspects, and what follows for a request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use crate::clock::Millis;
use crate::core::poison::digest::RequestDigest;
use crate::core::poison::history::BAR_TTL;
use crate::core::poison::history::CrashHistory;
use crate::core::poison::history::INCIDENT_LIMIT;
use crate::core::poison::history::Incident;
use crate::core::poison::history::SuspectStatus;
use crate::core::poison::message::GOSSIP_LIMIT;
use crate::core::poison::message::PermitReply;
use crate::core::poison::message::PermitRequest;
use crate::core::poison::message::PermitReturn;
use crate::core::poison::message::SuspectGossip;
use crate::core::poison::message::SuspectRecord;
use crate::core::poison::permit::Permits;
use crate::core::poison::rank::home_vm;
use crate::core::poison::running::ActiveRuns;
use crate::core::poison::running::Run;
use crate::core::poison::running::RunOutcome;
use crate::core::session::RequestId;
use crate::error::Code;
use crate::error::Failure;
use crate::names::EndpointName;
use crate::names::Vm;

/// How many requests are remembered at most.
pub const ENTRY_LIMIT: usize = 1024;
/// How far a peer's clock may be ahead.
const MAX_CLOCK_SKEW: Millis = Millis::seconds(60);
/// How long a caller waits before it tries a suspect again whose permit is out.
const BUSY_RETRY_DELAY: Millis = Millis::seconds(1);

/// How a request is to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunPlan {
    /// On any endpoint of its shortlist, with others.
    Shared,
    /// Only under a permit of its home, which may be this VM.
    WithPermit {
        /// The home VM.
        home: Vm,
    },
    /// Not at all.
    Barred {
        /// When the bar ends.
        until: Millis,
    },
}

impl RunPlan {
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
pub struct SuspectTable {
    vm: Vm,
    entries: BTreeMap<RequestDigest, CrashHistory>,
    active: ActiveRuns,
    permits: Permits,
    /// What is news to the peers.
    unsent: BTreeSet<RequestDigest>,
    /// Where the last repeated note ended.
    cursor: Option<RequestDigest>,
}

impl SuspectTable {
    /// Returns the empty ledger of a VM.
    #[must_use]
    pub fn new(vm: Vm) -> Self {
        Self {
            vm,
            entries: BTreeMap::new(),
            active: ActiveRuns::default(),
            permits: Permits::default(),
            unsent: BTreeSet::new(),
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
    pub fn status(&self, now: Millis, digest: &RequestDigest) -> SuspectStatus {
        let entry = self.entries.get(digest);
        entry.map_or(SuspectStatus::Clear, |entry| entry.standing(now))
    }

    /// Returns how to run a request; `vms` are the live ones.
    #[must_use]
    pub fn plan(&self, now: Millis, digest: &RequestDigest, vms: &[Vm]) -> RunPlan {
        match self.status(now, digest) {
            SuspectStatus::Clear => RunPlan::Shared,
            SuspectStatus::Suspect => RunPlan::WithPermit {
                home: home_vm(digest, vms).unwrap_or(&self.vm).clone(),
            },
            SuspectStatus::Barred(until) => RunPlan::Barred { until },
        }
    }

    /// Returns what to ask a suspect's home.
    #[must_use]
    pub fn permit_request(&self, id: RequestId, digest: &RequestDigest) -> PermitRequest {
        PermitRequest {
            vm: self.vm.clone(),
            id,
            record: self.record(digest),
        }
    }

    /// Answers, as the home, the question of a VM.
    pub fn answer_request(&mut self, now: Millis, request: PermitRequest) -> PermitReply {
        let digest = request.record.digest;
        self.merge_record(now, request.record);
        match self.status(now, &digest) {
            SuspectStatus::Clear => PermitReply::Shared,
            SuspectStatus::Barred(until) => PermitReply::Barred { until },
            SuspectStatus::Suspect => match self.permits.grant(now, digest, request.vm, request.id)
            {
                Ok(until) => PermitReply::Alone { until },
                Err(until) => PermitReply::Busy {
                    retry: until.since(now).min(BUSY_RETRY_DELAY),
                },
            },
        }
    }

    /// Returns what to tell the home once a run under its permit is over.
    #[must_use]
    pub fn permit_return(&self, digest: &RequestDigest) -> PermitReturn {
        PermitReturn {
            vm: self.vm.clone(),
            record: self.record(digest),
        }
    }

    /// Takes a permit back, as the home.
    pub fn accept_return(&mut self, now: Millis, returned: PermitReturn) {
        let digest = returned.record.digest;
        self.merge_record(now, returned.record);
        self.permits.take_back(&digest, &returned.vm);
    }

    /// Notes that a request begins on an endpoint.
    pub fn run_started(&mut self, now: Millis, run: Run) {
        self.active.begin(now, run);
    }

    /// Notes that a request left an endpoint; a suspect that completed is cleared of the crashes
    /// before that run, unless it was alone in one.
    pub fn run_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        endpoint: &EndpointName,
        outcome: RunOutcome,
    ) {
        let Some((digest, start)) = self.active.leave(now, id, endpoint, outcome) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.clear(start);
            self.unsent.insert(digest);
        }
    }

    /// Notes that an endpoint crashed: its boot id changed, or it refused connections right after
    /// one broke. Whatever of this VM ran there is a suspect.
    pub fn endpoint_crashed(&mut self, now: Millis, endpoint: &EndpointName, boot: u64) {
        for suspect in self.active.take_crashed(now, endpoint) {
            let incident = Incident {
                alone: suspect.alone,
                at: now,
                endpoint: endpoint.clone(),
                boot,
            };
            let mut entry = CrashHistory::default();
            entry.add(incident);
            let digest = suspect.digest;
            self.merge_record(now, SuspectRecord { digest, entry });
        }
    }

    /// Merges a peer's note; what is news is passed on with the next note.
    pub fn merge(&mut self, now: Millis, gossip: SuspectGossip) {
        for record in gossip.records.into_iter().take(GOSSIP_LIMIT) {
            self.merge_record(now, record);
        }
    }

    /// Returns the next note of news, `None` if there is none.
    pub fn next_news(&mut self) -> Option<SuspectGossip> {
        let mut records = Vec::new();
        while records.len() < GOSSIP_LIMIT {
            let Some(digest) = self.unsent.pop_first() else {
                break;
            };
            records.push(self.record(&digest));
        }
        (!records.is_empty()).then_some(SuspectGossip { records })
    }

    /// Returns the next part of all that is remembered, in turn, to mend lost notes.
    pub fn next_repeat(&mut self) -> Option<SuspectGossip> {
        let from = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.entries.range((from, Bound::Unbounded));
        let records: Vec<SuspectRecord> = next
            .take(GOSSIP_LIMIT)
            .map(|(digest, entry)| SuspectRecord {
                digest: *digest,
                entry: entry.clone(),
            })
            .collect();
        self.cursor = records.last().map(|record| record.digest);
        (!records.is_empty()).then_some(SuspectGossip { records })
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Millis) {
        self.entries
            .retain(|_, entry| now < entry.newest() + BAR_TTL);
        self.permits.expire(now);
    }

    fn record(&self, digest: &RequestDigest) -> SuspectRecord {
        SuspectRecord {
            digest: *digest,
            entry: self.entries.get(digest).cloned().unwrap_or_default(),
        }
    }

    fn merge_record(&mut self, now: Millis, record: SuspectRecord) {
        let SuspectRecord { digest, entry } = record;
        let from_future = entry.newest() > now + MAX_CLOCK_SKEW;
        if from_future || entry.is_empty() || entry.incidents().len() > INCIDENT_LIMIT {
            return;
        }
        if !self.entries.contains_key(&digest) && !self.make_room(entry.newest()) {
            return;
        }
        if self.entries.entry(digest).or_default().merge(entry) {
            self.unsent.insert(digest);
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
