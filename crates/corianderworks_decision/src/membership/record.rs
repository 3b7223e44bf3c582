//! Records of members, their states and which of two records is newer.

use std::cmp::Ordering;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DaemonKey, DaemonRun};

/// Longest name, region or domain in bytes; longer records are refused.
pub const LABEL_MAX_BYTES: usize = 64;
/// Upper bound of the encoded size of a record's and an update's fixed fields: two IPv6
/// addresses of 20 bytes, three integers of 10, a counter of 5, three lengths and the state.
const FIXED_MAX_BYTES: usize = 2 * 20 + 3 * 10 + 5 + 3 + 1;

/// What a member says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The daemon and its run.
    pub run: DaemonRun,
    /// Suspicions refuted during this run. It is separate from the run's incarnation because
    /// keys and permits are bound to the run and must survive a refutation.
    pub refutation: u32,
    /// Name of the daemon, also the name of its VM.
    pub name: String,
    /// Region of the VM.
    pub region: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub http_address: SocketAddr,
    /// Configuration version the member held when the record was made.
    pub config_version: u64,
}

impl MemberRecord {
    /// The daemon.
    pub fn daemon(&self) -> DaemonKey {
        self.run.daemon
    }

    /// Upper bound of the encoded size of an update with this record, in bytes.
    pub fn encoded_max_bytes(&self) -> usize {
        FIXED_MAX_BYTES + self.name.len() + self.region.len() + self.domain.len()
    }

    /// Whether every label is within [`LABEL_MAX_BYTES`] and the key belongs to the name.
    pub fn is_valid(&self) -> bool {
        [&self.name, &self.region, &self.domain]
            .iter()
            .all(|label| label.len() <= LABEL_MAX_BYTES)
            && self.run.daemon == DaemonKey::of(&self.name)
    }

    /// Orders two records of one daemon by run and then by refutations.
    pub fn recency_cmp(&self, other: &Self) -> Ordering {
        (self.run.incarnation, self.refutation).cmp(&(other.run.incarnation, other.refutation))
    }
}

/// State of a member. Of two records equally new, the one with the later state applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It failed a probe and has not refuted this yet.
    Suspect,
    /// It drains before a planned stop.
    Leaving,
    /// It did not refute the suspicion, or its VM is gone from the VM list.
    Dead,
    /// It completed a planned stop.
    Left,
}

impl MemberState {
    /// Whether the member takes part in placement and probes.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Whether the member no longer runs.
    pub fn is_gone(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }
}

/// News of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// State of the member.
    pub state: MemberState,
    /// Its newest known record.
    pub record: MemberRecord,
}

impl Update {
    /// Whether this update replaces a known record in a known state.
    pub fn supersedes(&self, record: &MemberRecord, state: MemberState) -> bool {
        match self.record.recency_cmp(record) {
            Ordering::Greater => true,
            Ordering::Equal => self.state > state,
            Ordering::Less => false,
        }
    }
}
