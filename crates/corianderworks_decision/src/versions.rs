//! Newest known configuration version; never moves back.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::ids::{DaemonKey, DaemonRun};
use crate::placement::{Candidate, select_across_domains};

/// Rendezvous key of the configuration readers, a fixed value that no service hashes to by
/// design.
const READERS_KEY: u64 = 0x7265_6164_6572_7300;
/// Configuration readers per failure domain.
const READERS_PER_DOMAIN: usize = 2;
/// Sources remembered for one version; more would only be further ways to the same bytes.
const SOURCES_MAX: usize = 8;
/// Time for a fetch. The target of 6 s for a version in force leaves room for one retry.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean wait before the first retry.
const RETRY_MIN: Duration = Duration::from_millis(200);
/// Longest mean wait before a retry.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Where a version can be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A member that holds it.
    Peer {
        /// The member.
        run: DaemonRun,
        /// Its peer address.
        address: SocketAddr,
    },
    /// The platform.
    Platform,
}

/// Input of [`Versions`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionEvent {
    /// A member or the platform's watch reported a version.
    Heard {
        /// The version.
        version: u64,
        /// Who holds it.
        source: Source,
    },
    /// A fetch delivered a complete and valid manifest with its chunks.
    Fetched {
        /// Version of the manifest, possibly another than the one asked for.
        version: u64,
        /// Source that was asked.
        source: Source,
    },
    /// A fetch failed.
    FetchFailed {
        /// Source that was asked.
        source: Source,
    },
}

/// What the daemon does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionAction {
    /// Fetches the manifest and missing chunks.
    Fetch {
        /// Version expected from the source.
        version: u64,
        /// Where to ask.
        source: Source,
    },
    /// Puts a fetched version in force and gossips it.
    PutInForce {
        /// The version.
        version: u64,
    },
    /// Drops a fetched version that is not newer than the one in force.
    Discard {
        /// The version.
        version: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Fetch {
    version: u64,
    source: Source,
    until: Duration,
}

/// Tracks the newest version and fetches it, one fetch at a time.
#[derive(Debug)]
pub struct Versions {
    in_force: Option<u64>,
    /// Newest version heard of, with its known holders, the one to ask next first.
    newest: Option<u64>,
    sources: Vec<Source>,
    fetch: Option<Fetch>,
    failures: u32,
    retry_at: Duration,
    rng: Pcg64,
}

impl Versions {
    /// Starts without a version.
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

    /// Processes an event.
    pub fn handle(&mut self, now: Duration, event: VersionEvent) -> Vec<VersionAction> {
        let mut out = Vec::new();
        match event {
            VersionEvent::Heard { version, source } => self.hear(version, source),
            VersionEvent::Fetched { version, source } => {
                self.take(now, version, source, &mut out);
            }
            VersionEvent::FetchFailed { source } => {
                if self.fetch.is_some_and(|f| f.source == source) {
                    self.fail(now);
                }
            }
        }
        out.extend(self.start_fetch(now));
        out
    }

    /// Gives up a fetch that takes too long, and starts retries that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<VersionAction> {
        if self.fetch.is_some_and(|f| now >= f.until) {
            self.fail(now);
        }
        self.start_fetch(now).into_iter().collect()
    }

    /// The version in force. A daemon is ready once there is one.
    pub fn in_force(&self) -> Option<u64> {
        self.in_force
    }

    /// Newest version heard of.
    pub fn newest(&self) -> Option<u64> {
        self.newest
    }

    fn hear(&mut self, version: u64, source: Source) {
        if Some(version) <= self.in_force {
            return;
        }
        if Some(version) > self.newest {
            self.newest = Some(version);
            // Holders of an older version no longer help. A fetch in flight goes on: its
            // result is newer than what is in force, and the next fetch follows at once.
            self.sources.clear();
            self.failures = 0;
            self.retry_at = Duration::ZERO;
        }
        let known = self.sources.contains(&source);
        if Some(version) == self.newest && !known && self.sources.len() < SOURCES_MAX {
            self.sources.push(source);
        }
    }

    fn take(&mut self, now: Duration, version: u64, source: Source, out: &mut Vec<VersionAction>) {
        let asked = self.fetch.is_some_and(|f| f.source == source);
        let expected = self.fetch.filter(|_| asked).map(|f| f.version);
        if Some(version) > self.in_force {
            self.in_force = Some(version);
            self.newest = self.newest.max(Some(version));
            out.push(VersionAction::PutInForce { version });
        } else {
            out.push(VersionAction::Discard { version });
        }
        match expected {
            // The source answered with less than it had announced, as a stale store does.
            Some(expected) if version < expected => self.fail(now),
            Some(_) => {
                self.fetch = None;
                self.failures = 0;
                self.retry_at = Duration::ZERO;
            }
            None => {}
        }
    }

    /// Ends the fetch, puts its source last and waits before the next attempt.
    fn fail(&mut self, now: Duration) {
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
        // Without a holder left the platform is asked, which holds every version.
        let source = match self.sources.first() {
            // Every other failure asks the platform, in case all holders have died.
            Some(_) if self.failures % 2 == 1 => Source::Platform,
            Some(source) => *source,
            None => Source::Platform,
        };
        self.fetch = Some(Fetch {
            version,
            source,
            until: now + FETCH_TIMEOUT,
        });
        Some(VersionAction::Fetch { version, source })
    }
}

/// Configuration readers: two members per failure domain, by rendezvous hashing.
pub fn readers(members: &[Candidate]) -> Vec<DaemonKey> {
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
