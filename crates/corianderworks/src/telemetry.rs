//! Setup of logging, and the metrics of a daemon.

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

/// Prefix of the names of all metrics.
const NAMESPACE: &str = "corianderworks";

/// Upper bounds of the histogram buckets of the added latency, in seconds. The target for the added
/// latency is 2.1 ms, so one bound is at the target.
const ADDED_LATENCY_BOUNDS_S: [f64; 10] = [
    0.000_1, 0.000_2, 0.000_5, 0.001, 0.001_5, 0.002_1, 0.003, 0.005, 0.01, 0.1,
];

/// Log filter that applies unless `RUST_LOG` is set.
const DEFAULT_FILTER: &str = "info,quinn=warn,hyper=warn,kameo=warn";

/// Error on setting up logging or metrics.
#[derive(Debug, thiserror::Error)]
pub enum TelemetryError {
    /// A global subscriber for log events is already installed.
    #[error("cannot set up logging: {0}")]
    Logs(String),
    /// The Prometheus exporter cannot be registered.
    #[error("cannot set up metrics: {0}")]
    Metrics(String),
}

/// Installs the global subscriber that writes log lines to standard error.
///
/// Every log message begins with the prefix of its component, such as `proxy:`. `RUST_LOG` sets
/// the log levels.
pub fn start_logs(format: LogFormat) -> Result<(), TelemetryError> {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| DEFAULT_FILTER.into());
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal())
        .with_target(false);
    let installed = match format {
        LogFormat::Text => subscriber.try_init(),
        LogFormat::Json => subscriber.json().flatten_event(true).try_init(),
    };
    installed.map_err(|e| TelemetryError::Logs(e.to_string()))
}

/// Value of the label `outcome` of the metric `requests_total`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The caller got the complete response of a backend server.
    Served,
    /// The request was refused and did not run.
    NotRun,
    /// The request may have run, but the caller got no complete response of a backend server.
    Unknown,
    /// The caller closed the connection before the response was complete.
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

/// Value of the label `direction` of the metric `control_bytes_total`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// Control messages received from another daemon or the platform.
    Received,
    /// Control messages sent to another daemon or the platform.
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

/// Metrics of a daemon. Clones share one registry.
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
    /// Creates all instruments in a registry of their own, separate from that of any other daemon
    /// in this process.
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

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        // Encoding to a string fails only for an invalid metric family.
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }

    /// Counts a request that ended, including refused requests.
    pub fn request(&self, outcome: RequestOutcome) {
        let labels = [KeyValue::new("outcome", outcome.name())];
        self.instruments.requests.add(1, &labels);
    }

    /// Records the time that this daemon added to a request; `relayed` says whether another daemon
    /// handled the request.
    pub fn added_latency(&self, added: Duration, relayed: bool) {
        let labels = [KeyValue::new("relayed", relayed)];
        let seconds = added.as_secs_f64();
        self.instruments.added_latency.record(seconds, &labels);
    }

    /// Counts a request that this daemon relayed to a home daemon of its service.
    pub fn relay(&self) {
        self.instruments.relays.add(1, &[]);
    }

    /// Counts a refusal under its reason. The request itself is counted by [`Self::request`].
    pub fn refusal(&self, reason: Reason) {
        let labels = [KeyValue::new("reason", reason.name())];
        self.instruments.refusals.add(1, &labels);
    }

    /// Counts an ejection of a backend server of a service.
    pub fn ejection(&self, service: &str) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.instruments.ejections.add(1, &labels);
    }

    /// Adds a change, which may be negative, to the number of slots in use of a service.
    pub fn slots_in_use(&self, service: &str, change: i64) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.instruments.slots_in_use.add(change, &labels);
    }

    /// Sets the version of the lists in force; 0 before the first.
    pub fn configuration_version(&self, version: u64) {
        self.instruments.configuration_version.record(version, &[]);
    }

    /// Adds a number of new calls to the platform.
    pub fn platform_calls(&self, calls: u64) {
        self.instruments.platform_calls.add(calls, &[]);
    }

    /// Adds a number of new bytes of control messages sent or received.
    pub fn control_bytes(&self, direction: Direction, bytes: u64) {
        let labels = [KeyValue::new("direction", direction.name())];
        self.instruments.control_bytes.add(bytes, &labels);
    }
}
