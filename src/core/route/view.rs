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
const CHANGE_INTERVAL: Millis = Millis(20);
/// The most steps of own changes that are kept; older ones are in every report by then.
const MAX_CHANGES: usize = 128;
/// The most peers whose hints are kept for one endpoint.
const MAX_HINT_PEERS: usize = 16;
/// No suspicion before this span.
const MIN_SUSPICION: Millis = Millis(200);
/// Suspicion after this span at the latest; also before any time is known.
const MAX_SUSPICION: Millis = Millis::seconds(5);
/// The service time assumed before one is known, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 20.0;
/// The weight of measured step times against the counted load in the expected wait.
const MEASURED_WEIGHT: f64 = 0.7;
/// The milliseconds of a second, as a float.
const MILLIS_PER_SECOND: f64 = 1000.0;

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
    pub free_kv: u32,
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
pub struct UnreportedLoad {
    /// When the report that this adds to was measured.
    pub report_at: Millis,
    /// The requests, less those that ended since.
    pub count: i32,
}

#[derive(Clone, Copy, Debug)]
struct LoadChange {
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
    in_flight: u32,
    changes: VecDeque<LoadChange>,
    hints: BTreeMap<Vm, UnreportedLoad>,
    mean_cost: f64,
    service_time: Timing,
    step_time: Timing,
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
            in_flight: 0,
            changes: VecDeque::new(),
            hints: BTreeMap::new(),
            mean_cost: 1.0,
            service_time: Timing::default(),
            step_time: Timing::default(),
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
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes in a report, unless a newer one is known; hints that add to older ones lapse.
    pub fn apply_report(&mut self, report: Report) {
        if self
            .report
            .as_ref()
            .is_some_and(|known| known.at >= report.at)
        {
            return;
        }
        self.leaving |= report.leaving;
        self.changes.retain(|step| step.at > report.at);
        self.hints.retain(|_, hint| hint.report_at >= report.at);
        self.report = Some(report);
    }

    /// Takes in a peer's hint; those of further peers than are kept are dropped.
    pub fn apply_hint(&mut self, vm: &Vm, unreported: UnreportedLoad) {
        let old = self
            .report
            .as_ref()
            .is_some_and(|known| known.at > unreported.report_at);
        let full = self.hints.len() >= MAX_HINT_PEERS && !self.hints.contains_key(vm);
        if !old && !full {
            self.hints.insert(vm.clone(), unreported);
        }
    }

    /// Returns the hint that peers need of this VM.
    #[must_use]
    pub fn unreported(&self) -> UnreportedLoad {
        UnreportedLoad {
            report_at: self.report.as_ref().map_or(Millis(0), |known| known.at),
            count: self.unreported_count(),
        }
    }

    /// Notes own work that was sent.
    pub fn started(&mut self, now: Millis, cost: u32) {
        self.in_flight += 1;
        self.mean_cost += GAIN * (f64::from(cost) - self.mean_cost);
        self.health.started();
        self.record_change(now, 1);
    }

    /// Notes the end of own work.
    pub fn ended(&mut self, now: Millis, took: Millis, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_change(now, -1);
        match outcome {
            Outcome::Ok => {
                self.health.succeeded();
                self.service_time.record(took);
            }
            Outcome::Failed => self.health.failed(now),
            Outcome::Unrun => self.health.refused(),
        }
    }

    fn record_change(&mut self, now: Millis, count: i32) {
        match self.changes.back_mut() {
            Some(last) if now.since(last.at) < CHANGE_INTERVAL => last.count += count,
            _ => self.changes.push_back(LoadChange { at: now, count }),
        }
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Notes the span between a step that was sent and its answer.
    pub fn answered(&mut self, span: Millis) {
        self.step_time.record(span);
    }

    /// Returns the own change since the report, or all own work if there is no report.
    fn unreported_count(&self) -> i32 {
        if self.report.is_none() {
            return i32::try_from(self.in_flight).unwrap_or(i32::MAX);
        }
        self.changes.iter().map(|step| step.count).sum()
    }

    /// Returns the requests that are expected on the endpoint now, where `scale` is the number of
    /// peers for each peer whose hint is known.
    #[must_use]
    pub fn load(&self, scale: f64) -> f64 {
        let reported = self.report.as_ref().map_or(0.0, |known| {
            f64::from(known.running) + f64::from(known.waiting)
        });
        let hinted: i32 = self.hints.values().map(|hint| hint.count).sum();
        let all = reported + f64::from(self.unreported_count()) + f64::from(hinted) * scale;
        all.max(f64::from(self.in_flight))
    }

    /// Returns the number of peers whose hints count.
    #[must_use]
    pub fn hinting_peers(&self) -> usize {
        self.hints.len()
    }

    /// Returns the units of work a second, from the configuration or from recent times.
    #[must_use]
    pub fn speed(&self) -> f64 {
        if self.rate > 0.0 {
            return self.rate;
        }
        f64::from(self.slots) * MILLIS_PER_SECOND
            / self
                .service_time
                .mean()
                .unwrap_or(DEFAULT_SERVICE_MS)
                .max(1.0)
    }

    /// Returns the milliseconds until work of `cost` units would be done behind `load` requests.
    #[must_use]
    pub fn counted_wait(&self, load: f64, cost: f64) -> f64 {
        (load * self.mean_cost + cost) * MILLIS_PER_SECOND / self.speed()
    }

    /// Returns the milliseconds of a round trip on the link.
    #[must_use]
    pub fn round_trip_ms(&self) -> f64 {
        2.0 * self.delay.0 as f64
    }

    /// Returns the expected milliseconds for `cost` units behind `load` requests: the counted load
    /// blended with what steps took of late. The count alone misjudges an endpoint whose sessions
    /// spend their time elsewhere in their chains; the steps alone are slow to show new work.
    #[must_use]
    pub fn expected_wait(&self, load: f64, cost: f64) -> f64 {
        let counted = self.counted_wait(load, cost);
        self.step_time.mean().map_or(counted, |mean| {
            let measured = (mean - self.round_trip_ms()).max(0.0) * cost;
            MEASURED_WEIGHT * measured + (1.0 - MEASURED_WEIGHT) * counted
        })
    }

    /// Returns after which silence the endpoint is to be suspected.
    #[must_use]
    pub fn suspicion_timeout(&self) -> Millis {
        self.step_time
            .upper_bound()
            .or(self.service_time.upper_bound())
            .map_or(MAX_SUSPICION, |span| {
                span.clamp(MIN_SUSPICION, MAX_SUSPICION)
            })
    }
}
