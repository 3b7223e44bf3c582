//! State that the parts of an edge daemon share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use corianderworks_decision::clock::Clock;
use corianderworks_decision::edge::budget::RetryBudget;
use corianderworks_decision::edge::fleet::{Fleet, Member};
use corianderworks_decision::edge::load_balancer::{
    Candidates, Choice, Evidence, LoadBalancer, Query,
};
use corianderworks_decision::edge::peer_load::{PeerLoad, ServerTag, StoreView};
use corianderworks_decision::edge::routes::{Configuration, Idempotency, Route, replace_if_newer};
use corianderworks_decision::edge::servers::{Change, ServerEntry, ServerKey, Servers};
use corianderworks_decision::edge::shutdown::Phase;
use corianderworks_platform::settings::Settings;
use parking_lot::{Mutex, MutexGuard};
use rand::Rng;
use tokio::sync::{Notify, watch};

use crate::logs::LineRateLimiter;
use crate::metrics::Metrics;
use crate::upstream::{ConnectionPool, Target};

/// Part of a VM's memory that request bodies may take.
const BODY_MEMORY_PART: usize = 4;
/// Memory of a small entry VM, in bytes.
const VM_MEMORY_BYTES: usize = 256 * 1024 * 1024;

/// What a daemon believes; changed under one lock.
#[derive(Debug)]
pub struct Beliefs {
    /// Configuration in force.
    pub configuration: Option<Arc<Configuration>>,
    /// Backend servers.
    pub servers: Servers,
    /// Load and evidence.
    pub load_balancer: LoadBalancer,
    /// Budget of repeated attempts.
    pub budget: RetryBudget,
    /// The other daemons.
    pub fleet: Fleet,
    /// Load at the other daemons.
    pub peer_load: PeerLoad,
    /// What the next report tells the others.
    pub outbox: Outbox,
    /// Latest view of the store that another daemon reported, and when it arrived.
    pub heard_store_view: Option<(StoreView, Duration)>,
    /// Configuration in force as it stands in the store.
    pub configuration_bytes: Option<Bytes>,
    /// Daemons that count as removed, whose records may still stand in the store.
    pub removed: Vec<Member>,
}

impl Beliefs {
    /// Returns what this daemon believes to be in the store.
    pub fn store_view(&self) -> StoreView {
        StoreView {
            servers_digest: self.servers.digest(),
            configuration: self.configuration.as_ref().map_or(0, |c| c.version.0),
        }
    }

    /// Notes for the next report that the load at a server changed.
    fn load_changed(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get(key) {
            let tag = server.entry.tag();
            if !self.outbox.changed.contains(&tag) {
                self.outbox.changed.push(tag);
            }
        }
    }
}

/// What the next report tells the others.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Evidence.
    pub evidence: Vec<(ServerTag, Evidence)>,
    /// Servers whose load changed.
    pub changed: Vec<ServerTag>,
    /// View of the store.
    pub store: Option<StoreView>,
}

impl Outbox {
    /// Whether the evidence tells of a failure.
    pub fn tells_of_failures(&self) -> bool {
        self.evidence
            .iter()
            .any(|(_, evidence)| evidence.is_negative())
    }
}

/// Life of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// Serves.
    Serving,
    /// Stops gracefully.
    Stopping(Phase),
}

/// An edge daemon.
pub struct Edge {
    /// Settings at the start.
    pub settings: Settings,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Kept connections to backend servers.
    pub pool: Arc<ConnectionPool>,
    /// Metrics.
    pub metrics: Metrics,
    /// Bound on the log lines of served requests.
    pub served_lines: LineRateLimiter,
    /// Bound on the log lines of other requests.
    pub failed_lines: LineRateLimiter,
    /// Wakes the sender of reports.
    pub news: Notify,
    life: watch::Sender<Life>,
    beliefs: Mutex<Beliefs>,
    in_flight: AtomicUsize,
    body_bytes: AtomicUsize,
}

impl Edge {
    /// Creates the state of a daemon.
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        let budget = RetryBudget::new(settings.budget, clock.now());
        let beliefs = Beliefs {
            configuration: None,
            servers: Servers::new(),
            load_balancer: LoadBalancer::new(),
            budget,
            fleet: Fleet::new(own_member(&settings, clock.wall())),
            peer_load: PeerLoad::default(),
            outbox: Outbox::default(),
            heard_store_view: None,
            configuration_bytes: None,
            removed: Vec::new(),
        };
        Self {
            settings,
            clock,
            pool: Arc::new(ConnectionPool::new()),
            metrics,
            served_lines: LineRateLimiter::default(),
            failed_lines: LineRateLimiter::default(),
            news: Notify::new(),
            life: watch::Sender::new(Life::Serving),
            beliefs: Mutex::new(beliefs),
            in_flight: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
        }
    }

    /// Locks what the daemon believes.
    pub fn beliefs(&self) -> MutexGuard<'_, Beliefs> {
        self.beliefs.lock()
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.beliefs().configuration.clone()
    }

    /// Returns the phase of the daemon's life.
    pub fn life(&self) -> Life {
        *self.life.borrow()
    }

    /// Returns a receiver of changes of the daemon's life.
    pub fn life_changes(&self) -> watch::Receiver<Life> {
        self.life.subscribe()
    }

    /// Sets the phase of the daemon's life.
    pub fn set_life(&self, life: Life) {
        self.life
            .send_if_modified(|current| std::mem::replace(current, life) != life);
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let beliefs = self.beliefs();
        self.life() == Life::Serving
            && beliefs.configuration.is_some()
            && !beliefs.servers.is_empty()
    }

    /// Puts a configuration in force if it is newer.
    pub fn offer_configuration(
        &self,
        configuration: Arc<Configuration>,
        bytes: Option<Bytes>,
        source: &'static str,
    ) {
        let mut beliefs = self.beliefs();
        let before = beliefs.configuration.as_ref().map(|c| c.version.0);
        let (version, routes) = (configuration.version.0, configuration.route_count());
        if replace_if_newer(&mut beliefs.configuration, configuration) {
            beliefs.configuration_bytes = bytes;
            let Beliefs {
                configuration,
                load_balancer,
                ..
            } = &mut *beliefs;
            if let Some(configuration) = configuration {
                load_balancer.retain_routes(|name| configuration.has_route(name));
            }
            tracing::info!(version, before, routes, source, "configuration: in force");
        }
    }

    /// Applies a change of one backend server.
    pub fn apply_entry(&self, entry: ServerEntry, source: &'static str) {
        let now = self.clock.now();
        let mut beliefs = self.beliefs();
        let change = beliefs.servers.upsert(entry, now);
        log_change(&mut beliefs, &change, source);
    }

    /// Applies that the entry of a backend server is gone.
    pub fn apply_vanished(&self, id: &str, grace: Duration, source: &'static str) {
        let now = self.clock.now();
        let mut beliefs = self.beliefs();
        let change = beliefs.servers.remove_entry(id, grace, now);
        if change != Change::Unchanged {
            tracing::info!(server = id, ?change, source, "servers: entry vanished");
        }
        log_change(&mut beliefs, &change, source);
    }

    /// Replaces all backend servers.
    pub fn apply_servers(&self, entries: Vec<ServerEntry>, source: &'static str) {
        let now = self.clock.now();
        let mut beliefs = self.beliefs();
        let changes = beliefs.servers.replace_all(entries, now);
        for change in &changes {
            log_change(&mut beliefs, change, source);
        }
    }

    /// Does what is due with time: drops lapsed servers and idle connections.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut beliefs = self.beliefs();
        for key in beliefs.servers.remove_expired(now) {
            tracing::info!(server = ?key, "servers: lapsed entry did not come back");
            beliefs.load_balancer.remove_server(key);
        }
        drop(beliefs);
        self.pool.close_idle();
    }

    /// Chooses a backend server.
    pub fn choose(
        &self,
        route: &Route,
        service: &str,
        repeatability: Idempotency,
        among: Candidates<'_>,
    ) -> Option<(Choice, Target)> {
        let now = self.clock.now();
        let mut beliefs = self.beliefs();
        let may_retry =
            repeatability == Idempotency::Idempotent && beliefs.budget.allows(service, now);
        let query = Query {
            service,
            typical_latency: beliefs.load_balancer.typical_route_latency(route),
            domain: &self.settings.domain,
            may_retry,
            candidates: among,
        };
        let jitter = || rand::rng().random::<f64>();
        let choice = beliefs
            .load_balancer
            .choose(&beliefs.servers, query, now, jitter)?;
        let entry = &beliefs.servers.get(choice.key)?.entry;
        let target = Target {
            id: entry.id.clone(),
            address: entry.address,
        };
        Some((choice, target))
    }

    /// Takes evidence about a backend server.
    pub fn observe(&self, key: ServerKey, evidence: Evidence) {
        let now = self.clock.now();
        let mut beliefs = self.beliefs();
        let Beliefs {
            servers,
            load_balancer,
            ..
        } = &mut *beliefs;
        if let Some(server) = servers.get(key) {
            load_balancer.observe((key, server), evidence, now);
            let tag = server.entry.tag();
            beliefs.outbox.evidence.push((tag, evidence));
        }
        drop(beliefs);
        self.news.notify_one();
    }

    /// Returns the usual time of a response of a route.
    pub fn usual_time(&self, route: &Route) -> Duration {
        self.beliefs().load_balancer.typical_route_latency(route)
    }

    /// Learns how long a response of a route took.
    pub fn learn_time(&self, route: &Route, took: Duration) -> Evidence {
        Evidence::Success(self.beliefs().load_balancer.record_latency(route, took))
    }

    /// Returns the addresses of daemons for a caller in `domain`.
    pub fn addresses_for(&self, domain: &str) -> Vec<std::net::SocketAddr> {
        let (ready, now) = (self.is_ready(), self.clock.now());
        self.beliefs().fleet.addresses_for(domain, ready, now)
    }

    /// Returns the peer addresses of the daemons of the own domain that are up.
    pub fn neighbour_addresses(&self) -> Vec<std::net::SocketAddr> {
        let now = self.clock.now();
        let beliefs = self.beliefs();
        beliefs.fleet.domain_peers(now).map(|m| m.peer).collect()
    }

    /// Counts an attempt at a backend server until the guard is dropped.
    pub fn start_attempt(self: &Arc<Self>, key: ServerKey) -> AttemptGuard {
        let mut beliefs = self.beliefs();
        beliefs.load_balancer.attempt_started(key, self.clock.now());
        beliefs.load_changed(key);
        drop(beliefs);
        self.news.notify_one();
        AttemptGuard {
            edge: self.clone(),
            key,
        }
    }

    /// Counts a request until the guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard { edge: self.clone() }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Reserves memory for a body; nothing if too much is reserved.
    pub fn reserve_body(self: &Arc<Self>, bytes: usize) -> Option<BodyGuard> {
        let reserved = self.body_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let guard = BodyGuard {
            edge: self.clone(),
            bytes,
        };
        (reserved <= VM_MEMORY_BYTES / BODY_MEMORY_PART).then_some(guard)
    }
}

fn log_change(beliefs: &mut Beliefs, change: &Change, source: &'static str) {
    let (what, key) = match change {
        Change::Unchanged => return,
        Change::Added(key) => ("added", *key),
        Change::Updated(key) => ("updated", *key),
        Change::Draining(key) => ("draining", *key),
        Change::Lapsed(key) => ("lapsed", *key),
        Change::Removed(key) => {
            tracing::info!(server = ?key, source, "servers: removed");
            beliefs.load_balancer.remove_server(*key);
            return;
        }
    };
    if let Some(server) = beliefs.servers.get(key) {
        let entry = &server.entry;
        tracing::info!(
            what, source, server = &*entry.id, service = &*entry.service, address = %entry.address,
            domain = &*entry.domain, slots = entry.slots, "servers: changed"
        );
    }
}

/// An attempt in flight.
pub struct AttemptGuard {
    edge: Arc<Edge>,
    key: ServerKey,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let mut beliefs = self.edge.beliefs();
        beliefs.load_balancer.attempt_ended(self.key);
        beliefs.load_changed(self.key);
        drop(beliefs);
        self.edge.news.notify_one();
    }
}

/// A request in flight.
pub struct RequestGuard {
    edge: Arc<Edge>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.edge.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory reserved for a body.
pub struct BodyGuard {
    edge: Arc<Edge>,
    bytes: usize,
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        self.edge
            .body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

fn own_member(settings: &Settings, wall: SystemTime) -> Member {
    let since_epoch = wall
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Member {
        vm: settings.vm.as_str().into(),
        started_unix_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        domain: settings.domain.as_str().into(),
        peer: std::net::SocketAddr::new(settings.address, settings.peer_port),
        callers: settings.callers,
    }
}
