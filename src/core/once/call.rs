//! The caller's side: the calls of this VM, from the claim to the recorded outcome.

use std::sync::Arc;

use super::AHEAD_SPAN;
use super::ANSWER_BYTES;
use super::CLAIM_SPAN;
use super::HOME_SPAN;
use super::POLL_SPAN;
use super::RECORD_SPAN;
use super::RELEASES_MAX;
use super::WAIT_SPAN;
use super::event::Action;
use super::event::Message;
use super::event::Reply;
use super::event::Ruling;
use super::id::Attempt;
use super::id::CallDigest;
use super::id::CallId;
use super::id::Holder;
use super::id::KeyId;
use super::id::key_time;
use super::record::Answer;
use super::record::Claim;
use super::record::Entry;
use super::record::Outcome;
use super::record::Release;
use super::shard::Verdict;
use super::state::Once;
use crate::clock::Millis;
use crate::error::Code;
use crate::error::Failure;
use crate::error::Ran;
use crate::names::Team;

/// How many VMs are asked in turn before a VM appends by itself.
const DELEGATES: u32 = 2;

/// The calls of this VM with one key: one that claims or runs, and others that wait for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Call {
    claim: Claim,
    id: CallId,
    deadline: Millis,
    tries: u32,
    unqueued: u32,
    next: Millis,
    phase: Phase,
    waiters: Vec<Waiter>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiter {
    id: CallId,
    deadline: Millis,
    until: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
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
    entry: Entry,
    next: Millis,
    tries: u32,
}

/// How a group of calls ends that this VM does not run.
struct Dismissal {
    reply: Reply,
    release: bool,
}

impl Dismissal {
    /// The claim can never win again, or never was under way.
    fn settled(reply: Reply) -> Self {
        Self {
            reply,
            release: false,
        }
    }

    /// A copy of the claim may still land and win, so that its attempt has to be released.
    fn open(failure: Failure) -> Self {
        Self {
            reply: Reply::Failure(failure),
            release: true,
        }
    }
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
            Some(time) if time > now + AHEAD_SPAN => Err(Failure::unrun(
                Code::BadRequest,
                "the time in the idempotency key lies in the future",
            )),
            Some(time) if now.since(time) > self.settings.window => Err(expired()),
            Some(time) => Ok(time),
            None if self.settings.opaque => Ok(now),
            None => Err(expired()),
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

    fn start(
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

    fn propose_claim(&mut self, now: Millis, key: KeyId, actions: &mut Vec<Action>) {
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
    fn propose(
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

/// What the log says.
impl Once {
    pub(super) fn ruled(&mut self, now: Millis, ruling: Ruling, actions: &mut Vec<Action>) {
        let ident = ruling.ident;
        if ident.holder != self.settings.holder {
            return;
        }
        if !ident.claim {
            self.recorded(ident.key, ident.attempt);
            return;
        }
        let waits = self.calls.get(&ident.key).is_some_and(|call| {
            call.claim.attempt == ident.attempt
                && matches!(call.phase, Phase::Claiming { .. } | Phase::Blocked { .. })
        });
        if waits {
            self.count(ident.key, ruling.queued);
            self.judged(now, ident.key, ruling.verdict, actions);
        }
    }

    fn count(&mut self, key: KeyId, queued: bool) {
        if let Some(call) = self.calls.get_mut(&key) {
            call.unqueued += u32::from(!queued);
        }
    }

    fn judged(
        &mut self,
        now: Millis,
        key: KeyId,
        verdict: Option<Verdict>,
        actions: &mut Vec<Action>,
    ) {
        let dismissal = match verdict {
            Some(Verdict::Won { .. }) => return self.won(now, key, actions),
            Some(Verdict::Lost {
                answer: Some(answer),
                ..
            }) => Dismissal::settled(replay(answer)),
            Some(Verdict::Lost {
                holder,
                answer: None,
            }) if self.may_end(&holder) => {
                return self.blocked(now, key);
            }
            Some(Verdict::Lost { .. } | Verdict::Void | Verdict::Recorded) => {
                Dismissal::open(outcome_unknown())
            }
            Some(Verdict::Reused) => Dismissal::open(reused()),
            Some(Verdict::Expired) => Dismissal::settled(Reply::Failure(expired())),
            None => return self.unavailable(now, key, actions),
        };
        self.dismiss(now, key, &dismissal, actions);
    }

    /// Says whether an outcome of the holder may still come.
    fn may_end(&self, holder: &Holder) -> bool {
        *holder == self.settings.holder || self.live.contains(holder)
    }

    fn won(&mut self, now: Millis, key: KeyId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if now >= call.deadline {
            let late = Failure::unrun(Code::DeadlinePassed, "the deadline passed before the send");
            self.dismiss(now, key, &Dismissal::open(late), actions);
            return;
        }
        call.phase = Phase::Running;
        actions.push(Action::Run(call.id));
    }

    fn blocked(&mut self, now: Millis, key: KeyId) {
        if let Some(call) = self.calls.get_mut(&key)
            && matches!(call.phase, Phase::Claiming { .. })
        {
            let until = call.deadline.min(now + WAIT_SPAN);
            call.phase = Phase::Blocked { until };
            call.next = now + POLL_SPAN;
        }
    }

    fn unavailable(&mut self, now: Millis, key: KeyId, actions: &mut Vec<Action>) {
        let claims = |call: &Call| matches!(call.phase, Phase::Claiming { .. });
        if self.calls.get(&key).is_some_and(claims) {
            self.dismiss(now, key, &Dismissal::open(log_unavailable()), actions);
        }
    }

    /// Answers the call and its waiters, and gives the attempt up for good.
    fn dismiss(
        &mut self,
        now: Millis,
        key: KeyId,
        dismissal: &Dismissal,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.remove(&key) else {
            return;
        };
        self.ids.remove(&call.id);
        let waiters = call.waiters.iter().map(|waiter| waiter.id);
        for id in std::iter::once(call.id).chain(waiters) {
            let reply = dismissal.reply.clone();
            actions.push(Action::Reply { id, reply });
        }
        let copies = call.tries > call.unqueued;
        if dismissal.release && copies {
            self.release(now, call.claim, actions);
        }
    }

    fn recorded(&mut self, key: KeyId, attempt: Attempt) {
        self.notes.remove(&(key, attempt));
        let done = self.calls.get(&key).is_some_and(|call| {
            call.claim.attempt == attempt && matches!(call.phase, Phase::Done(_))
        });
        if done && let Some(call) = self.calls.remove(&key) {
            self.ids.remove(&call.id);
        }
    }
}

/// The run and its end.
impl Once {
    pub(super) fn sent(&mut self, id: CallId) {
        if let Some(call) = self.running(id) {
            call.phase = Phase::Sent;
        }
    }

    pub(super) fn ended(
        &mut self,
        now: Millis,
        id: CallId,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.running(id) else {
            return;
        };
        let answer = bounded(answer);
        call.phase = Phase::Done(answer.clone());
        for waiter in std::mem::take(&mut call.waiters) {
            let reply = replay(answer.clone());
            actions.push(Action::Reply {
                id: waiter.id,
                reply,
            });
        }
        let outcome = Outcome {
            key: call.claim.key,
            holder: call.claim.holder.clone(),
            attempt: call.claim.attempt,
            answer,
        };
        let (key, attempt) = (outcome.key, outcome.attempt);
        self.note(now, key, attempt, Entry::Outcome(outcome), actions);
    }

    /// Releases the key; the first call that waits for it claims it anew.
    pub(super) fn unsent(&mut self, now: Millis, id: CallId, actions: &mut Vec<Action>) {
        let Some(key) = self.running(id).map(|call| call.claim.key) else {
            return;
        };
        let Some(mut call) = self.calls.remove(&key) else {
            return;
        };
        self.ids.remove(&id);
        self.release(now, call.claim.clone(), actions);
        if !call.waiters.is_empty() {
            let first = call.waiters.remove(0);
            self.start(
                now,
                first.id,
                first.deadline,
                call.claim,
                call.waiters,
                actions,
            );
        }
    }

    fn running(&mut self, id: CallId) -> Option<&mut Call> {
        let key = self.ids.get(&id)?;
        let call = self.calls.get_mut(key)?;
        let runs = matches!(call.phase, Phase::Running | Phase::Sent);
        (runs && call.id == id).then_some(call)
    }

    fn release(&mut self, now: Millis, claim: Claim, actions: &mut Vec<Action>) {
        if self.notes.len() >= RELEASES_MAX {
            return;
        }
        let release = Release {
            key: claim.key,
            holder: claim.holder,
            attempt: claim.attempt,
            time: claim.time,
        };
        self.note(
            now,
            claim.key,
            claim.attempt,
            Entry::Release(release),
            actions,
        );
    }

    fn note(
        &mut self,
        now: Millis,
        key: KeyId,
        attempt: Attempt,
        entry: Entry,
        actions: &mut Vec<Action>,
    ) {
        let next = now + RECORD_SPAN;
        let note = Note {
            entry: entry.clone(),
            next,
            tries: 1,
        };
        self.notes.insert((key, attempt), note);
        self.propose(now, key, entry, 0, actions);
    }
}

/// Time.
impl Once {
    pub(super) fn tick_calls(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let keys: Vec<KeyId> = self.calls.keys().copied().collect();
        for key in keys {
            self.tick_waiters(now, key, actions);
            self.tick_call(now, key, actions);
        }
    }

    fn tick_waiters(&mut self, now: Millis, key: KeyId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.waiters.retain(|waiter| {
            let stay = now < waiter.until;
            if !stay {
                let reply = Reply::Failure(in_progress());
                actions.push(Action::Reply {
                    id: waiter.id,
                    reply,
                });
            }
            stay
        });
    }

    fn tick_call(&mut self, now: Millis, key: KeyId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let failure = match call.phase {
            Phase::Claiming { since } if now >= call.deadline.min(since + CLAIM_SPAN) => {
                log_unavailable()
            }
            Phase::Blocked { until } if now >= until => in_progress(),
            Phase::Claiming { .. } | Phase::Blocked { .. } if now >= call.next => {
                return self.propose_claim(now, key, actions);
            }
            _ => return,
        };
        self.dismiss(now, key, &Dismissal::open(failure), actions);
    }

    pub(super) fn tick_notes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for ((key, _), note) in &mut self.notes {
            if now >= note.next {
                note.next = now + RECORD_SPAN;
                note.tries += 1;
                due.push((*key, note.entry.clone(), note.tries - 1));
            }
        }
        for (key, entry, silences) in due {
            self.propose(now, key, entry, silences, actions);
        }
    }
}

fn bounded(answer: Answer) -> Answer {
    match answer {
        Answer::Small { status, body, .. } if body.len() > ANSWER_BYTES => Answer::Large {
            status,
            digest: CallDigest::of("", "", &body),
        },
        other => other,
    }
}

fn replay(answer: Answer) -> Reply {
    match answer {
        Answer::Large { status, .. } => Reply::Failure(Failure {
            code: Code::OutcomeUnknown,
            ran: Ran::Yes,
            message: format!("the call ran with status {status}; its answer is not kept"),
            retry: None,
        }),
        Answer::NotKnown => Reply::Failure(outcome_unknown()),
        small @ Answer::Small { .. } => Reply::Replay(small),
    }
}

fn reused() -> Failure {
    Failure::unrun(
        Code::KeyReused,
        "the idempotency key belongs to another call",
    )
}

fn expired() -> Failure {
    Failure::unknown(
        Code::KeyExpired,
        "the idempotency key is too old to be checked",
    )
}

fn outcome_unknown() -> Failure {
    Failure::unknown(
        Code::OutcomeUnknown,
        "an earlier attempt has no recorded outcome",
    )
}

fn in_progress() -> Failure {
    Failure::unknown(Code::InProgress, "a call with this key is in progress").after(RECORD_SPAN)
}

fn log_unavailable() -> Failure {
    Failure::unrun(Code::LogUnavailable, "the log did not take the claim").after(RECORD_SPAN)
}
