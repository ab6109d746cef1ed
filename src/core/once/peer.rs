//! The home's side: appending for other VMs and telling them what the log says.
//!
//! A VM that is asked serves as home, whatever it believes itself, because the log alone decides.

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

/// How long a stream is kept that this VM is neither home of nor asked about.
const IDLE_SPAN: Millis = Millis::seconds(60);

/// How long the end of a stream without a whole snapshot is watched before its past counts as lost.
const RESET_SPAN: Millis = Millis::seconds(5);
/// How far beyond now the keys lie that are admitted after a reset; it exceeds the clocks' skew.
const RESET_AHEAD: Millis = Millis::seconds(120);

/// A stream that this VM appends to for others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Host {
    shard: Shard,
    writer: Writer,
    asks: BTreeMap<Ident, Ask>,
    reading: Option<Millis>,
    read: Millis,
    used: Millis,
    ended: Option<Millis>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ask {
    vm: Vm,
    since: Millis,
}

impl Host {
    /// Answers an entry from the state, or queues it; `None` means that its ruling comes later.
    fn take(&mut self, now: Millis, vm: &Vm, entry: Entry) -> Option<Ruling> {
        let ident = entry.ident()?;
        if let Some(verdict) = self.shard.look(&entry) {
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
        let ask = Ask {
            vm: vm.clone(),
            since: now,
        };
        self.asks.insert(ident, ask);
        self.writer.push(entry, now);
        None
    }

    /// Folds the records that come next and returns the verdicts on their entries.
    fn fold(&mut self, from: Offset, records: &[Batch]) -> Vec<(Ident, Verdict)> {
        let mut verdicts = Vec::new();
        for (at, batch) in records.iter().enumerate() {
            if from.0 + at as u64 == self.shard.next().0 {
                verdicts.extend(self.shard.fold(batch));
            }
        }
        for (ident, _) in &verdicts {
            self.writer.settle(ident);
        }
        verdicts
    }

    /// Asks for the next records, unless that was asked lately.
    fn read(&mut self, now: Millis, stream: StreamId, actions: &mut Vec<Action>) {
        if self
            .reading
            .is_some_and(|since| now.since(since) < CLAIM_SPAN)
        {
            return;
        }
        self.reading = Some(now);
        self.read = now;
        let from = self.shard.next();
        actions.push(Action::Read { stream, from });
    }
}

impl Once {
    /// Serves as home: takes entries in for a VM.
    pub(super) fn host(
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
        let host = self.hosts.entry(stream).or_default();
        host.used = now;
        let rulings: Vec<Ruling> = entries
            .into_iter()
            .filter_map(|entry| host.take(now, vm, entry))
            .collect();
        if !host.shard.based() || host.shard.next() == Offset(0) {
            host.read(now, stream, actions);
        }
        self.flush(now, stream, actions);
        self.rule(now, vm, rulings, actions);
    }

    pub(super) fn appended(
        &mut self,
        now: Millis,
        ticket: Ticket,
        stream: StreamId,
        offset: Offset,
        actions: &mut Vec<Action>,
    ) {
        let Some(host) = self.hosts.get_mut(&stream) else {
            return;
        };
        let Some(batch) = host.writer.appended(ticket) else {
            host.read(now, stream, actions);
            return;
        };
        if offset > host.shard.next() {
            host.read(now, stream, actions);
        }
        let verdicts = host.fold(offset, &[batch]);
        self.deliver(now, stream, verdicts, actions);
        self.flush(now, stream, actions);
    }

    /// Queues a failed append again, and reads back in case that it took effect after all.
    pub(super) fn append_failed(&mut self, now: Millis, ticket: Ticket, actions: &mut Vec<Action>) {
        for (stream, host) in &mut self.hosts {
            if host.writer.failed(ticket) {
                host.read(now, *stream, actions);
            }
        }
    }

    pub(super) fn records(
        &mut self,
        now: Millis,
        stream: StreamId,
        from: Offset,
        records: &[Batch],
        actions: &mut Vec<Action>,
    ) {
        let Some(host) = self.hosts.get_mut(&stream) else {
            return;
        };
        host.reading = None;
        host.ended = records.is_empty().then(|| host.ended.unwrap_or(now));
        let verdicts = host.fold(from, records);
        if !records.is_empty() {
            host.read(now, stream, actions);
        }
        self.deliver(now, stream, verdicts, actions);
        self.flush(now, stream, actions);
    }

    /// Starts the fold anew after a gap; it then waits for a snapshot to rest on.
    pub(super) fn expired(
        &mut self,
        now: Millis,
        stream: StreamId,
        first: Offset,
        actions: &mut Vec<Action>,
    ) {
        let Some(host) = self.hosts.get_mut(&stream) else {
            return;
        };
        host.reading = None;
        if host.shard.next() < first {
            host.shard = Shard::start(first);
        }
        host.read(now, stream, actions);
    }

    pub(super) fn tick_hosts(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let streams = self.homes.keys().copied();
        let homes: Vec<StreamId> = streams.filter(|stream| self.is_home(*stream)).collect();
        for stream in homes {
            self.hosts.entry(stream).or_default().used = now;
            self.carry(now, stream);
        }
        self.hosts
            .retain(|_, host| now.since(host.used) < IDLE_SPAN || !host.writer.is_idle());
        for (stream, host) in &mut self.hosts {
            host.asks.retain(|_, ask| now.since(ask.since) < WAIT_SPAN);
            if now.since(host.read) >= POLL_SPAN {
                host.read(now, *stream, actions);
            }
        }
        let streams: Vec<StreamId> = self.hosts.keys().copied().collect();
        for stream in streams {
            self.flush(now, stream, actions);
        }
    }

    /// Queues a snapshot when the last one is old; its floor tells the time that it was cut at.
    fn carry(&mut self, now: Millis, stream: StreamId) {
        let window = self.settings.window;
        let Some(host) = self.hosts.get_mut(&stream) else {
            return;
        };
        if host.writer.carries() {
            return;
        }
        let holder = &self.settings.holder;
        let parts = if !host.shard.based() {
            let lost = host
                .ended
                .is_some_and(|ended| now.since(ended) >= RESET_SPAN);
            let parts = lost.then(|| host.shard.reset(holder, now + RESET_AHEAD, window));
            parts.into_iter().collect()
        } else if now >= host.shard.floor() + window + SNAPSHOT_SPAN {
            host.shard.parts(holder, now.since(window))
        } else {
            Vec::new()
        };
        for part in parts {
            host.writer.push(Entry::Snapshot(part), now);
        }
    }

    fn flush(&mut self, now: Millis, stream: StreamId, actions: &mut Vec<Action>) {
        let Some(host) = self.hosts.get_mut(&stream) else {
            return;
        };
        let ticket = Ticket(self.tickets + 1);
        if let Some(batch) = host.writer.flush(now, self.settings.pace, ticket) {
            self.tickets += 1;
            actions.push(Action::Append {
                ticket,
                stream,
                batch,
            });
        }
    }

    /// Tells each VM what the log says of the entries that it proposed.
    fn deliver(
        &mut self,
        now: Millis,
        stream: StreamId,
        verdicts: Vec<(Ident, Verdict)>,
        actions: &mut Vec<Action>,
    ) {
        let Some(host) = self.hosts.get_mut(&stream) else {
            return;
        };
        let mut rulings: BTreeMap<Vm, Vec<Ruling>> = BTreeMap::new();
        for (ident, verdict) in verdicts {
            if let Some(ask) = host.asks.remove(&ident) {
                let ruling = Ruling {
                    ident,
                    verdict: Some(verdict),
                    queued: true,
                };
                rulings.entry(ask.vm).or_default().push(ruling);
            }
        }
        for (vm, rulings) in rulings {
            self.rule(now, &vm, rulings, actions);
        }
    }

    fn rule(&mut self, now: Millis, vm: &Vm, rulings: Vec<Ruling>, actions: &mut Vec<Action>) {
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
            self.ruled(now, ruling, actions);
        }
    }
}
