//! Retries of all daemons together stay within the bounds of the retry budget.

use std::time::Duration;

use corianderworks_decision::edge::budget::{RetryBudget, RetryBudgetBounds};
use corianderworks_decision::edge::fleet::RunKey;

const BOUNDS: RetryBudgetBounds = RetryBudgetBounds {
    ratio: 0.2,
    extra: 60.0,
    window: Duration::from_secs(10),
};

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Simulates a fleet in which every request needs two retries. Returns the largest number of
/// retries in any window, and the number of requests in one window. Reports arrive after
/// `delay`; `receives_from(to, from)` says whether a daemon receives the reports of another one.
fn simulate<F>(daemons: usize, delay: Duration, receives_from: F) -> (f64, f64)
where
    F: Fn(usize, usize) -> bool,
{
    simulate_with_restart(daemons, delay, None, Duration::ZERO, receives_from)
}

fn simulate_with_restart<F>(
    daemons: usize,
    delay: Duration,
    restart: Option<Duration>,
    failures_start: Duration,
    receives_from: F,
) -> (f64, f64)
where
    F: Fn(usize, usize) -> bool,
{
    let start = |now| {
        (0..daemons)
            .map(|_| RetryBudget::new(BOUNDS, now))
            .collect::<Vec<_>>()
    };
    // The fleet runs for at least a window before the first request.
    let mut fleet = start(at_ms(0));
    let mut first_run_key = 0;
    let mut reports_in_transit = Vec::new();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in (10_000..50_000).step_by(10) {
        let now = at_ms(ms);
        if restart == Some(now) {
            fleet = start(now);
            first_run_key = daemons;
            reports_in_transit.clear();
        }
        if ms % 500 == 0 {
            for (i, budget) in fleet.iter_mut().enumerate() {
                let count = (0..daemons)
                    .filter(|j| *j == i || receives_from(i, *j))
                    .count();
                budget.set_reporting_daemons(count, daemons, now);
            }
        }
        let daemon = (ms / 10) as usize % daemons;
        for _ in 0..2 {
            fleet[daemon].record_request("ledger", now);
            requests.push(now);
            for _ in 0..2 {
                if now >= failures_start && fleet[daemon].try_acquire("ledger", now) {
                    retries.push(now);
                }
            }
        }
        let all = ms % 500 == 0;
        for (from, budget) in fleet.iter_mut().enumerate() {
            for (tag, counts) in budget.take_counts(all, now) {
                reports_in_transit.push((now + delay, from, tag, counts));
            }
        }
        let due: Vec<_> = reports_in_transit
            .iter()
            .filter(|m| m.0 <= now)
            .cloned()
            .collect();
        reports_in_transit.retain(|m| m.0 > now);
        for (_, from, tag, counts) in due {
            for to in (0..daemons).filter(|to| *to != from && receives_from(*to, from)) {
                fleet[to].apply_counts(RunKey((first_run_key + from) as u32), tag, counts, now);
            }
        }
    }
    let in_window = |times: &[Duration], end: Duration| {
        times
            .iter()
            .filter(|t| **t > end.saturating_sub(BOUNDS.window) && **t <= end)
            .count() as f64
    };
    let ends: Vec<_> = (20_000..50_000).step_by(100).map(at_ms).collect();
    let most_retries = ends
        .iter()
        .map(|e| in_window(&retries, *e))
        .fold(0.0, f64::max);
    (most_retries, in_window(&requests, at_ms(40_000)))
}

#[test]
fn the_fleet_stays_within_the_bound_and_uses_most_of_it() {
    let (retries, requests) = simulate(40, at_ms(50), |_, _| true);
    let bound = BOUNDS.ratio * requests + BOUNDS.extra;
    assert!(retries <= bound, "{retries} of {bound}");
    assert!(retries >= 0.6 * bound, "{retries} of {bound}");
}

#[test]
fn a_partitioned_fleet_stays_within_the_bound() {
    for partitions in [2, 4, 40] {
        let (retries, requests) = simulate(40, at_ms(50), |to, from| {
            to % partitions == from % partitions
        });
        let bound = BOUNDS.ratio * requests + BOUNDS.extra;
        assert!(
            retries <= bound,
            "{partitions} partitions: {retries} of {bound}"
        );
    }
}

#[test]
fn a_restart_of_the_whole_fleet_does_not_double_the_budget() {
    for restart_ms in [25_000, 32_500, 40_000] {
        // If failures start shortly before the restart, all retries happen close to it.
        for failure_ms in [restart_ms, 9_000, 4_000, 2_000] {
            let (restart, failures_start) = (at_ms(restart_ms), at_ms(restart_ms - failure_ms));
            let all = |_, _| true;
            let (retries, requests) =
                simulate_with_restart(40, at_ms(50), Some(restart), failures_start, all);
            let bound = BOUNDS.ratio * requests + BOUNDS.extra;
            let scenario = format!("restart at {restart_ms} ms, failures for {failure_ms} ms");
            assert!(retries <= bound, "{scenario}: {retries} of {bound}");
        }
    }
}

/// Sends the counts of each running daemon to the other running ones.
fn exchange_reports(fleet: &mut [RetryBudget], running: &[usize], now: Duration) {
    for from in running {
        let run = RunKey(*from as u32);
        for (tag, counts) in fleet[*from].take_counts(true, now) {
            for to in running.iter().filter(|to| *to != from) {
                fleet[*to].apply_counts(run, tag, counts, now);
            }
        }
    }
}

/// Guards against retries that a daemon allows itself after a pause of its process, while it doesn't
/// know yet that others used up the budget meanwhile.
#[test]
fn daemons_that_were_paused_do_not_use_a_budget_that_others_have_used_up() {
    let mut fleet: Vec<_> = (0..6).map(|_| RetryBudget::new(BOUNDS, at_ms(0))).collect();
    let all: Vec<_> = (0..fleet.len()).collect();
    let (mut requests, mut retries) = (0, 0);
    for ms in (20_000..35_000).step_by(10) {
        let now = at_ms(ms);
        // Half of the fleet is paused from 30 to 34.9 s.
        let running = if (30_000..34_900).contains(&ms) {
            &all[..3]
        } else {
            &all
        };
        for daemon in running {
            // Requests that arrived during the pause are waiting at its end.
            let count = if ms == 34_900 && *daemon >= 3 { 200 } else { 1 };
            for _ in 0..count {
                fleet[*daemon].record_request("ledger", now);
                requests += u32::from(ms >= 25_000);
                if ms >= 30_000 {
                    retries += u32::from(fleet[*daemon].try_acquire("ledger", now));
                }
            }
        }
        // No reports reach the daemons that were paused until the end of the test.
        let reporting = if ms < 30_000 { &all[..] } else { &all[..3] };
        if ms % 500 == 0 {
            for daemon in running {
                fleet[*daemon].set_reporting_daemons(reporting.len(), all.len(), now);
            }
        }
        if ms % 100 == 0 {
            exchange_reports(&mut fleet, reporting, now);
        }
    }
    let allowed = BOUNDS.ratio * f64::from(requests) + BOUNDS.extra;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    // The daemons that were not paused use most of their part.
    assert!(
        f64::from(retries) >= 0.6 * allowed,
        "{retries} of {allowed}"
    );
}
