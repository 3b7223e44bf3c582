//! Endpoint `/metrics`.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use corianderworks_decision::clock::Clock;
use corianderworks_decision::dispatcher::Schedule;
use corianderworks_decision::ids::ServiceKey;
use parking_lot::Mutex;

use crate::body::BodyEnd;
use crate::platform::PlatformClient;
use crate::proxy::Entry;
use crate::reasons::RefusalOutcome;
use crate::refusal::Refusal;
use crate::telemetry::{Direction, Metrics, RequestOutcome};

/// Time that a response took outside of this daemon, kept with the response.
#[derive(Debug, Clone, Copy)]
pub struct Outside {
    /// From handing the request over to the head of the response.
    pub time: Duration,
    /// Whether another daemon handled the request.
    pub relayed: bool,
}

/// Counts a refused request.
pub fn count_refusal(metrics: &Metrics, refusal: &Refusal) {
    metrics.refusal(refusal.reason);
    metrics.request(match refusal.outcome {
        RefusalOutcome::NotRun => RequestOutcome::NotRun,
        RefusalOutcome::Unknown => RequestOutcome::Unknown,
    });
}

/// Counts a request by the end of its response.
pub fn count_end(metrics: &Metrics, end: BodyEnd) {
    metrics.request(match end {
        BodyEnd::Whole => RequestOutcome::Served,
        BodyEnd::Truncated => RequestOutcome::Unknown,
        BodyEnd::Dropped => RequestOutcome::Abandoned,
    });
}

/// Values at the last reading; the instruments take changes.
#[derive(Debug, Default)]
struct Last {
    platform_calls: u64,
    sent_bytes: u64,
    slots: HashMap<Arc<str>, i64>,
}

/// Renders the metrics of a daemon.
pub struct MetricsApi<C>
where
    C: Clock,
{
    entry: Arc<Entry<C>>,
    platform: PlatformClient,
    last: Mutex<Last>,
}

impl<C> MetricsApi<C>
where
    C: Clock,
{
    /// Creates the endpoint.
    pub fn new(entry: Arc<Entry<C>>, platform: PlatformClient) -> Self {
        Self {
            entry,
            platform,
            last: Mutex::default(),
        }
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let parts = &self.entry.parts;
        let view = parts.view.load();
        let mut last = self.last.lock();
        parts.metrics.configuration_version(view.table.version);
        let calls = self.platform.calls();
        parts.metrics.platform_calls(calls - last.platform_calls);
        last.platform_calls = calls;
        let counters = parts.peers.counters();
        let sent = counters.datagram_bytes.load(Ordering::Relaxed);
        let new_bytes = sent - last.sent_bytes;
        parts.metrics.control_bytes(Direction::Sent, new_bytes);
        last.sent_bytes = sent;
        for name in view.table.services.keys() {
            let home = parts.homes.get(ServiceKey::of(name));
            let Some(home) = home else { continue };
            let reports = home.read(|dispatcher, now| dispatcher.explain(now));
            let in_use = reports.iter().map(|r| i64::from(r.in_flight)).sum();
            let before = last.slots.insert(name.clone(), in_use).unwrap_or(0);
            parts.metrics.slots_in_use(name, in_use - before);
        }
        parts.metrics.render()
    }
}
