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
use corianderworks_platform::configuration;
use corianderworks_wire::codec;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::peers::{DATAGRAM_MAX_BYTES, Incoming, Message, Peers, StoreNews, store_messages};
use crate::state::{Beliefs, Edge, Life, Outbox};

/// Most reports in one datagram.
const REPORTS_PER_DATAGRAM: usize = 12;
/// Pause between attempts to set up a connection to a peer.
const LINK_RETRY: Duration = Duration::from_millis(250);
/// Time that the peer with the lower name has to set up the connection.
const LINK_PATIENCE: Duration = Duration::from_millis(250);

/// Runs until the daemon ends.
pub async fn run(edge: Arc<Edge>, peers: Arc<Peers>, incoming: mpsc::UnboundedReceiver<Incoming>) {
    let now = Instant::now();
    let mut news = News {
        edge,
        peers,
        sequence: 0,
        relayed: Vec::new(),
        report_due: None,
        relay_due: None,
        heartbeat_due: now,
        links_due: now,
        dialed: HashMap::new(),
        first_wanted: HashMap::new(),
        silent: Vec::new(),
    };
    news.run(incoming).await;
}

struct News {
    edge: Arc<Edge>,
    peers: Arc<Peers>,
    sequence: u32,
    /// Reports that wait to be passed to other domains.
    relayed: Vec<Report>,
    report_due: Option<Instant>,
    relay_due: Option<Instant>,
    heartbeat_due: Instant,
    links_due: Instant,
    dialed: HashMap<SocketAddr, Instant>,
    first_wanted: HashMap<SocketAddr, Instant>,
    /// Daemons that were silent at the last heartbeat.
    silent: Vec<RunKey>,
}

impl News {
    async fn run(&mut self, mut incoming: mpsc::UnboundedReceiver<Incoming>) {
        let edge = self.edge.clone();
        loop {
            let due = [self.report_due, self.relay_due].into_iter().flatten();
            let due = due.min().unwrap_or(self.heartbeat_due);
            let due = due.min(self.heartbeat_due).min(self.links_due);
            tokio::select! {
                arrived = incoming.recv() => match arrived {
                    Some(arrived) => self.arrived(arrived),
                    None => return,
                },
                () = edge.news.notified() => self.plan_report(),
                () = sleep_until(due) => self.due(),
            }
        }
    }

    /// Sets when the changes so far are reported.
    fn plan_report(&mut self) {
        let due = Instant::now() + report_delay(self.edge.beliefs().outbox.tells_of_failures());
        self.report_due = Some(self.report_due.map_or(due, |at| at.min(due)));
    }

    fn due(&mut self) {
        let now = Instant::now();
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + HEARTBEAT_INTERVAL;
            self.report(true);
            self.forget_silent();
        } else if self.report_due.is_some_and(|due| now >= due) {
            self.report(false);
        }
        if now >= self.links_due {
            self.links_due = now + LINK_RETRY;
            self.set_up_links();
        }
        if self.relay_due.is_some_and(|due| now >= due) {
            self.pass_on();
        }
    }

    /// Sends a report to the own domain, and to other domains if this is a relay.
    fn report(&mut self, complete: bool) {
        self.report_due = None;
        self.sequence += 1;
        let report = self.edge.take_report(self.sequence, complete);
        self.send_to_neighbours(std::slice::from_ref(&report));
        self.relay(report);
    }

    fn send_to_neighbours(&self, reports: &[Report]) {
        let addresses = self.edge.neighbour_addresses();
        self.send_reports(&addresses, reports);
    }

    fn send_reports(&self, to: &[SocketAddr], reports: &[Report]) {
        for datagram in datagrams(reports) {
            for address in to {
                self.peers.send_datagram(*address, datagram.clone());
            }
        }
    }

    /// Keeps a report for other domains, if this is a relay. The second relay stands in for
    /// the first one, so it passes on only what must not be lost with it.
    fn relay(&mut self, report: Report) {
        let now = self.edge.clock.now();
        let urgent = report.has_failures();
        let wanted = match self.edge.beliefs().fleet.relay_position(now) {
            Some(0) => true,
            Some(_) => urgent || report.complete,
            None => false,
        };
        if !wanted {
            return;
        }
        self.relayed.push(report);
        let due = Instant::now() + relay_delay(urgent);
        self.relay_due = Some(self.relay_due.map_or(due, |at| at.min(due)));
    }

    fn pass_on(&mut self) {
        self.relay_due = None;
        let now = self.edge.clock.now();
        let reports = std::mem::take(&mut self.relayed);
        let targets = self.edge.beliefs().fleet.relay_targets(now);
        let addresses: Vec<_> = targets.iter().map(|m| m.peer).collect();
        self.send_reports(&addresses, &reports);
    }

    fn arrived(&mut self, arrived: Incoming) {
        match arrived {
            Incoming::Linked(to) => self.greet(to),
            Incoming::Configuration(bytes) => self.configuration(&bytes),
            Incoming::Message(from, message) => self.message(from, message),
        }
    }

    fn greet(&self, to: SocketAddr) {
        let beliefs = self.edge.beliefs();
        let hello = Message::Hello {
            own: beliefs.fleet.own().clone(),
            others: beliefs.fleet.others().cloned().collect(),
            has_configuration: beliefs.configuration.is_some(),
        };
        drop(beliefs);
        self.peers.send(to, vec![hello]);
    }

    fn message(&mut self, from: SocketAddr, message: Message) {
        match message {
            Message::Hello {
                own,
                others,
                has_configuration,
            } => self.hello(from, own, others, has_configuration),
            Message::Members(members) => self.learn(members, false),
            Message::Reports(reports) => self.reports(from, reports),
            Message::Store(news) => self.edge.apply_store_news(news),
            // Parts are put together by the reader of their stream.
            Message::ConfigurationPart { .. } => {}
        }
    }

    fn hello(&mut self, from: SocketAddr, own: Member, others: Vec<Member>, has: bool) {
        let same_domain = own.domain == self.edge.beliefs().fleet.own().domain;
        self.learn(vec![own], true);
        self.learn(others, false);
        let now = self.edge.clock.now();
        let is_relay = self.edge.beliefs().fleet.relay_position(now).is_some();
        if !has && same_domain && is_relay {
            let news = self.edge.whole_store_news();
            self.peers.send(from, store_messages(&news));
        }
    }

    /// Learns of members and tells the others of those that are new.
    fn learn(&mut self, members: Vec<Member>, direct: bool) {
        let now = self.edge.clock.now();
        let mut beliefs = self.edge.beliefs();
        let fresh: Vec<_> = members
            .into_iter()
            .filter(|m| beliefs.fleet.learn(m.clone(), direct, now))
            .collect();
        let links = beliefs.fleet.link_targets(now);
        drop(beliefs);
        if fresh.is_empty() {
            return;
        }
        for member in &fresh {
            tracing::info!(
                vm = &*member.vm,
                domain = &*member.domain,
                started_unix_ms = member.started_unix_ms,
                "fleet: member learned"
            );
        }
        self.links_due = Instant::now();
        for link in links {
            self.peers
                .send(link.peer, vec![Message::Members(fresh.clone())]);
        }
    }

    fn reports(&mut self, from: SocketAddr, reports: Vec<Report>) {
        let now = self.edge.clock.now();
        let own_domain = self.edge.beliefs().fleet.own().domain.clone();
        let mut from_outside = Vec::new();
        for report in reports {
            let Some(domain) = self.edge.apply_report(&report, now) else {
                continue;
            };
            if domain == own_domain {
                self.relay(report);
            } else {
                from_outside.push(report);
            }
        }
        // Only a report that came straight from another domain is passed to the own one.
        let sender_outside = {
            let beliefs = self.edge.beliefs();
            beliefs
                .fleet
                .others()
                .any(|m| m.peer == from && m.domain != own_domain)
        };
        if sender_outside && !from_outside.is_empty() {
            self.send_to_neighbours(&from_outside);
        }
    }

    fn configuration(&self, bytes: &Bytes) {
        match configuration::decode_spec(bytes) {
            Ok(next) => self
                .edge
                .offer_configuration(Arc::new(next), Some(bytes.clone()), "peer"),
            Err(error) => tracing::warn!(%error, "configuration: unreadable from a peer"),
        }
    }

    fn forget_silent(&mut self) {
        let now = self.edge.clock.now();
        let edge = self.edge.clone();
        let mut beliefs = edge.beliefs();
        let silent = beliefs.fleet.silent_members(now);
        for key in &silent {
            beliefs.forget_load(*key, now);
        }
        self.log_silent(&beliefs.fleet, &silent);
        let removed = beliefs.fleet.remove_expired(now);
        for member in &removed {
            tracing::info!(
                vm = &*member.vm,
                domain = &*member.domain,
                "fleet: member removed"
            );
        }
        beliefs.removed.extend(removed);
        let size = beliefs.fleet.up_count(now);
        let known = beliefs.fleet.others().count() + 1;
        beliefs.budget.set_heard_daemons(size, known);
        drop(beliefs);
        self.edge.metrics.set_gauge("daemons_up", size as u64);
        self.edge.metrics.set_gauge("daemons_known", known as u64);
    }

    /// Logs which daemons became silent since the last call, and which are heard again.
    fn log_silent(&mut self, fleet: &Fleet, silent: &[RunKey]) {
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
            // The record of a run that was replaced by a later one is gone.
            if let Some(member) = fleet.member(*key) {
                tracing::info!(
                    vm = &*member.vm,
                    domain = &*member.domain,
                    "fleet: member heard again"
                );
            }
        }
        self.silent = silent.to_vec();
    }

    fn set_up_links(&mut self) {
        let clock = self.edge.clock.now();
        let (own, wanted) = {
            let beliefs = self.edge.beliefs();
            (
                beliefs.fleet.own().clone(),
                beliefs.fleet.link_targets(clock),
            )
        };
        let now = Instant::now();
        for member in wanted.iter().filter(|m| !self.peers.is_linked(m.peer)) {
            let wanted_since = *self.first_wanted.entry(member.peer).or_insert(now);
            let mine = own.vm < member.vm || now >= wanted_since + LINK_PATIENCE;
            let dialed = self.dialed.get(&member.peer);
            if mine && dialed.is_none_or(|at| now >= *at + LINK_RETRY) {
                self.dialed.insert(member.peer, now);
                self.peers.link(member.peer);
            }
        }
        self.first_wanted
            .retain(|address, _| wanted.iter().any(|m| m.peer == *address));
    }
}

/// Encodes reports into datagrams.
fn datagrams(reports: &[Report]) -> Vec<Bytes> {
    let mut out = Vec::new();
    for part in reports.chunks(REPORTS_PER_DATAGRAM) {
        match codec::encode(&Message::Reports(part.to_vec())) {
            Ok(bytes) if bytes.len() <= DATAGRAM_MAX_BYTES => out.push(bytes),
            Ok(_) if part.len() > 1 => {
                let (first, second) = part.split_at(part.len() / 2);
                out.extend(datagrams(first));
                out.extend(datagrams(second));
            }
            Ok(bytes) => tracing::debug!(bytes = bytes.len(), "news: report too long"),
            Err(error) => tracing::error!(%error, "news: report not encoded"),
        }
    }
    out
}

impl Edge {
    /// Builds a report of what changed, or of everything.
    pub fn take_report(&self, sequence: u32, complete: bool) -> Report {
        let status = match self.life() {
            Life::Stopping(_) => DaemonStatus::Leaving,
            Life::Serving if self.is_ready() => DaemonStatus::Ready,
            Life::Serving => DaemonStatus::NotReady,
        };
        let mut beliefs = self.beliefs();
        let Outbox {
            evidence,
            changed,
            store,
        } = std::mem::take(&mut beliefs.outbox);
        let tags: Vec<ServerTag> = match complete {
            true => beliefs.servers.entries().map(|e| e.tag()).collect(),
            false => changed,
        };
        let counts = beliefs.budget.take_counts(complete, self.clock.now());
        let load = |tag: ServerTag| {
            let key = beliefs.servers.key_of_tag(tag);
            let load = key.map_or(0, |key| beliefs.load_balancer.own_in_flight(key));
            (tag, u16::try_from(load).unwrap_or(u16::MAX))
        };
        let mut in_flight: Vec<_> = tags.into_iter().map(load).collect();
        if complete {
            in_flight.retain(|(_, load)| *load > 0);
        }
        Report {
            origin: beliefs.fleet.own().key(),
            sequence,
            status,
            complete,
            in_flight,
            evidence,
            counts,
            store,
        }
    }

    /// Applies a report. Returns the domain of its origin if the report is new.
    pub fn apply_report(&self, report: &Report, now: Duration) -> Option<Arc<str>> {
        let mut beliefs = self.beliefs();
        let domain = beliefs.fleet.member(report.origin)?.domain.clone();
        if !beliefs.peer_load.accept_sequence(report) {
            return None;
        }
        beliefs
            .fleet
            .record_report(report.origin, report.status, now);
        let changed = beliefs.peer_load.apply(report);
        beliefs.update_totals(&changed, now);
        for (tag, evidence) in &report.evidence {
            beliefs.observe_tag(*tag, *evidence, now);
        }
        for (tag, counts) in &report.counts {
            beliefs
                .budget
                .apply_counts(report.origin, *tag, *counts, now);
        }
        if let Some(view) = report.store {
            beliefs.hear_store_view(view, now);
        }
        Some(domain)
    }

    /// Applies news of the store from the daemon that watches it.
    pub fn apply_store_news(&self, news: StoreNews) {
        for entry in news.entries {
            self.apply_entry(entry, "peer");
        }
        for (id, grace_ms) in news.vanished {
            self.apply_vanished(&id, Duration::from_millis(grace_ms), "peer");
        }
    }

    /// Returns everything that is known from the store.
    pub fn whole_store_news(&self) -> StoreNews {
        let beliefs = self.beliefs();
        StoreNews {
            entries: beliefs.servers.entries().cloned().collect(),
            vanished: Vec::new(),
            configuration: beliefs.configuration_bytes.clone(),
        }
    }
}

impl Beliefs {
    fn update_totals(&mut self, changed: &[ServerTag], now: Duration) {
        for tag in changed {
            if let Some(key) = self.servers.key_of_tag(*tag) {
                let total = self.peer_load.total_in_flight(*tag);
                self.load_balancer.set_peer_in_flight(key, total, now);
            }
        }
    }

    fn forget_load(&mut self, key: RunKey, now: Duration) {
        let changed = self.peer_load.clear(key);
        self.update_totals(&changed, now);
    }

    fn observe_tag(&mut self, tag: ServerTag, evidence: Evidence, now: Duration) {
        let Some(key) = self.servers.key_of_tag(tag) else {
            return;
        };
        if let Some(server) = self.servers.get(key) {
            self.load_balancer.observe((key, server), evidence, now);
        }
    }

    fn hear_store_view(&mut self, view: StoreView, now: Duration) {
        self.servers.set_store_reachable(true, now);
        self.heard_store_view = Some((view, now));
    }
}
