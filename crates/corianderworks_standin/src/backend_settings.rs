//! Settings of the backend stand-in, and the modes that simulate gray failures.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::fault::FaultTimeline;

/// Log-normal distribution of the service time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Median, in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the natural logarithm; 0 makes the service time
    /// constant.
    pub sigma: f64,
    /// Upper bound, in milliseconds; longer samples are reduced to it.
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

/// Status that the health endpoint `/health` returns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// 200 in every mode: the health check does not detect gray failures.
    #[default]
    AlwaysHealthy,
    /// 503 in every mode except `Healthy` and the healthy phase of `Flap`.
    Truthful,
    /// 503 in every mode, even while requests succeed.
    AlwaysUnhealthy,
}

/// How a backend server handles requests other than health checks and load reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Mode {
    /// Requests are processed normally.
    #[default]
    Healthy,
    /// A share of requests is answered with an error status.
    Errors {
        /// Share of requests affected, from 0 to 1.
        share: f64,
        /// HTTP status returned.
        status: u16,
        /// Share of the affected requests that are executed before the error is
        /// returned.
        run_share: f64,
    },
    /// A share of requests occupies its slot without ever getting a response.
    Stall {
        /// Share of requests affected, from 0 to 1.
        share: f64,
    },
    /// Requests are processed with a longer service time.
    Slow {
        /// Multiplier of the service time.
        factor: f64,
    },
    /// A share of responses ends halfway through the body with a connection error.
    Truncate {
        /// Share of responses affected, from 0 to 1.
        share: f64,
    },
    /// On HTTP/2, every second response is held back until a later one was produced.
    OutOfOrder {
        /// Maximum time for which a response is held back, in milliseconds.
        window_ms: u64,
    },
    /// Alternates between processing requests normally and answering all of them
    /// with 500.
    Flap {
        /// Duration of the healthy phase, in milliseconds.
        up_ms: u64,
        /// Duration of the failing phase, in milliseconds.
        down_ms: u64,
    },
    /// Simulates a lost VM: no data is processed or sent on any connection.
    Vanished,
}

/// Mode that applies to some clients only, as if the network path to them were
/// faulty.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathFault {
    /// IP addresses of the affected clients.
    pub clients: Vec<IpAddr>,
    /// Mode for these clients, instead of the one of the server.
    pub mode: Mode,
}

/// Settings of the backend stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSettings {
    /// Server name in JSON response bodies, and fault target name in `timeline`.
    pub name: String,
    /// Maximum number of requests processed at the same time.
    pub slots: usize,
    /// Maximum number of requests waiting for a slot; further ones are shed.
    pub queue: usize,
    /// Maximum wait for a slot, in milliseconds, after which a request is shed.
    pub queue_ms: u64,
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: usize,
    /// Delay before a new connection is read, in microseconds.
    pub connect_us: u64,
    /// Response time of the health endpoint, in milliseconds.
    pub health_ms: u64,
    /// How the health endpoint relates to the mode.
    pub health: HealthReport,
    /// Time for which the load endpoint repeats a sampled value, in milliseconds.
    pub load_lag_ms: u64,
    /// Error added to the number of busy slots that the load endpoint returns.
    pub load_bias: i64,
    /// Service time after the cold start.
    pub service_time: ServiceTime,
    /// Duration of the cold start, in milliseconds; 0 disables it.
    pub cold_start_ms: u64,
    /// Multiplier of the service time at the beginning of the cold start; falls
    /// linearly to 1 until its end.
    pub cold_factor: f64,
    /// Initial mode.
    pub mode: Mode,
    /// Faults injected after the start; their target is `name`.
    pub timeline: FaultTimeline,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Whether executions are also recorded by `cw-request-id`, not only by
    /// idempotency key and check id.
    pub record_request_ids: bool,
    /// Address of the control endpoint; not started if absent.
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
