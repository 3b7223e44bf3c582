//! Execution counts and statistics of the backend stand-in.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of executions of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Executions started. From the start on, the request counts as having taken
    /// effect.
    pub started: u64,
    /// Executions that ran to completion.
    pub finished: u64,
}

/// Execution counts of all requests, under each of their identifiers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// By `idempotency-key` header.
    pub by_key: BTreeMap<String, Execution>,
    /// By `cw-request-id` header; empty unless the settings record request ids.
    pub by_request_id: BTreeMap<String, Execution>,
    /// By `cw-check` header, only for methods that are not idempotent.
    pub by_check: BTreeMap<String, Execution>,
}

impl Executions {
    /// Adds the counts of another backend server to these.
    pub fn merge(&mut self, other: &Executions) {
        for (target, counts) in [
            (&mut self.by_key, &other.by_key),
            (&mut self.by_request_id, &other.by_request_id),
            (&mut self.by_check, &other.by_check),
        ] {
            for (id, execution) in counts {
                let total = target.entry(id.clone()).or_default();
                total.started += execution.started;
                total.finished += execution.finished;
            }
        }
    }
}

/// Counters and gauges of a backend stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStats {
    /// Requests received, excluding the health and load endpoints.
    pub requests: u64,
    /// Executions started.
    pub started: u64,
    /// Executions that ran to completion.
    pub finished: u64,
    /// Executions cancelled because the client disconnected.
    pub cancelled: u64,
    /// Requests refused without execution because no slot was available.
    pub shed: u64,
    /// Requests refused without execution because their deadline had passed.
    pub late: u64,
    /// Executions aborted at their deadline.
    pub deadline_stopped: u64,
    /// Requests that the mode failed, stalled or truncated.
    pub failed_by_mode: u64,
    /// Requests to the health endpoint.
    pub health_probes: u64,
    /// Requests to the load endpoint.
    pub load_reads: u64,
    /// Slots currently in use.
    pub busy: u64,
    /// Highest number of slots in use at the same time.
    pub busy_peak: u64,
    /// Requests currently waiting for a slot.
    pub waiting: u64,
    /// Connections currently open, excluding silent ones.
    pub connections: u64,
    /// Highest number of connections open at the same time.
    pub connections_peak: u64,
    /// Connections accepted within the connection limit.
    pub connections_accepted: u64,
    /// Connections closed immediately because of the connection limit.
    pub connections_refused: u64,
    /// Requests received since the mode was last set.
    pub requests_since_mode: u64,
    /// Time counts the last change of the mode to the latest request; `None` if there
    /// was none since.
    pub last_request_since_mode: Option<Duration>,
    /// Requests received since the drain started; 0 outside a drain.
    pub requests_since_drain: u64,
    /// Time counts the start of the drain to the latest request; `None` if there was
    /// none since.
    pub last_request_since_drain: Option<Duration>,
}
