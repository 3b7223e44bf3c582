//! Choice of the upstream of a request.

use std::time::Duration;

use rand::Rng;

use crate::dispatch_types::*;
use crate::dispatcher::{Dispatcher, Running, Upstream};
use crate::ids::UpstreamKey;
use crate::queue::Pushed;

/// Interval of trial requests of one home to one upstream.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a trial uses a non-idempotent request when no other arrives.
const TRIAL_ANY_AFTER: Duration = Duration::from_secs(5);
/// Interval at which an upstream that is ranked last gets a request, to notice its recovery.
const SUSPECT_INTERVAL: Duration = Duration::from_secs(1);
/// Wait before a suspected upstream is used while the service's p95 is unknown.
const SUSPECT_WAIT: Duration = Duration::from_millis(50);

/// How long a request waited and how full the queue is.
#[derive(Debug, Clone, Copy)]
struct Pressure {
    waited: Duration,
    half_full: bool,
}

impl Dispatcher {
    /// Places a request that arrives: a free slot, the queue or a refusal.
    pub(crate) fn place(&mut self, now: Duration, request: RequestView) -> Admit {
        let needed = self.typical.p50.unwrap_or_default();
        let slots: u32 = self.upstreams.values().map(|u| u.slots.limit()).sum();
        let routable = |u: &Upstream| u.routable() && u.slots.limit() > 0;
        if !self.upstreams.values().any(routable) {
            return Admit::Refuse(Reason::NoUpstream);
        }
        let ahead = self.queue.ahead_of(request.priority) as u32;
        let wait = needed * ahead / slots.max(1);
        if now + wait + needed >= request.deadline {
            return Admit::Refuse(Reason::Late);
        }
        if ahead == 0
            && let Some((upstream, trial)) = self.pick(now, &request, Duration::ZERO)
        {
            return Admit::Run(self.start(now, &request, upstream, trial));
        }
        match self.queue.push(now, request) {
            Pushed::Queued => Admit::Wait,
            Pushed::Replaced(ticket) => {
                self.pending.push(Action::Refuse {
                    ticket,
                    reason: Reason::Shed,
                });
                Admit::Wait
            }
            Pushed::Full => Admit::Refuse(Reason::QueueFull),
        }
    }

    /// Starts queued requests while slots are free, and refuses those that are late.
    pub(crate) fn place_queued(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let needed = self.typical.p50.unwrap_or_default();
        while let Some(late) = self.queue.take_late(now, needed) {
            actions.push(Action::Refuse {
                ticket: late.request.ticket,
                reason: Reason::Late,
            });
        }
        let mut queue = std::mem::take(&mut self.queue);
        let half_full = queue.len() * 2 >= queue.bound();
        let mut choice = None;
        while self.any_free() {
            let next = queue.take_if(|entry| {
                let waited = now.saturating_sub(entry.since);
                let pressure = Pressure { waited, half_full };
                choice = self.pick_under(now, &entry.request, pressure);
                choice.is_some()
            });
            let (Some(next), Some((upstream, trial))) = (next, choice) else {
                break;
            };
            actions.push(Action::Start {
                ticket: next.request.ticket,
                lease: self.start(now, &next.request, upstream, trial),
            });
        }
        self.queue = queue;
    }

    fn any_free(&self) -> bool {
        self.upstreams.values().any(|u| u.slots.free() > 0)
    }

    /// Occupies a slot for a request.
    pub(crate) fn start(
        &mut self,
        now: Duration,
        request: &RequestView,
        upstream: UpstreamKey,
        trial: bool,
    ) -> Lease {
        self.next_slot += 1;
        let slot = self.next_slot;
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.slots.take(now);
            entry.trial.running |= trial;
        }
        let running = Running {
            ticket: request.ticket,
            upstream,
            started: now,
            active: now,
            idempotent: request.idempotent,
            trial,
            level: 0,
            full: 0,
            abandoned: false,
        };
        self.running.insert(slot, running);
        Lease { upstream, slot }
    }

    fn pick(
        &mut self,
        now: Duration,
        request: &RequestView,
        waited: Duration,
    ) -> Option<(UpstreamKey, bool)> {
        let half_full = self.queue.len() * 2 >= self.queue.bound();
        self.pick_under(now, request, Pressure { waited, half_full })
    }

    /// Trials first, then upstreams in use, then suspected ones.
    fn pick_under(
        &mut self,
        now: Duration,
        request: &RequestView,
        pressure: Pressure,
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
            let spaced = u
                .slots
                .last_start()
                .is_none_or(|at| now >= at + TRIAL_INTERVAL);
            let fits = request.idempotent || now >= u.since + TRIAL_ANY_AFTER;
            !u.trial.running && spaced && fits && u.slots.free() > 0
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
                .is_none_or(|at| now >= at + SUSPECT_INTERVAL)
        };
        let mut suspected = self.upstreams.iter().filter(|(key, u)| {
            u.suspected == Some(u.standing) && u.slots.free() > 0 && !request.tried.contains(key)
        });
        suspected
            .find(|(_, u)| request.idempotent && due(u))
            .map(|(key, _)| *key)
    }

    /// The least loaded upstream in use; an upstream that failed this request only as a last
    /// choice.
    pub(crate) fn pick_in_use(
        &mut self,
        now: Duration,
        request: &RequestView,
    ) -> Option<UpstreamKey> {
        let typical = self.typical.p50.unwrap_or_default();
        let rng = &mut self.rng;
        let mut untried = false;
        let mut best: Option<(bool, u32, u32, UpstreamKey)> = None;
        for (key, entry) in &self.upstreams {
            if entry.standing != Standing::InUse || entry.slots.limit() == 0 {
                continue;
            }
            let tried = request.tried.contains(key);
            untried |= !tried;
            if entry.slots.may_start(now, typical) {
                let candidate = (tried, entry.slots.load_milli(), rng.random(), *key);
                best = Some(best.map_or(candidate, |b| b.min(candidate)));
            }
        }
        best.filter(|(tried, ..)| !(*tried && untried))
            .map(|(.., key)| key)
    }

    /// An upstream that is ranked last, once the request waited or the queue fills.
    fn pick_suspected(
        &self,
        now: Duration,
        request: &RequestView,
        pressure: Pressure,
    ) -> Option<UpstreamKey> {
        let usable = |u: &Upstream| u.standing == Standing::InUse && u.slots.limit() > 0;
        let patience = self.typical.p95.unwrap_or(SUSPECT_WAIT);
        let due = pressure.half_full
            || pressure.waited >= patience
            || !self.upstreams.values().any(usable);
        let typical = self.typical.p50.unwrap_or_default();
        self.upstreams
            .iter()
            .filter(|(key, u)| {
                let suspected = matches!(u.standing, Standing::RankedLast | Standing::PathFault);
                due && suspected && u.slots.may_start(now, typical) && !request.tried.contains(key)
            })
            .min_by_key(|(_, u)| (u.standing == Standing::RankedLast, u.slots.load_milli()))
            .map(|(key, _)| *key)
    }
}
