//! Membership and failure detection.

mod message;
mod record;

use std::net::SocketAddr;
use std::time::Duration;

pub use message::{
    Ack, Action, Event, Gossip, Header, ListedVm, MemberMessage, Ping, PingReq, Sync, UPDATES_MAX,
    UPDATES_MAX_BYTES,
};
pub use record::{LABEL_MAX_BYTES, MemberRecord, MemberState, Update};

use crate::ids::DaemonKey;
use crate::placement::Candidate;

/// Time between two calls of [`Membership::tick`].
pub const TICK: Duration = Duration::from_millis(100);

/// A member as this daemon sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its newest known record.
    pub record: MemberRecord,
    /// Its state.
    pub state: MemberState,
    /// When it entered the state.
    pub since: Duration,
}

/// Failure detector and member table of one daemon.
#[derive(Debug)]
pub struct Membership {
    me: MemberRecord,
}

impl Membership {
    /// Starts with only this daemon in the table.
    pub fn new(me: MemberRecord, seed: u64) -> Self {
        let _ = seed;
        Self { me }
    }

    /// Adds peer addresses of daemons to contact while no other member is known.
    pub fn with_seeds(self, seeds: Vec<SocketAddr>) -> Self {
        let _ = seeds;
        self
    }

    /// Processes an event.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let _ = (now, event);
        Vec::new()
    }

    /// Advances timers; called every [`TICK`].
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let _ = now;
        Vec::new()
    }

    /// Takes the daemon VMs of the platform's VM list. An empty list is ignored.
    pub fn vm_list(&mut self, now: Duration, list: &[ListedVm]) -> Vec<Action> {
        let _ = (now, list);
        Vec::new()
    }

    /// This daemon's own record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// A member other than this daemon.
    pub fn member(&self, daemon: DaemonKey) -> Option<&Member> {
        let _ = daemon;
        None
    }

    /// Every known member other than this daemon, in the order of their keys.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::empty()
    }

    /// Live members including this daemon unless it is leaving, in the order of their keys.
    pub fn candidates(&self) -> Vec<Candidate> {
        Vec::new()
    }

    /// Number that changes whenever [`Membership::candidates`] or a member's state does.
    pub fn generation(&self) -> u64 {
        0
    }
}
