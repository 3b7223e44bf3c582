//! Selection of the upstream for a request, and placement of queued requests.

use std::time::Duration;

use rand::Rng;

use crate::dispatch_types::*;
use crate::dispatcher::{Dispatcher, RunningRequest, Upstream};
use crate::ids::UpstreamKey;
use crate::queue::PushResult;

/// Minimum interval between trial requests from one home to one upstream.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time in the trial phase after which a non-idempotent request may serve as a trial, in case no
/// idempotent one arrives.
const TRIAL_NON_IDEMPOTENT_AFTER: Duration = Duration::from_secs(5);
/// Interval at which a suspected upstream receives a request, so that its recovery is noticed.
const RECOVERY_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Queueing time before a suspected upstream is used while the service's p95 is unknown.
const DEFAULT_SUSPECTED_WAIT: Duration = Duration::from_millis(50);

/// Queueing conditions that decide whether a request may use a suspected upstream.
#[derive(Debug, Clone, Copy)]
struct QueuePressure {
    waited: Duration,
    half_full: bool,
}

impl Dispatcher {
    /// Starts a new request on a free slot, queues it, or refuses it.
    pub(crate) fn place(&mut self, now: Duration, request: RequestView) -> Admission {
        let expected_latency = self.recent_latency.p50.unwrap_or_default();
        let slots: u32 = self.upstreams.values().map(|u| u.slots.limit()).sum();
        let routable = |u: &Upstream| u.routable() && u.slots.limit() > 0;
        if !self.upstreams.values().any(routable) {
            return Admission::Refuse(Reason::NoUpstream);
        }
        let ahead = self.queue.ahead_of(request.priority) as u32;
        let wait = expected_latency * ahead / slots.max(1);
        if now + wait + expected_latency >= request.deadline {
            return Admission::Refuse(Reason::Late);
        }
        if ahead == 0
            && let Some((upstream, trial)) = self.pick(now, &request, Duration::ZERO)
        {
            return Admission::Run(self.start(now, &request, upstream, trial));
        }
        match self.queue.push(now, request) {
            PushResult::Queued => Admission::Wait,
            PushResult::Replaced(ticket) => {
                self.pending_actions.push(Action::Refuse {
                    ticket,
                    reason: Reason::Shed,
                });
                Admission::Wait
            }
            PushResult::Full => Admission::Refuse(Reason::QueueFull),
        }
    }

    /// Refuses queued requests that can no longer meet their deadline, then starts others while
    /// slots are free.
    pub(crate) fn place_queued(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let expected_latency = self.recent_latency.p50.unwrap_or_default();
        while let Some(late) = self.queue.take_late(now, expected_latency) {
            actions.push(Action::Refuse {
                ticket: late.request.ticket,
                reason: Reason::Late,
            });
        }
        let mut queue = std::mem::take(&mut self.queue);
        let half_full = queue.len() * 2 >= queue.bound();
        let mut picked = None;
        while self.has_free_slot() {
            let next = queue.take_if(|entry| {
                let waited = now.saturating_sub(entry.since);
                let pressure = QueuePressure { waited, half_full };
                picked = self.pick_with_pressure(now, &entry.request, pressure);
                picked.is_some()
            });
            let (Some(next), Some((upstream, trial))) = (next, picked) else {
                break;
            };
            actions.push(Action::Start {
                ticket: next.request.ticket,
                lease: self.start(now, &next.request, upstream, trial),
            });
        }
        self.queue = queue;
    }

    fn has_free_slot(&self) -> bool {
        self.upstreams.values().any(|u| u.slots.free() > 0)
    }

    /// Acquires a slot of the upstream and records the request as running there.
    pub(crate) fn start(
        &mut self,
        now: Duration,
        request: &RequestView,
        upstream: UpstreamKey,
        trial: bool,
    ) -> Lease {
        self.last_lease += 1;
        let number = self.last_lease;
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.slots.take(now);
            entry.trial.running |= trial;
        }
        let running = RunningRequest {
            ticket: request.ticket,
            upstream,
            started: now,
            last_active: now,
            deadline: request.deadline,
            idempotent: request.idempotent,
            trial,
            level: 0,
            full_weight_levels: 0,
            stuck: false,
            abandoned: false,
        };
        self.running.insert(number, running);
        Lease { upstream, number }
    }

    fn pick(
        &mut self,
        now: Duration,
        request: &RequestView,
        waited: Duration,
    ) -> Option<(UpstreamKey, bool)> {
        let half_full = self.queue.len() * 2 >= self.queue.bound();
        self.pick_with_pressure(now, request, QueuePressure { waited, half_full })
    }

    /// Selects an upstream: due trials first, then due recovery requests, then upstreams in use,
    /// then suspected ones. The flag is true for a trial request.
    fn pick_with_pressure(
        &mut self,
        now: Duration,
        request: &RequestView,
        pressure: QueuePressure,
    ) -> Option<(UpstreamKey, bool)> {
        if let Some(upstream) = self.pick_trial(now, request) {
            return Some((upstream, true));
        }
        let upstream = self
            .pick_recovery(now, request)
            .or_else(|| self.pick_in_use(now, request))
            .or_else(|| self.pick_suspected(now, request, pressure))?;
        Some((upstream, false))
    }

    fn pick_trial(&self, now: Duration, request: &RequestView) -> Option<UpstreamKey> {
        let due = |u: &Upstream| {
            let interval_elapsed = u
                .slots
                .last_start()
                .is_none_or(|at| now >= at + TRIAL_INTERVAL);
            let eligible = request.idempotent || now >= u.since + TRIAL_NON_IDEMPOTENT_AFTER;
            !u.trial.running && interval_elapsed && eligible && u.slots.free() > 0
        };
        let mut trials = self
            .upstreams
            .iter()
            .filter(|(key, u)| u.standing == Standing::Trial && !request.tried.contains(key));
        trials.find(|(_, u)| due(u)).map(|(key, _)| *key)
    }

    fn pick_recovery(&self, now: Duration, request: &RequestView) -> Option<UpstreamKey> {
        let due = |u: &Upstream| {
            u.slots
                .last_start()
                .is_none_or(|at| now >= at + RECOVERY_REQUEST_INTERVAL)
        };
        let mut suspected = self.upstreams.iter().filter(|(key, u)| {
            u.suspected == Some(u.standing) && u.slots.free() > 0 && !request.tried.contains(key)
        });
        suspected
            .find(|(_, u)| request.idempotent && due(u))
            .map(|(key, _)| *key)
    }

    /// Selects the least loaded upstream in use; one that this request was already sent to only
    /// when it was sent to all of them.
    pub(crate) fn pick_in_use(
        &mut self,
        now: Duration,
        request: &RequestView,
    ) -> Option<UpstreamKey> {
        let recent_latency = self.recent_latency.p50.unwrap_or_default();
        let rng = &mut self.rng;
        let mut untried = false;
        let mut best: Option<(bool, u32, u32, UpstreamKey)> = None;
        for (key, entry) in &self.upstreams {
            if entry.standing != Standing::InUse || entry.slots.limit() == 0 {
                continue;
            }
            let tried = request.tried.contains(key);
            untried |= !tried;
            if entry.slots.may_start(now, recent_latency) {
                let candidate = (tried, entry.slots.load_milli(), rng.random(), *key);
                best = Some(best.map_or(candidate, |b| b.min(candidate)));
            }
        }
        best.filter(|(tried, ..)| !(*tried && untried))
            .map(|(.., key)| key)
    }

    /// Selects a suspected upstream once the request waited long enough, the queue is half full,
    /// or no upstream is in use. Upstreams with a path fault are preferred to those ranked last.
    fn pick_suspected(
        &self,
        now: Duration,
        request: &RequestView,
        pressure: QueuePressure,
    ) -> Option<UpstreamKey> {
        let usable = |u: &Upstream| u.standing == Standing::InUse && u.slots.limit() > 0;
        let max_wait = self.recent_latency.p95.unwrap_or(DEFAULT_SUSPECTED_WAIT);
        let due = pressure.half_full
            || pressure.waited >= max_wait
            || !self.upstreams.values().any(usable);
        let recent_latency = self.recent_latency.p50.unwrap_or_default();
        self.upstreams
            .iter()
            .filter(|(key, u)| {
                let suspected = matches!(u.standing, Standing::RankedLast | Standing::PathFault);
                due && suspected
                    && u.slots.may_start(now, recent_latency)
                    && !request.tried.contains(key)
            })
            .min_by_key(|(_, u)| (u.standing == Standing::RankedLast, u.slots.load_milli()))
            .map(|(key, _)| *key)
    }
}
