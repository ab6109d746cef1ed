//! Moving averages of an endpoint's response times.

use crate::clock::Millis;

/// The weight of a new sample in the moving average.
pub const GAIN: f64 = 0.125;
/// The weight of a new sample in the moving deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// How many deviations the upper bound lies above the mean.
const LIMIT_DEVIATIONS: f64 = 4.0;

/// An exponential moving average of durations and of their mean deviation, as in TCP's
/// retransmission timer.
#[derive(Clone, Debug, Default)]
pub struct Timing {
    mean: Option<f64>,
    deviation: f64,
}

impl Timing {
    /// Adds a sample; the first one sets the average.
    pub fn record(&mut self, span: Millis) {
        let sample = span.0 as f64;
        let Some(mean) = self.mean else {
            self.mean = Some(sample);
            self.deviation = sample / 2.0;
            return;
        };
        let error = sample - mean;
        self.mean = Some(mean + GAIN * error);
        self.deviation += DEVIATION_GAIN * (error.abs() - self.deviation);
    }

    /// Returns the average in milliseconds, or `None` before the first sample.
    #[must_use]
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Returns a duration that few samples exceed, or `None` before the first sample.
    #[must_use]
    pub fn upper_bound(&self) -> Option<Millis> {
        self.mean
            .map(|mean| Millis((mean + LIMIT_DEVIATIONS * self.deviation) as u64))
    }
}
