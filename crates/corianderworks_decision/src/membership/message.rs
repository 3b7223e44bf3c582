//! Messages that members exchange, and the events and actions of the state machine.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::record::{MemberState, Update};
use crate::ids::DaemonRun;

/// Maximum number of updates in one message.
pub const UPDATES_MAX: usize = 8;
/// Maximum encoded size of the updates in one message: a packet of 1,200 bytes minus 50 for
/// QUIC, 90 for the fixed fields of the longest message and 170 for the digest of a table sync.
pub const UPDATES_MAX_BYTES: usize = 1_200 - 50 - 90 - 170;

/// Fields common to all messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Run of the daemon that sent the message.
    pub sender: DaemonRun,
    /// Configuration version of the sender, 0 if it has none.
    pub config_version: u64,
    /// Piggybacked updates, at most [`UPDATES_MAX`]; may be empty.
    pub updates: Vec<Update>,
}

/// Probe, answered by the receiver with an [`Ack`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Sequence number that the sender assigned to the probe.
    pub sequence: u64,
    /// Sender, configuration version and piggybacked updates.
    pub header: Header,
}

/// Answer to a [`Ping`], sent directly or forwarded by the member that probed on behalf of the
/// receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Sequence number that the receiver assigned to the probe.
    pub sequence: u64,
    /// Run of the member that answered the probe.
    pub subject: DaemonRun,
    /// Sender, configuration version and piggybacked updates.
    pub header: Header,
}

/// Asks the receiver to probe a member that did not answer the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingReq {
    /// Sequence number that the sender assigned to the probe.
    pub sequence: u64,
    /// Run that did not answer the sender.
    pub target: DaemonRun,
    /// Peer address of the target, used if the receiver doesn't know this run or a newer one.
    pub target_address: SocketAddr,
    /// Sender, configuration version and piggybacked updates.
    pub header: Header,
}

/// Updates sent outside a probe, or part of a table sync.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Digest of the sender's table, `None` if the message carries only updates.
    pub sync: Option<Sync>,
    /// Sender, configuration version and piggybacked updates.
    pub header: Header,
}

/// Digest of a member table, compared by the receiver with its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// Whether this is the reply to another digest. The receiver then replies with the differing
    /// records but not with its own digest.
    pub answer: bool,
    /// Hash per bucket over the members that are neither dead nor left.
    pub buckets: Vec<u32>,
}

/// Message exchanged between members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Direct probe, or one on behalf of another member.
    Ping(Ping),
    /// Answer to a probe, possibly forwarded.
    Ack(Ack),
    /// Request for an indirect probe.
    PingReq(PingReq),
    /// Updates and table sync.
    Gossip(Gossip),
}

impl MemberMessage {
    /// Fields that every kind of message carries.
    pub fn header(&self) -> &Header {
        match self {
            Self::Ping(m) => &m.header,
            Self::Ack(m) => &m.header,
            Self::PingReq(m) => &m.header,
            Self::Gossip(m) => &m.header,
        }
    }
}

/// Input of [`Membership::handle`](super::Membership::handle).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A message was received from another member.
    Message {
        /// Peer address of the sender.
        from: SocketAddr,
        /// Decoded message.
        message: MemberMessage,
    },
    /// This daemon has loaded a configuration version; ignored unless it is newer.
    ConfigVersion(u64),
    /// This daemon starts a planned shutdown and begins to drain.
    Leave,
    /// This daemon has drained and is about to exit.
    Left,
}

/// Output of the state machine, executed by the daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to a peer address.
    Send {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// Message to encode and send as a datagram.
        message: MemberMessage,
    },
    /// The state of a member changed.
    Changed {
        /// Run whose state changed.
        run: DaemonRun,
        /// Previous state, `None` for a new run.
        from: Option<MemberState>,
        /// New state.
        to: MemberState,
    },
    /// A run has definitely ended: its VM was removed from the VM list, or a newer run of the
    /// daemon was seen. Resources held by the run may be released.
    RunEnded(DaemonRun),
    /// A member has a newer configuration version than this daemon.
    NewerVersion {
        /// Version to fetch.
        version: u64,
        /// Run that announced the version.
        holder: DaemonRun,
        /// Peer address of the holder.
        address: SocketAddr,
    },
    /// Another process with this daemon's name has a higher incarnation, so all members reject
    /// this run. The VM was replaced, or its wall clock went backwards.
    Superseded(DaemonRun),
    /// The VM list, or an update from another member, marks this daemon's own VM as leaving.
    ListedLeaving,
    /// This daemon was paused; probes in flight were discarded and suspicion timeouts restarted.
    Resumed {
        /// Time since the last tick.
        gap: Duration,
    },
}

/// VM of a daemon in the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM, which is also the name of its daemon.
    pub name: String,
    /// Address at which other daemons reach this one.
    pub peer_address: SocketAddr,
    /// Whether the list marks the VM as leaving, because the platform removes it.
    pub leaving: bool,
}
