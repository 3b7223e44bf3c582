//! Rate and concurrency limits of customers, as set by their plans.
//!
//! Each customer has two *limit homes*, daemons that each hold a token bucket filled at half of
//! the plan's rate; one token admits one request. An *entry* is a daemon that receives requests
//! from callers. It asks the homes for *grants*, batches of tokens with a short lifetime.
//!
//! # Bound
//!
//! In any window of length `t` the members together admit at most
//!
//! ```text
//! rate * t + burst + members + one grant
//! ```
//!
//! requests of a customer, where `burst` is [`BURST`] of the rate (at least one request per
//! home) and one grant is [`GRANT_LIFETIME`] of the rate (at least one request per home). A home
//! deducts a grant when it issues it, so only grants issued within one lifetime before a window
//! are spent in it without being deducted in it. Every member has at most one request admitted on
//! credit that a home has not yet repaid out of its rate.
//!
//! Two cases exceed the bound. An entry that reaches neither home additionally admits its
//! fallback share, `max(rate / members, 1/s)`. Homes that each consider the other dead while
//! both are alive (a partition between regions) each grant the full rate.

mod entry;
mod home;

pub use entry::{
    Admission, AdmissionSource, ConcurrencyGuard, EntryLimiter, GRANT_TIMEOUT, GrantFailure,
    PendingGrantRequest,
};
pub use home::{LimitHome, PeerState};

use std::time::Duration;

use crate::ids::CustomerKey;

/// Time after the grant request within which a grant may be spent.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(200);
/// Capacity of a customer's token bucket at a limit home, as time at that home's rate.
pub const BURST: Duration = Duration::from_secs(1);
/// Maximum number of customers in one table.
pub const CUSTOMERS_MAX: usize = 20_000;
/// Time without requests after which a customer may be removed from a table.
pub const IDLE_LIFETIME: Duration = Duration::from_secs(60);

/// Limits that a plan sets for one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanLimits {
    /// Requests per second over the whole fleet. At 0 an entry requests no tokens and uses neither
    /// credit nor the fallback share.
    pub rate_per_s: u32,
    /// Maximum number of concurrent requests at one entry.
    pub concurrency: u32,
}

/// Request of an entry for a grant, as in the messages between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantRequest {
    /// Customer whose tokens are requested.
    pub customer: CustomerKey,
    /// Requests admitted on credit since the last grant request.
    pub credit: u32,
    /// Tokens wanted; 0 only reports credit or probes a failed home.
    pub wanted: u32,
}

/// Response of a limit home, as in the messages between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantResponse {
    /// Tokens granted; may be fewer than wanted, or 0.
    pub allowed: u32,
    /// Lifetime of the grant in milliseconds, counted from the grant request.
    pub lifetime_ms: u32,
    /// Time in milliseconds that the entry waits before its next grant request to this home.
    pub retry_after_ms: u32,
}

/// Millionths per unit: tokens and rates are counted in millionths of a request, and accrual
/// converts between seconds and microseconds.
const MICROS_PER_UNIT: i64 = 1_000_000;

/// Tokens that accrue in `time`, in millionths, at a rate in millionths per second.
fn accrued(rate_micro: i64, time: Duration) -> i64 {
    let accrued_micro =
        i128::from(rate_micro) * time.as_micros() as i128 / i128::from(MICROS_PER_UNIT);
    i64::try_from(accrued_micro).unwrap_or(i64::MAX)
}

/// Time in which tokens accrue at a rate, rounded up by at most one microsecond.
fn time_to_accrue(rate_micro: i64, tokens_micro: i64) -> Duration {
    if tokens_micro <= 0 {
        return Duration::ZERO;
    }
    if rate_micro <= 0 {
        return Duration::MAX;
    }
    let micros =
        (i128::from(tokens_micro) * i128::from(MICROS_PER_UNIT)).div_euclid(rate_micro.into());
    Duration::from_micros(u64::try_from(micros + 1).unwrap_or(u64::MAX))
}
