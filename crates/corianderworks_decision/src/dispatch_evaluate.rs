//! Upstream health evaluation from request outcomes, and ejection with permits.

use std::time::Duration;

use crate::assessment::{self, Assessment, Siblings};
use crate::dispatch_types::*;
use crate::dispatcher::{Dispatcher, RunningRequest, Trial, Upstream};
use crate::ejection::PermitUse;
use crate::health::{ELEVATED_SHARE, UpstreamHealth};
use crate::ids::{DaemonRun, UpstreamKey};

/// Overdue level from which a request is treated as stuck on an unresponsive connection.
const RETIRE_LEVEL: u8 = 2;
/// Interval at which an ejection request is repeated, because messages can be lost.
const EJECT_REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum age of a success that makes this home decline another home's ejection request.
const RECENT_SUCCESS: Duration = Duration::from_millis(250);
/// Weight of a request that the server refused to run, relative to a failure: the server may only
/// be busy.
const NOT_RUN_FACTOR: f64 = 0.5;

impl Dispatcher {
    /// Updates the health, rates and trial results of the upstream with the outcome of a request.
    pub(crate) fn record(&mut self, now: Duration, running: RunningRequest, outcome: Outcome) {
        let Some(entry) = self.upstreams.get_mut(&running.upstream) else {
            return;
        };
        let slow_threshold = entry.health.slow_threshold(self.recent_latency.p50);
        let failure = self.failures.failure_weight();
        let mut good = false;
        match outcome {
            Outcome::Success { latency } | Outcome::Drained { latency } => {
                let level = UpstreamHealth::level(latency, slow_threshold);
                good = level == 0;
                self.failures.record(false);
                self.slow.record(!good);
                self.latencies.record(now, latency);
                entry.health.record_latency(latency);
                if good {
                    let weight = self.failures.success_weight();
                    entry.health.success(now, latency, slow_threshold, weight);
                } else if entry.view.state == UpstreamState::Live {
                    let levels = f64::from(level.saturating_sub(running.full_weight_levels));
                    let weight = self.slow.failure_weight() * levels;
                    let first = running.level == 0;
                    entry.health.failure(now, Evidence::Slowness, weight, first);
                }
            }
            Outcome::Error { status, .. } if status < 500 => good = true,
            Outcome::Error { .. } | Outcome::ConnectFailed => {
                self.failures.record(true);
                entry.health.failure(now, Evidence::Errors, failure, true);
            }
            Outcome::Truncated { .. } => {
                self.failures.record(true);
                entry
                    .health
                    .failure(now, Evidence::Truncation, failure, true);
            }
            Outcome::NotRun { .. } => {
                let weight = failure * NOT_RUN_FACTOR;
                entry.health.failure(now, Evidence::Errors, weight, true);
            }
            Outcome::Stalled { .. } => self.slow.record(true),
            Outcome::Cancelled { .. } => {}
        }
        entry.health.cap_score(now, self.ejection_policy.threshold);
        if running.trial {
            entry.trial.running = false;
            let cancelled = matches!(outcome, Outcome::Cancelled { .. });
            entry.trial.passed += u32::from(good);
            entry.trial.failed |= !good && !cancelled;
        }
    }

    /// Detects overdue requests in flight before they time out, and retires the connections of
    /// stuck ones.
    pub(crate) fn check_overdue(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let weight = self.slow.failure_weight();
        for running in self.running.values_mut() {
            let Some(entry) = self.upstreams.get_mut(&running.upstream) else {
                continue;
            };
            let slow_threshold = entry.health.slow_threshold(self.recent_latency.p50);
            let level =
                UpstreamHealth::level(now.saturating_sub(running.last_active), slow_threshold);
            while running.level < level && entry.view.state == UpstreamState::Live {
                let first = running.level == 0;
                running.level += 1;
                entry.health.record_level(running.level);
                if entry.health.may_be_connection_fault(now, running.started) {
                    entry.health.silence(now, weight, first);
                } else {
                    running.full_weight_levels += 1;
                    entry.health.failure(now, Evidence::Stalls, weight, first);
                }
            }
            entry.health.cap_score(now, self.ejection_policy.threshold);
            running.stuck = level >= RETIRE_LEVEL;
            if !running.stuck || running.abandoned {
                continue;
            }
            let upstream = running.upstream;
            let connection_suspected = entry.health.may_be_connection_fault(now, running.started);
            if connection_suspected && !entry.health.connections_retired_since(running.started) {
                entry.health.retire(now);
                actions.push(Action::RetireConnections {
                    upstream,
                    opened_until: now,
                });
                actions.push(Action::Probe { upstream });
            }
        }
    }

    /// Abandons stuck requests that can be retried. Others keep running, because their servers may
    /// still answer in time.
    pub(crate) fn abandon_stuck(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.at_floor {
            return;
        }
        let expected_latency = self.recent_latency.p50.unwrap_or_default();
        let abandoned = self.running.values().filter(|r| r.abandoned).count();
        let mut retries_left = (self.retry_budget.left(now) as usize).saturating_sub(abandoned);
        for (&number, running) in &mut self.running {
            let can_abandon = running.stuck && running.idempotent && !running.abandoned;
            if !can_abandon || now + expected_latency >= running.deadline {
                continue;
            }
            let Some(left) = retries_left.checked_sub(1) else {
                return;
            };
            retries_left = left;
            running.abandoned = true;
            let upstream = running.upstream;
            actions.push(Action::Abandon {
                ticket: running.ticket,
                lease: Lease { upstream, number },
            });
        }
    }

    /// Summarises the other upstreams in use from this home's and its peers' view since `since`.
    fn siblings(&self, now: Duration, upstream: UpstreamKey, since: Duration) -> Siblings {
        let mut siblings = Siblings::default();
        let others = self.upstreams.iter().filter(|(key, u)| {
            **key != upstream
                && u.routable()
                && !matches!(u.standing, Standing::Ejected | Standing::Trial)
        });
        for (_, entry) in others {
            let reports = entry.peer_reports.values();
            let views = || reports.clone().map(|r| r.view);
            let own = &entry.health;
            let success = views().map(|v| v.last_success).chain([own.last_success()]);
            let success = success.max().flatten();
            let slow = views().map(|v| v.last_slow).chain([own.last_slow()]);
            let slow = slow.max().flatten();
            let fresh = |received_at: Duration| {
                now.saturating_sub(received_at) <= assessment::MAX_REPORT_AGE
            };
            let elevated = entry.health.elevated(now)
                || reports
                    .clone()
                    .any(|r| r.elevated && fresh(r.view.received_at));
            siblings.total += 1;
            siblings.responding += u32::from(success.max(slow) > Some(since));
            siblings.good += u32::from(success > Some(since) && success >= slow);
            siblings.elevated += u32::from(elevated);
            if own.last_success().max(own.last_slow()) > Some(since) {
                siblings.measured += 1;
                siblings.slowed += u32::from(own.is_slowed(self.recent_latency.p50));
            }
        }
        siblings
    }

    /// Evaluates the health of one upstream and, if it is unhealthy, ejects it, requests its
    /// ejection from a permit holder, or ranks it last.
    pub(crate) fn evaluate(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        if entry.suspected.is_some()
            && entry.health.consecutive_successes() >= self.ejection_policy.trials
        {
            // A suspected upstream receives one request per second, too few to bring the evidence
            // score down to zero.
            entry.health.clear();
        }
        let Some(since) = entry.health.first_failure() else {
            return self.clear_suspicion(now, upstream, actions);
        };
        let Some(entry) = self.upstreams.get(&upstream) else {
            return;
        };
        let ejected = matches!(entry.standing, Standing::Ejected | Standing::Trial);
        if ejected || !entry.routable() {
            return;
        }
        let siblings = self.siblings(now, upstream, since);
        let co_owner = entry
            .view
            .co_owner
            .and_then(|peer| entry.peer_reports.get(&peer));
        let peer = co_owner.map(|report| report.view);
        let assessment =
            assessment::assessment(now, &self.ejection_policy, &entry.health, peer, siblings);
        match assessment {
            Assessment::Inconclusive => self.clear_suspicion(now, upstream, actions),
            Assessment::SharedFault => {
                if let Some(entry) = self.upstreams.get_mut(&upstream) {
                    entry.health.discard_shared_evidence(now);
                }
            }
            Assessment::PathFault(evidence) => {
                self.mark_suspected(now, upstream, Standing::PathFault, evidence, actions);
            }
            Assessment::Unhealthy(evidence) => self.eject(now, upstream, evidence, actions),
        }
    }

    fn mark_suspected(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        standing: Standing,
        evidence: Evidence,
        actions: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.suspected = Some(standing);
            entry.evidence = Some(evidence);
            actions.extend(self.refresh_standing(now, upstream));
        }
    }

    fn clear_suspicion(&mut self, now: Duration, upstream: UpstreamKey, actions: &mut Vec<Action>) {
        let clear_below = self.ejection_policy.threshold * ELEVATED_SHARE;
        if let Some(entry) = self.upstreams.get_mut(&upstream)
            && entry.suspected.is_some()
            && entry.health.score() < clear_below
        {
            entry.suspected = None;
            actions.extend(self.refresh_standing(now, upstream));
        }
    }

    fn eject(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        evidence: Evidence,
        actions: &mut Vec<Action>,
    ) {
        self.mark_suspected(now, upstream, Standing::RankedLast, evidence, actions);
        if self.apply_permit(now, upstream, actions) {
            return;
        }
        let Some(entry) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        if entry
            .eject_requested_at
            .is_none_or(|at| now >= at + EJECT_REQUEST_INTERVAL)
        {
            entry.eject_requested_at = Some(now);
            let holder = self.announced_ejections.holder_of_free_permit(now);
            if let Some(holder) = holder {
                self.announced_ejections.mark_requested(holder);
            }
            actions.push(Action::AskEject { holder, upstream });
        }
    }

    /// Ejects an upstream with a held permit; returns false when no permit is free and usable.
    pub(crate) fn apply_permit(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        actions: &mut Vec<Action>,
    ) -> bool {
        let usable: Vec<PermitNumber> = self
            .held_permits
            .permit_numbers()
            .filter(|permit| self.usable(*permit))
            .collect();
        let applied = self
            .held_permits
            .apply(now, upstream, |p| usable.contains(&p));
        if applied.is_some() {
            self.announce(now, actions);
            actions.extend(self.refresh_standing(now, upstream));
        }
        applied.is_some()
    }

    /// Advances the ejections under this home's own permits to their next phase or ends them.
    pub(crate) fn advance_ejections(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let uses: Vec<(PermitNumber, PermitUse)> = self.held_permits.uses().collect();
        for (permit, used) in uses {
            let next = self.next_phase(now, permit, used);
            match next {
                PhaseChange::Stay => continue,
                PhaseChange::End => self.held_permits.end(now, permit),
                PhaseChange::Phase(phase) => self.held_permits.set_phase(now, permit, phase),
            }
            self.announce(now, actions);
            actions.extend(self.refresh_standing(now, used.upstream));
        }
    }

    fn next_phase(&self, now: Duration, permit: PermitNumber, used: PermitUse) -> PhaseChange {
        let Some(entry) = self.upstreams.get(&used.upstream) else {
            return PhaseChange::End;
        };
        let duplicate = self
            .announced_ejections
            .valid_ejections(now)
            .any(|(p, _, other)| p < permit && other.upstream == used.upstream);
        if duplicate || !entry.routable() || !self.usable(permit) {
            return PhaseChange::End;
        }
        let recent_ejections = entry.health.recent_ejections(now);
        match used.phase {
            Phase::Out
                if now >= used.since + self.ejection_policy.ejection_time(recent_ejections) =>
            {
                PhaseChange::Phase(Phase::Trial)
            }
            Phase::Out => PhaseChange::Stay,
            Phase::Trial => {
                let peer_reports = entry
                    .peer_reports
                    .values()
                    .filter(|r| r.view.received_at > used.since);
                let trial_results = peer_reports.map(|r| r.trial).chain([entry.trial]);
                let passed: u32 = trial_results.clone().map(|t| t.passed).sum();
                if trial_results.clone().any(|t| t.failed) {
                    PhaseChange::Phase(Phase::Out)
                } else if passed >= self.ejection_policy.required_trials(recent_ejections) {
                    PhaseChange::End
                } else {
                    PhaseChange::Stay
                }
            }
        }
    }

    /// Returns the permit under which an upstream is ejected in this home's view.
    ///
    /// With several permits for one upstream, `Phase::Out` takes precedence over `Phase::Trial`,
    /// then the lowest number.
    pub(crate) fn current_ejection(
        &self,
        now: Duration,
        upstream: UpstreamKey,
    ) -> Option<(PermitNumber, DaemonRun, PermitUse)> {
        let own = self
            .held_permits
            .permit_for(upstream)
            .map(|(p, used)| (p, self.own_run, used));
        let others = self.announced_ejections.valid_ejections(now);
        own.into_iter()
            .chain(others)
            .filter(|(permit, _, used)| used.upstream == upstream && self.usable(*permit))
            .min_by_key(|(permit, _, used)| (used.phase == Phase::Trial, *permit))
    }

    /// Recomputes the standing of every upstream and whether the service is at its floor.
    pub(crate) fn refresh_standings(&mut self, now: Duration) -> Vec<Action> {
        let keys: Vec<UpstreamKey> = self.upstreams.keys().copied().collect();
        let actions = keys
            .into_iter()
            .flat_map(|key| self.refresh_standing(now, key))
            .collect();
        let mut entries = self.upstreams.values();
        self.at_floor = entries.any(|u| u.standing == Standing::RankedLast);
        actions
    }

    /// Recomputes the standing of one upstream; returns an action when it is ejected or restored.
    pub(crate) fn refresh_standing(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
    ) -> Option<Action> {
        let ejected = self.current_ejection(now, upstream);
        let slow_start = self.config.slow_start;
        let entry = self.upstreams.get_mut(&upstream)?;
        let standing = match ejected {
            _ if !entry.routable() => Standing::Leaving,
            Some((_, _, used)) if used.phase == Phase::Trial => Standing::Trial,
            Some(_) => Standing::Ejected,
            None => entry.suspected.unwrap_or(Standing::InUse),
        };
        let before = std::mem::replace(&mut entry.standing, standing);
        if before == standing {
            return None;
        }
        entry.since = now;
        let was_ejected = matches!(before, Standing::Ejected | Standing::Trial);
        let is_ejected = matches!(standing, Standing::Ejected | Standing::Trial);
        if is_ejected {
            // Trial results belong to the phase that ends here.
            entry.trial = Trial {
                running: entry.trial.running,
                ..Trial::default()
            };
        }
        if standing == Standing::Ejected {
            entry.health.ejection(now);
        }
        if is_ejected && !was_ejected {
            let evidence = entry.evidence.unwrap_or(Evidence::Announced);
            entry.evidence = Some(evidence);
            return Some(Action::Ejected { upstream, evidence });
        }
        if was_ejected && !is_ejected {
            entry.suspected = None;
            entry.evidence = None;
            entry.health.clear();
            if standing != Standing::Leaving {
                entry.standing = Standing::InUse;
                entry.slots.slow_start(now, slow_start);
                return Some(Action::Restored { upstream });
            }
        }
        if standing == Standing::InUse {
            entry.evidence = None;
        }
        None
    }

    /// True when this home had a recent success and has little evidence of failure.
    pub(crate) fn recently_succeeded(entry: &Upstream, now: Duration, threshold: f64) -> bool {
        let recent = |at: Duration| now.saturating_sub(at) <= RECENT_SUCCESS;
        entry.health.last_success().is_some_and(recent)
            && entry.health.score() < threshold * ELEVATED_SHARE
    }
}

/// Next step of an ejection under one of this home's permits.
enum PhaseChange {
    Stay,
    Phase(Phase),
    End,
}
