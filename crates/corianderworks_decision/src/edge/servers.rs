//! Backend servers as listed by the platform, and what happens to entries that vanish.
//!
//! An entry may lapse while the store can't be reached, although its server lives. Such a
//! server comes back into the list shortly after the store; until then it stays in use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use super::peer_load::ServerTag;

/// Time after the store's return for which a lapsed entry counts as alive. The platform
/// promises that entries of living servers are back about 2 s after the store.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

new_key_type! {
    /// Key of a backend server within one daemon.
    pub struct ServerKey;
}

/// What the list says of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Id of the server's run.
    pub id: Arc<str>,
    /// Start of the run as Unix time in milliseconds; tells runs with one id apart.
    pub started_unix_ms: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

impl ServerEntry {
    /// Returns the tag that names this run in reports.
    pub fn tag(&self) -> ServerTag {
        ServerTag::of(&self.id, self.started_unix_ms)
    }
}

/// A backend server and how this daemon regards it.
#[derive(Debug, Clone)]
pub struct Server {
    /// Latest entry.
    pub entry: ServerEntry,
    /// Time until which the server is slow after its start.
    pub cold_until: Duration,
    /// Time at which the server leaves the list, if its entry vanished during an outage.
    gone_at: Option<Duration>,
}

impl Server {
    /// Whether new requests may go to this server.
    pub fn accepts(&self, now: Duration) -> bool {
        !self.entry.draining && self.gone_at.is_none_or(|at| now < at)
    }
}

/// Change of the list that callers of [`Servers`] have to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The entry says nothing new.
    Unchanged,
    /// A server that was not known, or a new run under a known id.
    Added(ServerKey),
    /// Other fields of a known server changed.
    Updated(ServerKey),
    /// A server began to leave.
    Draining(ServerKey),
    /// A server left the list.
    Removed(ServerKey),
    /// An entry vanished around an outage of the store; the server stays for now.
    Lapsed(ServerKey),
}

/// All listed backend servers.
#[derive(Debug, Default)]
pub struct Servers {
    arena: SlotMap<ServerKey, Server>,
    by_id: HashMap<Arc<str>, ServerKey>,
    by_tag: HashMap<ServerTag, ServerKey>,
    by_service: HashMap<Arc<str>, Vec<ServerKey>>,
    /// Time at which the store answered again after an outage.
    store_back_at: Option<Duration>,
    store_reachable: bool,
}

impl Servers {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether the store answers.
    pub fn set_store_reachable(&mut self, reachable: bool, now: Duration) {
        if reachable && !self.store_reachable && !self.by_id.is_empty() {
            self.store_back_at = Some(now);
        }
        self.store_reachable = reachable;
    }

    /// Returns a server.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.arena.get(key)
    }

    /// Returns the key of a tag.
    pub fn key_of_tag(&self, tag: ServerTag) -> Option<ServerKey> {
        self.by_tag.get(&tag).copied()
    }

    /// Returns the key of an id.
    pub fn key_of(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the servers of a service, in no particular order.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = (ServerKey, &'a Server)>
    where
        Self: 'a,
    {
        let keys = self.by_service.get(service).map(Vec::as_slice);
        keys.unwrap_or_default()
            .iter()
            .filter_map(|k| self.arena.get(*k).map(|s| (*k, s)))
    }

    /// Returns the entries of all servers.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.arena.values().map(|s| &s.entry)
    }

    /// Number of servers in the list.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Applies a new state of an entry.
    pub fn upsert(&mut self, entry: ServerEntry, now: Duration) -> Change {
        let Some(&key) = self.by_id.get(&entry.id) else {
            return Change::Added(self.insert(entry, now));
        };
        let Some(server) = self.arena.get_mut(key) else {
            return Change::Added(self.insert(entry, now));
        };
        if entry.started_unix_ms < server.entry.started_unix_ms {
            return Change::Unchanged;
        }
        let other_run = entry.started_unix_ms > server.entry.started_unix_ms
            || entry.address != server.entry.address
            || entry.service != server.entry.service;
        if other_run {
            self.remove_now(key);
            return Change::Added(self.insert(entry, now));
        }
        server.gone_at = None;
        server.cold_until = now + entry.cold;
        let started_draining = entry.draining && !server.entry.draining;
        let changed = server.entry != entry;
        server.entry = entry;
        match (started_draining, changed) {
            (true, _) => Change::Draining(key),
            (false, true) => Change::Updated(key),
            (false, false) => Change::Unchanged,
        }
    }

    /// Time for which an entry that vanishes now may have lapsed although its server lives.
    pub fn lapse_grace(&self, now: Duration) -> Duration {
        let ends = self.store_back_at.map(|at| at + LAPSE_GRACE);
        ends.map_or(Duration::ZERO, |ends| ends.saturating_sub(now))
    }

    /// Applies that an entry is no longer in the store. The server stays in use for `grace`.
    pub fn vanish(&mut self, id: &str, grace: Duration, now: Duration) -> Change {
        let Some(&key) = self.by_id.get(id) else {
            return Change::Unchanged;
        };
        match self.arena.get_mut(key) {
            Some(server) if !grace.is_zero() && !server.entry.draining => {
                server.gone_at.get_or_insert(now + grace);
                Change::Lapsed(key)
            }
            _ => {
                self.remove_now(key);
                Change::Removed(key)
            }
        }
    }

    /// Digest of the entries as they stand in the store. Equal lists have equal digests.
    pub fn digest(&self) -> u64 {
        let listed = self.arena.values().filter(|s| s.gone_at.is_none());
        listed.fold(0, |digest, server| digest ^ entry_digest(&server.entry))
    }

    /// Replaces the list by a complete one.
    pub fn replace_all<I>(&mut self, entries: I, now: Duration) -> Vec<Change>
    where
        I: IntoIterator<Item = ServerEntry>,
    {
        let grace = self.lapse_grace(now);
        let entries: Vec<_> = entries.into_iter().collect();
        let listed: std::collections::HashSet<Arc<str>> =
            entries.iter().map(|e| e.id.clone()).collect();
        let mut missing: Vec<_> = self.by_id.keys().cloned().collect();
        missing.retain(|id| !listed.contains(id));
        let mut changes: Vec<_> = entries.into_iter().map(|e| self.upsert(e, now)).collect();
        changes.extend(missing.iter().map(|id| self.vanish(id, grace, now)));
        changes
    }

    /// Removes the servers whose lapsed entries did not come back in time.
    pub fn expire(&mut self, now: Duration) -> Vec<ServerKey> {
        let expired = |s: &Server| s.gone_at.is_some_and(|at| now >= at);
        let keys: Vec<_> = self
            .arena
            .iter()
            .filter(|(_, s)| expired(s))
            .map(|(k, _)| k)
            .collect();
        for key in &keys {
            self.remove_now(*key);
        }
        keys
    }

    fn insert(&mut self, entry: ServerEntry, now: Duration) -> ServerKey {
        let (id, service) = (entry.id.clone(), entry.service.clone());
        let tag = entry.tag();
        let key = self.arena.insert(Server {
            cold_until: now + entry.cold,
            entry,
            gone_at: None,
        });
        self.by_id.insert(id, key);
        self.by_tag.insert(tag, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    fn remove_now(&mut self, key: ServerKey) {
        let Some(server) = self.arena.remove(key) else {
            return;
        };
        self.by_id.remove(&server.entry.id);
        self.by_tag.remove(&server.entry.tag());
        if let Some(keys) = self.by_service.get_mut(&server.entry.service) {
            keys.retain(|k| *k != key);
        }
    }
}

fn entry_digest(entry: &ServerEntry) -> u64 {
    let text = format!("{} {} {}", entry.id, entry.address, entry.draining);
    xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), entry.started_unix_ms)
}
