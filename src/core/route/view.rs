//! What one VM knows of one endpoint: an old report, its own work since, and peers' hints.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::health::Health;
use super::prefix::PrefixSet;
use super::timing::GAIN;
use super::timing::Timing;
use crate::clock::Millis;
use crate::core::config::object::Endpoint;
use crate::core::config::object::Layers;
use crate::names::Vm;

/// Own changes are kept in steps of this span.
const LEDGER_STEP: Millis = Millis(20);
/// The most steps of own changes that are kept; older ones are in every report by then.
const LEDGER_STEPS: usize = 128;
/// The most peers whose hints are kept for one endpoint.
const HINT_PEERS: usize = 16;
/// No suspicion before this span.
const PATIENCE_FLOOR: Millis = Millis(200);
/// Suspicion after this span at the latest; also before any time is known.
const PATIENCE_CEILING: Millis = Millis::seconds(5);
/// The service time assumed before one is known, in milliseconds.
const TOOK_FIRST: f64 = 20.0;
/// The milliseconds of a second, as a float.
const SECOND: f64 = 1000.0;

/// An endpoint's own report of its load; it may be old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// When the endpoint measured it.
    pub at: Millis,
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The free share of its KV cache, in thousandths.
    pub free: u32,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
}

/// How work on an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It gave its whole answer.
    Ok,
    /// It failed or fell silent.
    Failed,
    /// The endpoint refused it unrun.
    Unrun,
}

/// Requests that a peer holds on an endpoint beyond what the report of `base` counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Surplus {
    /// When the report that this adds to was measured.
    pub base: Millis,
    /// The requests, less those that ended since.
    pub count: i32,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    at: Millis,
    count: i32,
}

/// What one VM knows of one endpoint.
#[derive(Clone, Debug)]
pub struct View {
    /// The failure record.
    pub health: Health,
    /// What its prefix cache is believed to hold.
    pub prefix: PrefixSet,
    /// Whether it is leaving: it gets no new work.
    pub leaving: bool,
    pub(super) layers: Option<Layers>,
    pub(super) slots: u32,
    pub(super) delay: Millis,
    pub(super) weight: f64,
    rate: f64,
    report: Option<Report>,
    own: u32,
    ledger: VecDeque<Step>,
    hints: BTreeMap<Vm, Surplus>,
    cost: f64,
    took: Timing,
    step: Timing,
}

impl View {
    /// Creates the view of an endpoint of which only the configuration is known.
    #[must_use]
    pub fn new(endpoint: &Endpoint) -> Self {
        Self {
            health: Health::default(),
            prefix: PrefixSet::default(),
            leaving: false,
            layers: endpoint.layers,
            slots: endpoint.slots,
            delay: endpoint.delay,
            weight: 1.0,
            rate: f64::from(endpoint.rate),
            report: None,
            own: 0,
            ledger: VecDeque::new(),
            hints: BTreeMap::new(),
            cost: 1.0,
            took: Timing::default(),
            step: Timing::default(),
        }
    }

    /// Takes over a changed configuration and keeps what was learnt.
    pub fn update(&mut self, endpoint: &Endpoint) {
        self.layers = endpoint.layers;
        self.slots = endpoint.slots;
        self.delay = endpoint.delay;
        self.rate = f64::from(endpoint.rate);
    }

    /// Returns whether the endpoint may get new work.
    #[must_use]
    pub fn usable(&self, now: Millis) -> bool {
        !self.leaving && self.health.usable(now)
    }

    /// Returns the own requests in progress.
    #[must_use]
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Takes in a report, unless a newer one is known; hints that add to older ones lapse.
    pub fn report(&mut self, report: Report) {
        if self
            .report
            .as_ref()
            .is_some_and(|known| known.at >= report.at)
        {
            return;
        }
        self.leaving |= report.leaving;
        self.ledger.retain(|step| step.at > report.at);
        self.hints.retain(|_, hint| hint.base >= report.at);
        self.report = Some(report);
    }

    /// Takes in a peer's hint; those of further peers than are kept are dropped.
    pub fn hint(&mut self, vm: &Vm, surplus: Surplus) {
        let old = self
            .report
            .as_ref()
            .is_some_and(|known| known.at > surplus.base);
        let full = self.hints.len() >= HINT_PEERS && !self.hints.contains_key(vm);
        if !old && !full {
            self.hints.insert(vm.clone(), surplus);
        }
    }

    /// Returns the hint that peers need of this VM.
    #[must_use]
    pub fn surplus(&self) -> Surplus {
        Surplus {
            base: self.report.as_ref().map_or(Millis(0), |known| known.at),
            count: self.since(),
        }
    }

    /// Notes own work that was sent.
    pub fn started(&mut self, now: Millis, cost: u32) {
        self.own += 1;
        self.cost += GAIN * (f64::from(cost) - self.cost);
        self.health.started();
        self.note(now, 1);
    }

    /// Notes the end of own work.
    pub fn ended(&mut self, now: Millis, took: Millis, outcome: Outcome) {
        self.own = self.own.saturating_sub(1);
        self.note(now, -1);
        match outcome {
            Outcome::Ok => {
                self.health.succeeded();
                self.took.learn(took);
            }
            Outcome::Failed => self.health.failed(now),
            Outcome::Unrun => self.health.refused(),
        }
    }

    fn note(&mut self, now: Millis, count: i32) {
        match self.ledger.back_mut() {
            Some(last) if now.since(last.at) < LEDGER_STEP => last.count += count,
            _ => self.ledger.push_back(Step { at: now, count }),
        }
        if self.ledger.len() > LEDGER_STEPS {
            self.ledger.pop_front();
        }
    }

    /// Notes the span between a step that was sent and its answer.
    pub fn answered(&mut self, span: Millis) {
        self.step.learn(span);
    }

    /// Returns the own change since the report, or all own work if there is no report.
    fn since(&self) -> i32 {
        if self.report.is_none() {
            return i32::try_from(self.own).unwrap_or(i32::MAX);
        }
        self.ledger.iter().map(|step| step.count).sum()
    }

    /// Returns the requests that are expected on the endpoint now, where `scale` is the number of
    /// peers for each peer whose hint is known.
    #[must_use]
    pub fn load(&self, scale: f64) -> f64 {
        let reported = self.report.as_ref().map_or(0.0, |known| {
            f64::from(known.running) + f64::from(known.waiting)
        });
        let hinted: i32 = self.hints.values().map(|hint| hint.count).sum();
        let all = reported + f64::from(self.since()) + f64::from(hinted) * scale;
        all.max(f64::from(self.own))
    }

    /// Returns the number of peers whose hints count.
    #[must_use]
    pub fn hinted(&self) -> usize {
        self.hints.len()
    }

    /// Returns the units of work a second, from the configuration or from recent times.
    #[must_use]
    pub fn speed(&self) -> f64 {
        if self.rate > 0.0 {
            return self.rate;
        }
        f64::from(self.slots) * SECOND / self.took.mean().unwrap_or(TOOK_FIRST).max(1.0)
    }

    /// Returns the milliseconds until work of `cost` units would be done behind `load` requests.
    #[must_use]
    pub fn wait(&self, load: f64, cost: f64) -> f64 {
        (load * self.cost + cost) * SECOND / self.speed()
    }

    /// Returns after which silence the endpoint is to be suspected.
    #[must_use]
    pub fn patience(&self) -> Millis {
        self.step
            .limit()
            .or(self.took.limit())
            .map_or(PATIENCE_CEILING, |span| {
                span.clamp(PATIENCE_FLOOR, PATIENCE_CEILING)
            })
    }
}
