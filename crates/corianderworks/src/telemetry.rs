//! Logs and metrics.

use std::io::IsTerminal;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_lists::settings::LogFormat;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use tracing_subscriber::EnvFilter;

use crate::reasons::Reason;

/// Prefix of every metric.
const NAMESPACE: &str = "corianderworks";

/// Limits of the buckets of added latency, in seconds. The target is 2.1 ms.
const ADDED_LATENCY_BOUNDS_S: [f64; 10] = [
    0.000_1, 0.000_2, 0.000_5, 0.001, 0.001_5, 0.002_1, 0.003, 0.005, 0.01, 0.1,
];

/// Filter in use unless `RUST_LOG` is set.
const DEFAULT_FILTER: &str = "info,quinn=warn,hyper=warn,kameo=warn";

/// Failure to set up logs or metrics.
#[derive(Debug, thiserror::Error)]
pub enum TelemetryError {
    /// A subscriber for logs is installed already.
    #[error("cannot set up logs: {0}")]
    Logs(String),
    /// The exporter cannot be registered.
    #[error("cannot set up metrics: {0}")]
    Metrics(String),
}

/// Installs the subscriber for log lines on standard error.
///
/// The message of a line begins with the prefix of its component, such as
/// `proxy:`. The level is set by `RUST_LOG`.
pub fn start_logs(format: LogFormat) -> Result<(), TelemetryError> {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| DEFAULT_FILTER.into());
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal())
        .with_target(false);
    let started = match format {
        LogFormat::Text => lines.try_init(),
        LogFormat::Json => lines.json().flatten_event(true).try_init(),
    };
    started.map_err(|e| TelemetryError::Logs(e.to_string()))
}

/// Result of a request, as counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The caller got the complete response of a backend server.
    Served,
    /// Refused with `not-run`.
    NotRun,
    /// Ended with `unknown`.
    Unknown,
    /// The caller closed the connection first.
    Abandoned,
}

impl RequestOutcome {
    fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Abandoned => "abandoned",
        }
    }
}

/// Direction of a message between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// Received from another daemon or the platform.
    Received,
    /// Sent to another daemon or the platform.
    Sent,
}

impl Direction {
    fn name(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Sent => "sent",
        }
    }
}

/// Metrics of a daemon; clones record into the same registry.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    // Instruments stop recording when their provider is dropped.
    _provider: Arc<SdkMeterProvider>,
    instruments: Arc<Instruments>,
}

#[derive(Debug)]
struct Instruments {
    requests: Counter<u64>,
    added_latency: Histogram<f64>,
    relays: Counter<u64>,
    refusals: Counter<u64>,
    ejections: Counter<u64>,
    slots_in_use: UpDownCounter<i64>,
    configuration_version: Gauge<u64>,
    platform_calls: Counter<u64>,
    control_bytes: Counter<u64>,
}

impl Instruments {
    fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            let builder = meter.u64_counter(name);
            builder.with_description(description).build()
        };
        Self {
            requests: counter("requests", "Requests by outcome."),
            added_latency: meter
                .f64_histogram("added_latency_seconds")
                .with_description("Time that this daemon added to a request.")
                .with_boundaries(ADDED_LATENCY_BOUNDS_S.to_vec())
                .build(),
            relays: counter("relays", "Requests relayed to a home."),
            refusals: counter("refusals", "Refused requests by reason."),
            ejections: counter("ejections", "Ejections of backend servers by service."),
            slots_in_use: meter
                .i64_up_down_counter("slots_in_use")
                .with_description("Slots in use by service.")
                .build(),
            configuration_version: meter
                .u64_gauge("configuration_version")
                .with_description("Version of the lists in force.")
                .build(),
            platform_calls: counter("platform_calls", "Calls to the platform."),
            control_bytes: counter("control_bytes", "Bytes of control messages."),
        }
    }
}

impl Metrics {
    /// Creates the registry and all instruments.
    pub fn new() -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .without_scope_info()
            .without_target_info()
            .build()
            .map_err(|e| TelemetryError::Metrics(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let instruments = Instruments::new(&provider.meter(NAMESPACE));
        Ok(Self {
            registry,
            _provider: Arc::new(provider),
            instruments: Arc::new(instruments),
        })
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        // Encoding into a string fails only on an invalid metric family.
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }

    /// Counts a finished request.
    pub fn request(&self, outcome: RequestOutcome) {
        let labels = [KeyValue::new("outcome", outcome.name())];
        self.instruments.requests.add(1, &labels);
    }

    /// Records the time that this daemon added to a request.
    pub fn added_latency(&self, added: Duration, relayed: bool) {
        let labels = [KeyValue::new("relayed", relayed)];
        let seconds = added.as_secs_f64();
        self.instruments.added_latency.record(seconds, &labels);
    }

    /// Counts a request that was relayed to a home.
    pub fn relay(&self) {
        self.instruments.relays.add(1, &[]);
    }

    /// Counts a refused request.
    pub fn refusal(&self, reason: Reason) {
        let labels = [KeyValue::new("reason", reason.name())];
        self.instruments.refusals.add(1, &labels);
    }

    /// Counts an ejection.
    pub fn ejection(&self, service: &str) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.instruments.ejections.add(1, &labels);
    }

    /// Changes the number of slots in use.
    pub fn slots_in_use(&self, service: &str, change: i64) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.instruments.slots_in_use.add(change, &labels);
    }

    /// Sets the version of the lists in force.
    pub fn configuration_version(&self, version: u64) {
        self.instruments.configuration_version.record(version, &[]);
    }

    /// Counts calls to the platform.
    pub fn platform_calls(&self, calls: u64) {
        self.instruments.platform_calls.add(calls, &[]);
    }

    /// Counts bytes of control messages.
    pub fn control_bytes(&self, direction: Direction, bytes: u64) {
        let labels = [KeyValue::new("direction", direction.name())];
        self.instruments.control_bytes.add(bytes, &labels);
    }
}
