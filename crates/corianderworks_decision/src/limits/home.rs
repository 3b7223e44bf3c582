//! Limit home of customers: gives out grants.

use std::time::Duration;

use super::{Allowance, GrantAnswer, GrantAsk};
use crate::ids::CustomerKey;

/// What membership says about the other limit home of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// It lives or is only suspected.
    Alive,
    /// Its death is confirmed, or no other member exists.
    Dead,
}

/// Allowances of the customers that this daemon is a limit home of.
#[derive(Debug, Default)]
pub struct LimitHome {}

impl LimitHome {
    /// Answers a request for allowance; `peer` is the state of the customer's other home.
    pub fn ask(
        &mut self,
        now: Duration,
        ask: GrantAsk,
        allowance: Allowance,
        peer: PeerState,
    ) -> GrantAnswer {
        let _ = (now, ask, allowance, peer);
        todo!()
    }

    /// Forgets idle customers whose allowance is full.
    pub fn evict_idle(&mut self, now: Duration) -> usize {
        let _ = now;
        0
    }

    /// Forgets a customer that this daemon is no longer a home of.
    pub fn release(&mut self, customer: CustomerKey) {
        let _ = customer;
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
