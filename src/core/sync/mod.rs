//! Distributes the records of the `config` stream to every daemon, in order and within seconds.
//!
//! A few daemons of each failure domain read the log's tail and push new records from peer to
//! peer. A daemon that missed one notices it by the offset in a peer's ack and requests it. A
//! daemon reads the log itself when its peers can't supply records
//! (docs/operators/membership.md).
//!
//! Records are opaque here. Each is delivered once, in offset order, even if messages are lost,
//! duplicated or reordered.

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
/// How many peers each daemon pushes a new record to.
const FANOUT: usize = 4;
/// How long to wait for requested records before the request is repeated, possibly to another peer.
const WANT_SPAN: Millis = Millis(400);
/// How many peers a starting daemon must have heard from before it concludes, without the log,
/// that no peer holds newer records.
const MIN_WITNESSES: usize = 3;

/// A daemon that exchanges records with this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The VM on which the daemon runs.
    pub vm: Vm,
    /// The VM's failure domain, within which readers are elected.
    pub domain: Domain,
}

/// The log's answer to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tail {
    /// The number of the [`Action::Read`] that this answers.
    pub number: u64,
    /// The records from the requested offset on.
    pub batch: Batch,
    /// Whether the batch reaches the log's tail.
    pub end: bool,
}

/// An effect to carry out or a change to pass on to other parts of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the `config` stream.
    Read {
        /// Identifies the read in its answer.
        number: u64,
        /// The first offset to read.
        from: u64,
    },
    /// Send a message to a peer; it may be lost.
    Tell {
        /// The receiving VM.
        vm: Vm,
        /// A request for records or an answer to one.
        message: Message,
    },
    /// Apply the next record to the configuration.
    Deliver(Record),
    /// Get a snapshot that covers at least all offsets before `first`, from the stream or a peer,
    /// and call [`Sync::adopt`].
    NeedSnapshot {
        /// The first offset whose record is still available.
        first: u64,
        /// A peer to get the state from; `None` to use the stream.
        peer: Option<Vm>,
    },
    /// The result of [`Sync::may_serve`] changed to this.
    ServingChanged(Result<(), NotServing>),
}

/// Records that exist but that this daemon does not hold yet.
#[derive(Clone, Debug)]
struct Ahead {
    /// A peer that holds them.
    vm: Vm,
    /// The offset after the last of them.
    offset: u64,
    /// When that offset was last known to be the log's tail; `None` if never.
    fresh: Option<Millis>,
    /// When this daemon first learned that newer records exist.
    since: Millis,
    /// When the records were last requested; `None` if no request is pending.
    asked: Option<Millis>,
}

/// Receives records of the `config` stream and passes them on to peers.
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
    /// Creates the state of the daemon `me`, which holds no records and starts at offset 0. `seed`
    /// seeds the choice of random peers.
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

    /// Returns the offset after the last delivered record.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.next
    }

    /// Returns when [`Sync::offset`] was last known to be the log's tail; `None` if never.
    #[must_use]
    pub fn fresh(&self) -> Option<Millis> {
        self.fresh
    }

    /// Returns whether this daemon is an elected reader of its failure domain.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.reader.is_elected
    }

    /// Sets the running daemons that are not leaving, with or without this one, and elects the
    /// readers of its failure domain among them.
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

    /// Runs the periodic work that is due. Called every [`crate::consts::TICK_INTERVAL`].
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

    /// Drops the read and the request in progress after a pause of this daemon.
    pub fn abandon_requests(&mut self) {
        self.reader.abandon();
        if let Some(ahead) = &mut self.ahead {
            ahead.asked = None;
        }
    }

    /// Handles a peer's message about records.
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

    /// Handles a peer's progress, which was true at `at` or later.
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

    /// Records that newer records exist, and keeps the peer with the highest offset.
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

    /// Delivers the new records of a batch and pushes them to peers.
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

    /// Clears [`Ahead`] once this daemon holds its records, and takes over its freshness.
    fn clear_ahead(&mut self) {
        let next = self.next;
        if let Some(ahead) = self.ahead.take_if(|ahead| ahead.offset <= next) {
            self.refresh(ahead.fresh);
        }
    }

    /// Records that this daemon's state was the log's tail at `at`.
    fn refresh(&mut self, at: Option<Millis>) {
        self.fresh = self.fresh.max(at);
    }

    /// Returns whether, with the log down, a starting daemon may treat its state as the tail:
    /// enough peers have reported their progress, and none is ahead.
    fn confirmed_by_peers(&self, reach: Reach) -> bool {
        let needed = MIN_WITNESSES.min(self.peers.len()).max(1);
        let witnessed = self.witnesses.len() >= needed && self.ahead.is_none();
        self.reader.is_failing() && witnessed && reach == Reach::Majority
    }

    /// Continues after a snapshot that covers all records before `offset`. An older snapshot is
    /// ignored.
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
