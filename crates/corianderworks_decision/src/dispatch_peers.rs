//! Exchange of health evidence and ejection announcements with the other homes of the service.

use std::time::Duration;

use crate::assessment::PeerEvidence;
use crate::dispatch_types::*;
use crate::dispatcher::{Dispatcher, PeerReport, Trial, Upstream};
use crate::health::ELEVATED_SHARE;
use crate::ids::{DaemonKey, UpstreamKey};

/// Interval of complete reports; upstreams with failures or in trial are reported at every call.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl Dispatcher {
    /// Builds the report to send to all other homes, `None` when none is due; called at each tick.
    pub fn evidence(&mut self, now: Duration) -> Option<EvidenceReport> {
        let full = self
            .reported_at
            .is_none_or(|at| now >= at + REPORT_INTERVAL);
        let urgent = |u: &Upstream| {
            let limit = self.ejection_policy.threshold * ELEVATED_SHARE;
            // The other owner needs this home's view to distinguish a path fault from a server
            // fault, so both owners report when either sees failures.
            let affected = |score: f64, held_back: f64| score + held_back >= limit;
            let mut reports = u.peer_reports.values().map(|report| report.view);
            let peer_affected = reports.any(|view| affected(view.score, view.held_back));
            let own = affected(u.health.score(), u.health.held_back());
            u.standing == Standing::Trial || own || peer_affected
        };
        let upstreams: Vec<UpstreamEvidence> = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.slots.limit() > 0 && (full || urgent(u)))
            .map(|(key, entry)| self.report(now, *key, entry))
            .collect();
        if full {
            self.reported_at = Some(now);
        } else if upstreams.is_empty() {
            return None;
        }
        Some(EvidenceReport {
            from: self.own_run,
            stamp: now,
            upstreams,
        })
    }

    fn report(&self, now: Duration, upstream: UpstreamKey, entry: &Upstream) -> UpstreamEvidence {
        let health = &entry.health;
        let to_milli = |sum: f64| (sum * 1000.0 / self.ejection_policy.threshold) as u32;
        let age = |at: Duration| millis(now.saturating_sub(at));
        UpstreamEvidence {
            upstream,
            score_milli: to_milli(health.score()),
            held_back_milli: to_milli(health.held_back()),
            failures: health.failures(),
            stuck: health.stuck(),
            failing_for_ms: health.first_failure().map(age),
            success_age_ms: health.last_success().map(age),
            slow_age_ms: health.last_slow().map(age),
            elevated: health.elevated(now),
            trials_passed: entry.trial.passed,
            trial_failed: entry.trial.failed,
        }
    }

    /// Records another home's evidence and re-evaluates the upstreams that both homes own.
    pub fn peer_evidence(
        &mut self,
        now: Duration,
        from: DaemonKey,
        report: EvidenceReport,
    ) -> Vec<Action> {
        self.held_permits.stamp(report.from, report.stamp);
        let threshold = self.ejection_policy.threshold;
        let ago = |age: u32| now.saturating_sub(Duration::from_millis(u64::from(age)));
        let mut actions = Vec::new();
        for evidence in report.upstreams {
            let Some(entry) = self.upstreams.get_mut(&evidence.upstream) else {
                continue;
            };
            let view = PeerEvidence {
                received_at: now,
                score: f64::from(evidence.score_milli) * threshold / 1000.0,
                held_back: f64::from(evidence.held_back_milli) * threshold / 1000.0,
                failures: evidence.failures,
                stuck: evidence.stuck,
                first_failure: evidence.failing_for_ms.map(ago),
                last_success: evidence.success_age_ms.map(ago),
                last_slow: evidence.slow_age_ms.map(ago),
            };
            let trial = Trial {
                running: false,
                passed: evidence.trials_passed,
                failed: evidence.trial_failed,
            };
            let peer = PeerReport {
                view,
                elevated: evidence.elevated,
                trial,
            };
            entry.peer_reports.insert(from, peer);
            if entry.view.co_owner == Some(from) {
                self.evaluate(now, evidence.upstream, &mut actions);
            }
        }
        actions
    }

    /// Appends the due announcements of held permits to `actions`.
    pub(crate) fn announce(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let announcements_due = self.held_permits.announcements_due(now, self.own_run);
        actions.extend(announcements_due.into_iter().map(Action::Announce));
    }

    /// Records another home's announcement of a permit and updates the standings it affects.
    pub fn announcement(&mut self, now: Duration, announcement: Announcement) -> Vec<Action> {
        if announcement.holder.daemon == self.own_run.daemon {
            return Vec::new();
        }
        self.announced_ejections
            .record(now, self.own_run, &announcement);
        let mut actions = self.refresh_standings(now);
        self.advance_ejections(now, &mut actions);
        self.place_queued(now, &mut actions);
        actions
    }

    /// Handles another home's request to eject an upstream; a grant is returned as
    /// `Action::Announce`.
    ///
    /// Declined when this home's own recent requests to the upstream succeeded.
    pub fn eject_request(
        &mut self,
        now: Duration,
        _from: DaemonKey,
        upstream: UpstreamKey,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let threshold = self.ejection_policy.threshold;
        let Some(entry) = self.upstreams.get(&upstream) else {
            return actions;
        };
        let ejected = self.current_ejection(now, upstream).is_some();
        if !ejected && entry.routable() && !Self::recently_succeeded(entry, now, threshold) {
            self.apply_permit(now, upstream, &mut actions);
        }
        actions
    }
}
