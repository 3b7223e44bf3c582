//! Settings, faults and call counters of the platform stand-in, and the entries of
//! its VM list.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::fault::FaultTimeline;

/// Lifecycle state of a VM, as the VM list reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// Program that runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmKind {
    /// A daemon of the proxy fleet.
    Daemon,
    /// A backend server of the service named in the entry.
    Backend,
}

/// Entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name that identifies the VM in the list.
    pub name: String,
    /// Peer address of the daemon, or HTTP address of the backend server.
    pub address: SocketAddr,
    /// Region in which the VM runs.
    pub region: String,
    /// Failure domain within the region.
    pub domain: String,
    /// Whether the VM is about to be removed.
    pub state: VmState,
    /// Which program runs on the VM.
    pub kind: VmKind,
    /// Service that the backend server belongs to; absent for a daemon.
    #[serde(default)]
    pub service: Option<String>,
}

/// Direction in which a one-way network partition loses messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cut {
    /// Calls never arrive: they have no effect and get no response.
    Calls,
    /// Calls take effect, but their responses are lost.
    Responses,
}

/// Faults of the platform for some or all clients; the default value has none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// IP addresses of the affected clients; empty for all clients.
    pub clients: Vec<IpAddr>,
    /// Every call is answered with 503.
    pub outage: bool,
    /// Every call ends with a closed connection and has no effect.
    pub reset: bool,
    /// Delay added to every call, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes, from 0 to 1, that take effect although the connection closes
    /// without a response.
    pub lost_response_share: f64,
    /// Share of reads, from 0 to 1, that return an older version.
    pub stale_share: f64,
    /// One-way network partition; absent if messages pass in both directions.
    pub cut: Option<Cut>,
}

/// Settings of the platform stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Maximum number of writes per second; 0 for no limit.
    pub writes_per_s: u32,
    /// Maximum number of reads per second, including lists and watches; 0 for no limit.
    pub reads_per_s: u32,
    /// Time over which unused calls accumulate for a burst, in milliseconds.
    pub burst_ms: u64,
    /// Maximum size of the value of an object, in bytes.
    pub value_limit_bytes: usize,
    /// Response time of a call without faults, in milliseconds.
    pub latency_ms: u64,
    /// Maximum duration of a watch call, in milliseconds.
    pub watch_limit_ms: u64,
    /// Time until a change of the VM list becomes visible to callers, in milliseconds.
    pub vm_lag_ms: u64,
    /// Initial VM list, visible immediately.
    pub vms: Vec<Vm>,
    /// Faults that are active from the start.
    pub faults: Vec<PlatformFault>,
    /// Faults injected after the start; their target is `platform`.
    pub timeline: FaultTimeline,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Address of the control endpoint; not started if absent.
    pub control_address: Option<SocketAddr>,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            writes_per_s: 400,
            reads_per_s: 2_000,
            burst_ms: 250,
            value_limit_bytes: 1_000_000,
            latency_ms: 2,
            watch_limit_ms: 60_000,
            vm_lag_ms: 2_000,
            vms: Vec::new(),
            faults: Vec::new(),
            timeline: FaultTimeline::default(),
            seed: 1,
            control_address: None,
        }
    }
}

/// Call counters of the platform stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// `GET` calls for an object.
    pub reads: u64,
    /// `PUT` and `DELETE` calls for an object.
    pub writes: u64,
    /// Watch calls, pending and finished.
    pub watches: u64,
    /// Calls that list the objects with a prefix.
    pub lists: u64,
    /// Calls that read the VM list.
    pub vm_lists: u64,
    /// Watches currently waiting for a change.
    pub pending_watches: u64,
    /// Highest number of watches waiting at the same time.
    pub pending_watches_peak: u64,
    /// Calls answered with 429 because the call budget was exhausted.
    pub over_budget: u64,
    /// Writes answered with 412 because their condition was not met.
    pub conflicts: u64,
    /// Calls affected by a fault.
    pub faulted: u64,
    /// Highest number of writes within one second.
    pub writes_peak_per_s: u64,
    /// Highest number of reads within one second, including lists and watches.
    pub reads_peak_per_s: u64,
    /// Calls of all kinds by client address.
    pub by_client: BTreeMap<IpAddr, u64>,
}
