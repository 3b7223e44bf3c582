//! Messages of the failure detector, and its events and actions.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::record::{MemberState, Update};
use crate::ids::DaemonRun;

/// Most updates in one message.
pub const UPDATES_MAX: usize = 8;
/// Bytes of a datagram that updates may fill: a packet of 1,200 bytes less 50 for QUIC, 90 for
/// the fixed fields of the longest message and 170 for the digest of a synchronisation.
pub const UPDATES_MAX_BYTES: usize = 1_200 - 50 - 90 - 170;

/// Fields of every message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The sender.
    pub sender: DaemonRun,
    /// Configuration version the sender holds, 0 for none.
    pub config_version: u64,
    /// Piggybacked news.
    pub updates: Vec<Update>,
}

/// Asks a member to answer with an [`Ack`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Number of the probe at the sender.
    pub sequence: u64,
    /// Common fields.
    pub header: Header,
}

/// Answer to a [`Ping`], direct or passed on by a helper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Number of the probe at the receiver.
    pub sequence: u64,
    /// The member that answered.
    pub subject: DaemonRun,
    /// Common fields.
    pub header: Header,
}

/// Asks a helper to probe a member that did not answer the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingReq {
    /// Number of the probe at the sender.
    pub sequence: u64,
    /// The member to probe.
    pub target: DaemonRun,
    /// Its peer address, in case the helper does not know the member.
    pub target_address: SocketAddr,
    /// Common fields.
    pub header: Header,
}

/// News outside a probe, or part of a synchronisation of tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Digest of the sender's table when tables are being compared.
    pub sync: Option<Sync>,
    /// Common fields.
    pub header: Header,
}

/// Digest of a member table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// Whether this answers another digest and wants only records back.
    pub answer: bool,
    /// Hash of the live and leaving members per bucket.
    pub buckets: Vec<u32>,
}

/// Message of the failure detector.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Probe.
    Ping(Ping),
    /// Answer to a probe.
    Ack(Ack),
    /// Request for an indirect probe.
    PingReq(PingReq),
    /// News and synchronisation.
    Gossip(Gossip),
}

impl MemberMessage {
    /// The common fields.
    pub fn header(&self) -> &Header {
        match self {
            Self::Ping(m) => &m.header,
            Self::Ack(m) => &m.header,
            Self::PingReq(m) => &m.header,
            Self::Gossip(m) => &m.header,
        }
    }
}

/// Input of the failure detector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A message arrived.
    Message {
        /// Peer address of the sender.
        from: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// This daemon now holds a configuration version.
    ConfigVersion(u64),
    /// This daemon begins a planned leave.
    Leave,
    /// This daemon has drained and is about to exit.
    Left,
}

/// What the daemon does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to a peer address.
    Send {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// A member changed its state.
    Changed {
        /// The member.
        run: DaemonRun,
        /// State before, `None` for a new member.
        from: Option<MemberState>,
        /// State now.
        to: MemberState,
    },
    /// A run has ended for certain: its VM is gone from the VM list, or a newer run of the
    /// daemon was seen. What it held may be released.
    RunEnded(DaemonRun),
    /// A member holds a newer configuration version than this daemon.
    NewerVersion {
        /// The version.
        version: u64,
        /// The member that holds it.
        holder: DaemonRun,
        /// Its peer address.
        address: SocketAddr,
    },
    /// Another process runs under this daemon's name with a higher incarnation, so this run
    /// is accepted by no member: the VM was replaced, or its wall clock went back.
    Superseded(DaemonRun),
    /// The VM list shows this daemon's own VM as leaving.
    ListedLeaving,
    /// This daemon was paused; probes in flight were dropped and suspicions restarted.
    Resumed {
        /// Time between the last two ticks.
        gap: Duration,
    },
}

/// A daemon VM in the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM and its daemon.
    pub name: String,
    /// Peer address.
    pub peer_address: SocketAddr,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
}
