//! Probe sets: the neighbours of a member on rings by rendezvous hashing.

use crate::ids::DaemonKey;
use crate::placement::weight;

/// Members that a daemon probes.
pub(super) const PROBE_SET: usize = 8;
/// Independent rings. Two neighbours on each of four rings make a graph in which any two of
/// 430 members are about four steps apart; eight neighbours on one ring need up to 54 steps,
/// which is too slow for news that travels along probes.
const RINGS: u64 = 4;

/// Neighbours of `me` on all rings, at most [`PROBE_SET`] and each once.
///
/// Members with the same view select each other, so each is probed by as many as it probes.
pub(super) fn probe_set(me: DaemonKey, others: &[DaemonKey]) -> Vec<DaemonKey> {
    if others.len() <= PROBE_SET {
        return others.to_vec();
    }
    let rings: Vec<Vec<DaemonKey>> = (0..RINGS).map(|ring| order(me, others, ring)).collect();
    let mut picked = Vec::with_capacity(PROBE_SET);
    // The nearest neighbours of all rings come first; further ones fill the places of
    // members that are neighbours on several rings.
    for step in 0..others.len() {
        for ring in &rings {
            for daemon in [ring[step], ring[ring.len() - 1 - step]] {
                if picked.len() < PROBE_SET && !picked.contains(&daemon) {
                    picked.push(daemon);
                }
            }
        }
        if picked.len() == PROBE_SET {
            break;
        }
    }
    picked
}

/// The other members on one ring, beginning behind `me`.
fn order(me: DaemonKey, others: &[DaemonKey], ring: u64) -> Vec<DaemonKey> {
    let start = (weight(me, ring), me);
    let mut ranked: Vec<(u64, DaemonKey)> = others.iter().map(|&d| (weight(d, ring), d)).collect();
    ranked.sort_unstable();
    let behind = ranked.partition_point(|entry| *entry < start);
    ranked.rotate_left(behind);
    ranked.into_iter().map(|(_, daemon)| daemon).collect()
}
