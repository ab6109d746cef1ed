//! The report of a run, as JSON and as a text table.

use std::fmt::Write;

use serde::Serialize;
use tabled::Table;
use tabled::Tabled;
use tabled::settings::Style;

pub use super::bound::Bound;
pub use super::effects::Effects;
use super::scenario::Scenario;
use super::scenario::Work;
use super::tally::Counts;
use super::tally::SLOT_MS;
use super::tally::Slot;
use super::tally::Spans;
use super::tally::Tally;
use crate::clock::Millis;
use crate::names::Team;

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The name of the scenario that was run.
    pub name: String,
    /// The seed of arrivals and contents.
    pub seed: u64,
    /// The length of the counted part of the run (without warm-up), in seconds.
    pub seconds: f64,
    /// The results of each class, in the scenario's order.
    pub classes: Vec<ClassReport>,
    /// Tokens received per second in the counted part, over all models.
    pub tokens: f64,
    /// The maximum rate of each model; empty if no intent was given.
    pub bounds: Vec<Bound>,
    /// The check of keyed calls against the counted effects.
    pub effects: Effects,
    /// What ended in each slot of [`SLOT_MS`] since the start.
    pub slots: Vec<SlotReport>,
}

/// The results of one class; times in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// The calling team.
    pub team: Team,
    /// The kind of request: `plain`, `keyed`, or the model with `streamed` or `whole`.
    pub work: String,
    /// Good answers per second to requests that were due in the counted part.
    pub goodput: f64,
    /// Requests that got a complete and correct answer.
    pub good: u64,
    /// Requests that got a complete but wrong answer.
    pub wrong: u64,
    /// The number of retries.
    pub again: u64,
    /// Failed requests, by kind and by whether they ran.
    pub failures: Vec<Failures>,
    /// Durations of requests with a good answer.
    pub latency: Percentiles,
    /// Times from when a request was due to its first token.
    pub first: Percentiles,
    /// Times between consecutive tokens.
    pub between: Percentiles,
    /// Durations of requests whose last failure states that nothing was run.
    pub refused: Percentiles,
}

/// The number of failed requests of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct Failures {
    /// The daemon's error code, or the kind of failure that the caller saw.
    pub kind: String,
    /// Whether the requests ran, as far as the caller knows.
    pub ran: String,
    /// The number of requests.
    pub count: u64,
}

/// Percentiles in milliseconds; `None` if nothing was counted.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: Option<f64>,
    /// The 95th percentile.
    pub p95: Option<f64>,
    /// The 99th percentile.
    pub p99: Option<f64>,
    /// The maximum.
    pub most: Option<f64>,
}

/// What ended in one slot of the time line.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SlotReport {
    /// Requests that got a good answer.
    pub good: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Tokens received.
    pub tokens: u64,
}

#[derive(Tabled)]
struct Row {
    team: Team,
    work: String,
    #[tabled(rename = "good/s")]
    goodput: String,
    good: u64,
    failed: u64,
    wrong: u64,
    again: u64,
    #[tabled(rename = "ms p50/p95/p99")]
    latency: String,
    #[tabled(rename = "first token")]
    first: String,
    #[tabled(rename = "between tokens")]
    between: String,
    #[tabled(rename = "refused in")]
    refused: String,
}

impl Report {
    /// Computes the results of a run from its counts.
    pub fn new(scenario: &Scenario, tally: &Tally, bounds: Vec<Bound>, effects: Effects) -> Self {
        let seconds = tally.span.as_secs_f64().max(f64::EPSILON);
        let slots = |span: Millis| (u128::from(span.0) / SLOT_MS) as usize;
        let counted = slots(scenario.warmup)..slots(scenario.span);
        let given: u64 = tally
            .slots
            .iter()
            .take(counted.end)
            .skip(counted.start)
            .map(|slot| slot.tokens)
            .sum();
        let classes = scenario
            .classes
            .iter()
            .zip(&tally.classes)
            .map(|(class, counts)| {
                ClassReport::new(class.team.clone(), &class.work, counts, seconds)
            })
            .collect();
        Self {
            name: scenario.name.clone(),
            seed: scenario.seed,
            seconds,
            classes,
            tokens: given as f64 / seconds,
            bounds,
            effects,
            slots: tally.slots.iter().copied().map(SlotReport::from).collect(),
        }
    }

    /// Returns whether no answer was wrong and no keyed call's answer untrue.
    #[must_use]
    pub fn is_correct(&self) -> bool {
        self.effects.are_correct() && self.classes.iter().all(|line| line.wrong == 0)
    }

    /// Returns the figures as text.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!(
            "{}, seed {}, {} s counted\n",
            self.name, self.seed, self.seconds
        );
        let rows = self.classes.iter().map(Row::from);
        let _ = writeln!(text, "{}", Table::new(rows).with(Style::psql()));
        self.failures(&mut text);
        if self.tokens > 0.0 {
            let _ = writeln!(text, "tokens/s: {:.0}", self.tokens);
        }
        for bound in &self.bounds {
            let _ = writeln!(
                text,
                "bound of {}: {:.0} tokens/s, by layers {} of {}; measured of it: {:.3}",
                bound.service,
                bound.rate,
                bound.layers,
                names(bound),
                self.tokens / bound.rate
            );
        }
        let Effects {
            calls,
            doubled,
            lost,
            untrue,
            silent,
        } = self.effects;
        let _ = writeln!(
            text,
            "keyed calls: {calls}, doubled {doubled}, lost {lost}, untrue {untrue}, \
             services silent {silent}"
        );
        text
    }

    fn failures(&self, text: &mut String) {
        for line in &self.classes {
            for Failures { kind, ran, count } in &line.failures {
                let team = &line.team;
                let _ = writeln!(
                    text,
                    "{team} {}: {count} failed: {kind}, ran: {ran}",
                    line.work
                );
            }
        }
    }
}

fn names(bound: &Bound) -> String {
    let names: Vec<&str> = bound.cut.iter().map(AsRef::as_ref).collect();
    names.join(" ")
}

impl ClassReport {
    fn new(team: Team, work: &Work, counts: &Counts, seconds: f64) -> Self {
        let failure = |(key, count): (&(String, String), &u64)| Failures {
            kind: key.0.clone(),
            ran: key.1.clone(),
            count: *count,
        };
        Self {
            team,
            work: describe(work),
            goodput: counts.good as f64 / seconds,
            good: counts.good,
            wrong: counts.wrong,
            again: counts.retries,
            failures: counts.failures.iter().map(failure).collect(),
            latency: Percentiles::of(&counts.span),
            first: Percentiles::of(&counts.first),
            between: Percentiles::of(&counts.between),
            refused: Percentiles::of(&counts.refused),
        }
    }
}

fn describe(work: &Work) -> String {
    match work {
        Work::Plain { .. } => "plain".to_owned(),
        Work::Keyed { .. } => "keyed".to_owned(),
        Work::Completion(work) if work.stream => format!("{} streamed", work.model),
        Work::Completion(work) => format!("{} whole", work.model),
    }
}

impl Percentiles {
    fn of(spans: &Spans) -> Self {
        Self {
            p50: spans.at(0.5),
            p95: spans.at(0.95),
            p99: spans.at(0.99),
            most: spans.at(1.0),
        }
    }

    fn text(&self) -> String {
        match (self.p50, self.p95, self.p99) {
            (Some(p50), Some(p95), Some(p99)) => format!("{p50:.1}/{p95:.1}/{p99:.1}"),
            _ => "-".to_owned(),
        }
    }
}

impl From<Slot> for SlotReport {
    fn from(slot: Slot) -> Self {
        Self {
            good: slot.good,
            failed: slot.failed,
            tokens: slot.tokens,
        }
    }
}

impl From<&ClassReport> for Row {
    fn from(line: &ClassReport) -> Self {
        Self {
            team: line.team.clone(),
            work: line.work.clone(),
            goodput: format!("{:.1}", line.goodput),
            good: line.good,
            failed: line.failures.iter().map(|one| one.count).sum(),
            wrong: line.wrong,
            again: line.again,
            latency: line.latency.text(),
            first: line.first.text(),
            between: line.between.text(),
            refused: line.refused.text(),
        }
    }
}
