//! Comparison of two member tables, so that late joiners and healed partitions converge.

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

/// Buckets of a digest: a difference in one member costs the records of one bucket.
const BUCKETS: usize = 32;
/// Longest time between two synchronisations with a random member. Each may cost a QUIC
/// handshake of several KB, about 130 bytes/s at this interval.
const INTERVAL_MAX: Duration = Duration::from_secs(30);
/// The same at the start and after tables differed; it doubles with each synchronisation.
pub(super) const INTERVAL_MIN: Duration = Duration::from_secs(4);
/// The same while no other member is known to live.
const INTERVAL_ISOLATED: Duration = Duration::from_secs(1);
/// Members contacted at once while no other member is known to live.
const CONTACTS_ISOLATED: usize = 3;
/// Datagrams of records at once; 64 hold a table at full scale, for one joiner.
const RECORDS_BURST: u32 = 64;
/// Datagrams of records per second in the long run, so that many joiners at once, as after a
/// restart of the fleet, get parts of the table from many members instead of all from a few.
const RECORDS_PER_SECOND: u32 = 4;

pub(super) fn sync_reply_tokens() -> TokenBucket {
    TokenBucket::new(RECORDS_BURST, RECORDS_PER_SECOND)
}

fn bucket(daemon: DaemonKey) -> usize {
    (daemon.0 % BUCKETS as u64) as usize
}

/// Hash of what two tables must agree on. Suspicion passes quickly and counts as alive; ended
/// members are left out, because every table forgets them at its own time.
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
        for (record, state) in others.chain([own]).filter(|(_, s)| !s.is_gone()) {
            let sum = &mut buckets[bucket(record.daemon())];
            *sum = sum.wrapping_add(fingerprint(record, state));
        }
        buckets
    }

    /// Sends a digest to a random member when one is due.
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

    /// Addresses worth a synchronisation. Members held for dead are included, since that is
    /// how the sides of a healed partition find each other, and so are seeds, or two daemons
    /// that joined at the same time and met only each other would remain an island.
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

    /// Sends the own record and the digest of the table.
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

    /// Answers a digest with the records in which the tables differ.
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
        // Members that run come first, in case the answer is cut off.
        updates.sort_by_key(|update| update.state.is_gone());
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
        // The digest goes last, so that it is compared after the records above arrived.
        if !sync.answer {
            self.send_digest(from, true, out);
        }
    }
}
