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
//! requests of a customer, where `burst` is [`BURST`] of the rate and one grant is
//! [`GRANT_LIFETIME`] of the rate: a home deducts a grant when it gives it, so only grants of
//! the last lifetime are spent in a window without being deducted in it, and every member has
//! at most one request on credit that a home has not yet repaid out of its rate.
//!
//! Two cases are outside of the bound. An entry that reaches neither home admits its fallback
//! share, `max(rate / members, 1/s)`, in addition. Homes that each hold the other for dead
//! while both live (a partition between regions) grant the full rate each.

mod entry;
mod home;

pub use entry::{Admission, AskFailure, ConcurrencyGuard, LimitEntry};
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
