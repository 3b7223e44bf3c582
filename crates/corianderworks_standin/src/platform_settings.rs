//! Settings, faults and counts of the platform stand-in.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::fault::FaultTimeline;

/// State of a VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// What runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmKind {
    /// A daemon of the fleet.
    Daemon,
    /// A backend server.
    Backend,
}

/// One entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Peer address of a daemon or HTTP address of a backend server.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Live or leaving.
    pub state: VmState,
    /// Daemon or backend server.
    pub kind: VmKind,
    /// Service of a backend server.
    #[serde(default)]
    pub service: Option<String>,
}

/// Direction in which a one-way cut loses messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cut {
    /// Calls never arrive: no effect and no response.
    Calls,
    /// Calls take effect and their responses are lost.
    Responses,
}

/// Faults in force for some or all clients; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// Addresses of the affected clients; empty means all.
    pub clients: Vec<IpAddr>,
    /// Every call is answered with 503.
    pub outage: bool,
    /// Every call ends with a closed connection and without effect.
    pub reset: bool,
    /// Added to the duration of every call.
    pub delay_ms: u64,
    /// Share of writes that take effect while the connection closes without a
    /// response.
    pub lost_response_share: f64,
    /// Share of reads that return an older version.
    pub stale_share: f64,
    /// One-way loss of messages.
    pub cut: Option<Cut>,
}

/// Settings of the platform stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Writes per second, 0 for no limit.
    pub writes_per_s: u32,
    /// Reads per second, lists and watches included, 0 for no limit.
    pub reads_per_s: u32,
    /// Time for which unused calls are saved up.
    pub burst_ms: u64,
    /// Largest value.
    pub value_limit_bytes: usize,
    /// Duration of a call without fault.
    pub latency_ms: u64,
    /// Longest wait of one watch call.
    pub watch_limit_ms: u64,
    /// Time until a change of the VM list becomes visible.
    pub vm_lag_ms: u64,
    /// VM list at the start, visible at once.
    pub vms: Vec<Vm>,
    /// Faults at the start.
    pub faults: Vec<PlatformFault>,
    /// Faults by time, for the target `platform`.
    pub timeline: FaultTimeline,
    /// Seed of all random choices.
    pub seed: u64,
    /// Address of `/control/faults`; none if absent.
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

/// Calls counted by the platform stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// `GET` of an object.
    pub reads: u64,
    /// `PUT` and `DELETE` of an object.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
    /// Prefix lists.
    pub lists: u64,
    /// Reads of the VM list.
    pub vm_lists: u64,
    /// Watches waiting now.
    pub pending_watches: u64,
    /// Most watches waiting at the same time.
    pub pending_watches_peak: u64,
    /// Calls answered with 429.
    pub over_budget: u64,
    /// Writes answered with 412.
    pub conflicts: u64,
    /// Calls changed by a fault.
    pub faulted: u64,
    /// Most writes counted in one second.
    pub writes_peak_per_s: u64,
    /// Most reads of any kind counted in one second.
    pub reads_peak_per_s: u64,
    /// All calls by address of the client.
    pub by_client: BTreeMap<IpAddr, u64>,
}
