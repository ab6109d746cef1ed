//! The platform's log: appends and reads, and what becomes of each.

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
use super::event::Found;

impl Core {
    /// Publishes a record of the configuration.
    pub(super) fn publish(
        &mut self,
        now: Millis,
        ticket: Ticket,
        record: Record,
        out: &mut Vec<Action>,
    ) {
        self.publisher(now, publish::Event::Submit { ticket, record }, out);
    }

    /// Hands an event to the publisher and carries out what follows.
    pub(super) fn publisher(&mut self, now: Millis, event: publish::Event, out: &mut Vec<Action>) {
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
                    self.settled(ticket, verdict, out);
                }
            }
        }
    }

    /// Reads on from what is folded; what was folded before has been seen.
    fn read_back(&self, ticket: Ticket, out: &mut Vec<Action>) {
        out.push(Action::Read {
            read: ReadId::Back(ticket),
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
                self.publisher(now, publish::Event::Appended { ticket, offset }, out);
                self.read_back(ticket, out);
            }
            AppendId::Part => self.snapshots.appended(),
            AppendId::Once { stream, ticket } => {
                let offset = once::Offset(offset);
                self.once(
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
                self.publisher(now, publish::Event::AppendLost { ticket }, out);
            }
            AppendId::Part => self.snapshots.abandon(),
            AppendId::Once { ticket, .. } => {
                self.once(now, once::Event::AppendLost { ticket }, out);
            }
        }
    }

    pub(super) fn append_refused(&mut self, now: Millis, append: AppendId, out: &mut Vec<Action>) {
        match append {
            AppendId::Config(ticket) => {
                self.publisher(now, publish::Event::AppendRefused { ticket }, out);
            }
            AppendId::Part => self.snapshots.abandon(),
            AppendId::Once { ticket, .. } => {
                self.once(now, once::Event::AppendRefused { ticket }, out);
            }
        }
    }

    pub(super) fn read(&mut self, now: Millis, read: ReadId, found: Found, out: &mut Vec<Action>) {
        match read {
            ReadId::Tail(number) => self.tail(now, number, found, out),
            ReadId::Back(ticket) => self.back(now, ticket, found, out),
            ReadId::Snapshot => self.snapshot_page(now, found, out),
            ReadId::Once(stream) => self.claims(now, stream, found, out),
        }
    }

    fn tail(&mut self, now: Millis, number: u64, found: Found, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        match found {
            Found::Records { batch, end } => {
                self.sync
                    .finish_read(now, Tail { number, batch, end }, &mut actions);
            }
            Found::Expired(first) => self.sync.expire_read(now, number, first, &mut actions),
            Found::Failed => self.sync.fail_read(now, number),
        }
        self.synced(now, actions, out);
    }

    fn back(&mut self, now: Millis, ticket: Ticket, found: Found, out: &mut Vec<Action>) {
        let Found::Records { batch, end } = found else {
            self.publisher(now, publish::Event::TailRead { ticket }, out);
            return;
        };
        let me = self.me.vm.clone();
        let mut actions = Vec::new();
        self.sync
            .receive(now, &me, Message::Records(batch), &mut actions);
        self.synced(now, actions, out);
        if end {
            self.publisher(now, publish::Event::TailRead { ticket }, out);
        } else {
            self.read_back(ticket, out);
        }
    }

    fn claims(&mut self, now: Millis, stream: once::StreamId, found: Found, out: &mut Vec<Action>) {
        let event = match found {
            Found::Records { batch, .. } => {
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
            Found::Expired(first) => once::Event::Expired {
                stream,
                first: once::Offset(first),
            },
            Found::Failed => return,
        };
        self.once(now, event, out);
    }
}
