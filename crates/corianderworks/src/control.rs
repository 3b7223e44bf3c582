//! Control loop: membership, configuration, placement and the life cycle of the daemon.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use corianderworks_decision::clock::Clock;
use corianderworks_decision::dispatcher::{
    Action as HomeAction, DispatchConfig, Dispatcher, Prefer as Weight, Schedule, UpstreamState,
    UpstreamView,
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
use crate::store::{self, FetchError, Origin, Stored};
use crate::upstream::Upstreams;
use crate::view::{Backend, BackendState, MemberView, ServicePlace, Table, View};

/// Name of the control loop in the actor namespace.
pub const SERVICE: &str = "control";
/// Time between two looks for evidence to send; the dispatcher says when a report is due. Until
/// the other owner reports, a verdict needs 1.5 times the evidence.
const EVIDENCE_PERIOD: Duration = Duration::from_millis(50);
/// Time between two asks for the VM list while a starting daemon has none.
const VMS_ASK_PERIOD: Duration = Duration::from_millis(250);
/// A backend server's own word that it drains holds for this long, since each of its responses
/// repeats it. The VM list takes over within its lag.
const DRAIN_KEPT: Duration = Duration::from_secs(300);
/// A backend server that is no longer listed counts as gone for this long before the size of
/// its service, and with it the floor, follows the list.
const GONE_KEPT: Duration = Duration::from_secs(60);

/// Input of the control loop.
pub enum ControlEvent {
    /// Time passes.
    Tick,
    /// A datagram arrived.
    Datagram {
        /// Peer address of the sender.
        from: SocketAddr,
        /// Message.
        datagram: Datagram,
    },
    /// The VM list was read.
    Vms(Vec<Vm>),
    /// The platform has this configuration version.
    PlatformVersion(u64),
    /// A fetch ended.
    Fetched {
        /// Where from.
        source: Source,
        /// Version with its content.
        result: Result<Stored, FetchError>,
    },
    /// A home needs something.
    Home(HomeEvent),
    /// The permits held for a service changed.
    Permits(PermitEvent),
    /// The daemon should stop.
    Stop,
}

/// What other parts of the daemon read of the control loop.
pub struct Shared {
    /// What the daemon knows of the fleet.
    pub view: Arc<ArcSwap<View>>,
    /// Configuration version in force with its bytes.
    pub stored: ArcSwap<Stored>,
    /// VM list as last read.
    pub vms: ArcSwap<Vec<Vm>>,
    /// Whether this daemon reads the configuration from the platform for its domain.
    pub is_reader: AtomicBool,
    /// Object version of the manifest that was last read from the platform.
    pub manifest_object: AtomicU64,
    /// Phase of the life cycle.
    pub phase: watch::Sender<Phase>,
    /// Runs whose VMs are gone, so that what they held may be released.
    pub released: ArcSwap<Vec<DaemonRun>>,
}

impl Shared {
    /// Starts without any knowledge.
    pub fn new(view: Arc<ArcSwap<View>>) -> Arc<Self> {
        Arc::new(Self {
            view,
            stored: ArcSwap::default(),
            vms: ArcSwap::default(),
            is_reader: AtomicBool::new(true),
            manifest_object: AtomicU64::new(0),
            phase: watch::Sender::new(Phase::Starting),
            released: ArcSwap::default(),
        })
    }

    /// Phase of the life cycle.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }
}

/// Parts of a daemon that the control loop drives.
pub struct Parts<C>
where
    C: Clock,
{
    /// Settings.
    pub settings: Arc<Settings>,
    /// Source of time.
    pub clock: Arc<C>,
    /// Entry of callers' requests.
    pub entry: Arc<EntryProxy<C>>,
    /// Services that this daemon is a home of.
    pub homes: Arc<Homes<C>>,
    /// Connections to backend servers.
    pub upstreams: Arc<Upstreams<C>>,
    /// Connections to other daemons.
    pub peers: Arc<Peers>,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// What other parts read.
    pub shared: Arc<Shared>,
    /// Value of `via`.
    pub via: HeaderValue,
    /// Where homes send what they need.
    pub home_events: mpsc::UnboundedSender<HomeEvent>,
    /// Number of permits held, for the life cycle.
    pub permits_held: Arc<AtomicU64>,
    /// Asks the permit service to return all permits.
    pub return_permits: Arc<tokio::sync::Notify>,
}

/// Control loop of a daemon.
pub struct Control<C>
where
    C: Clock,
{
    parts: Parts<C>,
    membership: Membership,
    versions: VersionTracker,
    lifecycle: Option<Lifecycle>,
    table: Arc<Table>,
    listed: BTreeMap<Arc<str>, Vec<Backend>>,
    gone: BTreeMap<Arc<str>, Vec<(Backend, Duration)>>,
    draining: HashMap<UpstreamKey, Duration>,
    generation: u64,
    next_evidence: Duration,
    stop_requested: bool,
    next_vms_ask: Duration,
    vms_asks: usize,
    control: Option<ActorRef<Self>>,
}

impl<C> Actor for Control<C>
where
    C: Clock,
{
    type Args = Self;
    type Error = Infallible;

    async fn on_start(mut args: Self, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        args.control = Some(actor_ref);
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

/// Asks the control loop for the members as it sees them.
pub struct MembersAsk;

impl<C> Message<MembersAsk> for Control<C>
where
    C: Clock,
{
    type Reply = Vec<MemberStatus>;

    async fn handle(
        &mut self,
        _: MembersAsk,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let me = (
            self.membership.local_record(),
            self.membership.local_state(),
        );
        let others = self.membership.members().map(|m| (&m.record, m.state));
        others
            .chain([me])
            .map(|(record, state)| member_status(record, state))
            .collect()
    }
}

impl<C> Control<C>
where
    C: Clock,
{
    /// Creates the control loop.
    pub fn new(parts: Parts<C>, membership: Membership, seed: u64) -> Self {
        let now = parts.clock.now();
        Self {
            parts,
            membership,
            versions: VersionTracker::new(seed),
            lifecycle: Some(Lifecycle::start(now)),
            table: Arc::default(),
            listed: BTreeMap::new(),
            gone: BTreeMap::new(),
            draining: HashMap::new(),
            generation: u64::MAX,
            next_evidence: Duration::ZERO,
            stop_requested: false,
            next_vms_ask: Duration::ZERO,
            vms_asks: 0,
            control: None,
        }
    }

    fn handle_event(&mut self, event: ControlEvent) {
        let now = self.parts.clock.now();
        match event {
            ControlEvent::Tick => self.tick(now),
            ControlEvent::Datagram { from, datagram } => self.take_datagram(now, from, datagram),
            ControlEvent::Vms(vms) => self.take_vms(now, vms),
            ControlEvent::PlatformVersion(version) => {
                let heard = VersionEvent::Reported {
                    version,
                    source: Source::Platform,
                };
                self.take_version(now, heard);
            }
            ControlEvent::Fetched { source, result } => self.take_fetched(now, source, result),
            ControlEvent::Home(HomeEvent::Action { service, action }) => {
                self.take_home_action(service, action);
            }
            ControlEvent::Home(HomeEvent::Draining { service, upstream }) => {
                if self.note_draining(now, service, upstream) {
                    let message = Datagram::Draining(Draining { service, upstream });
                    self.send_to_homes(service, &message);
                }
            }
            ControlEvent::Permits(event) => {
                if let Some(home) = self.parts.homes.get(event.service) {
                    home.drive(|d, now| d.set_permits(now, &event.permits));
                }
            }
            ControlEvent::Stop => self.stop_requested = true,
        }
    }

    fn tick(&mut self, now: Duration) {
        let actions = self.membership.tick(now);
        self.take_member_actions(now, actions);
        let actions = self.versions.tick(now);
        self.take_version_actions(now, actions);
        for home in self.parts.homes.all() {
            home.drive(|dispatcher, now| dispatcher.tick(now));
        }
        if now >= self.next_evidence {
            self.next_evidence = now + EVIDENCE_PERIOD;
            self.send_evidence();
        }
        if self.membership.generation() != self.generation {
            self.refresh(now);
        }
        self.poll_lifecycle(now);
    }

    fn take_datagram(&mut self, now: Duration, from: SocketAddr, datagram: Datagram) {
        match datagram {
            Datagram::LoadReport(load) => {
                self.parts
                    .entry
                    .record_load(load.from, load.service, load.free_slots, load.queued);
            }
            Datagram::Evidence(Evidence { service, report }) => {
                if let Some(home) = self.parts.homes.get(service) {
                    home.drive(|d, now| d.peer_evidence(now, report.from.daemon, report));
                }
            }
            Datagram::Announce(Announce {
                service,
                announcement,
            }) => {
                if let Some(home) = self.parts.homes.get(service) {
                    home.drive(|d, now| d.announcement(now, announcement));
                }
            }
            Datagram::AskEject(AskEject {
                from,
                service,
                upstream,
            }) => {
                if let Some(home) = self.parts.homes.get(service) {
                    home.drive(|d, now| d.eject_request(now, from, upstream));
                }
            }
            Datagram::Draining(Draining { service, upstream }) => {
                self.note_draining(now, service, upstream);
            }
            member => {
                if let Some(message) = member.into_member() {
                    let event = MemberEvent::Message { from, message };
                    let actions = self.membership.handle(now, event);
                    self.take_member_actions(now, actions);
                }
            }
        }
    }

    fn take_member_actions(&mut self, now: Duration, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(to, &message.into()),
                MemberAction::Changed { run, from, to } => {
                    let name = self
                        .membership
                        .member(run.daemon)
                        .map(|m| m.record.name.clone());
                    let name = name.unwrap_or_default();
                    tracing::info!("member: {name} is {to:?}, was {from:?}");
                }
                MemberAction::RunEnded(run) => {
                    let mut released = Vec::clone(&self.parts.shared.released.load());
                    released.push(run);
                    self.parts.shared.released.store(Arc::new(released));
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
                    self.take_version(now, VersionEvent::Reported { version, source });
                }
                MemberAction::Superseded(run) => {
                    tracing::error!("member: {run} runs under this name; this run stops");
                    self.stop_requested = true;
                }
                MemberAction::ListedLeaving => {
                    tracing::info!("control: the VM list shows this VM as leaving");
                    self.stop_requested = true;
                }
                MemberAction::Resumed { gap } => {
                    tracing::warn!("member: this process was paused for {} ms", gap.as_millis());
                }
            }
        }
    }

    fn take_version(&mut self, now: Duration, event: VersionEvent) {
        let actions = self.versions.handle(now, event);
        self.take_version_actions(now, actions);
    }

    fn take_version_actions(&mut self, _now: Duration, actions: Vec<VersionAction>) {
        for action in actions {
            if let VersionAction::Fetch { source, .. } = action {
                self.start_fetch(source);
            }
        }
    }

    fn start_fetch(&self, source: Source) {
        let Some(control) = self.control.clone() else {
            return;
        };
        let peers = self.parts.peers.clone();
        let platform = self.parts.platform.clone();
        let known = self.parts.shared.stored.load_full();
        tokio::spawn(async move {
            let origin = match source {
                Source::Peer { address, .. } => Origin::Peer(&peers, address),
                Source::Platform => Origin::Platform(&platform),
            };
            let result = store::fetch(origin, known).await;
            let _ = control.tell(ControlEvent::Fetched { source, result }).await;
        });
    }

    fn take_fetched(&mut self, now: Duration, source: Source, result: Result<Stored, FetchError>) {
        let stored = match result {
            Ok(stored) => stored,
            Err(error) => {
                tracing::warn!("config: fetch failed: {error}");
                return self.take_version(now, VersionEvent::FetchFailed { source });
            }
        };
        let version = stored.snapshot.version;
        let actions = self
            .versions
            .handle(now, VersionEvent::Fetched { version, source });
        if actions.contains(&VersionAction::PutInForce { version }) {
            self.put_in_force(now, stored);
        }
        self.take_version_actions(now, actions);
    }

    fn put_in_force(&mut self, now: Duration, stored: Stored) {
        let snapshot = &stored.snapshot;
        let version = snapshot.version;
        self.table = Arc::new(Table::new(version, &snapshot.customers, &snapshot.plans));
        self.parts.shared.stored.store(Arc::new(stored));
        tracing::info!("config: version {version} is in force");
        let actions = self
            .membership
            .handle(now, MemberEvent::ConfigVersion(version));
        self.take_member_actions(now, actions);
        self.refresh(now);
    }

    fn take_vms(&mut self, now: Duration, vms: Vec<Vm>) {
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
        self.take_member_actions(now, actions);
        let listed = store::backends_by_service(&vms);
        self.draining
            .retain(|_, since| now.saturating_sub(*since) < DRAIN_KEPT);
        self.note_gone(now, &listed);
        let changed = listed != self.listed;
        self.listed = listed;
        self.parts.shared.vms.store(Arc::new(vms));
        if changed {
            self.refresh(now);
        }
    }

    fn note_gone(&mut self, now: Duration, listed: &BTreeMap<Arc<str>, Vec<Backend>>) {
        for (service, before) in &self.listed {
            let after = listed.get(service);
            let is_listed = |b: &Backend| {
                after.is_some_and(|list| list.iter().any(|a| a.upstream == b.upstream))
            };
            let gone = self.gone.entry(service.clone()).or_default();
            gone.retain(|(b, since)| !is_listed(b) && now.saturating_sub(*since) < GONE_KEPT);
            gone.extend(
                before
                    .iter()
                    .filter(|b| !is_listed(b))
                    .map(|b| (b.clone(), now)),
            );
        }
    }

    /// Computes the view again and gives it to the homes.
    fn refresh(&mut self, now: Duration) {
        self.generation = self.membership.generation();
        let members = Arc::new(self.member_views());
        let mut listed = self.listed.clone();
        for backend in listed.values_mut().flatten() {
            if self.draining.contains_key(&backend.upstream) {
                backend.state = BackendState::Leaving;
            }
        }
        let mut view = View::new(self.table.clone(), members, &listed);
        view.leaving = Arc::new(self.leaving_views());
        let candidates = self.membership.candidates();
        let is_reader = configuration_readers(&candidates).contains(&self.me().daemon);
        self.parts
            .shared
            .is_reader
            .store(is_reader, Ordering::Relaxed);
        for (name, service) in &view.table.services {
            let key = ServiceKey::of(name);
            let Some(place) = view.places.get(&key) else {
                continue;
            };
            let home = self.home_of(key, place, service.floor_percent);
            let Some(home) = home else { continue };
            let gone = self.gone.get(name).map(Vec::as_slice).unwrap_or_default();
            let views = self.upstream_views(place, service.slots, gone, now);
            let addresses = place
                .backends
                .iter()
                .map(|(b, _)| (b.upstream, b.address))
                .collect();
            home.set_addresses(addresses);
            home.drive(|dispatcher, now| dispatcher.set_upstreams(now, &views));
        }
        self.parts.shared.view.store(Arc::new(view));
    }

    /// The home of a service, if this daemon is or was one.
    fn home_of(
        &self,
        key: ServiceKey,
        place: &ServicePlace,
        floor_percent: u8,
    ) -> Option<Arc<Home<C>>> {
        let alone = self.parts.settings.balance == Balance::Alone;
        if !alone && !place.is_home(self.me().daemon) {
            return self.parts.homes.get(key);
        }
        let create = || {
            let config = DispatchConfig {
                floor_percent: u32::from(floor_percent),
                prefer: match self.parts.settings.prefer {
                    Prefer::Detection => Weight::Detection,
                    Prefer::Stability => Weight::Stability,
                },
                ..DispatchConfig::default()
            };
            let seed = self.me().incarnation.0 ^ key.0;
            let parts = &self.parts;
            Home::new(
                Dispatcher::new(key, self.me(), config, seed),
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
        place: &ServicePlace,
        slots: u32,
        gone: &[(Backend, Duration)],
        _now: Duration,
    ) -> Vec<UpstreamView> {
        let me = self.me().daemon;
        let alone = self.parts.settings.balance == Balance::Alone;
        let live = place.backends.iter().map(|(backend, owners)| {
            let share = owners.and_then(|owners| owners.share(me));
            let co_owner = owners.and_then(|owners| {
                [Some(owners.first), owners.second]
                    .into_iter()
                    .flatten()
                    .find(|d| *d != me)
            });
            let state = match backend.state {
                BackendState::Live => UpstreamState::Live,
                BackendState::Leaving => UpstreamState::Leaving,
            };
            UpstreamView {
                upstream: backend.upstream,
                slots_share: if alone { Some(slots) } else { share },
                total_slots: slots,
                domain: backend.domain.to_string(),
                state,
                co_owner: if alone { None } else { co_owner },
            }
        });
        let gone = gone.iter().map(|(backend, _)| UpstreamView {
            upstream: backend.upstream,
            slots_share: None,
            total_slots: slots,
            domain: backend.domain.to_string(),
            state: UpstreamState::Gone,
            co_owner: None,
        });
        live.chain(gone).collect()
    }

    fn member_views(&self) -> Vec<MemberView> {
        let candidates = self.membership.candidates();
        let me = self.membership.local_record();
        candidates
            .iter()
            .filter_map(|candidate| {
                let (record, steady) = if candidate.daemon == me.daemon() {
                    (me, self.parts.shared.phase().allowed_operations().listed)
                } else {
                    let member = self.membership.member(candidate.daemon)?;
                    (&member.record, member.state == MemberState::Alive)
                };
                Some(member_view(record, steady))
            })
            .collect()
    }

    fn leaving_views(&self) -> Vec<MemberView> {
        let members = self.membership.members();
        members
            .filter(|member| member.state == MemberState::Leaving)
            .map(|member| member_view(&member.record, false))
            .collect()
    }

    /// Stops new work on an upstream before the VM list shows that it leaves.
    fn note_draining(&mut self, now: Duration, service: ServiceKey, upstream: UpstreamKey) -> bool {
        let new = self.draining.insert(upstream, now).is_none();
        if new {
            let name = self.upstream_name(service, upstream);
            tracing::info!("health: {name} drains");
            self.refresh(now);
        }
        new
    }

    fn take_home_action(&self, service: ServiceKey, action: HomeAction) {
        match action {
            HomeAction::Announce(announcement) => {
                let message = Datagram::Announce(Announce {
                    service,
                    announcement,
                });
                self.send_to_homes(service, &message);
            }
            HomeAction::AskEject { holder, upstream } => {
                let from = self.me().daemon;
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
                tracing::info!("health: {name} is back");
            }
            // The home itself carries out the other actions.
            _ => {}
        }
    }

    fn upstream_name(&self, service: ServiceKey, upstream: UpstreamKey) -> Arc<str> {
        let view = self.parts.shared.view.load();
        let found = view.places.get(&service).and_then(|place| {
            place
                .backends
                .iter()
                .find(|(backend, _)| backend.upstream == upstream)
        });
        found.map_or_else(
            || "a former upstream".into(),
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
            let ok = crate::upstream::probe(address).await;
            home.read(|dispatcher, now| dispatcher.probe_result(now, upstream, ok));
        });
    }

    fn send_evidence(&self) {
        let view = self.parts.shared.view.load();
        for (&service, place) in &view.places {
            if !place.is_home(self.me().daemon) {
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
        let Some(place) = view.places.get(&service) else {
            return;
        };
        for &home in place.homes.iter().filter(|home| **home != self.me().daemon) {
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
            Err(error) => return tracing::warn!("peer: a datagram can't be encoded: {error}"),
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
        let knows_backends = !self.listed.is_empty();
        if !knows_backends {
            self.ask_vms(now);
        }
        let progress = LifecycleInput {
            in_force: self.versions.in_force().filter(|_| knows_backends),
            stop_requested: self.stop_requested,
            address_ttl: Duration::from_secs(u64::from(self.parts.settings.keep_s)),
            in_flight: self.parts.entry.in_flight(),
            permits_held: self.parts.permits_held.load(Ordering::Relaxed) as usize,
        };
        let (lifecycle, action) = lifecycle.poll(now, progress);
        let phase = lifecycle.phase();
        self.lifecycle = Some(lifecycle);
        if self.parts.shared.phase() != phase {
            tracing::info!("control: the daemon is {phase:?}");
            self.parts.shared.phase.send_replace(phase);
            self.refresh(now);
        }
        match action {
            LifecycleAction::AnnounceLeave => {
                let actions = self.membership.handle(now, MemberEvent::Leave);
                self.take_member_actions(now, actions);
            }
            LifecycleAction::ReturnPermits => self.parts.return_permits.notify_one(),
            LifecycleAction::Exit => {
                let actions = self.membership.handle(now, MemberEvent::Left);
                self.take_member_actions(now, actions);
            }
            _ => {}
        }
    }

    /// Asks one member after the other for the VM list, for a start while the platform is down.
    fn ask_vms(&mut self, now: Duration) {
        let members = self.membership.members().count();
        if now < self.next_vms_ask || members == 0 {
            return;
        }
        let Some(control) = self.control.clone() else {
            return;
        };
        let member = self.membership.members().nth(self.vms_asks % members);
        let Some(address) = member.map(|m| m.record.peer_address) else {
            return;
        };
        self.vms_asks += 1;
        self.next_vms_ask = now + VMS_ASK_PERIOD;
        let peers = self.parts.peers.clone();
        tokio::spawn(async move {
            let vms = store::fetch_vms(&peers, address)
                .await
                .unwrap_or_else(|error| {
                    tracing::warn!("control: a member did not send the VM list: {error}");
                    Vec::new()
                });
            let _ = control.tell(ControlEvent::Vms(vms)).await;
        });
    }

    fn me(&self) -> DaemonRun {
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

fn member_view(record: &MemberRecord, steady: bool) -> MemberView {
    MemberView {
        daemon: record.daemon(),
        run: record.run,
        name: record.name.as_str().into(),
        region: record.region.as_str().into(),
        domain: record.domain.as_str().into(),
        http_address: record.http_address,
        peer_address: record.peer_address,
        steady,
    }
}
