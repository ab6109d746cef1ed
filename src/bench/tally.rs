//! Counters and histograms of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::outcome::FailKind;
use super::outcome::Outcome;
use super::outcome::RequestFailure;
use crate::error::Ran;

/// The length of a time-line slot in milliseconds.
pub const SLOT_MS: u128 = 100;
/// The significant digits of the histograms; with 3, each takes some tens of kilobytes.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The longest duration that a histogram resolves, in microseconds; longer ones count as this.
const MAX_SPAN_US: u64 = 600_000_000;

/// A histogram of durations, in microseconds.
#[derive(Clone, Debug)]
pub struct Spans(Option<Histogram<u64>>);

impl Default for Spans {
    fn default() -> Self {
        Self(Histogram::new_with_max(MAX_SPAN_US, SIGNIFICANT_DIGITS).ok())
    }
}

impl Spans {
    /// Records a duration.
    pub fn add(&mut self, span: Duration) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(span.as_micros() as u64);
        }
    }

    /// Returns the duration at `quantile` (0 to 1) in milliseconds; `None` if nothing was
    /// recorded.
    #[must_use]
    pub fn at(&self, quantile: f64) -> Option<f64> {
        let histogram = self.0.as_ref().filter(|all| !all.is_empty())?;
        Some(histogram.value_at_quantile(quantile) as f64 / 1000.0)
    }
}

/// The counters and histograms of one class of requests.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests that got a complete and correct answer.
    pub good: u64,
    /// Tokens in these answers.
    pub tokens: u64,
    /// The number of retries.
    pub retries: u64,
    /// Requests that got a complete but wrong answer.
    pub wrong: u64,
    /// Failed requests by kind and by whether they ran, as far as the caller knows.
    pub failures: BTreeMap<(String, String), u64>,
    /// Durations of requests with a good answer.
    pub span: Spans,
    /// Times from when a request was due to its first token.
    pub first: Spans,
    /// Times between consecutive tokens.
    pub between: Spans,
    /// Durations of requests whose last failure states that nothing was run.
    pub refused: Spans,
}

/// What ended in one slot of the time line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slot {
    /// Requests that got a good answer.
    pub good: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Tokens received.
    pub tokens: u64,
}

/// All counts of a run.
#[derive(Clone, Debug)]
pub struct Tally {
    /// The counts of each class, in the scenario's order.
    pub classes: Vec<Counts>,
    /// The time line since the start of the run, warm-up included.
    pub slots: Vec<Slot>,
    /// The length of the counted part of the run, set at its end.
    pub span: Duration,
}

impl Tally {
    /// Creates an empty tally for a number of classes.
    #[must_use]
    pub fn new(classes: usize) -> Self {
        Self {
            classes: vec![Counts::default(); classes],
            slots: Vec::new(),
            span: Duration::ZERO,
        }
    }

    /// Adds tokens received `at` after the run's start to the time line.
    pub fn tokens(&mut self, at: Duration, count: u64) {
        self.slot(at).tokens += count;
    }

    /// Counts a request that ended `at` after the run's start.
    pub fn add(&mut self, class: usize, at: Duration, outcome: &Outcome) {
        match outcome.fail {
            None => self.slot(at).good += 1,
            Some(_) => self.slot(at).failed += 1,
        }
        if let Some(counts) = self.classes.get_mut(class) {
            counts.add(outcome);
        }
    }

    fn slot(&mut self, at: Duration) -> &mut Slot {
        let index = (at.as_millis() / SLOT_MS) as usize;
        if self.slots.len() <= index {
            self.slots.resize(index + 1, Slot::default());
        }
        &mut self.slots[index]
    }
}

impl Counts {
    fn add(&mut self, outcome: &Outcome) {
        self.retries += u64::from(outcome.retries);
        match outcome.fail {
            None => self.add_good(outcome),
            Some(fail) => self.add_failure(outcome, fail),
        }
        if let Some(first) = outcome.first {
            self.first.add(first);
        }
        for gap in &outcome.gaps {
            self.between.add(*gap);
        }
    }

    fn add_good(&mut self, outcome: &Outcome) {
        self.good += 1;
        self.tokens += outcome.tokens as u64;
        self.span.add(outcome.span);
    }

    fn add_failure(&mut self, outcome: &Outcome, fail: RequestFailure) {
        if fail.kind == FailKind::Wrong {
            self.wrong += 1;
        }
        if fail.ran == Ran::No {
            self.refused.add(outcome.span);
        }
        let kind = match fail.kind {
            FailKind::Reported(code) => code.to_string(),
            other => format!("{other:?}").to_lowercase(),
        };
        let key = (kind, fail.ran.to_string());
        *self.failures.entry(key).or_default() += 1;
    }
}
