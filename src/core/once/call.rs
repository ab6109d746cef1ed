//! The caller's side: admits the calls of this VM and proposes their claims.

use std::sync::Arc;

use super::HOME_SPAN;
use super::KEY_AHEAD_SPAN;
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
use super::reply::key_expired;
use super::reply::key_reused;
use super::reply::replay;
use super::state::Once;
use crate::clock::Millis;
use crate::error::Code;
use crate::error::Failure;
use crate::names::Team;

/// How many VMs a proposal is sent to in turn before this VM appends it itself.
const MAX_DELEGATES: u32 = 2;

/// The calls of this VM with one key: one that claims the key or runs, and its waiters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Call {
    pub claim: Claim,
    pub id: CallId,
    pub deadline: Millis,
    /// How often the claim was proposed.
    pub tries: u32,
    /// How many of the proposals were answered without being queued for the log.
    pub unqueued: u32,
    pub next_try: Millis,
    pub phase: Phase,
    pub waiters: Vec<Waiter>,
}

/// A call that waits for the outcome of another call of this VM with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Waiter {
    pub id: CallId,
    pub deadline: Millis,
    /// When the wait ends with [`Code::InProgress`].
    pub until: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// The claim has no verdict yet.
    Claiming { since: Millis },
    /// Another claim holds the key and has no outcome yet; waits for it.
    Blocked { until: Millis },
    /// This boot holds the key, and nothing has been sent yet.
    Running,
    /// The first byte of the call may have left this VM.
    Sent,
    /// The call has ended, and its outcome is being recorded.
    Done(Answer),
}

/// An outcome or a release that is proposed until the log has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRecord {
    pub entry: Entry,
    pub next_try: Millis,
    pub tries: u32,
}

/// Admission of calls.
impl Once {
    /// Claims the key of a call, or lets the call wait for another call of this VM with its key.
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
        let time = match self.check_key_time(now, key) {
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
            self.join_call(now, id, key, digest, deadline, actions);
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
        self.start_call(now, id, deadline, claim, Vec::new(), actions);
    }

    /// Returns the time from which the key is remembered: its own, or now for an opaque key. Fails
    /// if the key is too old or not admitted.
    fn check_key_time(&self, now: Millis, key: &Arc<str>) -> Result<Millis, Failure> {
        match key_time(key) {
            Some(time) if time > now + KEY_AHEAD_SPAN => Err(Failure::not_run(
                Code::BadRequest,
                "the time in the idempotency key lies in the future",
            )),
            Some(time) if now.since(time) > self.settings.window => Err(key_expired()),
            Some(time) => Ok(time),
            None if self.settings.opaque => Ok(now),
            None => Err(Failure::not_run(
                Code::BadRequest,
                "the idempotency key is not a UUID of version 7",
            )),
        }
    }

    /// Answers a call whose key is already in use on this VM, or makes it a waiter.
    fn join_call(
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
            Reply::Failure(key_reused())
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

    /// Claims the key under a new attempt.
    pub(super) fn start_call(
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
            next_try: now,
            phase: Phase::Claiming { since: now },
            waiters,
        };
        self.ids.insert(id, key);
        self.calls.insert(key, call);
        self.propose_claim(now, key, actions);
    }

    /// Proposes the claim of a call, for the first time or again.
    pub(super) fn propose_claim(&mut self, now: Millis, key: KeyId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.tries += 1;
        call.next_try = now
            + match call.phase {
                Phase::Blocked { .. } => POLL_SPAN,
                _ => HOME_SPAN,
            };
        let timeouts = match call.phase {
            Phase::Claiming { .. } => call.tries - 1,
            _ => 0,
        };
        let entry = Entry::Claim(call.claim.clone());
        self.propose(now, key, entry, timeouts, actions);
    }

    /// Sends an entry to the home of its stream. After one proposal without an answer it goes to
    /// the next VM in order, and after two this VM appends it itself.
    pub(super) fn propose(
        &mut self,
        now: Millis,
        key: KeyId,
        entry: Entry,
        timeouts: u32,
        actions: &mut Vec<Action>,
    ) {
        let stream = key.stream(self.settings.streams);
        let me = self.settings.holder.vm.clone();
        let entries = vec![entry];
        let order = self.homes.get(&stream);
        let vm = order
            .and_then(|order| order.get(timeouts as usize))
            .cloned();
        match vm.filter(|vm| *vm != me && timeouts < MAX_DELEGATES) {
            Some(vm) => {
                let message = Message::Propose { stream, entries };
                actions.push(Action::Tell { vm, message });
            }
            None => self.take_proposals(now, &me, stream, entries, actions),
        }
    }
}
