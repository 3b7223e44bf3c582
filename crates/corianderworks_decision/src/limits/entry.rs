//! Entry side of the limits: spends grants and asks for new ones.

use std::time::Duration;

use super::{Allowance, GrantAnswer, GrantAsk};
use crate::ids::{CustomerKey, DaemonKey};

/// Releases one of the customer's places when dropped.
#[derive(Debug)]
pub struct ConcurrencyGuard {}

/// Decision on one request of a customer.
#[derive(Debug)]
pub enum Admission {
    /// The request is admitted; keep the guard until its end.
    Admitted(ConcurrencyGuard),
    /// The customer is over its rate; not run.
    OverRate {
        /// Time until a new request makes sense.
        retry_after: Duration,
    },
    /// The customer has too many requests at once; not run.
    OverConcurrency,
    /// The table of customers is full of active ones; not run.
    Full,
}

/// Why an ask got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskFailure {
    /// The home can't be reached or did not answer in time.
    Unreachable,
    /// The daemon says that it is not a home of the customer.
    NotHome,
}

/// Allowances of customers at one entry.
#[derive(Debug, Default)]
pub struct LimitEntry {}

impl LimitEntry {
    /// Decides on a request, and returns an ask to send when the allowance runs low.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: CustomerKey,
        allowance: Allowance,
        homes: [Option<DaemonKey>; 2],
        members: usize,
    ) -> (Admission, Option<(DaemonKey, GrantAsk)>) {
        let _ = (now, customer, allowance, homes, members);
        todo!()
    }

    /// Takes the answer of a home to the ask that was sent to it.
    pub fn answered(
        &mut self,
        now: Duration,
        customer: CustomerKey,
        home: DaemonKey,
        answer: GrantAnswer,
    ) {
        let _ = (now, customer, home, answer);
    }

    /// Notes that an ask got no answer.
    pub fn failed(
        &mut self,
        now: Duration,
        customer: CustomerKey,
        home: DaemonKey,
        failure: AskFailure,
    ) {
        let _ = (now, customer, home, failure);
    }

    /// Forgets customers without requests for [`IDLE_LIFETIME`](super::IDLE_LIFETIME).
    pub fn evict_idle(&mut self, now: Duration) -> usize {
        let _ = now;
        0
    }

    /// Number of customers held.
    pub fn len(&self) -> usize {
        0
    }

    /// Tells whether no customer is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
