//! The at-most-once part of one daemon.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::APPENDS_PER_SECOND;
use super::STREAMS;
use super::WINDOW;
use super::call::Call;
use super::call::PendingRecord;
use super::event::Action;
use super::event::Event;
use super::event::Message;
use super::id::Attempt;
use super::id::CallId;
use super::id::Holder;
use super::id::KeyId;
use super::id::StreamId;
use super::peer::Appender;
use crate::clock::Millis;
use crate::names::Vm;

/// What a daemon's at-most-once part is started with.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This boot of this VM.
    pub holder: Holder,
    /// The number of streams.
    pub streams: u16,
    /// The least interval between two appends to one stream.
    pub pace: Millis,
    /// How long a key is remembered.
    pub window: Millis,
    /// Whether keys are admitted whose age can't be read; docs/ONCE.md says what that costs.
    pub opaque: bool,
}

impl Settings {
    /// Returns the usual settings for a boot.
    #[must_use]
    pub fn new(holder: Holder) -> Self {
        Self {
            holder,
            streams: STREAMS,
            pace: Millis(u64::from(STREAMS) * 1000 / APPENDS_PER_SECOND),
            window: WINDOW,
            opaque: true,
        }
    }
}

/// The calls of this VM, and the streams that it is home of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Once {
    pub(super) settings: Settings,
    pub(super) attempts: u64,
    pub(super) tickets: u64,
    pub(super) homes: BTreeMap<StreamId, Vec<Vm>>,
    pub(super) live: BTreeSet<Holder>,
    pub(super) calls: BTreeMap<KeyId, Call>,
    pub(super) ids: BTreeMap<CallId, KeyId>,
    pub(super) pending: BTreeMap<(KeyId, Attempt), PendingRecord>,
    pub(super) appenders: BTreeMap<StreamId, Appender>,
}

impl Once {
    /// Returns the part of a daemon that has just started.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            attempts: 0,
            tickets: 0,
            homes: BTreeMap::new(),
            live: BTreeSet::new(),
            calls: BTreeMap::new(),
            ids: BTreeMap::new(),
            pending: BTreeMap::new(),
            appenders: BTreeMap::new(),
        }
    }

    /// Takes an event in and pushes what is to be done.
    pub fn step(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Call {
                id,
                team,
                key,
                digest,
                deadline,
            } => {
                self.admit(now, id, &team, &key, digest, deadline, actions);
            }
            Event::Tick => self.tick(now, actions),
            Event::Appended {
                ticket,
                stream,
                offset,
            } => {
                self.apply_append(now, ticket, stream, offset, actions);
            }
            Event::AppendLost { ticket } | Event::AppendRefused { ticket } => {
                self.requeue_append(now, ticket, actions);
            }
            Event::Records {
                stream,
                from,
                records,
            } => {
                self.apply_records(now, stream, from, &records, actions);
            }
            Event::Expired { stream, first } => self.restart_fold(now, stream, first, actions),
            Event::Peer { vm, message } => self.receive(now, &vm, message, actions),
            Event::Homes { stream, order } => {
                self.homes.insert(stream, order);
            }
            Event::Live(live) => self.live = live,
            Event::Sent(id) => self.mark_sent(id),
            Event::Answered { id, answer } => self.finish_call(now, id, answer, actions),
            Event::Broke(id) => self.finish_call(now, id, super::Answer::NotKnown, actions),
            Event::Unsent(id) => self.release_unsent(now, id, actions),
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.tick_appenders(now, actions);
        self.tick_calls(now, actions);
        self.tick_pending(now, actions);
    }

    fn receive(&mut self, now: Millis, vm: &Vm, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::Propose { stream, entries } => {
                self.take_proposals(now, vm, stream, entries, actions)
            }
            Message::Rulings(rulings) => {
                for ruling in rulings {
                    self.apply_ruling(now, ruling, actions);
                }
            }
        }
    }

    /// Says whether this VM believes itself home of a stream.
    pub(super) fn is_home(&self, stream: StreamId) -> bool {
        self.home(stream) == Some(&self.settings.holder.vm)
    }

    /// Returns the VM that is believed home of a stream.
    pub(super) fn home(&self, stream: StreamId) -> Option<&Vm> {
        self.homes.get(&stream).and_then(|order| order.first())
    }
}
