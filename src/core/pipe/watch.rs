//! How long a path may be quiet before it is looked at.

use crate::clock::Millis;

/// The part of the allowed pause after which a path is looked at: the rest must do for asking its
/// engines, for another path and for reading the request anew there.
const QUIET_SHARE: f64 = 0.4;
/// The quiet time after which a path is looked at whose route states no longest pause, or whose
/// events come seldom.
const MAX_QUIET: Millis = Millis(350);
/// The usual gaps that must pass before a path counts as quiet: under load all of them grow.
const GAP_FACTOR: f64 = 2.2;
/// The weight of the newest gap in the mean.
const GAP_WEIGHT: f64 = 0.1;
/// The interval between two looks at a path that is quiet.
const RECHECK_INTERVAL: Millis = Millis(40);
/// The looks in such short order; a path that is slow and not dead is looked at more seldom.
const MAX_FAST_CHECKS: u32 = 8;
/// The interval between two looks after that.
const SLOW_RECHECK_INTERVAL: Millis = Millis(800);

/// Says when a path should be looked at, from the gaps between its events.
///
/// The answer to engines that fall silent: one that is waited for longer makes every stream through
/// it late, and looking at paths that are only loaded costs probes.
#[derive(Clone, Copy, Debug)]
pub struct StallTimer {
    quiet_limit: Millis,
    mean_gap: Option<f64>,
    checks: u32,
    last_event: Millis,
}

impl StallTimer {
    /// Begins at `now`; `pause` is the longest that the route allows between two events.
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
        }
    }

    /// Takes in an event.
    pub fn record_event(&mut self, now: Millis) {
        let gap = now.since(self.last_event).0 as f64;
        self.mean_gap = Some(match self.mean_gap {
            Some(mean) => mean + (gap - mean) * GAP_WEIGHT,
            None => self.quiet_limit.0 as f64 / GAP_FACTOR,
        });
        self.last_event = now;
        self.checks = 0;
    }

    /// Counts a look at the path.
    pub fn record_check(&mut self) {
        self.checks += 1;
    }

    /// Returns when the last event came.
    #[must_use]
    pub const fn last_event(&self) -> Millis {
        self.last_event
    }

    /// Says whether the path is slower than its route allows, or was looked at in vain: then all its
    /// engines are worth a question, also those that work.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.checks > 2 || self.expected_gap() > self.quiet_limit.0 as f64
    }

    /// Returns how long to wait before the next look.
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

    fn expected_gap(&self) -> f64 {
        self.mean_gap.unwrap_or_default() * GAP_FACTOR
    }
}
