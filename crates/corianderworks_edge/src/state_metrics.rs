//! Gauges of the state of a daemon, set when the metrics are read.

use std::time::Duration;

use corianderworks_decision::edge::servers::ServerKey;

use crate::metrics::{MetricsError, ServerLoad};
use crate::process_stats::ProcessStats;
use crate::state::{Edge, EdgeState};

/// Number of organisations and of servers with a metric of their own, so that the number of metrics
/// is bounded.
const ORGANISATION_METRICS_MAX: usize = 20;
const SERVER_METRICS_MAX: usize = 20;

impl Edge {
    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn metrics_text(&self) -> Result<String, MetricsError> {
        self.record_state_metrics();
        self.metrics.prometheus_text()
    }

    /// Sets the gauges of the state of the daemon.
    pub(crate) fn record_state_metrics(&self) {
        let now = self.clock.now();
        let mut state = self.lock_state();
        self.record_services(&mut state, now);
        self.record_store(&state, now);
        let left = state.key_permission.remaining(self.clock.since_boot());
        // A gauge keeps its last value, so it is also set while the configuration has no keys.
        if let Some(left) = left.or(self.settings.key_revocation) {
            self.set_ms("key_permission_remaining_ms", left);
        }
        let (most_refused, others) = state.quotas.most_refused(ORGANISATION_METRICS_MAX);
        self.metrics.set_queue_lengths(&state.waiting.lengths());
        let omitted_beliefs = state.belief_log.omitted_total();
        drop(state);
        self.metrics.set_quota_refused(&most_refused, others);
        self.account.record_metrics();
        self.record_lost_lines(omitted_beliefs);
        if let Some(stats) = ProcessStats::read() {
            self.metrics
                .set_gauge("resident_bytes", stats.resident_bytes);
            self.set_ms("processor_time_ms", stats.processor_time);
            self.metrics
                .set_gauge("open_descriptors", stats.open_descriptors);
        }
    }

    fn set_ms(&self, name: &'static str, time: Duration) {
        self.metrics.set_gauge(name, time.as_millis() as u64);
    }

    /// Sets the gauges of the services, and those of the servers with the most requests.
    fn record_services(&self, state: &mut EdgeState, now: Duration) {
        let EdgeState {
            servers,
            load_balancer,
            budget,
            domains,
            ..
        } = state;
        for service in servers.services() {
            let server_use = load_balancer.server_use(servers, service, now);
            self.metrics.set_server_use(service, server_use);
            self.metrics
                .set_leaving_share(service, domains.share(service));
            let (in_flight, slots) = load_balancer.service_load(servers, service, now);
            self.metrics.set_service_load(service, in_flight, slots);
            self.metrics
                .set_retry_budget_left(service, budget.unused_share(service, now));
        }
        let busiest = load_balancer.busiest(SERVER_METRICS_MAX);
        let load = |(key, in_flight): &(ServerKey, u32)| {
            let entry = &servers.get(*key)?.entry;
            Some(ServerLoad {
                server: entry.id.clone(),
                service: entry.service.clone(),
                in_flight: *in_flight,
                slots: entry.slots,
            })
        };
        let loads: Vec<_> = busiest.iter().filter_map(load).collect();
        self.metrics.set_server_loads(&loads);
    }

    /// Sets the gauges that tell how current the configuration and the list of servers are.
    fn record_store(&self, state: &EdgeState, now: Duration) {
        let age = |at: Duration| now.saturating_sub(at);
        if state.configuration.is_some() {
            self.metrics
                .set_gauge("configuration_version", state.configuration_version());
            self.set_ms("configuration_age_ms", age(state.configuration_since));
        }
        if let Some(read_at) = state.store_reads.configuration {
            self.set_ms("configuration_read_age_ms", age(read_at));
        }
        if let Some(read_at) = state.store_reads.servers {
            self.set_ms("servers_read_age_ms", age(read_at));
        }
    }

    fn record_lost_lines(&self, omitted_beliefs: u64) {
        let limits = [
            &self.served_log_limit,
            &self.failed_log_limit,
            &self.server_log_limit,
        ];
        let omitted: u64 = limits.iter().map(|l| l.omitted_total()).sum();
        self.metrics
            .set_gauge("log_lines_omitted", omitted + omitted_beliefs);
        if let Some(dropped_lines) = self.dropped_lines.get() {
            self.metrics
                .set_gauge("log_lines_dropped", dropped_lines.count() as u64);
        }
    }
}
