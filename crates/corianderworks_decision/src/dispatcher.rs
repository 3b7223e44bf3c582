//! Scheduling of the requests of one service at one of its homes.
//!
//! `dispatch_place` chooses upstreams, `dispatch_judge` evaluates them and uses permits, and
//! `dispatch_peers` exchanges evidence and announcements with the other homes.

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

/// Time for which a drain signal on a response holds without the VM list confirming it.
const DRAIN_MEMORY: Duration = Duration::from_secs(60);

/// Trial requests of this home to one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Trial {
    pub(crate) running: bool,
    pub(crate) passed: u32,
    pub(crate) failed: bool,
}

/// One upstream at this home.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) view: UpstreamView,
    pub(crate) slots: UpstreamSlots,
    pub(crate) health: UpstreamHealth,
    pub(crate) standing: Standing,
    pub(crate) since: Duration,
    pub(crate) evidence: Option<Evidence>,
    /// Set while this home's own evidence is against it: ranked last or a path fault.
    pub(crate) suspected: Option<Standing>,
    pub(crate) drained_at: Option<Duration>,
    pub(crate) trial: Trial,
    pub(crate) asked_at: Option<Duration>,
    pub(crate) peers: BTreeMap<DaemonKey, PeerReport>,
}

/// Another home's last report on an upstream.
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
            asked_at: None,
            peers: BTreeMap::new(),
        }
    }

    /// True while it may receive requests as far as its life cycle goes.
    pub(crate) fn routable(&self) -> bool {
        let state = self.view.state;
        self.drained_at.is_none() && matches!(state, UpstreamState::Live | UpstreamState::Cold)
    }

    /// True when it does not count as capacity.
    pub(crate) fn unavailable(&self) -> bool {
        self.drained_at.is_some() || self.view.state != UpstreamState::Live
    }
}

/// A request at an upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    pub(crate) ticket: Ticket,
    pub(crate) upstream: UpstreamKey,
    pub(crate) started: Duration,
    /// Last sign of life: the start or body bytes.
    pub(crate) active: Duration,
    pub(crate) idempotent: bool,
    pub(crate) trial: bool,
    pub(crate) level: u8,
    /// Levels that count in full rather than as a possible connection fault.
    pub(crate) full: u8,
    pub(crate) abandoned: bool,
}

/// Quantiles of the service's recent latencies.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Typical {
    pub(crate) p50: Option<Duration>,
    pub(crate) p95: Option<Duration>,
}

/// Scheduler, health evaluation and ejection of one service at one home.
///
/// The daemon calls `tick` and `evidence` about every 50 ms.
#[derive(Debug)]
pub struct Dispatcher {
    service: ServiceKey,
    pub(crate) me: DaemonRun,
    pub(crate) config: DispatchConfig,
    pub(crate) weights: EjectionPolicy,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) upstreams: BTreeMap<UpstreamKey, Upstream>,
    pub(crate) running: BTreeMap<u64, Running>,
    pub(crate) queue: Queue,
    pub(crate) budget: RetryBudget,
    pub(crate) latencies: LatencyWindow,
    pub(crate) typical: Typical,
    pub(crate) failures: BaselineRate,
    pub(crate) slow: BaselineRate,
    pub(crate) held: HeldPermits,
    pub(crate) announced: AnnouncedEjections,
    pub(crate) pending: Vec<Action>,
    pub(crate) at_floor: bool,
    pub(crate) reported_at: Option<Duration>,
    pub(crate) next_slot: u64,
    started: bool,
}

impl Dispatcher {
    /// Creates the dispatcher of a service at the home `me`.
    pub fn new(service: ServiceKey, me: DaemonRun, config: DispatchConfig, seed: u64) -> Self {
        Self {
            service,
            me,
            weights: EjectionPolicy::for_preference(config.prefer),
            rng: Pcg64Mcg::seed_from_u64(seed),
            upstreams: BTreeMap::new(),
            running: BTreeMap::new(),
            queue: Queue::default(),
            budget: RetryBudget::new(config.retry_percent),
            latencies: LatencyWindow::default(),
            typical: Typical::default(),
            failures: BaselineRate::default(),
            slow: BaselineRate::default(),
            held: HeldPermits::default(),
            announced: AnnouncedEjections::default(),
            pending: Vec::new(),
            at_floor: false,
            reported_at: None,
            next_slot: 0,
            started: false,
            config,
        }
    }

    /// The service.
    pub fn service(&self) -> ServiceKey {
        self.service
    }

    /// Replaces the set of permits that the platform object shows as held by this run.
    pub fn set_permits(&mut self, now: Duration, permits: &[PermitNumber]) -> Vec<Action> {
        self.held.set(now, permits);
        let mut actions = self.refresh(now);
        self.announce(now, &mut actions);
        actions
    }

    /// Permits held, as last set.
    pub fn permits(&self) -> Vec<PermitNumber> {
        self.held.permit_numbers().collect()
    }

    /// True when the permit is in use or its last use may still be honoured somewhere.
    ///
    /// The daemon returns a permit to the platform only when this is false.
    pub fn permit_in_use(&self, now: Duration, permit: PermitNumber) -> bool {
        self.held.used_or_blocked(now, permit)
    }

    /// Records that body bytes of the response arrived.
    pub fn progress(&mut self, now: Duration, lease: Lease) {
        if let Some(running) = self.running.get_mut(&lease.slot) {
            running.active = now;
        }
    }

    /// Delay after which an idempotent request may be hedged, `None` for no hedge.
    pub fn hedge_after(&self, _now: Duration, request: &RequestView) -> Option<Duration> {
        let allowed = self.config.hedge && request.idempotent && !self.at_floor;
        self.typical.p95.filter(|_| allowed)
    }

    /// Takes a free slot for a hedge; hedges never queue and use the retry budget.
    pub fn admit_hedge(&mut self, now: Duration, request: &RequestView) -> Option<Lease> {
        self.hedge_after(now, request)?;
        if !self.queue.is_empty() {
            return None;
        }
        let upstream = self.pick_in_use(now, request)?;
        self.budget
            .take(now)
            .then(|| self.start(now, request, upstream, false))
    }

    /// Records a connection that went silent, with the time at which it was opened.
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

    /// Records the result of an `Action::Probe`; only a failure is evidence.
    pub fn probe_result(&mut self, now: Duration, upstream: UpstreamKey, ok: bool) {
        let weight = self.failures.failure_weight();
        if let Some(entry) = self.upstreams.get_mut(&upstream)
            && !ok
        {
            entry.health.failure(now, Evidence::Errors, weight, true);
        }
    }

    /// Number of configured upstreams and the floor.
    pub(crate) fn floor(&self) -> (u32, u32) {
        let count = self.upstreams.len() as u32;
        (count, permits::floor(count, self.config.floor_percent))
    }

    /// Whether this home's view allows the use of a permit.
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
            let returns = matches!(before, None | Some(UpstreamState::Gone)) && self.started;
            let cold = view.state == UpstreamState::Cold && before != Some(UpstreamState::Cold);
            if returns || cold {
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
        let mut actions = self.refresh(now);
        self.drive_uses(now, &mut actions);
        self.place_queued(now, &mut actions);
        actions
    }

    /// Refusals of replaced requests are returned by the next `finish` or `tick`.
    fn admit(&mut self, now: Duration, request: RequestView) -> Admit {
        if request.tried.is_empty() {
            self.budget.request(now);
        }
        self.place(now, request)
    }

    fn cancel(&mut self, _now: Duration, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    fn finish(&mut self, now: Duration, lease: Lease, outcome: Outcome) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending);
        let Some(running) = self.running.remove(&lease.slot) else {
            return actions;
        };
        self.record(now, running, outcome);
        if let Some(entry) = self.upstreams.get_mut(&lease.upstream) {
            entry.slots.give_back(now, outcome);
            if matches!(outcome, Outcome::Drained { .. }) {
                entry.drained_at = Some(now);
            }
            actions.extend(self.refresh_one(now, lease.upstream));
        }
        self.judge(now, lease.upstream, &mut actions);
        self.place_queued(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending);
        self.typical = Typical {
            p50: self.latencies.quantile(0.5),
            p95: self.latencies.quantile(0.95),
        };
        for entry in self.upstreams.values_mut() {
            if entry.drained_at.is_some_and(|at| now > at + DRAIN_MEMORY) {
                entry.drained_at = None;
            }
        }
        self.update_bound();
        self.check_running(now, &mut actions);
        let keys: Vec<UpstreamKey> = self.upstreams.keys().copied().collect();
        for upstream in keys {
            self.judge(now, upstream, &mut actions);
        }
        actions.extend(self.refresh(now));
        self.drive_uses(now, &mut actions);
        self.announce(now, &mut actions);
        self.announced.remove_expired(now);
        self.place_queued(now, &mut actions);
        actions
    }

    fn may_retry(&mut self, now: Duration, request: &RequestView, outcome: Outcome) -> Retry {
        let safe = retry::safe_to_retry(request.idempotent, outcome) == Retry::Retry;
        let needed = self.typical.p50.unwrap_or_default();
        if safe && !self.at_floor && now + needed < request.deadline && self.budget.take(now) {
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
            permit: self.exclusion(now, *key).map(|(p, holder, _)| (p, holder)),
            score_milli: (entry.health.score() * 1000.0 / self.weights.threshold) as u32,
            in_flight: entry.slots.in_flight(),
            share: entry.slots.limit(),
        };
        self.upstreams.iter().map(report).collect()
    }
}
