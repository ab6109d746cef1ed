//! Whether the process of an endpoint ended when a connection to it broke (docs/design/endings.md).
//!
//! The load that this answers: a request that crashes each endpoint that runs it comes again at any VM,
//! beside connections that break for other reasons on endpoints that go on. A process does not end in one
//! moment: its connections may break while its listener still takes new ones, and another process may be
//! there before anybody looks. So the endpoint is looked at several times, and what it says of its start
//! counts as much as that nothing listens.

use crate::clock::Millis;

/// How long after the break an answer of the same process shows that it goes on. A process that writes a
/// core or waits for its threads takes some hundred milliseconds to end.
pub const SETTLE_TIME: Millis = Millis(500);
/// How long an endpoint is looked at that shows neither. One that fell silent is back after some seconds.
const WATCH_TIME: Millis = Millis::seconds(15);
/// How long an endpoint is looked at in all while further connections to it break.
const MAX_WATCH_TIME: Millis = Millis::seconds(30);
/// The time from the break to the second look. Most processes have ended by then.
const FIRST_GAP: Millis = Millis(30);
/// Each pause is this multiple of the time since the break, so that few looks cover the first moments and
/// the seconds after them.
const GAP_FACTOR: u64 = 2;
/// The longest time between two looks.
const MAX_GAP: Millis = Millis::seconds(1);

/// What one look at an endpoint showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// Nothing listens at its address, and this VM reaches other endpoints.
    Refused,
    /// A process answered, and says when it started if it says so at all.
    Answered(Option<u64>),
    /// Neither: the connection was accepted without an answer, broke or could not be opened in time, the
    /// endpoint wants a pause, or this VM reaches no endpoint at all.
    Unclear,
}

/// What is known of a process after a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// It ended.
    Ended,
    /// It goes on, and only the connection broke.
    GoesOn,
    /// Not known yet: look again after this time.
    Open(Millis),
    /// It could not be found out.
    Unknown,
}

/// The looks at one process of an endpoint after connections to it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndingWatch {
    /// The start of the process, by the endpoint's entry when the connection broke.
    boot: u64,
    first_break: Millis,
    last_break: Millis,
}

impl EndingWatch {
    /// Starts with the break of a connection to the process that started at `boot`.
    #[must_use]
    pub const fn new(now: Millis, boot: u64) -> Self {
        Self {
            boot,
            first_break: now,
            last_break: now,
        }
    }

    /// Records that a further connection to the same process broke.
    pub fn record_break(&mut self, now: Millis) {
        self.last_break = self.last_break.max(now);
    }

    /// Judges a look that ended at `now`.
    #[must_use]
    pub fn judge(&self, now: Millis, sight: Sight) -> Finding {
        match sight {
            Sight::Refused => Finding::Ended,
            Sight::Answered(Some(boot)) if boot != self.boot => Finding::Ended,
            Sight::Answered(_) if now.since(self.last_break) >= SETTLE_TIME => Finding::GoesOn,
            Sight::Answered(_) | Sight::Unclear => self.wait(now),
        }
    }

    fn wait(&self, now: Millis) -> Finding {
        let passed = now.since(self.last_break);
        // An endpoint to which connections break again and again is given up as well.
        let watched = now.since(self.first_break);
        if passed >= WATCH_TIME || watched >= MAX_WATCH_TIME {
            return Finding::Unknown;
        }
        let gap = Millis(passed.0 * GAP_FACTOR);
        Finding::Open(gap.clamp(FIRST_GAP, MAX_GAP))
    }
}
