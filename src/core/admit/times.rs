//! Which requests are probably returns of refused ones, by how much longer their callers wait.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::Millis;

/// The number of a route's latest requests whose times left are kept.
const SAMPLES: usize = 64;
/// With fewer of them, no request is taken for a return.
const MIN_SAMPLES: usize = 5;
/// One in so many requests that come while no return is expected may be one.
const RARE: usize = 8;
/// The share of the latest requests, those with the least time left, of which any may be returns that have less than
/// first attempts: where more have, callers have changed.
const MOST: f64 = 0.5;
/// A return has less time left than a first attempt of the same caller by at least this: the shortest delay that
/// refused callers are told, less the time by which some come early.
const MIN_DIFFERENCE: Millis = Millis(300);

/// The times left of the latest requests, by route.
#[derive(Clone, Debug, Default)]
pub struct TimesLeft {
    routes: BTreeMap<String, Times>,
}

/// The times left of one route's requests.
#[derive(Clone, Debug, Default)]
struct Times {
    latest: VecDeque<Millis>,
    /// Those of requests that came while no return was expected.
    first: VecDeque<Millis>,
}

impl TimesLeft {
    /// Records the time `left` of a request, and returns whether it is probably a return if a `share` of the route's
    /// requests are.
    ///
    /// This answers callers of a route who wait for different times: less time than the longest does not show a
    /// return. So requests are taken for returns that have less than nearly all first attempts, and beyond these no
    /// more than are expected, those with the least time left.
    pub fn detect_return(&mut self, route: &str, left: Millis, share: f64) -> bool {
        let times = self.routes.entry(route.to_owned()).or_default();
        let is_return = share > 0.0 && times.is_return(left, share);
        push(&mut times.latest, left);
        if share <= 0.0 {
            push(&mut times.first, left);
        }
        is_return
    }

    /// Drops the times of routes that no longer exist, and those of all first attempts, as the timeouts of routes may
    /// have changed.
    pub fn retain_routes<F>(&mut self, exists: F)
    where
        F: Fn(&str) -> bool,
    {
        self.routes.retain(|route, _| exists(route));
        self.routes
            .values_mut()
            .for_each(|times| times.first.clear());
    }
}

impl Times {
    fn is_return(&self, left: Millis, share: f64) -> bool {
        let bound = left + MIN_DIFFERENCE;
        let usual = self.first.iter().filter(|time| **time <= bound).count();
        let is_short = self.first.len() >= MIN_SAMPLES && usual * RARE < self.first.len();
        let most = if is_short { share.max(MOST) } else { share };
        let count = self.latest.len();
        let shorter = self.latest.iter().filter(|time| **time < left).count();
        let is_below = self.latest.iter().any(|time| bound < *time);
        count >= MIN_SAMPLES && is_below && (shorter as f64) < most * count as f64
    }
}

fn push(times: &mut VecDeque<Millis>, left: Millis) {
    if times.len() >= SAMPLES {
        times.pop_front();
    }
    times.push_back(left);
}
