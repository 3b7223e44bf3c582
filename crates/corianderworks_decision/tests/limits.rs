//! Bound, use and faults of the plan limits, on entries and homes with a lossy network between.

use std::time::Duration;

use corianderworks_decision::ids::CustomerKey;
use corianderworks_decision::limits::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{CUSTOMER, Fleet, HOMES, Link, STEP, ms};

/// Guards against a customer that is refused although it stays within its plan, and against
/// an overload that gets more or much less than the plan.
#[test]
fn demand_within_the_plan_is_admitted() {
    // Members, rate, requests/s of each member, least and most admitted in 10 s after 3 s.
    let rows: [(&str, usize, u32, u64, u32, u32); 6] = [
        ("slow at many entries", 40, 100, 2, 760, 800),
        ("fast at one entry", 1, 100, 90, 855, 900),
        ("at some entries", 5, 100, 18, 855, 900),
        ("one request/s", 1, 2, 1, 10, 10),
        ("overload of four times", 40, 100, 10, 900, 1000 + 160),
        ("overload of one entry", 1, 50, 500, 450, 500 + 61),
    ];
    for (name, members, rate, demand, least, most) in rows {
        let mut fleet = Fleet::new(members, rate);
        let mut before = 0;
        for tick in 0..13_000 {
            if tick == 3000 {
                before = fleet.admitted;
            }
            for entry in 0..members {
                let phase = entry as u64 * 1000 / members as u64;
                if (tick + phase) * demand / 1000 != (tick + phase + 1) * demand / 1000 {
                    fleet.request(entry, None);
                }
            }
            fleet.advance(STEP);
        }
        let admitted = fleet.admitted - before;
        println!(
            "{name}: {admitted} admitted in 10 s, {} asks in 13 s",
            fleet.asks
        );
        // A refused entry that asked again at each request would load the homes with them.
        assert!(
            fleet.asks <= 2 * fleet.admitted,
            "{name}: {} asks",
            fleet.asks
        );
        assert!((least..=most).contains(&admitted), "{name}: {admitted}");
        assert_eq!(fleet.fallback, 0, "{name}");
    }
}

/// Guards against a takeover before the last grant expired, half of the rate after it, and
/// both homes at the full rate after the return.
#[test]
fn takeover_of_a_dead_home() {
    let mut home = LimitHome::new(Duration::ZERO);
    let allowance = Allowance {
        rate_per_s: 100,
        concurrency: 1,
    };
    let mut drain = |from_ms: u64, peer| {
        let ask = GrantAsk {
            customer: CUSTOMER,
            credit: 0,
            wanted: 1000,
        };
        let mut granted = 0;
        for at in (from_ms..from_ms + 1000).step_by(20) {
            let allowed = home.ask(ms(at), ask, allowance, peer).unwrap().allowed;
            assert!(allowed <= 20, "{allowed} is more than 200 ms of the rate");
            granted += allowed;
        }
        granted
    };
    drain(3000, PeerState::Alive);
    let rows = [
        (4000, PeerState::Alive, 49..=51),
        // 200 ms at half of the rate, 800 ms at the full rate.
        (5000, PeerState::Dead, 88..=91),
        (6000, PeerState::Dead, 99..=101),
        (7000, PeerState::Alive, 49..=52),
    ];
    for (from, peer, expected) in rows {
        let granted = drain(from, peer);
        assert!(expected.contains(&granted), "{from} ms: {granted}");
    }
}

/// Guards against a home that gives out a burst which its previous run or the previous home
/// of the customer may have given out already.
#[test]
fn a_new_home_has_no_savings() {
    let allowance = Allowance {
        rate_per_s: 100,
        concurrency: 1,
    };
    let mut home = LimitHome::new(ms(50_000));
    let mut allowed = |at, customer| {
        let ask = GrantAsk {
            customer: CustomerKey(customer),
            credit: 0,
            wanted: 9,
        };
        home.members_changed(ms(50_000));
        let answer = home.ask(ms(at), ask, allowance, PeerState::Alive);
        answer.unwrap().allowed
    };
    assert_eq!(allowed(50_200, 1), 0);
    assert_eq!(allowed(50_300, 2), 5);
    assert_eq!(allowed(51_300, 3), 9);
    home.members_changed(ms(60_000));
    let ask = GrantAsk {
        customer: CustomerKey(4),
        credit: 0,
        wanted: 9,
    };
    let answer = home.ask(ms(60_200), ask, allowance, PeerState::Alive);
    assert_eq!(answer.unwrap().allowed, 0);
}

/// Guards against grants that are spent after the home counts them as expired, and against
/// grants for a single request, which would expire unused.
#[test]
fn grants_expire_counted_from_the_ask() {
    let allowance = Allowance {
        rate_per_s: 100,
        concurrency: 9,
    };
    for (spend_at, granted) in [(199, true), (200, false)] {
        let mut entry = LimitEntry::default();
        let mut admit = |at| entry.admit(ms(at), CUSTOMER, allowance, HOMES, 1, false);
        let (_, ask) = admit(0);
        let answer = GrantAnswer {
            allowed: 5,
            lifetime_ms: 200,
            retry_after_ms: 0,
        };
        let ask = ask.unwrap();
        assert_eq!(ask.ask.wanted, 0, "a single request needs no grant");
        entry.answered(ms(150), ask, answer);
        let (admission, _) = entry.admit(ms(spend_at), CUSTOMER, allowance, HOMES, 1, false);
        let on_grant = matches!(admission, Admission::Admitted(_, Spent::Grant));
        assert_eq!(on_grant, granted, "{spend_at} ms");
    }
}

/// Guards against an entry that never asks its homes again, because its slow demand fits into
/// the fallback share and no credit waits to be reported.
#[test]
fn failed_homes_are_asked_again() {
    let allowance = Allowance {
        rate_per_s: 100,
        concurrency: 9,
    };
    let mut entry = LimitEntry::default();
    let mut admit = |at| {
        let (admission, ask) = entry.admit(ms(at), CUSTOMER, allowance, HOMES, 1, false);
        match ask {
            Some(ask) if at == 0 => {
                let answer = GrantAnswer {
                    allowed: 4,
                    lifetime_ms: 200,
                    retry_after_ms: 0,
                };
                entry.answered(ms(at), ask, answer);
            }
            Some(ask) => entry.failed(ms(at), ask, AskFailure::Unreachable),
            None => {}
        }
        (admission, ask)
    };
    (0..5).for_each(|at| drop(admit(at)));
    for at in [2000, 4000] {
        let (admission, ask) = admit(at);
        assert!(matches!(admission, Admission::Admitted(_, Spent::Fallback)));
        assert!(ask.is_some(), "no ask at {at} ms");
    }
}

/// Guards against credit that is forgotten while a link loses messages, and against an entry
/// that keeps its fallback share after the links are back.
#[test]
fn sustained_link_faults() {
    // Asks lost and answers lost per home, requests/s of each member before and after 12 s.
    let rows = [
        (
            "asks to one home lost",
            [(true, false), (false, false)],
            (5, 5),
        ),
        (
            "answers of one home lost",
            [(false, true), (false, false)],
            (5, 5),
        ),
        (
            "asks and answers lost",
            [(true, false), (false, true)],
            (5, 5),
        ),
        ("no link, slow demand", [(true, true), (true, true)], (1, 1)),
        (
            "no link, fast demand",
            [(true, true), (true, true)],
            (20, 20),
        ),
        (
            "no link, demand falls",
            [(true, true), (true, true)],
            (20, 1),
        ),
    ];
    for (name, links, (before_12_s, after_12_s)) in rows {
        let mut fleet = Fleet::new(5, 1);
        let mut before = 0;
        for tick in 0..40_000 {
            let faulty = (10_000..30_000).contains(&tick);
            let demand = if tick < 12_000 {
                before_12_s
            } else {
                after_12_s
            };
            if tick == 34_000 {
                before = fleet.fallback;
            }
            for entry in 0..5 {
                for (home, &(drop_asks, drop_answers)) in links.iter().enumerate() {
                    fleet.links[entry][home] = Link {
                        drop_asks: faulty && drop_asks,
                        drop_answers: faulty && drop_answers,
                        slow: false,
                    };
                }
                if tick % (1000 / demand) == 0 {
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
            fleet.fallback, before,
            "{name}: fallback after the links are back"
        );
    }
}

/// Guards against places that are not released, and a table that grows without bound.
#[test]
fn concurrency_and_tables_are_bounded() {
    let allowance = Allowance {
        rate_per_s: 1000,
        concurrency: 1,
    };
    let mut entry = LimitEntry::with_capacity(2);
    let mut admit = |now, customer| {
        let customer = CustomerKey(customer);
        let (admission, ask) = entry.admit(now, customer, allowance, HOMES, 1, false);
        if let Some(ask) = ask {
            let answer = GrantAnswer {
                allowed: 9,
                lifetime_ms: 200,
                retry_after_ms: 0,
            };
            entry.answered(now, ask, answer);
        }
        admission
    };
    let first = admit(ms(0), 1);
    assert!(matches!(first, Admission::Admitted(..)));
    assert!(matches!(admit(ms(1), 1), Admission::OverConcurrency));
    drop(first);
    let held = admit(ms(2), 1);
    assert!(matches!(held, Admission::Admitted(..)));
    drop(admit(ms(3), 2));
    assert!(matches!(admit(ms(4), 3), Admission::Full));
    // Customer 2 is idle now; customer 1 still has a request.
    let later = ms(4) + IDLE_LIFETIME;
    assert!(matches!(admit(later, 3), Admission::Admitted(..)));
    assert!(matches!(admit(later, 4), Admission::Full));
    assert!(matches!(admit(later, 1), Admission::OverConcurrency));

    let mut home = LimitHome::with_capacity(Duration::ZERO, 1);
    let mut ask = |now, customer| {
        let ask = GrantAsk {
            customer: CustomerKey(customer),
            credit: 1,
            wanted: 0,
        };
        home.ask(now, ask, allowance, PeerState::Alive).is_some()
    };
    assert!(ask(ms(2000), 1) && !ask(ms(2001), 2) && ask(ms(2002), 1));
    assert!(ask(ms(2002) + IDLE_LIFETIME, 2));
}

#[derive(Debug, Clone)]
enum Step {
    Requests(usize, u8),
    Pass(u64),
    Link(usize, usize, bool, bool, bool),
    Down(usize, bool),
}

struct Reference;

impl ReferenceStateMachine for Reference {
    /// Members and rate of the plan.
    type State = (usize, u32);
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        (1..6usize, prop_oneof![Just(1u32), 1..20u32, 50..300u32]).boxed()
    }

    fn transitions(&(members, _): &Self::State) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (0..members, 1..60u8).prop_map(|(e, n)| Step::Requests(e, n)),
            6 => (1..40u64).prop_map(Step::Pass),
            2 => (100..6000u64).prop_map(Step::Pass),
            3 => (0..members, 0..2usize, any::<bool>(), any::<bool>(), any::<bool>())
                .prop_map(|(e, h, a, b, c)| Step::Link(e, h, a, b, c)),
            2 => (0..2usize, any::<bool>()).prop_map(|(h, d)| Step::Down(h, d)),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Step) -> Self::State {
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

    fn apply(mut fleet: Fleet, _: &(usize, u32), step: Step) -> Fleet {
        match step {
            Step::Requests(entry, count) => (0..count).for_each(|_| fleet.request(entry, None)),
            Step::Pass(time) => fleet.advance(ms(time)),
            Step::Link(entry, home, drop_asks, drop_answers, slow) => {
                fleet.links[entry][home] = Link {
                    drop_asks,
                    drop_answers,
                    slow,
                };
            }
            Step::Down(home, down) => fleet.set_down(home, down),
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
    /// Guards against a customer that gets more than `rate * time + burst + members + one
    /// grant` in any window, under home deaths, one-way partitions and slow links.
    #[test]
    fn no_window_exceeds_the_bound(sequential 1..80 => LimitWalk);
}
