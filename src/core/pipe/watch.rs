//! Timing of checks on a path that has sent no events for a while.

use crate::clock::Millis;

/// The share of the allowed pause after which a path is checked. The rest is needed to probe its
/// engines, to choose another path and to process the prompt again there.
const QUIET_SHARE: f64 = 0.4;
/// The longest time without events before a path is checked, also for a route without a configured
/// pause and for a path whose events are rare.
const MAX_QUIET: Millis = Millis(350);
/// A path counts as quiet after this multiple of its mean gap. A margin is needed because all gaps
/// grow under load.
const GAP_FACTOR: f64 = 2.2;
/// The weight of the newest gap in the moving average.
const GAP_WEIGHT: f64 = 0.1;
/// The interval between the first checks of a quiet path.
const RECHECK_INTERVAL: Millis = Millis(40);
/// The number of checks at [`RECHECK_INTERVAL`]; after them the path is slow rather than dead and
/// is checked less often.
const MAX_FAST_CHECKS: u32 = 8;
/// The interval between checks after the first [`MAX_FAST_CHECKS`].
const SLOW_RECHECK_INTERVAL: Millis = Millis(800);

/// Decides when to check a path for silent engines, from the gaps between its events.
///
/// Checking too late delays every stream through a silent engine; checking paths that are only
/// loaded wastes probes.
#[derive(Clone, Copy, Debug)]
pub struct StallTimer {
    quiet_limit: Millis,
    mean_gap: Option<f64>,
    checks: u32,
    last_event: Millis,
    last_check: Millis,
    /// Whether bytes came since the last event or check that are no event.
    has_bytes: bool,
}

impl StallTimer {
    /// Starts the timer; `pause` is the longest pause between events that the route allows.
    #[must_use]
    pub fn new(now: Millis, pause: Option<Millis>) -> Self {
        let quiet_limit = pause.map_or(MAX_QUIET, |pause| {
            Millis((pause.0 as f64 * QUIET_SHARE) as u64)
        });
        Self {
            quiet_limit: quiet_limit.min(MAX_QUIET),
            mean_gap: None,
            checks: 0,
            last_event: now,
            last_check: now,
            has_bytes: false,
        }
    }

    /// Records an event of the path and resets the count of checks.
    pub fn record_event(&mut self, now: Millis) {
        let gap = now.since(self.last_event).0 as f64;
        self.mean_gap = Some(match self.mean_gap {
            Some(mean) => mean + (gap - mean) * GAP_WEIGHT,
            None => self.quiet_limit.0 as f64 / GAP_FACTOR,
        });
        self.last_event = now;
        self.checks = 0;
        self.has_bytes = false;
    }

    /// Records that bytes came that complete no event: a stalled path may send some now and then.
    pub fn record_bytes(&mut self) {
        self.has_bytes = true;
    }

    /// Records that the path was checked.
    pub fn record_check(&mut self, now: Millis) {
        self.checks += 1;
        self.last_check = now;
        self.has_bytes = false;
    }

    /// Returns how long to wait from `now` before the next check. Bytes that are no event do not defer
    /// it.
    #[must_use]
    pub fn until_check(&self, now: Millis) -> Millis {
        if self.has_bytes {
            (self.last_event.max(self.last_check) + self.check_delay()).since(now)
        } else {
            self.check_delay()
        }
    }

    /// Returns whether a check is due although bytes keep coming. Without bytes, those that wait to be
    /// read come first: a VM that was paused must not blame the path.
    #[must_use]
    pub fn is_overdue(&self, now: Millis) -> bool {
        self.has_bytes && self.until_check(now) == Millis(0)
    }

    /// Returns the time of the last event, or of the start if there was none.
    #[must_use]
    pub const fn last_event(&self) -> Millis {
        self.last_event
    }

    /// Returns whether the path is slower than its route allows, or several checks found no silent
    /// engine. All its engines should be probed then, including those that seem to work.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.checks > 2 || self.expected_gap() > self.quiet_limit.0 as f64
    }

    /// Returns how long to wait for an event before the next check.
    #[must_use]
    pub fn check_delay(&self) -> Millis {
        match self.checks {
            0 => {
                let expected_gap = Millis(self.expected_gap() as u64);
                self.quiet_limit.max(expected_gap).min(MAX_QUIET)
            }
            1..=MAX_FAST_CHECKS => RECHECK_INTERVAL,
            _ => SLOW_RECHECK_INTERVAL,
        }
    }

    /// Returns the gap up to which the path is not quiet, in milliseconds; 0 before the first
    /// event.
    fn expected_gap(&self) -> f64 {
        self.mean_gap.unwrap_or_default() * GAP_FACTOR
    }
}
