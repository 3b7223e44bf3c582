//! The other edge daemons: who is there, who relays between domains, who reads the store.
//!
//! Daemons of a failure domain are linked with each other. Two of each domain, the longest
//! running ones, are relays: they are linked with the relays of the other domains and pass
//! news between domains in batches. The first relay of a domain watches the store for it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Pause between reports of a daemon without other news.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// Silence after which a daemon of the own domain counts as down: three heartbeats.
const DOWN_AFTER: Duration = Duration::from_millis(1_600);
/// The same for other domains, whose reports pass two relays.
const DOWN_AFTER_OTHER_DOMAIN: Duration = Duration::from_millis(2_500);
/// Silence after which a daemon counts as removed. Regions lose each other for minutes, and
/// a daemon that is only cut off must stay known; it costs attempts to connect meanwhile.
const REMOVED_AFTER: Duration = Duration::from_secs(15 * 60);
/// Relays of a domain; one may fail without a gap.
pub const RELAYS_PER_DOMAIN: usize = 2;
/// Fewest daemons that watch the store. A single one could be cut off unnoticed.
const WATCHERS_MIN: usize = 3;
/// Most domains with a watcher; bounds the calls to the store whatever the size.
const WATCHED_DOMAINS_MAX: usize = 5;
/// Most addresses in an answer to a caller.
const ADDRESSES_MAX: usize = 64;
/// Fewest daemons of a caller's domain that are named alone.
const DOMAIN_DAEMONS_MIN: usize = 2;

/// One run of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Start of the run as Unix time in milliseconds.
    pub started_unix_ms: u64,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
}

/// Short key of a run, used in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunKey(pub u32);

impl Member {
    /// Returns the key of this run.
    pub fn key(&self) -> RunKey {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(self.vm.as_bytes(), self.started_unix_ms);
        RunKey(hash as u32)
    }

    fn seniority(&self) -> (u64, &str) {
        (self.started_unix_ms, &self.vm)
    }
}

/// What a daemon says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Has no configuration yet.
    NotReady,
    /// Serves callers.
    Ready,
    /// Is stopping.
    Leaving,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    standing: Standing,
    /// When it was last heard, or learned of.
    heard: Duration,
    reported: bool,
}

/// All daemons that this one knows.
#[derive(Debug)]
pub struct Fleet {
    own: Member,
    known: HashMap<Arc<str>, Known>,
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

    /// This daemon.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Learns of a daemon. `direct` says that it told so itself, which counts more than
    /// what others tell. Returns whether this is news.
    pub fn learn(&mut self, member: Member, direct: bool, now: Duration) -> bool {
        if member.vm == self.own.vm {
            return false;
        }
        if let Some(known) = self.known.get_mut(&member.vm) {
            if known.member == member {
                if direct {
                    known.heard = now;
                }
                return false;
            }
            if !direct && known.member.started_unix_ms >= member.started_unix_ms {
                return false;
            }
            self.by_key.remove(&known.member.key());
        }
        self.by_key.insert(member.key(), member.vm.clone());
        let known = Known {
            standing: Standing::NotReady,
            heard: now,
            reported: false,
            member,
        };
        self.known.insert(known.member.vm.clone(), known);
        true
    }

    /// Records a report. Returns whether the run is known.
    pub fn report(&mut self, key: RunKey, standing: Standing, now: Duration) -> bool {
        let vm = self.by_key.get(&key);
        let Some(known) = vm.and_then(|vm| self.known.get_mut(vm)) else {
            return false;
        };
        known.heard = now;
        known.standing = standing;
        known.reported = true;
        true
    }

    /// Returns the member with a key.
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

    /// Whether a member was heard lately.
    pub fn is_up(&self, member: &Member, now: Duration) -> bool {
        self.known
            .get(&member.vm)
            .is_some_and(|k| k.member == *member && self.heard_lately(k, now))
    }

    fn heard_lately(&self, known: &Known, now: Duration) -> bool {
        let limit = match known.member.domain == self.own.domain {
            true => DOWN_AFTER,
            false => DOWN_AFTER_OTHER_DOMAIN,
        };
        now.saturating_sub(known.heard) < limit
    }

    fn up(&self, now: Duration) -> impl Iterator<Item = &Known> {
        self.known
            .values()
            .filter(move |k| self.heard_lately(k, now))
    }

    /// Number of daemons that are up, this one included.
    pub fn size(&self, now: Duration) -> usize {
        1 + self.up(now).count()
    }

    /// Names of all domains with a daemon that is up, in order.
    fn domains(&self, now: Duration) -> Vec<&Arc<str>> {
        let mut domains: Vec<_> = self.up(now).map(|k| &k.member.domain).collect();
        domains.push(&self.own.domain);
        domains.sort();
        domains.dedup();
        domains
    }

    /// Returns the relays of a domain in order.
    pub fn relays(&self, domain: &str, now: Duration) -> Vec<&Member> {
        let up = self
            .up(now)
            .filter(|k| k.standing != Standing::Leaving)
            .map(|k| &k.member);
        let own = std::iter::once(&self.own);
        let mut members: Vec<_> = up.chain(own).filter(|m| &*m.domain == domain).collect();
        members.sort_by_key(|m| m.seniority());
        members.truncate(RELAYS_PER_DOMAIN);
        members
    }

    /// Position of this daemon among the relays of its domain.
    pub fn relay_position(&self, now: Duration) -> Option<usize> {
        self.relays(&self.own.domain, now)
            .iter()
            .position(|m| m.vm == self.own.vm)
    }

    /// Returns the relays of the other domains that this daemon passes news to.
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

    /// Returns the members that this daemon should be linked with.
    pub fn links(&self, now: Duration) -> Vec<Member> {
        let same = self
            .others()
            .filter(|m| m.domain == self.own.domain)
            .cloned();
        same.chain(self.relay_targets(now)).collect()
    }

    /// Returns the members of the own domain that are up.
    pub fn neighbours(&self, now: Duration) -> impl Iterator<Item = &Member> {
        let domain = &self.own.domain;
        self.up(now)
            .map(|k| &k.member)
            .filter(move |m| m.domain == *domain)
    }

    /// Whether this daemon watches the store for its domain.
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

    /// Returns daemons for a caller in `domain`: those of its domain, or all if few are there.
    pub fn addresses_for(&self, domain: &str, own_ready: bool, now: Duration) -> Vec<SocketAddr> {
        let ready = |k: &&Known| k.standing == Standing::Ready;
        let own = own_ready.then_some(&self.own);
        let members: Vec<_> = self
            .up(now)
            .filter(ready)
            .map(|k| &k.member)
            .chain(own)
            .collect();
        let local: Vec<_> = members.iter().filter(|m| &*m.domain == domain).collect();
        let mut addresses: Vec<_> = match local.len() >= DOMAIN_DAEMONS_MIN {
            true => local.iter().map(|m| m.callers).collect(),
            false => members.iter().map(|m| m.callers).collect(),
        };
        addresses.sort();
        addresses.truncate(ADDRESSES_MAX);
        addresses
    }

    /// Forgets the members that were silent for so long that they count as removed, and
    /// returns them.
    pub fn forget_removed(&mut self, now: Duration) -> Vec<Member> {
        let is_removed = |k: &Known| now.saturating_sub(k.heard) >= REMOVED_AFTER;
        let removed: Vec<_> = self
            .known
            .values()
            .filter(|k| is_removed(k))
            .map(|k| k.member.clone())
            .collect();
        for member in &removed {
            self.known.remove(&member.vm);
            self.by_key.remove(&member.key());
        }
        removed
    }

    /// Returns members that became silent since the last call, which are still listed.
    pub fn silent(&self, now: Duration) -> Vec<RunKey> {
        let silent = self
            .known
            .values()
            .filter(|k| k.reported && !self.heard_lately(k, now));
        silent.map(|k| k.member.key()).collect()
    }
}
