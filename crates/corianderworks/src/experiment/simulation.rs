//! Discrete-event simulation of one service: its homes or baseline daemons, its backend servers
//! and a Poisson stream of requests spread over the entry VMs.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use corianderworks_decision::baseline::Baseline;
use corianderworks_decision::clock::{Clock, ManualClock};
use corianderworks_decision::dispatcher::{
    Action, Announcement, DispatchConfig, Dispatcher, EvidenceReport, Lease, Load, Outcome,
    PermitNumber, RequestView, Schedule, Ticket, UpstreamState, UpstreamView,
};
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation, ServiceKey, UpstreamKey};
use corianderworks_decision::permits::{self, PermitTable, VmPresence};
use corianderworks_decision::placement::{self, Candidate};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::measure::Measurements;
use super::scenario::{BURST_DURATION, Change, Scenario, Script, Service, create_script};
use super::servers::{MEDIAN_SERVICE_TIME, Server, TimedFault};

/// Number of entry VMs of each deployment.
pub const ENTRIES: usize = 40;
/// Number of homes of each service.
pub(super) const HOMES: usize = 4;
/// Interval at which each daemon's scheduler is ticked.
const TICK: Duration = Duration::from_millis(50);
/// Delay of a message between homes.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// Fraction of messages between homes that are lost.
const MESSAGE_LOSS: f64 = 0.01;
/// Time that a probe takes on a new connection.
const PROBE_TIME: Duration = Duration::from_millis(25);

/// Scheduler that a simulation runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum System {
    /// Homes that own the slots of their upstreams.
    Fleet,
    /// Daemons that each balance and eject without coordination.
    Baseline,
}

#[derive(Debug)]
pub(super) enum Message {
    Evidence(DaemonKey, EvidenceReport),
    Announcement(Announcement),
    RequestEjection(DaemonKey, UpstreamKey),
}

#[derive(Debug)]
pub(super) enum Event {
    Arrival,
    AttemptEnd(u64, Outcome),
    Deadline(Ticket),
    Hedge(Ticket, usize),
    Tick(usize),
    Message(usize, Message),
    ProbeEnd(usize, usize),
    Change(Change),
}

/// An event with its time and sequence number, ordered by time and then by sequence number.
#[derive(Debug)]
struct ScheduledEvent(Duration, u64, Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub(super) enum Daemon {
    Home(Box<Dispatcher>),
    Baseline(Baseline),
}

impl Daemon {
    pub(super) fn scheduler(&mut self) -> &mut dyn Schedule {
        match self {
            Self::Home(home) => home.as_mut(),
            Self::Baseline(baseline) => baseline,
        }
    }

    pub(super) fn dispatcher(&mut self) -> Option<&mut Dispatcher> {
        match self {
            Self::Home(home) => Some(home),
            Self::Baseline(_) => None,
        }
    }
}

pub(super) struct Node {
    pub(super) daemon: Daemon,
    pub(super) load: Load,
    pub(super) connections_opened: Vec<Duration>,
    pub(super) ejected: BTreeSet<usize>,
}

pub(super) struct Request {
    pub(super) view: RequestView,
    pub(super) arrived_at: Duration,
    pub(super) node: usize,
    pub(super) refused_by: Vec<usize>,
    pub(super) attempts: Vec<u64>,
    pub(super) executions: u32,
}

pub(super) struct Attempt {
    pub(super) ticket: Ticket,
    pub(super) node: usize,
    pub(super) server: usize,
    pub(super) lease: Lease,
    pub(super) sent_at: Duration,
}

/// State of one simulation run.
pub struct Simulation {
    pub(super) system: System,
    scenario: Scenario,
    pub(super) service: Service,
    pub(super) clock: ManualClock,
    pub(super) rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
    pub(super) nodes: Vec<Node>,
    owners: Vec<Vec<usize>>,
    pub(super) servers: Vec<Server>,
    upstream_states: Vec<UpstreamState>,
    pub(super) requests: HashMap<Ticket, Request>,
    pub(super) attempts: HashMap<u64, Attempt>,
    pub(super) leases: HashMap<(usize, u64), u64>,
    blocked_links: BTreeSet<(usize, usize)>,
    pub(super) last_id: u64,
    pub(super) base_rate_per_s: f64,
    pub(super) load_factor: f64,
    pub(super) service_time_factor: f64,
    pub(super) spike: Option<(Duration, Duration)>,
    pub(super) measured_fault: Option<(usize, Duration)>,
    detected: bool,
    end: Duration,
    pub(super) measurements: Measurements,
}

pub(super) fn daemon_run(node: usize) -> DaemonRun {
    DaemonRun {
        daemon: DaemonKey(1 + node as u64),
        incarnation: Incarnation(1),
    }
}

pub(super) fn upstream_key(server: usize) -> UpstreamKey {
    UpstreamKey(1 + server as u64)
}

impl Simulation {
    /// Prepares a run; `load_percent` is the mean share of slots that are busy.
    pub fn new(
        system: System,
        scenario: Scenario,
        service: Service,
        seed: u64,
        load_percent: u32,
        noise_duration: Duration,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let server_count = service.upstreams as usize;
        let owners: Vec<Vec<usize>> = (0..server_count)
            .map(|s| owners_of(system, s, &service))
            .collect();
        let server_owners = |server: usize| owners[server].clone();
        let script: Script =
            create_script(scenario, &service, &mut rng, &server_owners, noise_duration);
        let slots = f64::from(service.upstreams * service.slots);
        let base_rate_per_s =
            slots / MEDIAN_SERVICE_TIME.as_secs_f64() * f64::from(load_percent) / 100.0;
        let mut upstream_states = vec![UpstreamState::Live; server_count];
        if let Some(server) = script.initially_absent {
            upstream_states[server] = UpstreamState::Gone;
        }
        let spike = script.changes.iter().find_map(|(at, change)| match change {
            Change::LoadFactor(_) if scenario == Scenario::LoadSpike => {
                Some((*at, *at + BURST_DURATION))
            }
            _ => None,
        });
        let mut simulation = Self {
            system,
            scenario,
            service,
            clock: ManualClock::default(),
            rng,
            events: BinaryHeap::new(),
            last_sequence: 0,
            nodes: Vec::new(),
            owners,
            servers: (0..server_count)
                .map(|_| Server::new(service.slots))
                .collect(),
            upstream_states,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            leases: HashMap::new(),
            blocked_links: BTreeSet::new(),
            last_id: 0,
            base_rate_per_s,
            load_factor: 1.0,
            service_time_factor: 1.0,
            spike,
            measured_fault: script.measured_fault,
            detected: false,
            end: script.end,
            measurements: Measurements::default(),
        };
        simulation.add_nodes(seed);
        for (at, change) in script.changes {
            simulation.schedule_event(at, Event::Change(change));
        }
        simulation.schedule_event(Duration::ZERO, Event::Arrival);
        simulation
    }

    fn add_nodes(&mut self, seed: u64) {
        let config = DispatchConfig {
            prefer: self.service.prefer(),
            ..DispatchConfig::default()
        };
        let daemon_count = match self.system {
            System::Fleet => HOMES,
            System::Baseline => ENTRIES,
        };
        let permit_count = permits::permit_count(self.service.upstreams, config.floor_percent);
        let homes: Vec<DaemonKey> = (0..HOMES).map(|n| daemon_run(n).daemon).collect();
        let mut table = PermitTable::default();
        for node in 0..daemon_count {
            let daemon = match self.system {
                System::Fleet => {
                    let seed = seed ^ (node as u64 + 1);
                    let service = ServiceKey::of(self.service.name);
                    let home = Dispatcher::new(service, daemon_run(node), config.clone(), seed);
                    Daemon::Home(Box::new(home))
                }
                System::Baseline => {
                    Daemon::Baseline(Baseline::new(daemon_run(node), config.clone()))
                }
            };
            self.nodes.push(Node {
                daemon,
                load: Load::default(),
                connections_opened: vec![Duration::ZERO; self.servers.len()],
                ejected: BTreeSet::new(),
            });
            let vm_presence = |_| VmPresence::Present;
            if let Some(next) =
                permits::claim(&table, daemon_run(node), &homes, permit_count, vm_presence)
            {
                table = next;
            }
            let held: Vec<PermitNumber> = table.held_by(daemon_run(node));
            if let Some(home) = self.nodes[node].daemon.dispatcher() {
                home.set_permits(Duration::ZERO, &held);
            }
            let first_tick = TICK * node as u32 / daemon_count as u32;
            self.schedule_event(first_tick, Event::Tick(node));
        }
        self.publish_upstreams();
    }

    /// Processes events until the end of the script and returns the measurements.
    ///
    /// A fault that was not detected is recorded with the time until the end.
    pub fn run(mut self) -> Measurements {
        while let Some(Reverse(ScheduledEvent(at, _, event))) = self.events.pop() {
            if at > self.end {
                break;
            }
            self.clock.advance(at - self.clock.now());
            self.handle(event);
        }
        self.measurements.runs = 1;
        let days = self.end.as_secs_f64() / 86_400.0;
        self.measurements.server_days = days * f64::from(self.service.upstreams);
        if let Some((_, from)) = self.measured_fault
            && !self.detected
        {
            self.measurements.undetected = 1;
            let _ = self
                .measurements
                .detection_ms
                .record((self.end - from).as_millis() as u64);
        }
        self.measurements
    }

    pub(super) fn schedule_event(&mut self, at: Duration, event: Event) {
        self.last_sequence += 1;
        self.events
            .push(Reverse(ScheduledEvent(at, self.last_sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Arrival => self.handle_arrival(now),
            Event::AttemptEnd(attempt, outcome) => self.handle_attempt_end(now, attempt, outcome),
            Event::Deadline(ticket) => self.handle_deadline(now, ticket),
            Event::Hedge(ticket, node) => self.handle_hedge(now, ticket, node),
            Event::Tick(node) => self.handle_tick(now, node),
            Event::Message(to, message) => self.handle_message(now, to, message),
            Event::ProbeEnd(node, server) => {
                let responded = self.simulate_response(now, node, server).is_some();
                let path_failed = !responded && !self.servers[server].unhealthy(now);
                if let Some(home) = self.nodes[node].daemon.dispatcher() {
                    // Health endpoints succeed during gray failures, but not over a failed path.
                    home.probe_result(now, upstream_key(server), !path_failed);
                }
            }
            Event::Change(change) => self.apply_change(now, change),
        }
    }

    fn handle_tick(&mut self, now: Duration, node: usize) {
        self.schedule_event(now + TICK, Event::Tick(node));
        let actions = self.nodes[node].daemon.scheduler().tick(now);
        self.apply_actions(now, node, actions);
        if let Some(home) = self.nodes[node].daemon.dispatcher()
            && let Some(report) = home.evidence(now)
        {
            for other in (0..HOMES).filter(|o| *o != node) {
                let message = Message::Evidence(daemon_run(node).daemon, report.clone());
                self.send_message(now, node, other, message);
            }
        }
        self.nodes[node].load = self.nodes[node].daemon.scheduler().load(now);
    }

    fn send_message(&mut self, now: Duration, from: usize, to: usize, message: Message) {
        let blocked = self.blocked_links.contains(&(from, to));
        if !blocked && !self.rng.random_bool(MESSAGE_LOSS) {
            self.schedule_event(now + MESSAGE_DELAY, Event::Message(to, message));
        }
    }

    fn handle_message(&mut self, now: Duration, to: usize, message: Message) {
        let Some(home) = self.nodes[to].daemon.dispatcher() else {
            return;
        };
        let actions = match message {
            Message::Evidence(from, report) => home.peer_evidence(now, from, report),
            Message::Announcement(announcement) => home.announcement(now, announcement),
            Message::RequestEjection(from, upstream) => home.eject_request(now, from, upstream),
        };
        self.apply_actions(now, to, actions);
    }

    pub(super) fn apply_actions(&mut self, now: Duration, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { ticket, lease } => self.dispatch(now, node, ticket, lease),
                Action::Refuse { ticket, .. } => self.handle_refusal(now, ticket),
                Action::Abandon { lease, .. } => {
                    if let Some(id) = self.leases.get(&(node, lease.number)).copied() {
                        let latency = now - self.attempts[&id].sent_at;
                        self.handle_attempt_end(now, id, Outcome::Stalled { latency });
                    }
                }
                Action::Announce(announcement) => {
                    for other in (0..HOMES).filter(|o| *o != node) {
                        let message = Message::Announcement(announcement.clone());
                        self.send_message(now, node, other, message);
                    }
                }
                Action::AskEject { holder, upstream } => {
                    let receivers = (0..HOMES).filter(|o| match holder {
                        Some(holder) => daemon_run(*o).daemon == holder,
                        None => *o != node,
                    });
                    for other in receivers {
                        let message = Message::RequestEjection(daemon_run(node).daemon, upstream);
                        self.send_message(now, node, other, message);
                    }
                }
                Action::RetireConnections { upstream, .. } => {
                    self.nodes[node].connections_opened[(upstream.0 - 1) as usize] = now;
                }
                Action::Probe { upstream } => {
                    let probe = Event::ProbeEnd(node, (upstream.0 - 1) as usize);
                    self.schedule_event(now + PROBE_TIME, probe);
                }
                Action::Ejected { upstream, .. } => self.record_ejection(now, node, upstream),
                Action::Restored { upstream } => {
                    self.nodes[node]
                        .ejected
                        .remove(&((upstream.0 - 1) as usize));
                }
            }
        }
    }

    fn record_ejection(&mut self, now: Duration, node: usize, upstream: UpstreamKey) {
        let server = (upstream.0 - 1) as usize;
        let first_ejection = self.nodes.iter().all(|n| !n.ejected.contains(&server));
        self.nodes[node].ejected.insert(server);
        let faulty = self
            .measured_fault
            .is_some_and(|(s, from)| s == server && now >= from);
        if first_ejection && !faulty {
            self.measurements.false_ejections += 1;
        }
        if first_ejection {
            self.check_floor();
        }
        if let Some((faulty_server, from)) = self.measured_fault
            && faulty_server == server
            && now >= from
            && !self.detected
            && self.owners[server]
                .iter()
                .all(|o| self.nodes[*o].ejected.contains(&server))
        {
            self.detected = true;
            let _ = self
                .measurements
                .detection_ms
                .record((now - from).as_millis() as u64);
        }
    }

    /// Counts a violation of the floor (P1) when more servers than allowed are ejected by some
    /// daemon or don't count as capacity.
    fn check_floor(&mut self) {
        let unavailable = |s: usize| self.upstream_states[s] != UpstreamState::Live;
        let excluded = (0..self.servers.len())
            .filter(|s| unavailable(*s) || self.nodes.iter().any(|n| n.ejected.contains(s)))
            .count() as u32;
        let floor_percent = DispatchConfig::default().floor_percent;
        let allowed = permits::permit_count(self.service.upstreams, floor_percent);
        self.measurements.violations += u64::from(excluded > allowed);
    }

    fn apply_change(&mut self, now: Duration, change: Change) {
        match change {
            Change::Fault(server, fault, duration) => {
                self.servers[server].last_fault = Some(TimedFault {
                    fault,
                    from: now,
                    until: now + duration,
                });
            }
            Change::ServiceTimeFactor(factor) => self.service_time_factor = factor,
            Change::LoadFactor(factor) => self.load_factor = factor,
            Change::Drain(server) => self.servers[server].draining_since = Some(now),
            Change::ListLeaving(server) => {
                self.upstream_states[server] = UpstreamState::Leaving;
                self.publish_upstreams();
            }
            Change::Join(server) => {
                self.servers[server].cold_since = Some(now);
                self.upstream_states[server] = UpstreamState::Cold;
                self.publish_upstreams();
            }
            Change::PeerLoss(a, b, true) => {
                self.blocked_links.insert((a, b));
            }
            Change::PeerLoss(a, b, false) => {
                self.blocked_links.remove(&(a, b));
            }
        }
        debug_assert!(self.scenario != Scenario::Noise || self.measured_fault.is_none());
    }

    fn publish_upstreams(&mut self) {
        let now = self.clock.now();
        for node in 0..self.nodes.len() {
            let views: Vec<UpstreamView> = (0..self.servers.len())
                .map(|server| self.upstream_view(node, server))
                .collect();
            let actions = self.nodes[node]
                .daemon
                .scheduler()
                .set_upstreams(now, &views);
            self.apply_actions(now, node, actions);
        }
    }

    fn upstream_view(&self, node: usize, server: usize) -> UpstreamView {
        let owners = &self.owners[server];
        let slots = self.service.slots;
        let (share, co_owner) = match self.system {
            System::Baseline => (Some(slots), None),
            System::Fleet => match owners.iter().position(|o| *o == node) {
                Some(index) => {
                    let second = slots / 2;
                    let share = if index == 0 { slots - second } else { second };
                    (Some(share), Some(daemon_run(owners[1 - index]).daemon))
                }
                None => (None, None),
            },
        };
        UpstreamView {
            upstream: upstream_key(server),
            slots_share: share,
            total_slots: slots,
            domain: format!("domain-{}", server % HOMES),
            state: self.upstream_states[server],
            co_owner,
        }
    }
}

/// Daemons that send to a server: its owners by the production placement, or all in the baseline.
fn owners_of(system: System, server: usize, service: &Service) -> Vec<usize> {
    if system == System::Baseline {
        return (0..ENTRIES).collect();
    }
    let homes: Vec<Candidate> = (0..HOMES)
        .map(|node| Candidate {
            daemon: daemon_run(node).daemon,
            domain: format!("domain-{node}"),
        })
        .collect();
    let owners = placement::owners(&homes, upstream_key(server), service.slots);
    let daemons = owners.into_iter().flat_map(|o| [Some(o.first), o.second]);
    daemons.flatten().map(|d| (d.0 - 1) as usize).collect()
}
