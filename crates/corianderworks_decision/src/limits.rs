//! Allowance of customers: rate and concurrency of their plans.
//!
//! Each customer has two limit homes with half of the rate each. Entries ask them for grants.
//!
//! # Bound
//!
//! In any window of length `t` the members admit together at most
//!
//! ```text
//! rate * t + burst + members + one grant
//! ```
//!
//! requests of a customer, where `burst` is [`BURST`] of the rate (at least one request per home) and one grant is
//! [`GRANT_LIFETIME`] of the rate (at least one request per home): a home deducts a grant when it gives it, so only grants of
//! the last lifetime are spent in a window without being deducted in it, and every member has
//! at most one request on credit that a home has not yet repaid out of its rate.
//!
//! Two cases are outside of the bound. An entry that reaches neither home admits its fallback
//! share, `max(rate / members, 1/s)`, in addition. Homes that each hold the other for dead
//! while both live (a partition between regions) grant the full rate each.

mod entry;
mod home;

pub use entry::{ASK_TIMEOUT, Admission, AskFailure, ConcurrencyGuard, LimitEntry, SentAsk, Spent};
pub use home::{LimitHome, PeerState};

use std::time::Duration;

use crate::ids::CustomerKey;

/// Time for which a grant may be spent.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(200);
/// Allowance that a limit home saves up for a customer, as time at the customer's rate.
pub const BURST: Duration = Duration::from_secs(1);
/// Customers that one table holds at most.
pub const CUSTOMERS_MAX: usize = 20_000;
/// Time after which an idle customer may be forgotten.
pub const IDLE_LIFETIME: Duration = Duration::from_secs(60);

/// What a plan allows one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Requests per second.
    pub rate_per_s: u32,
    /// Requests at once at one entry.
    pub concurrency: u32,
}

/// Request for allowance, as in the messages between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantAsk {
    /// Customer.
    pub customer: CustomerKey,
    /// Requests admitted on credit since the last ask.
    pub credit: u32,
    /// Requests wanted for the next period.
    pub wanted: u32,
}

/// Answer of a limit home, as in the messages between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantAnswer {
    /// Requests allowed.
    pub allowed: u32,
    /// Lifetime of the allowance in milliseconds.
    pub lifetime_ms: u32,
    /// Time until a new ask makes sense, in milliseconds.
    pub retry_after_ms: u32,
}

/// Fractions of a request that allowances are counted in.
const MICRO: i64 = 1_000_000;

/// Allowance in millionths of a request that a rate yields, given in the same unit per second.
fn earned(rate_micro: i64, time: Duration) -> i64 {
    let micro = i128::from(rate_micro) * time.as_micros() as i128 / i128::from(MICRO);
    i64::try_from(micro).unwrap_or(i64::MAX)
}

/// Time that a rate needs to yield an allowance.
fn time_for(rate_micro: i64, allowance_micro: i64) -> Duration {
    if allowance_micro <= 0 {
        return Duration::ZERO;
    }
    if rate_micro <= 0 {
        return Duration::MAX;
    }
    let micros = (i128::from(allowance_micro) * i128::from(MICRO)).div_euclid(rate_micro.into());
    Duration::from_micros(u64::try_from(micros + 1).unwrap_or(u64::MAX))
}
