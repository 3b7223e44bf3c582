//! Exchanges load, evidence and membership with the other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::edge::fleet::{
    DaemonStatus, Fleet, HEARTBEAT_INTERVAL, Member, RunKey,
};
use corianderworks_decision::edge::load_balancer::Evidence;
use corianderworks_decision::edge::peer_load::{
    Report, ServerTag, StoreView, relay_delay, report_delay,
};
use corianderworks_decision::edge::servers::{Announcement, ServerEntry};
use corianderworks_platform::configuration;
use corianderworks_wire::codec;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::peers::{DATAGRAM_MAX_BYTES, Incoming, Message, Peers, StoreUpdate, store_messages};
use crate::state::{Edge, EdgeState, Lifecycle, PendingReport};

/// Largest number of reports in one datagram.
const REPORTS_PER_DATAGRAM: usize = 12;
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
        pending_relays: Vec::new(),
        report_due: None,
        relay_due: None,
        heartbeat_due: now,
        connect_due: now,
        last_attempts: HashMap::new(),
        first_targeted: HashMap::new(),
        silent: Vec::new(),
    };
    peer_sync.run(incoming).await;
}

struct PeerSync {
    edge: Arc<Edge>,
    peers: Arc<Peers>,
    sequence: u32,
    /// Reports that wait to be relayed to other domains.
    pending_relays: Vec<Report>,
    /// When the next report of changes is sent; `None` if nothing changed.
    report_due: Option<Instant>,
    /// When `pending_relays` are sent; `None` if there are none.
    relay_due: Option<Instant>,
    heartbeat_due: Instant,
    connect_due: Instant,
    /// Time of the last connection attempt to each peer.
    last_attempts: HashMap<SocketAddr, Instant>,
    /// Since when each peer has been a link target.
    first_targeted: HashMap<SocketAddr, Instant>,
    /// Daemons that were silent at the last heartbeat.
    silent: Vec<RunKey>,
}

impl PeerSync {
    async fn run(&mut self, mut incoming: mpsc::UnboundedReceiver<Incoming>) {
        let edge = self.edge.clone();
        loop {
            let due = [self.report_due, self.relay_due].into_iter().flatten();
            let due = due.min().unwrap_or(self.heartbeat_due);
            let due = due.min(self.heartbeat_due).min(self.connect_due);
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
        }
        if self.relay_due.is_some_and(|due| now >= due) {
            self.flush_relays();
        }
    }

    /// Sends a report to the own domain, and queues it for other domains if this daemon is a
    /// relay.
    fn send_report(&mut self, complete: bool) {
        self.report_due = None;
        self.sequence += 1;
        let report = self.edge.take_report(self.sequence, complete);
        self.send_to_domain(std::slice::from_ref(&report));
        self.queue_relay(report);
    }

    fn send_to_domain(&self, reports: &[Report]) {
        let addresses = self.edge.domain_peer_addresses();
        self.send_reports(&addresses, reports);
    }

    fn send_reports(&self, to: &[SocketAddr], reports: &[Report]) {
        for datagram in datagrams(reports) {
            for address in to {
                self.peers.send_datagram(*address, datagram.clone());
            }
        }
    }

    /// Queues a report for other domains if this daemon is a relay. The second relay is the
    /// backup of the first one, so it only relays reports that must not be lost if the first
    /// one fails.
    fn queue_relay(&mut self, report: Report) {
        let now = self.edge.clock.now();
        let urgent = report.has_failures();
        let should_relay = match self.edge.lock_state().fleet.relay_position(now) {
            Some(0) => true,
            Some(_) => urgent || report.complete,
            None => false,
        };
        if !should_relay {
            return;
        }
        self.pending_relays.push(report);
        let due = Instant::now() + relay_delay(urgent);
        self.relay_due = Some(self.relay_due.map_or(due, |at| at.min(due)));
    }

    fn flush_relays(&mut self) {
        self.relay_due = None;
        let now = self.edge.clock.now();
        let reports = std::mem::take(&mut self.pending_relays);
        let targets = self.edge.lock_state().fleet.relay_targets(now);
        let addresses: Vec<_> = targets.iter().map(|m| m.peer).collect();
        self.send_reports(&addresses, &reports);
    }

    fn handle_incoming(&mut self, received: Incoming) {
        match received {
            Incoming::Connected(to) => self.send_hello(to),
            Incoming::Configuration(bytes) => self.handle_configuration(&bytes),
            Incoming::Message(from, message) => self.handle_message(from, message),
        }
    }

    fn send_hello(&self, to: SocketAddr) {
        let state = self.edge.lock_state();
        let hello = Message::Hello {
            own: state.fleet.own().clone(),
            others: state.fleet.others().cloned().collect(),
            has_configuration: state.configuration.is_some(),
        };
        drop(state);
        self.peers.send(to, vec![hello]);
    }

    fn handle_message(&mut self, from: SocketAddr, message: Message) {
        match message {
            Message::Hello {
                own,
                others,
                has_configuration,
            } => self.handle_hello(from, own, others, has_configuration),
            Message::Members(members) => self.learn_members(members, false),
            Message::Reports(reports) => self.handle_reports(from, reports),
            Message::Store(update) => self.edge.apply_store_update(update),
            // The stream reader reassembles the parts.
            Message::ConfigurationPart { .. } => {}
        }
    }

    fn handle_hello(
        &mut self,
        from: SocketAddr,
        own: Member,
        others: Vec<Member>,
        has_configuration: bool,
    ) {
        let same_domain = own.domain == self.edge.lock_state().fleet.own().domain;
        self.learn_members(vec![own], true);
        self.learn_members(others, false);
        let now = self.edge.clock.now();
        let is_relay = self.edge.lock_state().fleet.relay_position(now).is_some();
        if !has_configuration && same_domain && is_relay {
            let update = self.edge.full_store_update();
            self.peers.send(from, store_messages(&update));
        }
    }

    /// Adds members to the fleet and sends those that are new to all link targets.
    fn learn_members(&mut self, members: Vec<Member>, direct: bool) {
        let now = self.edge.clock.now();
        let mut state = self.edge.lock_state();
        let new_members: Vec<_> = members
            .into_iter()
            .filter(|m| state.fleet.learn(m.clone(), direct, now))
            .collect();
        let recipients = state.fleet.link_targets(now);
        drop(state);
        if new_members.is_empty() {
            return;
        }
        for member in &new_members {
            tracing::info!(
                vm = &*member.vm,
                domain = &*member.domain,
                started_unix_ms = member.started_unix_ms,
                "fleet: member discovered"
            );
        }
        self.connect_due = Instant::now();
        for recipient in recipients {
            self.peers
                .send(recipient.peer, vec![Message::Members(new_members.clone())]);
        }
    }

    fn handle_reports(&mut self, from: SocketAddr, reports: Vec<Report>) {
        let now = self.edge.clock.now();
        let own_domain = self.edge.lock_state().fleet.own().domain.clone();
        let mut other_domain_reports = Vec::new();
        for report in reports {
            let Some(domain) = self.edge.apply_report(&report, now) else {
                continue;
            };
            if domain == own_domain {
                self.queue_relay(report);
            } else {
                other_domain_reports.push(report);
            }
        }
        // Reports of other domains are forwarded to the own domain only if the sender is in
        // another domain itself.
        let is_other_domain_sender = {
            let state = self.edge.lock_state();
            state
                .fleet
                .others()
                .any(|m| m.peer == from && m.domain != own_domain)
        };
        if is_other_domain_sender && !other_domain_reports.is_empty() {
            self.send_to_domain(&other_domain_reports);
        }
    }

    fn handle_configuration(&self, bytes: &Bytes) {
        match configuration::decode_spec(bytes) {
            Ok(decoded) => {
                self.edge
                    .install_configuration(Arc::new(decoded), Some(bytes.clone()), "peer")
            }
            Err(error) => {
                tracing::warn!(%error, "configuration: a peer sent a malformed configuration")
            }
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
        state.budget.set_reporting_daemons(up, known);
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

    /// Connects to the link targets that have no connection yet.
    fn connect_to_targets(&mut self) {
        let edge_now = self.edge.clock.now();
        let (own, link_targets) = {
            let state = self.edge.lock_state();
            (
                state.fleet.own().clone(),
                state.fleet.link_targets(edge_now),
            )
        };
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

/// Encodes reports into datagrams and halves batches that are too long for one. A single report
/// that is too long is dropped.
fn datagrams(reports: &[Report]) -> Vec<Bytes> {
    let mut encoded = Vec::new();
    for part in reports.chunks(REPORTS_PER_DATAGRAM) {
        match codec::encode(&Message::Reports(part.to_vec())) {
            Ok(bytes) if bytes.len() <= DATAGRAM_MAX_BYTES => encoded.push(bytes),
            Ok(_) if part.len() > 1 => {
                let (first, second) = part.split_at(part.len() / 2);
                encoded.extend(datagrams(first));
                encoded.extend(datagrams(second));
            }
            Ok(bytes) => {
                tracing::debug!(bytes = bytes.len(), "news: report too long for a datagram")
            }
            Err(error) => tracing::error!(%error, "news: cannot encode a report"),
        }
    }
    encoded
}

impl Edge {
    /// Builds a report of the changes since the last one, or of the complete load, and clears
    /// the changes.
    pub fn take_report(&self, sequence: u32, complete: bool) -> Report {
        let status = match self.lifecycle() {
            Lifecycle::Stopping(_) => DaemonStatus::Leaving,
            Lifecycle::Serving if self.is_ready() => DaemonStatus::Ready,
            Lifecycle::Serving => DaemonStatus::NotReady,
        };
        let mut state = self.lock_state();
        let PendingReport {
            evidence,
            changed,
            leaving,
            store,
        } = std::mem::take(&mut state.pending_report);
        let tags: Vec<ServerTag> = match complete {
            true => state.servers.entries().map(|e| e.tag()).collect(),
            false => changed,
        };
        let leaving = match complete {
            true => state.servers.leaving().map(ServerEntry::tag).collect(),
            false => leaving,
        };
        let counts = state.budget.take_counts(complete, self.clock.now());
        let load = |tag: ServerTag| {
            let key = state.servers.key_of_tag(tag);
            let load = key.map_or(0, |key| state.load_balancer.own_in_flight(key));
            (tag, u16::try_from(load).unwrap_or(u16::MAX))
        };
        let mut in_flight: Vec<_> = tags.into_iter().map(load).collect();
        if complete {
            in_flight.retain(|(_, load)| *load > 0);
        }
        Report {
            origin: state.fleet.own().key(),
            sequence,
            status,
            complete,
            in_flight,
            evidence,
            leaving,
            counts,
            store,
        }
    }

    /// Applies a report. Returns the domain of its origin, or `None` if the origin is unknown or
    /// the report isn't newer than the last one.
    pub fn apply_report(&self, report: &Report, now: Duration) -> Option<Arc<str>> {
        let mut state = self.lock_state();
        let domain = state.fleet.member(report.origin)?.domain.clone();
        if !state.peer_load.accept_sequence(report) {
            return None;
        }
        state.fleet.record_report(report.origin, report.status, now);
        for (tag, evidence) in &report.evidence {
            state.observe_tag(*tag, *evidence, now);
        }
        state.record_leaving(&report.leaving);
        let changed = state.peer_load.apply(report);
        state.update_peer_in_flight(&changed, now);
        for (tag, counts) in &report.counts {
            state.budget.apply_counts(report.origin, *tag, *counts, now);
        }
        if let Some(view) = report.store {
            state.record_store_view(view, now);
        }
        Some(domain)
    }

    /// Applies changes sent by a daemon that watches the store.
    pub fn apply_store_update(&self, update: StoreUpdate) {
        for entry in update.entries {
            self.apply_entry(entry, "peer");
        }
        for removal in &update.removed {
            self.remove_entry(removal, "peer");
        }
        self.lock_state().record_leaving(&update.leaving);
    }

    /// Returns all backend servers and the configuration, for a daemon that has neither.
    pub fn full_store_update(&self) -> StoreUpdate {
        let state = self.lock_state();
        StoreUpdate {
            entries: state.servers.entries().cloned().collect(),
            removed: Vec::new(),
            leaving: state.servers.leaving().map(ServerEntry::tag).collect(),
            configuration: state.configuration_bytes.clone(),
        }
    }
}

impl EdgeState {
    fn update_peer_in_flight(&mut self, changed: &[ServerTag], now: Duration) {
        for tag in changed {
            if let Some(key) = self.servers.key_of_tag(*tag) {
                let total = self.peer_load.total_in_flight(*tag);
                self.load_balancer.set_peer_in_flight(key, total, now);
            }
        }
    }

    fn clear_load(&mut self, key: RunKey, now: Duration) {
        let changed = self.peer_load.clear(key);
        self.update_peer_in_flight(&changed, now);
    }

    fn observe_tag(&mut self, tag: ServerTag, evidence: Evidence, now: Duration) {
        let Some(key) = self.servers.key_of_tag(tag) else {
            return;
        };
        if let Some(server) = self.servers.get(key) {
            self.load_balancer
                .observe_reported((key, server), evidence, now);
        }
    }

    /// Applies what other daemons heard from servers that are shutting down.
    fn record_leaving(&mut self, tags: &[ServerTag]) {
        for tag in tags {
            let Some(key) = self.servers.key_of_tag(*tag) else {
                continue;
            };
            if self.servers.announce(key, Announcement::Leaving)
                && let Some(server) = self.servers.get(key)
            {
                let entry = &server.entry;
                tracing::info!(
                    server = &*entry.id,
                    service = &*entry.service,
                    source = "peer",
                    "servers: leaving"
                );
            }
        }
    }

    fn record_store_view(&mut self, view: StoreView, now: Duration) {
        self.servers.set_store_reachable(true, now);
        self.reported_store_view = Some((view, now));
    }
}
