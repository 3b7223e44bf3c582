//! News waiting to be piggybacked.

use crate::ids::DaemonKey;

/// Times that news is pushed outside probes. Pushes carry news through the fleet in about a
/// second; probes and synchronisation reach whoever missed them.
const PUSH_TRANSMISSIONS: u32 = 6;
/// Receivers remembered per news: the probe set and as many others that probe this daemon.
const KNOWN_TO_MAX: usize = 16;

#[derive(Debug)]
struct QueuedUpdate {
    daemon: DaemonKey,
    transmissions: u32,
    urgent: bool,
    /// Members that sent this news or were sent it.
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

/// News by member, newest last and each member once.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    entries: Vec<QueuedUpdate>,
}

impl UpdateQueue {
    /// Adds news of a member, which replaces older news of it.
    pub(super) fn add(&mut self, daemon: DaemonKey, urgent: bool) {
        self.remove(daemon);
        self.entries.push(QueuedUpdate {
            daemon,
            transmissions: 0,
            urgent,
            known_to: Vec::new(),
        });
    }

    /// Drops news of a member.
    pub(super) fn remove(&mut self, daemon: DaemonKey) {
        self.entries.retain(|entry| entry.daemon != daemon);
    }

    /// Notes that `by` has the news of `daemon`.
    pub(super) fn mark_received(&mut self, daemon: DaemonKey, by: DaemonKey) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.daemon == daemon) {
            entry.mark_known_to(by);
        }
    }

    /// Memory of the entries in bytes.
    pub(super) fn state_bytes(&self) -> usize {
        let known_to: usize = self.entries.iter().map(|e| e.known_to.capacity()).sum();
        self.entries.capacity() * size_of::<QueuedUpdate>() + known_to * size_of::<DaemonKey>()
    }

    /// Whether there is news for `to` that has not yet been pushed often enough, and whether
    /// any of it is urgent; `None` without such news.
    pub(super) fn pending_push(&self, to: DaemonKey) -> Option<bool> {
        self.entries
            .iter()
            .filter(|entry| entry.transmissions < PUSH_TRANSMISSIONS && !entry.is_known_to(to))
            .map(|entry| entry.urgent)
            .max()
    }

    /// Offers news to `take`, newest first and without what `to` already has, until it returns
    /// `false`; counts what it took.
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

    /// Drops what was sent `limit` times, and what every neighbour has.
    pub(super) fn remove_completed(&mut self, limit: u32, neighbours: &[DaemonKey]) {
        self.entries.retain(|entry| {
            let undelivered =
                neighbours.is_empty() || neighbours.iter().any(|n| !entry.is_known_to(*n));
            entry.transmissions < limit && undelivered
        });
    }
}

/// Times that one piece of news is sent at most in a fleet of `members`.
pub(super) fn transmit_limit(members: usize) -> u32 {
    let n = members as u32 + 1;
    3 * n.next_power_of_two().trailing_zeros().max(1)
}
