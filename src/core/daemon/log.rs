//! Appends to and reads from the platform's log, and their results.

use crate::clock::Millis;
use crate::core::config::change::Offset;
use crate::core::config::publish;
use crate::core::config::publish::Ticket;
use crate::core::config::record::Record;
use crate::core::once;
use crate::core::sync;
use crate::core::sync::Tail;
use crate::core::sync::message::Message;

use super::Core;
use super::action::Action;
use super::action::AppendId;
use super::action::ReadId;
use super::event::ReadResult;

impl Core {
    /// Appends a configuration record; its result is reported under `ticket`.
    pub(super) fn publish(
        &mut self,
        now: Millis,
        ticket: Ticket,
        record: Record,
        out: &mut Vec<Action>,
    ) {
        self.step_publisher(now, publish::Event::Submit { ticket, record }, out);
    }

    /// Passes an event to the publisher and carries out its actions.
    pub(super) fn step_publisher(
        &mut self,
        now: Millis,
        event: publish::Event,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.publisher.step(now, event, &mut actions);
        for action in actions {
            match action {
                publish::Action::Append { ticket, record } => {
                    let append = AppendId::Config(ticket);
                    out.push(Action::Append {
                        append,
                        record: record.encode(),
                    });
                }
                publish::Action::ReadBack { ticket, .. } => self.read_back(ticket, out),
                publish::Action::Settled { ticket, verdict } => {
                    self.record_settled(ticket, verdict, out);
                }
            }
        }
    }

    /// Reads the stream from the first record that isn't applied yet; the publisher has seen all
    /// earlier ones.
    fn read_back(&self, ticket: Ticket, out: &mut Vec<Action>) {
        out.push(Action::Read {
            read: ReadId::ReadBack(ticket),
            from: self.sync.offset(),
        });
    }

    pub(super) fn append_claims(
        &mut self,
        now: Millis,
        ticket: once::Ticket,
        stream: once::StreamId,
        batch: &once::Batch,
        out: &mut Vec<Action>,
    ) {
        let append = AppendId::Once { stream, ticket };
        match serde_json::to_vec(batch) {
            Ok(record) => out.push(Action::Append { append, record }),
            Err(_) => self.append_refused(now, append, out),
        }
    }

    pub(super) fn appended(
        &mut self,
        now: Millis,
        append: AppendId,
        offset: u64,
        out: &mut Vec<Action>,
    ) {
        match append {
            AppendId::Config(ticket) => {
                let offset = Offset(offset);
                self.step_publisher(now, publish::Event::Appended { ticket, offset }, out);
                self.read_back(ticket, out);
            }
            AppendId::SnapshotPart => self.snapshots.appended(),
            AppendId::Once { stream, ticket } => {
                let offset = once::Offset(offset);
                self.step_once(
                    now,
                    once::Event::Appended {
                        ticket,
                        stream,
                        offset,
                    },
                    out,
                );
            }
        }
    }

    pub(super) fn append_lost(&mut self, now: Millis, append: AppendId, out: &mut Vec<Action>) {
        match append {
            AppendId::Config(ticket) => {
                self.step_publisher(now, publish::Event::AppendLost { ticket }, out);
            }
            AppendId::SnapshotPart => self.snapshots.abandon(),
            AppendId::Once { ticket, .. } => {
                self.step_once(now, once::Event::AppendLost { ticket }, out);
            }
        }
    }

    pub(super) fn append_refused(&mut self, now: Millis, append: AppendId, out: &mut Vec<Action>) {
        match append {
            AppendId::Config(ticket) => {
                self.step_publisher(now, publish::Event::AppendRefused { ticket }, out);
            }
            AppendId::SnapshotPart => self.snapshots.abandon(),
            AppendId::Once { ticket, .. } => {
                self.step_once(now, once::Event::AppendRefused { ticket }, out);
            }
        }
    }

    pub(super) fn read_done(
        &mut self,
        now: Millis,
        read: ReadId,
        result: ReadResult,
        out: &mut Vec<Action>,
    ) {
        match read {
            ReadId::Tail(number) => self.tail_read(now, number, result, out),
            ReadId::ReadBack(ticket) => self.read_back_done(now, ticket, result, out),
            ReadId::Snapshot => self.search_snapshot(now, result, out),
            ReadId::Once(stream) => self.claims_read(now, stream, result, out),
        }
    }

    fn tail_read(&mut self, now: Millis, number: u64, result: ReadResult, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        match result {
            ReadResult::Records { batch, end } => {
                self.sync
                    .finish_read(now, Tail { number, batch, end }, &mut actions);
            }
            ReadResult::Expired(first) => self.sync.expire_read(now, number, first, &mut actions),
            ReadResult::Failed => self.sync.fail_read(now, number),
        }
        self.apply_sync_actions(now, actions, out);
    }

    fn read_back_done(
        &mut self,
        now: Millis,
        ticket: Ticket,
        result: ReadResult,
        out: &mut Vec<Action>,
    ) {
        let ReadResult::Records { batch, end } = result else {
            self.step_publisher(now, publish::Event::TailRead { ticket }, out);
            return;
        };
        let me = self.me.vm.clone();
        let mut actions = Vec::new();
        self.sync
            .receive(now, &me, Message::Records(batch), &mut actions);
        self.apply_sync_actions(now, actions, out);
        if end {
            self.step_publisher(now, publish::Event::TailRead { ticket }, out);
        } else {
            self.read_back(ticket, out);
        }
    }

    fn claims_read(
        &mut self,
        now: Millis,
        stream: once::StreamId,
        result: ReadResult,
        out: &mut Vec<Action>,
    ) {
        let event = match result {
            ReadResult::Records { batch, .. } => {
                let from = once::Offset(batch.from);
                let parse = |record: &sync::message::Record| {
                    serde_json::from_str(&record.data).unwrap_or_default()
                };
                let records = batch.records.iter().map(parse).collect();
                once::Event::Records {
                    stream,
                    from,
                    records,
                }
            }
            ReadResult::Expired(first) => once::Event::Expired {
                stream,
                first: once::Offset(first),
            },
            ReadResult::Failed => return,
        };
        self.step_once(now, event, out);
    }
}
