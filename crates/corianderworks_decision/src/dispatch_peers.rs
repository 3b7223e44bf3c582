//! Exchange of evidence and announcements with the other homes of the service.

use std::time::Duration;

use crate::assessment::PeerEvidence;
use crate::dispatch_types::*;
use crate::dispatcher::{Dispatcher, PeerReport, Trial, Upstream};
use crate::health::ELEVATED_SHARE;
use crate::ids::{DaemonKey, UpstreamKey};

/// Interval of complete reports; evidence of failure and trials are reported at every call.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl Dispatcher {
    /// Evidence to send to all other homes, `None` when nothing is due; call each tick.
    pub fn evidence(&mut self, now: Duration) -> Option<EvidenceReport> {
        let full = self
            .reported_at
            .is_none_or(|at| now >= at + REPORT_INTERVAL);
        let urgent = |u: &Upstream| {
            let limit = self.weights.threshold * ELEVATED_SHARE;
            // The other owner needs this home's view to tell a path fault from a server fault.
            let affected = |score: f64, held_back: f64| score + held_back >= limit;
            let mut reports = u.peers.values().map(|report| report.view);
            let asked = reports.any(|view| affected(view.score, view.held_back));
            let own = affected(u.health.score(), u.health.held_back());
            u.standing == Standing::Trial || own || asked
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
            from: self.me,
            stamp: now,
            upstreams,
        })
    }

    fn report(&self, now: Duration, upstream: UpstreamKey, entry: &Upstream) -> UpstreamEvidence {
        let health = &entry.health;
        let in_thresholds = |sum: f64| (sum * 1000.0 / self.weights.threshold) as u32;
        let age = |at: Duration| millis(now.saturating_sub(at));
        UpstreamEvidence {
            upstream,
            score_milli: in_thresholds(health.score()),
            held_back_milli: in_thresholds(health.held_back()),
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

    /// Records another home's evidence.
    pub fn peer_evidence(
        &mut self,
        now: Duration,
        from: DaemonKey,
        report: EvidenceReport,
    ) -> Vec<Action> {
        self.held.stamp(report.from, report.stamp);
        let threshold = self.weights.threshold;
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
            entry.peers.insert(from, peer);
            if entry.view.co_owner == Some(from) {
                self.judge(now, evidence.upstream, &mut actions);
            }
        }
        actions
    }

    /// Adds the announcements that are due.
    pub(crate) fn announce(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let announcements_due = self.held.announcements_due(now, self.me);
        actions.extend(announcements_due.into_iter().map(Action::Announce));
    }

    /// Records another home's use of a permit.
    pub fn announcement(&mut self, now: Duration, announcement: Announcement) -> Vec<Action> {
        if announcement.holder.daemon == self.me.daemon {
            return Vec::new();
        }
        self.announced.record(now, self.me, &announcement);
        let mut actions = self.refresh(now);
        self.drive_uses(now, &mut actions);
        self.place_queued(now, &mut actions);
        actions
    }

    /// Another home asks for an ejection; a grant is the returned `Action::Announce`.
    ///
    /// It is refused when this home's own recent requests to the upstream succeed.
    pub fn eject_request(
        &mut self,
        now: Duration,
        _from: DaemonKey,
        upstream: UpstreamKey,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let threshold = self.weights.threshold;
        let Some(entry) = self.upstreams.get(&upstream) else {
            return actions;
        };
        let excluded = self.exclusion(now, upstream).is_some();
        if !excluded && entry.routable() && !Self::works_here(entry, now, threshold) {
            self.apply_permit(now, upstream, &mut actions);
        }
        actions
    }
}
