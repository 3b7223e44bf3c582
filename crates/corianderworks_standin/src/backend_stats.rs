//! Executions and figures of the backend stand-in.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How often a request was executed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Executions begun; an effect counts from here on.
    pub started: u64,
    /// Executions completed.
    pub finished: u64,
}

/// Every executed request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// By `idempotency-key`.
    pub by_key: BTreeMap<String, Execution>,
    /// By `cw-request-id`.
    pub by_request_id: BTreeMap<String, Execution>,
    /// By `cw-check`, for methods that are not idempotent.
    pub by_check: BTreeMap<String, Execution>,
}

impl Executions {
    /// Adds the executions of another backend server.
    pub fn merge(&mut self, other: &Executions) {
        for (into, from) in [
            (&mut self.by_key, &other.by_key),
            (&mut self.by_request_id, &other.by_request_id),
            (&mut self.by_check, &other.by_check),
        ] {
            for (id, execution) in from {
                let sum = into.entry(id.clone()).or_default();
                sum.started += execution.started;
                sum.finished += execution.finished;
            }
        }
    }
}

/// Figures of a backend stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStats {
    /// Requests received, without health and load endpoints.
    pub requests: u64,
    /// Executions begun.
    pub started: u64,
    /// Executions completed.
    pub finished: u64,
    /// Executions stopped because the client went away.
    pub cancelled: u64,
    /// Requests shed before they ran.
    pub shed: u64,
    /// Requests whose deadline passed before they ran.
    pub late: u64,
    /// Executions stopped at their deadline.
    pub deadline_stopped: u64,
    /// Requests that the mode made fail.
    pub failed_by_mode: u64,
    /// Health probes.
    pub health_probes: u64,
    /// Reads of the load endpoint.
    pub load_reads: u64,
    /// Slots in use.
    pub busy: u64,
    /// Most slots in use at the same time.
    pub busy_peak: u64,
    /// Requests waiting for a slot.
    pub waiting: u64,
    /// Connections open, without silent ones.
    pub connections: u64,
    /// Most connections open at the same time.
    pub connections_peak: u64,
    /// Connections accepted.
    pub connections_accepted: u64,
    /// Connections closed at once because of the cap.
    pub connections_refused: u64,
    /// Requests received since the mode was last set.
    pub requests_since_mode: u64,
    /// Time from setting the mode to the last request received since.
    pub last_request_since_mode: Option<Duration>,
    /// Requests received since the drain began.
    pub requests_since_drain: u64,
    /// Time from the beginning of the drain to the last request received since.
    pub last_request_since_drain: Option<Duration>,
}
