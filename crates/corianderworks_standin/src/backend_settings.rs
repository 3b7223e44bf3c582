//! Settings and gray failure modes of the backend stand-in.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::fault::FaultTimeline;

/// Log-normal distribution of the service time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Median.
    pub median_ms: f64,
    /// Standard deviation of the logarithm; 0 gives a constant.
    pub sigma: f64,
    /// Upper bound.
    pub max_ms: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            median_ms: 5.0,
            sigma: 0.3,
            max_ms: 500.0,
        }
    }
}

/// What `GET /health` reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// 200 in every mode: the endpoint does not see gray failures.
    #[default]
    AlwaysHealthy,
    /// 503 while the mode is not `Healthy`.
    Truthful,
    /// 503 in every mode, although requests succeed.
    AlwaysUnhealthy,
}

/// Behaviour of a backend server towards real requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Mode {
    /// Requests are processed.
    #[default]
    Healthy,
    /// A share of requests gets an error status.
    Errors {
        /// Share of requests affected.
        share: f64,
        /// Status returned.
        status: u16,
        /// Share of the affected requests that run before the error.
        run_share: f64,
    },
    /// A share of requests holds its slot and gets no response.
    Stall {
        /// Share of requests affected.
        share: f64,
    },
    /// The service time is multiplied.
    Slow {
        /// Factor of the service time.
        factor: f64,
    },
    /// A share of responses ends in the middle with a closed connection.
    Truncate {
        /// Share of responses affected.
        share: f64,
    },
    /// Every second response of an HTTP/2 connection waits for a later one.
    OutOfOrder {
        /// Longest wait.
        window_ms: u64,
    },
    /// Alternates between `Healthy` and 500 for all requests.
    Flap {
        /// Duration of the healthy part.
        up_ms: u64,
        /// Duration of the failing part.
        down_ms: u64,
    },
    /// The VM is gone: nothing is read or sent on any connection.
    Vanished,
}

/// Mode that only some clients see, as with a fault of the path to them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathFault {
    /// Addresses of the affected clients.
    pub clients: Vec<IpAddr>,
    /// Behaviour towards them.
    pub mode: Mode,
}

/// Settings of the backend stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSettings {
    /// Name, returned in JSON bodies.
    pub name: String,
    /// Requests processed at the same time.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Longest wait for a slot; afterwards the request is shed.
    pub queue_ms: u64,
    /// Connections accepted at the same time.
    pub connections: usize,
    /// Duration of a new connection.
    pub connect_us: u64,
    /// Duration of a health probe.
    pub health_ms: u64,
    /// What the health endpoint reports.
    pub health: HealthReport,
    /// Age of the values that the load endpoint returns.
    pub load_lag_ms: u64,
    /// Added to the busy slots that the load endpoint returns.
    pub load_bias: i64,
    /// Service time of a warm server.
    pub service_time: ServiceTime,
    /// Duration of the cold start, 0 for none.
    pub cold_start_ms: u64,
    /// Factor of the service time at the beginning of the cold start, which
    /// falls linearly to 1.
    pub cold_factor: f64,
    /// Mode at the start.
    pub mode: Mode,
    /// Faults by time, for the target that has the name above.
    pub timeline: FaultTimeline,
    /// Seed of all random choices.
    pub seed: u64,
    /// Records executions by `cw-request-id` too, not only by key and check id.
    pub record_request_ids: bool,
    /// Address of `/control/faults`; none if absent.
    pub control_address: Option<SocketAddr>,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            name: "backend".to_owned(),
            slots: 2,
            queue: 2,
            queue_ms: 20,
            connections: 360,
            connect_us: 1_000,
            health_ms: 25,
            health: HealthReport::default(),
            load_lag_ms: 1_000,
            load_bias: 0,
            service_time: ServiceTime::default(),
            cold_start_ms: 0,
            cold_factor: 5.0,
            mode: Mode::default(),
            timeline: FaultTimeline::default(),
            seed: 1,
            record_request_ids: true,
            control_address: None,
        }
    }
}
