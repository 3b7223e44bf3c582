//! Endpoint `/metrics`, and the counting of requests by their end.

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
use crate::proxy::EntryProxy;
use crate::reasons::RefusalOutcome;
use crate::refusal::Refusal;
use crate::telemetry::{Direction, Metrics, RequestOutcome};

/// Time that a request spent outside of this daemon, stored in the extensions of its response. The
/// entry subtracts it from the total to get the latency that this daemon added.
#[derive(Debug, Clone, Copy)]
pub struct RemoteTime {
    /// Time from sending the request to a backend server or another daemon until the head of the
    /// response.
    pub time: Duration,
    /// Whether the request was relayed to another daemon.
    pub relayed: bool,
}

/// Counts a refused request by its reason and its outcome.
pub fn count_refusal(metrics: &Metrics, refusal: &Refusal) {
    metrics.refusal(refusal.reason);
    metrics.request(match refusal.outcome {
        RefusalOutcome::NotRun => RequestOutcome::NotRun,
        RefusalOutcome::Unknown => RequestOutcome::Unknown,
    });
}

/// Counts a request by how the body of its response ended.
pub fn count_end(metrics: &Metrics, end: BodyEnd) {
    metrics.request(match end {
        BodyEnd::Complete => RequestOutcome::Served,
        BodyEnd::Truncated => RequestOutcome::Unknown,
        BodyEnd::Dropped => RequestOutcome::Abandoned,
    });
}

/// Values at the previous rendering. The instruments accept only increments, so the difference from
/// these values is added to them.
#[derive(Debug, Default)]
struct PreviousValues {
    platform_calls: u64,
    sent_bytes: u64,
    slots: HashMap<Arc<str>, i64>,
}

/// Renders the metrics of a daemon, after updating those that other components count.
pub struct MetricsApi<C>
where
    C: Clock,
{
    entry: Arc<EntryProxy<C>>,
    platform: PlatformClient,
    previous: Mutex<PreviousValues>,
}

impl<C> MetricsApi<C>
where
    C: Clock,
{
    /// Creates the endpoint of a daemon from its entry and its platform client.
    pub fn new(entry: Arc<EntryProxy<C>>, platform: PlatformClient) -> Self {
        Self {
            entry,
            platform,
            previous: Mutex::default(),
        }
    }

    /// Updates the metrics that are read on demand and returns all in the Prometheus text format.
    pub fn render(&self) -> String {
        let parts = &self.entry.parts;
        let view = parts.view.load();
        let mut previous = self.previous.lock();
        parts.metrics.configuration_version(view.table.version);
        let calls = self.platform.calls();
        parts
            .metrics
            .platform_calls(calls - previous.platform_calls);
        previous.platform_calls = calls;
        let counters = parts.peers.counters();
        let sent = counters.datagram_bytes.load(Ordering::Relaxed);
        let new_bytes = sent - previous.sent_bytes;
        parts.metrics.control_bytes(Direction::Sent, new_bytes);
        previous.sent_bytes = sent;
        for name in view.table.services.keys() {
            let home = parts.homes.get(ServiceKey::of(name));
            let Some(home) = home else { continue };
            let reports = home.read(|dispatcher, now| dispatcher.explain(now));
            let in_use = reports.iter().map(|r| i64::from(r.in_flight)).sum();
            let previous_in_use = previous.slots.insert(name.clone(), in_use).unwrap_or(0);
            parts.metrics.slots_in_use(name, in_use - previous_in_use);
        }
        parts.metrics.render()
    }
}
