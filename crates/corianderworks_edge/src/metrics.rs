//! Metrics of an edge daemon, exported in the Prometheus text format.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::edge::load_balancer::ServerUse;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{IntGaugeVec, Opts, Registry, TextEncoder};

use crate::reason::Reason;

/// Upper bounds of the buckets of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Highest number in the label of a priority; less urgent ones are counted there as well. Bounds the
/// number of series.
const PRIORITY_LABEL_MAX: u32 = 7;

fn priority_label(priority: u32) -> KeyValue {
    KeyValue::new("priority", i64::from(priority.min(PRIORITY_LABEL_MAX)))
}

/// Creates and registers a gauge of which all series can be removed.
fn resettable_gauge(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec, MetricsError> {
    let gauge =
        IntGaugeVec::new(Opts::new(name, help), labels).map_err(|e| MetricsError(e.to_string()))?;
    registry
        .register(Box::new(gauge.clone()))
        .map_err(|e| MetricsError(e.to_string()))?;
    Ok(gauge)
}

/// Load of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerLoad {
    /// Id of the server.
    pub server: Arc<str>,
    /// Name of the service that it runs.
    pub service: Arc<str>,
    /// Requests that all daemons have in flight there.
    pub in_flight: u32,
    /// Requests that it processes at the same time; the others wait in its queue.
    pub slots: u32,
}

/// Error while setting up or exporting metrics, with the text of its cause.
#[derive(Debug, thiserror::Error)]
#[error("cannot set up metrics: {0}")]
pub struct MetricsError(String);

/// Instruments of an edge daemon. Clones record into the same registry.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    // Dropping the provider would stop the recording.
    _provider: Arc<SdkMeterProvider>,
    requests: Counter<u64>,
    request_time: Histogram<f64>,
    attempts: Counter<u64>,
    attempt_time: Histogram<f64>,
    store_calls: Counter<u64>,
    state: Gauge<u64>,
    servers: Gauge<u64>,
    quota_refused: IntGaugeVec,
    server_load: IntGaugeVec,
    service_load: Gauge<u64>,
    retry_budget_left: Gauge<f64>,
    queue_length: Gauge<u64>,
    queue_time: Histogram<f64>,
    refusals: Counter<u64>,
    crossed: Counter<u64>,
    leaving_share: Gauge<f64>,
    held_bytes: Gauge<u64>,
    connections: Gauge<u64>,
    connections_closed: Counter<u64>,
    skipped_responses: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments and registers them with a new registry.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .without_target_info()
            .build()
            .map_err(|e| MetricsError(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("corianderworks");
        let quota_refused = resettable_gauge(
            &registry,
            "corianderworks_edge_quota_refused",
            "Requests refused by the quota since the start, by organisation",
            &["organisation"],
        )?;
        let server_load = resettable_gauge(
            &registry,
            "corianderworks_edge_server_load",
            "Requests in flight and slots of the servers with the most requests",
            &["server", "service", "what"],
        )?;
        let bounds = LATENCY_BOUNDS_S.to_vec();
        Ok(Self {
            requests: meter.u64_counter("corianderworks_edge_requests").build(),
            request_time: meter
                .f64_histogram("corianderworks_edge_request_time")
                .with_unit("s")
                .with_boundaries(bounds.clone())
                .build(),
            attempts: meter.u64_counter("corianderworks_edge_attempts").build(),
            attempt_time: meter
                .f64_histogram("corianderworks_edge_attempt_time")
                .with_unit("s")
                .with_boundaries(bounds.clone())
                .build(),
            store_calls: meter.u64_counter("corianderworks_edge_store_calls").build(),
            state: meter.u64_gauge("corianderworks_edge_state").build(),
            servers: meter.u64_gauge("corianderworks_edge_servers").build(),
            quota_refused,
            server_load,
            service_load: meter.u64_gauge("corianderworks_edge_service_load").build(),
            retry_budget_left: meter
                .f64_gauge("corianderworks_edge_retry_budget_left")
                .build(),
            queue_length: meter.u64_gauge("corianderworks_edge_queue_length").build(),
            queue_time: meter
                .f64_histogram("corianderworks_edge_queue_time")
                .with_unit("s")
                .with_boundaries(bounds)
                .build(),
            refusals: meter.u64_counter("corianderworks_edge_refusals").build(),
            crossed: meter.u64_counter("corianderworks_edge_crossed").build(),
            leaving_share: meter.f64_gauge("corianderworks_edge_leaving_share").build(),
            held_bytes: meter.u64_gauge("corianderworks_edge_held_bytes").build(),
            connections: meter.u64_gauge("corianderworks_edge_connections").build(),
            connections_closed: meter
                .u64_counter("corianderworks_edge_connections_closed")
                .build(),
            skipped_responses: meter
                .u64_counter("corianderworks_edge_skipped_responses")
                .build(),
            registry,
            _provider: Arc::new(provider),
        })
    }

    /// Counts a request that ended for `reason`, and records its duration.
    pub fn request(&self, reason: Reason, took: Duration) {
        self.requests
            .add(1, &[KeyValue::new("reason", reason.name())]);
        self.request_time.record(took.as_secs_f64(), &[]);
    }

    /// Counts an attempt at a backend server by how it ended, and records its duration.
    pub fn attempt(&self, end: &'static str, took: Duration) {
        self.attempts.add(1, &[KeyValue::new("end", end)]);
        self.attempt_time.record(took.as_secs_f64(), &[]);
    }

    /// Counts a call to the store by the kind of objects and its result.
    pub fn store_call(&self, kind: &'static str, result: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("result", result)];
        self.store_calls.add(1, &labels);
    }

    /// Counts a request of a route that was refused without having run.
    pub fn refusal(&self, reason: Reason, priority: u32) {
        let labels = [
            KeyValue::new("reason", reason.name()),
            priority_label(priority),
        ];
        self.refusals.add(1, &labels);
    }

    /// Records the time for which a request waited in the queue, zero if it didn't.
    pub fn queued(&self, priority: u32, time: Duration) {
        self.queue_time
            .record(time.as_secs_f64(), &[priority_label(priority)]);
    }

    /// Sets the gauges of the number of waiting requests by priority. Priorities that are missing
    /// have none.
    pub fn set_queue_lengths(&self, lengths: &BTreeMap<u32, usize>) {
        let mut labelled = [0; PRIORITY_LABEL_MAX as usize + 1];
        for (priority, length) in lengths {
            labelled[(*priority).min(PRIORITY_LABEL_MAX) as usize] += *length as u64;
        }
        for (priority, length) in labelled.into_iter().enumerate() {
            let label = priority_label(priority as u32);
            self.queue_length.record(length, &[label]);
        }
    }

    /// Sets the gauge of a value of the daemon's state, such as the number of daemons that are up.
    pub fn set_gauge(&self, name: &'static str, value: u64) {
        self.state.record(value, &[KeyValue::new("name", name)]);
    }

    /// Sets the gauges of the number of backend servers of a service by their usage.
    pub fn set_server_use(&self, service: &Arc<str>, server_use: ServerUse) {
        let counts = [
            ("in-use", server_use.in_use),
            ("idle", server_use.idle),
            ("suspected", server_use.suspected),
        ];
        for (usage, count) in counts {
            let labels = [
                KeyValue::new("service", service.clone()),
                KeyValue::new("use", usage),
            ];
            self.servers.record(u64::from(count), &labels);
        }
    }

    /// Sets the gauges of the requests that the quota refused: one for each organisation in
    /// `most_refused`, and one without a name for the sum of all others. The gauges of organisations
    /// that are no longer listed are removed.
    pub fn set_quota_refused(&self, most_refused: &[(Arc<str>, u64)], others: u64) {
        self.quota_refused.reset();
        let listed = most_refused
            .iter()
            .map(|(name, refused)| (&**name, *refused));
        let rest = (others > 0).then_some(("", others));
        for (organisation, refused) in listed.chain(rest) {
            let gauge = self.quota_refused.with_label_values(&[organisation]);
            gauge.set(i64::try_from(refused).unwrap_or(i64::MAX));
        }
    }

    /// Sets the gauges of the servers in `loads`. Those of servers that are no longer listed are
    /// removed.
    pub fn set_server_loads(&self, loads: &[ServerLoad]) {
        self.server_load.reset();
        for load in loads {
            for (what, value) in [("in-flight", load.in_flight), ("slots", load.slots)] {
                let labels = [&*load.server, &*load.service, what];
                let gauge = self.server_load.with_label_values(&labels);
                gauge.set(i64::from(value));
            }
        }
    }

    /// Sets the gauges of the requests in flight at the servers of a service that accept requests,
    /// and of their slots.
    pub fn set_service_load(&self, service: &Arc<str>, in_flight: u32, slots: u32) {
        for (what, value) in [("in-flight", in_flight), ("slots", slots)] {
            let labels = [
                KeyValue::new("service", service.clone()),
                KeyValue::new("what", what),
            ];
            self.service_load.record(u64::from(value), &labels);
        }
    }

    /// Sets the gauge of the unused share of a service's retry budget.
    pub fn set_retry_budget_left(&self, service: &Arc<str>, share: f64) {
        let labels = [KeyValue::new("service", service.clone())];
        self.retry_budget_left.record(share, &labels);
    }

    /// Counts an attempt at a backend server of another failure domain. There is one series for each
    /// service and domain with servers of it, since a daemon is in one domain.
    pub fn crossed(&self, service: &Arc<str>, from: &str, to: &Arc<str>) {
        let labels = [
            KeyValue::new("service", service.clone()),
            KeyValue::new("from", from.to_owned()),
            KeyValue::new("to", to.clone()),
        ];
        self.crossed.add(1, &labels);
    }

    /// Sets the gauge of the share of a service's requests that leave this daemon's domain.
    pub fn set_leaving_share(&self, service: &Arc<str>, share: f64) {
        let labels = [KeyValue::new("service", service.clone())];
        self.leaving_share.record(share, &labels);
    }

    /// Counts a connection of a caller that was closed or refused because it was slow, or because
    /// memory or descriptors were scarce.
    pub fn connection_closed(&self, reason: &'static str) {
        let labels = [KeyValue::new("reason", reason)];
        self.connections_closed.add(1, &labels);
    }

    /// Counts responses of backend servers that belong to other requests than the one in progress on
    /// their connection.
    pub fn skipped_responses(&self, service: &Arc<str>, count: u32) {
        if count > 0 {
            let labels = [KeyValue::new("service", service.clone())];
            self.skipped_responses.add(u64::from(count), &labels);
        }
    }

    /// Sets the gauge of the memory that connections hold for a purpose.
    pub fn set_held_bytes(&self, kind: &'static str, bytes: u64) {
        self.held_bytes
            .record(bytes, &[KeyValue::new("kind", kind)]);
    }

    /// Sets the gauge of the number of connections in a phase.
    pub fn set_connections(&self, phase: &'static str, count: u64) {
        self.connections
            .record(count, &[KeyValue::new("phase", phase)]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn prometheus_text(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .map_err(|e| MetricsError(e.to_string()))
    }
}
