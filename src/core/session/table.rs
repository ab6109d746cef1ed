//! The open sessions of one daemon, keyed by request, and their timers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::core::session::event::Action;
use crate::core::session::event::Event;
use crate::core::session::event::Leg;
use crate::core::session::event::RequestId;
use crate::core::session::event::Start;
use crate::core::session::reply::ReplyStatus;
use crate::core::session::state::Session;
use crate::core::session::wire::HopReply;
use crate::core::session::wire::SessionId;

/// Counts of the replies, faults and probe results that did not match a pending hop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// The request is closed or unknown.
    pub closed: u64,
    /// It names another session.
    pub wrong_session: u64,
    /// It belongs to an earlier attempt or hop, or answers an old query for a chain.
    pub stale: u64,
    /// It repeats a reply that was already received.
    pub duplicate: u64,
    /// It contradicts the pending hop, so the attempt was given up.
    pub invalid: u64,
}

/// The open sessions of one daemon.
///
/// Each session has one timer, which is moved only to an earlier time: a hop usually extends the
/// wake time and so costs no timer operation. A tick visits only the sessions whose timer expired.
#[derive(Debug)]
pub struct Sessions {
    boot: u64,
    serial: u64,
    open: BTreeMap<RequestId, Slot>,
    timers: BTreeSet<(Millis, RequestId)>,
    drops: DropCounts,
}

#[derive(Debug)]
struct Slot {
    session: Session,
    wake: Millis,
}

impl Sessions {
    /// Returns an empty table. `boot` is the random number that the daemon drew when it started;
    /// it makes session ids unique.
    #[must_use]
    pub fn new(boot: u64) -> Self {
        Self {
            boot,
            serial: 0,
            open: BTreeMap::new(),
            timers: BTreeSet::new(),
            drops: DropCounts::default(),
        }
    }

    /// Returns the number of open sessions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no session is open, so that a stopping daemon may exit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the counts of dropped events since the daemon started.
    #[must_use]
    pub fn drops(&self) -> DropCounts {
        self.drops
    }

    /// Returns the chain that a request runs on, empty if it waits for one or is not open.
    #[must_use]
    pub fn legs(&self, id: RequestId) -> &[Leg] {
        self.open.get(&id).map_or(&[], |slot| slot.session.legs())
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start(start) => self.start(now, start, out),
            Event::Reply { id, reply } => self.reply(now, id, reply, out),
            Event::Failed { id, key, fault } => {
                self.with_session(now, id, |session| session.hop_failed(now, key, fault, out));
            }
            Event::Probed { id, key, health } => {
                self.with_session(now, id, |session| session.probed(now, key, health, out));
            }
            Event::Chain { id, query, legs } => {
                self.with_session(now, id, |session| {
                    session.chain_found(now, query, legs, out)
                });
            }
            Event::Move { id } => self.with_session(now, id, |session| session.relocate(out)),
            Event::Cancel { id } => self.with_session(now, id, |session| session.cancel(out)),
        }
    }

    /// Calls [`Session::tick`] for the sessions whose timer has expired.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some((wake, id)) = self.timers.first().copied() {
            if wake > now {
                return;
            }
            self.timers.pop_first();
            if let Some(slot) = self.open.get_mut(&id) {
                slot.session.tick(now, out);
                slot.wake = Millis(u64::MAX);
            }
            self.update_timer(now, id);
        }
    }

    fn start(&mut self, now: Millis, start: Start, out: &mut Vec<Action>) {
        let id = start.id;
        if self.open.contains_key(&id) {
            return;
        }
        self.serial += 1;
        let session_id = SessionId {
            boot: self.boot,
            serial: self.serial,
        };
        if let Some(session) = Session::start(now, session_id, start, out) {
            let wake = Millis(u64::MAX);
            self.open.insert(id, Slot { session, wake });
            self.update_timer(now, id);
        }
    }

    fn reply(&mut self, now: Millis, id: RequestId, reply: HopReply, out: &mut Vec<Action>) {
        let Some(slot) = self.open.get_mut(&id) else {
            self.drops.closed += 1;
            return;
        };
        let status = slot.session.reply(now, reply, out);
        self.count_drop(status);
        self.update_timer(now, id);
    }

    fn with_session<F>(&mut self, now: Millis, id: RequestId, act: F)
    where
        F: FnOnce(&mut Session) -> ReplyStatus,
    {
        let Some(slot) = self.open.get_mut(&id) else {
            self.drops.closed += 1;
            return;
        };
        let status = act(&mut slot.session);
        self.count_drop(status);
        self.update_timer(now, id);
    }

    fn count_drop(&mut self, status: ReplyStatus) {
        match status {
            ReplyStatus::Expected => {}
            ReplyStatus::WrongSession => self.drops.wrong_session += 1,
            ReplyStatus::Stale => self.drops.stale += 1,
            ReplyStatus::Duplicate => self.drops.duplicate += 1,
            ReplyStatus::Invalid => self.drops.invalid += 1,
        }
    }

    fn update_timer(&mut self, now: Millis, id: RequestId) {
        let Some(slot) = self.open.get_mut(&id) else {
            return;
        };
        if slot.session.is_closed() {
            self.timers.remove(&(slot.wake, id));
            self.open.remove(&id);
            return;
        }
        // A session that is already due waits for the next tick, or this tick would not end.
        let due = slot.session.wake_at().max(now + Millis(1));
        if due < slot.wake {
            self.timers.remove(&(slot.wake, id));
            slot.wake = due;
            self.timers.insert((due, id));
        }
    }
}
