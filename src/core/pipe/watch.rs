//! How long a path may be quiet before it is looked at.

use crate::clock::Millis;

/// The part of the allowed pause after which a path is looked at: the rest must do for asking its
/// engines, for another path and for reading the request anew there.
const QUIET_PART: f64 = 0.4;
/// The quiet time after which a path is looked at whose route states no longest pause, or whose
/// events come seldom.
const QUIET_MOST: Millis = Millis(350);
/// The usual gaps that must pass before a path counts as quiet: under load all of them grow.
const GAPS: f64 = 2.2;
/// The weight of the newest gap in the mean.
const GAP_WEIGHT: f64 = 0.1;
/// The interval between two looks at a path that is quiet.
const AGAIN_SPAN: Millis = Millis(40);
/// The looks in such short order; a path that is slow and not dead is looked at more seldom.
const AGAIN_MOST: u32 = 8;
/// The interval between two looks after that.
const SLOW_SPAN: Millis = Millis(800);

/// Says when a path should be looked at, from the gaps between its events.
///
/// The answer to engines that fall silent: one that is waited for longer makes every stream through
/// it late, and looking at paths that are only loaded costs probes.
#[derive(Clone, Copy, Debug)]
pub struct StallTimer {
    quiet: Millis,
    gap: Option<f64>,
    looks: u32,
    since: Millis,
}

impl StallTimer {
    /// Begins at `now`; `pause` is the longest that the route allows between two events.
    #[must_use]
    pub fn new(now: Millis, pause: Option<Millis>) -> Self {
        let quiet = pause.map_or(QUIET_MOST, |pause| {
            Millis((pause.0 as f64 * QUIET_PART) as u64)
        });
        Self {
            quiet: quiet.min(QUIET_MOST),
            gap: None,
            looks: 0,
            since: now,
        }
    }

    /// Takes in an event.
    pub fn record_event(&mut self, now: Millis) {
        let gap = now.since(self.since).0 as f64;
        self.gap = Some(match self.gap {
            Some(mean) => mean + (gap - mean) * GAP_WEIGHT,
            None => self.quiet.0 as f64 / GAPS,
        });
        self.since = now;
        self.looks = 0;
    }

    /// Counts a look at the path.
    pub fn record_check(&mut self) {
        self.looks += 1;
    }

    /// Returns when the last event came.
    #[must_use]
    pub const fn last_event(&self) -> Millis {
        self.since
    }

    /// Says whether the path is slower than its route allows, or was looked at in vain: then all its
    /// engines are worth a question, also those that work.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.looks > 2 || self.usual() > self.quiet.0 as f64
    }

    /// Returns how long to wait before the next look.
    #[must_use]
    pub fn check_delay(&self) -> Millis {
        match self.looks {
            0 => {
                let usual = Millis(self.usual() as u64);
                self.quiet.max(usual).min(QUIET_MOST)
            }
            1..=AGAIN_MOST => AGAIN_SPAN,
            _ => SLOW_SPAN,
        }
    }

    fn usual(&self) -> f64 {
        self.gap.unwrap_or_default() * GAPS
    }
}
