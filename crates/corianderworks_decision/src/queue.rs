//! Bounded request queue of a service: ordered by plan priority, then round robin over customers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::dispatch_types::{RequestView, Ticket};
use crate::ids::CustomerKey;

/// A queued request and the time it was queued at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued {
    /// Request with its customer, priority and deadline.
    pub request: RequestView,
    /// Monotonic time at which it was queued.
    pub since: Duration,
}

/// Result of `Queue::push`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushResult {
    /// The request was added.
    Queued,
    /// The request was added and this one was evicted; the caller must refuse it.
    Replaced(Ticket),
    /// The queue is full and holds nothing that the request may evict.
    Full,
}

/// Requests of one priority, served round robin over the customers.
#[derive(Debug, Default)]
struct PriorityLevel {
    round_robin: VecDeque<CustomerKey>,
    by_customer: BTreeMap<CustomerKey, VecDeque<Queued>>,
}

impl PriorityLevel {
    fn push(&mut self, entry: Queued) {
        let customer = entry.request.customer;
        let entries = self.by_customer.entry(customer).or_default();
        if entries.is_empty() {
            self.round_robin.push_back(customer);
        }
        entries.push_back(entry);
    }

    fn longest_backlog(&self) -> Option<(usize, CustomerKey)> {
        let lengths = self
            .by_customer
            .iter()
            .map(|(c, entries)| (entries.len(), *c));
        lengths.max()
    }

    fn remove(&mut self, customer: CustomerKey, index: usize) -> Option<Queued> {
        let entries = self.by_customer.get_mut(&customer)?;
        let entry = entries.remove(index)?;
        let empty = entries.is_empty();
        if empty {
            self.by_customer.remove(&customer);
            self.round_robin.retain(|c| *c != customer);
        }
        Some(entry)
    }

    fn take_if<F>(&mut self, accepts: &mut F) -> Option<Queued>
    where
        F: FnMut(&Queued) -> bool,
    {
        let position = self.round_robin.iter().position(|customer| {
            let first = self.by_customer.get(customer).and_then(VecDeque::front);
            first.is_some_and(&mut *accepts)
        })?;
        let customer = self.round_robin.remove(position)?;
        // Moves the customer behind all other customers with queued requests.
        self.round_robin.push_back(customer);
        self.remove(customer, 0)
    }
}

/// Bounded queue; its bound is 0 until `set_bound` is called.
#[derive(Debug, Default)]
pub struct Queue {
    bound: usize,
    len: usize,
    levels: BTreeMap<Reverse<u8>, PriorityLevel>,
}

impl Queue {
    /// Sets the maximum length; requests beyond a reduced bound stay until served or late.
    pub fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Maximum length in requests.
    pub fn bound(&self) -> usize {
        self.bound
    }

    /// Number of queued requests of all priorities.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True when no request of any priority is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of queued requests with the same or a higher priority, which precede a new one.
    pub fn ahead_of(&self, priority: u8) -> usize {
        let levels = self.levels.range(..=Reverse(priority));
        levels
            .flat_map(|(_, level)| level.by_customer.values())
            .map(VecDeque::len)
            .sum()
    }

    /// Adds a request; when the queue is full, it may evict one of a lower priority, or one of the
    /// same priority from a customer that has more queued, the new one included.
    pub fn push(&mut self, now: Duration, request: RequestView) -> PushResult {
        let mut replaced = None;
        if self.len >= self.bound {
            match self.evict_for(&request) {
                Some(ticket) => replaced = Some(ticket),
                None => return PushResult::Full,
            }
        }
        self.len += 1;
        let level = self.levels.entry(Reverse(request.priority)).or_default();
        level.push(Queued {
            request,
            since: now,
        });
        replaced.map_or(PushResult::Queued, PushResult::Replaced)
    }

    fn evict_for(&mut self, request: &RequestView) -> Option<Ticket> {
        let (&Reverse(lowest), level) = self.levels.iter_mut().next_back()?;
        let (longest_backlog, customer) = level.longest_backlog()?;
        let own_backlog = level
            .by_customer
            .get(&request.customer)
            .map_or(0, VecDeque::len);
        let may_evict = lowest < request.priority
            || (lowest == request.priority && own_backlog + 1 < longest_backlog);
        if !may_evict {
            return None;
        }
        let entry = level.remove(customer, longest_backlog - 1)?;
        self.record_removal(lowest);
        Some(entry.request.ticket)
    }

    fn record_removal(&mut self, priority: u8) {
        self.len -= 1;
        let key = Reverse(priority);
        if self
            .levels
            .get(&key)
            .is_some_and(|l| l.by_customer.is_empty())
        {
            self.levels.remove(&key);
        }
    }

    /// Removes and returns the first request in queue order that satisfies `accepts`; only the
    /// oldest request of each customer and priority is considered.
    pub fn take_if<F>(&mut self, mut accepts: F) -> Option<Queued>
    where
        F: FnMut(&Queued) -> bool,
    {
        let (priority, entry) = self
            .levels
            .iter_mut()
            .find_map(|(Reverse(p), level)| Some((*p, level.take_if(&mut accepts)?)))?;
        self.record_removal(priority);
        Some(entry)
    }

    /// Removes a request by its ticket, `None` when it is not queued.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Queued> {
        self.remove_where(|entry| entry.request.ticket == ticket)
    }

    /// Removes a request that cannot meet its deadline if it takes `expected_latency` from now.
    pub fn take_late(&mut self, now: Duration, expected_latency: Duration) -> Option<Queued> {
        self.remove_where(|entry| now + expected_latency >= entry.request.deadline)
    }

    fn remove_where<F>(&mut self, matches: F) -> Option<Queued>
    where
        F: Fn(&Queued) -> bool,
    {
        let (priority, entry) = self.levels.iter_mut().find_map(|(Reverse(p), level)| {
            let (customer, index) = level.by_customer.iter().find_map(|(customer, entries)| {
                Some((*customer, entries.iter().position(&matches)?))
            })?;
            Some((*p, level.remove(customer, index)?))
        })?;
        self.record_removal(priority);
        Some(entry)
    }
}
