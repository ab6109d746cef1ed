//! The caller's side: handles the rulings on this VM's claims, outcomes and releases.

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
use super::reply::key_expired;
use super::reply::key_reused;
use super::reply::log_unavailable;
use super::reply::outcome_unknown;
use super::reply::replay;
use super::shard::Verdict;
use super::state::Once;
use crate::clock::Millis;
use crate::error::Code;
use crate::error::Failure;

/// How a call and its waiters end if this VM does not run them.
pub(super) struct Dismissal {
    reply: Reply,
    needs_release: bool,
}

impl Dismissal {
    /// The claim can't win any more, or never reached the log.
    pub fn without_release(reply: Reply) -> Self {
        Self {
            reply,
            needs_release: false,
        }
    }

    /// A copy of the claim may still reach the log and win, so its attempt has to be released.
    pub fn releasing(failure: Failure) -> Self {
        Self {
            reply: Reply::Failure(failure),
            needs_release: true,
        }
    }
}

/// Handling of rulings.
impl Once {
    /// Handles a ruling on an entry of this boot; others are ignored.
    pub(super) fn apply_ruling(&mut self, now: Millis, ruling: Ruling, actions: &mut Vec<Action>) {
        let ident = ruling.ident;
        if ident.holder != self.settings.holder {
            return;
        }
        if !ident.claim {
            self.drop_recorded(ident.key, ident.attempt);
            return;
        }
        let waits = self.calls.get(&ident.key).is_some_and(|call| {
            call.claim.attempt == ident.attempt
                && matches!(call.phase, Phase::Claiming { .. } | Phase::Blocked { .. })
        });
        if waits {
            self.count_unqueued(ident.key, ruling.queued);
            self.apply_verdict(now, ident.key, ruling.verdict, actions);
        }
    }

    fn count_unqueued(&mut self, key: KeyId, queued: bool) {
        if let Some(call) = self.calls.get_mut(&key) {
            call.unqueued += u32::from(!queued);
        }
    }

    fn apply_verdict(
        &mut self,
        now: Millis,
        key: KeyId,
        verdict: Option<Verdict>,
        actions: &mut Vec<Action>,
    ) {
        let dismissal = match verdict {
            Some(Verdict::Won { .. }) => return self.run_won(now, key, actions),
            Some(Verdict::Lost {
                answer: Some(answer),
                ..
            }) => Dismissal::without_release(replay(answer)),
            Some(Verdict::Lost {
                holder,
                answer: None,
            }) if self.may_record(&holder) => {
                return self.wait_for_holder(now, key);
            }
            Some(Verdict::Lost { .. } | Verdict::Void | Verdict::Recorded) => {
                Dismissal::releasing(outcome_unknown())
            }
            Some(Verdict::Reused) => Dismissal::releasing(key_reused()),
            Some(Verdict::Expired) => Dismissal::without_release(Reply::Failure(key_expired())),
            None => return self.fail_unavailable(now, key, actions),
        };
        self.dismiss(now, key, &dismissal, actions);
    }

    /// Returns whether the holder may still record an outcome: it is this boot or believed alive.
    fn may_record(&self, holder: &Holder) -> bool {
        *holder == self.settings.holder || self.live.contains(holder)
    }

    /// Runs a call whose claim has won, unless its deadline has passed.
    fn run_won(&mut self, now: Millis, key: KeyId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if now >= call.deadline {
            let late =
                Failure::not_run(Code::DeadlinePassed, "the deadline passed before the send");
            self.dismiss(now, key, &Dismissal::releasing(late), actions);
            return;
        }
        call.phase = Phase::Running;
        actions.push(Action::Run(call.id));
    }

    /// Lets a call wait for the outcome of another VM's claim.
    fn wait_for_holder(&mut self, now: Millis, key: KeyId) {
        if let Some(call) = self.calls.get_mut(&key)
            && matches!(call.phase, Phase::Claiming { .. })
        {
            let until = call.deadline.min(now + WAIT_SPAN);
            call.phase = Phase::Blocked { until };
            call.next_try = now + POLL_SPAN;
        }
    }

    /// Fails a call whose claim was not queued because the log is down. A call that waits for
    /// another claim's outcome keeps waiting.
    fn fail_unavailable(&mut self, now: Millis, key: KeyId, actions: &mut Vec<Action>) {
        let claims = |call: &Call| matches!(call.phase, Phase::Claiming { .. });
        if self.calls.get(&key).is_some_and(claims) {
            self.dismiss(now, key, &Dismissal::releasing(log_unavailable()), actions);
        }
    }

    /// Answers a call and its waiters without running it. The attempt is released if the dismissal
    /// demands it and some proposal may have been queued.
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
        let may_be_queued = call.tries > call.unqueued;
        if dismissal.needs_release && may_be_queued {
            self.propose_release(now, call.claim, actions);
        }
    }

    /// Drops a pending record that the log now has, with the call that it ended.
    fn drop_recorded(&mut self, key: KeyId, attempt: Attempt) {
        self.pending.remove(&(key, attempt));
        let done = self.calls.get(&key).is_some_and(|call| {
            call.claim.attempt == attempt && matches!(call.phase, Phase::Done(_))
        });
        if done && let Some(call) = self.calls.remove(&key) {
            self.ids.remove(&call.id);
        }
    }
}
