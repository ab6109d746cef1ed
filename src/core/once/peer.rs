//! The home's side: appends entries for other VMs and sends them the verdicts.
//!
//! A VM appends whatever it receives, also when it doesn't consider itself the home of the stream.
//! That is safe, because the log alone decides which claim wins.

use std::collections::BTreeMap;

use super::CLAIM_SPAN;
use super::POLL_SPAN;
use super::SNAPSHOT_SPAN;
use super::WAIT_SPAN;
use super::event::Action;
use super::event::Message;
use super::event::Ruling;
use super::id::Offset;
use super::id::StreamId;
use super::id::Ticket;
use super::record::Batch;
use super::record::Entry;
use super::record::Ident;
use super::shard::Shard;
use super::shard::Verdict;
use super::state::Once;
use super::writer::Writer;
use crate::clock::Millis;
use crate::names::Vm;

/// How long the appender of a stream is kept without use: the VM is not the stream's home, and
/// receives no proposals for it.
const IDLE_SPAN: Millis = Millis::seconds(60);

/// How long a fold without a complete snapshot waits at the end of the stream before the earlier
/// records count as lost.
const RESET_SPAN: Millis = Millis::seconds(5);
/// After a reset, only keys that are at least this far in the future are admitted. It exceeds the
/// clock skew, so that no key from the lost records is admitted again.
const RESET_AHEAD: Millis = Millis::seconds(120);

/// Appends to one stream for this VM and others, and folds the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Appender {
    shard: Shard,
    writer: Writer,
    /// Who gets the verdict on a queued entry.
    proposers: BTreeMap<Ident, Proposer>,
    /// When the read was requested that has not been answered.
    read_since: Option<Millis>,
    last_read: Millis,
    last_used: Millis,
    /// Since when reads have returned no more records.
    at_end_since: Option<Millis>,
}

/// The VM that last proposed an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposer {
    vm: Vm,
    since: Millis,
}

impl Appender {
    /// Answers an entry from the state, or queues it and returns `None`: its ruling then follows
    /// once the entry is folded.
    fn take_entry(&mut self, now: Millis, vm: &Vm, entry: Entry) -> Option<Ruling> {
        let ident = entry.ident()?;
        if let Some(verdict) = self.shard.known_verdict(&entry) {
            return Some(Ruling {
                ident,
                verdict: Some(verdict),
                queued: false,
            });
        }
        if ident.claim && self.writer.is_down() {
            return Some(Ruling {
                ident,
                verdict: None,
                queued: false,
            });
        }
        let proposer = Proposer {
            vm: vm.clone(),
            since: now,
        };
        self.proposers.insert(ident, proposer);
        self.writer.push(entry, now);
        None
    }

    /// Folds the records that follow the state, skips all others, and returns the verdicts on the
    /// entries.
    fn fold(&mut self, from: Offset, records: &[Batch]) -> Vec<(Ident, Verdict)> {
        let mut verdicts = Vec::new();
        for (at, batch) in records.iter().enumerate() {
            if from.0 + at as u64 == self.shard.next().0 {
                verdicts.extend(self.shard.fold(batch));
            }
        }
        for (ident, _) in &verdicts {
            self.writer.remove_settled(ident);
        }
        verdicts
    }

    /// Requests the next records, unless a request was made less than [`CLAIM_SPAN`] ago and is not
    /// answered yet.
    fn request_read(&mut self, now: Millis, stream: StreamId, actions: &mut Vec<Action>) {
        if self
            .read_since
            .is_some_and(|since| now.since(since) < CLAIM_SPAN)
        {
            return;
        }
        self.read_since = Some(now);
        self.last_read = now;
        let from = self.shard.next();
        actions.push(Action::Read { stream, from });
    }
}

impl Once {
    /// Answers or queues the entries that a VM proposes.
    pub(super) fn take_proposals(
        &mut self,
        now: Millis,
        vm: &Vm,
        stream: StreamId,
        entries: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) {
        if stream.0 >= self.settings.streams {
            return;
        }
        let appender = self.appenders.entry(stream).or_default();
        appender.last_used = now;
        let rulings: Vec<Ruling> = entries
            .into_iter()
            .filter_map(|entry| appender.take_entry(now, vm, entry))
            .collect();
        if !appender.shard.has_base() || appender.shard.next() == Offset(0) {
            appender.request_read(now, stream, actions);
        }
        self.flush(now, stream, actions);
        self.send_rulings(now, vm, rulings, actions);
    }

    /// Folds the batch of a successful append.
    pub(super) fn apply_append(
        &mut self,
        now: Millis,
        ticket: Ticket,
        stream: StreamId,
        offset: Offset,
        actions: &mut Vec<Action>,
    ) {
        let Some(appender) = self.appenders.get_mut(&stream) else {
            return;
        };
        let Some(batch) = appender.writer.appended(ticket) else {
            appender.request_read(now, stream, actions);
            return;
        };
        if offset > appender.shard.next() {
            appender.request_read(now, stream, actions);
        }
        let verdicts = appender.fold(offset, &[batch]);
        self.send_verdicts(now, stream, verdicts, actions);
        self.flush(now, stream, actions);
    }

    /// Queues the entries of a failed append again, and reads the stream in case the append took
    /// effect after all.
    pub(super) fn requeue_append(
        &mut self,
        now: Millis,
        ticket: Ticket,
        actions: &mut Vec<Action>,
    ) {
        for (stream, appender) in &mut self.appenders {
            if appender.writer.requeue(ticket) {
                appender.request_read(now, *stream, actions);
            }
        }
    }

    /// Folds records that were read, and reads on until the end of the stream.
    pub(super) fn apply_records(
        &mut self,
        now: Millis,
        stream: StreamId,
        from: Offset,
        records: &[Batch],
        actions: &mut Vec<Action>,
    ) {
        let Some(appender) = self.appenders.get_mut(&stream) else {
            return;
        };
        appender.read_since = None;
        appender.at_end_since = records
            .is_empty()
            .then(|| appender.at_end_since.unwrap_or(now));
        let verdicts = appender.fold(from, records);
        if !records.is_empty() {
            appender.request_read(now, stream, actions);
        }
        self.send_verdicts(now, stream, verdicts, actions);
        self.flush(now, stream, actions);
    }

    /// Restarts the fold at the first record that is left if records were lost before they were
    /// folded. It then has no base until it reads a complete snapshot.
    pub(super) fn restart_fold(
        &mut self,
        now: Millis,
        stream: StreamId,
        first: Offset,
        actions: &mut Vec<Action>,
    ) {
        let Some(appender) = self.appenders.get_mut(&stream) else {
            return;
        };
        appender.read_since = None;
        if appender.shard.next() < first {
            appender.shard = Shard::start(first);
        }
        appender.request_read(now, stream, actions);
    }

    /// Queues due snapshots, drops unused appenders, requests reads and appends due batches.
    pub(super) fn tick_appenders(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let streams = self.homes.keys().copied();
        let homes: Vec<StreamId> = streams.filter(|stream| self.is_home(*stream)).collect();
        for stream in homes {
            self.appenders.entry(stream).or_default().last_used = now;
            self.queue_snapshot(now, stream);
        }
        self.appenders.retain(|_, appender| {
            now.since(appender.last_used) < IDLE_SPAN || !appender.writer.is_idle()
        });
        for (stream, appender) in &mut self.appenders {
            appender
                .proposers
                .retain(|_, proposer| now.since(proposer.since) < WAIT_SPAN);
            if now.since(appender.last_read) >= POLL_SPAN {
                appender.request_read(now, *stream, actions);
            }
        }
        let streams: Vec<StreamId> = self.appenders.keys().copied().collect();
        for stream in streams {
            self.flush(now, stream, actions);
        }
    }

    /// Queues a snapshot if the last one is old; the floor is one window before the time at which
    /// that was taken. If the earlier records are lost, queues an empty snapshot instead.
    fn queue_snapshot(&mut self, now: Millis, stream: StreamId) {
        let window = self.settings.window;
        let Some(appender) = self.appenders.get_mut(&stream) else {
            return;
        };
        if appender.writer.has_snapshot() {
            return;
        }
        let holder = &self.settings.holder;
        let parts = if !appender.shard.has_base() {
            let lost = appender
                .at_end_since
                .is_some_and(|since| now.since(since) >= RESET_SPAN);
            let parts = lost.then(|| {
                appender
                    .shard
                    .empty_snapshot(holder, now + RESET_AHEAD, window)
            });
            parts.into_iter().collect()
        } else if now >= appender.shard.floor() + window + SNAPSHOT_SPAN {
            appender.shard.snapshot_parts(holder, now.since(window))
        } else {
            Vec::new()
        };
        for part in parts {
            appender.writer.push(Entry::Snapshot(part), now);
        }
    }

    /// Appends the next batch if one is due.
    fn flush(&mut self, now: Millis, stream: StreamId, actions: &mut Vec<Action>) {
        let Some(appender) = self.appenders.get_mut(&stream) else {
            return;
        };
        let ticket = Ticket(self.tickets + 1);
        if let Some(batch) = appender.writer.next_batch(now, self.settings.pace, ticket) {
            self.tickets += 1;
            actions.push(Action::Append {
                ticket,
                stream,
                batch,
            });
        }
    }

    /// Sends each VM the verdicts on the entries that it proposed.
    fn send_verdicts(
        &mut self,
        now: Millis,
        stream: StreamId,
        verdicts: Vec<(Ident, Verdict)>,
        actions: &mut Vec<Action>,
    ) {
        let Some(appender) = self.appenders.get_mut(&stream) else {
            return;
        };
        let mut rulings: BTreeMap<Vm, Vec<Ruling>> = BTreeMap::new();
        for (ident, verdict) in verdicts {
            if let Some(proposer) = appender.proposers.remove(&ident) {
                let ruling = Ruling {
                    ident,
                    verdict: Some(verdict),
                    queued: true,
                };
                rulings.entry(proposer.vm).or_default().push(ruling);
            }
        }
        for (vm, rulings) in rulings {
            self.send_rulings(now, &vm, rulings, actions);
        }
    }

    /// Sends rulings to a VM, or applies them if it is this one.
    fn send_rulings(
        &mut self,
        now: Millis,
        vm: &Vm,
        rulings: Vec<Ruling>,
        actions: &mut Vec<Action>,
    ) {
        if rulings.is_empty() {
            return;
        }
        if *vm != self.settings.holder.vm {
            let message = Message::Rulings(rulings);
            actions.push(Action::Tell {
                vm: vm.clone(),
                message,
            });
            return;
        }
        for ruling in rulings {
            self.apply_ruling(now, ruling, actions);
        }
    }
}
