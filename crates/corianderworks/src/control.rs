//! Control loop: membership, configuration, placement and the life cycle of the daemon.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use corianderworks_decision::alarm_conditions::{AlarmConditions, ObservedMember, VmDifference};
use corianderworks_decision::clock::Clock;
use corianderworks_decision::dispatcher::{
    Action as HomeAction, DispatchConfig, Dispatcher, Prefer as DispatchPrefer, Schedule,
    UpstreamState, UpstreamView,
};
use corianderworks_decision::drain::{Lifecycle, LifecycleAction, LifecycleInput, Phase};
use corianderworks_decision::ids::{DaemonKey, DaemonRun, ServiceKey, UpstreamKey};
use corianderworks_decision::membership::{
    Action as MemberAction, Event as MemberEvent, ListedVm, MemberRecord, MemberState, Membership,
};
use corianderworks_decision::versions::{
    Source, VersionAction, VersionEvent, VersionTracker, configuration_readers,
};
use corianderworks_lists::settings::{Balance, Prefer, Settings};
use corianderworks_wire::codec;
use corianderworks_wire::message::{Announce, AskEject, Datagram, Draining, Evidence};
use http::HeaderValue;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use tokio::sync::{mpsc, watch};

use crate::home::{Home, HomeEvent, Homes};
use crate::peer::Peers;
use crate::permits::PermitEvent;
use crate::platform::{PlatformClient, Vm, VmKind, VmState};
use crate::proxy::EntryProxy;
use crate::status_types::MemberStatus;
use crate::store::{self, FetchError, Origin, StoredConfiguration};
use crate::upstream::Upstreams;
use crate::view::{
    Backend, BackendState, ConfigurationTable, FleetView, MemberView, ServicePlacement,
};

/// Name under which the actor of the control loop is registered in the daemon.
pub const ACTOR_NAME: &str = "control";
/// Interval at which the control loop checks for evidence to send; the dispatcher decides when a
/// report is due. Without a report from the other owner, an ejection needs 1.5 times the evidence.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the conditions that operators are alerted to are checked.
const ALARM_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between requests to other daemons for the VM list while a starting daemon has none.
const VM_LIST_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// How long a backend server's drain signal stays valid after the last response that carried it;
/// each of its responses repeats it. The VM list shows the server as leaving within its lag.
const DRAIN_SIGNAL_TTL: Duration = Duration::from_secs(300);
/// How long a backend server that is no longer in the VM list still counts towards the size of
/// its service, from which the floor is computed.
const REMOVED_BACKEND_TTL: Duration = Duration::from_secs(60);

/// Message to the control loop.
pub enum ControlEvent {
    /// Periodic tick that drives all timers.
    Tick,
    /// A datagram arrived from another daemon.
    Datagram {
        /// Peer address of the sender.
        from: SocketAddr,
        /// Decoded content.
        datagram: Datagram,
    },
    /// The VM list was read, from the platform or from another daemon. An empty one is ignored.
    Vms(Vec<Vm>),
    /// The manifest in the platform has this configuration version.
    PlatformVersion(u64),
    /// A configuration fetch ended.
    Fetched {
        /// Daemon or platform that the version was fetched from.
        source: Source,
        /// Fetched version with its lists, or why the fetch failed.
        result: Result<StoredConfiguration, FetchError>,
    },
    /// A home requests an action or reports a draining backend server.
    Home(HomeEvent),
    /// The permits that this daemon may use for a service were updated.
    Permits(PermitEvent),
    /// Requests a graceful stop.
    Stop,
}

/// State that the control loop shares with the other parts of the daemon.
pub struct SharedState {
    /// Current configuration, members and placement.
    pub view: Arc<ArcSwap<FleetView>>,
    /// Configuration version in force with the bytes it was read from.
    pub configuration: ArcSwap<StoredConfiguration>,
    /// Last VM list that was read; empty until then.
    pub vms: ArcSwap<Vec<Vm>>,
    /// Whether this daemon reads the configuration from the platform for its domain.
    pub is_configuration_reader: AtomicBool,
    /// Object version of the manifest that was last read from the platform.
    pub manifest_object_version: AtomicU64,
    /// Current lifecycle phase; only the control loop changes it.
    pub phase: watch::Sender<Phase>,
    /// Daemon runs that have ended, so that permits they held may be claimed by others.
    pub ended_runs: ArcSwap<Vec<DaemonRun>>,
}

impl SharedState {
    /// Creates the state of a starting daemon: no configuration, no VM list, phase `Starting`.
    pub fn new(view: Arc<ArcSwap<FleetView>>) -> Arc<Self> {
        Arc::new(Self {
            view,
            configuration: ArcSwap::default(),
            vms: ArcSwap::default(),
            is_configuration_reader: AtomicBool::new(true),
            manifest_object_version: AtomicU64::new(0),
            phase: watch::Sender::new(Phase::Starting),
            ended_runs: ArcSwap::default(),
        })
    }

    /// Returns the current lifecycle phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }
}

/// Components of a daemon that the control loop uses.
pub struct Parts<C>
where
    C: Clock,
{
    /// Settings read at start; they do not change while the daemon runs.
    pub settings: Arc<Settings>,
    /// Clock for all timers of the control loop.
    pub clock: Arc<C>,
    /// Entry point of callers' requests.
    pub entry: Arc<EntryProxy<C>>,
    /// Homes of the services that this daemon dispatches for.
    pub homes: Arc<Homes<C>>,
    /// Connection pools to backend servers.
    pub upstreams: Arc<Upstreams<C>>,
    /// Connections to other daemons.
    pub peers: Arc<Peers>,
    /// Client for the platform's object API.
    pub platform: PlatformClient,
    /// State that the control loop publishes.
    pub shared: Arc<SharedState>,
    /// Value of the `via` header of forwarded requests.
    pub via: HeaderValue,
    /// Channel on which homes send events to the control loop.
    pub home_events: mpsc::UnboundedSender<HomeEvent>,
    /// Number of permits held over all services; they are returned before the daemon stops.
    pub permits_held: Arc<AtomicU64>,
    /// Tells the permit manager to return all permits.
    pub return_permits: Arc<tokio::sync::Notify>,
}

/// Control loop of a daemon: feeds events to the decision state machines and runs their actions.
pub struct Control<C>
where
    C: Clock,
{
    parts: Parts<C>,
    membership: Membership,
    versions: VersionTracker,
    lifecycle: Option<Lifecycle>,
    table: Arc<ConfigurationTable>,
    listed_backends: BTreeMap<Arc<str>, Vec<Backend>>,
    removed_backends: BTreeMap<Arc<str>, Vec<(Backend, Duration)>>,
    draining: HashMap<UpstreamKey, Duration>,
    generation: u64,
    alarm_conditions: AlarmConditions,
    next_alarm_check: Duration,
    next_evidence_check: Duration,
    stop_requested: bool,
    next_vm_list_request: Duration,
    vm_list_requests: usize,
    actor_ref: Option<ActorRef<Self>>,
}

impl<C> Actor for Control<C>
where
    C: Clock,
{
    type Args = Self;
    type Error = Infallible;

    async fn on_start(mut args: Self, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        args.actor_ref = Some(actor_ref);
        Ok(args)
    }
}

impl<C> Message<ControlEvent> for Control<C>
where
    C: Clock,
{
    type Reply = ();

    async fn handle(&mut self, event: ControlEvent, _ctx: &mut Context<Self, ()>) {
        self.handle_event(event);
    }
}

/// Requests the conditions that operators are alerted to.
pub struct ListAlarmConditions;

/// Conditions of the control loop that operators are alerted to.
#[derive(Debug, Clone, Default, PartialEq, Eq, kameo::Reply)]
pub struct LastingConditions {
    /// Members that have had an older configuration than this daemon for too long.
    pub lagging_members: Vec<Arc<str>>,
    /// Members that have differed from the VM list for too long.
    pub vm_differences: Vec<(VmDifference, Arc<str>)>,
    /// Length of the last pause of the process and the time since then, if it was lately.
    pub pause: Option<(Duration, Duration)>,
    /// Time for which the shutdown has waited for requests in flight, if that is too long.
    pub slow_drain: Option<Duration>,
}

impl<C> Message<ListAlarmConditions> for Control<C>
where
    C: Clock,
{
    type Reply = LastingConditions;

    async fn handle(
        &mut self,
        _: ListAlarmConditions,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.parts.clock.now();
        let pause = self.alarm_conditions.recent_pause(now);
        LastingConditions {
            lagging_members: self.alarm_conditions.lagging_members(now),
            vm_differences: self.alarm_conditions.vm_differences(now),
            pause: pause.map(|p| (p.length, now.saturating_sub(p.ended_at))),
            slow_drain: self.alarm_conditions.slow_drain(now),
        }
    }
}

/// Requests the status of all known members, the local daemon included.
pub struct ListMembers;

impl<C> Message<ListMembers> for Control<C>
where
    C: Clock,
{
    type Reply = Vec<MemberStatus>;

    async fn handle(
        &mut self,
        _: ListMembers,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let local = (
            self.membership.local_record(),
            self.membership.local_state(),
        );
        let others = self
            .membership
            .members()
            .map(|member| (&member.record, member.state));
        others
            .chain([local])
            .map(|(record, state)| member_status(record, state))
            .collect()
    }
}

impl<C> Control<C>
where
    C: Clock,
{
    /// Creates a control loop in the starting phase; `seed` determines the jitter of
    /// configuration fetches.
    pub fn new(parts: Parts<C>, membership: Membership, seed: u64) -> Self {
        let now = parts.clock.now();
        Self {
            parts,
            membership,
            versions: VersionTracker::new(seed),
            lifecycle: Some(Lifecycle::start(now)),
            table: Arc::default(),
            listed_backends: BTreeMap::new(),
            removed_backends: BTreeMap::new(),
            draining: HashMap::new(),
            generation: u64::MAX,
            alarm_conditions: AlarmConditions::default(),
            next_alarm_check: Duration::ZERO,
            next_evidence_check: Duration::ZERO,
            stop_requested: false,
            next_vm_list_request: Duration::ZERO,
            vm_list_requests: 0,
            actor_ref: None,
        }
    }

    fn handle_event(&mut self, event: ControlEvent) {
        let now = self.parts.clock.now();
        match event {
            ControlEvent::Tick => self.tick(now),
            ControlEvent::Datagram { from, datagram } => self.handle_datagram(now, from, datagram),
            ControlEvent::Vms(vms) => self.handle_vm_list(now, vms),
            ControlEvent::PlatformVersion(version) => {
                let reported = VersionEvent::Reported {
                    version,
                    source: Source::Platform,
                };
                self.handle_version_event(now, reported);
            }
            ControlEvent::Fetched { source, result } => self.handle_fetched(now, source, result),
            ControlEvent::Home(HomeEvent::Action { service, action }) => {
                self.handle_home_action(service, action);
            }
            ControlEvent::Home(HomeEvent::Draining { service, upstream }) => {
                if self.mark_draining(now, service, upstream) {
                    let message = Datagram::Draining(Draining { service, upstream });
                    self.send_to_homes(service, &message);
                }
            }
            ControlEvent::Permits(event) => {
                if let Some(home) = self.parts.homes.get(event.service) {
                    home.drive(|dispatcher, now| dispatcher.set_permits(now, &event.permits));
                }
            }
            ControlEvent::Stop => self.stop_requested = true,
        }
    }

    fn tick(&mut self, now: Duration) {
        self.alarm_conditions.tick(now);
        if now >= self.next_alarm_check {
            self.next_alarm_check = now + ALARM_CHECK_INTERVAL;
            self.check_alarm_conditions(now);
        }
        let actions = self.membership.tick(now);
        self.run_member_actions(now, actions);
        let actions = self.versions.tick(now);
        self.run_version_actions(now, actions);
        for home in self.parts.homes.all() {
            home.drive(|dispatcher, now| dispatcher.tick(now));
        }
        if now >= self.next_evidence_check {
            self.next_evidence_check = now + EVIDENCE_INTERVAL;
            self.send_evidence();
        }
        if self.membership.generation() != self.generation {
            self.update_view(now);
        }
        self.poll_lifecycle(now);
    }

    fn check_alarm_conditions(&mut self, now: Duration) {
        let members = self.membership.members().map(|member| ObservedMember {
            name: &member.record.name,
            version: member.record.config_version,
            is_alive: member.state == MemberState::Alive,
        });
        // A planned stop is no difference: the VM is listed until the daemon has stopped.
        let stopping: BTreeSet<&str> = self
            .membership
            .members()
            .filter(|m| matches!(m.state, MemberState::Leaving | MemberState::Left))
            .map(|m| &*m.record.name)
            .collect();
        let members = members.filter(|m| !stopping.contains(m.name));
        let vms = self.parts.shared.vms.load();
        let daemons = vms.iter().filter(|vm| vm.kind == VmKind::Daemon);
        let listed: BTreeSet<&str> = daemons.map(|vm| &*vm.name).collect();
        let own_version = self.membership.local_record().config_version;
        self.alarm_conditions
            .observe_members(members, own_version, &listed, now);
        let is_draining = self.parts.shared.phase() == Phase::Draining;
        self.alarm_conditions.observe_drain(is_draining, now);
    }

    fn handle_datagram(&mut self, now: Duration, from: SocketAddr, datagram: Datagram) {
        match datagram {
            Datagram::LoadReport(load_report) => {
                self.parts.entry.record_load(
                    load_report.from,
                    load_report.service,
                    load_report.free_slots,
                    load_report.queued,
                );
            }
            Datagram::Evidence(Evidence { service, report }) => {
                if let Some(home) = self.parts.homes.get(service) {
                    home.drive(|dispatcher, now| {
                        dispatcher.peer_evidence(now, report.from.daemon, report)
                    });
                }
            }
            Datagram::Announce(Announce {
                service,
                announcement,
            }) => {
                if let Some(home) = self.parts.homes.get(service) {
                    home.drive(|dispatcher, now| dispatcher.announcement(now, announcement));
                }
            }
            Datagram::AskEject(AskEject {
                from,
                service,
                upstream,
            }) => {
                if let Some(home) = self.parts.homes.get(service) {
                    home.drive(|dispatcher, now| dispatcher.eject_request(now, from, upstream));
                }
            }
            Datagram::Draining(Draining { service, upstream }) => {
                self.mark_draining(now, service, upstream);
            }
            member => {
                if let Some(message) = member.into_member() {
                    let event = MemberEvent::Message { from, message };
                    let actions = self.membership.handle(now, event);
                    self.run_member_actions(now, actions);
                }
            }
        }
    }

    fn run_member_actions(&mut self, now: Duration, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(to, &message.into()),
                MemberAction::Changed { run, from, to } => {
                    let name = self
                        .membership
                        .member(run.daemon)
                        .map(|member| member.record.name.clone());
                    let name = name.unwrap_or_default();
                    tracing::info!("member: {name} is {to:?}, was {from:?}");
                }
                MemberAction::RunEnded(run) => {
                    let mut ended_runs = Vec::clone(&self.parts.shared.ended_runs.load());
                    ended_runs.push(run);
                    self.parts.shared.ended_runs.store(Arc::new(ended_runs));
                }
                MemberAction::NewerVersion {
                    version,
                    holder,
                    address,
                } => {
                    let source = Source::Peer {
                        run: holder,
                        address,
                    };
                    self.handle_version_event(now, VersionEvent::Reported { version, source });
                }
                MemberAction::Superseded(run) => {
                    tracing::error!(
                        "member: another run {run} uses this daemon's name; this run stops"
                    );
                    self.stop_requested = true;
                }
                MemberAction::ListedLeaving => {
                    tracing::info!(
                        "control: the VM list shows this VM as leaving; the daemon stops"
                    );
                    self.stop_requested = true;
                }
                MemberAction::Resumed { gap } => {
                    tracing::warn!("member: this process was paused for {} ms", gap.as_millis());
                }
            }
        }
    }

    fn handle_version_event(&mut self, now: Duration, event: VersionEvent) {
        let actions = self.versions.handle(now, event);
        self.run_version_actions(now, actions);
    }

    fn run_version_actions(&mut self, _now: Duration, actions: Vec<VersionAction>) {
        for action in actions {
            if let VersionAction::Fetch { source, .. } = action {
                self.start_fetch(source);
            }
        }
    }

    fn start_fetch(&self, source: Source) {
        let Some(actor_ref) = self.actor_ref.clone() else {
            return;
        };
        let peers = self.parts.peers.clone();
        let platform = self.parts.platform.clone();
        let known = self.parts.shared.configuration.load_full();
        tokio::spawn(async move {
            let origin = match source {
                Source::Peer { address, .. } => Origin::Peer(&peers, address),
                Source::Platform => Origin::Platform(&platform),
            };
            let result = store::fetch(origin, known).await;
            let _ = actor_ref
                .tell(ControlEvent::Fetched { source, result })
                .await;
        });
    }

    fn handle_fetched(
        &mut self,
        now: Duration,
        source: Source,
        result: Result<StoredConfiguration, FetchError>,
    ) {
        let configuration = match result {
            Ok(configuration) => configuration,
            Err(error) => {
                tracing::warn!("config: fetch failed: {error}");
                return self.handle_version_event(now, VersionEvent::FetchFailed { source });
            }
        };
        let version = configuration.snapshot.version;
        let actions = self
            .versions
            .handle(now, VersionEvent::Fetched { version, source });
        if actions.contains(&VersionAction::PutInForce { version }) {
            self.put_in_force(now, configuration);
        }
        self.run_version_actions(now, actions);
    }

    fn put_in_force(&mut self, now: Duration, configuration: StoredConfiguration) {
        let snapshot = &configuration.snapshot;
        let version = snapshot.version;
        self.table = Arc::new(ConfigurationTable::new(
            version,
            &snapshot.customers,
            &snapshot.plans,
        ));
        self.parts
            .shared
            .configuration
            .store(Arc::new(configuration));
        tracing::info!("config: version {version} is in force");
        let actions = self
            .membership
            .handle(now, MemberEvent::ConfigVersion(version));
        self.run_member_actions(now, actions);
        self.update_view(now);
    }

    fn handle_vm_list(&mut self, now: Duration, vms: Vec<Vm>) {
        if vms.is_empty() {
            return;
        }
        let daemons: Vec<ListedVm> = vms
            .iter()
            .filter(|vm| vm.kind == VmKind::Daemon)
            .map(|vm| ListedVm {
                name: vm.name.clone(),
                peer_address: vm.address,
                leaving: vm.state == VmState::Leaving,
            })
            .collect();
        let actions = self.membership.update_vm_list(now, &daemons);
        self.run_member_actions(now, actions);
        let listed = store::backends_by_service(&vms);
        self.draining
            .retain(|_, since| now.saturating_sub(*since) < DRAIN_SIGNAL_TTL);
        self.track_removed_backends(now, &listed);
        let changed = listed != self.listed_backends;
        self.listed_backends = listed;
        self.parts.shared.vms.store(Arc::new(vms));
        if changed {
            self.update_view(now);
        }
    }

    fn track_removed_backends(&mut self, now: Duration, listed: &BTreeMap<Arc<str>, Vec<Backend>>) {
        for (service, previous) in &self.listed_backends {
            let current = listed.get(service);
            let is_listed = |backend: &Backend| {
                current
                    .is_some_and(|list| list.iter().any(|other| other.upstream == backend.upstream))
            };
            let removed = self.removed_backends.entry(service.clone()).or_default();
            removed.retain(|(backend, since)| {
                !is_listed(backend) && now.saturating_sub(*since) < REMOVED_BACKEND_TTL
            });
            removed.extend(
                previous
                    .iter()
                    .filter(|backend| !is_listed(backend))
                    .map(|backend| (backend.clone(), now)),
            );
        }
    }

    /// Recomputes the view and passes the upstreams and addresses to the homes.
    fn update_view(&mut self, now: Duration) {
        self.generation = self.membership.generation();
        let members = Arc::new(self.member_views());
        let mut listed = self.listed_backends.clone();
        for backend in listed.values_mut().flatten() {
            if self.draining.contains_key(&backend.upstream) {
                backend.state = BackendState::Leaving;
            }
        }
        let mut view = FleetView::new(self.table.clone(), members, &listed);
        view.leaving = Arc::new(self.leaving_member_views());
        let candidates = self.membership.candidates();
        let is_configuration_reader =
            configuration_readers(&candidates).contains(&self.local_run().daemon);
        self.parts
            .shared
            .is_configuration_reader
            .store(is_configuration_reader, Ordering::Relaxed);
        for (name, service) in &view.table.services {
            let key = ServiceKey::of(name);
            let Some(placement) = view.placements.get(&key) else {
                continue;
            };
            let home = self.home_for_placement(key, placement, service.floor_percent);
            let Some(home) = home else { continue };
            let removed = self
                .removed_backends
                .get(name)
                .map(Vec::as_slice)
                .unwrap_or_default();
            let views = self.upstream_views(placement, service.slots, removed, now);
            let addresses = placement
                .backends
                .iter()
                .map(|(backend, _)| (backend.upstream, backend.address))
                .collect();
            home.set_addresses(addresses);
            home.drive(|dispatcher, now| dispatcher.set_upstreams(now, &views));
        }
        self.parts.shared.view.store(Arc::new(view));
    }

    /// Returns the home of a service if this daemon is or was one, and creates it if necessary.
    fn home_for_placement(
        &self,
        key: ServiceKey,
        placement: &ServicePlacement,
        floor_percent: u8,
    ) -> Option<Arc<Home<C>>> {
        let is_alone = self.parts.settings.balance == Balance::Alone;
        if !is_alone && !placement.is_home(self.local_run().daemon) {
            return self.parts.homes.get(key);
        }
        let create = || {
            let config = DispatchConfig {
                floor_percent: u32::from(floor_percent),
                prefer: match self.parts.settings.prefer {
                    Prefer::Detection => DispatchPrefer::Detection,
                    Prefer::Stability => DispatchPrefer::Stability,
                },
                ..DispatchConfig::default()
            };
            let seed = self.local_run().incarnation.0 ^ key.0;
            let parts = &self.parts;
            Home::new(
                Dispatcher::new(key, self.local_run(), config, seed),
                parts.clock.clone(),
                parts.upstreams.clone(),
                parts.via.clone(),
                parts.home_events.clone(),
            )
        };
        Some(self.parts.homes.get_or_insert(key, create))
    }

    fn upstream_views(
        &self,
        placement: &ServicePlacement,
        slots: u32,
        removed: &[(Backend, Duration)],
        _now: Duration,
    ) -> Vec<UpstreamView> {
        let local_daemon = self.local_run().daemon;
        let is_alone = self.parts.settings.balance == Balance::Alone;
        let listed = placement.backends.iter().map(|(backend, owners)| {
            let share = owners.and_then(|owners| owners.share(local_daemon));
            let co_owner = owners.and_then(|owners| {
                [Some(owners.first), owners.second]
                    .into_iter()
                    .flatten()
                    .find(|owner| *owner != local_daemon)
            });
            let state = match backend.state {
                BackendState::Live => UpstreamState::Live,
                BackendState::Leaving => UpstreamState::Leaving,
            };
            UpstreamView {
                upstream: backend.upstream,
                slots_share: if is_alone { Some(slots) } else { share },
                total_slots: slots,
                domain: backend.domain.to_string(),
                state,
                co_owner: if is_alone { None } else { co_owner },
            }
        });
        let removed = removed.iter().map(|(backend, _)| UpstreamView {
            upstream: backend.upstream,
            slots_share: None,
            total_slots: slots,
            domain: backend.domain.to_string(),
            state: UpstreamState::Gone,
            co_owner: None,
        });
        listed.chain(removed).collect()
    }

    fn member_views(&self) -> Vec<MemberView> {
        let candidates = self.membership.candidates();
        let local = self.membership.local_record();
        candidates
            .iter()
            .filter_map(|candidate| {
                let (record, is_advertised) = if candidate.daemon == local.daemon() {
                    (local, self.parts.shared.phase().allowed_operations().listed)
                } else {
                    let member = self.membership.member(candidate.daemon)?;
                    (&member.record, member.state == MemberState::Alive)
                };
                Some(member_view(record, is_advertised))
            })
            .collect()
    }

    fn leaving_member_views(&self) -> Vec<MemberView> {
        let members = self.membership.members();
        members
            .filter(|member| member.state == MemberState::Leaving)
            .map(|member| member_view(&member.record, false))
            .collect()
    }

    /// Marks an upstream as draining before the VM list shows it as leaving, so that it gets no new
    /// requests. Returns whether it was not marked yet.
    fn mark_draining(&mut self, now: Duration, service: ServiceKey, upstream: UpstreamKey) -> bool {
        let is_new = self.draining.insert(upstream, now).is_none();
        if is_new {
            let name = self.upstream_name(service, upstream);
            tracing::info!("health: {name} is draining");
            self.update_view(now);
        }
        is_new
    }

    fn handle_home_action(&self, service: ServiceKey, action: HomeAction) {
        match action {
            HomeAction::Announce(announcement) => {
                let message = Datagram::Announce(Announce {
                    service,
                    announcement,
                });
                self.send_to_homes(service, &message);
            }
            HomeAction::AskEject { holder, upstream } => {
                let from = self.local_run().daemon;
                let message = Datagram::AskEject(AskEject {
                    from,
                    service,
                    upstream,
                });
                match holder.and_then(|holder| self.peer_address(holder)) {
                    Some(address) => self.send(address, &message),
                    None => self.send_to_homes(service, &message),
                }
            }
            HomeAction::Probe { upstream } => self.probe(service, upstream),
            HomeAction::Ejected { upstream, evidence } => {
                let name = self.upstream_name(service, upstream);
                tracing::warn!("health: {name} is ejected: {evidence:?}");
                let view = self.parts.shared.view.load();
                let mut services = view.table.services.keys();
                if let Some(name) = services.find(|name| ServiceKey::of(name) == service) {
                    self.parts.entry.parts.metrics.ejection(name);
                }
            }
            HomeAction::Restored { upstream } => {
                let name = self.upstream_name(service, upstream);
                tracing::info!("health: {name} is restored");
            }
            // The home itself runs the other actions.
            _ => {}
        }
    }

    fn upstream_name(&self, service: ServiceKey, upstream: UpstreamKey) -> Arc<str> {
        let view = self.parts.shared.view.load();
        let found = view.placements.get(&service).and_then(|placement| {
            placement
                .backends
                .iter()
                .find(|(backend, _)| backend.upstream == upstream)
        });
        found.map_or_else(
            || "an unlisted upstream".into(),
            |(backend, _)| backend.name.clone(),
        )
    }

    fn probe(&self, service: ServiceKey, upstream: UpstreamKey) {
        let Some(home) = self.parts.homes.get(service) else {
            return;
        };
        let Some(address) = home.address(upstream) else {
            return;
        };
        tokio::spawn(async move {
            let is_healthy = crate::upstream::probe(address).await;
            home.read(|dispatcher, now| dispatcher.probe_result(now, upstream, is_healthy));
        });
    }

    fn send_evidence(&self) {
        let view = self.parts.shared.view.load();
        for (&service, placement) in &view.placements {
            if !placement.is_home(self.local_run().daemon) {
                continue;
            }
            let Some(home) = self.parts.homes.get(service) else {
                continue;
            };
            if let Some(report) = home.read(|dispatcher, now| dispatcher.evidence(now)) {
                self.send_to_homes(service, &Datagram::Evidence(Evidence { service, report }));
            }
        }
    }

    fn send_to_homes(&self, service: ServiceKey, message: &Datagram) {
        let view = self.parts.shared.view.load();
        let Some(placement) = view.placements.get(&service) else {
            return;
        };
        for &home in placement
            .homes
            .iter()
            .filter(|home| **home != self.local_run().daemon)
        {
            if let Some(address) = self.peer_address(home) {
                self.send(address, message);
            }
        }
    }

    fn peer_address(&self, daemon: DaemonKey) -> Option<SocketAddr> {
        Some(self.membership.member(daemon)?.record.peer_address)
    }

    fn send(&self, to: SocketAddr, message: &Datagram) {
        let bytes: Bytes = match codec::encode(message) {
            Ok(bytes) => bytes,
            Err(error) => return tracing::warn!("peer: a datagram could not be encoded: {error}"),
        };
        let peers = self.parts.peers.clone();
        tokio::spawn(async move {
            if let Err(error) = peers.send_datagram(to, bytes).await {
                tracing::debug!("peer: a datagram to {to} was not sent: {error}");
            }
        });
    }

    fn poll_lifecycle(&mut self, now: Duration) {
        let Some(lifecycle) = self.lifecycle.take() else {
            return;
        };
        let has_backends = !self.listed_backends.is_empty();
        if !has_backends {
            self.request_vm_list(now);
        }
        let input = LifecycleInput {
            in_force: self.versions.in_force().filter(|_| has_backends),
            stop_requested: self.stop_requested,
            address_ttl: Duration::from_secs(u64::from(self.parts.settings.keep_s)),
            in_flight: self.parts.entry.in_flight(),
            permits_held: self.parts.permits_held.load(Ordering::Relaxed) as usize,
        };
        let (lifecycle, action) = lifecycle.poll(now, input);
        let phase = lifecycle.phase();
        self.lifecycle = Some(lifecycle);
        if self.parts.shared.phase() != phase {
            tracing::info!("control: the daemon is {phase:?}");
            self.parts.shared.phase.send_replace(phase);
            self.update_view(now);
        }
        match action {
            LifecycleAction::AnnounceLeave => {
                let actions = self.membership.handle(now, MemberEvent::Leave);
                self.run_member_actions(now, actions);
            }
            LifecycleAction::ReturnPermits => self.parts.return_permits.notify_one(),
            LifecycleAction::Exit => {
                let actions = self.membership.handle(now, MemberEvent::Left);
                self.run_member_actions(now, actions);
            }
            _ => {}
        }
    }

    /// Requests the VM list from the members in turn, so that a daemon can start while the platform
    /// is down.
    fn request_vm_list(&mut self, now: Duration) {
        let members = self.membership.members().count();
        if now < self.next_vm_list_request || members == 0 {
            return;
        }
        let Some(actor_ref) = self.actor_ref.clone() else {
            return;
        };
        let member = self
            .membership
            .members()
            .nth(self.vm_list_requests % members);
        let Some(address) = member.map(|member| member.record.peer_address) else {
            return;
        };
        self.vm_list_requests += 1;
        self.next_vm_list_request = now + VM_LIST_REQUEST_INTERVAL;
        let peers = self.parts.peers.clone();
        tokio::spawn(async move {
            let vms = store::fetch_vms(&peers, address)
                .await
                .unwrap_or_else(|error| {
                    tracing::warn!(
                        "control: the VM list could not be fetched from {address}: {error}"
                    );
                    Vec::new()
                });
            let _ = actor_ref.tell(ControlEvent::Vms(vms)).await;
        });
    }

    fn local_run(&self) -> DaemonRun {
        self.membership.local_record().run
    }
}

fn member_status(record: &MemberRecord, state: MemberState) -> MemberStatus {
    let state = match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspected",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    };
    MemberStatus {
        name: record.name.clone(),
        region: record.region.clone(),
        domain: record.domain.clone(),
        peer_address: record.peer_address,
        state: state.to_owned(),
        version: record.config_version,
    }
}

fn member_view(record: &MemberRecord, is_advertised: bool) -> MemberView {
    MemberView {
        daemon: record.daemon(),
        run: record.run,
        name: record.name.as_str().into(),
        region: record.region.as_str().into(),
        domain: record.domain.as_str().into(),
        http_address: record.http_address,
        peer_address: record.peer_address,
        is_advertised,
    }
}
