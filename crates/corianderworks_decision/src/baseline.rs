//! Baseline scheduler for comparison: each daemon balances over all upstreams independently.
//!
//! Round robin with ejection after consecutive failures, without slots, queue or messages. The
//! experiments run it with the same seeds as the dispatcher.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::dispatch_types::*;
use crate::ids::{DaemonRun, UpstreamKey};
use crate::permits;
use crate::retry::{RetryBudget, safe_to_retry};

/// Number of consecutive failures after which an upstream is ejected.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Duration of the first ejection, multiplied by the number of ejections for later ones.
const EJECTION_TIME: Duration = Duration::from_secs(30);
/// Maximum duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(300);

#[derive(Debug)]
struct BaselineUpstream {
    view: UpstreamView,
    failures: u32,
    ejections: u32,
    standing_since: Duration,
    ejected_until: Option<Duration>,
    in_flight: u32,
}

impl BaselineUpstream {
    fn routable(&self) -> bool {
        matches!(self.view.state, UpstreamState::Live | UpstreamState::Cold)
    }
}

/// Scheduler of one service at one daemon, based only on that daemon's own requests.
#[derive(Debug)]
pub struct Baseline {
    own_run: DaemonRun,
    config: DispatchConfig,
    upstreams: BTreeMap<UpstreamKey, BaselineUpstream>,
    last_selected: Option<UpstreamKey>,
    /// Number of the last lease. The baseline has no slots, so it only distinguishes the leases.
    last_lease_number: u64,
    retry_budget: RetryBudget,
}

impl Baseline {
    /// Creates a scheduler without upstreams; of `config` only the floor and retries are used.
    pub fn new(own_run: DaemonRun, config: DispatchConfig) -> Self {
        Self {
            own_run,
            retry_budget: RetryBudget::new(config.retry_percent),
            config,
            upstreams: BTreeMap::new(),
            last_selected: None,
            last_lease_number: 0,
        }
    }

    /// Daemon run that this scheduler belongs to.
    pub fn daemon_run(&self) -> DaemonRun {
        self.own_run
    }

    fn may_eject(&self) -> bool {
        let count = self.upstreams.len() as u32;
        let ejected = self
            .upstreams
            .values()
            .filter(|e| e.ejected_until.is_some());
        (ejected.count() as u32) < permits::permit_count(count, self.config.floor_percent)
    }

    fn select_upstream(&self, tried: &[UpstreamKey]) -> Option<UpstreamKey> {
        let after = self
            .upstreams
            .iter()
            .filter(|(key, _)| Some(**key) > self.last_selected);
        let before = self
            .upstreams
            .iter()
            .filter(|(key, _)| Some(**key) <= self.last_selected);
        let usable: Vec<UpstreamKey> = after
            .chain(before)
            .filter(|(_, e)| e.routable() && e.ejected_until.is_none())
            .map(|(key, _)| *key)
            .collect();
        let untried = usable.iter().find(|key| !tried.contains(key));
        untried.or(usable.first()).copied()
    }

    /// Records the outcome of a request. Returns the ejection if this failure causes one.
    fn record_outcome(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        failed: bool,
    ) -> Option<Action> {
        let may_eject = self.may_eject();
        let entry = self.upstreams.get_mut(&upstream)?;
        entry.failures = if failed { entry.failures + 1 } else { 0 };
        let eject = entry.failures >= CONSECUTIVE_FAILURES && entry.ejected_until.is_none();
        if !eject || !may_eject {
            return None;
        }
        entry.ejections += 1;
        entry.failures = 0;
        entry.standing_since = now;
        entry.ejected_until = Some(now + (EJECTION_TIME * entry.ejections).min(EJECTION_MAX));
        Some(Action::Ejected {
            upstream,
            evidence: Evidence::Errors,
        })
    }
}

impl Schedule for Baseline {
    fn set_upstreams(&mut self, now: Duration, views: &[UpstreamView]) -> Vec<Action> {
        let mut old = std::mem::take(&mut self.upstreams);
        for view in views {
            let mut entry = old
                .remove(&view.upstream)
                .unwrap_or_else(|| BaselineUpstream {
                    view: view.clone(),
                    failures: 0,
                    ejections: 0,
                    standing_since: now,
                    ejected_until: None,
                    in_flight: 0,
                });
            entry.view = view.clone();
            self.upstreams.insert(view.upstream, entry);
        }
        Vec::new()
    }

    fn admit(&mut self, now: Duration, request: RequestView) -> Admission {
        if request.tried.is_empty() {
            self.retry_budget.record_request(now);
        }
        let Some(upstream) = self.select_upstream(&request.tried) else {
            return Admission::Refuse(Reason::NoUpstream);
        };
        self.last_selected = Some(upstream);
        self.last_lease_number += 1;
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.in_flight += 1;
        }
        Admission::Run(Lease {
            upstream,
            number: self.last_lease_number,
        })
    }

    fn cancel(&mut self, _now: Duration, _ticket: Ticket) {}

    fn finish(&mut self, now: Duration, lease: Lease, outcome: Outcome) -> Vec<Action> {
        if let Some(entry) = self.upstreams.get_mut(&lease.upstream) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
        let failed = match outcome {
            Outcome::Success { .. } | Outcome::Drained { .. } => false,
            Outcome::Cancelled { .. } | Outcome::NotRun { .. } => return Vec::new(),
            _ => true,
        };
        self.record_outcome(now, lease.upstream, failed)
            .into_iter()
            .collect()
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for (key, entry) in &mut self.upstreams {
            if entry.ejected_until.is_some_and(|until| now >= until) {
                entry.ejected_until = None;
                entry.standing_since = now;
                actions.push(Action::Restored { upstream: *key });
            }
        }
        actions
    }

    fn may_retry(&mut self, now: Duration, request: &RequestView, outcome: Outcome) -> Retry {
        let safe = safe_to_retry(request.idempotent, outcome) == Retry::Retry;
        if safe && now < request.deadline && self.retry_budget.take(now) {
            Retry::Retry
        } else {
            Retry::GiveUp
        }
    }

    fn load(&self, _now: Duration) -> Load {
        Load::default()
    }

    fn explain(&self, _now: Duration) -> Vec<UpstreamReport> {
        let report = |(key, entry): (&UpstreamKey, &BaselineUpstream)| UpstreamReport {
            upstream: *key,
            domain: entry.view.domain.clone(),
            standing: match entry.ejected_until {
                _ if !entry.routable() => Standing::Leaving,
                Some(_) => Standing::Ejected,
                None => Standing::InUse,
            },
            since: entry.standing_since,
            evidence: entry.ejected_until.map(|_| Evidence::Errors),
            permit: None,
            score_milli: entry.failures * 1000 / CONSECUTIVE_FAILURES,
            in_flight: entry.in_flight,
            share: entry.view.total_slots,
        };
        self.upstreams.iter().map(report).collect()
    }
}
