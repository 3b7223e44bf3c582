//! Anti-entropy sync of member tables, so that late joiners and healed partitions converge.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use xxhash_rust::xxh3::xxh3_64;

use super::Membership;
use super::message::{Action, Gossip, MemberMessage, Sync};
use super::record::{MemberRecord, MemberState, Update};
use super::token_bucket::TokenBucket;
use crate::ids::DaemonKey;

/// Number of buckets of a digest. A difference in one member causes the transmission of all
/// records in its bucket.
const BUCKETS: usize = 32;
/// Maximum time between two syncs with a random member. Each may need a QUIC handshake of
/// several KB, which is about 130 bytes/s at this interval.
const INTERVAL_MAX: Duration = Duration::from_secs(30);
/// Sync interval at the start and after tables differed; it doubles with each sync.
pub(super) const INTERVAL_MIN: Duration = Duration::from_secs(4);
/// Sync interval while no other member is known to be live.
const INTERVAL_ISOLATED: Duration = Duration::from_secs(1);
/// Number of addresses contacted per sync while no other member is known to be live.
const CONTACTS_ISOLATED: usize = 3;
/// Burst of datagrams with records; 64 hold the table of a full-scale fleet, for one joiner.
const RECORDS_BURST: u32 = 64;
/// Sustained rate of datagrams with records. It is low so that when many members join at once,
/// as after a restart of the fleet, they get parts of the table from many members instead of
/// all of it from a few.
const RECORDS_PER_SECOND: u32 = 4;

pub(super) fn sync_reply_tokens() -> TokenBucket {
    TokenBucket::new(RECORDS_BURST, RECORDS_PER_SECOND)
}

fn bucket(daemon: DaemonKey) -> usize {
    (daemon.0 % BUCKETS as u64) as usize
}

/// Hash of the fields that must be equal in two tables. A suspected member hashes as alive,
/// because suspicion is short-lived. Callers leave out dead and left members, because each
/// daemon removes them from its table at a different time.
fn fingerprint(record: &MemberRecord, state: MemberState) -> u32 {
    let mut bytes = [0; 21];
    bytes[..8].copy_from_slice(&record.run.daemon.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&record.run.incarnation.0.to_le_bytes());
    bytes[16..20].copy_from_slice(&record.refutation.to_le_bytes());
    bytes[20] = u8::from(state == MemberState::Leaving);
    xxh3_64(&bytes) as u32
}

impl Membership {
    fn digest(&self) -> Vec<u32> {
        let mut buckets = vec![0u32; BUCKETS];
        let own = (&self.local_record, self.local_state);
        let others = self.table.values().map(|m| (&m.record, m.state));
        for (record, state) in others.chain([own]).filter(|(_, s)| !s.is_dead_or_left()) {
            let sum = &mut buckets[bucket(record.daemon())];
            *sum = sum.wrapping_add(fingerprint(record, state));
        }
        buckets
    }

    /// Sends a digest to one or more random contacts if a sync is due.
    pub(super) fn sync_when_due(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.next_sync {
            return;
        }
        let isolated = !self.table.values().any(|m| m.state.is_live());
        let (interval, contacts) = if isolated {
            (INTERVAL_ISOLATED, CONTACTS_ISOLATED)
        } else {
            (self.sync_interval, 1)
        };
        self.sync_interval = (self.sync_interval * 2).min(INTERVAL_MAX);
        self.next_sync = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        let targets = self.contacts();
        let selected: Vec<SocketAddr> = targets
            .choose_multiple(&mut self.rng, contacts)
            .copied()
            .collect();
        for to in selected {
            self.send_digest(to, false, out);
        }
    }

    /// Addresses to sync with. Members considered dead are included so that the sides of a healed
    /// partition find each other again. Seeds are included because two daemons that joined at
    /// the same time and know only each other would otherwise stay isolated.
    fn contacts(&self) -> Vec<SocketAddr> {
        let members = self
            .table
            .values()
            .filter(|m| m.state != MemberState::Left && !m.unlisted)
            .map(|m| m.record.peer_address);
        let listed = self
            .listed
            .iter()
            .filter(|(daemon, vm)| !self.table.contains_key(daemon) && !vm.leaving)
            .map(|(_, vm)| vm.peer_address);
        let mut addresses: Vec<SocketAddr> = members
            .chain(listed)
            .chain(self.seeds.iter().copied())
            .filter(|address| *address != self.local_record.peer_address)
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Sends this daemon's record and the digest of its table.
    pub(super) fn send_digest(&mut self, to: SocketAddr, answer: bool, out: &mut Vec<Action>) {
        let sync = Sync {
            answer,
            buckets: self.digest(),
        };
        let header = self.header(vec![self.local_update()]);
        let message = MemberMessage::Gossip(Gossip {
            sync: Some(sync),
            header,
        });
        out.push(Action::Send { to, message });
    }

    /// Replies to a digest with the records of all buckets that differ.
    pub(super) fn answer_digest(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sync: &Sync,
        out: &mut Vec<Action>,
    ) {
        let local_buckets = self.digest();
        if sync.buckets.len() != local_buckets.len() || sync.buckets == local_buckets {
            return;
        }
        self.sync_interval = INTERVAL_MIN;
        self.next_sync = self.next_sync.min(now + INTERVAL_MIN);
        let differs = |daemon| local_buckets[bucket(daemon)] != sync.buckets[bucket(daemon)];
        let mut updates: Vec<Update> = self
            .table
            .values()
            .filter(|m| differs(m.record.daemon()))
            .map(|m| Update {
                state: m.state,
                record: m.record.clone(),
            })
            .collect();
        updates.shuffle(&mut self.rng);
        // Members that are neither dead nor left come first, in case the rate limit cuts the
        // reply short.
        updates.sort_by_key(|update| update.state.is_dead_or_left());
        let mut remaining = updates.into_iter().peekable();
        while remaining.peek().is_some() && self.sync_tokens.take(now) {
            let mut batch = super::Batch::default();
            while let Some(update) = remaining.next_if(|update| batch.fits(update)) {
                batch.push(update);
            }
            let header = self.header(batch.updates);
            let message = MemberMessage::Gossip(Gossip { sync: None, header });
            out.push(Action::Send { to: from, message });
        }
        // The digest is sent last, so that the receiver compares it after applying the records.
        if !sync.answer {
            self.send_digest(from, true, out);
        }
    }
}
