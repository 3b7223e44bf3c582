//! Selects the members to probe: the neighbours on several rings ordered by rendezvous hashing.

use crate::ids::DaemonKey;
use crate::placement::weight;

/// Maximum number of members that a daemon probes.
pub(super) const PROBE_SET_SIZE: usize = 8;
/// Number of independent rings. With two neighbours on each of four rings, any two of 430
/// members are about four hops apart. With eight neighbours on a single ring it would be up to
/// 54 hops, too slow for updates piggybacked on probes.
const RING_COUNT: u64 = 4;

/// Distinct neighbours of `local` on all rings, at most [`PROBE_SET_SIZE`].
///
/// Members with the same view select each other, so each is probed by as many as it probes.
pub(super) fn probe_set(local: DaemonKey, others: &[DaemonKey]) -> Vec<DaemonKey> {
    if others.len() <= PROBE_SET_SIZE {
        return others.to_vec();
    }
    let rings: Vec<Vec<DaemonKey>> = (0..RING_COUNT)
        .map(|ring| ring_order(local, others, ring))
        .collect();
    let mut selected = Vec::with_capacity(PROBE_SET_SIZE);
    // The nearest neighbours on all rings come first. More distant ones replace members that
    // are neighbours on several rings.
    for distance in 0..others.len() {
        for ring in &rings {
            for daemon in [ring[distance], ring[ring.len() - 1 - distance]] {
                if selected.len() < PROBE_SET_SIZE && !selected.contains(&daemon) {
                    selected.push(daemon);
                }
            }
        }
        if selected.len() == PROBE_SET_SIZE {
            break;
        }
    }
    selected
}

/// The other members in the order of one ring, starting with the successor of `local`.
fn ring_order(local: DaemonKey, others: &[DaemonKey], ring: u64) -> Vec<DaemonKey> {
    let start = (weight(local, ring), local);
    let mut ranked: Vec<(u64, DaemonKey)> = others.iter().map(|&d| (weight(d, ring), d)).collect();
    ranked.sort_unstable();
    let successor = ranked.partition_point(|entry| *entry < start);
    ranked.rotate_left(successor);
    ranked.into_iter().map(|(_, daemon)| daemon).collect()
}
