//! Decides when this daemon reads the log itself.

use super::Action;
use super::Sync;
use super::Tail;
use crate::clock::Millis;
use crate::names::Vm;

/// The interval between two reads of the tail by an elected reader.
pub const POLL_SPAN: Millis = Millis(400);
/// How long to wait for the answer to a read.
const ANSWER_SPAN: Millis = Millis::seconds(2);
/// How long an elected reader waits after a failed read.
const RETRY_SPAN: Millis = Millis(500);
/// How long daemons that are not elected wait after a failed read, so that the fleet's retries
/// don't worsen an outage.
const BACKOFF_SPAN: Millis = Millis::seconds(5);
/// How old the state may get before a daemon that is not elected reads the log itself.
const STALE_SPAN: Millis = Millis(2500);
/// How long newer records may be missing before a daemon that is not elected reads the log itself.
const LAG_SPAN: Millis = Millis(1000);
/// The interval between two requests for a snapshot.
const SNAPSHOT_SPAN: Millis = Millis::seconds(2);

/// A read that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    number: u64,
    sent: Millis,
}

/// The state of this daemon's own reads.
#[derive(Debug)]
pub(super) struct Reader {
    /// Whether this daemon is an elected reader of its failure domain.
    pub(super) is_elected: bool,
    /// When a snapshot was last requested; reads are useless until it arrives.
    pub(super) snapshot_asked: Option<Millis>,
    last: u64,
    pending: Option<PendingRead>,
    due: Millis,
    failures: u32,
}

impl Reader {
    pub(super) fn new() -> Self {
        Self {
            is_elected: false,
            snapshot_asked: None,
            last: 0,
            pending: None,
            due: Millis(0),
            failures: 0,
        }
    }

    /// Returns whether the last read failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Makes the next read due at once.
    pub(super) fn read_now(&mut self) {
        self.due = Millis(0);
    }

    /// Abandons the pending read; a late answer is dropped.
    pub(super) fn abandon(&mut self) {
        self.pending = None;
        self.due = Millis(0);
    }

    fn start(&mut self, now: Millis) -> u64 {
        self.last += 1;
        self.pending = Some(PendingRead {
            number: self.last,
            sent: now,
        });
        self.last
    }

    /// Removes and returns the pending read if its number is `number`.
    fn finish(&mut self, number: u64) -> Option<PendingRead> {
        self.pending.take_if(|read| read.number == number)
    }

    fn fail(&mut self, now: Millis) {
        self.failures += 1;
        let wait = if self.is_elected {
            RETRY_SPAN
        } else {
            BACKOFF_SPAN
        };
        self.due = now + wait;
    }
}

impl Sync {
    pub(super) fn read_if_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let late = |read: &mut PendingRead| now.since(read.sent) >= ANSWER_SPAN;
        if self.reader.pending.take_if(late).is_some() {
            self.reader.fail(now);
        }
        let blocked = self.reader.pending.is_some() || self.reader.due > now;
        if blocked || !self.should_read(now) {
            return;
        }
        let number = self.reader.start(now);
        let from = self.next;
        actions.push(Action::Read { number, from });
    }

    fn should_read(&self, now: Millis) -> bool {
        let asked = self.reader.snapshot_asked;
        if asked.is_some_and(|at| now.since(at) < SNAPSHOT_SPAN) {
            return false;
        }
        let stale = self.fresh.is_none_or(|at| now.since(at) >= STALE_SPAN);
        self.reader.is_elected || stale || self.behind_span(now) >= LAG_SPAN
    }

    /// Handles the log's answer to a read. An answer to an abandoned read is dropped.
    pub fn finish_read(&mut self, now: Millis, tail: Tail, actions: &mut Vec<Action>) {
        let Some(read) = self.reader.finish(tail.number) else {
            return;
        };
        if !tail.batch.is_valid() || tail.batch.from > self.next {
            self.reader.fail(now);
            return;
        }
        self.reader.failures = 0;
        self.reader.snapshot_asked = None;
        self.take_batch(tail.batch, None, actions);
        if tail.end {
            self.refresh(Some(read.sent));
        }
        let wait = if tail.end { POLL_SPAN } else { Millis(0) };
        self.reader.due = now + wait;
    }

    /// Handles a failed read.
    pub fn fail_read(&mut self, now: Millis, number: u64) {
        if self.reader.finish(number).is_some() {
            self.reader.fail(now);
        }
    }

    /// Handles a read whose records have expired; the log now begins at `first`.
    pub fn expire_read(&mut self, now: Millis, number: u64, first: u64, actions: &mut Vec<Action>) {
        if self.reader.finish(number).is_some() && first > self.next {
            self.reader.failures = 0;
            self.need_snapshot(now, first, None, actions);
        }
    }

    pub(super) fn need_snapshot(
        &mut self,
        now: Millis,
        first: u64,
        peer: Option<Vm>,
        actions: &mut Vec<Action>,
    ) {
        let asked = self.reader.snapshot_asked;
        if asked.is_some_and(|at| now.since(at) < SNAPSHOT_SPAN) {
            return;
        }
        self.reader.snapshot_asked = Some(now);
        actions.push(Action::NeedSnapshot { first, peer });
    }
}
