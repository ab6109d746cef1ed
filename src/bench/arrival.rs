//! Seeded Poisson arrivals for open-loop load.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The arrival times of a Poisson process, relative to its start.
#[derive(Clone, Debug)]
pub struct Arrivals {
    rng: ChaCha8Rng,
    rate: f64,
    at: f64,
}

impl Arrivals {
    /// Creates a process with a mean of `rate` arrivals per second. The same seed with another
    /// `stream` gives independent arrivals; each class of a run uses its own stream.
    #[must_use]
    pub fn new(seed: u64, stream: u64, rate: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        Self { rng, rate, at: 0.0 }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        if self.rate <= 0.0 {
            return None;
        }
        let uniform: f64 = self.rng.random();
        self.at -= (1.0 - uniform).ln() / self.rate;
        Duration::try_from_secs_f64(self.at).ok()
    }
}
