//! JSON types of the responses of `GET /v1/status` and `GET /v1/explain`.

use std::net::SocketAddr;

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

/// State of a daemon and its view of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the daemon, unique in the fleet and taken from its settings.
    pub name: String,
    /// Region of its VM, as in its settings.
    pub region: String,
    /// Failure domain of its VM, as in its settings.
    pub domain: String,
    /// Incarnation of the daemon: the wall-clock time of its start, in milliseconds.
    pub incarnation: u64,
    /// Time since the start of the daemon, in seconds.
    pub uptime_s: u64,
    /// Whether the daemon has a configuration and is not shutting down.
    pub ready: bool,
    /// Whether the daemon is shutting down or has stopped.
    pub draining: bool,
    /// Configuration in force; `None` until the daemon has received its first.
    pub configuration: Option<ConfigurationStatus>,
    /// Reachability of the platform from this daemon.
    pub platform: PlatformStatus,
    /// All members of the fleet as seen by this daemon, including itself.
    pub members: Vec<MemberStatus>,
    /// All services of the configuration as seen by this daemon, ordered by name.
    pub services: Vec<ServiceStatus>,
    /// Alarms that this daemon raises now; empty if it raises none.
    pub alarms: Vec<Alarm>,
}

/// Configuration in force at a daemon, and the change that produced it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// Version of the lists, increased by each change.
    pub version: u64,
    /// Id that the writer chose for the change; it makes a repeated change take effect once.
    pub change_id: String,
    /// Operator who made the change, as given with `--who`.
    pub who: String,
    /// Time at which the writer prepared the change, by the writer's clock.
    pub when: Timestamp,
    /// Reason for the change, as given with `--reason`.
    pub reason: String,
}

/// Reachability of the platform from a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether the last call to the platform succeeded.
    pub reachable: bool,
    /// Time since the last successful call, in seconds; `None` before the first.
    pub last_success_s: Option<u64>,
    /// Number of calls to the platform since the start of the daemon.
    pub calls: u64,
}

/// Member of the fleet as seen by the reporting daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member's daemon, which is also the name of its VM.
    pub name: String,
    /// Region of the member's VM.
    pub region: String,
    /// Failure domain of the member's VM.
    pub domain: String,
    /// Address at which other daemons reach the member.
    pub peer_address: SocketAddr,
    /// Membership state: `alive`, `suspected`, `dead`, `leaving` or `left`.
    pub state: String,
    /// Configuration version that the member last announced; 0 if it has none.
    pub version: u64,
}

/// Service as seen by the reporting daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service in plans.json.
    pub name: String,
    /// Names of the service's home daemons, in the order of preference.
    pub homes: Vec<String>,
    /// Minimum number of backend servers that ejection must leave in use.
    pub floor: u32,
    /// Number of backend servers that are in service and neither ejected, on trial nor leaving.
    pub healthy: u32,
    /// Number of requests in this daemon's queue that wait for a slot.
    pub queued: u32,
    /// Numbers of the ejection permits that this daemon holds.
    pub permits: Vec<u32>,
    /// Upstreams whose slots this daemon owns; empty unless it is a home of the service.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Upstream of which the reporting daemon owns slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the backend server's VM.
    pub name: String,
    /// Address at which the backend server accepts requests.
    pub address: SocketAddr,
    /// Health state: `healthy`, `ejected`, `trial`, `ranked-last`, `path-fault` or `leaving`.
    pub state: String,
    /// Evidence against the upstream, time in this state and ejection permit; `None` if it is
    /// healthy.
    pub reason: Option<String>,
    /// Number of slots that this daemon may use.
    pub slots: u32,
    /// Number of slots that this daemon uses for requests in flight.
    pub in_use: u32,
}

/// Alarm raised by a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alarm {
    /// Name of the [`AlarmKind`](crate::alarms::AlarmKind).
    pub name: String,
    /// Details, such as the service or failure domain concerned.
    pub text: String,
}

/// Decision that a daemon would make on a request. The checks end at the first refusal; fields that
/// later checks would set are `None` or empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Configuration version that the decision is based on; 0 if the daemon has none.
    pub version: u64,
    /// Name of the customer's plan; `None` if the customer is unknown.
    pub plan: Option<String>,
    /// Name of the service of the matching route; `None` if no route matches.
    pub service: Option<String>,
    /// Name of the matching route; `None` if no route matches.
    pub route: Option<String>,
    /// Whether the request would be admitted now, apart from the customer's current usage.
    pub admitted: bool,
    /// Reason of the refusal, as in `cw-reason`; `None` if the request would be admitted.
    pub reason: Option<String>,
    /// Names of the home daemons of the service, in the order of preference.
    pub homes: Vec<String>,
    /// Names of the two daemons that grant the customer's rate to all daemons, its limit homes.
    pub limit_homes: Vec<String>,
    /// Facts behind the decision in the order in which they are checked, one sentence each.
    pub steps: Vec<String>,
}
