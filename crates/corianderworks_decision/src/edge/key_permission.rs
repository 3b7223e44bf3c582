//! Permission to use the keys of organisations, a lease that ends unless the daemon gets proof that
//! its configuration is current.
//!
//! All times are of a clock that includes suspension ([`Clock::since_boot`]). A proof is dated by
//! the time at which the query was sent, so a late response only proves an earlier state. Clocks of
//! different VMs are never compared; only ages pass between them.
//!
//! [`Clock::since_boot`]: crate::clock::Clock::since_boot

use std::collections::VecDeque;
use std::time::Duration;

use super::organisations::CallerIdentity;
use super::routes::ConfigVersion;

/// Share of the revocation time by which the permission ends early. The kernel lets time
/// synchronization slow a clock by up to 10%, and the ages are measured with such clocks.
const MARGIN_SHARE: f64 = 0.1;
/// Age of the youngest proof at which a relay reads the store, as a share of the revocation time.
const STORE_READ_SHARE: f64 = 0.5;
/// Additional delay of the other daemons, as a share of the revocation time: a smallest one, in which
/// they can get the proof that their relay has read, and a part that spreads their calls.
const STORE_READ_DELAY_SHARE: f64 = 0.05;
const STORE_READ_SPREAD_SHARE: f64 = 0.15;
/// Time between two queries, as a share of the revocation time: 400 ms at 5 s. The daemon checks
/// every 100 ms whether a query is due.
const QUERY_INTERVAL_SHARE: f64 = 0.08;
/// Remaining time below which queries are urgent, as a share of the revocation time.
const URGENT_SHARE: f64 = 0.25;
/// Time between two urgent queries.
const URGENT_QUERY_INTERVAL: Duration = Duration::from_millis(90);
/// Age of a watcher's own proof from which it queries others, as a share of the revocation time. Its
/// watches renew the proof sooner while the store responds.
const WATCHER_QUERY_SHARE: f64 = 0.3;
/// Longest time that a watch of the configuration waits, as a share of the revocation time. A proof
/// is up to two watches old when the next one replaces it, and two queries may pass it on; all of
/// that has to fit into [`STORE_READ_SHARE`].
const WATCH_TIMEOUT_SHARE: f64 = 0.125;
/// Time after which a relay without any proof reads the store, and the same for other daemons, plus
/// the part that spreads their calls. At the start of a fleet proofs come from the watchers through
/// the relays.
const FIRST_READ_DELAY_RELAY: Duration = Duration::from_millis(300);
const FIRST_READ_DELAY: Duration = Duration::from_millis(600);
const FIRST_READ_SPREAD: Duration = Duration::from_millis(400);
/// Shortest time between two store reads that proofs are needed for.
const STORE_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Number of queries that may be open. At the shortest interval they span longer than a permission
/// of 5 s.
const OPEN_QUERIES_MAX: usize = 64;

/// Identifies the content of a configuration: two writes of the same version may differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationId {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Hash of the encoded configuration.
    pub digest: u64,
}

impl ConfigurationId {
    /// Computes the id of a configuration from its encoded form.
    pub fn new(version: ConfigVersion, encoded: &[u8]) -> Self {
        Self {
            version,
            digest: xxhash_rust::xxh3::xxh3_64(encoded),
        }
    }
}

/// Proof that a configuration was the latest one of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// Configuration that was the latest one.
    pub configuration: ConfigurationId,
    /// Time before the call or query whose response contains the proof.
    pub queried_at: Duration,
    /// Age that the proof already had when the response was sent; zero for a read of the store.
    pub age: Duration,
}

/// Allows one request to be sent now. Only [`KeyPermission::permit`] creates it.
#[derive(Debug)]
#[must_use = "a permit holds for one request"]
pub struct SendPermit(());

/// Reason why a request may not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PermitError {
    /// No proof is young enough.
    #[error("the permission to use keys has ended")]
    Expired,
    /// The key was looked up in a configuration that has been replaced; it has to be looked up again.
    #[error("the key was looked up in another configuration")]
    OtherConfiguration,
}

/// Part that a daemon has in the distribution of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Watches the store.
    Watcher,
    /// Relay of its domain, but watches nothing.
    Relay,
    /// Gets everything from its relays.
    Other,
}

/// Which peers to query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryScope {
    /// One of the peers that can be queried.
    One,
    /// All of them, because the permission ends soon or the last query got no response.
    All,
}

/// Query to be sent to peers now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Query {
    /// Number that the response repeats.
    pub sequence: u32,
    /// Which peers are queried.
    pub scope: QueryScope,
}

/// Response to the query of another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Configuration in force at the daemon that responds.
    pub configuration: ConfigurationId,
    /// Age of its youngest proof.
    pub age: Duration,
}

/// Permission of a daemon to use the keys of its configuration.
#[derive(Debug)]
pub struct KeyPermission {
    /// Time after which a withdrawn key may not be used; `None` without strict revocation.
    revocation: Option<Duration>,
    /// Number in 0..1 that spreads the store calls of the daemons.
    jitter: f64,
    /// Configuration in force.
    configuration: Option<ConfigurationId>,
    /// Whether the configuration has organisations.
    uses_keys: bool,
    /// Since when keys are used.
    active_since: Duration,
    expires_at: Option<Duration>,
    last_sequence: u32,
    /// Number and time of the queries without a response, oldest first.
    open_queries: VecDeque<(u32, Duration)>,
    last_query_at: Option<Duration>,
    last_query_confirmed: bool,
    last_store_read_at: Option<Duration>,
}

impl KeyPermission {
    /// Creates a permission without a proof. With `revocation`, it ends that time after the last
    /// proof, less a margin; with `None`, it never ends. `jitter` is uniformly distributed in 0..1.
    pub fn new(revocation: Option<Duration>, jitter: f64) -> Self {
        Self {
            revocation,
            jitter,
            configuration: None,
            uses_keys: false,
            active_since: Duration::ZERO,
            expires_at: None,
            // Responses to an earlier run of the daemon must not match the queries of this one.
            last_sequence: (jitter * f64::from(u32::MAX)) as u32,
            open_queries: VecDeque::new(),
            last_query_at: None,
            last_query_confirmed: true,
            last_store_read_at: None,
        }
    }

    /// Whether the permission can end: revocation is strict and the configuration has organisations.
    pub fn is_active(&self) -> bool {
        self.active_revocation().is_some()
    }

    fn active_revocation(&self) -> Option<Duration> {
        self.revocation.filter(|_| self.uses_keys)
    }

    /// Records that a newer configuration is in force.
    ///
    /// An earlier proof remains: at its time the store had nothing newer than the previous
    /// configuration, so it had nothing newer than this one, and the keys of this one can only have
    /// been withdrawn later.
    pub fn set_configuration(&mut self, id: ConfigurationId, uses_keys: bool, now: Duration) {
        if uses_keys && !self.uses_keys {
            self.active_since = now;
        }
        self.configuration = Some(id);
        self.uses_keys = uses_keys;
        self.last_query_at = None;
    }

    /// Records a proof and returns whether it is one of the configuration in force.
    pub fn record(&mut self, proof: Proof) -> bool {
        if self.configuration != Some(proof.configuration) {
            return false;
        }
        let Some(revocation) = self.revocation else {
            return true;
        };
        let ends_at = proof.queried_at + revocation.mul_f64(1.0 - MARGIN_SHARE);
        let expires_at = ends_at.checked_sub(proof.age);
        self.expires_at = self.expires_at.max(expires_at);
        true
    }

    /// Returns the time until the permission ends, zero if it has ended, or `None` if it can't end.
    pub fn remaining(&self, now: Duration) -> Option<Duration> {
        self.active_revocation()?;
        Some(self.expires_at.unwrap_or_default().saturating_sub(now))
    }

    /// Whether keys may be used now.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.remaining(now).is_none_or(|left| !left.is_zero())
    }

    /// Allows a request to be sent now. The key of the caller was looked up in the configuration
    /// `identified_by`.
    ///
    /// # Errors
    ///
    /// Fails if the request uses a key and the permission has ended, or if the key was looked up in
    /// a configuration that is no longer in force, for which the permission says nothing.
    pub fn permit(
        &self,
        caller: &CallerIdentity,
        identified_by: ConfigVersion,
        now: Duration,
    ) -> Result<SendPermit, PermitError> {
        if caller.organisation().is_none() || !self.is_active() {
            return Ok(SendPermit(()));
        }
        if self.configuration.map(|id| id.version) != Some(identified_by) {
            return Err(PermitError::OtherConfiguration);
        }
        match self.is_valid(now) {
            true => Ok(SendPermit(())),
            false => Err(PermitError::Expired),
        }
    }

    /// Returns the age of the youngest proof, or `None` without one.
    fn proof_age(&self, now: Duration) -> Option<Duration> {
        let lifetime = self.revocation?.mul_f64(1.0 - MARGIN_SHARE);
        Some((now + lifetime).saturating_sub(self.expires_at?))
    }

    /// Returns the query to be sent now, if one is due.
    pub fn next_query(&mut self, role: Role, now: Duration) -> Option<Query> {
        let revocation = self.active_revocation()?;
        let age = self.proof_age(now);
        let renews_itself = revocation.mul_f64(WATCHER_QUERY_SHARE);
        if role == Role::Watcher && age.is_some_and(|age| age < renews_itself) {
            return None;
        }
        let remaining = self.remaining(now).unwrap_or_default();
        let is_urgent = remaining < revocation.mul_f64(URGENT_SHARE);
        let interval = match is_urgent {
            true => URGENT_QUERY_INTERVAL,
            false => revocation.mul_f64(QUERY_INTERVAL_SHARE),
        };
        if self.last_query_at.is_some_and(|at| now < at + interval) {
            return None;
        }
        let scope = match self.last_query_confirmed && !is_urgent {
            true => QueryScope::One,
            false => QueryScope::All,
        };
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_query_at = Some(now);
        self.last_query_confirmed = false;
        if self.open_queries.len() == OPEN_QUERIES_MAX {
            self.open_queries.pop_front();
        }
        self.open_queries.push_back((self.last_sequence, now));
        Some(Query {
            sequence: self.last_sequence,
            scope,
        })
    }

    /// Records the response to a query, and returns whether it proves the configuration in force.
    /// Several peers may respond to the same query.
    pub fn confirm(&mut self, sequence: u32, confirmation: Confirmation) -> bool {
        let mut queries = self.open_queries.iter();
        let Some(&(_, queried_at)) = queries.find(|(number, _)| *number == sequence) else {
            return false;
        };
        let is_proof = self.record(Proof {
            configuration: confirmation.configuration,
            queried_at,
            age: confirmation.age,
        });
        self.last_query_confirmed |= is_proof && sequence == self.last_sequence;
        is_proof
    }

    /// Returns the response to the query of another daemon, or `None` without a permission.
    pub fn confirmation(&self, now: Duration) -> Option<Confirmation> {
        if !self.is_active() || !self.is_valid(now) {
            return None;
        }
        Some(Confirmation {
            configuration: self.configuration?,
            age: self.proof_age(now)?,
        })
    }

    /// Returns whether the configuration has to be read from the store because peers supply no young
    /// proof, and counts that as a read.
    pub fn take_store_read(&mut self, role: Role, now: Duration) -> bool {
        let Some(revocation) = self.active_revocation() else {
            return false;
        };
        let is_relay = role != Role::Other;
        let is_due = match (self.proof_age(now), is_relay) {
            (Some(age), true) => age >= revocation.mul_f64(STORE_READ_SHARE),
            (Some(age), false) => {
                let spread = STORE_READ_SPREAD_SHARE * self.jitter;
                let share = STORE_READ_SHARE + STORE_READ_DELAY_SHARE + spread;
                age >= revocation.mul_f64(share)
            }
            (None, true) => now >= self.active_since + FIRST_READ_DELAY_RELAY,
            (None, false) => {
                let spread = FIRST_READ_SPREAD.mul_f64(self.jitter);
                now >= self.active_since + FIRST_READ_DELAY + spread
            }
        };
        let last_read = self.last_store_read_at;
        let was_read_lately = last_read.is_some_and(|at| now < at + STORE_READ_INTERVAL);
        if !is_due || was_read_lately {
            return false;
        }
        self.last_store_read_at = Some(now);
        true
    }

    /// Returns the longest time that a watch of the configuration may wait, or `None` if proofs are
    /// not needed.
    pub fn watch_timeout_max(&self) -> Option<Duration> {
        let revocation = self.active_revocation()?;
        Some(revocation.mul_f64(WATCH_TIMEOUT_SHARE))
    }
}
