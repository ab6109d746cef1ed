//! The state machine of one daemon for at-most-once calls.

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

/// The settings of [`Once`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This VM and its current boot.
    pub holder: Holder,
    /// The number of `once` streams; the same on all VMs.
    pub streams: u16,
    /// The minimum interval between two appends to one stream.
    pub pace: Millis,
    /// How long a key is remembered.
    pub window: Millis,
    /// Whether opaque keys, which contain no time, are admitted; docs/ONCE.md describes the cost.
    pub opaque: bool,
}

impl Settings {
    /// Returns the default settings for a boot of a VM.
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

/// The calls of this VM and the streams that it appends to.
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
    /// Returns the state of a daemon that has just started: no calls, and no home known yet.
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

    /// Processes an event and appends the resulting actions to `actions`.
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
                self.take_proposals(now, vm, stream, entries, actions);
            }
            Message::Rulings(rulings) => {
                for ruling in rulings {
                    self.apply_ruling(now, ruling, actions);
                }
            }
        }
    }

    /// Returns whether this VM considers itself the home of a stream.
    pub(super) fn is_home(&self, stream: StreamId) -> bool {
        self.home(stream) == Some(&self.settings.holder.vm)
    }

    /// Returns the VM that this VM considers the home of a stream.
    pub(super) fn home(&self, stream: StreamId) -> Option<&Vm> {
        self.homes.get(&stream).and_then(|order| order.first())
    }
}
