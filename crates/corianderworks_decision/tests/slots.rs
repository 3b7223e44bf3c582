//! Tests of the slot share, slow start, adaptive limit and retry budget (section 2.5).

use std::time::Duration;

use corianderworks_decision::dispatch_types::{Outcome, Retry};
use corianderworks_decision::retry::{RetryBudget, safe_to_retry};
use corianderworks_decision::slots::UpstreamSlots;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn success(latency: u64) -> Outcome {
    Outcome::Success {
        latency: ms(latency),
    }
}

/// Guards against starting requests beyond the share, also after the share was reduced.
#[test]
fn never_starts_above_the_share() {
    for (first, second) in [(1, 1), (2, 1), (2, 2), (4, 1), (1, 3)] {
        let mut slots = UpstreamSlots::default();
        slots.set_share(ms(0), Some(first), 8);
        for _ in 0..10 {
            if slots.may_start(ms(0), ms(10)) {
                slots.take(ms(0));
            }
        }
        assert_eq!(slots.in_flight(), first);
        slots.set_share(ms(0), Some(second), 8);
        assert_eq!(slots.free(), second.saturating_sub(first));
        assert_eq!(slots.may_start(ms(0), ms(10)), second > first);
    }
}

/// Guards against a cold server receiving its full share at once.
#[test]
fn a_slow_start_spaces_the_first_requests() {
    let mut slots = UpstreamSlots::default();
    slots.set_share(ms(0), Some(2), 2);
    slots.slow_start(ms(0), ms(5000));
    let mut starts = [0; 6];
    for now in 0..6000_u64 {
        if slots.may_start(ms(now), ms(20)) {
            slots.take(ms(now));
            slots.release(ms(now), success(20));
            starts[now as usize / 1000] += 1;
        }
    }
    assert!(starts[0] * 3 < starts[4], "{starts:?}");
    assert!(starts.is_sorted(), "{starts:?}");
    assert_eq!(starts[5], 1000);
}

/// Guards against a limit that does not decrease on overload, or that several signs of the same
/// overload reduce repeatedly.
#[test]
fn the_adaptive_limit_rises_in_use_and_falls_on_overload() {
    let mut slots = UpstreamSlots::default();
    slots.set_share(ms(0), Some(0), 0);
    let start = slots.limit();
    for now in 0..200 {
        while slots.free() > 0 {
            slots.take(ms(now));
        }
        slots.release(ms(now), success(10));
    }
    let raised = slots.limit();
    assert!(raised > start);
    for _ in 0..5 {
        slots.release(ms(300), Outcome::NotRun { latency: ms(5) });
    }
    let lowered = slots.limit();
    assert!(
        lowered < raised && lowered * 10 >= raised * 7,
        "{raised} {lowered}"
    );
    for now in 4..200 {
        slots.take(ms(now * 100));
        slots.release(ms(now * 100), Outcome::Stalled { latency: ms(50) });
    }
    assert_eq!(slots.limit(), 1);
}

/// Guards against retries that amplify an overload.
#[test]
fn retries_stay_within_a_tenth_of_recent_requests() {
    let mut budget = RetryBudget::new(10);
    let mut retries = 0;
    for now in 0..20_000 {
        budget.record_request(ms(now));
        retries += u32::from(budget.take(ms(now)));
    }
    assert!((1_900..=2_000).contains(&retries), "{retries}");
    let idle = (0..100).filter(|_| budget.take(ms(60_000))).count();
    assert_eq!(idle, 10, "only the minimum once the window is empty");
}

/// Guards against running a request more than once (P4): one that may have run is retried only when
/// it is idempotent.
#[test]
fn only_safe_requests_are_retried() {
    let latency = ms(10);
    let cases = [
        (Outcome::NotRun { latency }, Retry::Retry, Retry::Retry),
        (Outcome::ConnectFailed, Retry::Retry, Retry::Retry),
        (Outcome::Stalled { latency }, Retry::Retry, Retry::GiveUp),
        (Outcome::Truncated { latency }, Retry::Retry, Retry::GiveUp),
        (
            Outcome::Error {
                status: 500,
                latency,
            },
            Retry::Retry,
            Retry::GiveUp,
        ),
        (
            Outcome::Error {
                status: 404,
                latency,
            },
            Retry::GiveUp,
            Retry::GiveUp,
        ),
        (Outcome::Success { latency }, Retry::GiveUp, Retry::GiveUp),
        (Outcome::Drained { latency }, Retry::GiveUp, Retry::GiveUp),
        (Outcome::Cancelled { latency }, Retry::GiveUp, Retry::GiveUp),
    ];
    for (outcome, idempotent, non_idempotent) in cases {
        assert_eq!(safe_to_retry(true, outcome), idempotent, "{outcome:?}");
        assert_eq!(safe_to_retry(false, outcome), non_idempotent, "{outcome:?}");
    }
}
