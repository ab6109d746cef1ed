//! The caller's side: the run of a call, its end, and timeouts.

use super::CLAIM_SPAN;
use super::MAX_RELEASES;
use super::RECORD_SPAN;
use super::call::Call;
use super::call::PendingRecord;
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
use super::reply::in_progress;
use super::reply::log_unavailable;
use super::reply::replay;
use super::reply::without_large_body;
use super::state::Once;
use super::verdict::Dismissal;
use crate::clock::Millis;

/// Runs and their ends.
impl Once {
    /// Marks a running call as sent.
    pub(super) fn mark_sent(&mut self, id: CallId) {
        if let Some(call) = self.running_call(id) {
            call.phase = Phase::Sent;
        }
    }

    /// Ends a running call: records its outcome and answers its waiters.
    pub(super) fn finish_call(
        &mut self,
        now: Millis,
        id: CallId,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.running_call(id) else {
            return;
        };
        let answer = without_large_body(answer);
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
        self.record(now, key, attempt, Entry::Outcome(outcome), actions);
    }

    /// Releases the key of a call that was not run; its first waiter claims the key again.
    pub(super) fn release_unsent(&mut self, now: Millis, id: CallId, actions: &mut Vec<Action>) {
        let Some(key) = self.running_call(id).map(|call| call.claim.key) else {
            return;
        };
        let Some(mut call) = self.calls.remove(&key) else {
            return;
        };
        self.ids.remove(&id);
        self.propose_release(now, call.claim.clone(), actions);
        if !call.waiters.is_empty() {
            let first = call.waiters.remove(0);
            self.start_call(
                now,
                first.id,
                first.deadline,
                call.claim,
                call.waiters,
                actions,
            );
        }
    }

    fn running_call(&mut self, id: CallId) -> Option<&mut Call> {
        let key = self.ids.get(&id)?;
        let call = self.calls.get_mut(key)?;
        let runs = matches!(call.phase, Phase::Running | Phase::Sent);
        (runs && call.id == id).then_some(call)
    }

    /// Proposes a release of the claim's attempt, unless [`MAX_RELEASES`] is reached.
    pub(super) fn propose_release(&mut self, now: Millis, claim: Claim, actions: &mut Vec<Action>) {
        if self.pending.len() >= MAX_RELEASES {
            return;
        }
        let release = Release {
            key: claim.key,
            holder: claim.holder,
            attempt: claim.attempt,
            time: claim.time,
        };
        self.record(
            now,
            claim.key,
            claim.attempt,
            Entry::Release(release),
            actions,
        );
    }

    /// Proposes an outcome or a release until the log has it.
    fn record(
        &mut self,
        now: Millis,
        key: KeyId,
        attempt: Attempt,
        entry: Entry,
        actions: &mut Vec<Action>,
    ) {
        let next_try = now + RECORD_SPAN;
        let record = PendingRecord {
            entry: entry.clone(),
            next_try,
            tries: 1,
        };
        self.pending.insert((key, attempt), record);
        self.propose(now, key, entry, 0, actions);
    }
}

/// Timeouts and retries.
impl Once {
    pub(super) fn tick_calls(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let keys: Vec<KeyId> = self.calls.keys().copied().collect();
        for key in keys {
            self.tick_waiters(now, key, actions);
            self.tick_call(now, key, actions);
        }
    }

    /// Answers the waiters of a call whose wait has ended.
    fn tick_waiters(&mut self, now: Millis, key: KeyId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.waiters.retain(|waiter| {
            let stays = now < waiter.until;
            if !stays {
                let reply = Reply::Failure(in_progress());
                actions.push(Action::Reply {
                    id: waiter.id,
                    reply,
                });
            }
            stays
        });
    }

    /// Fails a call that waited too long for a verdict or an outcome, or proposes its claim again.
    fn tick_call(&mut self, now: Millis, key: KeyId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let failure = match call.phase {
            Phase::Claiming { since } if now >= call.deadline.min(since + CLAIM_SPAN) => {
                log_unavailable()
            }
            Phase::Blocked { until } if now >= until => in_progress(),
            Phase::Claiming { .. } | Phase::Blocked { .. } if now >= call.next_try => {
                return self.propose_claim(now, key, actions);
            }
            _ => return,
        };
        self.dismiss(now, key, &Dismissal::releasing(failure), actions);
    }

    /// Proposes the outcomes and releases again that the log does not have.
    pub(super) fn tick_pending(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for ((key, _), record) in &mut self.pending {
            if now >= record.next_try {
                record.next_try = now + RECORD_SPAN;
                record.tries += 1;
                due.push((*key, record.entry.clone(), record.tries - 1));
            }
        }
        for (key, entry, timeouts) in due {
            self.propose(now, key, entry, timeouts, actions);
        }
    }
}
