//! What this VM's callers ask for, and what it refuses, by class.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::core::load::ClassKey;
use crate::core::load::Load;

/// The time over which arrivals are averaged, in milliseconds: a burst is seen within a second, and
/// single requests of a class with few callers don't make its rate jump.
const AVERAGE_MS: f64 = 1000.0;

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// Tokens per second at the time of `at`.
    value: f64,
    at: Millis,
}

impl Rate {
    fn at(&self, now: Millis) -> f64 {
        self.value * (-(now.since(self.at).0 as f64) / AVERAGE_MS).exp()
    }
}

/// The rates at which requests arrive at this VM.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    rates: BTreeMap<ClassKey, Rate>,
}

impl Arrivals {
    /// Adds a request that arrived.
    pub fn record(&mut self, now: Millis, key: ClassKey, size: u32) {
        let rate = self.rates.entry(key).or_default();
        *rate = Rate {
            value: rate.at(now) + f64::from(size) * 1000.0 / AVERAGE_MS,
            at: now,
        };
    }

    /// Returns the tokens per second of a class, over its customers.
    #[must_use]
    pub fn class_rate(&self, now: Millis, class: &ClassKey) -> f64 {
        let same = |key: &ClassKey| key.service == class.service && key.priority == class.priority;
        let all = self.rates.iter().filter(|(key, _)| same(key));
        all.map(|(_, rate)| rate.at(now)).sum()
    }

    /// Writes the present rates to this VM's load, and drops classes without any.
    pub fn refresh(&mut self, now: Millis, own: &mut Load) {
        self.rates.retain(|key, rate| {
            let offered = rate.at(now) as u32;
            own.classes.entry(*key).or_default().offered = offered;
            offered > 0
        });
        own.classes
            .retain(|_, load| load.offered > 0 || load.held > 0 || load.waiting > 0);
    }
}
