//! Permission to use keys: when a proof counts, when the permission ends, and what is asked of peers
//! and of the store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::clock::{Clock, ManualClock};
use corianderworks_decision::edge::key_permission::{
    ConfigurationId, Confirmation, KeyPermission, PermitError, Proof, QueryScope, Role,
};
use corianderworks_decision::edge::organisations::{CallerIdentity, Organisation};
use corianderworks_decision::edge::routes::ConfigVersion;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const REVOCATION: Duration = Duration::from_secs(5);
/// The permission ends before the revocation time, as clocks may be slowed by 10%.
const LIFETIME: Duration = Duration::from_millis(4_500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn id(version: u64) -> ConfigurationId {
    ConfigurationId::new(ConfigVersion(version), &version.to_be_bytes())
}

fn caller() -> CallerIdentity {
    CallerIdentity::Organisation(Arc::new(Organisation {
        name: "north".into(),
        priority: None,
        limit: None,
    }))
}

fn proof(version: u64, queried_at: Duration) -> Proof {
    Proof {
        configuration: id(version),
        queried_at,
        age: Duration::ZERO,
    }
}

/// Returns a permission with this configuration in force and no proof.
fn permission(version: u64) -> KeyPermission {
    let mut permission = KeyPermission::new(Some(REVOCATION), 0.5);
    permission.set_configuration(id(version), true, Duration::ZERO);
    permission
}

fn permits(permission: &KeyPermission, version: u64, now: Duration) -> bool {
    let permit = permission.permit(&caller(), ConfigVersion(version), now);
    permit.is_ok()
}

#[test]
fn a_permission_ends_before_the_revocation_time_after_its_proof() {
    let mut permission = permission(1);
    assert!(!permits(&permission, 1, ms(1)));
    assert!(permission.record(proof(1, ms(1_000))));
    let end = ms(1_000) + LIFETIME;
    assert!(permits(&permission, 1, end - ms(1)));
    assert!(!permits(&permission, 1, end));
    assert_eq!(permission.remaining(end - ms(7)), Some(ms(7)));
}

/// A response that arrives out of order must neither shorten nor extend the permission.
#[test]
fn an_older_proof_changes_nothing() {
    let mut permission = permission(1);
    permission.record(proof(1, ms(3_000)));
    permission.record(proof(1, ms(1_000)));
    assert!(permits(&permission, 1, ms(3_000) + LIFETIME - ms(1)));
    assert!(!permits(&permission, 1, ms(3_000) + LIFETIME));
}

#[test]
fn a_proof_of_another_configuration_does_not_count() {
    let mut permission = permission(2);
    assert!(!permission.record(proof(1, ms(100))));
    assert!(!permission.record(proof(3, ms(100))));
    let rewritten = ConfigurationId::new(ConfigVersion(2), b"same version, other keys");
    assert!(!permission.record(Proof {
        configuration: rewritten,
        ..proof(2, ms(100))
    }));
    assert!(!permits(&permission, 2, ms(100)));
}

/// A key that was looked up before a configuration was replaced may be withdrawn in the next one.
#[test]
fn a_key_has_to_be_looked_up_in_the_configuration_in_force() {
    let mut permission = permission(1);
    permission.record(proof(1, ms(0)));
    permission.set_configuration(id(2), true, ms(100));
    let result = permission.permit(&caller(), ConfigVersion(1), ms(100));
    assert_eq!(result.err(), Some(PermitError::OtherConfiguration));
}

/// Callers must not wait at each new version. The new one can only have been withdrawn later.
#[test]
fn a_newer_configuration_keeps_the_time_of_the_proof() {
    let mut permission = permission(1);
    permission.record(proof(1, ms(1_000)));
    permission.set_configuration(id(2), true, ms(4_000));
    assert!(permits(&permission, 2, ms(1_000) + LIFETIME - ms(1)));
    assert!(!permits(&permission, 2, ms(1_000) + LIFETIME));
}

/// A key that is added and withdrawn within a second, while a relay delays the second change.
#[test]
fn a_key_added_and_withdrawn_in_quick_succession_ends_in_time() {
    let mut permission = permission(1);
    permission.record(proof(1, ms(1_000)));
    // Version 2 adds the key at 1.1 s, version 3 withdraws it at 1.6 s and never arrives.
    permission.set_configuration(id(2), true, ms(5_000));
    assert!(permits(&permission, 2, ms(5_100)));
    // The relay has version 3, so it proves nothing about version 2.
    let query = permission
        .next_query(Role::Other, ms(5_000))
        .expect("a query");
    let confirmation = Confirmation {
        configuration: id(3),
        age: ms(100),
    };
    assert!(!permission.confirm(query.sequence, confirmation));
    assert!(!permits(&permission, 2, ms(1_600) + REVOCATION));
}

/// The process was suspended across the end: `CLOCK_MONOTONIC` would not show it.
#[test]
fn a_suspended_daemon_has_no_permission_afterwards() {
    let clock = ManualClock::default();
    let mut permission = permission(1);
    permission.record(proof(1, clock.since_boot()));
    clock.advance(ms(1_000));
    assert!(permits(&permission, 1, clock.since_boot()));
    clock.suspend(ms(10_000));
    assert_eq!(clock.now(), ms(1_000));
    assert!(!permits(&permission, 1, clock.since_boot()));
    assert!(permits(&permission, 1, clock.now()));
    let query = permission.next_query(Role::Other, clock.since_boot());
    assert_eq!(query.expect("a query").scope, QueryScope::All);
}

/// A response that was sent before a suspension of this daemon, of its relay or of the network is as
/// old as its query.
#[test]
fn a_late_response_is_dated_by_its_query() {
    for delay in [0, 1_000, 4_000, 4_400, 60_000].map(ms) {
        let mut permission = permission(1);
        let query = permission
            .next_query(Role::Other, ms(100))
            .expect("a query");
        let confirmation = Confirmation {
            configuration: id(1),
            age: ms(50),
        };
        let now = ms(100) + delay;
        assert!(permission.confirm(query.sequence, confirmation));
        assert_eq!(permits(&permission, 1, now), delay < LIFETIME - ms(50));
        assert!(!permits(&permission, 1, ms(50) + LIFETIME));
    }
}

/// The age of the relay's own proof adds to that of the query.
#[test]
fn a_response_with_an_old_proof_gives_no_permission() {
    let mut permission = permission(1);
    let query = permission
        .next_query(Role::Other, ms(100))
        .expect("a query");
    let confirmation = |age| Confirmation {
        configuration: id(1),
        age,
    };
    permission.confirm(query.sequence, confirmation(ms(60_000)));
    assert!(!permits(&permission, 1, ms(100)));
    permission.confirm(query.sequence, confirmation(ms(4_000)));
    assert!(permits(&permission, 1, ms(599)));
    assert!(!permits(&permission, 1, ms(600)));
    assert!(!permission.confirm(query.sequence + 9, confirmation(ms(0))));
}

/// A daemon that restarts gets its old configuration from a relay that is cut off.
#[test]
fn a_restart_with_an_old_configuration_gives_no_permission() {
    let mut relay = permission(1);
    relay.record(proof(1, ms(0)));
    let mut restarted = permission(1);
    let now = ms(8_000);
    let query = restarted.next_query(Role::Other, now).expect("a query");
    assert_eq!(query.scope, QueryScope::All);
    assert_eq!(relay.confirmation(now), None);
    assert!(!permits(&restarted, 1, now));
    assert!(restarted.take_store_read(Role::Other, now));
    // The store has another configuration.
    assert!(!restarted.record(proof(2, now)));
    assert!(!permits(&restarted, 1, now));
}

/// Without strict revocation or organisations, nothing is sent and nothing is refused.
#[test]
fn an_inactive_permission_asks_nothing_and_never_ends() {
    let mut without_setting = KeyPermission::new(None, 0.5);
    without_setting.set_configuration(id(1), true, ms(0));
    let mut without_organisations = KeyPermission::new(Some(REVOCATION), 0.5);
    without_organisations.set_configuration(id(1), false, ms(0));
    for mut permission in [without_setting, without_organisations] {
        for now in [0, 1_000, 100_000].map(ms) {
            for role in [Role::Watcher, Role::Relay, Role::Other] {
                assert_eq!(permission.next_query(role, now), None);
                assert!(!permission.take_store_read(role, now));
            }
            assert!(permits(&permission, 1, now));
            assert_eq!(permission.remaining(now), None);
            assert_eq!(permission.confirmation(now), None);
            assert_eq!(permission.watch_timeout_max(), None);
        }
    }
}

/// Public routes are served without a permission.
#[test]
fn requests_without_a_key_need_no_permission() {
    let permission = permission(1);
    for caller in [CallerIdentity::Anonymous, CallerIdentity::NotUsed] {
        let permit = permission.permit(&caller, ConfigVersion(1), ms(100_000));
        assert!(permit.is_ok());
    }
}

#[test]
fn peers_are_queried_about_twice_a_second_and_all_of_them_if_one_is_silent() {
    let mut permission = permission(1);
    permission.record(proof(1, ms(0)));
    let mut scopes = Vec::new();
    for now in (0..2_000).step_by(100).map(ms) {
        if let Some(query) = permission.next_query(Role::Other, now) {
            scopes.push(query.scope);
            let confirmation = Confirmation {
                configuration: id(1),
                age: ms(100),
            };
            // The third query gets no response.
            if scopes.len() != 3 {
                permission.confirm(query.sequence, confirmation);
            }
        }
    }
    use QueryScope::{All, One};
    assert_eq!(scopes, [One, One, One, All, One]);
}

/// A restart or a new version must not wait for the next regular query.
#[test]
fn peers_are_queried_at_once_at_the_start_on_changes_and_near_the_end() {
    let mut permission = permission(1);
    permission.record(proof(1, ms(0)));
    assert!(permission.next_query(Role::Other, ms(0)).is_some());
    assert!(permission.next_query(Role::Other, ms(10)).is_none());
    permission.set_configuration(id(2), true, ms(10));
    assert!(permission.next_query(Role::Other, ms(10)).is_some());
    let near_end = LIFETIME - ms(1_000);
    assert!(permission.next_query(Role::Other, near_end).is_some());
    let next = permission.next_query(Role::Other, near_end + ms(100));
    assert_eq!(next.expect("a query").scope, QueryScope::All);
}

/// A daemon with store access, and what it can reach.
struct Node {
    permission: KeyPermission,
    version: u64,
    role: Role,
    /// Peers that it queries, by index.
    peers: Vec<usize>,
    reaches_store: bool,
    reaches_peers: bool,
    store_reads: usize,
    queries: usize,
}

/// Fleet in steps of 100 ms: nodes 0 and 1 watch the store, the others query them.
struct Model {
    nodes: Vec<Node>,
    now: Duration,
    store_version: u64,
    /// Time at which each version was replaced by the next one.
    replaced_at: HashMap<u64, Duration>,
}

impl Model {
    fn new(size: usize) -> Self {
        let node = |i: usize| {
            let jitter = i as f64 / size as f64;
            let mut permission = KeyPermission::new(Some(REVOCATION), jitter);
            permission.set_configuration(id(1), true, Duration::ZERO);
            let role = match i {
                0 | 1 => Role::Watcher,
                _ => Role::Other,
            };
            Node {
                permission,
                version: 1,
                role,
                peers: [0, 1].into_iter().filter(|p| *p != i).collect(),
                reaches_store: true,
                reaches_peers: true,
                store_reads: 0,
                queries: 0,
            }
        };
        Self {
            nodes: (0..size).map(node).collect(),
            now: Duration::from_secs(100),
            store_version: 1,
            replaced_at: HashMap::new(),
        }
    }

    fn read_store(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.store_reads += 1;
        if !node.reaches_store {
            return;
        }
        if node.version < self.store_version {
            node.version = self.store_version;
            let id = id(node.version);
            node.permission.set_configuration(id, true, self.now);
        }
        let proof = proof(self.store_version, self.now);
        node.permission.record(proof);
    }

    /// Advances the model, and checks that no withdrawn configuration is used too late.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut step = 0;
        while self.now < end {
            self.now += ms(100);
            step += 1;
            for i in 0..self.nodes.len() {
                // A watch lasts 0.6 s and proves the state at its start.
                if self.nodes[i].role == Role::Watcher && step % 6 == i % 6 {
                    self.read_store(i);
                }
                self.query_peers(i);
                let (node, now) = (&mut self.nodes[i], self.now);
                if node.permission.take_store_read(node.role, now) {
                    self.read_store(i);
                }
                self.check(i);
            }
        }
    }

    fn query_peers(&mut self, i: usize) {
        let (role, now) = (self.nodes[i].role, self.now);
        let Some(query) = self.nodes[i].permission.next_query(role, now) else {
            return;
        };
        self.nodes[i].queries += 1;
        for peer in self.nodes[i].peers.clone() {
            if !(self.nodes[i].reaches_peers && self.nodes[peer].reaches_peers) {
                continue;
            }
            if let Some(confirmation) = self.nodes[peer].permission.confirmation(now) {
                let node = &mut self.nodes[i];
                node.permission.confirm(query.sequence, confirmation);
            }
        }
    }

    fn check(&self, i: usize) {
        let node = &self.nodes[i];
        let Some(replaced_at) = self.replaced_at.get(&node.version) else {
            return;
        };
        let is_late = self.now > *replaced_at + REVOCATION;
        assert!(!(is_late && self.permits(i)), "node {i} at {:?}", self.now);
    }

    fn permits(&self, i: usize) -> bool {
        permits(&self.nodes[i].permission, self.nodes[i].version, self.now)
    }

    /// Returns the number of daemons that have a permission.
    fn permitted(&self) -> usize {
        (0..self.nodes.len()).filter(|i| self.permits(*i)).count()
    }

    fn replace_configuration(&mut self) {
        self.replaced_at.insert(self.store_version, self.now);
        self.store_version += 1;
    }

    fn store_reads(&self) -> usize {
        let others = self.nodes.iter().filter(|n| n.role == Role::Other);
        others.map(|n| n.store_reads).sum()
    }
}

#[test]
fn a_fleet_without_failures_reads_the_store_only_at_its_watchers() {
    let mut model = Model::new(100);
    model.run(ms(2_000));
    assert_eq!(model.permitted(), 100);
    let before = model.store_reads();
    model.run(ms(20_000));
    assert_eq!((model.permitted(), model.store_reads()), (100, before));
}

/// A third of the fleet reaches neither the store nor its relays, and must not serve the withdrawn
/// keys; the others are not affected.
#[test]
fn a_partitioned_third_of_the_fleet_loses_its_permission_in_time() {
    let mut model = Model::new(99);
    model.run(ms(3_000));
    for node in &mut model.nodes[66..] {
        (node.reaches_store, node.reaches_peers) = (false, false);
    }
    model.replace_configuration();
    model.run(ms(4_900));
    assert_eq!(model.permitted(), 66);
    model.run(ms(10_000));
    assert_eq!(model.permitted(), 66);
    for node in &mut model.nodes[66..] {
        (node.reaches_store, node.reaches_peers) = (true, true);
    }
    model.run(ms(1_000));
    assert_eq!(model.permitted(), 99);
}

/// Daemons that only lost the store keep their permission from peers.
#[test]
fn a_third_of_the_fleet_without_store_access_keeps_its_permission() {
    let mut model = Model::new(99);
    model.run(ms(3_000));
    model.nodes[66..]
        .iter_mut()
        .for_each(|n| n.reaches_store = false);
    model.run(ms(20_000));
    assert_eq!(model.permitted(), 99);
}

/// Daemons that only lost their relays read the store, each at a time of its own.
#[test]
fn daemons_without_relays_read_the_store_at_different_times() {
    let mut model = Model::new(100);
    model.run(ms(3_000));
    model.nodes[2..]
        .iter_mut()
        .for_each(|n| n.reaches_peers = false);
    let before = model.store_reads();
    model.run(ms(10_000));
    assert_eq!(model.permitted(), 100);
    // Each daemon reads at most every 2.75 s, a relay every 2.5 s.
    let reads = model.store_reads() - before;
    assert!(reads <= 98 * 4, "{reads}");
}

#[test]
fn an_unavailable_store_ends_all_permissions_and_its_return_renews_them() {
    let mut model = Model::new(100);
    model.run(ms(3_000));
    model.nodes.iter_mut().for_each(|n| n.reaches_store = false);
    model.run(ms(3_000));
    assert_eq!(model.permitted(), 100);
    model.run(ms(2_500));
    assert_eq!(model.permitted(), 0);
    model.nodes.iter_mut().for_each(|n| n.reaches_store = true);
    model.run(ms(1_000));
    assert_eq!(model.permitted(), 100);
}

/// What passes between the nodes of [`Random`].
#[derive(Clone, Copy)]
enum Sent {
    Configuration(u64),
    Query {
        from: usize,
        sequence: u32,
    },
    Response {
        sequence: u32,
        confirmation: Confirmation,
    },
}

struct RandomNode {
    permission: KeyPermission,
    version: u64,
    suspended_until: u64,
}

/// Three nodes, of which each gets its configuration from the one before it and queries it, while
/// messages are delayed, lost and reordered, nodes are suspended and restarted, and the store, which
/// only the first node reads, is replaced and cut off at random. Times are in milliseconds.
struct Random {
    rng: Pcg64Mcg,
    nodes: Vec<RandomNode>,
    /// Arrival, receiver and content of the messages in transit.
    in_transit: Vec<(u64, usize, Sent)>,
    /// Time at which each version was replaced; the last one is the latest.
    replaced_at: Vec<Option<u64>>,
    /// Number of times at which a node used a key.
    uses: usize,
}

impl Random {
    fn new(seed: u64) -> Self {
        let node = |_| RandomNode {
            permission: permission(0),
            version: 0,
            suspended_until: 0,
        };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            nodes: (0..3).map(node).collect(),
            in_transit: Vec::new(),
            replaced_at: vec![None],
            uses: 0,
        }
    }

    fn send(&mut self, now: u64, to: usize, sent: Sent) {
        let delay = match self.rng.random_range(0..10) {
            0 => return,
            1 => self.rng.random_range(0..8_000),
            _ => self.rng.random_range(0..100),
        };
        self.in_transit.push((now + delay, to, sent));
    }

    fn install(&mut self, now: u64, i: usize, version: u64) {
        let node = &mut self.nodes[i];
        if version <= node.version {
            return;
        }
        node.version = version;
        node.permission
            .set_configuration(id(version), true, ms(now));
        if i + 1 < self.nodes.len() {
            self.send(now, i + 1, Sent::Configuration(version));
        }
    }

    fn receive(&mut self, now: u64, i: usize, sent: Sent) {
        let permission = &mut self.nodes[i].permission;
        match sent {
            Sent::Configuration(version) => self.install(now, i, version),
            Sent::Query { from, sequence } => {
                if let Some(confirmation) = permission.confirmation(ms(now)) {
                    let response = Sent::Response {
                        sequence,
                        confirmation,
                    };
                    self.send(now, from, response);
                }
            }
            Sent::Response {
                sequence,
                confirmation,
            } => {
                permission.confirm(sequence, confirmation);
            }
        }
    }

    fn step(&mut self, now: u64, store_is_up: bool) {
        if self.rng.random_bool(0.02) {
            let last = self.replaced_at.last_mut();
            *last.expect("a version") = Some(now);
            self.replaced_at.push(None);
        }
        for i in 0..self.nodes.len() {
            if now < self.nodes[i].suspended_until {
                continue;
            }
            if self.rng.random_bool(0.002) {
                self.nodes[i].suspended_until = now + self.rng.random_range(0..10_000);
                continue;
            }
            if self.rng.random_bool(0.001) {
                // A restart with the configuration that a relay has.
                let version = self.nodes[i.saturating_sub(1)].version.max(1) - 1;
                let mut permission = KeyPermission::new(Some(REVOCATION), self.rng.random());
                permission.set_configuration(id(version), true, ms(now));
                self.nodes[i] = RandomNode {
                    permission,
                    version,
                    suspended_until: 0,
                };
            }
            // The use comes first: a request may wait in the socket of a daemon that continues.
            self.check_use(now, i);
            let is_due = |(at, to, _): &(u64, usize, Sent)| *at <= now && *to == i;
            let due: Vec<_> = self.in_transit.extract_if(.., |m| is_due(m)).collect();
            for (_, _, sent) in due {
                self.receive(now, i, sent);
            }
            if i == 0 && store_is_up && self.rng.random_bool(0.2) {
                let latest = self.replaced_at.len() as u64 - 1;
                self.install(now, 0, latest);
                self.nodes[0].permission.record(proof(latest, ms(now)));
            }
            if i > 0
                && let Some(query) = self.nodes[i].permission.next_query(Role::Other, ms(now))
            {
                let sequence = query.sequence;
                self.send(now, i - 1, Sent::Query { from: i, sequence });
            }
            self.check_use(now, i);
        }
    }

    fn check_use(&mut self, now: u64, i: usize) {
        let node = &self.nodes[i];
        if !permits(&node.permission, node.version, ms(now)) {
            return;
        }
        self.uses += 1;
        if let Some(replaced_at) = self.replaced_at[node.version as usize] {
            let late_by = now.saturating_sub(replaced_at + REVOCATION.as_millis() as u64);
            assert_eq!(late_by, 0, "node {i} at {now} ms");
        }
    }
}

/// Each version has a key of its own, which the next version withdraws.
#[test]
fn no_withdrawn_key_is_used_whatever_is_delayed_lost_suspended_or_restarted() {
    for seed in 0..200 {
        let mut model = Random::new(seed);
        let mut store_is_up = true;
        for now in (10_000..130_000).step_by(100) {
            if model.rng.random_bool(0.01) {
                store_is_up = !store_is_up;
            }
            model.step(now, store_is_up);
        }
        // Otherwise the model would show nothing.
        assert!(model.uses > 300, "seed {seed}: {} uses", model.uses);
    }
}
