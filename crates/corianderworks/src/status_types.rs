//! Responses of `GET /v1/status` and `GET /v1/explain`.

use std::net::SocketAddr;

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

/// What a daemon does and knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the daemon.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
    /// Its run, the wall-clock start in milliseconds.
    pub incarnation: u64,
    /// Time since its start, in seconds.
    pub uptime_s: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Configuration in force; `None` before the first.
    pub configuration: Option<ConfigurationStatus>,
    /// Connection to the platform.
    pub platform: PlatformStatus,
    /// Members as this daemon sees them.
    pub members: Vec<MemberStatus>,
    /// Services as this daemon sees them.
    pub services: Vec<ServiceStatus>,
    /// Conditions that need attention.
    pub alarms: Vec<Alarm>,
}

/// Configuration in force at a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// Version of the lists.
    pub version: u64,
    /// Id of the change that produced it.
    pub change_id: String,
    /// Operator who made the change.
    pub who: String,
    /// Time of the change.
    pub when: Timestamp,
    /// Reason given by the operator.
    pub reason: String,
}

/// Connection to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether the last call succeeded.
    pub reachable: bool,
    /// Time since the last successful call, in seconds.
    pub last_success_s: Option<u64>,
    /// Calls since the start.
    pub calls: u64,
}

/// A member as this daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address for other daemons.
    pub peer_address: SocketAddr,
    /// `alive`, `suspected`, `dead`, `leaving` or `left`.
    pub state: String,
    /// Its configuration version.
    pub version: u64,
}

/// A service as this daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub name: String,
    /// Names of its home daemons.
    pub homes: Vec<String>,
    /// Healthy backend servers that ejection never goes below.
    pub floor: u32,
    /// Healthy backend servers now.
    pub healthy: u32,
    /// Requests that wait here for a slot.
    pub queued: u32,
    /// Ejection permits that this daemon holds.
    pub permits: Vec<u32>,
    /// Upstreams that this daemon owns.
    pub upstreams: Vec<UpstreamStatus>,
}

/// An upstream that this daemon owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the VM.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// `healthy`, `ejected`, `trial`, `ranked-last`, `path-fault` or `leaving`.
    pub state: String,
    /// Why it is in this state, if it is not healthy.
    pub reason: Option<String>,
    /// Slots that this daemon may use.
    pub slots: u32,
    /// Slots in use by this daemon.
    pub in_use: u32,
}

/// A condition that needs attention.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alarm {
    /// Name of an [`AlarmKind`](crate::alarms::AlarmKind).
    pub name: String,
    /// What was seen.
    pub text: String,
}

/// What would happen to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Configuration version that the answer is based on.
    pub version: u64,
    /// Plan of the customer, if the customer is known.
    pub plan: Option<String>,
    /// Service of the matching route, if any.
    pub service: Option<String>,
    /// Name of the matching route, if any.
    pub route: Option<String>,
    /// Whether the request would be admitted now.
    pub admitted: bool,
    /// Reason of the refusal, as in `cw-reason`.
    pub reason: Option<String>,
    /// Names of the home daemons of the service, in the order of preference.
    pub homes: Vec<String>,
    /// Names of the limit homes of the customer.
    pub limit_homes: Vec<String>,
    /// Other facts in the order of the decisions, one sentence each.
    pub steps: Vec<String>,
}
