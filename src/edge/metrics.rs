//! The edge's metrics, exported in the text format of Prometheus.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::metrics::UpDownCounter;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

use super::paths::Choice;
use crate::clock::Millis;
use crate::io::metrics::counter;
use crate::io::metrics::fine_histogram;
use crate::io::metrics::histogram;
use crate::io::metrics::provider;

/// The counters and histograms of an edge daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    crashes: Counter<u64>,
    part_bars: Counter<u64>,
    cut_offs: Counter<u64>,
    detours: Counter<u64>,
    notices: Counter<u64>,
    endpoint_checks: Counter<u64>,
    standings: Counter<u64>,
    dropped_notices: Counter<u64>,
    rooms: Counter<u64>,
    room_wait: Histogram<f64>,
    layer_loads: Counter<u64>,
    probes: Counter<u64>,
    connections: Counter<u64>,
    store_calls: Counter<u64>,
    load_messages: Counter<u64>,
    refusals: Counter<u64>,
    promised: Counter<u64>,
    queued: UpDownCounter<i64>,
    wait_time: Histogram<f64>,
    first_event: Histogram<f64>,
    answer_time: Histogram<f64>,
    startup: Histogram<f64>,
    choice_time: Histogram<f64>,
    load_age: Histogram<f64>,
    links: Counter<u64>,
    loop_delay: Histogram<f64>,
}

impl Metrics {
    /// Creates the counters and histograms, all empty.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let provider = provider(&registry);
        let meter = provider.meter("cornelwharf");
        let histogram = |name, text| histogram(&meter, name, text);
        let counter = |name, text| counter(&meter, name, text);
        Self {
            answers: counter("edge_answers", "Answers to callers, by HTTP status."),
            attempts: counter("edge_attempts", "Attempts at endpoints, by outcome."),
            retries: counter("edge_retries", "Retries asked of the budget, by outcome."),
            crashes: counter("edge_crashes", "Endpoints that crashed under a request."),
            part_bars: counter("edge_part_bars", "Parts of prompts that were barred."),
            cut_offs: counter("edge_cut_offs", "Times that no endpoint was reached."),
            detours: counter("edge_detours", "Requests that another VM answered."),
            notices: counter(
                "edge_endpoint_notices",
                "Endpoints that said that they are leaving or asked for a pause, by kind.",
            ),
            endpoint_checks: counter(
                "edge_endpoint_checks",
                "Looks at an endpoint whose connection broke under a request, by what was seen",
            ),
            load_messages: counter(
                "edge_load_messages",
                "Messages on the load of VMs, by outcome.",
            ),
            standings: counter(
                "edge_failing_endpoints",
                "Plain endpoints found to fail more calls than the others, or no longer to, by outcome.",
            ),
            dropped_notices: counter(
                "edge_dropped_error_notices",
                "Notices of failed calls that could not be read or made no sense.",
            ),
            rooms: counter(
                "edge_room_waits",
                "Calls that waited for room in a plain service or found none, by outcome.",
            ),
            room_wait: histogram("edge_room_wait", "Time that such calls waited."),
            layer_loads: counter(
                "edge_layer_loads",
                "Loads of layers that this VM planned as the leader, by reason.",
            ),
            probes: counter(
                "edge_probes",
                "Probes of engines: sent for a quiet path, saved as the engine was heard from or \
                 asked just now, and again for one that is down or slow.",
            ),
            connections: counter(
                "edge_endpoint_connections",
                "Connections to endpoints for requests and reports, opened or reused.",
            ),
            store_calls: counter("edge_store_calls", "Calls to the store, by outcome."),
            refusals: counter(
                "edge_refusals",
                "Streams refused for lack of room, by priority and whether refused before.",
            ),
            promised: counter(
                "edge_promised",
                "Tokens of refused streams whose callers were told when to come back.",
            ),
            queued: meter
                .i64_up_down_counter("edge_queued")
                .with_description("Streams that wait for room now.")
                .build(),
            wait_time: histogram("edge_wait", "Time that streams waited for room."),
            first_event: histogram("edge_first_event", "Time to the first event of a stream."),
            answer_time: histogram("edge_answer", "Time to the end of an answer."),
            startup: histogram(
                "edge_startup",
                "Time from the start until the VM had what it needs to serve, by step.",
            ),
            choice_time: fine_histogram(
                &meter,
                "edge_path_choice",
                "Time that the choice of a path took, by the power of two of the engines.",
            ),
            load_age: histogram(
                "edge_load_age",
                "Age of other VMs' load at a choice of a path.",
            ),
            links: counter(
                "edge_links",
                "Links between domains as choices of paths found them: open, closed or unknown.",
            ),
            loop_delay: histogram(
                "edge_loop_delay",
                "How much later than planned the VM's timers fired.",
            ),
            registry,
            _provider: provider,
        }
    }

    /// Counts an answer to a caller, and records the time until it ended.
    pub fn record_answer(&self, status: u16, span: Millis) {
        self.answers
            .add(1, &[KeyValue::new("status", i64::from(status))]);
        self.answer_time.record(span.0 as f64, &[]);
    }

    /// Records the time until the first event of a stream.
    pub fn record_first_event(&self, span: Millis) {
        self.first_event.record(span.0 as f64, &[]);
    }

    /// Records the time from the start until the VM had something that it needs to serve.
    pub fn record_startup(&self, step: &str, span: Millis) {
        let step = KeyValue::new("step", step.to_owned());
        self.startup.record(span.0 as f64, &[step]);
    }

    /// Records what a choice of a path took, and what it was made on.
    pub fn record_choice(&self, choice: &Choice) {
        let engines = i64::from(choice.engines.next_power_of_two() as u32);
        self.choice_time
            .record(choice.ms, &[KeyValue::new("engines", engines)]);
        if let Some(age) = choice.age {
            self.load_age.record(age.0 as f64, &[]);
        }
        let states = [
            ("open", choice.links.open),
            ("closed", choice.links.closed),
            ("unknown", choice.links.unknown),
        ];
        for (state, count) in states {
            if count > 0 {
                self.links.add(count, &[KeyValue::new("state", state)]);
            }
        }
    }

    /// Records how much later than planned a timer fired.
    pub fn record_loop_delay(&self, delay: Millis) {
        self.loop_delay.record(delay.0 as f64, &[]);
    }

    /// Counts a stream that was refused for lack of room, with its tokens.
    pub fn count_refusal(&self, priority: u8, is_return: bool, tokens: u32) {
        let class = KeyValue::new("priority", i64::from(priority));
        self.refusals
            .add(1, &[class, KeyValue::new("refused_before", is_return)]);
        self.promised.add(u64::from(tokens), &[]);
    }

    /// Adds to the number of streams that wait for room.
    pub fn add_queued(&self, change: i64) {
        self.queued.add(change, &[]);
    }

    /// Records how long a stream waited for room.
    pub fn record_wait(&self, span: Millis) {
        self.wait_time.record(span.0 as f64, &[]);
    }

    /// Counts an attempt at an endpoint, by outcome.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a message on the load of VMs, by outcome.
    pub fn count_load_message(&self, outcome: &'static str) {
        let outcome = KeyValue::new("outcome", outcome);
        self.load_messages.add(1, &[outcome]);
    }

    /// Counts a retry that was asked of the budget, by outcome.
    pub fn count_retry(&self, outcome: &'static str) {
        self.retries.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an endpoint that crashed under a request.
    pub fn count_crash(&self) {
        self.crashes.add(1, &[]);
    }

    /// Counts loads of layers that this VM planned as the leader.
    pub fn count_layer_loads(&self, loads: usize, reason: &'static str) {
        self.layer_loads
            .add(loads as u64, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a part of prompts that was barred.
    pub fn count_part_bar(&self) {
        self.part_bars.add(1, &[]);
    }

    /// Counts that the VM no longer reaches any endpoint.
    pub fn count_cut_off(&self) {
        self.cut_offs.add(1, &[]);
    }

    /// Counts a request that another VM answered.
    pub fn count_detour(&self) {
        self.detours.add(1, &[]);
    }

    /// Counts an endpoint that said that it is leaving or asked for a pause, by kind.
    pub fn count_notice(&self, kind: &'static str) {
        self.notices.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a look at an endpoint whose connection broke under a request, by what was seen.
    pub fn count_endpoint_check(&self, saw: &'static str) {
        self.endpoint_checks.add(1, &[KeyValue::new("saw", saw)]);
    }

    /// Counts a plain endpoint that was found to fail more calls than the others, or no longer to.
    pub fn count_standing(&self, stands_out: bool) {
        let outcome = if stands_out { "failing" } else { "recovered" };
        self.standings.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts notices of failed calls that could not be read or made no sense.
    pub fn count_dropped_notices(&self, count: u64) {
        self.dropped_notices.add(count, &[]);
    }

    /// Counts a call that waited for room or found none, by outcome, and records how long it waited.
    pub fn record_room(&self, outcome: &'static str, wait: Millis) {
        self.rooms.add(1, &[KeyValue::new("outcome", outcome)]);
        self.room_wait.record(wait.0 as f64, &[]);
    }

    /// Counts a probe of an engine, by what became of it.
    pub fn count_probe(&self, outcome: &'static str) {
        self.probes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a connection to an endpoint that was opened or reused.
    pub fn count_connection(&self, kind: &'static str) {
        self.connections.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a call to the store, by outcome.
    pub fn count_store_call(&self, outcome: &'static str) {
        self.store_calls
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Returns all metrics in the text format, or an empty text if they cannot be encoded.
    pub fn render(&self) -> String {
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(page) => page,
            Err(error) => {
                log::error!(error:% = error; "metrics_not_encoded");
                String::new()
            }
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
