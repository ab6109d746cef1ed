//! Group commit for one stream: a queue of entries and the append in flight.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::CLAIM_SPAN;
use super::MAX_BATCH_BYTES;
use super::MAX_BATCH_ENTRIES;
use super::id::Ticket;
use super::record::Batch;
use super::record::Entry;
use super::record::Ident;
use crate::clock::Millis;

/// The number of consecutive failed appends after which the log counts as down.
const DOWN_FAILURES: u32 = 2;
/// The interval between appends to a log that is down.
const PROBE_SPAN: Millis = Millis(500);

/// Forms batches for one stream, for one append at a time and at a limited rate.
///
/// The first entry after an idle period is appended at once. Under load, entries queue up while an
/// append is in flight or the minimum interval has not passed, so the batches grow with the load,
/// but the rate of appends does not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Writer {
    queue: VecDeque<Queued>,
    /// The identities of all entries in the queue or in flight.
    idents: BTreeSet<Ident>,
    in_flight: Option<InFlight>,
    last_append: Option<Millis>,
    /// The number of appends that failed since the last one that took effect.
    failures: u32,
    last_was_snapshot: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Queued {
    entry: Entry,
    since: Millis,
}

/// The append that has not been answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    ticket: Ticket,
    entries: Vec<Queued>,
    since: Millis,
}

impl Writer {
    /// Queues an entry, unless it is already in the queue or in flight.
    pub fn push(&mut self, entry: Entry, now: Millis) {
        if let Some(ident) = entry.ident()
            && !self.idents.insert(ident)
        {
            return;
        }
        self.queue.push_back(Queued { entry, since: now });
    }

    /// Returns whether the last appends failed and entries are left that will probe the log.
    pub fn is_down(&self) -> bool {
        self.failures >= DOWN_FAILURES && (self.in_flight.is_some() || !self.queue.is_empty())
    }

    /// Returns whether no entry is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Returns whether a part of a snapshot is queued or in flight.
    pub fn has_snapshot(&self) -> bool {
        let sent = self
            .in_flight
            .iter()
            .flat_map(|in_flight| &in_flight.entries);
        sent.chain(&self.queue)
            .any(|queued| matches!(queued.entry, Entry::Snapshot(_)))
    }

    /// Returns the next batch, or `None` if there is nothing to append, an append is in flight, or
    /// the last one is less than `pace` ago.
    pub fn next_batch(&mut self, now: Millis, pace: Millis, ticket: Ticket) -> Option<Batch> {
        self.drop_expired(now);
        let pace = if self.failures >= DOWN_FAILURES {
            pace.max(PROBE_SPAN)
        } else {
            pace
        };
        let due = self.last_append.is_none_or(|last| now.since(last) >= pace);
        if self.in_flight.is_some() || !due || self.queue.is_empty() {
            return None;
        }
        let entries = self.take_entries();
        let batch = Batch(entries.iter().map(|queued| queued.entry.clone()).collect());
        self.last_append = Some(now);
        self.in_flight = Some(InFlight {
            ticket,
            entries,
            since: now,
        });
        Some(batch)
    }

    /// Ends the append in flight as successful and returns its batch, or `None` if `ticket` is not
    /// in flight.
    pub fn appended(&mut self, ticket: Ticket) -> Option<Batch> {
        let in_flight = self
            .in_flight
            .take_if(|in_flight| in_flight.ticket == ticket)?;
        self.failures = 0;
        let entries = in_flight.entries.into_iter().map(|queued| queued.entry);
        let batch = Batch(entries.collect());
        for ident in batch.0.iter().filter_map(Entry::ident) {
            self.idents.remove(&ident);
        }
        Some(batch)
    }

    /// Puts the entries of a failed append back at the head of the queue, and returns whether
    /// `ticket` was in flight. Appending an entry twice is harmless.
    pub fn requeue(&mut self, ticket: Ticket) -> bool {
        let Some(in_flight) = self
            .in_flight
            .take_if(|in_flight| in_flight.ticket == ticket)
        else {
            return false;
        };
        self.failures += 1;
        for queued in in_flight.entries.into_iter().rev() {
            self.queue.push_front(queued);
        }
        true
    }

    /// Removes an entry from the queue that was read from the log. One in flight stays.
    pub fn remove_settled(&mut self, ident: &Ident) {
        let is_sent = self.in_flight.as_ref().is_some_and(|in_flight| {
            let mut idents = in_flight
                .entries
                .iter()
                .filter_map(|queued| queued.entry.ident());
            idents.any(|other| other == *ident)
        });
        if !is_sent && self.idents.remove(ident) {
            self.queue
                .retain(|queued| queued.entry.ident().as_ref() != Some(ident));
        }
    }

    /// Requeues an append that has had no answer for [`CLAIM_SPAN`], and drops the entries that
    /// waited as long: their proposers have proposed them again or given up.
    fn drop_expired(&mut self, now: Millis) {
        if let Some(in_flight) = &self.in_flight
            && now.since(in_flight.since) >= CLAIM_SPAN
        {
            let ticket = in_flight.ticket;
            self.requeue(ticket);
        }
        let idents = &mut self.idents;
        self.queue.retain(|queued| {
            let keep =
                matches!(queued.entry, Entry::Snapshot(_)) || now.since(queued.since) < CLAIM_SPAN;
            if !keep && let Some(ident) = queued.entry.ident() {
                idents.remove(&ident);
            }
            keep
        });
    }

    /// Takes the entries of the next batch from the queue. A part of a snapshot is large, so it
    /// forms a batch of its own. Parts alternate with batches of other entries, so that a long
    /// snapshot does not delay claims.
    fn take_entries(&mut self) -> Vec<Queued> {
        let waits = self.queue.iter().any(|queued| !is_snapshot(queued));
        let next = self.queue.front().is_some_and(is_snapshot);
        self.last_was_snapshot = next && !(self.last_was_snapshot && waits);
        if self.last_was_snapshot {
            return self.queue.drain(..1).collect();
        }
        let mut bytes = 0;
        let mut taken = Vec::new();
        let mut rest = VecDeque::new();
        for queued in std::mem::take(&mut self.queue) {
            bytes += queued.entry.body_len();
            let fits =
                taken.len() < MAX_BATCH_ENTRIES && (bytes <= MAX_BATCH_BYTES || taken.is_empty());
            if fits && !is_snapshot(&queued) {
                taken.push(queued);
            } else {
                rest.push_back(queued);
            }
        }
        self.queue = rest;
        taken
    }
}

fn is_snapshot(queued: &Queued) -> bool {
    matches!(queued.entry, Entry::Snapshot(_))
}
