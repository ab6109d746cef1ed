//! How many callers' connections a process takes while its descriptors run out.

use crate::clock::Millis;

/// The share of the open connections that are kept at most after descriptors ran out: what the others held is
/// for connections to endpoints, without which nobody is served.
const KEPT_SHARE: (usize, usize) = (7, 8);
/// The connections that are kept in any case: with so few, the descriptors are held by others.
const MIN_KEPT: usize = 64;
/// How long that holds. If descriptors run out again, it begins anew.
const LIMIT_TIME: Millis = Millis::seconds(10);

/// The connections of callers that are open, and how many may be.
///
/// This answers the load in which more callers come than the process has descriptors. If it took each descriptor
/// that becomes free for one more caller, none would be left for the endpoints of those it has. So it takes fewer for
/// a while and closes further ones at once, which callers notice and turn to another VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Intake {
    open: usize,
    limit: Option<(usize, Millis)>,
}

impl Intake {
    /// Counts a connection, and returns whether it may be served; if not, it is not counted.
    pub fn begin(&mut self, now: Millis) -> bool {
        self.limit = self.limit.filter(|(_, until)| now < *until);
        if self.limit.is_some_and(|(most, _)| self.open >= most) {
            return false;
        }
        self.open += 1;
        true
    }

    /// Counts the end of a connection that [`Self::begin`] counted.
    pub fn end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Records that no descriptor was left for a further connection.
    pub fn record_exhaustion(&mut self, now: Millis) {
        let (part, whole) = KEPT_SHARE;
        let most = (self.open * part / whole).max(MIN_KEPT);
        self.limit = Some((most, now + LIMIT_TIME));
    }

    /// Returns how many connections are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open
    }
}
