//! Appends records to the stream and determines the outcome of each.
//!
//! A verdict is never a guess. `Accepted` means that the record is in the log and took effect when
//! it was folded. If the answer to an append is lost, the publisher reads the log and appends the
//! record again if it is missing. This is safe because a second copy of a record has no effect (see
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

/// The time after which an open submission ends with [`Verdict::NotKnown`].
pub const SUBMIT_TIMEOUT: Millis = Millis::seconds(10);
/// The delay before a record is appended again.
pub const RETRY_DELAY: Millis = Millis(500);

/// The id of a submission, chosen by the submitter and unique among its open submissions.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// An input of a [`Publisher`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Requests that a record be published.
    Submit {
        /// The id under which the verdict is reported.
        ticket: Ticket,
        /// The record to append.
        record: Record,
    },
    /// The log confirmed an append.
    Appended {
        /// The submission that the append belongs to.
        ticket: Ticket,
        /// The offset of the record in the stream.
        offset: Offset,
    },
    /// The answer to an append was lost: the record may be in the log, or may still arrive there.
    AppendLost {
        /// The submission that the append belongs to.
        ticket: Ticket,
    },
    /// The log refused an append, so this attempt did not add the record.
    AppendRefused {
        /// The submission that the append belongs to.
        ticket: Ticket,
    },
    /// The log was read to its end, and all its records were folded.
    TailRead {
        /// The submission that asked for the read.
        ticket: Ticket,
    },
    /// A record of the stream was folded, from this daemon or another.
    Folded {
        /// The offset of the record.
        offset: Offset,
        /// The digest of the record, by which copies are recognized.
        digest: Digest,
        /// The effect of the record.
        outcome: Outcome,
    },
    /// The state was replaced by a newer one from a snapshot or a peer, so no [`Event::Folded`]
    /// arrives for the records before `next` that are not folded yet.
    Jumped {
        /// The offset of the next record to fold.
        next: Offset,
    },
    /// Time has passed: checks deadlines and retries that are due.
    Tick,
}

/// An output of a [`Publisher`], to be carried out by the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the stream.
    Append {
        /// The submission that the append belongs to.
        ticket: Ticket,
        /// The record to append.
        record: Record,
    },
    /// Read the log from an offset to its end, fold the new records, then send
    /// [`Event::TailRead`].
    ReadBack {
        /// The submission whose record may be in the log.
        ticket: Ticket,
        /// The lowest offset at which the record can be.
        from: Offset,
    },
    /// Report the verdict on a submission, which is closed.
    Settled {
        /// The closed submission.
        ticket: Ticket,
        /// The result to report to the submitter.
        verdict: Verdict,
    },
}

/// The result of a submission.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The record is in the log and in force.
    #[display("accepted at {offset}")]
    Accepted {
        /// The offset at which it took effect, which may be that of an earlier copy.
        offset: Offset,
    },
    /// The record has no effect and never will.
    #[display("refused: {outcome}")]
    Refused {
        /// The reason.
        outcome: Outcome,
    },
    /// The log refused the record, and no earlier append of this submission can still add it.
    #[display("not appended")]
    NotAppended,
    /// The outcome could not be determined in time. The same record may be submitted again.
    #[display("not known yet")]
    NotKnown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// An append was sent and not answered yet.
    Sent,
    /// The log is read to find out whether it has the record.
    Reading,
    /// The record is appended again at this time.
    Waiting(Millis),
    /// The record is at this offset and is not folded yet.
    Placed(Offset),
}

#[derive(Clone, Debug)]
struct Submission {
    record: Record,
    digest: Digest,
    deadline: Millis,
    phase: Phase,
    /// Whether an append with an unknown result may have added the record to the log.
    maybe_appended: bool,
    /// Whether the state moved past records that could be copies of this one without reporting
    /// their outcome to the publisher.
    missed_records: bool,
}

/// The state machine that tracks the open submissions of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    open: BTreeMap<Ticket, Submission>,
    next: Offset,
}

impl Publisher {
    /// Creates a publisher for a state whose next record to fold is at `next`.
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

    /// Returns whether no submission is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Handles one event and pushes the resulting actions.
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
    /// Schedules another append of a record whose outcome the publisher missed. The outcome of the
    /// copy reveals that of the first one.
    fn schedule_copy(&mut self, now: Millis) {
        self.maybe_appended = true;
        self.phase = Phase::Waiting(now);
    }

    /// Returns the verdict on this submission that follows from a folded record, if any.
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
