//! Tests of the queue order, the bound, and the removal of late requests (section 2.5).

use std::time::Duration;

use corianderworks_decision::dispatch_types::{RequestView, Ticket};
use corianderworks_decision::ids::CustomerKey;
use corianderworks_decision::queue::{PushResult, Queue};
use proptest::prelude::*;

fn request(ticket: u64, customer: u64, priority: u8, deadline_ms: u64) -> RequestView {
    RequestView {
        ticket: Ticket(ticket),
        customer: CustomerKey(customer),
        priority,
        deadline: Duration::from_millis(deadline_ms),
        idempotent: true,
        tried: Vec::new(),
    }
}

fn queue(bound: usize, requests: &[(u64, u64, u8)]) -> Queue {
    let mut queue = Queue::default();
    queue.set_bound(bound);
    for &(ticket, customer, priority) in requests {
        let pushed = queue.push(Duration::ZERO, request(ticket, customer, priority, 1000));
        assert_eq!(pushed, PushResult::Queued);
    }
    queue
}

fn service_order(mut queue: Queue) -> Vec<u64> {
    std::iter::from_fn(|| queue.take_if(|_| true).map(|q| q.request.ticket.0)).collect()
}

/// Guards against a customer with many queued requests delaying one with few, and against serving
/// a lower priority first.
#[test]
fn serves_by_priority_then_round_robin() {
    // Arrivals as (ticket, customer, priority), and the tickets in the expected order of service.
    type Case<'a> = (&'a [(u64, u64, u8)], &'a [u64]);
    let cases: [Case; 4] = [
        (&[(1, 1, 0), (2, 1, 0), (3, 2, 0)], &[1, 3, 2]),
        (&[(1, 1, 0), (2, 2, 5), (3, 1, 5)], &[2, 3, 1]),
        (
            &[(1, 1, 1), (2, 1, 1), (3, 1, 1), (4, 2, 1), (5, 3, 1)],
            &[1, 4, 5, 2, 3],
        ),
        (&[(1, 1, 0), (2, 1, 9), (3, 1, 4)], &[2, 3, 1]),
    ];
    for (requests, expected) in cases {
        assert_eq!(service_order(queue(10, requests)), expected, "{requests:?}");
    }
}

/// Guards against an unbounded queue and against one customer occupying all of it: a request may
/// evict one of a lower priority or of a customer with more queued, and nothing else.
#[test]
fn a_full_queue_evicts_by_priority_and_backlog() {
    let full: &[(u64, u64, u8)] = &[(1, 1, 1), (2, 1, 1), (3, 1, 1), (4, 2, 1)];
    let cases = [
        (request(9, 3, 2, 1000), PushResult::Replaced(Ticket(3))),
        (request(9, 3, 1, 1000), PushResult::Replaced(Ticket(3))),
        (request(9, 2, 1, 1000), PushResult::Replaced(Ticket(3))),
        (request(9, 1, 1, 1000), PushResult::Full),
        (request(9, 3, 0, 1000), PushResult::Full),
    ];
    for (arrival, expected) in cases {
        let mut queue = queue(4, full);
        assert_eq!(
            queue.push(Duration::ZERO, arrival.clone()),
            expected,
            "{arrival:?}"
        );
        assert_eq!(queue.len(), 4);
    }
}

/// Guards against running a request that cannot complete before its deadline.
#[test]
fn late_requests_are_removed() {
    let mut queue = Queue::default();
    queue.set_bound(10);
    for (ticket, deadline) in [(1, 100), (2, 150), (3, 151)] {
        queue.push(Duration::ZERO, request(ticket, 1, 0, deadline));
    }
    let now = Duration::from_millis(100);
    let expected_latency = Duration::from_millis(50);
    let late =
        std::iter::from_fn(|| queue.take_late(now, expected_latency)).map(|q| q.request.ticket.0);
    assert_eq!(late.collect::<Vec<_>>(), [1, 2]);
    assert_eq!(queue.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x5EED),
        ..ProptestConfig::default()
    })]

    /// Guards against a request that is lost or served twice, and against a length that differs
    /// from the number of queued requests.
    #[test]
    fn every_request_is_removed_exactly_once(
        steps in prop::collection::vec((0..4_u8, 0..4_u64, 0..3_u8), 1..200),
    ) {
        let mut queue = Queue::default();
        queue.set_bound(6);
        let mut queued = std::collections::BTreeSet::new();
        for (ticket, (step, customer, priority)) in steps.into_iter().enumerate() {
            let ticket = Ticket(ticket as u64);
            match step {
                0 | 1 => match queue.push(Duration::ZERO, request(ticket.0, customer, priority, 9)) {
                    PushResult::Queued => prop_assert!(queued.insert(ticket)),
                    PushResult::Replaced(other) => {
                        prop_assert!(queued.remove(&other));
                        prop_assert!(queued.insert(ticket));
                    }
                    PushResult::Full => prop_assert_eq!(queue.len(), 6),
                },
                2 => {
                    let taken = queue.take_if(|q| q.request.customer.0 == customer);
                    prop_assert!(taken.is_none_or(|q| queued.remove(&q.request.ticket)));
                }
                _ => {
                    let first = queued.first().copied();
                    let removed = first.and_then(|t| queue.remove(t));
                    prop_assert_eq!(removed.map(|q| q.request.ticket), queued.pop_first());
                }
            }
            prop_assert_eq!(queue.len(), queued.len());
            prop_assert!(queue.len() <= 6);
        }
        let remaining: std::collections::BTreeSet<_> = service_order(queue).into_iter().map(Ticket).collect();
        prop_assert_eq!(remaining, queued);
    }
}
