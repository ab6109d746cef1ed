//! How the records of the `config` stream reach every daemon within seconds, in order.
//!
//! A few daemons of each failure domain read the log's tail; new records are pushed from peer to
//! peer, and who missed one sees it from the offset that peers answer pings with and asks. A
//! daemon reads the log itself when peers do not help (docs/operators/membership.md).
//!
//! Records are opaque here. Each is delivered once, in the order of offsets, whatever is lost,
//! doubled or reordered on the way.

pub mod message;
mod read;
mod serving;
mod window;

use std::collections::BTreeSet;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::message::Batch;
use self::message::Message;
use self::message::Record;
use self::read::Reader;
use self::window::Window;
use crate::clock::Millis;
use crate::core::member::Reach;
use crate::core::member::message::Progress;
use crate::core::member::rendezvous;
use crate::names::Domain;
use crate::names::Vm;

pub use self::read::POLL_SPAN;
pub use self::serving::NotServing;

/// How many daemons of each failure domain read the log's tail.
pub const READERS_PER_DOMAIN: usize = 2;
/// How many peers a new record is pushed to by each daemon.
const FANOUT: usize = 4;
/// How long to wait for a peer's records before another peer is asked.
const WANT_SPAN: Millis = Millis(400);
/// How many peers a starting daemon hears before it believes that nobody holds more, with the
/// log down.
const MIN_WITNESSES: usize = 3;

/// A daemon that records may come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The VM.
    pub vm: Vm,
    /// Its failure domain.
    pub domain: Domain,
}

/// The log's answer to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tail {
    /// The number of the [`Action::Read`] that it answers.
    pub number: u64,
    /// The records.
    pub batch: Batch,
    /// Whether there were no more records.
    pub end: bool,
}

/// What the surrounding program should do, or other parts should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the `config` stream.
    Read {
        /// The number to answer with.
        number: u64,
        /// The first offset that is wanted.
        from: u64,
    },
    /// Send a message to a peer; it may be lost.
    Tell {
        /// The peer.
        vm: Vm,
        /// The message.
        message: Message,
    },
    /// Fold the next record.
    Deliver(Record),
    /// Get a snapshot that covers all before `first` or more, from the stream or a peer, and call
    /// [`Sync::adopt`].
    NeedSnapshot {
        /// The first offset whose record can still be had.
        first: u64,
        /// A peer that holds the state, if the log does not answer.
        peer: Option<Vm>,
    },
    /// Whether this daemon may take new work has changed.
    ServingChanged(Result<(), NotServing>),
}

/// Newer records that are known to exist.
#[derive(Clone, Debug)]
struct Ahead {
    /// A peer that holds them.
    vm: Vm,
    /// The offset after the last of them.
    offset: u64,
    /// When that offset was known to be the log's tail, if it ever was.
    fresh: Option<Millis>,
    /// Since when this daemon has known of newer records.
    since: Millis,
    /// When the peer was last asked.
    asked: Option<Millis>,
}

/// The distribution of records to and from this daemon.
#[derive(Debug)]
pub struct Sync {
    me: Peer,
    peers: Vec<Vm>,
    next: u64,
    window: Window,
    fresh: Option<Millis>,
    is_complete: bool,
    ahead: Option<Ahead>,
    reader: Reader,
    witnesses: BTreeSet<Vm>,
    serving: Result<(), NotServing>,
    rng: ChaCha8Rng,
}

impl Sync {
    /// Creates the part of the daemon `me`, which holds nothing and wants the stream from 0 on.
    #[must_use]
    pub fn new(me: Peer, seed: u64) -> Self {
        Self {
            me,
            peers: Vec::new(),
            next: 0,
            window: Window::default(),
            fresh: None,
            is_complete: false,
            ahead: None,
            reader: Reader::new(),
            witnesses: BTreeSet::new(),
            serving: Err(NotServing::Starting),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the offset after the last record that was delivered.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.next
    }

    /// Returns when the state that this daemon holds was last known to be the log's tail.
    #[must_use]
    pub fn fresh(&self) -> Option<Millis> {
        self.fresh
    }

    /// Says whether this daemon is one of the readers of its failure domain.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.reader.is_elected
    }

    /// Takes in the daemons that run and stay, this one included or not.
    pub fn set_peers(&mut self, peers: &[Peer]) {
        let near = peers.iter().filter(|peer| peer.domain == self.me.domain);
        let mut names: BTreeSet<&Vm> = near.map(|peer| &peer.vm).collect();
        names.insert(&self.me.vm);
        let first = rendezvous::rank("config-readers", names);
        self.reader.is_elected = first
            .iter()
            .take(READERS_PER_DOMAIN)
            .any(|vm| *vm == self.me.vm);
        let others = peers.iter().filter(|peer| peer.vm != self.me.vm);
        self.peers = others.map(|peer| peer.vm.clone()).collect();
    }

    /// Does what is due. Called every [`crate::consts::TICK_SPAN`].
    pub fn tick(&mut self, now: Millis, reach: Reach, actions: &mut Vec<Action>) {
        self.read_if_due(now, actions);
        self.ask_if_due(now, actions);
        self.is_complete |= self.is_fresh(now) || self.confirmed_by_peers(reach);
        let verdict = self.may_serve(now, reach);
        if verdict != self.serving {
            self.serving = verdict;
            actions.push(Action::ServingChanged(verdict));
        }
    }

    /// Forgets what was under way, after a pause of this daemon.
    pub fn abandon_requests(&mut self) {
        self.reader.abandon();
        if let Some(ahead) = &mut self.ahead {
            ahead.asked = None;
        }
    }

    /// Takes in a peer's message about records.
    pub fn receive(&mut self, now: Millis, vm: &Vm, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::Want { from } => self.answer_want(vm, from, actions),
            Message::Records(batch) => self.receive_batch(now, vm, batch, actions),
            Message::Behind { first } => self.receive_behind(now, vm, first, actions),
            Message::Unknown => {}
        }
    }

    fn answer_want(&self, vm: &Vm, from: u64, actions: &mut Vec<Action>) {
        if from > self.next {
            return;
        }
        let message = if from < self.window.first() {
            let first = self.window.first();
            Message::Behind { first }
        } else {
            Message::Records(self.window.batch(from, self.next))
        };
        let vm = vm.clone();
        actions.push(Action::Tell { vm, message });
    }

    fn receive_batch(&mut self, now: Millis, vm: &Vm, batch: Batch, actions: &mut Vec<Action>) {
        if !batch.is_valid() {
            return;
        }
        let next = batch.next;
        if batch.from > self.next {
            self.note_ahead(now, vm, next, None);
            self.ask_if_due(now, actions);
            return;
        }
        let asked = self.ahead.as_ref().is_some_and(|ahead| ahead.vm == *vm);
        self.take_batch(batch, Some(vm), actions);
        if asked && let Some(ahead) = &mut self.ahead {
            ahead.asked = None;
            self.ask_if_due(now, actions);
        }
    }

    fn receive_behind(&mut self, now: Millis, vm: &Vm, first: u64, actions: &mut Vec<Action>) {
        if first <= self.next {
            return;
        }
        if self.reader.is_failing() {
            self.need_snapshot(now, first, Some(vm.clone()), actions);
        } else {
            self.reader.read_now();
        }
    }

    /// Takes in a peer's progress, which held at `at` or later.
    pub fn receive_progress(
        &mut self,
        now: Millis,
        vm: &Vm,
        at: Millis,
        progress: Progress,
        actions: &mut Vec<Action>,
    ) {
        let fresh = progress.age.map(|age| at - age);
        if progress.offset <= self.next {
            self.refresh(fresh);
        } else {
            self.note_ahead(now, vm, progress.offset, fresh);
            self.ask_if_due(now, actions);
        }
        if !self.is_complete && progress.age.is_some() {
            self.witnesses.insert(vm.clone());
        }
    }

    /// Notes newer records, and keeps the peer that holds the most.
    fn note_ahead(&mut self, now: Millis, vm: &Vm, offset: u64, fresh: Option<Millis>) {
        let old = self.ahead.as_ref();
        let replace = old.is_none_or(|old| {
            let late = old.asked.is_some_and(|asked| now.since(asked) >= WANT_SPAN);
            offset > old.offset || (offset == old.offset && (late || fresh > old.fresh))
        });
        if !replace {
            return;
        }
        self.ahead = Some(Ahead {
            vm: vm.clone(),
            offset,
            fresh,
            since: old.map_or(now, |old| old.since),
            asked: old.and_then(|old| old.asked),
        });
    }

    fn ask_if_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let from = self.next;
        let Some(ahead) = &mut self.ahead else {
            return;
        };
        if ahead
            .asked
            .is_some_and(|asked| now.since(asked) < WANT_SPAN)
        {
            return;
        }
        ahead.asked = Some(now);
        let vm = ahead.vm.clone();
        let message = Message::Want { from };
        actions.push(Action::Tell { vm, message });
    }

    /// Delivers what is new in a batch and pushes it on.
    fn take_batch(&mut self, batch: Batch, from: Option<&Vm>, actions: &mut Vec<Action>) {
        if batch.next <= self.next {
            return;
        }
        let start = self.next;
        for record in batch.records {
            if record.offset >= self.next {
                self.next = record.offset + 1;
                self.window.push(record.clone());
                actions.push(Action::Deliver(record));
            }
        }
        self.next = batch.next;
        self.push(start, from, actions);
        self.clear_ahead();
    }

    fn push(&mut self, start: u64, from: Option<&Vm>, actions: &mut Vec<Action>) {
        if !self.is_complete {
            return;
        }
        let batch = self.window.batch(start, self.next);
        for vm in self.random_peers(from) {
            let message = Message::Records(batch.clone());
            actions.push(Action::Tell { vm, message });
        }
    }

    fn random_peers(&mut self, except: Option<&Vm>) -> Vec<Vm> {
        let mut out: Vec<Vm> = Vec::new();
        if self.peers.is_empty() {
            return out;
        }
        for _ in 0..FANOUT * 2 {
            let vm = &self.peers[self.rng.random_range(0..self.peers.len())];
            if Some(vm) != except && !out.contains(vm) && out.len() < FANOUT {
                out.push(vm.clone());
            }
        }
        out
    }

    /// Takes over what was known of newer records, once this daemon holds them.
    fn clear_ahead(&mut self) {
        let next = self.next;
        if let Some(ahead) = self.ahead.take_if(|ahead| ahead.offset <= next) {
            self.refresh(ahead.fresh);
        }
    }

    /// Notes that the state that this daemon holds was the log's tail at `at`.
    fn refresh(&mut self, at: Option<Millis>) {
        self.fresh = self.fresh.max(at);
    }

    /// With the log down, a starting daemon takes the highest state among its peers for the tail.
    fn confirmed_by_peers(&self, reach: Reach) -> bool {
        let needed = MIN_WITNESSES.min(self.peers.len()).max(1);
        let witnessed = self.witnesses.len() >= needed && self.ahead.is_none();
        self.reader.is_failing() && witnessed && reach == Reach::Majority
    }

    /// Goes on after a snapshot that covers all before `offset`; an older one changes nothing.
    pub fn adopt(&mut self, offset: u64) {
        self.reader.snapshot_asked = None;
        if offset <= self.next {
            return;
        }
        self.next = offset;
        self.window.reset(offset);
        self.clear_ahead();
    }
}
