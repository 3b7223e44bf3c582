//! Backend servers listed in the platform's store, and the handling of lapsed entries.
//!
//! While the store is unreachable, the entry of a server may lapse although the server is
//! running. Such a server registers again shortly after the store recovers and is kept in use
//! until then.
//!
//! Entries arrive from the store and from other daemons, in any order. Store revisions order them:
//! an entry or a removal that is older than what is known is ignored, also if the server has left
//! since. What a server says of itself in its responses ([`Announcement`]) holds for the run of the
//! server, whatever its entry says.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::{SecondaryMap, SlotMap, new_key_type};

use super::peer_load::ServerTag;

/// Shortest time without any contact with the store that counts as an outage in which entries may
/// have lapsed, if the caller sets no other one.
const LAPSE_OUTAGE_MIN: Duration = Duration::from_millis(3_000);
/// Time after the store recovers for which servers with a lapsed entry are kept. The platform
/// guarantees that running servers are registered again about 2 s after the store recovers.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);
/// Time for which a removed server is remembered, so that neither a delayed entry nor a new entry
/// of the same run brings it back. Daemons are silent for minutes in network partitions.
const REMOVED_MEMORY: Duration = Duration::from_secs(15 * 60);

new_key_type! {
    /// Key of a run of a backend server at an address; only valid within one daemon. A run whose
    /// entry leaves the store and comes back keeps its key.
    pub struct ServerKey;
}

/// Entry of a backend server in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Id of the server; a new run may register under the same id.
    pub id: Arc<str>,
    /// Store revision of the entry; the highest one is the latest.
    pub revision: u64,
    /// Start of the run as Unix time in milliseconds; distinguishes runs with the same id.
    pub started_unix_ms: u64,
    /// Name of the service that the server runs.
    pub service: Arc<str>,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: Arc<str>,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server is shutting down and takes no new requests.
    pub draining: bool,
    /// Remaining cold start, during which the server is slow.
    pub cold: Duration,
}

impl ServerEntry {
    /// Computes the tag that identifies this run in reports.
    pub fn tag(&self) -> ServerTag {
        ServerTag::of(&self.id, self.started_unix_ms)
    }
}

/// What a server says of itself in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announcement {
    /// It is shutting down and takes no new requests.
    Leaving,
    /// It wants no requests from this daemon until this time.
    PausedUntil(Duration),
}

/// Announcements of a run of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Announced {
    leaving: bool,
    paused_until: Duration,
}

impl Announced {
    fn record(&mut self, announcement: Announcement) {
        match announcement {
            Announcement::Leaving => self.leaving = true,
            Announcement::PausedUntil(until) => self.paused_until = self.paused_until.max(until),
        }
    }
}

/// Whether new requests may be sent to a server, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It takes requests.
    Open,
    /// It wants no requests from this daemon until this time.
    Paused(Duration),
    /// It said in a response that it is shutting down.
    Leaving,
    /// Its entry says that it is shutting down.
    Draining,
    /// Its entry lapsed and was not renewed in time.
    Lapsed,
}

/// A backend server as tracked by this daemon.
#[derive(Debug, Clone)]
pub struct Server {
    /// Latest entry from the store.
    pub entry: ServerEntry,
    /// End of the server's cold start.
    pub cold_until: Duration,
    entry_digest: u64,
    /// Time at which the server is removed, if its entry lapsed around a store outage.
    expires_at: Option<Duration>,
    announced: Announced,
}

impl Server {
    /// Returns whether new requests may be sent to the server, and why not.
    pub fn availability(&self, now: Duration) -> Availability {
        if self.announced.leaving {
            Availability::Leaving
        } else if self.entry.draining {
            Availability::Draining
        } else if self.expires_at.is_some_and(|at| now >= at) {
            Availability::Lapsed
        } else if now < self.announced.paused_until {
            Availability::Paused(self.announced.paused_until)
        } else {
            Availability::Open
        }
    }

    /// Whether new requests may be sent to the server.
    pub fn accepts_requests(&self, now: Duration) -> bool {
        self.availability(now) == Availability::Open
    }
}

/// What a key stands for, also if the server was removed recently.
#[derive(Debug)]
pub struct Run {
    /// Id of the server in the store.
    pub id: Arc<str>,
    /// Tag of the run in reports.
    pub tag: ServerTag,
}

/// Id whose entry was removed.
#[derive(Debug)]
struct Removed {
    /// Store revision up to which entries under the id are outdated.
    revision: u64,
    /// Run that was listed; `None` if none was known.
    run: Option<RemovedRun>,
    at: Duration,
}

/// Run of a server that was removed and may be listed again.
#[derive(Debug)]
struct RemovedRun {
    key: ServerKey,
    started_unix_ms: u64,
    service: Arc<str>,
    address: SocketAddr,
    announced: Announced,
}

/// Result of applying an update to [`Servers`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed.
    Unchanged,
    /// A new server, or a new run under a known id, was added.
    Added(ServerKey),
    /// Other fields of a known server changed.
    Updated(ServerKey),
    /// A server started draining.
    Draining(ServerKey),
    /// A server was removed.
    Removed(RemovedServer),
    /// The entry of a server lapsed around a store outage; the server is kept for the grace
    /// period.
    Lapsed(ServerKey),
}

/// A server that has just been removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemovedServer {
    /// Its key.
    pub key: ServerKey,
    /// Its id in the store.
    pub id: Arc<str>,
    /// Name of the service that it ran.
    pub service: Arc<str>,
}

/// Latest contact of the fleet with the store, as far as this daemon knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreContact {
    /// Neither this daemon nor another one has called the store since this daemon started.
    #[default]
    None,
    /// The first calls failed, so the daemon may have started during an outage.
    Failing,
    /// The store last responded at this time, to this daemon or to another one.
    LastAt(Duration),
}

/// All known backend servers, indexed by id, tag and service.
#[derive(Debug)]
pub struct Servers {
    /// Runs that are listed or were removed recently.
    runs: SlotMap<ServerKey, Run>,
    listed: SecondaryMap<ServerKey, Server>,
    by_id: HashMap<Arc<str>, ServerKey>,
    by_tag: HashMap<ServerTag, ServerKey>,
    by_service: HashMap<Arc<str>, Vec<ServerKey>>,
    /// Servers that were removed recently, by id.
    removed: HashMap<Arc<str>, Removed>,
    /// Store revision of the latest list. Unknown entries up to it belong to servers that had been
    /// removed by then.
    listed_revision: u64,
    /// Time without contact with the store after which entries may have lapsed in an outage.
    lapse_outage_min: Duration,
    store_contact: StoreContact,
    /// Time at which the store became reachable again after such an outage.
    store_recovered_at: Option<Duration>,
}

impl Default for Servers {
    fn default() -> Self {
        Self::with_lapse_outage_min(LAPSE_OUTAGE_MIN)
    }
}

impl Servers {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty list. Entries may lapse if the store is away for `lapse_outage_min`: a
    /// shorter outage ends before the entries of running servers expire.
    pub fn with_lapse_outage_min(lapse_outage_min: Duration) -> Self {
        Self {
            runs: SlotMap::default(),
            listed: SecondaryMap::default(),
            by_id: HashMap::new(),
            by_tag: HashMap::new(),
            by_service: HashMap::new(),
            removed: HashMap::new(),
            listed_revision: 0,
            lapse_outage_min,
            store_contact: StoreContact::None,
            store_recovered_at: None,
        }
    }

    /// Records that the store has responded, to this daemon or to another one that reports it. The
    /// first response after an outage starts the grace period for lapsed entries.
    pub fn store_responded(&mut self, now: Duration) {
        if self.is_in_outage(now) && !self.by_id.is_empty() {
            self.store_recovered_at = Some(now);
        }
        self.store_contact = StoreContact::LastAt(now);
    }

    /// Records that a call of this daemon to the store has failed. That alone is no outage: the
    /// daemon may be cut off from a store that serves the others.
    pub fn store_call_failed(&mut self) {
        if self.store_contact == StoreContact::None {
            self.store_contact = StoreContact::Failing;
        }
    }

    /// Whether the store has not responded to any daemon for so long that entries of running servers
    /// may have lapsed.
    fn is_in_outage(&self, now: Duration) -> bool {
        match self.store_contact {
            StoreContact::None => false,
            StoreContact::Failing => true,
            StoreContact::LastAt(at) => now.saturating_sub(at) >= self.lapse_outage_min,
        }
    }

    /// Returns a server, or `None` if it was removed.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.listed.get(key)
    }

    /// Returns the key of the listed run with this tag.
    pub fn key_of_tag(&self, tag: ServerTag) -> Option<ServerKey> {
        let key = self.key_of_run(tag)?;
        self.listed.contains_key(key).then_some(key)
    }

    /// Returns the key of the run with this tag, also if it was removed recently.
    pub fn key_of_run(&self, tag: ServerTag) -> Option<ServerKey> {
        self.by_tag.get(&tag).copied()
    }

    /// Returns a run, also if it was removed recently.
    pub fn run(&self, key: ServerKey) -> Option<&Run> {
        self.runs.get(key)
    }

    /// Returns the key of the current run with this id.
    pub fn key_of_id(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the time since the store was last known to answer, to this daemon or to another one
    /// that told it; `None` if it never was.
    pub fn since_store_response(&self, now: Duration) -> Option<Duration> {
        match self.store_contact {
            StoreContact::LastAt(at) => Some(now.saturating_sub(at)),
            StoreContact::None | StoreContact::Failing => None,
        }
    }

    /// Returns the servers of a service, in no particular order.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = (ServerKey, &'a Server)>
    where
        Self: 'a,
    {
        let keys = self.by_service.get(service).map(Vec::as_slice);
        keys.unwrap_or_default()
            .iter()
            .filter_map(|k| self.listed.get(*k).map(|s| (*k, s)))
    }

    /// Returns the services that have or had servers.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_service.keys()
    }

    /// Returns the entries of all servers, including lapsed ones.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.listed.values().map(|s| &s.entry)
    }

    /// Returns the number of servers, including those with a lapsed entry.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Adds or updates the server of an entry. An entry of an earlier run or with an outdated
    /// revision is ignored.
    pub fn upsert(&mut self, entry: ServerEntry, now: Duration) -> Change {
        let is_listed = self.by_id.contains_key(&entry.id);
        let removed = self.removed.get(&entry.id);
        let is_outdated = entry.revision <= self.listed_revision
            || removed.is_some_and(|r| entry.revision <= r.revision);
        if !is_listed && is_outdated {
            return Change::Unchanged;
        }
        self.add_or_update(entry, now)
    }

    fn find_mut(&mut self, id: &str) -> Option<(ServerKey, &mut Server)> {
        let key = self.key_of_id(id)?;
        Some((key, self.listed.get_mut(key)?))
    }

    fn add_or_update(&mut self, entry: ServerEntry, now: Duration) -> Change {
        let Some((key, server)) = self.find_mut(&entry.id) else {
            return Change::Added(self.insert(entry, now));
        };
        if entry.started_unix_ms < server.entry.started_unix_ms
            || entry.revision < server.entry.revision
        {
            return Change::Unchanged;
        }
        let is_other_run = entry.started_unix_ms > server.entry.started_unix_ms
            || entry.address != server.entry.address
            || entry.service != server.entry.service;
        if is_other_run {
            self.remove_server(key, now);
            return Change::Added(self.insert(entry, now));
        }
        server.expires_at = None;
        server.cold_until = now + entry.cold;
        let started_draining = entry.draining && !server.entry.draining;
        let changed = server.entry != entry;
        server.entry_digest = entry_digest(&entry);
        server.entry = entry;
        match (started_draining, changed) {
            (true, _) => Change::Draining(key),
            (false, true) => Change::Updated(key),
            (false, false) => Change::Unchanged,
        }
    }

    /// Records what a server said of itself, also if it was removed recently. Returns whether it is
    /// new.
    pub fn announce(&mut self, key: ServerKey, announcement: Announcement) -> bool {
        let Some(announced) = self.announced_mut(key) else {
            return false;
        };
        let before = *announced;
        announced.record(announcement);
        *announced != before
    }

    fn announced_mut(&mut self, key: ServerKey) -> Option<&mut Announced> {
        if let Some(server) = self.listed.get_mut(key) {
            return Some(&mut server.announced);
        }
        let removed = self.removed.get_mut(&self.runs.get(key)?.id)?;
        let run = removed.run.as_mut().filter(|run| run.key == key)?;
        Some(&mut run.announced)
    }

    /// Returns the servers that said that they are shutting down.
    pub fn leaving(&self) -> impl Iterator<Item = &ServerEntry> {
        let leaving = self.listed.values().filter(|s| s.announced.leaving);
        leaving.map(|s| &s.entry)
    }

    /// Returns the time at which the first paused server of a service takes requests again, or
    /// `None` if none is paused.
    pub fn next_opening(&self, service: &str, now: Duration) -> Option<Duration> {
        let opening = |server: &Server| match server.availability(now) {
            Availability::Paused(until) => Some(until),
            _ => None,
        };
        self.of_service(service)
            .filter_map(|(_, server)| opening(server))
            .min()
    }

    /// Returns the time for which the server of an entry that is missing now is kept, because
    /// the entry may have lapsed in a store outage. Zero without a recent outage.
    pub fn lapse_grace(&self, now: Duration) -> Duration {
        if self.is_in_outage(now) {
            return LAPSE_GRACE;
        }
        let ends = self.store_recovered_at.map(|at| at + LAPSE_GRACE);
        ends.map_or(Duration::ZERO, |ends| ends.saturating_sub(now))
    }

    /// Handles the removal of an entry from the store as of `revision`. The server is kept for
    /// `grace`, unless it was draining. A removal that is older than the known entry is ignored.
    pub fn remove_entry(
        &mut self,
        id: &str,
        revision: u64,
        grace: Duration,
        now: Duration,
    ) -> Change {
        let Some((key, server)) = self.find_mut(id) else {
            self.remember_removal(id.into(), revision, now);
            return Change::Unchanged;
        };
        if revision < server.entry.revision {
            return Change::Unchanged;
        }
        server.entry.revision = revision;
        if !grace.is_zero() && !server.entry.draining {
            server
                .expires_at
                .get_or_insert(now + grace.min(LAPSE_GRACE));
            return Change::Lapsed(key);
        }
        let (id, service) = (server.entry.id.clone(), server.entry.service.clone());
        self.remove_server(key, now);
        Change::Removed(RemovedServer { key, id, service })
    }

    /// Returns a digest of all entries that are in the store. It doesn't depend on their order.
    pub fn digest(&self) -> u64 {
        let listed = self.listed.values().filter(|s| s.expires_at.is_none());
        listed.fold(0, |digest, server| digest ^ server.entry_digest)
    }

    /// Replaces all entries by a list of the store as of `revision`. Servers that are missing from
    /// `entries` are removed, or lapse within the grace period after a store outage. Entries that
    /// are newer than the list are kept.
    pub fn replace_all<I>(&mut self, entries: I, revision: u64, now: Duration) -> Vec<Change>
    where
        I: IntoIterator<Item = ServerEntry>,
    {
        let grace = self.lapse_grace(now);
        let entries: Vec<_> = entries.into_iter().collect();
        let listed: std::collections::HashSet<Arc<str>> =
            entries.iter().map(|e| e.id.clone()).collect();
        let mut missing: Vec<_> = self.by_id.keys().cloned().collect();
        missing.retain(|id| !listed.contains(id));
        let mut changes = Vec::new();
        for entry in entries {
            let removed = self.removed.get(&entry.id);
            if removed.is_none_or(|r| r.revision <= revision) {
                changes.push(self.add_or_update(entry, now));
            }
        }
        for id in &missing {
            changes.push(self.remove_entry(id, revision, grace, now));
        }
        self.listed_revision = self.listed_revision.max(revision);
        changes
    }

    /// Removes the servers whose entries lapsed and were not renewed within the grace period.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<RemovedServer> {
        let expired = |s: &Server| s.expires_at.is_some_and(|at| now >= at);
        let removed: Vec<_> = self
            .listed
            .iter()
            .filter(|(_, s)| expired(s))
            .map(|(key, server)| RemovedServer {
                key,
                id: server.entry.id.clone(),
                service: server.entry.service.clone(),
            })
            .collect();
        for server in &removed {
            self.remove_server(server.key, now);
        }
        self.forget_removed(now);
        removed
    }

    /// Forgets the runs that were removed too long ago to come back.
    fn forget_removed(&mut self, now: Duration) {
        let is_old = |r: &Removed| now.saturating_sub(r.at) >= REMOVED_MEMORY;
        let forgotten: Vec<_> = self.removed.extract_if(|_, r| is_old(r)).collect();
        for run in forgotten.into_iter().filter_map(|(_, r)| r.run) {
            self.forget_run(run.key);
        }
    }

    fn forget_run(&mut self, key: ServerKey) {
        if let Some(run) = self.runs.remove(key)
            && self.by_tag.get(&run.tag) == Some(&key)
        {
            self.by_tag.remove(&run.tag);
        }
    }

    fn insert(&mut self, entry: ServerEntry, now: Duration) -> ServerKey {
        let (id, service, tag) = (entry.id.clone(), entry.service.clone(), entry.tag());
        let removed = self.removed.remove(&id).and_then(|removed| removed.run);
        let same_run = removed
            .as_ref()
            .filter(|run| run.started_unix_ms == entry.started_unix_ms);
        let announced = same_run.map(|run| run.announced).unwrap_or_default();
        let kept_key = same_run
            .filter(|run| run.address == entry.address && run.service == entry.service)
            .map(|run| run.key);
        let key = kept_key.unwrap_or_else(|| {
            let id = id.clone();
            self.runs.insert(Run { id, tag })
        });
        if let Some(run) = removed.filter(|run| run.key != key) {
            self.forget_run(run.key);
        }
        let server = Server {
            cold_until: now + entry.cold,
            entry_digest: entry_digest(&entry),
            entry,
            expires_at: None,
            announced,
        };
        self.listed.insert(key, server);
        self.by_id.insert(id, key);
        self.by_tag.insert(tag, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Remembers the removal of an unknown server, whose entry may arrive late.
    fn remember_removal(&mut self, id: Arc<str>, revision: u64, now: Duration) {
        let removed = self.removed.entry(id).or_insert(Removed {
            revision,
            run: None,
            at: now,
        });
        removed.revision = removed.revision.max(revision);
    }

    fn remove_server(&mut self, key: ServerKey, now: Duration) {
        let Some(Server {
            entry, announced, ..
        }) = self.listed.remove(key)
        else {
            return;
        };
        self.by_id.remove(&entry.id);
        if let Some(keys) = self.by_service.get_mut(&entry.service) {
            keys.retain(|k| *k != key);
        }
        let run = RemovedRun {
            key,
            started_unix_ms: entry.started_unix_ms,
            service: entry.service,
            address: entry.address,
            announced,
        };
        let removed = Removed {
            revision: entry.revision,
            run: Some(run),
            at: now,
        };
        self.removed.insert(entry.id, removed);
    }
}

fn entry_digest(entry: &ServerEntry) -> u64 {
    let text = format!("{} {} {}", entry.id, entry.address, entry.draining);
    xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), entry.started_unix_ms)
}
