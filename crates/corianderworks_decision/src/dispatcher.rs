//! Request scheduler of one service at one of its homes.
//!
//! A home is a daemon that schedules the service's requests. `dispatch_place` selects the upstream
//! of a request, `dispatch_evaluate` tracks upstream health and applies ejection permits, and
//! `dispatch_peers` exchanges health evidence and ejection announcements with the other homes.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::assessment::PeerEvidence;
pub use crate::dispatch_types::*;
use crate::ejection::{AnnouncedEjections, HeldPermits};
use crate::health::{BaselineRate, EjectionPolicy, UpstreamHealth};
use crate::ids::{DaemonKey, DaemonRun, ServiceKey, UpstreamKey};
use crate::latency::LatencyWindow;
use crate::permits;
use crate::queue::Queue;
use crate::retry::{self, RetryBudget};
use crate::slots::UpstreamSlots;

/// How long a drain signal on a response stays in effect without confirmation by the VM list.
const DRAIN_SIGNAL_TTL: Duration = Duration::from_secs(60);

/// Results of one home's trial requests to one upstream in the current phase of its ejection.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Trial {
    pub(crate) running: bool,
    pub(crate) passed: u32,
    pub(crate) failed: bool,
}

/// State of one upstream as tracked by this home.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) view: UpstreamView,
    pub(crate) slots: UpstreamSlots,
    pub(crate) health: UpstreamHealth,
    pub(crate) standing: Standing,
    pub(crate) since: Duration,
    pub(crate) evidence: Option<Evidence>,
    /// `RankedLast` or `PathFault` while this home's own evidence indicates a fault.
    pub(crate) suspected: Option<Standing>,
    pub(crate) drained_at: Option<Duration>,
    pub(crate) trial: Trial,
    pub(crate) eject_requested_at: Option<Duration>,
    pub(crate) peer_reports: BTreeMap<DaemonKey, PeerReport>,
}

/// Latest report of another home on an upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerReport {
    pub(crate) view: PeerEvidence,
    pub(crate) elevated: bool,
    pub(crate) trial: Trial,
}

impl Upstream {
    fn new(view: UpstreamView, now: Duration) -> Self {
        Self {
            view,
            slots: UpstreamSlots::default(),
            health: UpstreamHealth::default(),
            standing: Standing::InUse,
            since: now,
            evidence: None,
            suspected: None,
            drained_at: None,
            trial: Trial::default(),
            eject_requested_at: None,
            peer_reports: BTreeMap::new(),
        }
    }

    /// True when the life-cycle state permits new requests and no drain signal is in effect.
    pub(crate) fn routable(&self) -> bool {
        let state = self.view.state;
        self.drained_at.is_none() && matches!(state, UpstreamState::Live | UpstreamState::Cold)
    }

    /// True when the upstream does not count toward the capacity that the floor protects.
    pub(crate) fn unavailable(&self) -> bool {
        self.drained_at.is_some() || self.view.state != UpstreamState::Live
    }
}

/// A request that was sent to an upstream and has not finished.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningRequest {
    pub(crate) ticket: Ticket,
    pub(crate) upstream: UpstreamKey,
    pub(crate) started: Duration,
    /// Time of the last activity: when the request was sent or body bytes arrived.
    pub(crate) last_active: Duration,
    pub(crate) deadline: Duration,
    pub(crate) idempotent: bool,
    pub(crate) trial: bool,
    /// Overdue level that was already counted as evidence.
    pub(crate) level: u8,
    /// Overdue levels counted at full weight, not attributed to a possible connection fault.
    pub(crate) full_weight_levels: u8,
    /// True when the request was stuck at the last tick.
    pub(crate) stuck: bool,
    pub(crate) abandoned: bool,
}

/// Quantiles of the service's recent latencies, `None` with too few samples.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RecentLatency {
    pub(crate) p50: Option<Duration>,
    pub(crate) p95: Option<Duration>,
}

/// Schedules requests, evaluates upstream health and ejects upstreams for one service at one home.
///
/// The daemon calls `tick` and `evidence` about every 50 ms.
#[derive(Debug)]
pub struct Dispatcher {
    service: ServiceKey,
    pub(crate) own_run: DaemonRun,
    pub(crate) config: DispatchConfig,
    pub(crate) ejection_policy: EjectionPolicy,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) upstreams: BTreeMap<UpstreamKey, Upstream>,
    pub(crate) running: BTreeMap<u64, RunningRequest>,
    pub(crate) queue: Queue,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) latencies: LatencyWindow,
    pub(crate) recent_latency: RecentLatency,
    /// Usual share of the service's requests that fail.
    pub(crate) failures: BaselineRate,
    /// Usual share of the service's requests that are slow or stall.
    pub(crate) slow: BaselineRate,
    pub(crate) held_permits: HeldPermits,
    pub(crate) announced_ejections: AnnouncedEjections,
    pub(crate) pending_actions: Vec<Action>,
    /// True while an upstream is ranked last because no permit is left; retries and hedges stop.
    pub(crate) at_floor: bool,
    /// Time of the last complete evidence report.
    pub(crate) reported_at: Option<Duration>,
    /// Number of the last lease.
    pub(crate) last_lease: u64,
    /// Set by the first `set_upstreams`, whose upstreams need no slow start unless they are `Cold`.
    started: bool,
}

impl Dispatcher {
    /// Creates the dispatcher of a service at the home `own_run`, without upstreams or permits.
    pub fn new(service: ServiceKey, own_run: DaemonRun, config: DispatchConfig, seed: u64) -> Self {
        Self {
            service,
            own_run,
            ejection_policy: EjectionPolicy::for_preference(config.prefer),
            rng: Pcg64Mcg::seed_from_u64(seed),
            upstreams: BTreeMap::new(),
            running: BTreeMap::new(),
            queue: Queue::default(),
            retry_budget: RetryBudget::new(config.retry_percent),
            latencies: LatencyWindow::default(),
            recent_latency: RecentLatency::default(),
            failures: BaselineRate::default(),
            slow: BaselineRate::default(),
            held_permits: HeldPermits::default(),
            announced_ejections: AnnouncedEjections::default(),
            pending_actions: Vec::new(),
            at_floor: false,
            reported_at: None,
            last_lease: 0,
            started: false,
            config,
        }
    }

    /// Service whose requests this dispatcher schedules.
    pub fn service(&self) -> ServiceKey {
        self.service
    }

    /// Replaces the set of permits that the platform object assigns to this daemon run.
    pub fn set_permits(&mut self, now: Duration, permits: &[PermitNumber]) -> Vec<Action> {
        self.held_permits.set(now, permits);
        let mut actions = self.refresh_standings(now);
        self.announce(now, &mut actions);
        actions
    }

    /// Permits from the last call to `set_permits`, in ascending order.
    pub fn permits(&self) -> Vec<PermitNumber> {
        self.held_permits.permit_numbers().collect()
    }

    /// True when the permit is in use or another home may still apply its last announced ejection.
    ///
    /// The daemon returns a permit to the platform only when this is false.
    pub fn permit_in_use(&self, now: Duration, permit: PermitNumber) -> bool {
        self.held_permits.used_or_blocked(now, permit)
    }

    /// Records that response body bytes arrived, so that the request is not considered overdue.
    pub fn progress(&mut self, now: Duration, lease: Lease) {
        if let Some(running) = self.running.get_mut(&lease.number) {
            running.last_active = now;
        }
    }

    /// Delay after which an idempotent request may be hedged, `None` when it must not be.
    pub fn hedge_after(&self, _now: Duration, request: &RequestView) -> Option<Duration> {
        let allowed = self.config.hedge && request.idempotent && !self.at_floor;
        self.recent_latency.p95.filter(|_| allowed)
    }

    /// Acquires a free slot for a hedged request, charged to the retry budget.
    ///
    /// Hedges are never queued and are not started while other requests are queued.
    pub fn admit_hedge(&mut self, now: Duration, request: &RequestView) -> Option<Lease> {
        self.hedge_after(now, request)?;
        if !self.queue.is_empty() {
            return None;
        }
        let upstream = self.pick_in_use(now, request)?;
        self.retry_budget
            .take(now)
            .then(|| self.start(now, request, upstream, false))
    }

    /// Records that a connection opened at `opened` stopped responding.
    ///
    /// Connections opened up to `opened` are retired and the upstream is probed on a new one.
    pub fn silent_connection(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        opened: Duration,
    ) -> Vec<Action> {
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.health.retire(now);
        }
        let retire = Action::RetireConnections {
            upstream,
            opened_until: opened,
        };
        vec![retire, Action::Probe { upstream }]
    }

    /// Records the result of an `Action::Probe`; only a failed probe counts as evidence.
    pub fn probe_result(&mut self, now: Duration, upstream: UpstreamKey, ok: bool) {
        let weight = self.failures.failure_weight();
        if let Some(entry) = self.upstreams.get_mut(&upstream)
            && !ok
        {
            entry.health.failure(now, Evidence::Errors, weight, true);
        }
    }

    /// Returns the number of configured upstreams and how many of them ejection must leave in use.
    pub(crate) fn floor(&self) -> (u32, u32) {
        let count = self.upstreams.len() as u32;
        (count, permits::floor(count, self.config.floor_percent))
    }

    /// True when applying the permit keeps the service at or above its floor in this home's view.
    pub(crate) fn usable(&self, permit: PermitNumber) -> bool {
        let (count, floor) = self.floor();
        let unavailable = self.upstreams.values().filter(|u| u.unavailable()).count();
        permits::usable(permit, count, unavailable as u32, floor)
    }

    fn update_bound(&mut self) {
        let slots: u32 = self.upstreams.values().map(|u| u.slots.limit()).sum();
        self.queue
            .set_bound((slots * self.config.queue_per_slot) as usize);
    }
}

impl Schedule for Dispatcher {
    fn set_upstreams(&mut self, now: Duration, views: &[UpstreamView]) -> Vec<Action> {
        let mut old = std::mem::take(&mut self.upstreams);
        for view in views {
            let known = old.remove(&view.upstream);
            let before = known.as_ref().map(|u| u.view.state);
            let mut entry = known.unwrap_or_else(|| Upstream::new(view.clone(), now));
            let rejoined = matches!(before, None | Some(UpstreamState::Gone)) && self.started;
            let cold = view.state == UpstreamState::Cold && before != Some(UpstreamState::Cold);
            if rejoined || cold {
                entry.slots.slow_start(now, self.config.slow_start);
                entry.drained_at = None;
                entry.health = UpstreamHealth::default();
            }
            entry.view = view.clone();
            entry
                .slots
                .set_share(now, view.slots_share, view.total_slots);
            self.upstreams.insert(view.upstream, entry);
        }
        self.started = true;
        self.update_bound();
        let mut actions = self.refresh_standings(now);
        self.advance_ejections(now, &mut actions);
        self.place_queued(now, &mut actions);
        actions
    }

    /// Queued requests that are displaced here are refused by the next `finish` or `tick`.
    fn admit(&mut self, now: Duration, request: RequestView) -> Admission {
        if request.tried.is_empty() {
            self.retry_budget.record_request(now);
        }
        self.place(now, request)
    }

    fn cancel(&mut self, _now: Duration, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    fn finish(&mut self, now: Duration, lease: Lease, outcome: Outcome) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending_actions);
        let Some(running) = self.running.remove(&lease.number) else {
            return actions;
        };
        self.record(now, running, outcome);
        if let Some(entry) = self.upstreams.get_mut(&lease.upstream) {
            entry.slots.release(now, outcome);
            if matches!(outcome, Outcome::Drained { .. }) {
                entry.drained_at = Some(now);
            }
            actions.extend(self.refresh_standing(now, lease.upstream));
        }
        self.evaluate(now, lease.upstream, &mut actions);
        self.place_queued(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending_actions);
        self.recent_latency = RecentLatency {
            p50: self.latencies.quantile(0.5),
            p95: self.latencies.quantile(0.95),
        };
        for entry in self.upstreams.values_mut() {
            if entry
                .drained_at
                .is_some_and(|at| now > at + DRAIN_SIGNAL_TTL)
            {
                entry.drained_at = None;
            }
        }
        self.update_bound();
        self.check_overdue(now, &mut actions);
        let keys: Vec<UpstreamKey> = self.upstreams.keys().copied().collect();
        for upstream in keys {
            self.evaluate(now, upstream, &mut actions);
        }
        actions.extend(self.refresh_standings(now));
        self.abandon_stuck(now, &mut actions);
        self.advance_ejections(now, &mut actions);
        self.announce(now, &mut actions);
        self.announced_ejections.remove_expired(now);
        self.place_queued(now, &mut actions);
        actions
    }

    fn may_retry(&mut self, now: Duration, request: &RequestView, outcome: Outcome) -> Retry {
        let safe = retry::safe_to_retry(request.idempotent, outcome) == Retry::Retry;
        let expected_latency = self.recent_latency.p50.unwrap_or_default();
        if safe
            && !self.at_floor
            && now + expected_latency < request.deadline
            && self.retry_budget.take(now)
        {
            Retry::Retry
        } else {
            Retry::GiveUp
        }
    }

    fn load(&self, _now: Duration) -> Load {
        let in_use = self
            .upstreams
            .values()
            .filter(|u| u.standing == Standing::InUse);
        Load {
            free_slots: in_use.map(|u| u.slots.free()).sum(),
            queued: self.queue.len() as u32,
        }
    }

    fn explain(&self, now: Duration) -> Vec<UpstreamReport> {
        let report = |(key, entry): (&UpstreamKey, &Upstream)| UpstreamReport {
            upstream: *key,
            domain: entry.view.domain.clone(),
            standing: entry.standing,
            since: entry.since,
            evidence: entry.evidence,
            permit: self
                .current_ejection(now, *key)
                .map(|(p, holder, _)| (p, holder)),
            score_milli: (entry.health.score() * 1000.0 / self.ejection_policy.threshold) as u32,
            in_flight: entry.slots.in_flight(),
            share: entry.slots.limit(),
        };
        self.upstreams.iter().map(report).collect()
    }
}
