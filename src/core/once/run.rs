//! The caller's side: the run, its end, and what time does to a call.

use super::CLAIM_SPAN;
use super::RECORD_SPAN;
use super::RELEASES_MAX;
use super::call::Call;
use super::call::Note;
use super::call::Phase;
use super::event::Action;
use super::event::Reply;
use super::id::Attempt;
use super::id::CallId;
use super::id::KeyId;
use super::record::Answer;
use super::record::Claim;
use super::record::Entry;
use super::record::Outcome;
use super::record::Release;
use super::reply::bounded;
use super::reply::in_progress;
use super::reply::log_unavailable;
use super::reply::replay;
use super::state::Once;
use super::verdict::Dismissal;
use crate::clock::Millis;

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

    pub(super) fn release(&mut self, now: Millis, claim: Claim, actions: &mut Vec<Action>) {
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
