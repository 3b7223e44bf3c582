//! Simulated network in which membership state machines exchange encoded datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};
use corianderworks_decision::membership::{
    Action, Event, ListedVm, MemberRecord, MemberState, Membership, TICK_INTERVAL,
};
use corianderworks_wire::codec::{decode, encode};
use corianderworks_wire::message::{DATAGRAM_MAX_BYTES, Datagram};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

pub const DOMAINS: usize = 7;
const NETWORK_DELAY: Duration = Duration::from_millis(10);

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 7000))
}

pub fn key(index: usize) -> DaemonKey {
    DaemonKey::of(&format!("entry-{index:03}"))
}

pub fn record(index: usize, incarnation: u64) -> MemberRecord {
    let mut http_address = address(index);
    http_address.set_port(8000);
    MemberRecord {
        run: DaemonRun {
            daemon: key(index),
            incarnation: Incarnation(incarnation),
        },
        refutation: 0,
        name: format!("entry-{index:03}"),
        region: if index % DOMAINS < 4 {
            "north"
        } else {
            "south"
        }
        .into(),
        domain: format!("domain-{}", index % DOMAINS),
        peer_address: address(index),
        http_address,
        config_version: 0,
    }
}

pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Membership>,
    pub running: Vec<bool>,
    /// Whether datagrams from the first node to the second are dropped.
    pub is_partitioned: Box<dyn Fn(usize, usize) -> bool>,
    pub loss_probability: f64,
    pub duplication_probability: f64,
    pub max_jitter_ms: u64,
    pub actions: Vec<(Duration, usize, Action)>,
    in_flight: BTreeMap<(Duration, u64), (usize, usize, Bytes)>,
    pub datagrams_sent: u64,
    rng: Pcg64,
}

impl Fleet {
    /// Creates `size` nodes that all have the first one as their only seed.
    pub fn new(size: usize, seed: u64) -> Self {
        let node =
            |i| Membership::new(record(i, 1_000), seed + i as u64).with_seeds(vec![address(0)]);
        Self {
            now: Duration::ZERO,
            nodes: (0..size).map(node).collect(),
            running: vec![true; size],
            is_partitioned: Box::new(|_, _| false),
            loss_probability: 0.0,
            duplication_probability: 0.0,
            max_jitter_ms: 0,
            actions: Vec::new(),
            in_flight: BTreeMap::new(),
            datagrams_sent: 0,
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// Creates a fleet in which all nodes see each other alive, and clears its recorded actions.
    pub fn converged(size: usize, seed: u64) -> Self {
        let mut fleet = Self::new(size, seed);
        fleet.run(10_000);
        fleet.assert_all_alive();
        fleet.actions.clear();
        fleet
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now += NETWORK_DELAY;
            let phase = (self.now.as_millis() / NETWORK_DELAY.as_millis()) as usize;
            let phases = (TICK_INTERVAL.as_millis() / NETWORK_DELAY.as_millis()) as usize;
            for i in 0..self.nodes.len() {
                if self.running[i] && (phase + i).is_multiple_of(phases) {
                    let actions = self.nodes[i].tick(self.now);
                    self.apply_actions(i, actions);
                }
            }
            while let Some(entry) = self.in_flight.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (from, to, bytes) = entry.remove();
                self.deliver(from, to, &bytes);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if !self.running[to] {
            return;
        }
        let datagram: Datagram = decode(bytes).expect("a datagram decodes");
        let message = datagram.into_member().expect("a member message");
        let from = address(from);
        self.handle_event(to, Event::Message { from, message });
    }

    pub fn handle_event(&mut self, i: usize, event: Event) {
        let actions = self.nodes[i].handle(self.now, event);
        self.apply_actions(i, actions);
    }

    pub fn apply_vm_list(&mut self, i: usize, list: &[ListedVm]) {
        let actions = self.nodes[i].update_vm_list(self.now, list);
        self.apply_actions(i, actions);
    }

    fn apply_actions(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(i, to, Datagram::from(message)),
                other => self.actions.push((self.now, i, other)),
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        let bytes = encode(&datagram).expect("a datagram encodes");
        assert!(bytes.len() <= DATAGRAM_MAX_BYTES, "{} bytes", bytes.len());
        let Some(to) = (0..self.nodes.len()).find(|i| address(*i) == to) else {
            return;
        };
        if (self.is_partitioned)(from, to) || self.rng.random_bool(self.loss_probability) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.duplication_probability));
        for _ in 0..copies {
            let jitter = Duration::from_millis(self.rng.random_range(0..=self.max_jitter_ms));
            self.datagrams_sent += 1;
            let at = (self.now + NETWORK_DELAY + jitter, self.datagrams_sent);
            self.in_flight.insert(at, (from, to, bytes.clone()));
        }
    }

    /// State of node `of` as seen by node `at`.
    pub fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.nodes[at].member(key(of)).map(|m| m.state)
    }

    /// Asserts the state of each node in `of` as seen by each running node in `at`.
    pub fn assert_states<A, O>(&self, at: A, of: O, expected: MemberState)
    where
        A: Iterator<Item = usize>,
        O: Iterator<Item = usize> + Clone,
    {
        for i in at.filter(|i| self.running[*i]) {
            for j in of.clone().filter(|j| *j != i) {
                let state = self.state(i, j);
                assert_eq!(
                    state,
                    Some(expected),
                    "state of {j} at {i} after {:?}",
                    self.now
                );
            }
        }
    }

    pub fn assert_all_alive(&self) {
        let all = 0..self.nodes.len();
        self.assert_states(all.clone(), all, MemberState::Alive);
    }

    /// Times at which other nodes declared node `of` dead.
    pub fn deaths(&self, of: usize) -> Vec<Duration> {
        let is_death = |action: &Action| {
            matches!(action, Action::Changed { run, to: MemberState::Dead, .. }
                if run.daemon == key(of))
        };
        let found = self.actions.iter().filter(|(_, _, a)| is_death(a));
        found.map(|(at, _, _)| *at).collect()
    }

    pub fn vm_list(&self, listed: impl Iterator<Item = usize>) -> Vec<ListedVm> {
        let vm = |i| ListedVm {
            name: record(i, 0).name,
            peer_address: address(i),
            leaving: false,
        };
        listed.map(vm).collect()
    }
}
