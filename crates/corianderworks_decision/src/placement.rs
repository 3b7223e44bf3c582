//! Placement: which daemons are homes of a service and which of them own an upstream.
//!
//! Everything is rendezvous hashing over the live members, so members with the same view
//! agree without messages, and a change of one member moves only what that member held.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DaemonKey, ServiceKey, UpstreamKey};

/// Upstreams per home that the size of a home set aims at.
const UPSTREAMS_PER_HOME: usize = 4;
/// Smallest home set: one home in each of today's failure domains.
const HOMES_MIN: usize = 4;
/// Largest home set, so that homes can exchange evidence all-to-all.
const HOMES_MAX: usize = 8;

/// A member as placement sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The daemon.
    pub daemon: DaemonKey,
    /// Its failure domain.
    pub domain: String,
}

/// The two owners of an upstream with their shares of its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owners {
    /// Owner with the larger share.
    pub first: DaemonKey,
    /// Second owner, absent when only one daemon lives.
    pub second: Option<DaemonKey>,
    /// Slots of the first owner.
    pub first_slots: u32,
    /// Slots of the second owner; 0 means that it only observes.
    pub second_slots: u32,
}

impl Owners {
    /// Returns the share of a daemon, or `None` when it is no owner.
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

/// Rendezvous weight of a daemon for a key.
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

/// Picks `count` members by weight, using each failure domain once before any twice.
pub fn spread(members: &[Candidate], key: u64, count: usize) -> Vec<DaemonKey> {
    let mut by_domain: BTreeMap<&str, Vec<(u64, DaemonKey)>> = BTreeMap::new();
    for member in members {
        let entry = (weight(member.daemon, key), member.daemon);
        by_domain.entry(&member.domain).or_default().push(entry);
    }
    let mut ranked: Vec<(usize, u64, DaemonKey)> = Vec::with_capacity(members.len());
    for list in by_domain.values_mut() {
        list.sort_unstable_by(|a, b| b.cmp(a));
        ranked.extend(
            list.iter()
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

/// Home set of a service, best first.
pub fn homes(members: &[Candidate], service: ServiceKey, upstreams: usize) -> Vec<DaemonKey> {
    spread(members, service.0, home_count(upstreams))
}

/// Owners of an upstream out of its service's home set, `None` without any home.
pub fn owners(homes: &[Candidate], upstream: UpstreamKey, slots: u32) -> Option<Owners> {
    let picked = spread(homes, upstream.0, 2);
    let first = *picked.first()?;
    let second = picked.get(1).copied();
    let second_slots = if second.is_some() { slots / 2 } else { 0 };
    Some(Owners {
        first,
        second,
        first_slots: slots - second_slots,
        second_slots,
    })
}
