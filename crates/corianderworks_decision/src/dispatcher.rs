//! Scheduling of the requests of one service at one of its homes.

use std::collections::BTreeMap;
use std::time::Duration;

pub use crate::dispatch_types::*;
use crate::ids::{DaemonKey, DaemonRun, ServiceKey, UpstreamKey};

/// Scheduler, health evaluation and ejection of one service at one home.
#[derive(Debug)]
pub struct Dispatcher {
    service: ServiceKey,
    me: DaemonRun,
    config: DispatchConfig,
    seed: u64,
    upstreams: BTreeMap<UpstreamKey, (UpstreamView, u32)>,
    next_slot: u64,
}

impl Dispatcher {
    /// Creates the dispatcher of a service at the home `me`.
    pub fn new(service: ServiceKey, me: DaemonRun, config: DispatchConfig, seed: u64) -> Self {
        Self {
            service,
            me,
            config,
            seed,
            upstreams: BTreeMap::new(),
            next_slot: 0,
        }
    }

    /// The service.
    pub fn service(&self) -> ServiceKey {
        self.service
    }

    /// Replaces the set of permits that the platform object shows as held by this run.
    pub fn set_permits(&mut self, _now: Duration, _permits: &[PermitNumber]) -> Vec<Action> {
        Vec::new()
    }

    /// True when the permit is in use or its last use may still be honoured somewhere.
    ///
    /// The daemon returns a permit to the platform only when this is false.
    pub fn permit_in_use(&self, _now: Duration, _permit: PermitNumber) -> bool {
        false
    }

    /// Records that body bytes of the response arrived.
    pub fn progress(&mut self, _now: Duration, _lease: Lease) {}

    /// Delay after which an idempotent request may be hedged, `None` for no hedge.
    pub fn hedge_after(&self, _now: Duration, _request: &RequestView) -> Option<Duration> {
        None
    }

    /// Takes a free slot for a hedge; hedges never queue.
    pub fn admit_hedge(&mut self, _now: Duration, _request: &RequestView) -> Option<Lease> {
        None
    }

    /// Records a connection that went silent, with the time at which it was opened.
    pub fn silent_connection(
        &mut self,
        _now: Duration,
        upstream: UpstreamKey,
        opened: Duration,
    ) -> Vec<Action> {
        vec![
            Action::RetireConnections {
                upstream,
                opened_until: opened,
            },
            Action::Probe { upstream },
        ]
    }

    /// Records the result of an `Action::Probe`.
    pub fn probe_result(&mut self, _now: Duration, _upstream: UpstreamKey, _ok: bool) {}

    /// Evidence to send to all other homes, `None` when nothing is due; call each tick.
    pub fn evidence(&mut self, now: Duration) -> Option<EvidenceReport> {
        Some(EvidenceReport {
            from: self.me,
            stamp: now,
            upstreams: Vec::new(),
        })
    }

    /// Records another home's evidence.
    pub fn peer_evidence(
        &mut self,
        _now: Duration,
        _from: DaemonKey,
        _report: EvidenceReport,
    ) -> Vec<Action> {
        Vec::new()
    }

    /// Records another home's use of a permit.
    pub fn announcement(&mut self, _now: Duration, _announcement: Announcement) -> Vec<Action> {
        Vec::new()
    }

    /// Another home asks for an ejection; a grant is the returned `Action::Announce`.
    pub fn eject_request(
        &mut self,
        _now: Duration,
        _from: DaemonKey,
        _upstream: UpstreamKey,
    ) -> Vec<Action> {
        Vec::new()
    }
}

impl Schedule for Dispatcher {
    fn set_upstreams(&mut self, _now: Duration, views: &[UpstreamView]) -> Vec<Action> {
        let old = std::mem::take(&mut self.upstreams);
        for view in views {
            let used = old.get(&view.upstream).map_or(0, |(_, used)| *used);
            self.upstreams.insert(view.upstream, (view.clone(), used));
        }
        Vec::new()
    }

    fn admit(&mut self, _now: Duration, request: RequestView) -> Admit {
        let free = self.upstreams.values_mut().find(|(view, used)| {
            view.state == UpstreamState::Live
                && *used < view.slots_share.unwrap_or(0)
                && !request.tried.contains(&view.upstream)
        });
        let Some((view, used)) = free else {
            return Admit::Refuse(Reason::QueueFull);
        };
        *used += 1;
        self.next_slot += 1;
        Admit::Run(Lease {
            upstream: view.upstream,
            slot: self.next_slot,
        })
    }

    fn cancel(&mut self, _now: Duration, _ticket: Ticket) {}

    fn finish(&mut self, _now: Duration, lease: Lease, _outcome: Outcome) -> Vec<Action> {
        if let Some((_, used)) = self.upstreams.get_mut(&lease.upstream) {
            *used = used.saturating_sub(1);
        }
        Vec::new()
    }

    fn tick(&mut self, _now: Duration) -> Vec<Action> {
        let _ = (&self.config, self.seed);
        Vec::new()
    }

    fn may_retry(&mut self, _now: Duration, request: &RequestView, outcome: Outcome) -> Retry {
        let not_run = matches!(outcome, Outcome::NotRun { .. } | Outcome::ConnectFailed);
        if request.idempotent || not_run {
            Retry::Retry
        } else {
            Retry::GiveUp
        }
    }

    fn load(&self, _now: Duration) -> Load {
        let free = |(view, used): &(UpstreamView, u32)| view.slots_share.unwrap_or(0) - used;
        Load {
            free_slots: self.upstreams.values().map(free).sum(),
            queued: 0,
        }
    }

    fn explain(&self, _now: Duration) -> Vec<UpstreamReport> {
        Vec::new()
    }
}
