//! Membership and failure detection in the manner of SWIM.
//!
//! A member probes its neighbours on several rings, directly and then through helpers. News
//! travels on probes, in pushes to a few neighbours, and in periodic comparisons of whole
//! tables with a random member.

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

use crate::addresses::Entry;
use crate::ids::DaemonKey;
use crate::placement::Candidate;
use probe::Prober;
use queue::UpdateQueue;
use token_bucket::TokenBucket;

/// Time between two calls of [`Membership::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for a suspected member to refute.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which an ended member that the VM list does not show is forgotten, and after
/// which a leaving member that never reported its end counts as dead.
pub const REMOVAL_TIMEOUT: Duration = Duration::from_secs(600);
/// Most members in the table, over twice the design scale of 430.
pub const MEMBERS_MAX: usize = 1_024;

/// A member as this daemon sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its newest known record.
    pub record: MemberRecord,
    /// Its state.
    pub state: MemberState,
    /// When it entered the state, or when this daemon resumed after a pause.
    pub since: Duration,
    /// Whether its VM disappeared from the VM list.
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

/// Updates for one message, within the limits of number and size.
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

/// Failure detector and member table of one daemon.
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
    /// Starts with only this daemon in the table.
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

    /// Adds peer addresses of daemons to contact while no other member is known to live.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Processes an event.
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

    /// Advances timers; called every [`TICK`].
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

    /// This daemon's own record.
    pub fn local_record(&self) -> &MemberRecord {
        &self.local_record
    }

    /// This daemon's own state: alive, leaving or left.
    pub fn local_state(&self) -> MemberState {
        self.local_state
    }

    /// A member other than this daemon.
    pub fn member(&self, daemon: DaemonKey) -> Option<&Member> {
        self.table.get(&daemon)
    }

    /// Every known member other than this daemon, in the order of their keys.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.values()
    }

    /// Live members including this daemon unless it is leaving, for placement. Suspected
    /// members stay, so that a refuted suspicion moves nothing.
    pub fn candidates(&self) -> Vec<Candidate> {
        self.records(MemberState::is_live)
            .map(|record| Candidate {
                daemon: record.daemon(),
                domain: record.domain.clone(),
            })
            .collect()
    }

    /// Members that an address response may name: alive, neither suspected nor leaving.
    pub fn entries(&self) -> Vec<Entry> {
        self.records(|state| state == MemberState::Alive)
            .map(|record| Entry {
                daemon: record.daemon(),
                region: record.region.clone(),
                domain: record.domain.clone(),
                http_address: record.http_address,
            })
            .collect()
    }

    /// Members that this daemon probes.
    pub fn probe_set(&self) -> &[DaemonKey] {
        &self.probe_set
    }

    /// Number that changes whenever the state of a member or of this daemon does.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Approximate memory of the tables in bytes, with a third for the free space in the nodes
    /// of the maps.
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

    /// Makes room by forgetting the member that ended first.
    fn evict_oldest_gone(&mut self) -> bool {
        let oldest = self
            .table
            .values()
            .filter(|m| m.state.is_gone())
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
                // A leaving member still needs news; that it fails a probe has no effect.
                .filter(|m| !m.state.is_gone())
                .map(|m| m.record.daemon())
                .collect();
            self.probe_set = ring::probe_set(self.local_record.daemon(), &others);
        }
    }
}
