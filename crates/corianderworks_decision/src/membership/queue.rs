//! News waiting to be piggybacked.

use crate::ids::DaemonKey;

/// Times that news is pushed outside probes. Pushes carry news through the fleet in about a
/// second; probes and synchronisation reach whoever missed them.
const PUSH_SENDS: u32 = 6;
/// Receivers remembered per news: the probe set and as many others that probe this daemon.
const TOLD_MAX: usize = 16;

#[derive(Debug)]
struct Entry {
    daemon: DaemonKey,
    sent: u32,
    urgent: bool,
    /// Members that sent this news or were sent it.
    told: Vec<DaemonKey>,
}

impl Entry {
    fn is_told(&self, to: DaemonKey) -> bool {
        self.told.contains(&to)
    }

    fn tell(&mut self, to: DaemonKey) {
        if self.told.len() < TOLD_MAX && !self.is_told(to) {
            self.told.push(to);
        }
    }
}

/// News by member, newest last and each member once.
#[derive(Debug, Default)]
pub(super) struct Queue {
    entries: Vec<Entry>,
}

impl Queue {
    /// Adds news of a member, which replaces older news of it.
    pub(super) fn add(&mut self, daemon: DaemonKey, urgent: bool) {
        self.remove(daemon);
        self.entries.push(Entry {
            daemon,
            sent: 0,
            urgent,
            told: Vec::new(),
        });
    }

    /// Drops news of a member.
    pub(super) fn remove(&mut self, daemon: DaemonKey) {
        self.entries.retain(|entry| entry.daemon != daemon);
    }

    /// Notes that `by` has the news of `daemon`.
    pub(super) fn heard(&mut self, daemon: DaemonKey, by: DaemonKey) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.daemon == daemon) {
            entry.tell(by);
        }
    }

    /// Memory of the entries in bytes.
    pub(super) fn state_bytes(&self) -> usize {
        let told: usize = self.entries.iter().map(|e| e.told.capacity()).sum();
        self.entries.capacity() * size_of::<Entry>() + told * size_of::<DaemonKey>()
    }

    /// Whether there is news for `to` that has not yet been pushed often enough, and whether
    /// any of it is urgent; `None` without such news.
    pub(super) fn wants_push(&self, to: DaemonKey) -> Option<bool> {
        self.entries
            .iter()
            .filter(|entry| entry.sent < PUSH_SENDS && !entry.is_told(to))
            .map(|entry| entry.urgent)
            .max()
    }

    /// Offers news to `take`, newest first and without what `to` already has, until it returns
    /// `false`; counts what it took.
    pub(super) fn offer<F>(&mut self, to: Option<DaemonKey>, mut take: F)
    where
        F: FnMut(DaemonKey) -> bool,
    {
        for entry in self.entries.iter_mut().rev() {
            if to.is_some_and(|to| entry.is_told(to)) {
                continue;
            }
            if !take(entry.daemon) {
                break;
            }
            entry.sent += 1;
            if let Some(to) = to {
                entry.tell(to);
            }
        }
    }

    /// Drops what was sent `limit` times, and what every neighbour has.
    pub(super) fn drop_spent(&mut self, limit: u32, neighbours: &[DaemonKey]) {
        self.entries.retain(|entry| {
            let wanted = neighbours.is_empty() || neighbours.iter().any(|n| !entry.is_told(*n));
            entry.sent < limit && wanted
        });
    }
}

/// Times that one piece of news is sent at most in a fleet of `members`.
pub(super) fn send_limit(members: usize) -> u32 {
    let n = members as u32 + 1;
    3 * n.next_power_of_two().trailing_zeros().max(1)
}
