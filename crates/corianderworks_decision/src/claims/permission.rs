//! Permission to dispatch a request, and the proof that its deadline was checked.

use std::marker::PhantomData;
use std::time::Duration;

/// Marker of a key under an issued prefix.
#[derive(Debug)]
pub enum Issued {}
/// Marker of a caller-generated key with a claim.
#[derive(Debug)]
pub enum Claimed {}
/// Marker of a request without a key.
#[derive(Debug)]
pub enum Keyless {}

/// Why a request was provably not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The deadline passed before the request was handed over.
    TooLate,
    /// No slot or queue place was free in time, or no backend server was usable.
    Refused,
    /// The caller went away before the request was handed over.
    Abandoned,
    /// The key belongs to a different request.
    Conflict,
    /// The table of keys is full of younger keys.
    Full,
    /// The state of the key was asked before the request arrived.
    Asked,
    /// The daemon's share of the platform's writes is used up.
    OverBudget,
    /// The platform is unavailable.
    Outage,
}

/// Permission to dispatch one request once, before its deadline.
///
/// It can't be copied. Dropping it without a hand-over means that the request never runs.
#[must_use = "hand the request over or refuse it"]
#[derive(Debug)]
pub struct Permission<K> {
    pub(super) ticket: u64,
    pub(super) deadline: Duration,
    pub(super) kind: PhantomData<K>,
}

/// Proof that a request was recorded as handed over before its deadline.
///
/// Functions that write a request to a backend server take a reference to it.
#[must_use = "report the outcome with `finish`"]
#[derive(Debug)]
pub struct HandedOver<K> {
    pub(super) ticket: u64,
    pub(super) kind: PhantomData<K>,
}

/// Result of the check at the moment of the hand-over.
#[derive(Debug)]
pub enum HandOver<K> {
    /// Write the request to the backend server now.
    Go(HandedOver<K>),
    /// The request was not run and never will be.
    NotRun(NotRunReason),
}

impl<K> Permission<K> {
    pub(super) fn new(ticket: u64, deadline: Duration) -> Self {
        Self {
            ticket,
            deadline,
            kind: PhantomData,
        }
    }

    /// Time after which the request may no longer be handed over.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Checks the deadline; the caller records the hand-over.
    pub(super) fn check(self, now: Duration) -> HandOver<K> {
        if now >= self.deadline {
            return HandOver::NotRun(NotRunReason::TooLate);
        }
        HandOver::Go(HandedOver {
            ticket: self.ticket,
            kind: PhantomData,
        })
    }
}

impl Permission<Keyless> {
    /// Permits one dispatch of a request without a key.
    pub fn keyless(deadline: Duration) -> Self {
        Self::new(0, deadline)
    }

    /// Checks the deadline at the moment of the hand-over.
    pub fn hand_over(self, now: Duration) -> HandOver<Keyless> {
        self.check(now)
    }
}
