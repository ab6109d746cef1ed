//! The suspects known to one VM, and the decision how a request may run.

use std::cmp::Reverse;
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
use crate::core::poison::part::PartDigest;
use crate::core::poison::part_table::PartTable;
use crate::core::poison::permit::Permits;
use crate::core::poison::rank::home_of;
use crate::core::poison::rank::home_vm;
use crate::core::poison::running::ActiveRuns;
use crate::core::poison::running::Run;
use crate::core::poison::running::RunOutcome;
use crate::core::poison::verdict::PartCrash;
use crate::core::session::RequestId;
use crate::error::Code;
use crate::error::Failure;
use crate::names::EndpointName;
use crate::names::Vm;

/// The maximum number of requests whose crash history is kept.
pub const ENTRY_LIMIT: usize = 1024;
/// The crashes after which a request is repeated to other VMs before other suspects: the next one bars it.
const REPEATED_CRASHES: usize = 2;
/// How far a peer's clock may be ahead; records from further in the future are ignored.
const MAX_CLOCK_SKEW: Millis = Millis::seconds(60);
/// The longest retry delay that a caller is given while another request holds the permit.
const BUSY_RETRY_DELAY: Millis = Millis::seconds(1);

/// How to run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunPlan {
    /// On any endpoint of its shortlist, alongside other requests.
    Shared,
    /// Only with a permit of its home VM, which may be this VM.
    WithPermit {
        /// The VM that grants the permits of this request.
        home: Vm,
    },
    /// Not at all.
    Barred {
        /// When the request may run again.
        until: Millis,
    },
}

impl RunPlan {
    /// Returns the failure to report for a barred request, marked as not run; `None` if the
    /// request is not barred.
    ///
    /// For a session that has already started, the caller has to mark it as "unknown" instead.
    #[must_use]
    pub fn failure(&self, now: Millis) -> Option<Failure> {
        let Self::Barred { until } = self else {
            return None;
        };
        let failure = Failure::not_run(
            Code::RequestBarred,
            "requests of this content crashed endpoints",
        );
        Some(failure.retry_after(until.since(now)))
    }
}

/// The crash histories known to one VM, its running requests, and the permits that it granted.
#[derive(Debug)]
pub struct SuspectTable {
    vm: Vm,
    entries: BTreeMap<RequestDigest, CrashHistory>,
    active: ActiveRuns,
    permits: Permits,
    parts: PartTable,
    /// The requests whose history changed since it was last sent to peers.
    unsent: BTreeSet<RequestDigest>,
    /// The last request sent by [`Self::next_repeat`]; `None` to start from the first.
    cursor: Option<RequestDigest>,
    /// The last suspect that [`Self::next_records`] repeated, whatever its number of crashes.
    suspect_cursor: Option<RequestDigest>,
}

impl SuspectTable {
    /// Returns an empty table; `vm` is the VM that keeps it.
    #[must_use]
    pub fn new(vm: Vm) -> Self {
        Self {
            vm,
            entries: BTreeMap::new(),
            active: ActiveRuns::default(),
            permits: Permits::default(),
            parts: PartTable::default(),
            unsent: BTreeSet::new(),
            cursor: None,
            suspect_cursor: None,
        }
    }

    /// Returns the number of requests with a crash history.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request has a crash history.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the requests that are barred at `now`.
    #[must_use]
    pub fn barred(&self, now: Millis) -> Vec<RequestDigest> {
        let is_barred =
            |digest: &&RequestDigest| matches!(self.status(now, digest), SuspectStatus::Barred(_));
        self.entries.keys().filter(is_barred).copied().collect()
    }

    /// Returns whether and how a request may run, as far as this VM knows.
    #[must_use]
    pub fn status(&self, now: Millis, digest: &RequestDigest) -> SuspectStatus {
        let entry = self.entries.get(digest);
        entry.map_or(SuspectStatus::Clear, |entry| entry.status(now))
    }

    /// Returns how to run a request; `vms` are the live VMs, one of which is its home.
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

    /// Returns the request for a permit to send to the suspect's home VM.
    #[must_use]
    pub fn permit_request(&self, id: RequestId, digest: &RequestDigest) -> PermitRequest {
        PermitRequest {
            vm: self.vm.clone(),
            id,
            record: self.record(digest),
        }
    }

    /// Answers a permit request, as the suspect's home VM.
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

    /// Returns the message that returns a permit to the home VM once the run has ended.
    #[must_use]
    pub fn permit_return(&self, digest: &RequestDigest) -> PermitReturn {
        PermitReturn {
            vm: self.vm.clone(),
            record: self.record(digest),
        }
    }

    /// Takes a permit back, as the suspect's home VM.
    pub fn accept_return(&mut self, now: Millis, returned: PermitReturn) {
        let digest = returned.record.digest;
        self.merge_record(now, returned.record);
        self.permits.take_back(&digest, &returned.vm);
    }

    /// Records that a request starts on an endpoint.
    pub fn run_started(&mut self, now: Millis, run: Run) {
        self.active.begin(now, run);
    }

    /// Records how a request's run on an endpoint ended. A completed run clears a suspect of the
    /// crashes before that run, except those that happened while it was alone.
    pub fn run_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        endpoint: &EndpointName,
        outcome: RunOutcome,
    ) {
        if let Some(run) = self.active.leave(now, id, endpoint, outcome) {
            self.record_completion(&run.digest, run.start);
            self.parts.record_survival(now, &run.parts);
        }
    }

    /// Records that a run which started at `start` completed, which clears a suspect of the crashes
    /// before that run, except those that happened while it was alone.
    pub fn record_completion(&mut self, digest: &RequestDigest, start: Millis) {
        if let Some(entry) = self.entries.get_mut(digest) {
            entry.clear(start);
            self.unsent.insert(*digest);
        }
    }

    /// Records that an endpoint crashed: its boot id changed, or it refused connections right after
    /// one broke. Every request of this VM that was running there becomes a suspect.
    pub fn endpoint_crashed(&mut self, now: Millis, endpoint: &EndpointName, boot: u64) {
        let crash = PartCrash {
            at: now,
            endpoint: endpoint.clone(),
            boot,
        };
        for suspect in self.active.take_crashed(now, endpoint) {
            self.parts.record_crash(now, &suspect.parts, &crash);
            let incident = Incident {
                alone: suspect.alone,
                at: now,
                endpoint: endpoint.clone(),
                boot,
            };
            self.record_crash(now, suspect.digest, incident);
        }
    }

    /// Records that an endpoint crashed while it ran a request.
    pub fn record_crash(&mut self, now: Millis, digest: RequestDigest, incident: Incident) {
        let mut entry = CrashHistory::default();
        entry.add(incident);
        self.merge_record(now, SuspectRecord { digest, entry });
    }

    /// Merges a peer's records; those that changed this table are passed on by
    /// [`Self::next_news`].
    pub fn merge(&mut self, now: Millis, gossip: SuspectGossip) {
        for record in gossip.records.into_iter().take(GOSSIP_LIMIT) {
            self.merge_record(now, record);
        }
    }

    /// Returns the next message with changed records, `None` if all have been sent.
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

    /// Returns the next part of the whole table, in order of the digests, to make up for lost
    /// messages. Returns `None` once after the last part and then starts again.
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

    /// Returns whether records changed that [`Self::next_records`] has not returned yet.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Returns up to `limit` changed records, those with the most crashes first, and then others in turn,
    /// to make up for lost messages and for VMs that started meanwhile: one that is barred or has crashed
    /// more than one endpoint, and if there is room, any suspect.
    ///
    /// A crash makes a suspect of each request that ran there, and of these the guilty one comes again.
    pub fn next_records(&mut self, now: Millis, limit: usize) -> SuspectGossip {
        let crashes = |digest: &RequestDigest| {
            let entry = self.entries.get(digest);
            entry.map_or(0, |entry| entry.incidents().len())
        };
        let mut digests: Vec<RequestDigest> = self.unsent.iter().copied().collect();
        digests.sort_by_key(|digest| Reverse(crashes(digest)));
        digests.truncate(limit);
        for digest in &digests {
            self.unsent.remove(digest);
        }
        self.cursor = self.next_in_turn(now, self.cursor, REPEATED_CRASHES);
        digests.extend(self.cursor.filter(|digest| !digests.contains(digest)));
        if digests.len() <= limit {
            self.suspect_cursor = self.next_in_turn(now, self.suspect_cursor, 1);
            let next = self.suspect_cursor;
            digests.extend(next.filter(|digest| !digests.contains(digest)));
        }
        let records = digests.iter().map(|digest| self.record(digest));
        SuspectGossip {
            records: records.collect(),
        }
    }

    /// Returns the first request after another one, or else the first of all, that is barred or a suspect
    /// with at least `crashes`.
    fn next_in_turn(
        &self,
        now: Millis,
        last: Option<RequestDigest>,
        crashes: usize,
    ) -> Option<RequestDigest> {
        let from = last.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.entries.range((from, Bound::Unbounded));
        let mut turn = later.chain(&self.entries);
        let found = turn.find(|(_, entry)| match entry.status(now) {
            SuspectStatus::Clear => false,
            SuspectStatus::Suspect => entry.incidents().len() >= crashes,
            SuspectStatus::Barred(_) => true,
        });
        found.map(|(digest, _)| *digest)
    }

    /// Returns the parts of prompts under which endpoints crashed. Only a daemon that records its runs
    /// in this table uses them.
    pub fn parts(&mut self) -> &mut PartTable {
        &mut self.parts
    }

    /// Returns until when a request is barred because of a part of its prompt; `None` if it may
    /// run, as far as this VM knows. `vms` are the live VMs, one of which is a part's home and may
    /// try it.
    pub fn find_barred_part(
        &mut self,
        now: Millis,
        parts: &[PartDigest],
        vms: &[Vm],
    ) -> Option<Millis> {
        let mut barred = parts.iter().copied();
        let (part, left) =
            barred.find_map(|part| Some((part, self.parts.barred_for(now, part)?)))?;
        let is_home = home_of(part.key(), vms).is_none_or(|home| *home == self.vm);
        if is_home && self.parts.begin_trial(now, part) {
            return None;
        }
        Some(now + left)
    }

    /// Removes expired histories and permits.
    pub fn expire(&mut self, now: Millis) {
        self.parts.expire(now);
        self.entries
            .retain(|_, entry| now < entry.newest() + BAR_TTL);
        self.permits.expire(now);
    }

    /// Returns the record of a request, which is empty if it is not a suspect.
    #[must_use]
    pub fn record(&self, digest: &RequestDigest) -> SuspectRecord {
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
        if !self.entries.contains_key(&digest) && !self.make_room(&entry) {
            return;
        }
        if self.entries.entry(digest).or_default().merge(entry) {
            self.unsent.insert(digest);
        }
    }

    /// Makes room for an entry if the table is full: removes the oldest one, unless that would be
    /// the new one itself; returns whether there is room. Barred requests are removed last and only
    /// for others, since a crash with many requests in progress adds many harmless ones.
    fn make_room(&mut self, new: &CrashHistory) -> bool {
        if self.entries.len() < ENTRY_LIMIT {
            return true;
        }
        let order = |entry: &CrashHistory| (entry.is_conclusive(), entry.newest());
        let oldest = self.entries.iter().min_by_key(|(_, entry)| order(entry));
        let Some((digest, _)) = oldest.filter(|(_, entry)| order(entry) < order(new)) else {
            return false;
        };
        let digest = *digest;
        self.entries.remove(&digest);
        true
    }
}
