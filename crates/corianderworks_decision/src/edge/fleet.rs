//! Membership of the edge daemons: liveness, relays between domains, and store watchers.
//!
//! All daemons of a failure domain are connected to each other. The two that have run longest
//! in each domain are its relays: they connect to relays of the other domains and exchange
//! reports in batches. Relays also watch the store: one in each of up to five domains, or both
//! relays of each domain in a fleet of one or two domains.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Interval of the complete reports that each daemon sends.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a report after which a daemon of the own domain counts as down: three
/// heartbeat intervals.
const DOWN_AFTER: Duration = Duration::from_millis(1_600);
/// Same for daemons of other domains, whose reports pass through two relays.
const DOWN_AFTER_OTHER_DOMAIN: Duration = Duration::from_millis(2_500);
/// Time without a report after which a daemon is removed from the known members. Network
/// partitions between regions last minutes, and a daemon that is only partitioned must stay
/// known. A daemon that no longer exists causes futile connection attempts until it is removed.
const EXPIRES_AFTER: Duration = Duration::from_secs(15 * 60);
/// Number of relays per domain. With two, one may fail without an interruption.
pub const RELAYS_PER_DOMAIN: usize = 2;
/// Number of daemons that should at least watch the store. A single watcher could lose its
/// connection to the store unnoticed. Only relays watch, so a fleet in one domain has at most
/// two watchers.
const WATCHERS_MIN: usize = 3;
/// Largest number of domains with a watcher; bounds the calls to the store independently of
/// the size of the fleet.
const WATCHED_DOMAINS_MAX: usize = 5;
/// Largest number of addresses returned to a caller.
const ADDRESSES_MAX: usize = 64;
/// Smallest number of ready daemons in a caller's domain for which only their addresses are
/// returned. With fewer, those of all domains are.
const DOMAIN_DAEMONS_MIN: usize = 2;

/// Identity and addresses of one run of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM; each VM runs one daemon.
    pub vm: Arc<str>,
    /// Start of the run as Unix time in milliseconds.
    pub started_unix_ms: u64,
    /// Failure domain of the VM.
    pub domain: Arc<str>,
    /// Address on which other daemons connect.
    pub peer: SocketAddr,
    /// Address on which callers connect.
    pub callers: SocketAddr,
}

/// Hash of a run's VM name and start time that identifies the run in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunKey(pub u32);

impl Member {
    /// Computes the key that identifies this run in reports.
    pub fn key(&self) -> RunKey {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(self.vm.as_bytes(), self.started_unix_ms);
        RunKey(hash as u32)
    }

    fn start_order(&self) -> (u64, &str) {
        (self.started_unix_ms, &self.vm)
    }
}

/// Status that a daemon reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DaemonStatus {
    /// Has no configuration or no backend servers yet.
    NotReady,
    /// Serves callers.
    Ready,
    /// Is stopping.
    Leaving,
}

#[derive(Debug, Clone)]
struct KnownMember {
    member: Member,
    status: DaemonStatus,
    /// Time of the member's last report or own announcement; initially when it was added.
    last_received: Duration,
    has_reported: bool,
}

/// This daemon and all other daemons that it knows of.
#[derive(Debug)]
pub struct Fleet {
    own: Member,
    known: HashMap<Arc<str>, KnownMember>,
    by_key: HashMap<RunKey, Arc<str>>,
}

impl Fleet {
    /// Creates a fleet that consists of this daemon.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            known: HashMap::new(),
            by_key: HashMap::new(),
        }
    }

    /// Returns this daemon's own member record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Adds a member, or replaces an earlier run on the same VM. A member's own announcement
    /// (`direct`) always replaces a known run. A record from another source replaces it only if
    /// its run started later. Returns whether the member was added or replaced.
    pub fn learn(&mut self, member: Member, direct: bool, now: Duration) -> bool {
        if member.vm == self.own.vm {
            return false;
        }
        if let Some(known) = self.known.get_mut(&member.vm) {
            if known.member == member {
                if direct {
                    known.last_received = now;
                }
                return false;
            }
            if !direct && known.member.started_unix_ms >= member.started_unix_ms {
                return false;
            }
            self.by_key.remove(&known.member.key());
        }
        self.by_key.insert(member.key(), member.vm.clone());
        let known = KnownMember {
            status: DaemonStatus::NotReady,
            last_received: now,
            has_reported: false,
            member,
        };
        self.known.insert(known.member.vm.clone(), known);
        true
    }

    /// Records that a run reported its status. Returns whether the run is known.
    pub fn record_report(&mut self, key: RunKey, status: DaemonStatus, now: Duration) -> bool {
        let vm = self.by_key.get(&key);
        let Some(known) = vm.and_then(|vm| self.known.get_mut(vm)) else {
            return false;
        };
        known.last_received = now;
        known.status = status;
        known.has_reported = true;
        true
    }

    /// Returns the member whose current run has this key.
    pub fn member(&self, key: RunKey) -> Option<&Member> {
        self.by_key
            .get(&key)
            .and_then(|vm| self.known.get(vm))
            .map(|k| &k.member)
    }

    /// Returns the members except this daemon, whether they are up or not.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|k| &k.member)
    }

    /// Whether this run of a member is the current one and sent a report or announcement recently.
    pub fn is_up(&self, member: &Member, now: Duration) -> bool {
        self.known
            .get(&member.vm)
            .is_some_and(|k| k.member == *member && self.received_recently(k, now))
    }

    fn received_recently(&self, known: &KnownMember, now: Duration) -> bool {
        let limit = match known.member.domain == self.own.domain {
            true => DOWN_AFTER,
            false => DOWN_AFTER_OTHER_DOMAIN,
        };
        now.saturating_sub(known.last_received) < limit
    }

    fn members_up(&self, now: Duration) -> impl Iterator<Item = &KnownMember> {
        self.known
            .values()
            .filter(move |k| self.received_recently(k, now))
    }

    /// Returns the number of daemons that are up, including this one.
    pub fn up_count(&self, now: Duration) -> usize {
        1 + self.members_up(now).count()
    }

    /// Returns the sorted names of all domains with a daemon that is up.
    fn domains(&self, now: Duration) -> Vec<&Arc<str>> {
        let mut domains: Vec<_> = self.members_up(now).map(|k| &k.member.domain).collect();
        domains.push(&self.own.domain);
        domains.sort();
        domains.dedup();
        domains
    }

    /// Returns the relays of a domain, longest running first.
    pub fn relays(&self, domain: &str, now: Duration) -> Vec<&Member> {
        let members_up = self
            .members_up(now)
            .filter(|k| k.status != DaemonStatus::Leaving)
            .map(|k| &k.member);
        let own = std::iter::once(&self.own);
        let mut members: Vec<_> = members_up
            .chain(own)
            .filter(|m| &*m.domain == domain)
            .collect();
        members.sort_by_key(|m| m.start_order());
        members.truncate(RELAYS_PER_DOMAIN);
        members
    }

    /// Returns the index of this daemon among the relays of its domain, if it is one.
    pub fn relay_position(&self, now: Duration) -> Option<usize> {
        self.relays(&self.own.domain, now)
            .iter()
            .position(|m| m.vm == self.own.vm)
    }

    /// Returns, for each other domain, the relay to which this daemon forwards reports. Empty
    /// if this daemon is not a relay.
    pub fn relay_targets(&self, now: Duration) -> Vec<Member> {
        let Some(position) = self.relay_position(now) else {
            return Vec::new();
        };
        let domains = self.domains(now);
        let others = domains.iter().filter(|d| ***d != self.own.domain);
        let target = |domain: &&Arc<str>| {
            let relays = self.relays(domain, now);
            relays
                .get(position)
                .or(relays.first())
                .map(|m| (*m).clone())
        };
        others.filter_map(target).collect()
    }

    /// Returns the members that this daemon should keep connections to.
    pub fn link_targets(&self, now: Duration) -> Vec<Member> {
        let same_domain = self
            .others()
            .filter(|m| m.domain == self.own.domain)
            .cloned();
        same_domain.chain(self.relay_targets(now)).collect()
    }

    /// Returns the other members of the own domain that are up.
    pub fn domain_peers(&self, now: Duration) -> impl Iterator<Item = &Member> {
        let domain = &self.own.domain;
        self.members_up(now)
            .map(|k| &k.member)
            .filter(move |m| m.domain == *domain)
    }

    /// Whether this daemon is one of the relays that watch the store.
    pub fn watches_store(&self, now: Duration) -> bool {
        let Some(position) = self.relay_position(now) else {
            return false;
        };
        let domains = self.domains(now);
        let watched = domains.len().min(WATCHED_DOMAINS_MAX);
        let rank = domains.iter().position(|d| **d == self.own.domain);
        let watchers_per_domain = WATCHERS_MIN.div_ceil(watched.max(1));
        rank.is_some_and(|r| r < watched) && position < watchers_per_domain
    }

    /// Returns the addresses of ready daemons for a caller in `domain`: those of its domain, or
    /// of all domains if its own has too few.
    pub fn addresses_for(&self, domain: &str, own_ready: bool, now: Duration) -> Vec<SocketAddr> {
        let ready = |k: &&KnownMember| k.status == DaemonStatus::Ready;
        let own = own_ready.then_some(&self.own);
        let members: Vec<_> = self
            .members_up(now)
            .filter(ready)
            .map(|k| &k.member)
            .chain(own)
            .collect();
        let in_domain: Vec<_> = members.iter().filter(|m| &*m.domain == domain).collect();
        let mut addresses: Vec<_> = match in_domain.len() >= DOMAIN_DAEMONS_MIN {
            true => in_domain.iter().map(|m| m.callers).collect(),
            false => members.iter().map(|m| m.callers).collect(),
        };
        addresses.sort();
        addresses.truncate(ADDRESSES_MAX);
        addresses
    }

    /// Removes and returns the members that have been silent for `EXPIRES_AFTER`.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Member> {
        let is_expired = |k: &KnownMember| now.saturating_sub(k.last_received) >= EXPIRES_AFTER;
        let expired: Vec<_> = self
            .known
            .values()
            .filter(|k| is_expired(k))
            .map(|k| k.member.clone())
            .collect();
        for member in &expired {
            self.known.remove(&member.vm);
            self.by_key.remove(&member.key());
        }
        expired
    }

    /// Returns the keys of the runs that have reported, but not recently.
    pub fn silent_members(&self, now: Duration) -> Vec<RunKey> {
        let silent_members = self
            .known
            .values()
            .filter(|k| k.has_reported && !self.received_recently(k, now));
        silent_members.map(|k| k.member.key()).collect()
    }
}
