//! Appending records to the stream, and finding out what became of each.
//!
//! A verdict is never a guess. `Accepted` means that the record is in the log and the fold let it
//! take effect; a lost answer is settled by reading the log, and by appending the same record
//! again where it is not there: copies of a record have no second effect (see
//! [`Record::seen`](crate::core::config::record::Record::seen)).

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::config::change::Offset;
use crate::core::config::object::Digest;
use crate::core::config::outcome::Outcome;
use crate::core::config::record::MAX_RECORD_LAG;
use crate::core::config::record::Record;

/// How long a submission may stay open before its verdict is [`Verdict::NotKnown`].
pub const SUBMIT_TIMEOUT: Millis = Millis::seconds(10);
/// How long to wait before a record is appended again.
pub const RETRY_DELAY: Millis = Millis(500);

/// The number of a submission, chosen by the submitter.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// What a publisher is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A record shall be published.
    Submit {
        /// The submission.
        ticket: Ticket,
        /// The record.
        record: Record,
    },
    /// An append was answered.
    Appended {
        /// The submission.
        ticket: Ticket,
        /// Where the record stands.
        offset: Offset,
    },
    /// The answer to an append was lost: the record may be in the log, now or soon.
    AppendLost {
        /// The submission.
        ticket: Ticket,
    },
    /// An append was refused: the record is not in the log through it.
    AppendRefused {
        /// The submission.
        ticket: Ticket,
    },
    /// The log was read to its end, and all its records were folded.
    TailRead {
        /// The submission that it was read for.
        ticket: Ticket,
    },
    /// A record of the log was folded, whoever wrote it.
    Folded {
        /// Where it stands.
        offset: Offset,
        /// Its digest.
        digest: Digest,
        /// What became of it.
        outcome: Outcome,
    },
    /// The state was taken over from a snapshot or a peer, so records before `next` went by unseen.
    Jumped {
        /// The offset of the record that is expected next.
        next: Offset,
    },
    /// Time passes.
    Tick,
}

/// What a publisher wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the stream.
    Append {
        /// The submission.
        ticket: Ticket,
        /// The record.
        record: Record,
    },
    /// Read the log from an offset to its end, fold what is new, and then tell
    /// [`Event::TailRead`].
    ReadBack {
        /// The submission.
        ticket: Ticket,
        /// The offset before which the record cannot be.
        from: Offset,
    },
    /// A submission is settled and forgotten.
    Settled {
        /// The submission.
        ticket: Ticket,
        /// What became of it.
        verdict: Verdict,
    },
}

/// What became of a submission.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The record is in the log and in force.
    #[display("accepted at {offset}")]
    Accepted {
        /// Where it took effect.
        offset: Offset,
    },
    /// The record has no effect and never will.
    #[display("refused: {outcome}")]
    Refused {
        /// Why.
        outcome: Outcome,
    },
    /// The log did not take the record, and never will by this submission.
    #[display("not appended")]
    NotAppended,
    /// It is not known yet; the same record may be submitted again.
    #[display("not known yet")]
    NotKnown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// An append is on its way.
    Sent,
    /// The log is read back.
    Reading,
    /// The record will be appended again at this time.
    Waiting(Millis),
    /// The record stands here and is not folded yet.
    Placed(Offset),
}

#[derive(Clone, Debug)]
struct Submission {
    record: Record,
    digest: Digest,
    deadline: Millis,
    phase: Phase,
    /// Whether some append of the record may have taken effect unseen.
    maybe_appended: bool,
    /// Whether records that could be copies of it went by unseen.
    missed_records: bool,
}

/// The open submissions of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    open: BTreeMap<Ticket, Submission>,
    next: Offset,
}

impl Publisher {
    /// Returns a publisher for a state that expects the record at `next`.
    #[must_use]
    pub const fn new(next: Offset) -> Self {
        Self {
            open: BTreeMap::new(),
            next,
        }
    }

    /// Returns the number of open submissions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Says whether no submission is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Takes one event.
    pub fn step(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit { ticket, record } => self.submit(now, ticket, record, actions),
            Event::Appended { ticket, offset } => self.appended(now, ticket, offset),
            Event::AppendLost { ticket } => self.append_lost(ticket, actions),
            Event::AppendRefused { ticket } => self.append_refused(now, ticket, actions),
            Event::TailRead { ticket } => self.tail_read(now, ticket),
            Event::Folded {
                offset,
                digest,
                outcome,
            } => self.folded(offset, &digest, &outcome, actions),
            Event::Jumped { next } => self.jumped(now, next),
            Event::Tick => self.tick(now, actions),
        }
    }

    fn submit(&mut self, now: Millis, ticket: Ticket, record: Record, actions: &mut Vec<Action>) {
        let submission = Submission {
            digest: record.digest(),
            record: record.clone(),
            deadline: now + SUBMIT_TIMEOUT,
            phase: Phase::Sent,
            maybe_appended: false,
            missed_records: record.seen < self.next,
        };
        self.open.insert(ticket, submission);
        actions.push(Action::Append { ticket, record });
    }

    fn appended(&mut self, now: Millis, ticket: Ticket, offset: Offset) {
        let Some(submission) = self.open.get_mut(&ticket) else {
            return;
        };
        if offset >= self.next {
            submission.phase = Phase::Placed(offset);
        } else {
            submission.schedule_copy(now);
        }
    }

    fn append_lost(&mut self, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(submission) = self.open.get_mut(&ticket) else {
            return;
        };
        submission.maybe_appended = true;
        submission.phase = Phase::Reading;
        let from = submission.record.seen;
        actions.push(Action::ReadBack { ticket, from });
    }

    fn append_refused(&mut self, now: Millis, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(submission) = self.open.get_mut(&ticket) else {
            return;
        };
        if submission.maybe_appended {
            submission.phase = Phase::Waiting(now + RETRY_DELAY);
        } else {
            self.settle(ticket, Verdict::NotAppended, actions);
        }
    }

    fn tail_read(&mut self, now: Millis, ticket: Ticket) {
        if let Some(submission) = self.open.get_mut(&ticket)
            && submission.phase == Phase::Reading
        {
            submission.phase = Phase::Waiting(now + RETRY_DELAY);
        }
    }

    fn folded(
        &mut self,
        offset: Offset,
        digest: &Digest,
        outcome: &Outcome,
        actions: &mut Vec<Action>,
    ) {
        self.next = self.next.max(offset.next());
        let mut settled = Vec::new();
        for (ticket, submission) in &self.open {
            if let Some(verdict) = submission.verdict(offset, digest, outcome) {
                settled.push((*ticket, verdict));
            }
        }
        for (ticket, verdict) in settled {
            self.settle(ticket, verdict, actions);
        }
    }

    fn jumped(&mut self, now: Millis, next: Offset) {
        if next <= self.next {
            return;
        }
        self.next = next;
        for submission in self.open.values_mut() {
            submission.missed_records = true;
            if matches!(submission.phase, Phase::Placed(offset) if offset < next) {
                submission.schedule_copy(now);
            }
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut expired = Vec::new();
        for (ticket, submission) in &mut self.open {
            if now >= submission.deadline {
                expired.push(*ticket);
            } else if matches!(submission.phase, Phase::Waiting(until) if now >= until) {
                submission.phase = Phase::Sent;
                actions.push(Action::Append {
                    ticket: *ticket,
                    record: submission.record.clone(),
                });
            }
        }
        for ticket in expired {
            self.settle(ticket, Verdict::NotKnown, actions);
        }
    }

    fn settle(&mut self, ticket: Ticket, verdict: Verdict, actions: &mut Vec<Action>) {
        self.open.remove(&ticket);
        actions.push(Action::Settled { ticket, verdict });
    }
}

impl Submission {
    /// The record stands where it went by unseen; a copy of it will tell what became of it.
    fn schedule_copy(&mut self, now: Millis) {
        self.maybe_appended = true;
        self.phase = Phase::Waiting(now);
    }

    /// Returns the verdict that a folded record brings.
    fn verdict(&self, offset: Offset, digest: &Digest, outcome: &Outcome) -> Option<Verdict> {
        let is_late = offset.since(self.record.seen) > MAX_RECORD_LAG;
        let is_own = *digest == self.digest;
        if is_own && !(self.missed_records && *outcome == Outcome::Late) {
            return Some(verdict_of(offset, outcome));
        }
        let is_passed = matches!(self.phase, Phase::Placed(at) if at <= offset);
        if is_own || is_passed || (is_late && self.missed_records) {
            return Some(Verdict::NotKnown);
        }
        is_late.then_some(Verdict::Refused {
            outcome: Outcome::Late,
        })
    }
}

fn verdict_of(offset: Offset, outcome: &Outcome) -> Verdict {
    let offset = match outcome {
        Outcome::AlreadyAccepted { first } | Outcome::Duplicate { first, .. } => *first,
        _ => offset,
    };
    if outcome.is_accepted() {
        Verdict::Accepted { offset }
    } else {
        let outcome = outcome.clone();
        Verdict::Refused { outcome }
    }
}
