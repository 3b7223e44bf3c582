//! Updates waiting to be pushed or piggybacked on other messages.

use crate::ids::DaemonKey;

/// Number of transmissions after which an update is no longer pushed outside probes. Pushes
/// reach the fleet in about a second; probes and table syncs reach members that missed them.
const PUSH_TRANSMISSIONS: u32 = 6;
/// Maximum number of members recorded per update as already having it: the probe set and as
/// many other members that probe this daemon.
const KNOWN_TO_MAX: usize = 16;

#[derive(Debug)]
struct QueuedUpdate {
    daemon: DaemonKey,
    transmissions: u32,
    urgent: bool,
    /// Members that sent this update or were sent it.
    known_to: Vec<DaemonKey>,
}

impl QueuedUpdate {
    fn is_known_to(&self, to: DaemonKey) -> bool {
        self.known_to.contains(&to)
    }

    fn mark_known_to(&mut self, to: DaemonKey) {
        if self.known_to.len() < KNOWN_TO_MAX && !self.is_known_to(to) {
            self.known_to.push(to);
        }
    }
}

/// Members with a pending update, newest last and each member at most once.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    entries: Vec<QueuedUpdate>,
}

impl UpdateQueue {
    /// Queues an update about a member, replacing an older one about the same member.
    pub(super) fn add(&mut self, daemon: DaemonKey, urgent: bool) {
        self.remove(daemon);
        self.entries.push(QueuedUpdate {
            daemon,
            transmissions: 0,
            urgent,
            known_to: Vec::new(),
        });
    }

    /// Drops the update about a member.
    pub(super) fn remove(&mut self, daemon: DaemonKey) {
        self.entries.retain(|entry| entry.daemon != daemon);
    }

    /// Records that `by` has the update about `daemon`.
    pub(super) fn mark_received(&mut self, daemon: DaemonKey, by: DaemonKey) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.daemon == daemon) {
            entry.mark_known_to(by);
        }
    }

    /// Allocated memory of the entries in bytes.
    pub(super) fn state_bytes(&self) -> usize {
        let known_to: usize = self.entries.iter().map(|e| e.known_to.capacity()).sum();
        self.entries.capacity() * size_of::<QueuedUpdate>() + known_to * size_of::<DaemonKey>()
    }

    /// Whether any of the updates that should be pushed to `to` is urgent. `None` if `to` has
    /// all of them or they were transmitted [`PUSH_TRANSMISSIONS`] times.
    pub(super) fn pending_push(&self, to: DaemonKey) -> Option<bool> {
        self.entries
            .iter()
            .filter(|entry| entry.transmissions < PUSH_TRANSMISSIONS && !entry.is_known_to(to))
            .map(|entry| entry.urgent)
            .max()
    }

    /// Passes updates that `to` doesn't have to `accept`, newest first, until it returns `false`.
    /// Each accepted update counts as transmitted.
    pub(super) fn select<F>(&mut self, to: Option<DaemonKey>, mut accept: F)
    where
        F: FnMut(DaemonKey) -> bool,
    {
        for entry in self.entries.iter_mut().rev() {
            if to.is_some_and(|to| entry.is_known_to(to)) {
                continue;
            }
            if !accept(entry.daemon) {
                break;
            }
            entry.transmissions += 1;
            if let Some(to) = to {
                entry.mark_known_to(to);
            }
        }
    }

    /// Drops updates that were transmitted `limit` times or that every neighbour has.
    pub(super) fn remove_completed(&mut self, limit: u32, neighbours: &[DaemonKey]) {
        self.entries.retain(|entry| {
            let undelivered =
                neighbours.is_empty() || neighbours.iter().any(|n| !entry.is_known_to(*n));
            entry.transmissions < limit && undelivered
        });
    }
}

/// Maximum number of transmissions of one update in a fleet of `members`.
pub(super) fn transmit_limit(members: usize) -> u32 {
    let n = members as u32 + 1;
    3 * n.next_power_of_two().trailing_zeros().max(1)
}
