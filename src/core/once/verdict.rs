//! The caller's side: what the log says of a claim, and what becomes of the call.

use super::POLL_SPAN;
use super::WAIT_SPAN;
use super::call::Call;
use super::call::Phase;
use super::event::Action;
use super::event::Reply;
use super::event::Ruling;
use super::id::Attempt;
use super::id::Holder;
use super::id::KeyId;
use super::reply::expired;
use super::reply::log_unavailable;
use super::reply::outcome_unknown;
use super::reply::replay;
use super::reply::reused;
use super::shard::Verdict;
use super::state::Once;
use crate::clock::Millis;
use crate::error::Code;
use crate::error::Failure;

/// How a group of calls ends that this VM does not run.
pub(super) struct Dismissal {
    reply: Reply,
    release: bool,
}

impl Dismissal {
    /// The claim can never win again, or never was under way.
    pub fn settled(reply: Reply) -> Self {
        Self {
            reply,
            release: false,
        }
    }

    /// A copy of the claim may still land and win, so that its attempt has to be released.
    pub fn open(failure: Failure) -> Self {
        Self {
            reply: Reply::Failure(failure),
            release: true,
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
            let late =
                Failure::not_run(Code::DeadlinePassed, "the deadline passed before the send");
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
    pub(super) fn dismiss(
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
