//! Placement: selects the home daemons of a service and, among them, the owners of each upstream.
//!
//! Placement is rendezvous hashing over the live members, so members with the same view agree
//! without messages, and a change of one member moves only what was assigned to it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DaemonKey, ServiceKey, UpstreamKey};

/// Target number of upstreams per home, which determines the size of a home set.
const UPSTREAMS_PER_HOME: usize = 4;
/// Minimum size of a home set: one home in each of the current four failure domains.
const HOMES_MIN: usize = 4;
/// Maximum size of a home set, so that homes can exchange evidence all-to-all.
const HOMES_MAX: usize = 8;

/// A live member that placement may select.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Key that the rendezvous weights are computed from.
    pub daemon: DaemonKey,
    /// Failure domain that the daemon runs in.
    pub domain: String,
}

/// The two owners of an upstream with their shares of its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owners {
    /// Owner with the larger or an equal share.
    pub first: DaemonKey,
    /// Second owner, `None` when the service has a single home.
    pub second: Option<DaemonKey>,
    /// Slots of the first owner: half of all, rounded up, or all without a second owner.
    pub first_slots: u32,
    /// Slots of the second owner; with 0 it only observes.
    pub second_slots: u32,
}

impl Owners {
    /// Returns the slots of a daemon, or `None` when it is not an owner.
    pub fn share(&self, daemon: DaemonKey) -> Option<u32> {
        if self.first == daemon {
            Some(self.first_slots)
        } else if self.second == Some(daemon) {
            Some(self.second_slots)
        } else {
            None
        }
    }
}

/// Rendezvous weight of a daemon for a key; the highest weight is preferred.
pub fn weight(daemon: DaemonKey, key: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&daemon.0.to_le_bytes());
    bytes[8..].copy_from_slice(&key.to_le_bytes());
    xxh3_64(&bytes)
}

/// Number of homes of a service with this many upstreams.
pub fn home_count(upstreams: usize) -> usize {
    upstreams
        .div_ceil(UPSTREAMS_PER_HOME)
        .clamp(HOMES_MIN, HOMES_MAX)
}

/// Selects up to `count` members by weight, with one from each failure domain before a second from
/// any.
pub fn select_across_domains(members: &[Candidate], key: u64, count: usize) -> Vec<DaemonKey> {
    let mut by_domain: BTreeMap<&str, Vec<(u64, DaemonKey)>> = BTreeMap::new();
    for member in members {
        let entry = (weight(member.daemon, key), member.daemon);
        by_domain.entry(&member.domain).or_default().push(entry);
    }
    let mut ranked: Vec<(usize, u64, DaemonKey)> = Vec::with_capacity(members.len());
    for domain_members in by_domain.values_mut() {
        domain_members.sort_unstable_by(|a, b| b.cmp(a));
        ranked.extend(
            domain_members
                .iter()
                .enumerate()
                .map(|(round, &(w, d))| (round, u64::MAX - w, d)),
        );
    }
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(count)
        .map(|(_, _, daemon)| daemon)
        .collect()
}

/// Returns the home set of a service in order of preference.
pub fn homes(members: &[Candidate], service: ServiceKey, upstreams: usize) -> Vec<DaemonKey> {
    select_across_domains(members, service.0, home_count(upstreams))
}

/// Selects the owners of an upstream from its service's home set, `None` when the set is empty.
pub fn owners(homes: &[Candidate], upstream: UpstreamKey, slots: u32) -> Option<Owners> {
    let selected = select_across_domains(homes, upstream.0, 2);
    let first = *selected.first()?;
    let second = selected.get(1).copied();
    let second_slots = if second.is_some() { slots / 2 } else { 0 };
    Some(Owners {
        first,
        second,
        first_slots: slots - second_slots,
        second_slots,
    })
}
