//! Reports exchanged between daemons, and the load of other daemons per backend server.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::budget::{ReportedCounts, ServiceTag};
use super::fleet::RunKey;
use super::load_balancer::Evidence;
use super::quota::{OrganisationTag, ReportedAdmissions};

/// Time for which changes are collected into one report to the relays of the own domain.
const REPORT_DELAY: Duration = Duration::from_millis(4);
/// Same for changes that include failures. A failing server often responds fastest, so other
/// daemons keep sending requests to it until the report arrives.
const REPORT_DELAY_FAILURES: Duration = Duration::from_millis(1);
/// Time per daemon of the domain for which a relay collects reports into one batch to the domain.
/// In proportion to the daemons, so that a relay sends the same number of messages per second in a
/// large domain as in a small one.
const BATCH_DELAY_PER_PEER: Duration = Duration::from_millis(1);
const BATCH_DELAY_PER_PEER_FAILURES: Duration = Duration::from_micros(250);
/// Same for reports to other domains, where bandwidth is more expensive.
const RELAY_DELAY: Duration = Duration::from_millis(100);
const RELAY_DELAY_FAILURES: Duration = Duration::from_millis(5);

/// Returns the delay between receiving a report and sending it on to the `peers` other daemons of
/// the own domain.
pub fn batch_delay(peers: usize, must_arrive_soon: bool) -> Duration {
    let per_peer = match must_arrive_soon {
        true => BATCH_DELAY_PER_PEER_FAILURES,
        false => BATCH_DELAY_PER_PEER,
    };
    per_peer * u32::try_from(peers).unwrap_or(u32::MAX)
}

/// Returns the delay between a change and its report to the relays of the own domain.
pub fn report_delay(has_failures: bool) -> Duration {
    match has_failures {
        true => REPORT_DELAY_FAILURES,
        false => REPORT_DELAY,
    }
}

/// Returns the delay between receiving a report and relaying it to other domains.
pub fn relay_delay(has_failures: bool) -> Duration {
    match has_failures {
        true => RELAY_DELAY_FAILURES,
        false => RELAY_DELAY,
    }
}

/// Hash that identifies a run of a backend server in reports; the same on all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerTag(pub u32);

impl ServerTag {
    /// Computes the tag from the id and the start time of a run.
    pub fn of(id: &str, started_unix_ms: u64) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), started_unix_ms) as u32)
    }
}

/// Load, observations and status that a daemon sends to the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Run of the daemon that created the report.
    pub origin: RunKey,
    /// Sequence number, which increases with each report of a run.
    pub sequence: u32,
    /// Status of the daemon itself.
    #[serde(rename = "standing")]
    pub status: super::fleet::DaemonStatus,
    /// Whether servers missing from `in_flight` have no requests in flight.
    pub complete: bool,
    /// Number of requests that the daemon has in flight at each server.
    pub in_flight: Vec<(ServerTag, u16)>,
    /// Observations since the last report.
    pub evidence: Vec<(ServerTag, Evidence)>,
    /// Servers that said in a response that they are shutting down.
    pub leaving: Vec<ServerTag>,
    /// Requests and retries per service, for the shared retry budget.
    pub counts: Vec<(ServiceTag, ReportedCounts)>,
    /// State of the store, if the daemon has just read it.
    pub store: Option<StoreView>,
    /// Admitted and refused requests of the organisations with a limit that had requests since the
    /// last report.
    pub quotas: Vec<(OrganisationTag, ReportedAdmissions)>,
}

impl Report {
    /// Whether the second relay sends the report on in any case, so that it arrives if the first one
    /// has just failed.
    pub fn must_arrive(&self) -> bool {
        self.complete || self.store.is_some() || self.has_failures()
    }

    /// Whether the report tells of servers that other daemons should avoid at once.
    pub fn has_failures(&self) -> bool {
        let has_negative = self.evidence.iter().any(|(_, e)| e.is_negative());
        has_negative || (!self.complete && !self.leaving.is_empty())
    }
}

/// State of the store as just read by a daemon that watches it. A part is `None` if that kind of
/// object was not read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Digest of the listed backend servers; see [`Servers::digest`](super::servers::Servers::digest).
    pub servers_digest: Option<u64>,
    /// Version of the configuration, or 0 if there is none.
    pub configuration: Option<u64>,
}

#[derive(Debug, Default)]
struct OriginState {
    sequence: u32,
    in_flight: HashMap<ServerTag, u16>,
}

/// Requests that the other daemons have in flight, from their reports.
#[derive(Debug, Default)]
pub struct PeerLoad {
    origins: HashMap<RunKey, OriginState>,
    totals: HashMap<ServerTag, u32>,
}

impl PeerLoad {
    /// Stores the sequence number of a report if it is newer than that of all earlier reports
    /// of its origin. Returns whether it is.
    pub fn accept_sequence(&mut self, report: &Report) -> bool {
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
            let is_listed = |tag: &ServerTag| report.in_flight.iter().any(|(t, _)| t == tag);
            changed.extend(
                origin
                    .in_flight
                    .keys()
                    .copied()
                    .filter(|tag| !is_listed(tag)),
            );
            for tag in &changed {
                set_in_flight(origin, &mut self.totals, *tag, 0);
            }
        }
        for (tag, in_flight) in &report.in_flight {
            set_in_flight(origin, &mut self.totals, *tag, *in_flight);
            changed.push(*tag);
        }
        changed
    }

    /// Clears the load of a daemon that is down and returns the servers whose total changed.
    pub fn clear(&mut self, key: RunKey) -> Vec<ServerTag> {
        let Some(origin) = self.origins.get_mut(&key) else {
            return Vec::new();
        };
        let tags: Vec<_> = origin.in_flight.keys().copied().collect();
        for tag in &tags {
            set_in_flight(origin, &mut self.totals, *tag, 0);
        }
        tags
    }

    /// Returns the number of requests that all other daemons have in flight at a server.
    pub fn total_in_flight(&self, tag: ServerTag) -> u32 {
        self.totals.get(&tag).copied().unwrap_or(0)
    }
}

fn set_in_flight(
    origin: &mut OriginState,
    totals: &mut HashMap<ServerTag, u32>,
    tag: ServerTag,
    value: u16,
) {
    let previous = match value {
        0 => origin.in_flight.remove(&tag),
        value => origin.in_flight.insert(tag, value),
    };
    let total_in_flight = totals.entry(tag).or_default();
    *total_in_flight =
        (*total_in_flight + u32::from(value)).saturating_sub(u32::from(previous.unwrap_or(0)));
    if *total_in_flight == 0 {
        totals.remove(&tag);
    }
}
