//! Counts and histograms of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::outcome::Fail;
use super::outcome::FailKind;
use super::outcome::Outcome;
use crate::error::Ran;

/// How long one slot of the time line is, in milliseconds.
pub const SLOT_MS: u128 = 100;
/// The significant digits of the histograms; 3 keeps them at some tens of kilobytes.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The longest span that is told apart, in microseconds.
const MAX_SPAN_US: u64 = 600_000_000;

/// Spans, in microseconds.
#[derive(Clone, Debug)]
pub struct Spans(Option<Histogram<u64>>);

impl Default for Spans {
    fn default() -> Self {
        Self(Histogram::new_with_max(MAX_SPAN_US, SIGNIFICANT_DIGITS).ok())
    }
}

impl Spans {
    /// Counts a span.
    pub fn add(&mut self, span: Duration) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(span.as_micros() as u64);
        }
    }

    /// Returns the span that the share `quantile` of all is within, in milliseconds; `None` if
    /// nothing was counted.
    #[must_use]
    pub fn at(&self, quantile: f64) -> Option<f64> {
        let histogram = self.0.as_ref().filter(|all| !all.is_empty())?;
        Some(histogram.value_at_quantile(quantile) as f64 / 1000.0)
    }
}

/// What one class of requests came to.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests with the whole right answer.
    pub good: u64,
    /// Tokens of these.
    pub tokens: u64,
    /// Requests made again.
    pub again: u64,
    /// Whole answers that are wrong.
    pub wrong: u64,
    /// Failures by kind and by what the caller was told of the work.
    pub failures: BTreeMap<(String, String), u64>,
    /// Times of good answers.
    pub span: Spans,
    /// Times to the first token.
    pub first: Spans,
    /// Times between tokens.
    pub between: Spans,
    /// Times of failures that say that nothing was run.
    pub refused: Spans,
}

/// What ended in one slot of the time line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slot {
    /// Good answers.
    pub good: u64,
    /// Failures.
    pub failed: u64,
    /// Tokens.
    pub tokens: u64,
}

/// All counts of a run.
#[derive(Clone, Debug)]
pub struct Tally {
    /// By class, in the scenario's order.
    pub classes: Vec<Counts>,
    /// By time.
    pub slots: Vec<Slot>,
    /// How long the counted part of the run took.
    pub span: Duration,
}

impl Tally {
    /// Starts without counts.
    #[must_use]
    pub fn new(classes: usize) -> Self {
        Self {
            classes: vec![Counts::default(); classes],
            slots: Vec::new(),
            span: Duration::ZERO,
        }
    }

    /// Counts tokens in the time line.
    pub fn tokens(&mut self, at: Duration, count: u64) {
        self.slot(at).tokens += count;
    }

    /// Counts a request that ended `at` after the run's start.
    pub fn add(&mut self, class: usize, at: Duration, done: &Outcome) {
        match done.fail {
            None => self.slot(at).good += 1,
            Some(_) => self.slot(at).failed += 1,
        }
        if let Some(counts) = self.classes.get_mut(class) {
            counts.add(done);
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
    fn add(&mut self, done: &Outcome) {
        self.again += u64::from(done.again);
        match done.fail {
            None => self.add_good(done),
            Some(fail) => self.add_failure(done, fail),
        }
        if let Some(first) = done.first {
            self.first.add(first);
        }
        for gap in &done.gaps {
            self.between.add(*gap);
        }
    }

    fn add_good(&mut self, done: &Outcome) {
        self.good += 1;
        self.tokens += done.tokens as u64;
        self.span.add(done.span);
    }

    fn add_failure(&mut self, done: &Outcome, fail: Fail) {
        if fail.kind == FailKind::Wrong {
            self.wrong += 1;
        }
        if fail.ran == Ran::No {
            self.refused.add(done.span);
        }
        let kind = match fail.kind {
            FailKind::Reported(code) => code.to_string(),
            other => format!("{other:?}").to_lowercase(),
        };
        let key = (kind, fail.ran.to_string());
        *self.failures.entry(key).or_default() += 1;
    }
}
