//! Membership and failure detection in the manner of SWIM.
//!
//! A member probes its neighbours on several rings, directly and then through helpers. News
//! travels on probes, in pushes to a few neighbours, and in periodic comparisons of whole
//! tables with a random member.

mod budget;
mod detect;
mod list;
mod message;
mod probe;
mod queue;
mod receive;
mod record;
mod ring;
mod spread;
mod sync;

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
use budget::Budget;
use probe::Prober;
use queue::Queue;

/// Time between two calls of [`Membership::tick`].
pub const TICK: Duration = Duration::from_millis(100);
/// Time for a suspected member to refute.
pub const SUSPICION: Duration = Duration::from_secs(3);
/// Time after which an ended member that the VM list does not show is forgotten, and after
/// which a leaving member that never reported its end counts as dead.
pub const FORGET_AFTER: Duration = Duration::from_secs(600);
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
    me: MemberRecord,
    my_state: MemberState,
    told_to_leave: bool,
    seeds: Vec<SocketAddr>,
    table: BTreeMap<DaemonKey, Member>,
    listed: BTreeMap<DaemonKey, ListedVm>,
    queue: Queue,
    prober: Prober,
    probe_set: Vec<DaemonKey>,
    ring_stale: bool,
    rng: Pcg64,
    generation: u64,
    last_tick: Option<Duration>,
    next_push: Duration,
    push_budget: Budget,
    urgent_budget: Budget,
    next_sync: Duration,
    sync_interval: Duration,
    sync_budget: Budget,
}

impl Membership {
    /// Starts with only this daemon in the table.
    pub fn new(me: MemberRecord, seed: u64) -> Self {
        let mut queue = Queue::default();
        queue.add(me.daemon(), false);
        Self {
            me,
            my_state: MemberState::Alive,
            told_to_leave: false,
            seeds: Vec::new(),
            table: BTreeMap::new(),
            listed: BTreeMap::new(),
            queue,
            prober: Prober::default(),
            probe_set: Vec::new(),
            ring_stale: false,
            rng: Pcg64::seed_from_u64(seed),
            generation: 0,
            last_tick: None,
            next_push: Duration::ZERO,
            push_budget: spread::push_budget(),
            urgent_budget: spread::push_budget(),
            next_sync: Duration::ZERO,
            sync_interval: sync::INTERVAL_MIN,
            sync_budget: sync::answer_budget(),
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
        if self.my_state == MemberState::Left {
            return out;
        }
        match event {
            Event::Message { from, message } => {
                self.notice_pause(now, &mut out);
                self.receive(now, from, message, &mut out);
            }
            Event::ConfigVersion(version) => {
                if version > self.me.config_version {
                    self.me.config_version = version;
                    self.push_to_all(&mut out);
                }
            }
            Event::Leave => self.set_my_state(MemberState::Leaving, &mut out),
            Event::Left => self.set_my_state(MemberState::Left, &mut out),
        }
        out
    }

    /// Advances timers; called every [`TICK`].
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut out = Vec::new();
        if self.my_state == MemberState::Left {
            return out;
        }
        self.notice_pause(now, &mut out);
        self.last_tick = Some(now);
        self.expire(now, &mut out);
        self.refresh_probe_set();
        self.probe(now, &mut out);
        self.push_when_due(now, &mut out);
        self.sync_when_due(now, &mut out);
        out
    }

    /// This daemon's own record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// This daemon's own state: alive, leaving or left.
    pub fn my_state(&self) -> MemberState {
        self.my_state
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

    fn records<F>(&self, wanted: F) -> impl Iterator<Item = &MemberRecord>
    where
        F: Fn(MemberState) -> bool,
    {
        let own = [(&self.me, self.my_state)];
        let others = self.table.values().map(|m| (&m.record, m.state));
        own.into_iter()
            .chain(others)
            .filter(move |(_, state)| wanted(*state))
            .map(|(record, _)| record)
    }

    fn own_update(&self) -> Update {
        Update {
            state: self.my_state,
            record: self.me.clone(),
        }
    }

    fn changed(&mut self, daemon: DaemonKey) {
        self.enqueue(daemon);
        self.generation += 1;
        self.ring_stale = true;
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
        self.changed(daemon);
        out.push(Action::Changed { run, from, to });
    }

    fn set_my_state(&mut self, to: MemberState, out: &mut Vec<Action>) {
        if to > self.my_state {
            self.my_state = to;
            self.changed(self.me.daemon());
            self.push_to_all(out);
        }
    }

    /// Makes room by forgetting the member that ended first.
    fn evict_ended(&mut self) -> bool {
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
        if std::mem::take(&mut self.ring_stale) {
            let others: Vec<DaemonKey> = self
                .table
                .values()
                // A leaving member still needs news; that it fails a probe has no effect.
                .filter(|m| !m.state.is_gone())
                .map(|m| m.record.daemon())
                .collect();
            self.probe_set = ring::probe_set(self.me.daemon(), &others);
        }
    }
}
