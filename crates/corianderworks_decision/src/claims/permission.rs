//! Right to dispatch a request once, and proof that its deadline was checked.

use std::marker::PhantomData;
use std::time::Duration;

/// Type marker for keys under an issued prefix.
#[derive(Debug)]
pub enum Issued {}
/// Type marker for caller-generated keys with a claim.
#[derive(Debug)]
pub enum Claimed {}
/// Type marker for requests without a key.
#[derive(Debug)]
pub enum Keyless {}

/// Why a request was provably not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The deadline passed before the request was dispatched.
    DeadlinePassed,
    /// No slot or queue position became free in time, or no backend server was usable.
    Refused,
    /// The caller disconnected before the request was dispatched.
    Abandoned,
    /// The key was already used for a different request.
    Conflict,
    /// The key table is full of entries that are too recent to evict.
    TableFull,
    /// The state of the key was queried before the request arrived.
    SealedByQuery,
    /// The daemon's share of the platform's write budget is exhausted.
    OverBudget,
    /// The platform is unavailable.
    Outage,
}

/// Right to dispatch one request once, before its deadline.
///
/// It can't be copied. If it is dropped without a dispatch, the request never runs.
#[must_use = "dispatch the request or refuse it"]
#[derive(Debug)]
pub struct DispatchPermission<K> {
    pub(super) raw_id: u64,
    pub(super) deadline: Duration,
    pub(super) kind: PhantomData<K>,
}

/// Proof that a request was recorded as dispatched before its deadline.
///
/// Functions that write a request to a backend server take a reference to it.
#[must_use = "report the outcome with `finish`"]
#[derive(Debug)]
pub struct Dispatched<K> {
    pub(super) raw_id: u64,
    pub(super) kind: PhantomData<K>,
}

/// Result of the deadline check immediately before dispatch.
#[derive(Debug)]
pub enum DispatchCheck<K> {
    /// Write the request to the backend server now.
    Proceed(Dispatched<K>),
    /// The request was not run and never will be.
    NotRun(NotRunReason),
}

impl<K> DispatchPermission<K> {
    pub(super) fn new(raw_id: u64, deadline: Duration) -> Self {
        Self {
            raw_id,
            deadline,
            kind: PhantomData,
        }
    }

    /// Monotonic time from which the request may no longer be dispatched.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Checks the deadline; the calling code records the dispatch.
    pub(super) fn check(self, now: Duration) -> DispatchCheck<K> {
        if now >= self.deadline {
            return DispatchCheck::NotRun(NotRunReason::DeadlinePassed);
        }
        DispatchCheck::Proceed(Dispatched {
            raw_id: self.raw_id,
            kind: PhantomData,
        })
    }
}

impl DispatchPermission<Keyless> {
    /// Permits one dispatch of a request without a key.
    pub fn keyless(deadline: Duration) -> Self {
        Self::new(0, deadline)
    }

    /// Checks the deadline immediately before the first byte is written.
    pub fn dispatch(self, now: Duration) -> DispatchCheck<Keyless> {
        self.check(now)
    }
}
