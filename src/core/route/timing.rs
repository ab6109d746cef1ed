//! Moving averages of the spans that an endpoint takes.

use crate::clock::Millis;

/// The weight of a new sample in the moving average.
pub const GAIN: f64 = 0.125;
/// The weight of a new sample in the moving deviation.
const GAIN_SPREAD: f64 = 0.25;
/// A span this many deviations beyond the mean is suspect.
const SPREADS: f64 = 4.0;

/// A moving average of spans and of their deviation, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Timing {
    mean: Option<f64>,
    spread: f64,
}

impl Timing {
    /// Takes in a sample.
    pub fn learn(&mut self, span: Millis) {
        let sample = span.0 as f64;
        let Some(mean) = self.mean else {
            self.mean = Some(sample);
            self.spread = sample / 2.0;
            return;
        };
        let error = sample - mean;
        self.mean = Some(mean + GAIN * error);
        self.spread += GAIN_SPREAD * (error.abs() - self.spread);
    }

    /// Returns the average, in milliseconds.
    #[must_use]
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Returns the span that few samples exceed.
    #[must_use]
    pub fn limit(&self) -> Option<Millis> {
        self.mean
            .map(|mean| Millis((mean + SPREADS * self.spread) as u64))
    }
}
