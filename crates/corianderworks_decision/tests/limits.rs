//! Tests of the rate and concurrency limits, with a lossy network between entries and homes.

use std::time::Duration;

use corianderworks_decision::ids::CustomerKey;
use corianderworks_decision::limits::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{CUSTOMER, Fleet, HOMES, Link, STEP, ms};

/// Guards against a refusal of a customer that stays within its plan, and against admitting more
/// or much less than the plan in an overload.
#[test]
fn demand_within_the_plan_is_admitted() {
    // Members, rate, requests/s at each member, minimum and maximum admitted in the 10 s after
    // the first 3 s.
    let rows: [(&str, usize, u32, u64, u32, u32); 6] = [
        ("low demand at many entries", 40, 100, 2, 760, 800),
        ("high demand at one entry", 1, 100, 90, 855, 900),
        ("demand at five entries", 5, 100, 18, 855, 900),
        ("one request/s", 1, 2, 1, 10, 10),
        (
            "four times the rate at many entries",
            40,
            100,
            10,
            900,
            1000 + 160,
        ),
        ("ten times the rate at one entry", 1, 50, 500, 450, 500 + 61),
    ];
    for (name, members, rate, demand, min_admitted, max_admitted) in rows {
        let mut fleet = Fleet::new(members, rate);
        let mut count_before = 0;
        for now_ms in 0..13_000 {
            if now_ms == 3000 {
                count_before = fleet.admitted;
            }
            for entry in 0..members {
                let offset_ms = entry as u64 * 1000 / members as u64;
                if (now_ms + offset_ms) * demand / 1000 != (now_ms + offset_ms + 1) * demand / 1000
                {
                    fleet.request(entry, None);
                }
            }
            fleet.advance(STEP);
        }
        let admitted = fleet.admitted - count_before;
        println!(
            "{name}: {admitted} admitted in 10 s, {} grant requests in 13 s",
            fleet.asks
        );
        // An entry that sent a grant request for each refused request would overload the homes.
        assert!(
            fleet.asks <= 2 * fleet.admitted,
            "{name}: {} grant requests",
            fleet.asks
        );
        assert!(
            (min_admitted..=max_admitted).contains(&admitted),
            "{name}: {admitted}"
        );
        assert_eq!(fleet.fallback, 0, "{name}");
    }
}

/// Guards against a home that takes over the full rate before the last grant of the dead home
/// expired, stays at half of the rate afterwards, or keeps the full rate after its return.
#[test]
fn takeover_of_a_dead_home() {
    let mut home = LimitHome::new(Duration::ZERO);
    let limits = PlanLimits {
        rate_per_s: 100,
        concurrency: 1,
    };
    let mut request_for_one_second = |from_ms: u64, peer| {
        let grant_request = GrantRequest {
            customer: CUSTOMER,
            credit: 0,
            wanted: 1000,
        };
        let mut granted = 0;
        for at_ms in (from_ms..from_ms + 1000).step_by(20) {
            let allowed = home
                .handle_request(ms(at_ms), grant_request, limits, peer)
                .unwrap()
                .allowed;
            assert!(
                allowed <= 20,
                "{allowed} tokens are more than 200 ms of the rate"
            );
            granted += allowed;
        }
        granted
    };
    request_for_one_second(3000, PeerState::Alive);
    let rows = [
        (4000, PeerState::Alive, 49..=51),
        // 200 ms at half of the rate, then 800 ms at the full rate.
        (5000, PeerState::Dead, 88..=91),
        (6000, PeerState::Dead, 99..=101),
        (7000, PeerState::Alive, 49..=52),
    ];
    for (from, peer, expected) in rows {
        let granted = request_for_one_second(from, peer);
        assert!(expected.contains(&granted), "{from} ms: {granted}");
    }
}

/// Guards against a second burst: the previous run of a home, or the previous home of a customer,
/// may already have granted one.
#[test]
fn a_new_home_starts_with_empty_buckets() {
    let limits = PlanLimits {
        rate_per_s: 100,
        concurrency: 1,
    };
    let mut home = LimitHome::new(ms(50_000));
    let mut allowed = |at_ms, customer| {
        let grant_request = GrantRequest {
            customer: CustomerKey(customer),
            credit: 0,
            wanted: 9,
        };
        home.members_changed(ms(50_000));
        let response = home.handle_request(ms(at_ms), grant_request, limits, PeerState::Alive);
        response.unwrap().allowed
    };
    assert_eq!(allowed(50_200, 1), 0);
    assert_eq!(allowed(50_300, 2), 5);
    assert_eq!(allowed(51_300, 3), 9);
    home.members_changed(ms(60_000));
    let grant_request = GrantRequest {
        customer: CustomerKey(4),
        credit: 0,
        wanted: 9,
    };
    let response = home.handle_request(ms(60_200), grant_request, limits, PeerState::Alive);
    assert_eq!(response.unwrap().allowed, 0);
}

/// Guards against grants that are spent after the home considers them expired, and against grants
/// for a single request, which would expire unused.
#[test]
fn grant_lifetime_counts_from_the_request() {
    let limits = PlanLimits {
        rate_per_s: 100,
        concurrency: 9,
    };
    for (spend_at, granted) in [(199, true), (200, false)] {
        let mut entry = EntryLimiter::default();
        let mut admit = |at_ms| entry.admit(ms(at_ms), CUSTOMER, limits, HOMES, 1, false);
        let (_, grant_request) = admit(0);
        let response = GrantResponse {
            allowed: 5,
            lifetime_ms: 200,
            retry_after_ms: 0,
        };
        let grant_request = grant_request.unwrap();
        assert_eq!(
            grant_request.request.wanted, 0,
            "a single request needs no grant"
        );
        entry.handle_response(ms(150), grant_request, response);
        let (admission, _) = entry.admit(ms(spend_at), CUSTOMER, limits, HOMES, 1, false);
        let on_grant = matches!(admission, Admission::Admitted(_, AdmissionSource::Grant));
        assert_eq!(on_grant, granted, "{spend_at} ms");
    }
}

/// Guards against an entry that sends no more grant requests after a failure. Its demand is so
/// low that the fallback share covers it, and there is no credit to report.
#[test]
fn failed_homes_are_retried() {
    let limits = PlanLimits {
        rate_per_s: 100,
        concurrency: 9,
    };
    let mut entry = EntryLimiter::default();
    let mut admit = |at_ms| {
        let (admission, grant_request) = entry.admit(ms(at_ms), CUSTOMER, limits, HOMES, 1, false);
        match grant_request {
            Some(grant_request) if at_ms == 0 => {
                let response = GrantResponse {
                    allowed: 4,
                    lifetime_ms: 200,
                    retry_after_ms: 0,
                };
                entry.handle_response(ms(at_ms), grant_request, response);
            }
            Some(grant_request) => {
                entry.handle_failure(ms(at_ms), grant_request, GrantFailure::Unreachable)
            }
            None => {}
        }
        (admission, grant_request)
    };
    (0..5).for_each(|at_ms| drop(admit(at_ms)));
    for at_ms in [2000, 4000] {
        let (admission, grant_request) = admit(at_ms);
        assert!(matches!(
            admission,
            Admission::Admitted(_, AdmissionSource::Fallback)
        ));
        assert!(grant_request.is_some(), "no grant request at {at_ms} ms");
    }
}

/// Guards against credit that is lost with the messages of a faulty link, and against an entry
/// that uses its fallback share after the links have recovered.
#[test]
fn sustained_link_faults() {
    // Grant requests lost and responses lost per home, requests/s of each member before and
    // after 12 s. The links fail from 10 s to 30 s.
    let rows = [
        (
            "requests to one home lost",
            [(true, false), (false, false)],
            (5, 5),
        ),
        (
            "responses of one home lost",
            [(false, true), (false, false)],
            (5, 5),
        ),
        (
            "requests to one home and responses of the other lost",
            [(true, false), (false, true)],
            (5, 5),
        ),
        (
            "both links lost, low demand",
            [(true, true), (true, true)],
            (1, 1),
        ),
        (
            "both links lost, high demand",
            [(true, true), (true, true)],
            (20, 20),
        ),
        (
            "both links lost, demand falls",
            [(true, true), (true, true)],
            (20, 1),
        ),
    ];
    for (name, links, (demand_before_12_s, demand_after_12_s)) in rows {
        let mut fleet = Fleet::new(5, 1);
        let mut count_before = 0;
        for now_ms in 0..40_000 {
            let link_fault = (10_000..30_000).contains(&now_ms);
            let demand = if now_ms < 12_000 {
                demand_before_12_s
            } else {
                demand_after_12_s
            };
            if now_ms == 34_000 {
                count_before = fleet.fallback;
            }
            for entry in 0..5 {
                for (home, &(drop_asks, drop_answers)) in links.iter().enumerate() {
                    fleet.links[entry][home] = Link {
                        drop_asks: link_fault && drop_asks,
                        drop_answers: link_fault && drop_answers,
                        slow: false,
                    };
                }
                if now_ms % (1000 / demand) == 0 {
                    fleet.request(entry, None);
                }
            }
            fleet.advance(STEP);
        }
        println!(
            "{name}: {} admitted, {} fallback",
            fleet.admitted, fleet.fallback
        );
        assert_eq!(
            fleet.fallback, count_before,
            "{name}: fallback after the links recovered"
        );
    }
}

/// Guards against concurrent requests that are not released, and against unbounded tables.
#[test]
fn concurrency_and_tables_are_bounded() {
    let limits = PlanLimits {
        rate_per_s: 1000,
        concurrency: 1,
    };
    let mut entry = EntryLimiter::with_capacity(2);
    let mut admit = |now, customer| {
        let customer = CustomerKey(customer);
        let (admission, grant_request) = entry.admit(now, customer, limits, HOMES, 1, false);
        if let Some(grant_request) = grant_request {
            let response = GrantResponse {
                allowed: 9,
                lifetime_ms: 200,
                retry_after_ms: 0,
            };
            entry.handle_response(now, grant_request, response);
        }
        admission
    };
    let first_admission = admit(ms(0), 1);
    assert!(matches!(first_admission, Admission::Admitted(..)));
    assert!(matches!(admit(ms(1), 1), Admission::OverConcurrency));
    drop(first_admission);
    let held_admission = admit(ms(2), 1);
    assert!(matches!(held_admission, Admission::Admitted(..)));
    drop(admit(ms(3), 2));
    assert!(matches!(admit(ms(4), 3), Admission::TableFull));
    // Customer 2 is idle by then; customer 1 still has a request.
    let later = ms(4) + IDLE_LIFETIME;
    assert!(matches!(admit(later, 3), Admission::Admitted(..)));
    assert!(matches!(admit(later, 4), Admission::TableFull));
    assert!(matches!(admit(later, 1), Admission::OverConcurrency));

    let mut home = LimitHome::with_capacity(Duration::ZERO, 1);
    let mut send_grant_request = |now, customer| {
        let grant_request = GrantRequest {
            customer: CustomerKey(customer),
            credit: 1,
            wanted: 0,
        };
        home.handle_request(now, grant_request, limits, PeerState::Alive)
            .is_some()
    };
    assert!(
        send_grant_request(ms(2000), 1)
            && !send_grant_request(ms(2001), 2)
            && send_grant_request(ms(2002), 1)
    );
    assert!(send_grant_request(ms(2002) + IDLE_LIFETIME, 2));
}

#[derive(Debug, Clone)]
enum WalkStep {
    Requests(usize, u8),
    AdvanceMs(u64),
    SetLink(usize, usize, bool, bool, bool),
    SetDown(usize, bool),
}

struct Reference;

impl ReferenceStateMachine for Reference {
    /// Members and rate of the plan.
    type State = (usize, u32);
    type Transition = WalkStep;

    fn init_state() -> BoxedStrategy<Self::State> {
        (1..6usize, prop_oneof![Just(1u32), 1..20u32, 50..300u32]).boxed()
    }

    fn transitions(&(members, _): &Self::State) -> BoxedStrategy<WalkStep> {
        prop_oneof![
            8 => (0..members, 1..60u8).prop_map(|(e, n)| WalkStep::Requests(e, n)),
            6 => (1..40u64).prop_map(WalkStep::AdvanceMs),
            2 => (100..6000u64).prop_map(WalkStep::AdvanceMs),
            3 => (0..members, 0..2usize, any::<bool>(), any::<bool>(), any::<bool>())
                .prop_map(|(e, h, a, b, c)| WalkStep::SetLink(e, h, a, b, c)),
            2 => (0..2usize, any::<bool>()).prop_map(|(h, d)| WalkStep::SetDown(h, d)),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &WalkStep) -> Self::State {
        state
    }
}

struct LimitWalk;

impl StateMachineTest for LimitWalk {
    type SystemUnderTest = Fleet;
    type Reference = Reference;

    fn init_test(&(members, rate): &(usize, u32)) -> Fleet {
        Fleet::new(members, rate)
    }

    fn apply(mut fleet: Fleet, _: &(usize, u32), step: WalkStep) -> Fleet {
        match step {
            WalkStep::Requests(entry, count) => (0..count).for_each(|_| fleet.request(entry, None)),
            WalkStep::AdvanceMs(time) => fleet.advance(ms(time)),
            WalkStep::SetLink(entry, home, drop_asks, drop_answers, slow) => {
                fleet.links[entry][home] = Link {
                    drop_asks,
                    drop_answers,
                    slow,
                };
            }
            WalkStep::SetDown(home, down) => fleet.set_down(home, down),
        }
        fleet
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x6c69_6d69),
        failure_persistence: None,
        ..Config::default()
    })]
    /// Guards against a customer with more than `rate * time + burst + members + one grant`
    /// admitted requests in any window, under home failures, one-way partitions and slow links.
    #[test]
    fn no_window_exceeds_the_bound(sequential 1..80 => LimitWalk);
}
