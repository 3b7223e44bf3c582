//! Bounded queue of a service at a home: by plan priority, then fair between customers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::dispatch_types::{RequestView, Ticket};
use crate::ids::CustomerKey;

/// A request in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued {
    /// The request.
    pub request: RequestView,
    /// When it was queued.
    pub since: Duration,
}

/// Result of `Queue::push`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pushed {
    /// The request waits.
    Queued,
    /// The request waits in place of this one.
    Replaced(Ticket),
    /// The request does not fit.
    Full,
}

/// Requests of one priority, served in turns by customer.
#[derive(Debug, Default)]
struct Lane {
    turns: VecDeque<CustomerKey>,
    waiting: BTreeMap<CustomerKey, VecDeque<Queued>>,
}

impl Lane {
    fn push(&mut self, entry: Queued) {
        let customer = entry.request.customer;
        let list = self.waiting.entry(customer).or_default();
        if list.is_empty() {
            self.turns.push_back(customer);
        }
        list.push_back(entry);
    }

    fn longest(&self) -> Option<(usize, CustomerKey)> {
        let lengths = self.waiting.iter().map(|(c, list)| (list.len(), *c));
        lengths.max()
    }

    fn remove(&mut self, customer: CustomerKey, index: usize) -> Option<Queued> {
        let list = self.waiting.get_mut(&customer)?;
        let entry = list.remove(index)?;
        let empty = list.is_empty();
        if empty {
            self.waiting.remove(&customer);
            self.turns.retain(|c| *c != customer);
        }
        Some(entry)
    }

    fn take_if<F>(&mut self, fits: &mut F) -> Option<Queued>
    where
        F: FnMut(&Queued) -> bool,
    {
        let position = self.turns.iter().position(|customer| {
            let first = self.waiting.get(customer).and_then(VecDeque::front);
            first.is_some_and(&mut *fits)
        })?;
        let customer = self.turns.remove(position)?;
        // The customer's next turn comes after everyone who waits now.
        self.turns.push_back(customer);
        self.remove(customer, 0)
    }
}

/// The queue.
#[derive(Debug, Default)]
pub struct Queue {
    bound: usize,
    len: usize,
    lanes: BTreeMap<Reverse<u8>, Lane>,
}

impl Queue {
    /// Sets the largest length; requests over a smaller bound stay until served or late.
    pub fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Largest length.
    pub fn bound(&self) -> usize {
        self.bound
    }

    /// Requests in the queue.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Requests that are served before a new one with this priority.
    pub fn ahead_of(&self, priority: u8) -> usize {
        let lanes = self.lanes.range(..=Reverse(priority));
        lanes
            .flat_map(|(_, lane)| lane.waiting.values())
            .map(VecDeque::len)
            .sum()
    }

    /// Adds a request, in place of a less entitled one when the queue is full.
    pub fn push(&mut self, now: Duration, request: RequestView) -> Pushed {
        let mut replaced = None;
        if self.len >= self.bound {
            match self.make_room(&request) {
                Some(ticket) => replaced = Some(ticket),
                None => return Pushed::Full,
            }
        }
        self.len += 1;
        let lane = self.lanes.entry(Reverse(request.priority)).or_default();
        lane.push(Queued {
            request,
            since: now,
        });
        replaced.map_or(Pushed::Queued, Pushed::Replaced)
    }

    fn make_room(&mut self, request: &RequestView) -> Option<Ticket> {
        let (&Reverse(lowest), lane) = self.lanes.iter_mut().next_back()?;
        let (longest, customer) = lane.longest()?;
        let own = lane.waiting.get(&request.customer).map_or(0, VecDeque::len);
        let entitled =
            lowest < request.priority || (lowest == request.priority && own + 1 < longest);
        if !entitled {
            return None;
        }
        let entry = lane.remove(customer, longest - 1)?;
        self.removed(lowest);
        Some(entry.request.ticket)
    }

    fn removed(&mut self, priority: u8) {
        self.len -= 1;
        let key = Reverse(priority);
        if self.lanes.get(&key).is_some_and(|l| l.waiting.is_empty()) {
            self.lanes.remove(&key);
        }
    }

    /// Takes the first request in queue order that `fits` accepts.
    pub fn take_if<F>(&mut self, mut fits: F) -> Option<Queued>
    where
        F: FnMut(&Queued) -> bool,
    {
        let (priority, entry) = self
            .lanes
            .iter_mut()
            .find_map(|(Reverse(p), lane)| Some((*p, lane.take_if(&mut fits)?)))?;
        self.removed(priority);
        Some(entry)
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Queued> {
        self.remove_where(|entry| entry.request.ticket == ticket)
    }

    /// Removes a request that can no longer meet its deadline when run for `needed`.
    pub fn take_late(&mut self, now: Duration, needed: Duration) -> Option<Queued> {
        self.remove_where(|entry| now + needed >= entry.request.deadline)
    }

    fn remove_where<F>(&mut self, matches: F) -> Option<Queued>
    where
        F: Fn(&Queued) -> bool,
    {
        let (priority, entry) = self.lanes.iter_mut().find_map(|(Reverse(p), lane)| {
            let (customer, index) = lane
                .waiting
                .iter()
                .find_map(|(customer, list)| Some((*customer, list.iter().position(&matches)?)))?;
            Some((*p, lane.remove(customer, index)?))
        })?;
        self.removed(priority);
        Some(entry)
    }
}
