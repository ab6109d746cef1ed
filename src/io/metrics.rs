//! OpenTelemetry metrics, exported in the text format of Prometheus.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::clock::Millis;

/// The upper bounds of the histogram buckets, in milliseconds.
const BUCKETS_MS: [f64; 12] = [
    1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 125.0, 250.0, 500.0, 1000.0, 2000.0,
];

/// The upper bounds of the buckets for the time of computations, in milliseconds.
const FINE_BUCKETS_MS: [f64; 11] = [0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0];

/// Creates a meter provider that exports to `registry`. If the exporter cannot be built, an error
/// is logged and the instruments are not exported.
pub fn provider(registry: &Registry) -> SdkMeterProvider {
    let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
    match exporter.build() {
        Ok(reader) => SdkMeterProvider::builder().with_reader(reader).build(),
        Err(error) => {
            log::error!(error:% = error; "metrics_off");
            SdkMeterProvider::default()
        }
    }
}

/// Creates a histogram of durations, in milliseconds.
pub fn histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    let builder = meter.f64_histogram(name).with_description(description);
    builder
        .with_unit("ms")
        .with_boundaries(BUCKETS_MS.to_vec())
        .build()
}

/// Creates a histogram of the time that computations take, in milliseconds.
pub fn fine_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    let builder = meter.f64_histogram(name).with_description(description);
    builder
        .with_unit("ms")
        .with_boundaries(FINE_BUCKETS_MS.to_vec())
        .build()
}

/// Creates a counter that starts at 0.
pub fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

/// The counters and histograms of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Held because the instruments stop working when it is dropped.
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    tokens: Counter<u64>,
    hops: Counter<u64>,
    peer_bytes: Counter<u64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    calls: Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments in a registry of their own.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let provider = provider(&registry);
        let meter = provider.meter("cornelwharf");
        let histogram = |name, description| histogram(&meter, name, description);
        let counter = |name, description| counter(&meter, name, description);
        Self {
            answers: counter("answers", "Answers to callers, by HTTP status."),
            tokens: counter("tokens", "Tokens given to callers."),
            hops: counter("hops", "Replies of model engines to hops."),
            peer_bytes: counter("peer_bytes", "Bytes sent to other daemons."),
            first_token: histogram("first_token", "Time to the first token."),
            between_tokens: histogram("between_tokens", "Time between tokens."),
            calls: histogram("calls", "Time of calls on plain services."),
            registry,
            _provider: provider,
        }
    }

    /// Counts an answer to a caller by its HTTP status.
    pub fn answer(&self, status: u16) {
        self.answers
            .add(1, &[KeyValue::new("status", i64::from(status))]);
    }

    /// Records how long a call to a plain service took.
    pub fn call(&self, time: Millis) {
        self.calls.record(time.0 as f64, &[]);
    }

    /// Counts a token and records the time since the previous one, or since the start of the
    /// request for the first.
    pub fn token(&self, is_first: bool, time: Millis) {
        self.tokens.add(1, &[]);
        let histogram = if is_first {
            &self.first_token
        } else {
            &self.between_tokens
        };
        histogram.record(time.0 as f64, &[]);
    }

    /// Counts a reply of a model engine to a hop.
    pub fn hop_reply(&self) {
        self.hops.add(1, &[]);
    }

    /// Adds the size of a message to another daemon, in bytes.
    pub fn peer_bytes_sent(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
    }

    /// Renders all metrics in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
