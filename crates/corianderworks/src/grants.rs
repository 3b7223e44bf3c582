//! Allowance of customers at an entry and at their limit homes.

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
use crate::view::{MemberView, PlanEntry, View};

/// Allowance of customers at an entry and at their limit homes.
pub struct Grants<C>
where
    C: Clock,
{
    me: DaemonKey,
    clock: Arc<C>,
    view: Arc<ArcSwap<View>>,
    peers: Arc<Peers>,
    entry: Mutex<EntryLimiter>,
    home: Mutex<LimitHome>,
    answered: Notify,
    placed: Mutex<Placed>,
}

/// Limit homes by customer for one set of members.
#[derive(Default)]
struct Placed {
    members: Arc<Vec<MemberView>>,
    homes: HashMap<CustomerKey, [Option<DaemonKey>; 2]>,
}

impl<C> Grants<C>
where
    C: Clock,
{
    /// Starts without any allowance.
    pub fn new(
        me: DaemonKey,
        clock: Arc<C>,
        view: Arc<ArcSwap<View>>,
        peers: Arc<Peers>,
    ) -> Arc<Self> {
        let now = clock.now();
        Arc::new(Self {
            me,
            clock,
            view,
            peers,
            entry: Mutex::default(),
            home: Mutex::new(LimitHome::new(now)),
            answered: Notify::new(),
            placed: Mutex::default(),
        })
    }

    /// Admits a request of a customer under its plan, or says why not.
    pub async fn admit(
        self: &Arc<Self>,
        customer: CustomerKey,
        plan: &PlanEntry,
    ) -> Result<ConcurrencyGuard, Refusal> {
        let allowance = allowance(plan);
        let mut repeated = false;
        loop {
            let answered = self.answered.notified();
            let homes = self.homes(customer);
            let members = self.view.load().members.len();
            let now = self.clock.now();
            let (admission, ask) = self
                .entry
                .lock()
                .admit(now, customer, allowance, homes, members, repeated);
            if let Some(ask) = ask {
                self.send(ask);
            }
            match admission {
                Admission::Admitted(guard, _) => return Ok(guard),
                Admission::Wait => {
                    let _ = tokio::time::timeout(GRANT_TIMEOUT, answered).await;
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
            repeated = true;
        }
    }

    /// Answers an ask of another daemon, `None` when this daemon is no home of the customer.
    pub fn answer(&self, ask: message::GrantAsk) -> Option<message::GrantAnswer> {
        let ask = GrantRequest {
            customer: ask.customer,
            credit: ask.credit,
            wanted: ask.wanted,
        };
        let answer = self.answer_local(ask)?;
        Some(message::GrantAnswer {
            allowed: answer.allowed,
            lifetime_ms: answer.lifetime_ms,
            retry_after_ms: answer.retry_after_ms,
        })
    }

    /// Forgets idle customers.
    pub fn evict_idle(&self) {
        let now = self.clock.now();
        self.entry.lock().evict_idle(now);
        self.home.lock().evict_idle(now);
    }

    fn answer_local(&self, ask: GrantRequest) -> Option<GrantResponse> {
        let homes = self.homes(ask.customer);
        if !homes.contains(&Some(self.me)) {
            return None;
        }
        let view = self.view.load();
        let plan = view.table.plan_of(ask.customer)?;
        let peer = if homes[1].is_some() {
            PeerState::Alive
        } else {
            PeerState::Dead
        };
        self.home
            .lock()
            .handle_request(self.clock.now(), ask, allowance(plan), peer)
    }

    fn homes(&self, customer: CustomerKey) -> [Option<DaemonKey>; 2] {
        let view = self.view.load();
        let mut placed = self.placed.lock();
        self.compare_members(&mut placed, &view);
        *placed.homes.entry(customer).or_insert_with(|| {
            let homes = view.limit_homes(customer);
            [homes.first().copied(), homes.get(1).copied()]
        })
    }

    /// Notes a change of the members when it happens. A limit home grants nothing for a while
    /// after it, and noted at the next request this time would begin with that request.
    pub fn note_members(&self) {
        let view = self.view.load();
        self.compare_members(&mut self.placed.lock(), &view);
    }

    fn compare_members(&self, placed: &mut Placed, view: &View) {
        if Arc::ptr_eq(&placed.members, &view.members) {
            return;
        }
        let before = placed.members.iter().map(|m| m.daemon);
        let same = before.eq(view.members.iter().map(|m| m.daemon));
        placed.members = view.members.clone();
        if !same {
            placed.homes.clear();
            self.home.lock().members_changed(self.clock.now());
        }
    }

    fn send(self: &Arc<Self>, sent: PendingGrantRequest) {
        if sent.home == self.me {
            return self.settle(
                sent,
                self.answer_local(sent.request).ok_or(GrantFailure::NotHome),
            );
        }
        let grants = self.clone();
        tokio::spawn(async move {
            let result = grants.ask(sent).await;
            grants.settle(sent, result);
        });
    }

    async fn ask(&self, sent: PendingGrantRequest) -> Result<GrantResponse, GrantFailure> {
        let address = self
            .view
            .load()
            .member(sent.home)
            .map(|member| member.peer_address);
        let address = address.ok_or(GrantFailure::NotHome)?;
        let ask = PeerRequest::Grant(message::GrantAsk {
            customer: sent.request.customer,
            credit: sent.request.credit,
            wanted: sent.request.wanted,
        });
        match self.peers.ask(address, &ask, GRANT_TIMEOUT).await {
            Ok(Answer::Grant(Some(answer))) => Ok(GrantResponse {
                allowed: answer.allowed,
                lifetime_ms: answer.lifetime_ms,
                retry_after_ms: answer.retry_after_ms,
            }),
            Ok(_) => Err(GrantFailure::NotHome),
            Err(_) => Err(GrantFailure::Unreachable),
        }
    }

    fn settle(&self, sent: PendingGrantRequest, result: Result<GrantResponse, GrantFailure>) {
        let now = self.clock.now();
        match result {
            Ok(answer) => self.entry.lock().handle_response(now, sent, answer),
            Err(failure) => self.entry.lock().handle_failure(now, sent, failure),
        }
        self.answered.notify_waiters();
    }
}

fn allowance(plan: &PlanEntry) -> PlanLimits {
    PlanLimits {
        rate_per_s: plan.rate_per_s,
        concurrency: plan.concurrency,
    }
}
