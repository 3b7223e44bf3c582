//! Enforces the rate and concurrency limits of customers. An entry admits requests from the rate
//! grants that it requests from the customer's two limit homes.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use corianderworks_decision::clock::Clock;
use corianderworks_decision::ids::{CustomerKey, DaemonKey};
use corianderworks_decision::limits::{
    Admission, ConcurrencyGuard, EntryLimiter, GRANT_TIMEOUT, GrantFailure, GrantRequest,
    GrantResponse, LimitHome, PeerState, PendingGrantRequest, PlanLimits,
};
use corianderworks_wire::message::{self, Answer, PeerRequest};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::peer::Peers;
use crate::reasons::Reason;
use crate::refusal::Refusal;
use crate::view::{FleetView, MemberView, PlanEntry};

/// Rate grants and concurrency of customers: the entry side and the limit-home side.
pub struct Grants<C>
where
    C: Clock,
{
    local_daemon: DaemonKey,
    clock: Arc<C>,
    view: Arc<ArcSwap<FleetView>>,
    peers: Arc<Peers>,
    entry: Mutex<EntryLimiter>,
    home: Mutex<LimitHome>,
    response_received: Notify,
    limit_home_cache: Mutex<LimitHomeCache>,
}

/// Cached limit homes of customers, valid for one set of members.
#[derive(Default)]
struct LimitHomeCache {
    members: Arc<Vec<MemberView>>,
    limit_homes: HashMap<CustomerKey, [Option<DaemonKey>; 2]>,
}

impl<C> Grants<C>
where
    C: Clock,
{
    /// Starts without any grants or requests in progress.
    pub fn new(
        local_daemon: DaemonKey,
        clock: Arc<C>,
        view: Arc<ArcSwap<FleetView>>,
        peers: Arc<Peers>,
    ) -> Arc<Self> {
        let now = clock.now();
        Arc::new(Self {
            local_daemon,
            clock,
            view,
            peers,
            entry: Mutex::default(),
            home: Mutex::new(LimitHome::new(now)),
            response_received: Notify::new(),
            limit_home_cache: Mutex::default(),
        })
    }

    /// Admits a request of a customer under its plan, or refuses it. Waits for the response to an
    /// outstanding grant request, for at most [`GRANT_TIMEOUT`] each time. The returned guard
    /// counts the request towards the customer's concurrency until it is dropped.
    pub async fn admit(
        self: &Arc<Self>,
        customer: CustomerKey,
        plan: &PlanEntry,
    ) -> Result<ConcurrencyGuard, Refusal> {
        let plan_limits = plan_limits(plan);
        let mut is_retry = false;
        loop {
            let response = self.response_received.notified();
            let limit_homes = self.limit_homes(customer);
            let members = self.view.load().members.len();
            let now = self.clock.now();
            let (admission, grant_request) =
                self.entry
                    .lock()
                    .admit(now, customer, plan_limits, limit_homes, members, is_retry);
            if let Some(grant_request) = grant_request {
                self.send_request(grant_request);
            }
            match admission {
                Admission::Admitted(guard, _) => return Ok(guard),
                Admission::Wait => {
                    let _ = tokio::time::timeout(GRANT_TIMEOUT, response).await;
                }
                Admission::OverRate { retry_after } => {
                    return Err(Refusal {
                        retry_after: Some(retry_after),
                        ..Refusal::not_run(Reason::Rate)
                    });
                }
                Admission::OverConcurrency => return Err(Refusal::not_run(Reason::Concurrency)),
                Admission::TableFull => return Err(Refusal::not_run(Reason::DaemonFull)),
            }
            is_retry = true;
        }
    }

    /// Handles a grant request from another daemon. Returns `None` when this daemon is not a limit
    /// home of the customer, does not know its plan or has no room in its table.
    pub fn handle_request(&self, request: message::GrantAsk) -> Option<message::GrantAnswer> {
        let request = GrantRequest {
            customer: request.customer,
            credit: request.credit,
            wanted: request.wanted,
        };
        let response = self.handle_local_request(request)?;
        Some(message::GrantAnswer {
            allowed: response.allowed,
            lifetime_ms: response.lifetime_ms,
            retry_after_ms: response.retry_after_ms,
        })
    }

    /// Drops the state of idle customers.
    pub fn evict_idle(&self) {
        let now = self.clock.now();
        self.entry.lock().evict_idle(now);
        self.home.lock().evict_idle(now);
    }

    fn handle_local_request(&self, request: GrantRequest) -> Option<GrantResponse> {
        let homes = self.limit_homes(request.customer);
        if !homes.contains(&Some(self.local_daemon)) {
            return None;
        }
        let view = self.view.load();
        let plan = view.table.plan_by_key(request.customer)?;
        let peer = if homes[1].is_some() {
            PeerState::Alive
        } else {
            PeerState::Dead
        };
        self.home
            .lock()
            .handle_request(self.clock.now(), request, plan_limits(plan), peer)
    }

    fn limit_homes(&self, customer: CustomerKey) -> [Option<DaemonKey>; 2] {
        let view = self.view.load();
        let mut cache = self.limit_home_cache.lock();
        self.apply_members(&mut cache, &view);
        *cache.limit_homes.entry(customer).or_insert_with(|| {
            let limit_homes = view.limit_homes(customer);
            [limit_homes.first().copied(), limit_homes.get(1).copied()]
        })
    }

    /// Applies a change of the members when it happens. A limit home grants nothing for a while
    /// after a change. If the change were noticed only at the next request, this time would start
    /// with that request.
    pub fn check_members(&self) {
        let view = self.view.load();
        self.apply_members(&mut self.limit_home_cache.lock(), &view);
    }

    fn apply_members(&self, cache: &mut LimitHomeCache, view: &FleetView) {
        if Arc::ptr_eq(&cache.members, &view.members) {
            return;
        }
        let before = cache.members.iter().map(|m| m.daemon);
        let is_same = before.eq(view.members.iter().map(|m| m.daemon));
        cache.members = view.members.clone();
        if !is_same {
            cache.limit_homes.clear();
            self.home.lock().members_changed(self.clock.now());
        }
    }

    fn send_request(self: &Arc<Self>, pending: PendingGrantRequest) {
        if pending.home == self.local_daemon {
            return self.apply_result(
                pending,
                self.handle_local_request(pending.request)
                    .ok_or(GrantFailure::NotHome),
            );
        }
        let grants = self.clone();
        tokio::spawn(async move {
            let result = grants.request_grant(pending).await;
            grants.apply_result(pending, result);
        });
    }

    async fn request_grant(
        &self,
        pending: PendingGrantRequest,
    ) -> Result<GrantResponse, GrantFailure> {
        let address = self
            .view
            .load()
            .member(pending.home)
            .map(|member| member.peer_address);
        let address = address.ok_or(GrantFailure::NotHome)?;
        let request = PeerRequest::Grant(message::GrantAsk {
            customer: pending.request.customer,
            credit: pending.request.credit,
            wanted: pending.request.wanted,
        });
        match self.peers.request(address, &request, GRANT_TIMEOUT).await {
            Ok(Answer::Grant(Some(response))) => Ok(GrantResponse {
                allowed: response.allowed,
                lifetime_ms: response.lifetime_ms,
                retry_after_ms: response.retry_after_ms,
            }),
            Ok(_) => Err(GrantFailure::NotHome),
            Err(_) => Err(GrantFailure::Unreachable),
        }
    }

    fn apply_result(
        &self,
        pending: PendingGrantRequest,
        result: Result<GrantResponse, GrantFailure>,
    ) {
        let now = self.clock.now();
        match result {
            Ok(response) => self.entry.lock().handle_response(now, pending, response),
            Err(failure) => self.entry.lock().handle_failure(now, pending, failure),
        }
        self.response_received.notify_waiters();
    }
}

fn plan_limits(plan: &PlanEntry) -> PlanLimits {
    PlanLimits {
        rate_per_s: plan.rate_per_s,
        concurrency: plan.concurrency,
    }
}
