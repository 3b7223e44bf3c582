//! Limit home side of the rate limit: issues grants from token buckets.

use std::collections::HashMap;
use std::time::Duration;

use super::{
    BURST, CUSTOMERS_MAX, GRANT_LIFETIME, GrantRequest, GrantResponse, IDLE_LIFETIME,
    MICROS_PER_UNIT, PlanLimits, accrued, time_to_accrue,
};
use crate::ids::CustomerKey;

/// Membership state of the other limit home of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// The other home is alive or only suspected.
    Alive,
    /// The other home is confirmed dead, or no other member exists.
    Dead,
}

#[derive(Debug)]
struct Bucket {
    /// Tokens in millionths of a request; negative while credit is not yet repaid.
    tokens_micro: i64,
    updated: Duration,
    last_used: Duration,
    /// Time from which this home grants the full rate, unset while the other home is alive.
    full_rate_from: Option<Duration>,
    rate_per_s: u32,
    /// Retry time of the last refused entry, by which the tokens of all refused entries have
    /// accrued.
    last_retry_at: Duration,
}

/// Token buckets of the customers for which this daemon is a limit home.
///
/// A home grants half of the rate. After the other home is confirmed dead, this home waits until
/// the last grant of the other one has expired and then grants the full rate until the other is
/// back.
#[derive(Debug)]
pub struct LimitHome {
    buckets: HashMap<CustomerKey, Bucket>,
    capacity: usize,
    /// Time of the last start or membership change; new buckets accrue tokens only after it.
    accrual_start: Duration,
}

impl LimitHome {
    /// Creates a home with empty buckets, because a previous run may have granted the tokens.
    pub fn new(now: Duration) -> Self {
        Self::with_capacity(now, CUSTOMERS_MAX)
    }

    /// Creates a home for at most `capacity` customers.
    pub fn with_capacity(now: Duration, capacity: usize) -> Self {
        Self {
            buckets: HashMap::new(),
            capacity,
            accrual_start: now,
        }
    }

    /// Handles a membership change. A customer may move here from another home that already
    /// granted its tokens, so new buckets accrue tokens only from now on.
    pub fn members_changed(&mut self, now: Duration) {
        self.accrual_start = now;
    }

    /// Handles a grant request; `peer` is the state of the customer's other home.
    ///
    /// Returns `None` if the table is full. The credit is not deducted then, so the entry must
    /// treat the request as failed.
    pub fn handle_request(
        &mut self,
        now: Duration,
        request: GrantRequest,
        limits: PlanLimits,
        peer: PeerState,
    ) -> Option<GrantResponse> {
        if !self.ensure_capacity(now, request.customer) {
            return None;
        }
        let accrual_start = self.accrual_start;
        let bucket = self
            .buckets
            .entry(request.customer)
            .or_insert_with(|| Bucket::new(accrual_start + GRANT_LIFETIME, limits.rate_per_s));
        bucket.advance(now, limits.rate_per_s, peer);
        bucket.last_used = now;
        bucket.tokens_micro -= i64::from(request.credit) * MICROS_PER_UNIT;
        let grant_max = accrued(bucket.current_rate(now), GRANT_LIFETIME).max(MICROS_PER_UNIT)
            / MICROS_PER_UNIT;
        let available = bucket.tokens_micro.max(0) / MICROS_PER_UNIT;
        let allowed = i64::from(request.wanted).min(grant_max).min(available);
        bucket.tokens_micro -= allowed * MICROS_PER_UNIT;
        // An entry that only reports credit waits until that credit is repaid.
        let needed = if request.wanted > 0 {
            MICROS_PER_UNIT
        } else {
            0
        };
        let wait = if allowed > 0 {
            Duration::ZERO
        } else {
            // Computed at half of the rate even while this home grants the full rate, because
            // the other home may return before the credit is repaid.
            let repaid = time_to_accrue(bucket.half_rate(), needed - bucket.tokens_micro);
            bucket.schedule_retry(now, repaid)
        };
        Some(grant_response(u32::try_from(allowed).unwrap_or(0), wait))
    }

    /// Removes idle customers with a full bucket, which are recreated equally full later.
    ///
    /// Returns the number of removed customers.
    pub fn evict_idle(&mut self, now: Duration) -> usize {
        let before = self.buckets.len();
        self.buckets.retain(|_, bucket| {
            bucket.refill(now);
            now.saturating_sub(bucket.last_used) < IDLE_LIFETIME
                || bucket.tokens_micro < burst_micro(bucket.current_rate(now))
        });
        before - self.buckets.len()
    }

    /// Removes a customer for which this daemon is no longer a limit home.
    pub fn remove_customer(&mut self, customer: CustomerKey) {
        self.buckets.remove(&customer);
    }

    /// Number of customers with a bucket, idle ones included.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no customer has a bucket, as after a start.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn ensure_capacity(&mut self, now: Duration, customer: CustomerKey) -> bool {
        self.buckets.contains_key(&customer)
            || self.buckets.len() < self.capacity
            || self.evict_idle(now) > 0
    }
}

impl Bucket {
    fn new(since: Duration, rate_per_s: u32) -> Self {
        Self {
            tokens_micro: 0,
            updated: since,
            last_used: since,
            full_rate_from: None,
            rate_per_s,
            last_retry_at: since,
        }
    }

    /// Returns the time after which a refused entry should retry.
    ///
    /// The retry times of refused entries are one token interval apart instead of all at the next
    /// token, so that refused requests come at most at the rate.
    fn schedule_retry(&mut self, now: Duration, repaid: Duration) -> Duration {
        if repaid.is_zero() {
            return repaid;
        }
        let interval = time_to_accrue(self.half_rate(), MICROS_PER_UNIT);
        self.last_retry_at = self.last_retry_at.max(now).saturating_add(interval);
        repaid.max(self.last_retry_at - now)
    }

    /// Rate that this home grants at a time, in millionths of a request per second.
    fn current_rate(&self, now: Duration) -> i64 {
        match self.full_rate_from {
            Some(from) if from <= now => 2 * self.half_rate(),
            _ => self.half_rate(),
        }
    }

    fn half_rate(&self) -> i64 {
        i64::from(self.rate_per_s) * MICROS_PER_UNIT / 2
    }

    fn advance(&mut self, now: Duration, rate_per_s: u32, peer: PeerState) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.full_rate_from = match peer {
            PeerState::Alive => None,
            PeerState::Dead => Some(self.full_rate_from.unwrap_or(now + GRANT_LIFETIME)),
        };
        self.tokens_micro = self.tokens_micro.min(burst_micro(self.current_rate(now)));
    }

    /// Accrues tokens at the rate in force at the last update. If the takeover of the full rate
    /// falls between that update and now, this is the lower rate.
    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        let gained_micro = accrued(self.current_rate(self.updated), elapsed);
        if gained_micro > 0 {
            self.tokens_micro = self.tokens_micro.saturating_add(gained_micro);
            self.updated = now;
        }
    }
}

/// Capacity in millionths of a bucket with a rate: [`BURST`] of the rate, at least one request.
fn burst_micro(current_rate: i64) -> i64 {
    accrued(current_rate, BURST).max(MICROS_PER_UNIT)
}

fn grant_response(allowed: u32, wait: Duration) -> GrantResponse {
    // Rounded up, because an entry that retried early would find the credit not yet repaid.
    let wait_ms = wait.as_micros().div_ceil(1000);
    GrantResponse {
        allowed,
        lifetime_ms: GRANT_LIFETIME.as_millis() as u32,
        retry_after_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
    }
}
