//! Dissemination of news on messages that are sent anyway, and in pushes to neighbours.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::message::{Action, Header};
use super::record::{MemberState, Update};
use super::token_bucket::TokenBucket;
use super::{Batch, Membership, queue};
use crate::ids::DaemonKey;

/// Least time between two pushes of news.
const PUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Neighbours that get a push.
const PUSH_FANOUT: usize = 3;
/// Pushes at once, enough for a few events or a lost failure domain's first news.
const PUSH_BURST: u32 = 24;
/// Pushes per second in the long run. A full one takes about 0.8 KB of the 4 KB/s budget at
/// either end.
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

    /// Header with `first` and then the newest news that `to` does not have.
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

    /// Neighbours in random order; a connection to each is open.
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

    /// Sends news to some neighbours that lack it.
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

    /// Queues news of a member. A member that joins is not urgent, so that many joins at once
    /// do not use up the pushes for leaves, suspicions, deaths and refutations.
    pub(super) fn enqueue(&mut self, daemon: DaemonKey) {
        let (state, refutation) = match self.table.get(&daemon) {
            Some(member) => (member.state, member.record.refutation),
            None => (self.local_state, self.local_record.refutation),
        };
        let urgent = state != MemberState::Alive || refutation > 0;
        self.queue.add(daemon, urgent);
    }

    /// Sends news to every neighbour at once, for a leave or a configuration version.
    pub(super) fn push_to_all(&mut self, out: &mut Vec<Action>) {
        self.refresh_probe_set();
        for (daemon, to) in self.neighbours() {
            let header = self.filled_header(Some(daemon), None);
            self.send_gossip(to, header.updates, out);
        }
    }
}
