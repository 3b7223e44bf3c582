//! Group membership and failure detection based on the SWIM protocol.
//!
//! Each member probes its neighbours on several rings, directly and, if that fails, indirectly
//! through other members. Updates are piggybacked on probes, pushed to a few neighbours, and
//! exchanged in a periodic anti-entropy sync of the whole table with a random member.

mod detect;
mod dissemination;
mod message;
mod probe;
mod queue;
mod receive;
mod record;
mod ring;
mod sync;
mod token_bucket;
mod vm_list;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64;

pub use message::{
    Ack, Action, Event, Gossip, Header, ListedVm, MemberMessage, Ping, PingReq, Sync, UPDATES_MAX,
    UPDATES_MAX_BYTES,
};
pub use record::{LABEL_MAX_BYTES, MemberRecord, MemberState, Update};

use crate::addresses::AddressEntry;
use crate::ids::DaemonKey;
use crate::placement::Candidate;
use probe::Prober;
use queue::UpdateQueue;
use token_bucket::TokenBucket;

/// Interval at which the caller invokes [`Membership::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time a suspected member has to refute the suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a dead or left member that is not in the VM list is removed from the table,
/// and after which a leaving member that never announced that it left is declared dead.
pub const REMOVAL_TIMEOUT: Duration = Duration::from_secs(600);
/// Maximum number of members in the table, more than twice the design scale of 430.
pub const MEMBERS_MAX: usize = 1_024;

/// Local view of another member.
#[derive(Debug, Clone)]
pub struct Member {
    /// Newest record received from or about the member.
    pub record: MemberRecord,
    /// State according to the updates, probes and VM lists processed so far.
    pub state: MemberState,
    /// When the member entered its state; reset for a suspected member when this daemon resumes
    /// after a pause.
    pub since: Duration,
    /// Whether the member's VM was removed from the VM list.
    unlisted: bool,
}

impl Member {
    fn new(record: MemberRecord, state: MemberState, since: Duration) -> Self {
        Self {
            record,
            state,
            since,
            unlisted: false,
        }
    }

    fn update(&self) -> Update {
        Update {
            state: self.state,
            record: self.record.clone(),
        }
    }
}

/// Updates for one message, limited by [`UPDATES_MAX`] and [`UPDATES_MAX_BYTES`].
#[derive(Debug, Default)]
struct Batch {
    updates: Vec<Update>,
    bytes: usize,
}

impl Batch {
    fn fits(&self, update: &Update) -> bool {
        self.updates.len() < UPDATES_MAX
            && self.bytes + update.record.encoded_max_bytes() <= UPDATES_MAX_BYTES
    }

    fn push(&mut self, update: Update) {
        self.bytes += update.record.encoded_max_bytes();
        self.updates.push(update);
    }
}

/// Failure detector and member table of one daemon, as a state machine without I/O.
#[derive(Debug)]
pub struct Membership {
    local_record: MemberRecord,
    local_state: MemberState,
    leave_requested: bool,
    seeds: Vec<SocketAddr>,
    table: BTreeMap<DaemonKey, Member>,
    listed: BTreeMap<DaemonKey, ListedVm>,
    queue: UpdateQueue,
    prober: Prober,
    probe_set: Vec<DaemonKey>,
    probe_set_stale: bool,
    rng: Pcg64,
    generation: u64,
    last_tick: Option<Duration>,
    next_push: Duration,
    push_tokens: TokenBucket,
    urgent_push_tokens: TokenBucket,
    next_sync: Duration,
    sync_interval: Duration,
    sync_tokens: TokenBucket,
}

impl Membership {
    /// Creates the state of a daemon that knows no other member yet.
    ///
    /// `seed` initialises the random number generator.
    pub fn new(local_record: MemberRecord, seed: u64) -> Self {
        let mut queue = UpdateQueue::default();
        queue.add(local_record.daemon(), false);
        Self {
            local_record,
            local_state: MemberState::Alive,
            leave_requested: false,
            seeds: Vec::new(),
            table: BTreeMap::new(),
            listed: BTreeMap::new(),
            queue,
            prober: Prober::default(),
            probe_set: Vec::new(),
            probe_set_stale: false,
            rng: Pcg64::seed_from_u64(seed),
            generation: 0,
            last_tick: None,
            next_push: Duration::ZERO,
            push_tokens: dissemination::push_tokens(),
            urgent_push_tokens: dissemination::push_tokens(),
            next_sync: Duration::ZERO,
            sync_interval: sync::INTERVAL_MIN,
            sync_tokens: sync::sync_reply_tokens(),
        }
    }

    /// Sets the peer addresses of daemons to contact, in particular while no other member is
    /// known to be live.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Processes an event and returns the resulting actions, none once this daemon has left.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        if self.local_state == MemberState::Left {
            return out;
        }
        match event {
            Event::Message { from, message } => {
                self.detect_pause(now, &mut out);
                self.receive(now, from, message, &mut out);
            }
            Event::ConfigVersion(version) => {
                if version > self.local_record.config_version {
                    self.local_record.config_version = version;
                    self.push_to_all(&mut out);
                }
            }
            Event::Leave => self.set_local_state(MemberState::Leaving, &mut out),
            Event::Left => self.set_local_state(MemberState::Left, &mut out),
        }
        out
    }

    /// Advances timers and returns the actions that are due; called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut out = Vec::new();
        if self.local_state == MemberState::Left {
            return out;
        }
        self.detect_pause(now, &mut out);
        self.last_tick = Some(now);
        self.expire(now, &mut out);
        self.refresh_probe_set();
        self.probe(now, &mut out);
        self.push_when_due(now, &mut out);
        self.sync_when_due(now, &mut out);
        out
    }

    /// Record that this daemon announces to other members.
    pub fn local_record(&self) -> &MemberRecord {
        &self.local_record
    }

    /// State that this daemon announces: alive, leaving or left.
    pub fn local_state(&self) -> MemberState {
        self.local_state
    }

    /// Looks up a member other than this daemon.
    pub fn member(&self, daemon: DaemonKey) -> Option<&Member> {
        self.table.get(&daemon)
    }

    /// All known members other than this daemon, in any state, ordered by key.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.values()
    }

    /// Live members for placement, including this daemon unless it is leaving. Suspected members
    /// are included so that a suspicion that is refuted doesn't change the placement.
    pub fn candidates(&self) -> Vec<Candidate> {
        self.records(MemberState::is_live)
            .map(|record| Candidate {
                daemon: record.daemon(),
                domain: record.domain.clone(),
            })
            .collect()
    }

    /// Members that an address response may include: alive, neither suspected nor leaving.
    pub fn entries(&self) -> Vec<AddressEntry> {
        self.records(|state| state == MemberState::Alive)
            .map(|record| AddressEntry {
                daemon: record.daemon(),
                region: record.region.clone(),
                domain: record.domain.clone(),
                http_address: record.http_address,
            })
            .collect()
    }

    /// Members that this daemon probes, as of the last tick or push to all neighbours.
    pub fn probe_set(&self) -> &[DaemonKey] {
        &self.probe_set
    }

    /// Counter incremented whenever a member is added, the run or state of a member changes, or
    /// the state of this daemon changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Approximate memory used by the tables in bytes. A third is added for unused capacity in
    /// the nodes of the B-tree maps.
    pub fn state_bytes(&self) -> usize {
        let labels = |r: &MemberRecord| r.name.len() + r.region.len() + r.domain.len();
        let key = size_of::<DaemonKey>();
        let members: usize = self
            .table
            .values()
            .map(|m| key + size_of::<Member>() + labels(&m.record))
            .sum();
        let listed: usize = self
            .listed
            .values()
            .map(|vm| key + size_of::<ListedVm>() + vm.name.len())
            .sum();
        size_of::<Self>() + (members + listed) * 4 / 3 + self.queue.state_bytes()
    }

    fn records<F>(&self, matches_state: F) -> impl Iterator<Item = &MemberRecord>
    where
        F: Fn(MemberState) -> bool,
    {
        let own = [(&self.local_record, self.local_state)];
        let others = self.table.values().map(|m| (&m.record, m.state));
        own.into_iter()
            .chain(others)
            .filter(move |(_, state)| matches_state(*state))
            .map(|(record, _)| record)
    }

    fn local_update(&self) -> Update {
        Update {
            state: self.local_state,
            record: self.local_record.clone(),
        }
    }

    fn mark_changed(&mut self, daemon: DaemonKey) {
        self.enqueue(daemon);
        self.generation += 1;
        self.probe_set_stale = true;
    }

    fn set_state(
        &mut self,
        now: Duration,
        daemon: DaemonKey,
        to: MemberState,
        out: &mut Vec<Action>,
    ) {
        let Some(member) = self.table.get_mut(&daemon) else {
            return;
        };
        let from = Some(member.state);
        member.state = to;
        member.since = now;
        let run = member.record.run;
        self.mark_changed(daemon);
        out.push(Action::Changed { run, from, to });
    }

    fn set_local_state(&mut self, to: MemberState, out: &mut Vec<Action>) {
        if to > self.local_state {
            self.local_state = to;
            self.mark_changed(self.local_record.daemon());
            self.push_to_all(out);
        }
    }

    /// Makes room for a new member by removing the one that has been dead or left the longest;
    /// returns `false` if there is none.
    fn evict_oldest_ended(&mut self) -> bool {
        let oldest = self
            .table
            .values()
            .filter(|m| m.state.is_dead_or_left())
            .min_by_key(|m| m.since)
            .map(|m| m.record.daemon());
        match oldest {
            Some(daemon) => {
                self.queue.remove(daemon);
                self.table.remove(&daemon).is_some()
            }
            None => false,
        }
    }

    fn refresh_probe_set(&mut self) {
        if std::mem::take(&mut self.probe_set_stale) {
            let others: Vec<DaemonKey> = self
                .table
                .values()
                // A leaving member still needs updates; a failed probe of it has no effect.
                .filter(|m| !m.state.is_dead_or_left())
                .map(|m| m.record.daemon())
                .collect();
            self.probe_set = ring::probe_set(self.local_record.daemon(), &others);
        }
    }
}
