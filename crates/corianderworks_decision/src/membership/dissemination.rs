//! Dissemination of updates, piggybacked on other messages and in pushes to neighbours.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::message::{Action, Header};
use super::record::{MemberState, Update};
use super::token_bucket::TokenBucket;
use super::{Batch, Membership, queue};
use crate::ids::DaemonKey;

/// Minimum time between two rounds of pushes.
const PUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of neighbours that receive a push per round.
const PUSH_FANOUT: usize = 3;
/// Burst of pushes, enough for a few events or the first updates about a lost failure domain.
const PUSH_BURST: u32 = 24;
/// Sustained rate of pushes. A full push uses about 0.8 KB of the 4 KB/s bandwidth budget of the
/// sender and of the receiver.
const PUSHES_PER_SECOND: u32 = 1;

pub(super) fn push_tokens() -> TokenBucket {
    TokenBucket::new(PUSH_BURST, PUSHES_PER_SECOND)
}

impl Membership {
    pub(super) fn header(&self, updates: Vec<Update>) -> Header {
        Header {
            sender: self.local_record.run,
            config_version: self.local_record.config_version,
            updates,
        }
    }

    /// Creates a header with `first`, followed by the newest updates that `to` doesn't have.
    pub(super) fn filled_header(&mut self, to: Option<DaemonKey>, first: Option<Update>) -> Header {
        let mut batch = Batch::default();
        let first_daemon = first.as_ref().map(|update| update.record.daemon());
        if let Some(update) = first {
            batch.push(update);
        }
        let own = self.local_update();
        let table = &self.table;
        self.queue.select(to, |daemon| {
            if first_daemon == Some(daemon) {
                return true;
            }
            let update = if daemon == own.record.daemon() {
                own.clone()
            } else if let Some(member) = table.get(&daemon) {
                member.update()
            } else {
                return true;
            };
            let fits = batch.fits(&update);
            if fits {
                batch.push(update);
            }
            fits
        });
        let limit = queue::transmit_limit(self.table.len() + 1);
        self.queue.remove_completed(limit, &self.probe_set);
        self.header(batch.updates)
    }

    /// Neighbours in random order. A connection to each of them is already open.
    pub(super) fn neighbours(&mut self) -> Vec<(DaemonKey, SocketAddr)> {
        let mut shuffled: Vec<(DaemonKey, SocketAddr)> = self
            .probe_set
            .iter()
            .filter_map(|daemon| self.table.get(daemon))
            .map(|member| (member.record.daemon(), member.record.peer_address))
            .collect();
        shuffled.shuffle(&mut self.rng);
        shuffled
    }

    /// Pushes updates to up to [`PUSH_FANOUT`] neighbours that lack them, if a round is due.
    pub(super) fn push_when_due(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.next_push {
            return;
        }
        self.next_push = now + PUSH_INTERVAL;
        let mut lacking: Vec<(DaemonKey, SocketAddr, bool)> = Vec::new();
        for (daemon, to) in self.neighbours() {
            if let Some(urgent) = self.queue.pending_push(daemon) {
                lacking.push((daemon, to, urgent));
            }
        }
        for (daemon, to, urgent) in lacking.into_iter().take(PUSH_FANOUT) {
            let allowed =
                (urgent && self.urgent_push_tokens.take(now)) || self.push_tokens.take(now);
            if !allowed {
                return;
            }
            let header = self.filled_header(Some(daemon), None);
            self.send_gossip(to, header.updates, out);
        }
    }

    /// Queues an update about a member. Joins are not urgent, so that many joins at once don't
    /// use up the pushes for leaves, suspicions, deaths and refutations.
    pub(super) fn enqueue(&mut self, daemon: DaemonKey) {
        let (state, refutation) = match self.table.get(&daemon) {
            Some(member) => (member.state, member.record.refutation),
            None => (self.local_state, self.local_record.refutation),
        };
        let urgent = state != MemberState::Alive || refutation > 0;
        self.queue.add(daemon, urgent);
    }

    /// Pushes updates to every neighbour immediately, for a leave or a new configuration version.
    pub(super) fn push_to_all(&mut self, out: &mut Vec<Action>) {
        self.refresh_probe_set();
        for (daemon, to) in self.neighbours() {
            let header = self.filled_header(Some(daemon), None);
            self.send_gossip(to, header.updates, out);
        }
    }
}
