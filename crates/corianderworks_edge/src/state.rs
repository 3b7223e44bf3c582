//! State shared by the tasks of an edge daemon.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use corianderworks_decision::clock::Clock;
use corianderworks_decision::edge::acceptance::Acceptance;
use corianderworks_decision::edge::budget::RetryBudget;
use corianderworks_decision::edge::domains::{Destination, Domains, RequestNeeds, ServiceView};
use corianderworks_decision::edge::fleet::{DaemonStatus, Fleet, Member};
use corianderworks_decision::edge::key_permission::{ConfigurationId, KeyPermission};
use corianderworks_decision::edge::load_balancer::{
    Candidates, Choice, Evidence, LoadBalancer, Query,
};
use corianderworks_decision::edge::organisations::Organisation;
use corianderworks_decision::edge::peer_load::{PeerLoad, ServerTag, StoreView};
use corianderworks_decision::edge::progress::VmLimits;
use corianderworks_decision::edge::quota::{self, QuotaDecision, QuotaToken, Quotas};
use corianderworks_decision::edge::routes::{
    CallerLimits, ConfigVersion, Configuration, Idempotency, Route, replace_if_newer,
};
use corianderworks_decision::edge::servers::{
    Announcement, Change, ServerEntry, ServerKey, Servers,
};
use corianderworks_decision::edge::shutdown::{Phase, admits};
use corianderworks_decision::edge::suspicions::{Cause, Observer};
use corianderworks_platform::settings::Settings;
use parking_lot::{Mutex, MutexGuard};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use crate::account::{Account, MemoryGuard, MemoryKind};
use crate::belief_log::BeliefLog;
use crate::logs::{DroppedLines, LineRateLimiter};
use crate::metrics::Metrics;
use crate::upstream::{ConnectionPool, Target};
use crate::waiting::WaitingRequests;

/// Number of heartbeats that an outage of the store has to suppress before entries can lapse. The
/// platform removes an entry after three heartbeat intervals of silence, of which up to one may
/// have passed when the outage begins.
const LAPSE_HEARTBEATS_MISSED: u32 = 2;

/// Time after which the daemons that introduced themselves count as the whole fleet if the store
/// can't be read. Longer than a weak VM takes to connect to the relays of its domain.
const REGISTERED_MEMBERS_TIMEOUT: Duration = Duration::from_secs(5);

/// Mutable state of a daemon, protected by one lock.
#[derive(Debug)]
pub struct EdgeState {
    /// Current configuration; `None` until the first one arrives.
    pub configuration: Option<Arc<Configuration>>,
    /// Backend servers listed in the store.
    pub servers: Servers,
    /// Load of the backend servers and evidence about their health.
    pub load_balancer: LoadBalancer,
    /// Share of their attempts that the services accept.
    pub acceptance: Acceptance,
    /// Record of suspected servers, which logs its changes.
    pub belief_log: BeliefLog,
    /// Requests that wait at this daemon.
    pub waiting: WaitingRequests,
    /// Shares of the requests that leave this daemon's domain.
    pub domains: Domains,
    /// Budget for retries, shared by all daemons.
    pub budget: RetryBudget,
    /// Quotas of the organisations, shared by all daemons.
    pub quotas: Quotas,
    /// This daemon and the other daemons that it knows of.
    pub fleet: Fleet,
    /// Requests that the other daemons have in flight.
    pub peer_load: PeerLoad,
    /// Changes to send in the next report.
    pub pending_report: PendingReport,
    /// Latest store view that other daemons reported.
    pub reported_store_view: ReportedStoreView,
    /// When this daemon or another one last read each kind of object from the store.
    pub store_reads: StoreReads,
    /// Time since which the current configuration is in force.
    pub configuration_since: Duration,
    /// Current configuration, encoded as in the store.
    pub configuration_bytes: Option<Bytes>,
    /// Permission to use the keys of the configuration.
    pub key_permission: KeyPermission,
    /// Start of the daemon.
    pub started_at: Duration,
    /// Whether the registered daemons were read from the store.
    pub knows_registered_members: bool,
    /// Daemons that count as removed but may still have a record in the store.
    pub removed_members: Vec<Member>,
}

impl EdgeState {
    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |c| c.version.0)
    }

    /// Tells the quotas from how many daemons reports arrive.
    pub(crate) fn update_quota_coverage(&mut self, now: Duration) {
        if !self.quotas.is_in_use() {
            return;
        }
        let reporting = self.fleet.reporting_count(quota::SILENT_AFTER, now);
        let knows_fleet = self.knows_registered_members
            || now.saturating_sub(self.started_at) >= REGISTERED_MEMBERS_TIMEOUT;
        let known = knows_fleet.then(|| self.fleet.others().count() + 1);
        self.quotas.set_reporting_daemons(reporting, known, now);
    }

    /// Records and logs that a server said that it is shutting down. Returns whether it is new.
    pub(crate) fn record_leaving(&mut self, key: ServerKey, source: &'static str) -> bool {
        let is_new = self.servers.announce(key, Announcement::Leaving);
        if let Some(run) = self.servers.run(key).filter(|_| is_new) {
            let service = self.servers.get(key).map(|s| &*s.entry.service);
            tracing::info!(server = &*run.id, service, source, "servers: leaving");
        }
        is_new
    }

    /// Counts an observation that the load balancer has just applied for the service of its server,
    /// and logs whether the daemon believes otherwise of the server now.
    pub(crate) fn count_evidence(
        &mut self,
        key: ServerKey,
        evidence: Evidence,
        observer: Observer,
        now: Duration,
    ) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let cause = Cause { evidence, observer };
        self.belief_log
            .record(&self.load_balancer, (key, server), cause, now);
        let service = &server.entry.service;
        self.acceptance.observe(service, key, evidence, now);
        if !evidence.is_negative() {
            self.waiting.record_completion(service, now);
        }
    }

    /// Discards what was observed at a server that left the list.
    fn forget_server(&mut self, key: ServerKey) {
        self.load_balancer.remove_server(key);
        self.acceptance.remove_server(key);
        self.belief_log.remove_server(key);
    }

    fn clear_aged_suspicions(&mut self, now: Duration) {
        self.belief_log
            .clear_aged(&self.load_balancer, &self.servers, now);
    }

    /// Decides whether a request leaves this daemon's domain, and where it goes.
    fn destination(
        &mut self,
        service: &str,
        own_domain: &str,
        needs: RequestNeeds,
        now: Duration,
    ) -> Destination {
        if self.domains.is_update_due(service, now) {
            let loads = self.load_balancer.domain_loads(&self.servers, service, now);
            let view = ServiceView {
                own_domain,
                loads: &loads,
                has_reports: self.fleet.up_count(now) > 1,
            };
            self.domains.update(&service.into(), &view, now);
        }
        let jitter = || rand::rng().random::<f64>();
        self.domains.destination(service, needs, jitter)
    }

    /// Adds the load of a server to the next report.
    fn mark_load_changed(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get(key) {
            let tag = server.entry.tag();
            if !self.pending_report.changed.contains(&tag) {
                self.pending_report.changed.push(tag);
            }
        }
    }
}

/// When this daemon, or another one that told it, last read each kind of object from the store;
/// `None` if nobody did since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreReads {
    /// List of the backend servers.
    pub servers: Option<Duration>,
    /// Configuration.
    pub configuration: Option<Duration>,
}

/// Store view that other daemons reported. Each part has its own time of arrival, because a watcher
/// may be able to read only one kind of object.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedStoreView {
    /// Digest of the servers, and its time of arrival.
    pub servers_digest: Option<(u64, Duration)>,
    /// Version of the configuration, and its time of arrival.
    pub configuration: Option<(u64, Duration)>,
}

impl ReportedStoreView {
    /// Records the parts that a report contains.
    pub fn record(&mut self, view: StoreView, now: Duration) {
        let dated = |part: Option<u64>| part.map(|part| (part, now));
        self.servers_digest = dated(view.servers_digest).or(self.servers_digest);
        self.configuration = dated(view.configuration).or(self.configuration);
    }

    /// Returns the parts that arrived less than `max_age` ago, `None` if there are none.
    pub fn recent(&self, now: Duration, max_age: Duration) -> Option<StoreView> {
        let recent = |part: Option<(u64, Duration)>| {
            let (part, at) = part?;
            (now.saturating_sub(at) < max_age).then_some(part)
        };
        let view = StoreView {
            servers_digest: recent(self.servers_digest),
            configuration: recent(self.configuration),
        };
        (view != StoreView::default()).then_some(view)
    }
}

/// Changes since the last report, to be sent in the next one.
#[derive(Debug, Default)]
pub struct PendingReport {
    /// Evidence gathered by this daemon since the last report.
    pub evidence: Vec<(ServerTag, Evidence)>,
    /// Servers at which the number of requests in flight changed.
    pub changed: Vec<ServerTag>,
    /// Servers that have just said that they are shutting down.
    pub leaving: Vec<ServerTag>,
    /// What this daemon has just read from the store on behalf of others.
    pub store: Option<StoreView>,
}

impl PendingReport {
    /// Whether the changes include servers that other daemons should avoid at once.
    pub fn includes_failures(&self) -> bool {
        !self.leaving.is_empty() || self.evidence.iter().any(|(_, e)| e.is_negative())
    }
}

/// Whether a daemon serves or shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Serves callers, or waits for a configuration and servers to do so.
    Serving,
    /// Shuts down gracefully.
    Stopping(Phase),
}

/// State, settings and resources of an edge daemon, shared by its tasks.
pub struct Edge {
    /// Settings read at startup; a reload doesn't change them.
    pub settings: Settings,
    /// Monotonic and wall clock.
    pub clock: Arc<dyn Clock>,
    /// Idle connections to backend servers that are kept for reuse.
    pub pool: Arc<ConnectionPool>,
    /// Counters, histograms and gauges exported by the daemon.
    pub metrics: Metrics,
    /// Rate limit for the log lines of served requests.
    pub served_log_limit: LineRateLimiter,
    /// Rate limit for the log lines of all other requests.
    pub failed_log_limit: LineRateLimiter,
    /// Rate limit for the log lines of changed servers; a list of the store may change all.
    pub server_log_limit: LineRateLimiter,
    /// Notifies the task that sends reports of new changes.
    pub report_trigger: Notify,
    lifecycle: watch::Sender<Lifecycle>,
    /// Time of the stop signal.
    stop_requested_at: OnceLock<Duration>,
    state: Mutex<EdgeState>,
    in_flight: AtomicUsize,
    /// Memory and descriptors that connections hold.
    pub account: Arc<Account>,
    /// Counter of log lines that standard output didn't take; unset if the process logs elsewhere.
    pub dropped_lines: OnceLock<DroppedLines>,
}

impl Edge {
    /// Creates a daemon without a configuration, backend servers or peers.
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        let budget = RetryBudget::new(settings.budget, clock.now());
        let quotas = match settings.first_start {
            true => Quotas::at_first_start(settings.quota, clock.now()),
            false => Quotas::new(settings.quota, clock.now()),
        };
        let own = own_member(&settings, clock.wall());
        let fleet = match settings.first_start {
            true => Fleet::at_first_start(own),
            false => Fleet::new(own),
        };
        let state = EdgeState {
            configuration: None,
            servers: Servers::with_lapse_outage_min(lapse_outage_min(&settings)),
            load_balancer: LoadBalancer::new(),
            acceptance: Acceptance::default(),
            belief_log: BeliefLog::default(),
            waiting: WaitingRequests::new(settings.memory_bytes),
            domains: Domains::new(settings.crossing_cost_ns_per_byte),
            budget,
            quotas,
            fleet,
            peer_load: PeerLoad::default(),
            pending_report: PendingReport::default(),
            reported_store_view: ReportedStoreView::default(),
            store_reads: StoreReads::default(),
            configuration_since: Duration::ZERO,
            configuration_bytes: None,
            key_permission: KeyPermission::new(settings.key_revocation, rand::rng().random()),
            started_at: clock.now(),
            knows_registered_members: false,
            removed_members: Vec::new(),
        };
        let limits = VmLimits::new(settings.memory_bytes, settings.file_descriptors);
        let account = Account::new(limits, metrics.clone());
        Self {
            settings,
            clock,
            pool: Arc::new(ConnectionPool::new(account.clone())),
            metrics,
            served_log_limit: LineRateLimiter::default(),
            failed_log_limit: LineRateLimiter::default(),
            server_log_limit: LineRateLimiter::default(),
            report_trigger: Notify::new(),
            lifecycle: watch::Sender::new(Lifecycle::Serving),
            stop_requested_at: OnceLock::new(),
            state: Mutex::new(state),
            in_flight: AtomicUsize::new(0),
            account,
            dropped_lines: OnceLock::new(),
        }
    }

    /// Locks the mutable state of the daemon.
    pub fn lock_state(&self) -> MutexGuard<'_, EdgeState> {
        self.state.lock()
    }

    /// Returns the current configuration, or `None` before the first one.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.lock_state().configuration.clone()
    }

    /// Returns the limits on callers: those of the configuration, or the defaults before the first
    /// one.
    pub fn caller_limits(&self) -> CallerLimits {
        let configuration = self.configuration();
        configuration.map_or_else(CallerLimits::default, |c| c.limits)
    }

    /// Returns whether the daemon serves or stops, and the phase of the shutdown.
    pub fn lifecycle(&self) -> Lifecycle {
        *self.lifecycle.borrow()
    }

    /// Returns a receiver that is notified of each lifecycle change.
    pub fn subscribe_lifecycle(&self) -> watch::Receiver<Lifecycle> {
        self.lifecycle.subscribe()
    }

    /// Changes the lifecycle state. Receivers are notified only if the value differs. The first
    /// change to a phase of the stop counts as the time of the stop signal.
    pub fn set_lifecycle(&self, lifecycle: Lifecycle) {
        if lifecycle != Lifecycle::Serving {
            self.stop_requested_at.get_or_init(|| self.clock.now());
        }
        self.lifecycle
            .send_if_modified(|current| std::mem::replace(current, lifecycle) != lifecycle);
    }

    /// Returns the time since the stop signal, or `None` if the daemon isn't stopping.
    pub fn since_stop_signal(&self) -> Option<Duration> {
        let requested_at = self.stop_requested_at.get()?;
        Some(self.clock.now().saturating_sub(*requested_at))
    }

    /// Whether a request that has just been read is forwarded. `time_limit` is the time after which
    /// it ends at the latest.
    pub fn admits_request(&self, time_limit: Duration) -> bool {
        let Some(since_signal) = self.since_stop_signal() else {
            return true;
        };
        self.lifecycle() != Lifecycle::Stopping(Phase::Exit)
            && admits(since_signal, self.settings.grace_period, time_limit)
    }

    /// Returns the status that this daemon reports to the others, which decides whether callers are
    /// directed to it.
    pub fn status(&self) -> DaemonStatus {
        if self.lifecycle() != Lifecycle::Serving {
            return DaemonStatus::Leaving;
        }
        let state = self.lock_state();
        if state.configuration.is_none() || state.servers.is_empty() {
            return DaemonStatus::NotReady;
        }
        match state.key_permission.is_valid(self.clock.since_boot()) {
            true => DaemonStatus::Ready,
            false => DaemonStatus::WithoutKeyPermission,
        }
    }

    /// Whether this daemon serves callers: it isn't stopping and has a configuration and backend
    /// servers. Without permission to use keys it still serves public routes, and an outage of the
    /// store must not make all VMs unready at the platform.
    pub fn is_ready(&self) -> bool {
        matches!(
            self.status(),
            DaemonStatus::Ready | DaemonStatus::WithoutKeyPermission
        )
    }

    /// Replaces the current configuration if `configuration` is newer, and returns whether it is.
    /// `source` is logged.
    pub fn install_configuration(
        &self,
        configuration: Arc<Configuration>,
        bytes: Option<Bytes>,
        source: &'static str,
    ) -> bool {
        let mut state = self.lock_state();
        let previous = state.configuration.as_ref().map(|c| c.version.0);
        let (version, routes) = (configuration.version.0, configuration.route_count());
        if !replace_if_newer(&mut state.configuration, configuration) {
            return false;
        }
        let id = ConfigurationId::new(ConfigVersion(version), bytes.as_deref().unwrap_or_default());
        let uses_keys = state
            .configuration
            .as_ref()
            .is_some_and(|c| c.organisations.is_some());
        state
            .key_permission
            .set_configuration(id, uses_keys, self.clock.since_boot());
        state.configuration_bytes = bytes;
        state.configuration_since = self.clock.now();
        let EdgeState {
            configuration,
            load_balancer,
            quotas,
            domains,
            ..
        } = &mut *state;
        if let Some(configuration) = configuration {
            quotas.set_limits(configuration.quota_limits(), self.clock.now());
            load_balancer.retain_routes(|name| configuration.has_route(name));
            domains.retain_services(|name| configuration.services.contains_key(name));
        }
        tracing::info!(
            version,
            before = previous,
            routes,
            source,
            "configuration: in force"
        );
        true
    }

    /// Adds or updates the backend server of a store entry, and returns whether that changed
    /// anything.
    pub fn apply_entry(&self, entry: ServerEntry, source: &'static str) -> bool {
        let now = self.clock.now();
        let mut state = self.lock_state();
        let change = state.servers.upsert(entry, now);
        self.handle_change(&mut state, &change, source, now);
        change != Change::Unchanged
    }

    /// Handles the removal of a backend server's entry from the store, and returns whether that
    /// changed anything.
    pub fn remove_entry(&self, removal: &EntryRemoval, source: &'static str) -> bool {
        let EntryRemoval {
            id,
            revision,
            may_have_lapsed,
        } = removal;
        let now = self.clock.now();
        let mut state = self.lock_state();
        let grace = match may_have_lapsed {
            true => state.servers.lapse_grace(now),
            false => Duration::ZERO,
        };
        let change = state.servers.remove_entry(id, *revision, grace, now);
        if change != Change::Unchanged
            && let Some(omitted) = self.server_log_limit.try_acquire(now)
        {
            let change = match change {
                Change::Lapsed(_) => "lapsed",
                _ => "removed",
            };
            tracing::info!(
                server = id,
                change,
                source,
                omitted,
                "servers: entry removed from the store"
            );
        }
        self.handle_change(&mut state, &change, source, now);
        change != Change::Unchanged
    }

    /// Replaces all backend servers by those of a complete listing of the store as of `revision`.
    pub fn replace_servers(&self, entries: Vec<ServerEntry>, revision: u64, source: &'static str) {
        let now = self.clock.now();
        let mut state = self.lock_state();
        let changes = state.servers.replace_all(entries, revision, now);
        for change in &changes {
            self.handle_change(&mut state, change, source, now);
        }
    }

    /// Logs a change of a backend server, and tells the load balancer of an added or removed one.
    fn handle_change(
        &self,
        state: &mut EdgeState,
        change: &Change,
        source: &'static str,
        now: Duration,
    ) {
        let (what, key) = match change {
            Change::Unchanged => return,
            Change::Added(key) => {
                state.load_balancer.add_server(*key, now);
                ("added", *key)
            }
            Change::Updated(key) => ("updated", *key),
            Change::Draining(key) => ("draining", *key),
            Change::Lapsed(key) => ("lapsed", *key),
            Change::Removed(removed) => {
                state.forget_server(removed.key);
                if let Some(omitted) = self.server_log_limit.try_acquire(now) {
                    let (server, service) = (&*removed.id, &*removed.service);
                    tracing::info!(server, service, source, omitted, "servers: removed");
                }
                return;
            }
        };
        let Some(omitted) = self.server_log_limit.try_acquire(now) else {
            return;
        };
        if let Some(server) = state.servers.get(key) {
            let entry = &server.entry;
            tracing::info!(
                what, source, server = &*entry.id, service = &*entry.service, address = %entry.address,
                domain = &*entry.domain, slots = entry.slots, omitted, "servers: changed"
            );
        }
    }

    /// Removes servers whose grace period is over and closes connections that were idle for too
    /// long, or that make no progress while memory or descriptors are scarce. Called periodically.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut state = self.lock_state();
        for removed in state.servers.remove_expired(now) {
            state.forget_server(removed.key);
            if let Some(omitted) = self.server_log_limit.try_acquire(now) {
                let (server, service) = (&*removed.id, &*removed.service);
                tracing::info!(
                    server,
                    service,
                    omitted,
                    "servers: removed, lapsed entry was not renewed"
                );
            }
        }
        state.clear_aged_suspicions(now);
        drop(state);
        self.pool.close_idle();
        self.account.relieve(now);
    }

    /// Chooses a backend server for an attempt of a request whose caller waits for `time_left`, or
    /// returns `None` if there is none for the service among the candidates.
    pub fn choose_server(
        &self,
        route: &Route,
        service: &str,
        idempotency: Idempotency,
        candidates: Candidates<'_>,
        time_left: Duration,
    ) -> Option<(Choice, Target)> {
        let now = self.clock.now();
        let mut state = self.lock_state();
        let may_retry = idempotency == Idempotency::Idempotent && state.budget.allows(service, now);
        let typical_latency = state.load_balancer.typical_route_latency(route);
        let needs = RequestNeeds {
            bytes: state.load_balancer.typical_response_bytes(route),
            time_left,
            service_time: typical_latency,
        };
        let destination = state.destination(service, &self.settings.domain, needs, now);
        let query = Query {
            service,
            typical_latency,
            domain: &self.settings.domain,
            may_retry,
            candidates,
        };
        let jitter = || rand::rng().random::<f64>();
        let choice =
            state
                .load_balancer
                .choose_in(&state.servers, query, &destination, now, jitter)?;
        let entry = &state.servers.get(choice.key)?.entry;
        let target = Target {
            id: entry.id.clone(),
            address: entry.address,
        };
        Some((choice, target))
    }

    /// Records evidence about a backend server and adds it to the next report.
    pub fn observe(&self, key: ServerKey, evidence: Evidence) {
        let now = self.clock.now();
        let mut state = self.lock_state();
        let EdgeState {
            servers,
            load_balancer,
            ..
        } = &mut *state;
        if let Some(server) = servers.get(key) {
            load_balancer.observe((key, server), evidence, now);
            let tag = server.entry.tag();
            state.pending_report.evidence.push((tag, evidence));
            state.count_evidence(key, evidence, Observer::Own, now);
        }
        drop(state);
        self.report_trigger.notify_one();
    }

    /// Records that a backend server said in a response to this daemon that it is shutting down, and
    /// tells the other daemons.
    pub fn record_leaving(&self, key: ServerKey) {
        let mut state = self.lock_state();
        if !state.record_leaving(key, "response") {
            return;
        }
        if let Some(tag) = state.servers.run(key).map(|run| run.tag) {
            state.pending_report.leaving.push(tag);
        }
        drop(state);
        self.report_trigger.notify_one();
    }

    /// Records that a backend server wants no requests from this daemon for some time.
    pub fn record_pause(&self, key: ServerKey, pause: Duration) {
        let until = self.clock.now() + pause;
        let mut state = self.lock_state();
        let is_new = state
            .servers
            .announce(key, Announcement::PausedUntil(until));
        if let Some(server) = state.servers.get(key).filter(|_| is_new) {
            let (server, service) = (&*server.entry.id, &*server.entry.service);
            let pause_ms = pause.as_millis() as u64;
            tracing::info!(server, service, pause_ms, "servers: paused");
        }
    }

    /// Returns the time until the first paused backend server of a service takes requests again, or
    /// `None` if none is paused.
    pub fn time_to_next_opening(&self, service: &str) -> Option<Duration> {
        let now = self.clock.now();
        let opening = self.lock_state().servers.next_opening(service, now);
        opening.map(|at| at.saturating_sub(now))
    }

    /// Returns the typical response time of a route.
    pub fn typical_latency(&self, route: &Route) -> Duration {
        self.lock_state().load_balancer.typical_route_latency(route)
    }

    /// Records the size of a response whose body was received completely.
    pub fn record_response_bytes(&self, route: &Route, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.lock_state()
            .load_balancer
            .record_response_bytes(route, bytes);
    }

    /// Records the response time of a served request and returns the evidence for its server.
    pub fn record_latency(&self, route: &Route, latency: Duration) -> Evidence {
        Evidence::Success(
            self.lock_state()
                .load_balancer
                .record_latency(route, latency),
        )
    }

    /// Returns the addresses of ready daemons for a caller in `domain`.
    pub fn addresses_for(&self, domain: &str) -> Vec<std::net::SocketAddr> {
        let (status, now) = (self.status(), self.clock.now());
        self.lock_state().fleet.addresses_for(domain, status, now)
    }

    /// Returns the peer addresses of the daemons to which a daemon that watches the store sends
    /// changes: its domain and the relays of the others.
    pub fn store_update_recipients(&self) -> Vec<std::net::SocketAddr> {
        let now = self.clock.now();
        let state = self.lock_state();
        let domain_peers = state.fleet.domain_peers(now).map(|m| m.peer);
        let relays = state.fleet.relay_targets(now);
        domain_peers.chain(relays.iter().map(|m| m.peer)).collect()
    }

    /// Decides whether a request of an organisation is within its quota.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry if the quota is used up.
    pub fn admit_to_quota(
        self: &Arc<Self>,
        organisation: &Organisation,
    ) -> Result<Option<QuotaGuard>, Duration> {
        if organisation.limit.is_none() {
            return Ok(None);
        }
        let random = rand::rng().random();
        let now = self.clock.now();
        let decision = self
            .lock_state()
            .quotas
            .admit(&organisation.name, random, now);
        match decision {
            QuotaDecision::Unlimited => Ok(None),
            QuotaDecision::Admit(token) => Ok(Some(QuotaGuard {
                edge: self.clone(),
                token,
                is_used: false,
            })),
            QuotaDecision::Refuse { retry_after } => Err(retry_after),
        }
    }

    /// Counts an attempt as in flight at a backend server until the guard is dropped.
    pub fn start_attempt(self: &Arc<Self>, key: ServerKey) -> AttemptGuard {
        let mut state = self.lock_state();
        state.load_balancer.attempt_started(key, self.clock.now());
        state.mark_load_changed(key);
        if let Some(server) = state.servers.get(key) {
            let own_domain = &*self.settings.domain;
            let ServerEntry {
                service, domain, ..
            } = &server.entry;
            if **domain != *own_domain {
                self.metrics.crossed(service, own_domain, domain);
            }
        }
        drop(state);
        self.report_trigger.notify_one();
        AttemptGuard {
            edge: self.clone(),
            key,
        }
    }

    /// Counts a request as in flight until the guard is dropped: from the moment at which its head
    /// was read until its response is written.
    pub fn start_request(self: &Arc<Self>) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard { edge: self.clone() }
    }

    /// Returns the number of requests of callers that are in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Reserves memory for a request body until the guard is dropped. Returns `None` if the
    /// bodies of all requests would exceed their share of the VM's memory.
    pub fn reserve_body_memory(&self, bytes: usize) -> Option<MemoryGuard> {
        self.account.reserve(MemoryKind::RequestBody, bytes)
    }
}

/// Removal of a backend server's entry from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRemoval {
    /// Id of the server.
    pub id: String,
    /// Store revision of the removal, or of the last change before it.
    pub revision: u64,
    /// Whether the entry may have lapsed although its server is running, if there was a store
    /// outage. Each daemon decides by its own contact with the store: the one that saw the removal
    /// may just have been cut off. An entry that can't be decoded any more has not lapsed.
    pub may_have_lapsed: bool,
}

/// Token of a request's quota, which is given back when the guard is dropped unless the request was
/// used.
pub struct QuotaGuard {
    edge: Arc<Edge>,
    token: QuotaToken,
    is_used: bool,
}

impl fmt::Debug for QuotaGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("QuotaGuard");
        debug.field("token", &self.token).finish_non_exhaustive()
    }
}

impl QuotaGuard {
    /// Sets whether the request has been sent to a server that may run it.
    pub fn set_used(&mut self, is_used: bool) {
        self.is_used = is_used;
    }
}

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        if !self.is_used {
            let now = self.edge.clock.now();
            self.edge.lock_state().quotas.give_back(self.token, now);
        }
    }
}

/// Counts an attempt as in flight at its server until it is dropped.
pub struct AttemptGuard {
    edge: Arc<Edge>,
    key: ServerKey,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let mut state = self.edge.lock_state();
        state.load_balancer.attempt_ended(self.key);
        state.mark_load_changed(self.key);
        drop(state);
        self.edge.report_trigger.notify_one();
    }
}

/// Counts a request as in flight until it is dropped.
pub struct RequestGuard {
    edge: Arc<Edge>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.edge.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the shortest time without contact with the store in which entries may lapse. A daemon
/// that watches nothing hears of the store after at most [`Settings::apply_timeout`], because it
/// calls it by then.
fn lapse_outage_min(settings: &Settings) -> Duration {
    let heartbeats = settings.server_heartbeat_interval * LAPSE_HEARTBEATS_MISSED;
    heartbeats.max(settings.apply_timeout)
}

fn own_member(settings: &Settings, wall_time: SystemTime) -> Member {
    let since_epoch = wall_time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Member {
        vm: settings.vm.as_str().into(),
        started_unix_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        domain: settings.domain.as_str().into(),
        peer: std::net::SocketAddr::new(settings.address, settings.peer_port),
        callers: settings.callers,
        capacity_millicores: settings.capacity_millicores,
    }
}
