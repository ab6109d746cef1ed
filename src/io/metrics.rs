//! Metrics by OpenTelemetry, on a page that Prometheus reads.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::clock::Millis;

/// The bounds of the histograms, in milliseconds.
const BUCKETS_MS: [f64; 12] = [
    1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 125.0, 250.0, 500.0, 1000.0, 2000.0,
];

/// Returns what makes instruments whose values `registry` collects; without an exporter they count
/// for nobody.
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

/// Returns a histogram of times, in milliseconds.
pub fn histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    let builder = meter.f64_histogram(name).with_description(description);
    builder
        .with_unit("ms")
        .with_boundaries(BUCKETS_MS.to_vec())
        .build()
}

/// Returns a counter.
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
    /// Keeps the instruments alive.
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
    /// Creates the instruments.
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

    /// Counts an answer.
    pub fn answer(&self, status: u16) {
        self.answers
            .add(1, &[KeyValue::new("status", i64::from(status))]);
    }

    /// Counts the time of a call on a plain service.
    pub fn call(&self, time: Millis) {
        self.calls.record(time.0 as f64, &[]);
    }

    /// Counts a token; the first one of an answer apart from the others.
    pub fn token(&self, is_first: bool, time: Millis) {
        self.tokens.add(1, &[]);
        let histogram = if is_first {
            &self.first_token
        } else {
            &self.between_tokens
        };
        histogram.record(time.0 as f64, &[]);
    }

    /// Counts an engine's reply.
    pub fn hop_reply(&self) {
        self.hops.add(1, &[]);
    }

    /// Counts the bytes of a message to another daemon.
    pub fn peer_bytes_sent(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
    }

    /// Returns the page that Prometheus reads.
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
