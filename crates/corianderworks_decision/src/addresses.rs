//! Selection of the daemons that an address response offers to a caller.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::ids::{DaemonKey, ServiceKey};
use crate::placement::weight;

/// Maximum number of daemons in one address response.
pub const ADDRESSES_MAX: usize = 8;
/// Weight of a daemon in the caller's failure domain.
const WEIGHT_SAME_DOMAIN: u32 = 4;
/// Weight of a daemon in another failure domain of the caller's region.
const WEIGHT_SAME_REGION: u32 = 2;
/// Weight of a daemon in another region, and of every daemon when the caller's domain is
/// unknown.
const WEIGHT_OTHER_REGION: u32 = 1;

/// A member that an address response may contain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressEntry {
    /// Key that the order of members for a caller is derived from.
    pub daemon: DaemonKey,
    /// Region that the daemon's failure domain belongs to.
    pub region: String,
    /// Failure domain that the daemon runs in.
    pub domain: String,
    /// Address that the daemon accepts callers' requests on.
    pub http_address: SocketAddr,
}

/// One daemon in an address response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightedAddress {
    /// Daemon that the address belongs to; each occurs at most once in a response.
    pub daemon: DaemonKey,
    /// Address that the daemon accepts callers' requests on.
    pub http_address: SocketAddr,
    /// Share of the caller's requests relative to the other addresses; at least 1.
    pub weight: u32,
}

/// Returns up to [`ADDRESSES_MAX`] daemons for a caller, in the order in which to use them.
///
/// `entries` are the members in state alive in any order, `homes` is the home set of the service
/// in order of preference, and `caller_domain` the failure domain of the caller if it sent one.
/// Homes come first, rotated by the caller's hash so that callers do not all begin with the same
/// VM. The remaining entries are members close to the caller, in an order that differs per caller.
pub fn addresses(
    entries: &[AddressEntry],
    service: ServiceKey,
    homes: &[DaemonKey],
    caller_domain: Option<&str>,
    caller_hash: u64,
) -> Vec<WeightedAddress> {
    let caller_region = caller_domain.and_then(|domain| region_of(entries, domain));
    let locality_weight = |entry: &AddressEntry| match caller_domain {
        Some(domain) if entry.domain == domain => WEIGHT_SAME_DOMAIN,
        Some(_) if Some(entry.region.as_str()) == caller_region => WEIGHT_SAME_REGION,
        _ => WEIGHT_OTHER_REGION,
    };
    let mut selected: Vec<&AddressEntry> = homes
        .iter()
        .filter_map(|home| entries.iter().find(|entry| entry.daemon == *home))
        .take(ADDRESSES_MAX)
        .collect();
    rotate(&mut selected, caller_hash);

    let mut others: Vec<&AddressEntry> = entries
        .iter()
        .filter(|entry| !homes.contains(&entry.daemon))
        .collect();
    let key = service.0 ^ caller_hash;
    others.sort_by_key(|entry| {
        (
            Reverse(locality_weight(entry)),
            Reverse(weight(entry.daemon, key)),
        )
    });
    others.truncate(ADDRESSES_MAX - selected.len());
    selected.extend(others);

    selected
        .into_iter()
        .map(|entry| WeightedAddress {
            daemon: entry.daemon,
            http_address: entry.http_address,
            weight: locality_weight(entry),
        })
        .collect()
}

fn region_of<'a>(entries: &'a [AddressEntry], domain: &str) -> Option<&'a str> {
    let matching = entries.iter().find(|entry| entry.domain == domain)?;
    Some(&matching.region)
}

fn rotate(selected: &mut [&AddressEntry], caller_hash: u64) {
    if !selected.is_empty() {
        let offset = (caller_hash % selected.len() as u64) as usize;
        selected.rotate_left(offset);
    }
}
