//! Tracking and fetching of configuration versions. The version in force never decreases.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::ids::{DaemonKey, DaemonRun};
use crate::placement::{Candidate, select_across_domains};

/// Rendezvous hashing key of the configuration readers: a fixed value instead of the hash of a
/// service's name.
const READERS_KEY: u64 = 0x7265_6164_6572_7300;
/// Number of configuration readers in each failure domain.
const READERS_PER_DOMAIN: usize = 2;
/// Largest number of sources kept for one version; more would only deliver the same bytes.
const MAX_SOURCES: usize = 8;
/// Time-out of a fetch. The target of 6 s until a version is in force leaves time for one retry.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean delay of the first retry, which doubles with each further failure.
const RETRY_MIN: Duration = Duration::from_millis(200);
/// Upper bound of the mean delay of a retry.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Source from which a version can be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A member that holds the version.
    Peer {
        /// The member in its current run.
        run: DaemonRun,
        /// Address at which the member accepts peer connections.
        address: SocketAddr,
    },
    /// The platform, which holds every version.
    Platform,
}

/// Input of [`VersionTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionEvent {
    /// A member or the platform's watch reported a version.
    Reported {
        /// Version reported.
        version: u64,
        /// Source that holds it.
        source: Source,
    },
    /// A fetch delivered a complete and valid manifest with its chunks.
    Fetched {
        /// Version of the manifest, possibly another than the one requested.
        version: u64,
        /// Source that was asked.
        source: Source,
    },
    /// A fetch ended without a valid manifest and its chunks.
    FetchFailed {
        /// Source that was asked.
        source: Source,
    },
}

/// What the daemon must do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionAction {
    /// Fetch the manifest and the missing chunks.
    Fetch {
        /// Version expected from the source.
        version: u64,
        /// Source to request it from.
        source: Source,
    },
    /// Put a fetched version in force and report it to the members by gossip.
    PutInForce {
        /// Version that was fetched.
        version: u64,
    },
    /// Drop a fetched version that is not newer than the one in force.
    Discard {
        /// Version that was fetched.
        version: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Fetch {
    version: u64,
    source: Source,
    deadline: Duration,
}

/// Tracks the newest version and fetches it, with one fetch in progress at a time.
#[derive(Debug)]
pub struct VersionTracker {
    in_force: Option<u64>,
    /// Newest version reported or fetched.
    newest: Option<u64>,
    /// Known holders of the newest version; the first one is asked next.
    sources: Vec<Source>,
    fetch: Option<Fetch>,
    failures: u32,
    retry_at: Duration,
    rng: Pcg64,
}

impl VersionTracker {
    /// Creates a tracker without a version; `seed` determines the jitter of the retries.
    pub fn new(seed: u64) -> Self {
        Self {
            in_force: None,
            newest: None,
            sources: Vec::new(),
            fetch: None,
            failures: 0,
            retry_at: Duration::ZERO,
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// Processes an event and starts a fetch if one is due.
    pub fn handle(&mut self, now: Duration, event: VersionEvent) -> Vec<VersionAction> {
        let mut actions = Vec::new();
        match event {
            VersionEvent::Reported { version, source } => self.record_report(version, source),
            VersionEvent::Fetched { version, source } => {
                self.handle_fetched(now, version, source, &mut actions);
            }
            VersionEvent::FetchFailed { source } => {
                if self.fetch.is_some_and(|f| f.source == source) {
                    self.record_failure(now);
                }
            }
        }
        actions.extend(self.start_fetch(now));
        actions
    }

    /// Ends a fetch that has timed out, and starts a retry that is due.
    pub fn tick(&mut self, now: Duration) -> Vec<VersionAction> {
        if self.fetch.is_some_and(|f| now >= f.deadline) {
            self.record_failure(now);
        }
        self.start_fetch(now).into_iter().collect()
    }

    /// The version in force; `None` until the first one, when the daemon becomes ready.
    pub fn in_force(&self) -> Option<u64> {
        self.in_force
    }

    /// Newest version reported or fetched; `None` until the first one.
    pub fn newest(&self) -> Option<u64> {
        self.newest
    }

    fn record_report(&mut self, version: u64, source: Source) {
        if Some(version) <= self.in_force {
            return;
        }
        if Some(version) > self.newest {
            self.newest = Some(version);
            // Holders of an older version are of no more use. A fetch in progress continues: its
            // result is newer than the version in force, and the next fetch follows at once.
            self.sources.clear();
            self.failures = 0;
            self.retry_at = Duration::ZERO;
        }
        let known = self.sources.contains(&source);
        if Some(version) == self.newest && !known && self.sources.len() < MAX_SOURCES {
            self.sources.push(source);
        }
    }

    fn handle_fetched(
        &mut self,
        now: Duration,
        version: u64,
        source: Source,
        actions: &mut Vec<VersionAction>,
    ) {
        let is_current = self.fetch.is_some_and(|f| f.source == source);
        let expected = self.fetch.filter(|_| is_current).map(|f| f.version);
        if Some(version) > self.in_force {
            self.in_force = Some(version);
            self.newest = self.newest.max(Some(version));
            actions.push(VersionAction::PutInForce { version });
        } else {
            actions.push(VersionAction::Discard { version });
        }
        match expected {
            // The source delivered an older version than it had reported, as a stale store does.
            Some(expected) if version < expected => self.record_failure(now),
            Some(_) => {
                self.fetch = None;
                self.failures = 0;
                self.retry_at = Duration::ZERO;
            }
            None => {}
        }
    }

    /// Ends the fetch, moves its source to the end of the list and sets the time of the next
    /// attempt.
    fn record_failure(&mut self, now: Duration) {
        let Some(fetch) = self.fetch.take() else {
            return;
        };
        if let Some(at) = self.sources.iter().position(|s| *s == fetch.source) {
            let source = self.sources.remove(at);
            self.sources.push(source);
        }
        if Some(fetch.version) < self.newest {
            return;
        }
        self.failures += 1;
        let mean = RETRY_MIN
            .saturating_mul(1 << (self.failures - 1).min(8))
            .min(RETRY_MAX);
        // Jitter spreads the retries of members whose source failed at the same time.
        self.retry_at = now + mean.mul_f64(self.rng.random_range(0.5..1.5));
    }

    fn start_fetch(&mut self, now: Duration) -> Option<VersionAction> {
        let version = self.newest.filter(|_| self.newest > self.in_force)?;
        if self.fetch.is_some() || now < self.retry_at {
            return None;
        }
        // The platform holds every version, so it is the source when no holder is known.
        let source = match self.sources.first() {
            // After every other failure the platform is the source, in case all holders are dead.
            Some(_) if self.failures % 2 == 1 => Source::Platform,
            Some(source) => *source,
            None => Source::Platform,
        };
        self.fetch = Some(Fetch {
            version,
            source,
            deadline: now + FETCH_TIMEOUT,
        });
        Some(VersionAction::Fetch { version, source })
    }
}

/// Selects the configuration readers, two members per failure domain, by rendezvous hashing.
pub fn configuration_readers(members: &[Candidate]) -> Vec<DaemonKey> {
    let mut domains: Vec<&str> = members.iter().map(|m| m.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    let in_domain = |domain: &str| -> Vec<Candidate> {
        let found = members.iter().filter(|m| m.domain == domain);
        found.cloned().collect()
    };
    domains
        .into_iter()
        .flat_map(|domain| {
            select_across_domains(&in_domain(domain), READERS_KEY, READERS_PER_DOMAIN)
        })
        .collect()
}
