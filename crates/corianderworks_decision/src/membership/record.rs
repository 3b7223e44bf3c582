//! Member records and states, and the rules for which of two updates is newer.

use std::cmp::Ordering;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DaemonKey, DaemonRun};

/// Maximum length of a name, region or domain in bytes; records that exceed it are ignored.
pub const LABEL_MAX_BYTES: usize = 64;
/// Maximum encoded size of the fixed fields of an update and its record: two IPv6 addresses of
/// 20 bytes, three integers of 10, a counter of 5, three lengths and the state.
const FIXED_MAX_BYTES: usize = 2 * 20 + 3 * 10 + 5 + 3 + 1;

/// Description of a member, created by the member itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Daemon and incarnation that the record describes.
    pub run: DaemonRun,
    /// Counter increased by each refutation during this run. It is separate from the run's incarnation because
    /// keys and permits are bound to the run and must survive a refutation.
    pub refutation: u32,
    /// Name of the daemon, which is also the name of its VM.
    pub name: String,
    /// Region in which the VM runs.
    pub region: String,
    /// Failure domain in which the VM runs.
    pub domain: String,
    /// Address at which other daemons reach this one.
    pub peer_address: SocketAddr,
    /// Address at which callers reach the daemon over HTTP.
    pub http_address: SocketAddr,
    /// Configuration version of the member when it created the record, or a newer one that a
    /// later message announced; 0 if it has none.
    pub config_version: u64,
}

impl MemberRecord {
    /// Key of the daemon, independent of its run.
    pub fn daemon(&self) -> DaemonKey {
        self.run.daemon
    }

    /// Upper bound on the encoded size of an update with this record, in bytes.
    pub fn encoded_max_bytes(&self) -> usize {
        FIXED_MAX_BYTES + self.name.len() + self.region.len() + self.domain.len()
    }

    /// Whether all labels are within [`LABEL_MAX_BYTES`] and the daemon key matches the name.
    pub fn is_valid(&self) -> bool {
        [&self.name, &self.region, &self.domain]
            .iter()
            .all(|label| label.len() <= LABEL_MAX_BYTES)
            && self.run.daemon == DaemonKey::of(&self.name)
    }

    /// Orders two records of the same daemon by incarnation, then by refutations; the newer one
    /// is greater.
    pub fn recency_cmp(&self, other: &Self) -> Ordering {
        (self.run.incarnation, self.refutation).cmp(&(other.run.incarnation, other.refutation))
    }
}

/// State of a member. If two records are equally new, the state declared later here wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member failed a probe and has not yet refuted the suspicion.
    Suspect,
    /// The member drains before a planned shutdown.
    Leaving,
    /// The member did not refute a suspicion in time, its VM was removed from the VM list, or it
    /// did not complete a planned shutdown in time.
    Dead,
    /// The member completed a planned shutdown.
    Left,
}

impl MemberState {
    /// Whether the member takes part in placement: alive or suspected.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Whether the member is dead or has left.
    pub fn is_dead_or_left(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }
}

/// State and record of one member, as disseminated between members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// State in which the sender of the update sees the member, or the member's own.
    pub state: MemberState,
    /// Newest record of the member known to the sender.
    pub record: MemberRecord,
}

impl Update {
    /// Whether this update is newer than a known record and state: either the record is newer, or
    /// it is equally new and the state is later.
    pub fn supersedes(&self, record: &MemberRecord, state: MemberState) -> bool {
        match self.record.recency_cmp(record) {
            Ordering::Greater => true,
            Ordering::Equal => self.state > state,
            Ordering::Less => false,
        }
    }
}
