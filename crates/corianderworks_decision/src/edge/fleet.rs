//! Membership of the edge daemons: liveness, relays between domains, and store watchers.
//!
//! Designed for hundreds of daemons, most of them on weak VMs: the messages of a daemon must not
//! grow with the fleet. In each domain, the VMs with the largest capacity are candidates, among
//! equal ones those that have run longest. The first two candidates are the relays: all daemons of
//! the domain send their reports to them, and the first one sends them on to the domain and to the
//! relays of the other domains, in batches. The second one takes over when it no longer hears from
//! the first, and always relays reports that must not be lost. Further candidates only keep
//! connections, so that they can become relays at once.
//!
//! Three relays watch the store, whatever the size of the fleet. They send changes to their domain
//! and to the relays of the others, which send on what is new to them.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Interval of the complete reports that each daemon sends.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a report after which a daemon of the own domain counts as down: three
/// heartbeat intervals.
pub(super) const DOWN_AFTER: Duration = Duration::from_millis(1_600);
/// Same for daemons of other domains, whose reports pass through two relays.
pub(super) const DOWN_AFTER_OTHER_DOMAIN: Duration = Duration::from_millis(2_500);
/// Time for which a registered daemon counts as up before its first report at the first start of the
/// fleet. All VMs start at the same time, and weak ones take seconds to connect; without this time,
/// each daemon would take itself for a relay meanwhile.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without a report after which a daemon is removed from the known members. Network
/// partitions between regions last minutes, and a daemon that is only partitioned must stay
/// known. A daemon that no longer exists causes futile connection attempts until it is removed.
const EXPIRES_AFTER: Duration = Duration::from_secs(15 * 60);
/// Number of relays per domain. With two, one may fail without an interruption.
pub const RELAYS_PER_DOMAIN: usize = 2;
/// Number of daemons of a domain that all others of the domain keep connections to.
const CANDIDATES_PER_DOMAIN: usize = 3;
/// Number of daemons that watch the store. A single watcher could lose its connection to the store
/// unnoticed. Only relays watch, so a fleet in one domain has two watchers.
const WATCHERS: usize = 3;
/// Time without a batch from the first relay after which the second one takes over. The first one
/// sends at least its own heartbeats.
const TAKEOVER_AFTER: Duration = Duration::from_millis(700);
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
    /// Processor share of the VM, in thousandths of a core.
    pub capacity_millicores: u32,
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

    fn candidate_order(&self) -> (Reverse<u32>, u64, &str) {
        let capacity = Reverse(self.capacity_millicores);
        (capacity, self.started_unix_ms, &self.vm)
    }
}

/// What a daemon exchanges with which other daemons, by peer address.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Index of this daemon among the relays of its domain, if it is one.
    pub relay_position: Option<usize>,
    /// First relay of the domain, if this daemon is the second one.
    pub first_relay: Option<SocketAddr>,
    /// Other relays of the domain; they get all reports.
    pub relays: Vec<SocketAddr>,
    /// Other candidates of the domain, including the relays; they get complete reports.
    pub candidates: Vec<SocketAddr>,
    /// Other daemons of the domain that are up; they get batches if this daemon is a relay.
    pub domain_peers: Vec<SocketAddr>,
    /// Relays of the other domains; they get batches if this daemon is a relay.
    pub relay_targets: Vec<SocketAddr>,
    /// Daemons of other domains.
    pub other_domains: HashSet<SocketAddr>,
    /// Other daemons that watch the store, if this daemon is a relay.
    pub watchers: Vec<SocketAddr>,
}

impl Topology {
    /// Returns whether a report is sent on if this daemon is a relay. `first_heard_at` is the time
    /// of the last batch from the first relay.
    pub fn relays_report(
        &self,
        must_arrive: bool,
        first_heard_at: Duration,
        now: Duration,
    ) -> bool {
        let first_is_silent = now.saturating_sub(first_heard_at) >= TAKEOVER_AFTER;
        match self.relay_position {
            Some(0) => true,
            Some(_) => must_arrive || first_is_silent,
            None => false,
        }
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
    /// Serves callers without keys only, because nothing proves that its configuration is current.
    WithoutKeyPermission,
}

#[derive(Debug, Clone)]
struct KnownMember {
    member: Member,
    status: DaemonStatus,
    /// Time of the member's last report or own announcement; initially when it was added.
    last_received: Duration,
    has_reported: bool,
}

impl KnownMember {
    /// Whether the last report arrived less than `age_max` ago.
    fn has_reported_within(&self, age_max: Duration, now: Duration) -> bool {
        self.has_reported && now.saturating_sub(self.last_received) < age_max
    }
}

/// This daemon and all other daemons that it knows of.
#[derive(Debug)]
pub struct Fleet {
    own: Member,
    own_status: DaemonStatus,
    is_first_start: bool,
    known: HashMap<Arc<str>, KnownMember>,
    by_key: HashMap<RunKey, Arc<str>>,
}

impl Fleet {
    /// Creates a fleet that consists of this daemon.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            own_status: DaemonStatus::NotReady,
            is_first_start: false,
            known: HashMap::new(),
            by_key: HashMap::new(),
        }
    }

    /// Creates a fleet whose VMs all start now, so that no record is of an earlier run.
    pub fn at_first_start(own: Member) -> Self {
        Self {
            is_first_start: true,
            ..Self::new(own)
        }
    }

    /// Returns this daemon's own member record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets the status that this daemon reports.
    pub fn set_own_status(&mut self, status: DaemonStatus) {
        self.own_status = status;
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
            _ if self.is_first_start && !known.has_reported => FIRST_REPORT_TIMEOUT,
            true => DOWN_AFTER,
            false => DOWN_AFTER_OTHER_DOMAIN,
        };
        now.saturating_sub(known.last_received) < limit
    }

    /// Whether the last report of a run arrived less than `age_max` ago.
    pub fn has_reported_within(&self, key: RunKey, age_max: Duration, now: Duration) -> bool {
        let known = self.by_key.get(&key).and_then(|vm| self.known.get(vm));
        known.is_some_and(|k| k.has_reported_within(age_max, now))
    }

    /// Returns the number of daemons, including this one, whose last report arrived less than
    /// `age_max` ago.
    pub fn reporting_count(&self, age_max: Duration, now: Duration) -> usize {
        let reported = |k: &&KnownMember| k.has_reported_within(age_max, now);
        1 + self.known.values().filter(reported).count()
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

    /// Returns the first daemons of a domain that may be its relays, ready ones first.
    fn candidates(&self, domain: &str, now: Duration) -> Vec<&Member> {
        let members_up = self.members_up(now).map(|k| (&k.member, k.status));
        let own = std::iter::once((&self.own, self.own_status));
        let mut candidates: Vec<_> = members_up
            .chain(own)
            .filter(|(m, status)| &*m.domain == domain && *status != DaemonStatus::Leaving)
            .collect();
        let is_waiting = |status: DaemonStatus| status != DaemonStatus::Ready;
        candidates.sort_by_key(|(m, status)| (is_waiting(*status), m.candidate_order()));
        candidates.truncate(CANDIDATES_PER_DOMAIN);
        candidates.into_iter().map(|(m, _)| m).collect()
    }

    /// Returns the relays of a domain in the order in which they take over.
    pub fn relays(&self, domain: &str, now: Duration) -> Vec<&Member> {
        let mut relays = self.candidates(domain, now);
        relays.truncate(RELAYS_PER_DOMAIN);
        relays
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

    /// Returns the other candidates of the own domain, relays first.
    fn other_candidates(&self, now: Duration) -> Vec<&Member> {
        let mut candidates = self.candidates(&self.own.domain, now);
        candidates.retain(|m| m.vm != self.own.vm);
        candidates
    }

    /// Returns the members that this daemon should keep connections to: the other candidates of its
    /// domain, or all members of the domain if it is a relay. The others connect to the relays
    /// themselves, but one that doesn't know them yet has to be reached.
    pub fn link_targets(&self, now: Duration) -> Vec<Member> {
        let own_domain: Vec<_> = match self.relay_position(now) {
            Some(_) => {
                let in_domain = self.others().filter(|m| m.domain == self.own.domain);
                in_domain.cloned().collect()
            }
            None => self.other_candidates(now).into_iter().cloned().collect(),
        };
        own_domain
            .into_iter()
            .chain(self.relay_targets(now))
            .collect()
    }

    /// Returns what this daemon exchanges with which other daemons.
    pub fn topology(&self, now: Duration) -> Topology {
        let address = |m: &Member| m.peer;
        let candidates = self.other_candidates(now);
        let relay_position = self.relay_position(now);
        let relays = RELAYS_PER_DOMAIN - usize::from(relay_position.is_some());
        let is_second_relay = relay_position == Some(1);
        let first_candidate = candidates.first().map(|m| m.peer);
        Topology {
            relay_position,
            first_relay: first_candidate.filter(|_| is_second_relay),
            relays: candidates.iter().take(relays).map(|m| m.peer).collect(),
            candidates: candidates.iter().map(|m| m.peer).collect(),
            domain_peers: self.domain_peers(now).map(address).collect(),
            watchers: match relay_position {
                Some(_) => self.other_watchers(now).into_iter().map(address).collect(),
                None => Vec::new(),
            },
            relay_targets: self.relay_targets(now).iter().map(address).collect(),
            other_domains: self
                .others()
                .filter(|m| m.domain != self.own.domain)
                .map(address)
                .collect(),
        }
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
        let domains = self.domains(now);
        let rank = domains.iter().position(|d| **d == self.own.domain);
        rank.is_some_and(|rank| {
            let watchers = self.watchers_of_domain(&domains, rank, now);
            watchers.iter().any(|m| m.vm == self.own.vm)
        })
    }

    /// Returns the other daemons that watch the store.
    pub fn other_watchers(&self, now: Duration) -> Vec<&Member> {
        let domains = self.domains(now);
        let ranks = 0..domains.len();
        let watchers = ranks.flat_map(|rank| self.watchers_of_domain(&domains, rank, now));
        watchers.filter(|m| m.vm != self.own.vm).collect()
    }

    /// Returns the relays of a domain that watch the store. First and second relays alternate over
    /// the domains, so that changes take two paths.
    fn watchers_of_domain(
        &self,
        domains: &[&Arc<str>],
        rank: usize,
        now: Duration,
    ) -> Vec<&Member> {
        if rank >= WATCHERS {
            return Vec::new();
        }
        let mut relays = self.relays(domains[rank], now);
        if domains.len() >= WATCHERS && !relays.is_empty() {
            let position = (rank % RELAYS_PER_DOMAIN).min(relays.len() - 1);
            relays = vec![relays[position]];
        }
        relays
    }

    /// Returns the addresses of ready daemons for a caller in `domain`: those of its domain, or
    /// of all domains if its own has too few. Daemons without permission to use keys are returned
    /// only if no daemon is ready: they still serve public routes.
    pub fn addresses_for(
        &self,
        domain: &str,
        own_status: DaemonStatus,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let with_status = |status| {
            let own = (own_status == status).then_some(&self.own);
            let others = self.members_up(now).filter(move |k| k.status == status);
            others.map(|k| &k.member).chain(own).collect::<Vec<_>>()
        };
        let mut members = with_status(DaemonStatus::Ready);
        if members.is_empty() {
            members = with_status(DaemonStatus::WithoutKeyPermission);
        }
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
