//! Entry side of the limits: admits requests on grants and requests new grants.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use super::{
    CUSTOMERS_MAX, GRANT_LIFETIME, GrantRequest, GrantResponse, IDLE_LIFETIME, MICROS_PER_UNIT,
    PlanLimits, accrued, time_to_accrue,
};
use crate::ids::{CustomerKey, DaemonKey};

/// Time after which a grant request without a response counts as failed.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which no grant request is sent to a home that did not respond.
const GRANT_BACKOFF: Duration = Duration::from_secs(1);
/// Remaining lifetime below which a grant is treated as spent when deciding on a renewal,
/// because a response takes some milliseconds.
const RENEWAL_MARGIN: Duration = Duration::from_millis(50);

/// One concurrent request of a customer, released on drop.
#[derive(Debug)]
pub struct ConcurrencyGuard {
    in_use: Arc<AtomicU32>,
}

impl Drop for ConcurrencyGuard {
    fn drop(&mut self) {
        self.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Decision on one request of a customer.
#[derive(Debug)]
pub enum Admission {
    /// The request is admitted. The guard must be kept until the request ends.
    Admitted(ConcurrencyGuard, AdmissionSource),
    /// A grant request is in flight. Call [`EntryLimiter::admit`] again on its response or
    /// failure, which follows within [`GRANT_TIMEOUT`].
    Wait,
    /// The customer exceeds its rate; the request is not run.
    OverRate {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The customer has too many concurrent requests; the request is not run.
    OverConcurrency,
    /// The table is full of active customers; the request is not run.
    TableFull,
}

/// Source of the token on which a request was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionSource {
    /// A grant of a limit home.
    Grant,
    /// Credit, reported to a home with the next grant request and repaid there.
    Credit,
    /// The fallback share, used while no home is reachable.
    Fallback,
}

/// Grant request to send, passed back to the limiter with its response or failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingGrantRequest {
    /// Home to which the request is sent.
    pub home: DaemonKey,
    /// Content of the message to that home.
    pub request: GrantRequest,
    /// Time at which the request is sent. The lifetime of the grant counts from here, so the
    /// grant expires at the entry before the home considers it expired.
    pub sent_at: Duration,
    number: u64,
}

/// Why a grant request got no grant response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantFailure {
    /// The home can't be reached or did not respond in time.
    Unreachable,
    /// The daemon responded that it is not a home of the customer, or is not a known member.
    NotHome,
}

/// State of a customer's credit, which is one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Credit {
    Free,
    Taken,
    /// Reported with the grant request of this number. A lost response returns it to `Taken`.
    Reported(u64),
}

/// A grant of which some tokens remain.
#[derive(Debug)]
struct PartialGrant {
    remaining: u32,
    expires: Duration,
}

/// State of one home of a customer, as seen by this entry.
#[derive(Debug, Default)]
struct HomeState {
    home: Option<DaemonKey>,
    in_flight: Option<PendingGrantRequest>,
    refused_until: Duration,
    failed: bool,
    not_before: Duration,
}

#[derive(Debug)]
struct Customer {
    home_states: [HomeState; 2],
    grants: Vec<PartialGrant>,
    credit: Credit,
    /// Time at which a home has repaid the last credit, so that credit may be taken again.
    credit_available_from: Duration,
    in_use: Arc<AtomicU32>,
    last_used: Duration,
    window_start: Duration,
    window_count: u32,
    previous_count: u32,
    fallback_micro: i64,
    fallback_updated: Duration,
}

/// Grants, credit and concurrent requests of customers at one entry.
#[derive(Debug)]
pub struct EntryLimiter {
    customers: HashMap<CustomerKey, Customer>,
    capacity: usize,
    requests_sent: u64,
}

impl Default for EntryLimiter {
    fn default() -> Self {
        Self::with_capacity(CUSTOMERS_MAX)
    }
}

impl EntryLimiter {
    /// Creates a limiter for at most `capacity` customers.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            customers: HashMap::new(),
            capacity,
            requests_sent: 0,
        }
    }

    /// Decides on a request, and returns a grant request to send if the remaining tokens run low.
    ///
    /// A request that is retried after [`Admission::Wait`] passes `repeated`, so that it counts
    /// once in the demand.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: CustomerKey,
        limits: PlanLimits,
        homes: [Option<DaemonKey>; 2],
        members: usize,
        repeated: bool,
    ) -> (Admission, Option<PendingGrantRequest>) {
        if !self.ensure_capacity(now, customer) {
            return (Admission::TableFull, None);
        }
        let number = self.requests_sent + 1;
        let state = self
            .customers
            .entry(customer)
            .or_insert_with(|| Customer::new(now));
        state.update(now, homes, repeated);
        if state.in_use.load(Ordering::Relaxed) >= limits.concurrency {
            return (Admission::OverConcurrency, None);
        }
        let source = state.try_spend(now, limits.rate_per_s, members);
        let request = state.request_grant(now, number, customer, limits.rate_per_s);
        if request.is_some() {
            self.requests_sent = number;
        }
        let admission = match source {
            Some(source) => Admission::Admitted(state.acquire_concurrency(), source),
            None if state.may_wait(now) => Admission::Wait,
            None => Admission::OverRate {
                retry_after: state.retry_after(now, limits.rate_per_s, members),
            },
        };
        (admission, request)
    }

    /// Handles the response of a home to a grant request.
    pub fn handle_response(
        &mut self,
        now: Duration,
        sent: PendingGrantRequest,
        response: GrantResponse,
    ) {
        let Some(customer) = self.customers.get_mut(&sent.request.customer) else {
            return;
        };
        let Some(home_state) = customer.home_state_of(&sent) else {
            return;
        };
        home_state.in_flight = None;
        home_state.failed = false;
        let refused_until = now + Duration::from_millis(response.retry_after_ms.into());
        home_state.refused_until = refused_until;
        if customer.credit == Credit::Reported(sent.number) {
            customer.credit = Credit::Free;
            customer.credit_available_from = refused_until;
        }
        if response.allowed > 0 {
            let lifetime = Duration::from_millis(response.lifetime_ms.into()).min(GRANT_LIFETIME);
            customer.grants.push(PartialGrant {
                remaining: response.allowed,
                expires: sent.sent_at + lifetime,
            });
        }
    }

    /// Handles a grant request that got no response.
    pub fn handle_failure(
        &mut self,
        now: Duration,
        sent: PendingGrantRequest,
        failure: GrantFailure,
    ) {
        if let Some(customer) = self.customers.get_mut(&sent.request.customer) {
            customer.request_failed(now, sent, failure);
        }
    }

    /// Removes customers without requests for [`IDLE_LIFETIME`] and returns their number.
    pub fn evict_idle(&mut self, now: Duration) -> usize {
        let before = self.customers.len();
        self.customers.retain(|_, customer| {
            now.saturating_sub(customer.last_used) < IDLE_LIFETIME
                // A customer with unrepaid credit stays, or the credit could be taken twice.
                || customer.credit != Credit::Free
                || customer.credit_available_from > now
                || customer.in_use.load(Ordering::Relaxed) > 0
        });
        before - self.customers.len()
    }

    /// Number of customers in the table, idle ones included.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether the table has no customer, as after a start.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    fn ensure_capacity(&mut self, now: Duration, customer: CustomerKey) -> bool {
        self.customers.contains_key(&customer)
            || self.customers.len() < self.capacity
            || self.evict_idle(now) > 0
    }
}

impl Customer {
    fn new(now: Duration) -> Self {
        Self {
            home_states: [HomeState::default(), HomeState::default()],
            grants: Vec::new(),
            credit_available_from: Duration::ZERO,
            credit: Credit::Free,
            in_use: Arc::default(),
            last_used: now,
            window_start: now,
            window_count: 0,
            previous_count: 0,
            fallback_micro: MICROS_PER_UNIT,
            fallback_updated: now,
        }
    }

    fn acquire_concurrency(&self) -> ConcurrencyGuard {
        self.in_use.fetch_add(1, Ordering::Relaxed);
        ConcurrencyGuard {
            in_use: Arc::clone(&self.in_use),
        }
    }

    /// Updates homes, demand and expired grants and requests before a decision.
    fn update(&mut self, now: Duration, homes: [Option<DaemonKey>; 2], repeated: bool) {
        self.last_used = now;
        if !repeated {
            let passed = now.saturating_sub(self.window_start);
            if passed >= GRANT_LIFETIME {
                let adjacent = passed < 2 * GRANT_LIFETIME;
                self.previous_count = if adjacent { self.window_count } else { 0 };
                self.window_count = 0;
                self.window_start = now;
            }
            self.window_count = self.window_count.saturating_add(1);
        }
        self.grants
            .retain(|grant| grant.remaining > 0 && now < grant.expires);
        for (index, &home) in homes.iter().enumerate() {
            if let Some(sent) = self.home_states[index].in_flight
                && now >= sent.sent_at + GRANT_TIMEOUT
            {
                self.request_failed(now, sent, GrantFailure::Unreachable);
            }
            if self.home_states[index].home != home {
                let lost_request = self.home_states[index].in_flight;
                self.home_states[index] = HomeState {
                    home,
                    ..HomeState::default()
                };
                self.restore_credit(lost_request);
            }
        }
    }

    /// Takes a token from a grant, the credit or the fallback share, if one is available.
    fn try_spend(
        &mut self,
        now: Duration,
        rate_per_s: u32,
        members: usize,
    ) -> Option<AdmissionSource> {
        if let Some(grant) = self.grants.iter_mut().min_by_key(|grant| grant.expires) {
            grant.remaining -= 1;
            self.grants.retain(|grant| grant.remaining > 0);
            return Some(AdmissionSource::Grant);
        }
        if rate_per_s == 0 {
            return None;
        }
        if !self.has_reachable_home() {
            return self.try_spend_fallback(now, rate_per_s, members);
        }
        if self.credit == Credit::Free && self.credit_available_from <= now {
            self.credit = Credit::Taken;
            return Some(AdmissionSource::Credit);
        }
        None
    }

    fn try_spend_fallback(
        &mut self,
        now: Duration,
        rate_per_s: u32,
        members: usize,
    ) -> Option<AdmissionSource> {
        let share = fallback_share(rate_per_s, members);
        let gained_micro = accrued(share, now.saturating_sub(self.fallback_updated));
        if gained_micro > 0 {
            self.fallback_micro = self
                .fallback_micro
                .saturating_add(gained_micro)
                .min(MICROS_PER_UNIT);
            self.fallback_updated = now;
        }
        if self.fallback_micro < MICROS_PER_UNIT {
            return None;
        }
        self.fallback_micro -= MICROS_PER_UNIT;
        Some(AdmissionSource::Fallback)
    }

    /// Returns a grant request ahead of use, to the home whose last request is older.
    fn request_grant(
        &mut self,
        now: Duration,
        number: u64,
        customer: CustomerKey,
        rate_per_s: u32,
    ) -> Option<PendingGrantRequest> {
        if rate_per_s == 0 {
            return None;
        }
        // No grant is requested for a customer with at most one request per grant lifetime. The
        // grant would expire unused and waste tokens of its home's bucket.
        let demand = self.previous_count.max(self.window_count).saturating_sub(1);
        let remaining: u32 = self
            .grants
            .iter()
            .map(|grant| grant.remaining_at(now + RENEWAL_MARGIN))
            .sum();
        let running_low = demand > 0 && remaining <= demand / 2;
        let wanted = if running_low {
            (demand - remaining).div_ceil(2)
        } else {
            0
        };
        let credit_unreported = self.credit == Credit::Taken;
        let home_state = self
            .home_states
            .iter_mut()
            .filter(|home_state| {
                home_state.may_request(now)
                    && (credit_unreported || running_low || home_state.failed)
            })
            .min_by_key(|home_state| (home_state.failed, home_state.not_before))?;
        let sent = PendingGrantRequest {
            home: home_state.home?,
            request: GrantRequest {
                customer,
                credit: credit_unreported.into(),
                wanted,
            },
            sent_at: now,
            number,
        };
        home_state.in_flight = Some(sent);
        home_state.not_before = now;
        if credit_unreported {
            self.credit = Credit::Reported(number);
        }
        Some(sent)
    }

    fn request_failed(&mut self, now: Duration, sent: PendingGrantRequest, failure: GrantFailure) {
        let Some(home_state) = self.home_state_of(&sent) else {
            return;
        };
        home_state.in_flight = None;
        home_state.failed = true;
        home_state.not_before = match failure {
            GrantFailure::Unreachable => now + GRANT_BACKOFF,
            // The members' views of the fleet differ only briefly, so the wait is short.
            GrantFailure::NotHome => now + GRANT_LIFETIME,
        };
        self.restore_credit(Some(sent));
    }

    fn restore_credit(&mut self, lost_request: Option<PendingGrantRequest>) {
        if let Some(sent) = lost_request
            && self.credit == Credit::Reported(sent.number)
        {
            self.credit = Credit::Taken;
        }
    }

    fn home_state_of(&mut self, sent: &PendingGrantRequest) -> Option<&mut HomeState> {
        let number = Some(sent.number);
        self.home_states
            .iter_mut()
            .find(|home_state| home_state.in_flight.map(|request| request.number) == number)
    }

    fn has_reachable_home(&self) -> bool {
        self.home_states
            .iter()
            .any(|home_state| home_state.home.is_some() && !home_state.failed)
    }

    fn may_wait(&self, now: Duration) -> bool {
        self.home_states.iter().any(|home_state| {
            home_state.in_flight.is_some() && !home_state.failed && home_state.refused_until <= now
        })
    }

    fn retry_after(&self, now: Duration, rate_per_s: u32, members: usize) -> Duration {
        if !self.has_reachable_home() {
            let missing_micro = MICROS_PER_UNIT - self.fallback_micro;
            return time_to_accrue(fallback_share(rate_per_s, members), missing_micro);
        }
        let home_states = self
            .home_states
            .iter()
            .filter(|home_state| home_state.home.is_some());
        home_states
            .map(|home_state| home_state.refused_until.saturating_sub(now))
            .min()
            .unwrap_or_default()
            .max(Duration::from_millis(1))
    }
}

impl HomeState {
    fn may_request(&self, now: Duration) -> bool {
        self.home.is_some()
            && self.in_flight.is_none()
            && self.refused_until <= now
            && self.not_before <= now
    }
}

impl PartialGrant {
    fn remaining_at(&self, time: Duration) -> u32 {
        if time < self.expires {
            self.remaining
        } else {
            0
        }
    }
}

fn fallback_share(rate_per_s: u32, members: usize) -> i64 {
    let members = i64::try_from(members.max(1)).unwrap_or(i64::MAX);
    (i64::from(rate_per_s) * MICROS_PER_UNIT / members).max(MICROS_PER_UNIT)
}
