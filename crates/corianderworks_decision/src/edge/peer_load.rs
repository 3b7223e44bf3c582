//! Load that other daemons report, summed per backend server.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::budget::{Reported, ServiceTag};
use super::fleet::RunKey;
use super::load_balancer::Evidence;

/// Pause in which changes are gathered into one report for the own domain.
const GATHER: Duration = Duration::from_millis(10);
/// The same for changes that tell of failures: until they arrive, other daemons send
/// requests to the failing server, which answers fastest.
const GATHER_FAILURES: Duration = Duration::from_millis(1);
/// Pauses for reports that pass to other domains, where bytes cost.
const GATHER_RELAYED: Duration = Duration::from_millis(100);
const GATHER_RELAYED_FAILURES: Duration = Duration::from_millis(5);

/// Time after which a change is reported within the domain.
pub fn report_pause(tells_of_failures: bool) -> Duration {
    match tells_of_failures {
        true => GATHER_FAILURES,
        false => GATHER,
    }
}

/// Time after which a report is passed to other domains.
pub fn relay_pause(tells_of_failures: bool) -> Duration {
    match tells_of_failures {
        true => GATHER_RELAYED_FAILURES,
        false => GATHER_RELAYED,
    }
}

/// Short key of a backend server's run, equal on all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerTag(pub u32);

impl ServerTag {
    /// Returns the tag of a server's run.
    pub fn of(id: &str, started_unix_ms: u64) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), started_unix_ms) as u32)
    }
}

/// What a daemon tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Run of the daemon.
    pub origin: RunKey,
    /// Number of the report; later reports have higher numbers.
    pub sequence: u32,
    /// What the daemon says of itself.
    pub standing: super::fleet::Standing,
    /// Whether servers that are not named have nothing in flight.
    pub complete: bool,
    /// Requests in flight at servers.
    pub in_flight: Vec<(ServerTag, u16)>,
    /// Evidence since the last report.
    pub evidence: Vec<(ServerTag, Evidence)>,
    /// Requests and repeats per service, for the shared budget.
    pub counts: Vec<(ServiceTag, Reported)>,
    /// What the daemon saw of the store, if it has just asked.
    pub store: Option<StoreView>,
}

impl Report {
    /// Whether the report has evidence of a failure.
    pub fn tells_of_failures(&self) -> bool {
        self.evidence
            .iter()
            .any(|(_, evidence)| evidence.is_negative())
    }
}

/// What a daemon that watches the store believes to be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Digest of the list of backend servers.
    pub servers_digest: u64,
    /// Version of the configuration, 0 if there is none.
    pub configuration: u64,
}

#[derive(Debug, Default)]
struct Origin {
    sequence: u32,
    in_flight: HashMap<ServerTag, u16>,
}

/// Reports of all other daemons.
#[derive(Debug, Default)]
pub struct PeerLoad {
    origins: HashMap<RunKey, Origin>,
    totals: HashMap<ServerTag, u32>,
}

impl PeerLoad {
    /// Whether a report is newer than those of its origin so far; counts it if so.
    pub fn is_new(&mut self, report: &Report) -> bool {
        let origin = self.origins.entry(report.origin).or_default();
        if report.sequence <= origin.sequence {
            return false;
        }
        origin.sequence = report.sequence;
        true
    }

    /// Applies the load of a report and returns the servers whose total changed.
    pub fn apply(&mut self, report: &Report) -> Vec<ServerTag> {
        let origin = self.origins.entry(report.origin).or_default();
        let mut changed = Vec::new();
        if report.complete {
            let named = |tag: &ServerTag| report.in_flight.iter().any(|(t, _)| t == tag);
            changed.extend(origin.in_flight.keys().copied().filter(|tag| !named(tag)));
            for tag in &changed {
                set(origin, &mut self.totals, *tag, 0);
            }
        }
        for (tag, in_flight) in &report.in_flight {
            set(origin, &mut self.totals, *tag, *in_flight);
            changed.push(*tag);
        }
        changed
    }

    /// Forgets the load of a daemon and returns the servers whose total changed.
    pub fn forget(&mut self, key: RunKey) -> Vec<ServerTag> {
        let Some(origin) = self.origins.get_mut(&key) else {
            return Vec::new();
        };
        let tags: Vec<_> = origin.in_flight.keys().copied().collect();
        for tag in &tags {
            set(origin, &mut self.totals, *tag, 0);
        }
        tags
    }

    /// Requests that all other daemons have in flight at a server.
    pub fn total(&self, tag: ServerTag) -> u32 {
        self.totals.get(&tag).copied().unwrap_or(0)
    }
}

fn set(origin: &mut Origin, totals: &mut HashMap<ServerTag, u32>, tag: ServerTag, value: u16) {
    let before = match value {
        0 => origin.in_flight.remove(&tag),
        value => origin.in_flight.insert(tag, value),
    };
    let total = totals.entry(tag).or_default();
    *total = (*total + u32::from(value)).saturating_sub(u32::from(before.unwrap_or(0)));
    if *total == 0 {
        totals.remove(&tag);
    }
}
