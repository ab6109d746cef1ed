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

/// The time, beside the reading of the prompt, that a change of path takes before its first event:
/// the probes of the engines, and as much again for the order and the way back.
const REPAIR_TIME: Millis = Millis(150);
/// A path that has sent nothing yet counts as quiet after this multiple of the expected time at the
/// earliest. An earlier check would ask engines that are only reading prompts.
const FIRST_FACTOR: f64 = 1.5;
/// The number of events as which the gap counts that other streams showed.
const SEED_EVENTS: f64 = 3.0;

/// What is expected of a path before it has sent an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expected {
    /// The time to the first event.
    pub first: Millis,
    /// The mean gap between later events, as other streams through these engines showed lately.
    pub gap: Option<Millis>,
    /// The longest time to the first event that the caller should see, counted from the start of the
    /// timer.
    pub target: Millis,
}

/// Decides when to check a path for silent engines, from the gaps between its events.
///
/// Checking too late delays every stream through a silent engine; checking paths that are only
/// loaded wastes probes.
#[derive(Clone, Copy, Debug)]
pub struct StallTimer {
    quiet_limit: Millis,
    first_limit: Millis,
    mean_gap: Option<f64>,
    events: u32,
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
        let quiet_limit = quiet_limit.min(MAX_QUIET);
        Self {
            quiet_limit,
            first_limit: quiet_limit,
            mean_gap: None,
            events: 0,
            checks: 0,
            last_event: now,
            last_check: now,
            has_bytes: false,
        }
    }

    /// Takes into account what is expected of the path.
    ///
    /// The first event may take longer than a pause: it follows the reading of the prompt. A path is
    /// checked for it at the last moment from which another one can still meet the target, which is
    /// [`REPAIR_TIME`] and another reading of the prompt before that.
    #[must_use]
    pub fn expecting(mut self, expected: Expected) -> Self {
        let Expected { first, gap, target } = expected;
        let latest = target - REPAIR_TIME - first;
        let reading = Millis((first.0 as f64 * FIRST_FACTOR) as u64);
        self.first_limit = self.quiet_limit.max(latest).max(reading).min(MAX_QUIET);
        self.mean_gap = gap.map(|gap| gap.0 as f64);
        self
    }

    /// Returns the time since the last event, which is the next gap if an event comes now; `None`
    /// before the first event.
    #[must_use]
    pub fn gap(&self, now: Millis) -> Option<Millis> {
        (self.events > 0).then(|| now.since(self.last_event))
    }

    /// Records an event of the path and resets the count of checks.
    pub fn record_event(&mut self, now: Millis) {
        if self.events > 0 {
            let gap = now.since(self.last_event).0 as f64;
            let weight = GAP_WEIGHT.max(1.0 / (f64::from(self.events) + SEED_EVENTS));
            let usual = self.quiet_limit.0 as f64 / GAP_FACTOR;
            let mean = self.mean_gap.unwrap_or(usual);
            self.mean_gap = Some(mean + (gap - mean) * weight);
        }
        self.events += 1;
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

    /// Returns whether the path is so slow that its usual gaps would look like a silent engine, or
    /// several checks found none. All its engines should be probed then for their pace, including
    /// those that seem to work.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        let mean = self.mean_gap.unwrap_or_default();
        self.checks > 2 || mean > self.quiet_limit.0 as f64
    }

    /// Returns how long to wait for an event before the next check.
    #[must_use]
    pub fn check_delay(&self) -> Millis {
        match self.checks {
            0 if self.events == 0 => self.first_limit,
            0 => {
                let expected_gap = Millis(self.expected_gap() as u64);
                self.quiet_limit.max(expected_gap).min(MAX_QUIET)
            }
            1..=MAX_FAST_CHECKS => RECHECK_INTERVAL,
            _ => SLOW_RECHECK_INTERVAL,
        }
    }

    /// Returns the gap up to which the path is not quiet, in milliseconds; 0 if nothing is known.
    fn expected_gap(&self) -> f64 {
        self.mean_gap.unwrap_or_default() * GAP_FACTOR
    }
}
