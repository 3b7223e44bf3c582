//! One service with its homes or baseline daemons, its servers and 40 arrival streams.

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

use super::measure::Measures;
use super::scenario::{Change, SPIKE, Scenario, Script, Service, script};
use super::servers::{Active, SERVICE_TIME, Server};

/// Entry VMs of each deployment.
pub const ENTRIES: usize = 40;
/// Homes of each service.
pub(super) const HOMES: usize = 4;
/// Interval of `tick`.
const TICK: Duration = Duration::from_millis(50);
/// Delay of a message between homes.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// Share of messages between homes that are lost.
const MESSAGE_LOSS: f64 = 0.01;
/// Time of a probe on a new connection.
const PROBE_TIME: Duration = Duration::from_millis(25);

/// Which scheduler runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum System {
    /// Homes that own upstreams.
    Fleet,
    /// Every daemon alone.
    Baseline,
}

#[derive(Debug)]
pub(super) enum Message {
    Evidence(DaemonKey, EvidenceReport),
    Announce(Announcement),
    AskEject(DaemonKey, UpstreamKey),
}

#[derive(Debug)]
pub(super) enum Event {
    Arrive,
    Done(u64, Outcome),
    Deadline(Ticket),
    Hedge(Ticket, usize),
    Tick(usize),
    Message(usize, Message),
    Probe(usize, usize),
    Change(Change),
}

/// An event with its time and order.
#[derive(Debug)]
struct Due(Duration, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub(super) enum Daemon {
    Home(Box<Dispatcher>),
    Alone(Baseline),
}

impl Daemon {
    pub(super) fn schedule(&mut self) -> &mut dyn Schedule {
        match self {
            Self::Home(home) => home.as_mut(),
            Self::Alone(alone) => alone,
        }
    }

    pub(super) fn home(&mut self) -> Option<&mut Dispatcher> {
        match self {
            Self::Home(home) => Some(home),
            Self::Alone(_) => None,
        }
    }
}

pub(super) struct Node {
    pub(super) daemon: Daemon,
    pub(super) load: Load,
    pub(super) connections: Vec<Duration>,
    pub(super) out: BTreeSet<usize>,
}

pub(super) struct Request {
    pub(super) view: RequestView,
    pub(super) arrived: Duration,
    pub(super) node: usize,
    pub(super) refused_at: Vec<usize>,
    pub(super) attempts: Vec<u64>,
    pub(super) ran: u32,
}

pub(super) struct Attempt {
    pub(super) ticket: Ticket,
    pub(super) node: usize,
    pub(super) server: usize,
    pub(super) lease: Lease,
    pub(super) sent: Duration,
}

/// One run.
pub struct Run {
    pub(super) system: System,
    scenario: Scenario,
    pub(super) service: Service,
    pub(super) clock: ManualClock,
    pub(super) rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<Due>>,
    order: u64,
    pub(super) nodes: Vec<Node>,
    owners: Vec<Vec<usize>>,
    pub(super) servers: Vec<Server>,
    states: Vec<UpstreamState>,
    pub(super) requests: HashMap<Ticket, Request>,
    pub(super) attempts: HashMap<u64, Attempt>,
    pub(super) leases: HashMap<(usize, u64), u64>,
    blocked: BTreeSet<(usize, usize)>,
    pub(super) next_id: u64,
    pub(super) rate: f64,
    pub(super) load_factor: f64,
    pub(super) service_factor: f64,
    pub(super) spike: Option<(Duration, Duration)>,
    pub(super) subject: Option<(usize, Duration)>,
    detected: bool,
    end: Duration,
    pub(super) measures: Measures,
}

pub(super) fn run_of(node: usize) -> DaemonRun {
    DaemonRun {
        daemon: DaemonKey(1 + node as u64),
        incarnation: Incarnation(1),
    }
}

pub(super) fn key_of(server: usize) -> UpstreamKey {
    UpstreamKey(1 + server as u64)
}

impl Run {
    /// Prepares a run; `load_percent` is the share of all slots that is busy on average.
    pub fn new(
        system: System,
        scenario: Scenario,
        service: Service,
        seed: u64,
        load_percent: u32,
        noise: Duration,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let count = service.upstreams as usize;
        let owners: Vec<Vec<usize>> = (0..count).map(|s| owners_of(system, s, &service)).collect();
        let nodes_of = |server: usize| owners[server].clone();
        let script: Script = script(scenario, &service, &mut rng, &nodes_of, noise);
        let slots = f64::from(service.upstreams * service.slots);
        let rate = slots / SERVICE_TIME.as_secs_f64() * f64::from(load_percent) / 100.0;
        let mut states = vec![UpstreamState::Live; count];
        if let Some(absent) = script.absent {
            states[absent] = UpstreamState::Gone;
        }
        let spike = script.changes.iter().find_map(|(at, change)| match change {
            Change::LoadFactor(_) if scenario == Scenario::LoadSpike => Some((*at, *at + SPIKE)),
            _ => None,
        });
        let mut run = Self {
            system,
            scenario,
            service,
            clock: ManualClock::default(),
            rng,
            events: BinaryHeap::new(),
            order: 0,
            nodes: Vec::new(),
            owners,
            servers: (0..count).map(|_| Server::new(service.slots)).collect(),
            states,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            leases: HashMap::new(),
            blocked: BTreeSet::new(),
            next_id: 0,
            rate,
            load_factor: 1.0,
            service_factor: 1.0,
            spike,
            subject: script.subject,
            detected: false,
            end: script.end,
            measures: Measures::default(),
        };
        run.add_nodes(seed);
        for (at, change) in script.changes {
            run.schedule(at, Event::Change(change));
        }
        run.schedule(Duration::ZERO, Event::Arrive);
        run
    }

    fn add_nodes(&mut self, seed: u64) {
        let config = DispatchConfig {
            prefer: self.service.prefer(),
            ..DispatchConfig::default()
        };
        let total = match self.system {
            System::Fleet => HOMES,
            System::Baseline => ENTRIES,
        };
        let permit_count = permits::permit_count(self.service.upstreams, config.floor_percent);
        let homes: Vec<DaemonKey> = (0..HOMES).map(|n| run_of(n).daemon).collect();
        let mut table = PermitTable::default();
        for node in 0..total {
            let daemon = match self.system {
                System::Fleet => {
                    let seed = seed ^ (node as u64 + 1);
                    let service = ServiceKey::of(self.service.name);
                    let home = Dispatcher::new(service, run_of(node), config.clone(), seed);
                    Daemon::Home(Box::new(home))
                }
                System::Baseline => Daemon::Alone(Baseline::new(run_of(node), config.clone())),
            };
            self.nodes.push(Node {
                daemon,
                load: Load::default(),
                connections: vec![Duration::ZERO; self.servers.len()],
                out: BTreeSet::new(),
            });
            let vm = |_| VmPresence::Present;
            if let Some(next) = permits::claim(&table, run_of(node), &homes, permit_count, vm) {
                table = next;
            }
            let held: Vec<PermitNumber> = table.held_by(run_of(node));
            if let Some(home) = self.nodes[node].daemon.home() {
                home.set_permits(Duration::ZERO, &held);
            }
            let offset = TICK * node as u32 / total as u32;
            self.schedule(offset, Event::Tick(node));
        }
        self.publish_views();
    }

    /// Runs to the end.
    pub fn run(mut self) -> Measures {
        while let Some(Reverse(Due(at, _, event))) = self.events.pop() {
            if at > self.end {
                break;
            }
            self.clock.advance(at - self.clock.now());
            self.handle(event);
        }
        self.measures.runs = 1;
        let days = self.end.as_secs_f64() / 86_400.0;
        self.measures.server_days = days * f64::from(self.service.upstreams);
        if let Some((_, from)) = self.subject
            && !self.detected
        {
            self.measures.undetected = 1;
            let _ = self
                .measures
                .detection_ms
                .record((self.end - from).as_millis() as u64);
        }
        self.measures
    }

    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse(Due(at, self.order, event)));
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Arrive => self.arrive(now),
            Event::Done(attempt, outcome) => self.done(now, attempt, outcome),
            Event::Deadline(ticket) => self.deadline(now, ticket),
            Event::Hedge(ticket, node) => self.hedge(now, ticket, node),
            Event::Tick(node) => self.tick(now, node),
            Event::Message(to, message) => self.receive(now, to, message),
            Event::Probe(node, server) => {
                let answer = self.respond(now, node, server).is_some();
                let faulty_path = !answer && !self.servers[server].unhealthy(now);
                if let Some(home) = self.nodes[node].daemon.home() {
                    // Health endpoints pass during gray failures, but not over a dead path.
                    home.probe_result(now, key_of(server), !faulty_path);
                }
            }
            Event::Change(change) => self.change(now, change),
        }
    }

    fn tick(&mut self, now: Duration, node: usize) {
        self.schedule(now + TICK, Event::Tick(node));
        let actions = self.nodes[node].daemon.schedule().tick(now);
        self.apply(now, node, actions);
        if let Some(home) = self.nodes[node].daemon.home()
            && let Some(report) = home.evidence(now)
        {
            for other in (0..HOMES).filter(|o| *o != node) {
                let message = Message::Evidence(run_of(node).daemon, report.clone());
                self.send(now, node, other, message);
            }
        }
        self.nodes[node].load = self.nodes[node].daemon.schedule().load(now);
    }

    fn send(&mut self, now: Duration, from: usize, to: usize, message: Message) {
        let blocked = self.blocked.contains(&(from, to));
        if !blocked && !self.rng.random_bool(MESSAGE_LOSS) {
            self.schedule(now + MESSAGE_DELAY, Event::Message(to, message));
        }
    }

    fn receive(&mut self, now: Duration, to: usize, message: Message) {
        let Some(home) = self.nodes[to].daemon.home() else {
            return;
        };
        let actions = match message {
            Message::Evidence(from, report) => home.peer_evidence(now, from, report),
            Message::Announce(announcement) => home.announcement(now, announcement),
            Message::AskEject(from, upstream) => home.eject_request(now, from, upstream),
        };
        self.apply(now, to, actions);
    }

    pub(super) fn apply(&mut self, now: Duration, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { ticket, lease } => self.dispatch(now, node, ticket, lease),
                Action::Refuse { ticket, .. } => self.refused(now, ticket),
                Action::Abandon { lease, .. } => {
                    if let Some(id) = self.leases.get(&(node, lease.number)).copied() {
                        let latency = now - self.attempts[&id].sent;
                        self.done(now, id, Outcome::Stalled { latency });
                    }
                }
                Action::Announce(announcement) => {
                    for other in (0..HOMES).filter(|o| *o != node) {
                        let message = Message::Announce(announcement.clone());
                        self.send(now, node, other, message);
                    }
                }
                Action::AskEject { holder, upstream } => {
                    let to = (0..HOMES).filter(|o| match holder {
                        Some(holder) => run_of(*o).daemon == holder,
                        None => *o != node,
                    });
                    for other in to {
                        let message = Message::AskEject(run_of(node).daemon, upstream);
                        self.send(now, node, other, message);
                    }
                }
                Action::RetireConnections { upstream, .. } => {
                    self.nodes[node].connections[(upstream.0 - 1) as usize] = now;
                }
                Action::Probe { upstream } => {
                    let probe = Event::Probe(node, (upstream.0 - 1) as usize);
                    self.schedule(now + PROBE_TIME, probe);
                }
                Action::Ejected { upstream, .. } => self.ejected(now, node, upstream),
                Action::Restored { upstream } => {
                    self.nodes[node].out.remove(&((upstream.0 - 1) as usize));
                }
            }
        }
    }

    fn ejected(&mut self, now: Duration, node: usize, upstream: UpstreamKey) {
        let server = (upstream.0 - 1) as usize;
        let first = self.nodes.iter().all(|n| !n.out.contains(&server));
        self.nodes[node].out.insert(server);
        let faulty = self
            .subject
            .is_some_and(|(s, from)| s == server && now >= from);
        if first && !faulty {
            self.measures.false_ejections += 1;
        }
        if first {
            self.check_floor();
        }
        if let Some((subject, from)) = self.subject
            && subject == server
            && now >= from
            && !self.detected
            && self.owners[server]
                .iter()
                .all(|o| self.nodes[*o].out.contains(&server))
        {
            self.detected = true;
            let _ = self
                .measures
                .detection_ms
                .record((now - from).as_millis() as u64);
        }
    }

    /// The servers that any daemon excludes, and those that are no capacity, leave the floor (P1).
    fn check_floor(&mut self) {
        let unavailable = |s: usize| self.states[s] != UpstreamState::Live;
        let out = (0..self.servers.len())
            .filter(|s| unavailable(*s) || self.nodes.iter().any(|n| n.out.contains(s)))
            .count() as u32;
        let floor_percent = DispatchConfig::default().floor_percent;
        let allowed = permits::permit_count(self.service.upstreams, floor_percent);
        self.measures.violations += u64::from(out > allowed);
    }

    fn change(&mut self, now: Duration, change: Change) {
        match change {
            Change::Fault(server, fault, span) => {
                self.servers[server].active = Some(Active {
                    fault,
                    from: now,
                    until: now + span,
                });
            }
            Change::ServiceFactor(factor) => self.service_factor = factor,
            Change::LoadFactor(factor) => self.load_factor = factor,
            Change::Drain(server) => self.servers[server].leaving_from = Some(now),
            Change::ListLeaving(server) => {
                self.states[server] = UpstreamState::Leaving;
                self.publish_views();
            }
            Change::Join(server) => {
                self.servers[server].cold_from = Some(now);
                self.states[server] = UpstreamState::Cold;
                self.publish_views();
            }
            Change::PeerLoss(a, b, true) => {
                self.blocked.insert((a, b));
            }
            Change::PeerLoss(a, b, false) => {
                self.blocked.remove(&(a, b));
            }
        }
        debug_assert!(self.scenario != Scenario::Noise || self.subject.is_none());
    }

    fn publish_views(&mut self) {
        let now = self.clock.now();
        for node in 0..self.nodes.len() {
            let views: Vec<UpstreamView> = (0..self.servers.len())
                .map(|server| self.view(node, server))
                .collect();
            let actions = self.nodes[node]
                .daemon
                .schedule()
                .set_upstreams(now, &views);
            self.apply(now, node, actions);
        }
    }

    fn view(&self, node: usize, server: usize) -> UpstreamView {
        let owners = &self.owners[server];
        let slots = self.service.slots;
        let (share, co_owner) = match self.system {
            System::Baseline => (Some(slots), None),
            System::Fleet => match owners.iter().position(|o| *o == node) {
                Some(index) => {
                    let second = slots / 2;
                    let share = if index == 0 { slots - second } else { second };
                    (Some(share), Some(run_of(owners[1 - index]).daemon))
                }
                None => (None, None),
            },
        };
        UpstreamView {
            upstream: key_of(server),
            slots_share: share,
            total_slots: slots,
            domain: format!("domain-{}", server % HOMES),
            state: self.states[server],
            co_owner,
        }
    }
}

/// Daemons that send to a server, as the real placement assigns them.
fn owners_of(system: System, server: usize, service: &Service) -> Vec<usize> {
    if system == System::Baseline {
        return (0..ENTRIES).collect();
    }
    let homes: Vec<Candidate> = (0..HOMES)
        .map(|node| Candidate {
            daemon: run_of(node).daemon,
            domain: format!("domain-{node}"),
        })
        .collect();
    let owners = placement::owners(&homes, key_of(server), service.slots);
    let daemons = owners.into_iter().flat_map(|o| [Some(o.first), o.second]);
    daemons.flatten().map(|d| (d.0 - 1) as usize).collect()
}
