//! Which requests a stopping edge daemon still takes.

use std::time::Duration;

use corianderworks_decision::edge::shutdown::{Phase, admits, last_responses_timeout, phase};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A non-idempotent request that is cut off by the exit may not be sent again, so it is refused if
/// it may outlast the daemon. The listener is still open then if the grace period is long.
#[test]
fn late_requests_are_taken_only_if_they_end_before_the_exit() {
    for (grace_ms, since_ms, time_limit_ms, taken) in [
        (6_000, 0, 60_000, true),
        (6_000, 2_900, 4_000, true),
        (6_000, 3_000, 4_000, false),
        (6_000, 3_000, 2_400, true),
        (6_000, 5_000, 1_000, false),
        (10_000, 2_900, 20_000, true),
        (10_000, 3_500, 6_000, false),
        (10_000, 3_500, 5_500, true),
        (2_000, 1_000, 1_000, false),
        (2_000, 999, 5_000, true),
    ] {
        let case = format!("grace {grace_ms} ms, {since_ms} ms, limit {time_limit_ms} ms");
        let is_taken = admits(ms(since_ms), ms(grace_ms), ms(time_limit_ms));
        assert_eq!(is_taken, taken, "{case}");
    }
}

/// A request that is admitted without regard to its length was read within the first half of the
/// grace period, and the process ends before the platform kills it.
#[test]
fn the_exit_and_its_last_responses_fit_into_the_grace_period() {
    for grace_ms in [1_000, 6_000, 10_000, 60_000] {
        let grace = ms(grace_ms);
        let first_exit = (0..=grace_ms).find(|t| phase(ms(*t), grace, 1) == Phase::Exit);
        let exits_at = ms(first_exit.expect("an exit"));
        assert!(
            exits_at + last_responses_timeout(grace) < grace,
            "{grace:?}"
        );
    }
}
