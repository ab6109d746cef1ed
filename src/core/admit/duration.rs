//! How long requests hold room, by service and priority.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::core::load::NameHash;

/// The assumed duration until a request of the class has ended, in milliseconds.
const INITIAL_MS: f64 = 3000.0;
/// The number of requests over which the mean is taken.
const SAMPLES: f64 = 50.0;

#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    count: f64,
}

/// The mean durations of requests that ended on this VM.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    classes: BTreeMap<(NameHash, u8), Mean>,
}

impl Durations {
    /// Adds the duration of a request that ended.
    pub fn record(&mut self, service: NameHash, priority: u8, duration: Millis) {
        let first = Mean {
            value: INITIAL_MS,
            count: 0.0,
        };
        let mean = self.classes.entry((service, priority)).or_insert(first);
        mean.count = (mean.count + 1.0).min(SAMPLES);
        mean.value += (duration.0 as f64 - mean.value) / mean.count;
    }

    /// Returns the mean duration of the requests of a class, in seconds.
    #[must_use]
    pub fn seconds(&self, service: NameHash, priority: u8) -> f64 {
        let known = self.classes.get(&(service, priority));
        known.map_or(INITIAL_MS, |mean| mean.value.max(1.0)) / 1000.0
    }

    /// Returns the mean duration of the requests of a class.
    #[must_use]
    pub fn mean(&self, service: NameHash, priority: u8) -> Millis {
        Millis((self.seconds(service, priority) * 1000.0) as u64)
    }
}
