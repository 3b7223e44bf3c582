//! Choice of daemons for the address response.

use std::net::SocketAddr;

use crate::ids::{DaemonKey, ServiceKey};

/// Most daemons in one address response.
pub const ADDRESSES_MAX: usize = 8;

/// A member that an address response may name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The daemon.
    pub daemon: DaemonKey,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address for callers.
    pub http_address: SocketAddr,
}

/// One daemon in an address response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightedAddress {
    /// The daemon.
    pub daemon: DaemonKey,
    /// Its address for callers.
    pub http_address: SocketAddr,
    /// Share of the caller's requests relative to the other addresses.
    pub weight: u32,
}

/// Up to eight daemons for a caller, in the order in which to use them.
///
/// `entries` are the members in state alive in any order, `homes` the home set of the service,
/// best first, `caller_domain` the domain of the caller if it named one.
pub fn addresses(
    entries: &[Entry],
    service: ServiceKey,
    homes: &[DaemonKey],
    caller_domain: Option<&str>,
    caller: u64,
) -> Vec<WeightedAddress> {
    let _ = (service, homes, caller_domain, caller);
    let address = |entry: &Entry| WeightedAddress {
        daemon: entry.daemon,
        http_address: entry.http_address,
        weight: 100,
    };
    entries.iter().take(ADDRESSES_MAX).map(address).collect()
}
