//! Settings of one daemon.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the daemon, unique in the fleet.
    pub name: String,
    /// Region of the VM.
    pub region: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address for callers.
    pub http_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Peer addresses of some other daemons, used when the platform is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Keys for the connections between daemons.
    pub tls: Tls,
    /// What ejection weighs more.
    #[serde(default)]
    pub prefer: Prefer,
    /// Time that callers keep an address answer, in seconds.
    #[serde(default = "keep_s")]
    pub keep_s: u32,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: Limits,
    /// Log format.
    #[serde(default)]
    pub log: LogFormat,
    /// How the daemon picks an upstream.
    #[serde(default)]
    pub balance: Balance,
    /// Address from which connections to backend servers leave, if not the default.
    #[serde(default)]
    pub outbound_ip: Option<IpAddr>,
}

/// Keys for the connections between daemons, in PEM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the fleet's authority.
    pub authority_pem: String,
    /// Certificate of this daemon.
    pub certificate_pem: String,
    /// Private key of this daemon.
    pub key_pem: String,
}

/// What ejection weighs more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum Prefer {
    /// Short detection time.
    #[default]
    Detection,
    /// Few false ejections.
    Stability,
}

/// How the daemon picks an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum Balance {
    /// Homes and owners.
    #[default]
    Owners,
    /// Each daemon alone over all upstreams, the baseline.
    Alone,
}

/// Limits towards callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Size of all header fields, in bytes.
    pub header_bytes: usize,
    /// Size of a request body, in bytes.
    pub body_bytes: u64,
    /// Time for a caller to send its header fields, in milliseconds.
    pub header_timeout_ms: u32,
    /// Longest pause between two parts of a body, in milliseconds.
    pub body_pause_ms: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            header_bytes: 32 * 1024,
            body_bytes: 256 * 1024 * 1024,
            header_timeout_ms: 5_000,
            body_pause_ms: 10_000,
        }
    }
}

/// Log format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// JSON lines.
    Json,
}

pub(crate) fn keep_s() -> u32 {
    30
}
