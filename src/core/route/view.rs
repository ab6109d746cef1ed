//! One VM's view of one endpoint: the endpoint's last load report, this VM's own requests since
//! then, and the peers' hints.

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

/// Changes of the number of own requests within this interval are stored as one entry.
const CHANGE_INTERVAL: Millis = Millis(20);
/// The most entries kept; every report counts older changes by then.
const MAX_CHANGES: usize = 128;
/// The most peers whose hints are kept for one endpoint.
const MAX_HINT_PEERS: usize = 16;
/// The shortest suspicion timeout.
const MIN_SUSPICION: Millis = Millis(200);
/// The longest suspicion timeout, also used before any time is measured.
const MAX_SUSPICION: Millis = Millis::seconds(5);
/// The service time assumed before one is measured, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 20.0;
/// The weight of the measured step times in the expected wait; the counted load has the rest.
const MEASURED_WEIGHT: f64 = 0.7;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// An endpoint's report of its own load; it may be stale.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// When the endpoint measured its load.
    pub at: Millis,
    /// How many requests it runs.
    pub running: u32,
    /// How many requests it has queued.
    pub waiting: u32,
    /// The free part of its KV cache, in thousandths.
    pub free_kv: u32,
    /// Whether the endpoint is leaving and takes no new work.
    pub leaving: bool,
}

/// How work on an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint sent its whole answer.
    Ok,
    /// The endpoint failed or stopped answering.
    Failed,
    /// The endpoint refused the work without running it, or the work was dropped for another
    /// reason than a fault of the endpoint.
    Unrun,
}

/// A VM's change in requests on an endpoint that the endpoint's last report doesn't count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreportedLoad {
    /// When the last report that the VM knows was measured; 0 if it knows none.
    pub report_at: Millis,
    /// The requests started since that report, less those that ended.
    pub count: i32,
}

#[derive(Clone, Copy, Debug)]
struct LoadChange {
    at: Millis,
    count: i32,
}

/// One VM's view of one endpoint.
#[derive(Clone, Debug)]
pub struct View {
    /// Tracks failures and ejects the endpoint.
    pub health: Health,
    /// An estimate of the contents of its prefix cache.
    pub prefix: PrefixSet,
    /// Whether the endpoint is leaving or has crashed, so that it gets no new work.
    pub leaving: bool,
    /// Until when the endpoint asked this VM to send it nothing.
    paused_until: Millis,
    pub(super) layers: Option<Layers>,
    pub(super) slots: u32,
    pub(super) delay: Millis,
    pub(super) weight: f64,
    /// The configured token steps per second; 0 if there is none.
    rate: f64,
    /// The newest report.
    report: Option<Report>,
    in_flight: u32,
    /// The changes of `in_flight` since the report.
    changes: VecDeque<LoadChange>,
    /// The latest hint of each peer that is based on the newest report.
    hints: BTreeMap<Vm, UnreportedLoad>,
    /// The average cost of own work in token steps.
    mean_cost: f64,
    /// The time from the start of successful work to its end.
    service_time: Timing,
    /// The time from sending a step to its answer.
    step_time: Timing,
}

impl View {
    /// Creates a view from the endpoint's configuration alone.
    #[must_use]
    pub fn new(endpoint: &Endpoint) -> Self {
        Self {
            health: Health::default(),
            prefix: PrefixSet::default(),
            leaving: false,
            paused_until: Millis(0),
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

    /// Applies a changed configuration and keeps everything that was measured.
    pub fn update(&mut self, endpoint: &Endpoint) {
        self.layers = endpoint.layers;
        self.slots = endpoint.slots;
        self.delay = endpoint.delay;
        self.rate = f64::from(endpoint.rate);
    }

    /// Returns whether the endpoint may get new work.
    #[must_use]
    pub fn usable(&self, now: Millis) -> bool {
        !self.leaving && now >= self.paused_until && self.health.usable(now)
    }

    /// Records that the endpoint asked this VM to send it nothing until the given time. Neither a
    /// success nor a report ends that.
    pub fn pause(&mut self, until: Millis) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Returns when the endpoint's pause ends and its ejection ends or ended; `None` if it has
    /// neither.
    #[must_use]
    pub fn returns_at(&self, now: Millis) -> Option<Millis> {
        let paused_until = Some(self.paused_until).filter(|until| *until > now);
        self.health.ejected_until().max(paused_until)
    }

    /// Returns how many of this VM's requests are in progress.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Applies a report unless it is older than the known one, and drops hints based on an older
    /// report.
    pub fn apply_report(&mut self, report: Report) {
        if self
            .report
            .as_ref()
            .is_some_and(|known| known.at >= report.at)
        {
            return;
        }
        self.leaving |= report.leaving;
        self.changes.retain(|change| change.at > report.at);
        self.hints.retain(|_, hint| hint.report_at >= report.at);
        self.report = Some(report);
    }

    /// Applies a peer's hint. It is ignored if it is based on an older report, or if hints of the
    /// maximum number of peers are stored already.
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

    /// Returns the load that peers can't see in the endpoint's report, to be sent as a hint.
    #[must_use]
    pub fn unreported(&self) -> UnreportedLoad {
        UnreportedLoad {
            report_at: self.report.as_ref().map_or(Millis(0), |known| known.at),
            count: self.unreported_count(),
        }
    }

    /// Records that this VM sent work of `cost` token steps.
    pub fn started(&mut self, now: Millis, cost: u32) {
        self.in_flight += 1;
        self.mean_cost += GAIN * (f64::from(cost) - self.mean_cost);
        self.health.started();
        self.record_change(now, 1);
    }

    /// Records that this VM's work ended, `took` after its start.
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

    /// Records the time between sending a step and receiving its answer.
    pub fn answered(&mut self, span: Millis) {
        self.step_time.record(span);
    }

    /// Returns the change in own requests since the report, or all own requests if there is none.
    fn unreported_count(&self) -> i32 {
        if self.report.is_none() {
            return i32::try_from(self.in_flight).unwrap_or(i32::MAX);
        }
        self.changes.iter().map(|change| change.count).sum()
    }

    /// Returns how many requests the endpoint is expected to have now. The hints are multiplied by
    /// `scale`, the number of peers per peer whose hint is known.
    #[must_use]
    pub fn load(&self, scale: f64) -> f64 {
        let reported = self.report.as_ref().map_or(0.0, |known| {
            f64::from(known.running) + f64::from(known.waiting)
        });
        let hinted: i32 = self.hints.values().map(|hint| hint.count).sum();
        let all = reported + f64::from(self.unreported_count()) + f64::from(hinted) * scale;
        all.max(f64::from(self.in_flight))
    }

    /// Returns the number of peers whose hints are known.
    #[must_use]
    pub fn hinting_peers(&self) -> usize {
        self.hints.len()
    }

    /// Returns the work per second (token steps or plain requests), from the configuration or else
    /// from recent service times.
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

    /// Returns the milliseconds until work of `cost` token steps is done behind `load` requests,
    /// computed from the endpoint's speed alone.
    #[must_use]
    pub fn counted_wait(&self, load: f64, cost: f64) -> f64 {
        (load * self.mean_cost + cost) * MILLIS_PER_SECOND / self.speed()
    }

    /// Returns the configured round-trip time of the endpoint's link.
    #[must_use]
    pub fn round_trip_ms(&self) -> f64 {
        2.0 * self.delay.0 as f64
    }

    /// Returns the expected milliseconds for `cost` token steps behind `load` requests. This blends
    /// the wait by counted load with the recent step times: the count alone misjudges an endpoint
    /// whose sessions spend their time on other endpoints of their chains, and step times alone
    /// react slowly to new work.
    #[must_use]
    pub fn expected_wait(&self, load: f64, cost: f64) -> f64 {
        let counted = self.counted_wait(load, cost);
        self.step_time.mean().map_or(counted, |mean| {
            let measured = (mean - self.round_trip_ms()).max(0.0) * cost;
            MEASURED_WEIGHT * measured + (1.0 - MEASURED_WEIGHT) * counted
        })
    }

    /// Returns how long the endpoint may stay silent before it is suspected to have failed.
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
