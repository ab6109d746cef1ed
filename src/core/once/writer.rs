//! Group commit: the entries that wait for one stream, and its append under way.

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

/// After so many failed appends in a row the log counts as down.
const DOWN_FAILURES: u32 = 2;
/// The interval between appends to a log that is down.
const PROBE_SPAN: Millis = Millis(500);

/// Appends to one stream, one at a time and at a bounded rate.
///
/// The first entry after a quiet time goes at once; under load, entries gather while an append is
/// under way or the pace forbids the next, so the batches grow with the load and the rate does not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Writer {
    queue: VecDeque<Queued>,
    idents: BTreeSet<Ident>,
    in_flight: Option<InFlight>,
    last_append: Option<Millis>,
    failures: u32,
    last_was_snapshot: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Queued {
    entry: Entry,
    since: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    ticket: Ticket,
    entries: Vec<Queued>,
    since: Millis,
}

impl Writer {
    /// Queues an entry, unless it waits already.
    pub fn push(&mut self, entry: Entry, now: Millis) {
        if let Some(ident) = entry.ident()
            && !self.idents.insert(ident)
        {
            return;
        }
        self.queue.push_back(Queued { entry, since: now });
    }

    /// Says whether the last append failed and others wait to find out whether the log is back.
    pub fn is_down(&self) -> bool {
        self.failures >= DOWN_FAILURES && (self.in_flight.is_some() || !self.queue.is_empty())
    }

    /// Says whether nothing waits.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Says whether a snapshot waits.
    pub fn has_snapshot(&self) -> bool {
        let sent = self
            .in_flight
            .iter()
            .flat_map(|in_flight| &in_flight.entries);
        sent.chain(&self.queue)
            .any(|queued| matches!(queued.entry, Entry::Snapshot(_)))
    }

    /// Returns the next batch if there is one and the pace allows it.
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

    /// Notes that an append took effect and returns its batch.
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

    /// Queues the entries of a failed append again; appending one twice is harmless.
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

    /// Drops the entry of an ident from the queue, once the log has shown it.
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

    /// Gives up an append that io has not answered, and the entries that waited too long: whoever
    /// proposed them proposes again or has given up.
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

    /// Takes the next entries; a part of a snapshot goes alone, since it is large, and in turn with
    /// whatever else waits, so that a long snapshot holds up no claim.
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
