//! Exchanges load, evidence and membership with the other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::edge::fleet::{Fleet, HEARTBEAT_INTERVAL, Member, RunKey, Topology};
use corianderworks_decision::edge::key_permission::{ConfigurationId, Confirmation};
use corianderworks_decision::edge::peer_load::{Report, batch_delay, relay_delay, report_delay};
use corianderworks_decision::edge::routes::ConfigVersion;
use corianderworks_platform::configuration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::key_check::{self, KeyChecks};
use crate::peers::{Incoming, Message, Peers, StoreUpdate};
use crate::report_datagrams::{encode, split};
use crate::reports::ReportResult;
use crate::state::Edge;

/// Shortest time between two requests for the members of the fleet.
const MEMBERS_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of members that are logged one by one when they are discovered together.
const DISCOVERED_LOGGED_MAX: usize = 3;
/// Interval at which the topology is worked out again from the members that are up.
const TOPOLOGY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between attempts to connect to a peer.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which only the daemon with the lower VM name may open the connection between two
/// daemons. Afterwards both try.
const INITIATOR_TIMEOUT: Duration = Duration::from_millis(250);

/// Processes messages of peers and sends reports until the daemon exits.
pub async fn run(edge: Arc<Edge>, peers: Arc<Peers>, incoming: mpsc::UnboundedReceiver<Incoming>) {
    let now = Instant::now();
    let mut peer_sync = PeerSync {
        edge,
        peers,
        sequence: 0,
        topology: Topology::default(),
        topology_due: now,
        first_relay_heard_at: Duration::ZERO,
        has_unknown_origins: false,
        members_request_due: now,
        domain_batch: Batch::default(),
        relay_batch: Batch::default(),
        report_due: None,
        heartbeat_due: now,
        connect_due: now,
        last_attempts: HashMap::new(),
        first_targeted: HashMap::new(),
        silent: Vec::new(),
        key_checks: KeyChecks::default(),
    };
    peer_sync.run(incoming).await;
}

struct PeerSync {
    edge: Arc<Edge>,
    peers: Arc<Peers>,
    sequence: u32,
    topology: Topology,
    topology_due: Instant,
    /// Time of the last datagram from the first relay of the domain.
    first_relay_heard_at: Duration,
    /// Whether reports of unknown daemons arrived since the last request for members.
    has_unknown_origins: bool,
    members_request_due: Instant,
    /// Reports that wait to be sent to the own domain.
    domain_batch: Batch,
    /// Reports of the own domain that wait to be sent to the relays of other domains.
    relay_batch: Batch,
    /// When the next report of changes is sent; `None` if nothing changed.
    report_due: Option<Instant>,
    heartbeat_due: Instant,
    connect_due: Instant,
    /// Time of the last connection attempt to each peer.
    last_attempts: HashMap<SocketAddr, Instant>,
    /// Since when each peer has been a link target.
    first_targeted: HashMap<SocketAddr, Instant>,
    /// Daemons that were silent at the last heartbeat.
    silent: Vec<RunKey>,
    key_checks: KeyChecks,
}

/// Reports that a relay collects before it sends them on.
#[derive(Default)]
struct Batch {
    reports: Vec<Report>,
    /// When the reports are sent; `None` if there are none.
    due: Option<Instant>,
}

impl Batch {
    fn add(&mut self, report: Report, delay: Duration) {
        self.reports.push(report);
        let due = Instant::now() + delay;
        self.due = Some(self.due.map_or(due, |at| at.min(due)));
    }

    /// Returns the reports if they are due.
    fn take_due(&mut self, now: Instant) -> Vec<Report> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = None;
        std::mem::take(&mut self.reports)
    }
}

impl PeerSync {
    async fn run(&mut self, mut incoming: mpsc::UnboundedReceiver<Incoming>) {
        let edge = self.edge.clone();
        loop {
            let due = [self.report_due, self.domain_batch.due, self.relay_batch.due];
            let due = due.into_iter().flatten().min();
            let due = due.unwrap_or(self.heartbeat_due).min(self.heartbeat_due);
            let due = due.min(self.connect_due).min(self.topology_due);
            tokio::select! {
                received = incoming.recv() => match received {
                    Some(received) => self.handle_incoming(received),
                    None => return,
                },
                () = edge.report_trigger.notified() => self.schedule_report(),
                () = sleep_until(due) => self.run_due_tasks(),
            }
        }
    }

    /// Schedules a report of the changes so far; failures are reported sooner.
    fn schedule_report(&mut self) {
        let due = Instant::now()
            + report_delay(self.edge.lock_state().pending_report.includes_failures());
        self.report_due = Some(self.report_due.map_or(due, |at| at.min(due)));
    }

    fn run_due_tasks(&mut self) {
        let now = Instant::now();
        if now >= self.topology_due {
            self.update_topology();
            self.check_keys();
        }
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + HEARTBEAT_INTERVAL;
            self.send_report(true);
            self.update_membership();
        } else if self.report_due.is_some_and(|due| now >= due) {
            self.send_report(false);
        }
        if now >= self.connect_due {
            self.connect_due = now + CONNECT_RETRY_INTERVAL;
            self.connect_to_targets();
            self.request_unknown_members();
        }
        let reports = self.domain_batch.take_due(now);
        self.send_reports(&self.topology.domain_peers, &reports);
        let reports = self.relay_batch.take_due(now);
        self.send_reports(&self.topology.relay_targets, &reports);
    }

    /// Sends the queries that are due for the permission to use keys.
    fn check_keys(&mut self) {
        self.key_checks
            .run_due(&self.edge, &self.peers, &self.topology);
    }

    fn update_topology(&mut self) {
        self.topology_due = Instant::now() + TOPOLOGY_INTERVAL;
        let now = self.edge.clock.now();
        let mut state = self.edge.lock_state();
        self.topology = state.fleet.topology(now);
        state.update_quota_coverage(now);
    }

    /// Sends a report to the relays of the own domain, and to all candidates if it is complete.
    fn send_report(&mut self, complete: bool) {
        self.report_due = None;
        let parts = split(self.edge.take_report(self.sequence + 1, complete));
        self.sequence += parts.len() as u32;
        let to = match complete {
            true => &self.topology.candidates,
            false => &self.topology.relays,
        };
        self.send_reports(to, &parts);
        for part in parts {
            self.relay_own_domain(part);
        }
    }

    fn send_reports(&self, to: &[SocketAddr], reports: &[Report]) {
        if to.is_empty() {
            return;
        }
        for datagram in encode(reports) {
            for address in to {
                self.peers.send_datagram(*address, datagram.clone());
            }
        }
    }

    /// Sends a report of the own domain on to the domain and to the relays of the others, if this
    /// daemon is a relay.
    fn relay_own_domain(&mut self, report: Report) {
        if self.is_relayed(report.must_arrive()) {
            self.relay_batch
                .add(report.clone(), relay_delay(report.has_failures()));
            self.send_to_domain(report);
        }
    }

    /// Sends a report of another domain on to the own domain. Heartbeats of other domains may be
    /// missed longer, so the second relay leaves them to the first one.
    fn relay_other_domain(&mut self, report: Report) {
        let must_arrive = report.has_failures() || report.store.is_some();
        if self.is_relayed(must_arrive) {
            self.send_to_domain(report);
        }
    }

    /// Adds a report to the batch for the own domain. The second relay only repeats what the first
    /// one sends sooner.
    fn send_to_domain(&mut self, report: Report) {
        let is_urgent = report.has_failures() && self.topology.relay_position == Some(0);
        let delay = batch_delay(self.topology.domain_peers.len(), is_urgent);
        self.domain_batch.add(report, delay);
    }

    fn is_relayed(&self, must_arrive: bool) -> bool {
        let now = self.edge.clock.now();
        self.topology
            .relays_report(must_arrive, self.first_relay_heard_at, now)
    }

    fn handle_incoming(&mut self, received: Incoming) {
        match received {
            Incoming::Connected(to) => {
                self.send_hello(to);
                self.check_keys();
            }
            Incoming::Configuration(from, bytes) => self.handle_configuration(from, bytes),
            Incoming::Message(from, message) => self.handle_message(from, message),
        }
    }

    /// Introduces this daemon. Only relays name the other members, because each daemon is connected
    /// to one.
    fn send_hello(&self, to: SocketAddr) {
        let now = self.edge.clock.now();
        let state = self.edge.lock_state();
        let is_relay = state.fleet.relay_position(now).is_some();
        let others = state.fleet.others().filter(|_| is_relay);
        let hello = Message::Hello {
            own: state.fleet.own().clone(),
            others: others.cloned().collect(),
            has_state: state.configuration.is_some() && !state.servers.is_empty(),
        };
        drop(state);
        self.peers.send(to, vec![hello]);
    }

    fn handle_message(&mut self, from: SocketAddr, message: Message) {
        match message {
            Message::Hello {
                own,
                others,
                has_state,
            } => self.handle_hello(from, own, others, has_state),
            Message::Members(members) => {
                let new_members = self.learn_members(members, false);
                if self.topology.other_domains.contains(&from) {
                    self.announce_members(new_members, false);
                }
            }
            Message::MembersRequest => self.send_members(from),
            Message::Reports(reports) => self.handle_reports(from, reports),
            Message::Store(update) => self.handle_store_update(from, update),
            Message::ConfirmConfiguration { sequence } => {
                key_check::respond(&self.edge, &self.peers, from, sequence);
            }
            Message::ConfigurationConfirmed {
                sequence,
                version,
                digest,
                age_ms,
            } => {
                let configuration = ConfigurationId {
                    version: ConfigVersion(version),
                    digest,
                };
                let age = Duration::from_millis(age_ms.into());
                let confirmation = Confirmation { configuration, age };
                let mut state = self.edge.lock_state();
                state.key_permission.confirm(sequence, confirmation);
            }
            // The stream reader reassembles the parts.
            Message::ConfigurationPart { .. } => {}
        }
    }

    fn handle_hello(
        &mut self,
        from: SocketAddr,
        own: Member,
        others: Vec<Member>,
        has_state: bool,
    ) {
        let introduced = self.learn_members(vec![own], true);
        self.announce_members(introduced, true);
        self.learn_members(others, false);
        let now = self.edge.clock.now();
        let is_relay = self.edge.lock_state().fleet.relay_position(now).is_some();
        if !has_state && is_relay {
            let update = self.edge.full_store_update();
            self.peers.send_store_update(from, &update);
        }
    }

    /// Adds members to the fleet. Returns those that are new.
    fn learn_members(&mut self, members: Vec<Member>, direct: bool) -> Vec<Member> {
        let now = self.edge.clock.now();
        let mut state = self.edge.lock_state();
        let new_members: Vec<_> = members
            .into_iter()
            .filter(|m| state.fleet.learn(m.clone(), direct, now))
            .collect();
        drop(state);
        if new_members.is_empty() {
            return new_members;
        }
        self.update_topology();
        self.connect_due = Instant::now();
        log_discovered(&new_members);
        new_members
    }

    /// Sends new members on: to the own domain if this daemon is a relay, and to the relays of the
    /// other domains if one of them introduced itself here.
    fn announce_members(&self, members: Vec<Member>, introduced_here: bool) {
        if members.is_empty() || self.topology.relay_position.is_none() {
            return;
        }
        let message = Message::Members(members);
        let relay_targets = self.topology.relay_targets.iter();
        let other_relays = relay_targets.filter(|_| introduced_here);
        for recipient in self.topology.domain_peers.iter().chain(other_relays) {
            self.peers.send(*recipient, vec![message.clone()]);
        }
    }

    /// Asks a relay for the members if reports of unknown ones have arrived.
    fn request_unknown_members(&mut self) {
        let now = Instant::now();
        if !self.has_unknown_origins || now < self.members_request_due {
            return;
        }
        self.has_unknown_origins = false;
        self.members_request_due = now + MEMBERS_REQUEST_INTERVAL;
        if let Some(relay) = self.topology.candidates.first() {
            self.peers.send(*relay, vec![Message::MembersRequest]);
        }
    }

    fn send_members(&self, to: SocketAddr) {
        let state = self.edge.lock_state();
        let own = std::iter::once(state.fleet.own());
        let members = own.chain(state.fleet.others()).cloned().collect();
        drop(state);
        self.peers.send(to, vec![Message::Members(members)]);
    }

    fn handle_reports(&mut self, from: SocketAddr, reports: Vec<Report>) {
        let now = self.edge.clock.now();
        if self.topology.first_relay == Some(from) {
            self.first_relay_heard_at = now;
        }
        let is_relay = self.topology.relay_position.is_some();
        let from_other_domain = self.topology.other_domains.contains(&from);
        let edge = self.edge.clone();
        for report in reports {
            let domain = match edge.apply_report(&report, now) {
                ReportResult::Applied { domain } => domain,
                ReportResult::Outdated => continue,
                ReportResult::UnknownOrigin => {
                    self.has_unknown_origins = true;
                    continue;
                }
            };
            if !is_relay {
                continue;
            }
            if *domain == *edge.settings.domain {
                self.relay_own_domain(report);
            } else if from_other_domain {
                // Reports that another relay of this domain sends on have reached the domain.
                self.relay_other_domain(report);
            }
        }
    }

    /// Applies changes of the store. A relay sends those on to its domain that it gets from another
    /// domain and that are new to it.
    fn handle_store_update(&mut self, from: SocketAddr, update: StoreUpdate) {
        let new = self.edge.apply_store_update(update);
        self.send_store_update(from, new);
    }

    fn send_store_update(&self, from: SocketAddr, update: StoreUpdate) {
        let is_relay = self.topology.relay_position.is_some();
        if update.is_empty() || !is_relay || !self.topology.other_domains.contains(&from) {
            return;
        }
        for address in &self.topology.domain_peers {
            self.peers.send_store_update(*address, &update);
        }
    }

    fn handle_configuration(&mut self, from: SocketAddr, bytes: Bytes) {
        let decoded = match configuration::decode_spec(&bytes) {
            Ok(decoded) => decoded,
            Err(error) => {
                tracing::warn!(%error, "configuration: a peer sent a malformed configuration");
                return;
            }
        };
        let is_new =
            self.edge
                .install_configuration(Arc::new(decoded), Some(bytes.clone()), "peer");
        if is_new {
            self.check_keys();
            let configuration = Some(bytes);
            self.send_store_update(
                from,
                StoreUpdate {
                    configuration,
                    ..StoreUpdate::default()
                },
            );
        }
    }

    /// Clears the load of silent daemons, removes those that were silent for too long, and updates
    /// the number of daemons in the retry budget and the metrics.
    fn update_membership(&mut self) {
        let now = self.edge.clock.now();
        let edge = self.edge.clone();
        let mut state = edge.lock_state();
        let silent = state.fleet.silent_members(now);
        for key in &silent {
            state.clear_load(*key, now);
        }
        self.log_silence_changes(&state.fleet, &silent);
        let removed = state.fleet.remove_expired(now);
        for member in &removed {
            tracing::info!(
                vm = &*member.vm,
                domain = &*member.domain,
                "fleet: member removed"
            );
        }
        state.removed_members.extend(removed);
        let up = state.fleet.up_count(now);
        let known = state.fleet.others().count() + 1;
        state.budget.set_reporting_daemons(up, known, now);
        drop(state);
        self.edge.metrics.set_gauge("daemons_up", up as u64);
        self.edge.metrics.set_gauge("daemons_known", known as u64);
    }

    /// Logs which daemons became silent since the last call, and which reported again.
    fn log_silence_changes(&mut self, fleet: &Fleet, silent: &[RunKey]) {
        for key in silent.iter().filter(|k| !self.silent.contains(k)) {
            if let Some(member) = fleet.member(*key) {
                tracing::info!(
                    vm = &*member.vm,
                    domain = &*member.domain,
                    "fleet: member silent"
                );
            }
        }
        for key in self.silent.iter().filter(|k| !silent.contains(k)) {
            // A run that was replaced by a later one is no longer known.
            if let Some(member) = fleet.member(*key) {
                tracing::info!(
                    vm = &*member.vm,
                    domain = &*member.domain,
                    "fleet: member reported again"
                );
            }
        }
        self.silent = silent.to_vec();
    }

    /// Returns the daemons to which a relay needs connections for key checks only.
    fn key_check_targets(&self, now: Duration) -> Vec<Member> {
        let state = self.edge.lock_state();
        if self.topology.relay_position.is_none() || !state.key_permission.is_active() {
            return Vec::new();
        }
        let watchers = state.fleet.other_watchers(now);
        watchers.into_iter().cloned().collect()
    }

    /// Connects to the link targets that have no connection yet.
    fn connect_to_targets(&mut self) {
        let edge_now = self.edge.clock.now();
        let (own, mut link_targets) = {
            let state = self.edge.lock_state();
            (
                state.fleet.own().clone(),
                state.fleet.link_targets(edge_now),
            )
        };
        link_targets.extend(self.key_check_targets(edge_now));
        let now = Instant::now();
        for member in link_targets
            .iter()
            .filter(|m| !self.peers.has_connection(m.peer))
        {
            let targeted_since = *self.first_targeted.entry(member.peer).or_insert(now);
            let is_initiator = own.vm < member.vm || now >= targeted_since + INITIATOR_TIMEOUT;
            let last_attempt = self.last_attempts.get(&member.peer);
            if is_initiator && last_attempt.is_none_or(|at| now >= *at + CONNECT_RETRY_INTERVAL) {
                self.last_attempts.insert(member.peer, now);
                self.peers.start_connecting(member.peer);
            }
        }
        self.first_targeted
            .retain(|address, _| link_targets.iter().any(|m| m.peer == *address));
    }
}

fn log_discovered(members: &[Member]) {
    if members.len() > DISCOVERED_LOGGED_MAX {
        tracing::info!(count = members.len(), "fleet: members discovered");
        return;
    }
    for member in members {
        tracing::info!(
            vm = &*member.vm,
            domain = &*member.domain,
            started_unix_ms = member.started_unix_ms,
            "fleet: member discovered"
        );
    }
}
