//! Builds reports of this daemon and applies those of others to its state.

use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::edge::fleet::RunKey;
use corianderworks_decision::edge::load_balancer::Evidence;
use corianderworks_decision::edge::peer_load::{Report, ServerTag, StoreView};
use corianderworks_decision::edge::quota;
use corianderworks_decision::edge::servers::ServerEntry;
use corianderworks_decision::edge::suspicions::Observer;

use crate::peers::StoreUpdate;
use crate::state::{Edge, EdgeState, PendingReport};

/// What became of a report.
pub enum ReportResult {
    /// The report was applied; its origin is in this domain.
    Applied {
        /// Domain of the origin.
        domain: Arc<str>,
    },
    /// A later report of the origin was applied before, or the origin is this daemon.
    Outdated,
    /// The origin is not known.
    UnknownOrigin,
}

impl Edge {
    /// Builds a report of the changes since the last one, or of the complete load, and clears
    /// the changes.
    pub fn take_report(&self, sequence: u32, complete: bool) -> Report {
        let status = self.status();
        let mut state = self.lock_state();
        state.fleet.set_own_status(status);
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
        let quotas = state.quotas.take_counts();
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
            quotas,
        }
    }

    /// Applies a report of another daemon.
    pub fn apply_report(&self, report: &Report, now: Duration) -> ReportResult {
        let mut state = self.lock_state();
        let Some(domain) = state.fleet.member(report.origin).map(|m| m.domain.clone()) else {
            return match state.fleet.own().key() == report.origin {
                true => ReportResult::Outdated,
                false => ReportResult::UnknownOrigin,
            };
        };
        if !state.peer_load.accept_sequence(report) {
            return ReportResult::Outdated;
        }
        let reported_recently =
            state
                .fleet
                .has_reported_within(report.origin, quota::SILENT_AFTER, now);
        state.fleet.record_report(report.origin, report.status, now);
        for (tag, evidence) in &report.evidence {
            state.observe_tag(*tag, *evidence, now);
        }
        state.apply_leaving(&report.leaving);
        let changed = state.peer_load.apply(report);
        state.update_peer_in_flight(&changed, now);
        for (tag, counts) in &report.counts {
            state.budget.apply_counts(report.origin, *tag, *counts, now);
        }
        state
            .quotas
            .apply_counts(report.origin, &report.quotas, !reported_recently, now);
        if let Some(view) = report.store {
            state.record_store_view(view, now);
        }
        ReportResult::Applied { domain }
    }

    /// Applies changes sent by another daemon, and returns those that were new.
    pub fn apply_store_update(&self, mut update: StoreUpdate) -> StoreUpdate {
        update
            .entries
            .retain(|entry| self.apply_entry(entry.clone(), "peer"));
        update
            .removed
            .retain(|removal| self.remove_entry(removal, "peer"));
        let mut state = self.lock_state();
        state.apply_leaving(&update.leaving);
        update.leaving.clear();
        if let Some(view) = update.view.take() {
            state.record_store_view(view, self.clock.now());
        }
        drop(state);
        update
    }

    /// Returns all backend servers and the configuration, for a daemon that has neither.
    pub fn full_store_update(&self) -> StoreUpdate {
        let now = self.clock.now();
        let state = self.lock_state();
        let max_age = self.settings.apply_timeout / 4;
        StoreUpdate {
            entries: state.servers.entries().cloned().collect(),
            removed: Vec::new(),
            leaving: state.servers.leaving().map(ServerEntry::tag).collect(),
            view: state.reported_store_view.recent(now, max_age),
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

    pub(crate) fn clear_load(&mut self, key: RunKey, now: Duration) {
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
            self.count_evidence(key, evidence, Observer::Peer, now);
        }
    }

    /// Applies what other daemons heard from servers that are shutting down.
    fn apply_leaving(&mut self, tags: &[ServerTag]) {
        for tag in tags {
            if let Some(key) = self.servers.key_of_run(*tag) {
                self.record_leaving(key, "peer");
            }
        }
    }

    fn record_store_view(&mut self, view: StoreView, now: Duration) {
        self.servers.store_responded(now);
        if view.servers_digest.is_some() {
            self.store_reads.servers = Some(now);
        }
        if view.configuration.is_some() {
            self.store_reads.configuration = Some(now);
        }
        self.reported_store_view.record(view, now);
    }
}
