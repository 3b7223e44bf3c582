//! Types of a daemon's settings and their default values.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Settings of a daemon as validated by [`parse::settings`](crate::parse::settings).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the daemon, unique in the fleet.
    pub name: String,
    /// Region of the daemon's VM.
    pub region: String,
    /// Failure domain of the daemon's VM.
    pub domain: String,
    /// Address on which the daemon accepts requests of callers.
    pub http_address: SocketAddr,
    /// Address on which the daemon accepts connections of other daemons.
    pub peer_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Peer addresses of some other daemons, used to join the fleet when the platform is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Certificates and private key for the connections between daemons.
    pub tls: Tls,
    /// Metric that ejection prioritises.
    #[serde(default)]
    pub prefer: Prefer,
    /// Time for which callers may cache the addresses of the daemons, in seconds.
    #[serde(default = "default_keep_s")]
    pub keep_s: u32,
    /// Limits on the connections and requests of callers.
    #[serde(default)]
    pub limits: Limits,
    /// Format of the log lines.
    #[serde(default)]
    pub log: LogFormat,
    /// Load-balancing method of the daemon.
    #[serde(default)]
    pub balance: Balance,
    /// Source address of connections to backend servers, if not the default.
    #[serde(default)]
    pub outbound_ip: Option<IpAddr>,
}

/// Certificates and private key for the connections between daemons, in PEM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the fleet's certificate authority.
    pub authority_pem: String,
    /// Certificate of this daemon, signed by the authority.
    pub certificate_pem: String,
    /// Private key of the daemon's certificate.
    pub key_pem: String,
}

/// Metric that ejection prioritises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum Prefer {
    /// Short detection time, at the cost of more false ejections.
    #[default]
    Detection,
    /// Few false ejections, at the cost of a longer detection time.
    Stability,
}

/// Load-balancing method: which daemon assigns a request to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum Balance {
    /// The home daemons of a service schedule its requests, each on its share of the slots of the
    /// upstreams that it owns.
    #[default]
    Owners,
    /// Each daemon balances over all upstreams independently; the baseline for comparison.
    Alone,
}

/// Limits on the connections and requests of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum total size of the header fields of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time for a caller to send its header fields, in milliseconds.
    pub header_timeout_ms: u32,
    /// Maximum pause between two parts of a request body, in milliseconds.
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

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

pub(crate) fn default_keep_s() -> u32 {
    30
}
