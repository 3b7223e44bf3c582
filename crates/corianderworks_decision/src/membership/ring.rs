//! Probe sets: the neighbours of a member on rings by rendezvous hashing.

use crate::ids::DaemonKey;
use crate::placement::weight;

/// Members that a daemon probes.
pub(super) const PROBE_SET_SIZE: usize = 8;
/// Independent rings. Two neighbours on each of four rings make a graph in which any two of
/// 430 members are about four steps apart; eight neighbours on one ring need up to 54 steps,
/// which is too slow for news that travels along probes.
const RING_COUNT: u64 = 4;

/// Neighbours of `me` on all rings, at most [`PROBE_SET`] and each once.
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
    // The nearest neighbours of all rings come first; further ones fill the places of
    // members that are neighbours on several rings.
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

/// The other members on one ring, beginning behind `me`.
fn ring_order(local: DaemonKey, others: &[DaemonKey], ring: u64) -> Vec<DaemonKey> {
    let start = (weight(local, ring), local);
    let mut ranked: Vec<(u64, DaemonKey)> = others.iter().map(|&d| (weight(d, ring), d)).collect();
    ranked.sort_unstable();
    let successor = ranked.partition_point(|entry| *entry < start);
    ranked.rotate_left(successor);
    ranked.into_iter().map(|(_, daemon)| daemon).collect()
}
