//! The at-most-once part of one daemon.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::APPEND_RATE;
use super::STREAMS;
use super::WINDOW;
use super::call::Call;
use super::call::Note;
use super::event::Action;
use super::event::Event;
use super::event::Message;
use super::id::Attempt;
use super::id::CallId;
use super::id::Holder;
use super::id::KeyId;
use super::id::StreamId;
use super::peer::Host;
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
            pace: Millis(u64::from(STREAMS) * 1000 / APPEND_RATE),
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
    pub(super) notes: BTreeMap<(KeyId, Attempt), Note>,
    pub(super) hosts: BTreeMap<StreamId, Host>,
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
            notes: BTreeMap::new(),
            hosts: BTreeMap::new(),
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
                self.appended(now, ticket, stream, offset, actions);
            }
            Event::AppendLost { ticket } | Event::AppendRefused { ticket } => {
                self.append_failed(now, ticket, actions);
            }
            Event::Records {
                stream,
                from,
                records,
            } => {
                self.records(now, stream, from, &records, actions);
            }
            Event::Expired { stream, first } => self.expired(now, stream, first, actions),
            Event::Peer { vm, message } => self.hear(now, &vm, message, actions),
            Event::Homes { stream, order } => {
                self.homes.insert(stream, order);
            }
            Event::Live(live) => self.live = live,
            Event::Sent(id) => self.sent(id),
            Event::Answered { id, answer } => self.ended(now, id, answer, actions),
            Event::Broke(id) => self.ended(now, id, super::Answer::NotKnown, actions),
            Event::Unsent(id) => self.unsent(now, id, actions),
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.tick_hosts(now, actions);
        self.tick_calls(now, actions);
        self.tick_notes(now, actions);
    }

    fn hear(&mut self, now: Millis, vm: &Vm, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::Propose { stream, entries } => self.host(now, vm, stream, entries, actions),
            Message::Rulings(rulings) => {
                for ruling in rulings {
                    self.ruled(now, ruling, actions);
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
