//! Choice of daemons for the address response.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::ids::{DaemonKey, ServiceKey};
use crate::placement::weight;

/// Most daemons in one address response.
pub const ADDRESSES_MAX: usize = 8;
/// Weight of a daemon in the caller's domain.
const WEIGHT_SAME_DOMAIN: u32 = 4;
/// Weight of a daemon elsewhere in the caller's region.
const WEIGHT_SAME_REGION: u32 = 2;
/// Weight of a daemon in another region, and of every daemon when the caller's domain is
/// unknown.
const WEIGHT_FAR: u32 = 1;

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
/// best first, `caller_domain` the domain of the caller if it named one. Homes come first and
/// are rotated among themselves by the caller's hash, so that callers do not all begin with the
/// same VM; the other places go to near members that differ per caller.
pub fn addresses(
    entries: &[Entry],
    service: ServiceKey,
    homes: &[DaemonKey],
    caller_domain: Option<&str>,
    caller: u64,
) -> Vec<WeightedAddress> {
    let caller_region = caller_domain.and_then(|domain| region_of(entries, domain));
    let nearness = |entry: &Entry| match caller_domain {
        Some(domain) if entry.domain == domain => WEIGHT_SAME_DOMAIN,
        Some(_) if Some(entry.region.as_str()) == caller_region => WEIGHT_SAME_REGION,
        _ => WEIGHT_FAR,
    };
    let mut picked: Vec<&Entry> = homes
        .iter()
        .filter_map(|home| entries.iter().find(|entry| entry.daemon == *home))
        .take(ADDRESSES_MAX)
        .collect();
    rotate(&mut picked, caller);

    let mut others: Vec<&Entry> = entries
        .iter()
        .filter(|entry| !homes.contains(&entry.daemon))
        .collect();
    let key = service.0 ^ caller;
    others.sort_by_key(|entry| (Reverse(nearness(entry)), Reverse(weight(entry.daemon, key))));
    others.truncate(ADDRESSES_MAX - picked.len());
    picked.extend(others);

    picked
        .into_iter()
        .map(|entry| WeightedAddress {
            daemon: entry.daemon,
            http_address: entry.http_address,
            weight: nearness(entry),
        })
        .collect()
}

fn region_of<'a>(entries: &'a [Entry], domain: &str) -> Option<&'a str> {
    let found = entries.iter().find(|entry| entry.domain == domain)?;
    Some(&found.region)
}

fn rotate(picked: &mut [&Entry], caller: u64) {
    if !picked.is_empty() {
        let by = (caller % picked.len() as u64) as usize;
        picked.rotate_left(by);
    }
}
