//! News waiting to be piggybacked.

use crate::ids::DaemonKey;

/// Times that news is pushed outside probes. Pushes carry news through the fleet in about a
/// second; probes and synchronisation reach whoever missed them.
const PUSH_SENDS: u32 = 6;

#[derive(Debug)]
struct Entry {
    daemon: DaemonKey,
    sent: u32,
}

/// News by member, newest last and each member once.
#[derive(Debug, Default)]
pub(super) struct Queue {
    entries: Vec<Entry>,
}

impl Queue {
    /// Adds news of a member, which replaces older news of it.
    pub(super) fn add(&mut self, daemon: DaemonKey) {
        self.remove(daemon);
        self.entries.push(Entry { daemon, sent: 0 });
    }

    /// Drops news of a member.
    pub(super) fn remove(&mut self, daemon: DaemonKey) {
        self.entries.retain(|entry| entry.daemon != daemon);
    }

    /// Memory of the entries in bytes.
    pub(super) fn state_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Entry>()
    }

    /// Whether news has not yet been pushed often enough.
    pub(super) fn wants_push(&self) -> bool {
        self.entries.iter().any(|entry| entry.sent < PUSH_SENDS)
    }

    /// Offers news to `take`, newest first, until it returns `false`; counts what it took and
    /// drops what was sent `limit` times.
    pub(super) fn offer<F>(&mut self, limit: u32, mut take: F)
    where
        F: FnMut(DaemonKey) -> bool,
    {
        for entry in self.entries.iter_mut().rev() {
            if !take(entry.daemon) {
                break;
            }
            entry.sent += 1;
        }
        self.entries.retain(|entry| entry.sent < limit);
    }
}

/// Times that one piece of news is sent in a fleet of `members`.
pub(super) fn send_limit(members: usize) -> u32 {
    let n = members as u32 + 1;
    3 * n.next_power_of_two().trailing_zeros().max(1)
}
