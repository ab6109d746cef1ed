//! The caller's side: the calls of this VM as they come in and are proposed.

use std::sync::Arc;

use super::AHEAD_SPAN;
use super::HOME_SPAN;
use super::POLL_SPAN;
use super::WAIT_SPAN;
use super::event::Action;
use super::event::Message;
use super::event::Reply;
use super::id::Attempt;
use super::id::CallDigest;
use super::id::CallId;
use super::id::KeyId;
use super::id::key_time;
use super::record::Answer;
use super::record::Claim;
use super::record::Entry;
use super::reply::expired;
use super::reply::replay;
use super::reply::reused;
use super::state::Once;
use crate::clock::Millis;
use crate::error::Code;
use crate::error::Failure;
use crate::names::Team;

/// How many VMs are asked in turn before a VM appends by itself.
const DELEGATES: u32 = 2;

/// The calls of this VM with one key: one that claims or runs, and others that wait for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Call {
    pub claim: Claim,
    pub id: CallId,
    pub deadline: Millis,
    pub tries: u32,
    pub unqueued: u32,
    pub next: Millis,
    pub phase: Phase,
    pub waiters: Vec<Waiter>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Waiter {
    pub id: CallId,
    pub deadline: Millis,
    pub until: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// No verdict yet.
    Claiming { since: Millis },
    /// Another claim holds the key and has no outcome yet.
    Blocked { until: Millis },
    /// This boot holds the key; nothing was sent yet.
    Running,
    /// The first byte may have left.
    Sent,
    /// The call ended, and its outcome is being recorded.
    Done(Answer),
}

/// An outcome or a release that is proposed until it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Note {
    pub entry: Entry,
    pub next: Millis,
    pub tries: u32,
}

/// Calls as they come in.
impl Once {
    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    pub(super) fn admit(
        &mut self,
        now: Millis,
        id: CallId,
        team: &Team,
        key: &Arc<str>,
        digest: CallDigest,
        deadline: Millis,
        actions: &mut Vec<Action>,
    ) {
        let time = match self.time_of(now, key) {
            Ok(time) => time,
            Err(failure) => {
                let reply = Reply::Failure(failure);
                actions.push(Action::Reply { id, reply });
                return;
            }
        };
        let opaque = key_time(key).is_none();
        let key = KeyId::of(team, key);
        if self.calls.contains_key(&key) {
            self.join(now, id, key, digest, deadline, actions);
            return;
        }
        let claim = Claim {
            team: team.clone(),
            key,
            call: digest,
            holder: self.settings.holder.clone(),
            attempt: Attempt(0),
            time,
            opaque,
        };
        self.start(now, id, deadline, claim, Vec::new(), actions);
    }

    /// Returns the time that decides how long the key is remembered.
    fn time_of(&self, now: Millis, key: &Arc<str>) -> Result<Millis, Failure> {
        match key_time(key) {
            Some(time) if time > now + AHEAD_SPAN => Err(Failure::not_run(
                Code::BadRequest,
                "the time in the idempotency key lies in the future",
            )),
            Some(time) if now.since(time) > self.settings.window => Err(expired()),
            Some(time) => Ok(time),
            None if self.settings.opaque => Ok(now),
            None => Err(Failure::not_run(
                Code::BadRequest,
                "the idempotency key is not a UUID of version 7",
            )),
        }
    }

    fn join(
        &mut self,
        now: Millis,
        id: CallId,
        key: KeyId,
        digest: CallDigest,
        deadline: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let reply = if call.claim.call != digest {
            Reply::Failure(reused())
        } else if let Phase::Done(answer) = &call.phase {
            replay(answer.clone())
        } else {
            let until = deadline.min(now + WAIT_SPAN);
            call.waiters.push(Waiter {
                id,
                deadline,
                until,
            });
            return;
        };
        actions.push(Action::Reply { id, reply });
    }

    pub(super) fn start(
        &mut self,
        now: Millis,
        id: CallId,
        deadline: Millis,
        claim: Claim,
        waiters: Vec<Waiter>,
        actions: &mut Vec<Action>,
    ) {
        self.attempts += 1;
        let attempt = Attempt(self.attempts);
        let key = claim.key;
        let call = Call {
            claim: Claim { attempt, ..claim },
            id,
            deadline,
            tries: 0,
            unqueued: 0,
            next: now,
            phase: Phase::Claiming { since: now },
            waiters,
        };
        self.ids.insert(id, key);
        self.calls.insert(key, call);
        self.propose_claim(now, key, actions);
    }

    pub(super) fn propose_claim(&mut self, now: Millis, key: KeyId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.tries += 1;
        call.next = now
            + match call.phase {
                Phase::Blocked { .. } => POLL_SPAN,
                _ => HOME_SPAN,
            };
        let silences = match call.phase {
            Phase::Claiming { .. } => call.tries - 1,
            _ => 0,
        };
        let entry = Entry::Claim(call.claim.clone());
        self.propose(now, key, entry, silences, actions);
    }

    /// Hands an entry to the home, after one silence to the next in order, and after a second one
    /// serves as home itself.
    pub(super) fn propose(
        &mut self,
        now: Millis,
        key: KeyId,
        entry: Entry,
        silences: u32,
        actions: &mut Vec<Action>,
    ) {
        let stream = key.stream(self.settings.streams);
        let me = self.settings.holder.vm.clone();
        let entries = vec![entry];
        let order = self.homes.get(&stream);
        let vm = order
            .and_then(|order| order.get(silences as usize))
            .cloned();
        match vm.filter(|vm| *vm != me && silences < DELEGATES) {
            Some(vm) => {
                let message = Message::Propose { stream, entries };
                actions.push(Action::Tell { vm, message });
            }
            None => self.host(now, &me, stream, entries, actions),
        }
    }
}
