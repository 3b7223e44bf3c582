//! Repeats of all daemons together stay within the bounds.

use std::time::Duration;

use corianderworks_decision::edge::budget::{Budget, BudgetBounds};
use corianderworks_decision::edge::fleet::RunKey;

const BOUNDS: BudgetBounds = BudgetBounds {
    ratio: 0.2,
    extra: 60.0,
    window: Duration::from_secs(10),
};

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Plays a fleet in which every request wants two repeats; returns the most repeats and the
/// requests of any window. Reports take `delay`; `heard` says who hears whom.
fn play<F>(daemons: usize, delay: Duration, heard: F) -> (f64, f64)
where
    F: Fn(usize, usize) -> bool,
{
    play_with_restart(daemons, delay, None, Duration::ZERO, heard)
}

fn play_with_restart<F>(
    daemons: usize,
    delay: Duration,
    restart: Option<Duration>,
    fails_from: Duration,
    heard: F,
) -> (f64, f64)
where
    F: Fn(usize, usize) -> bool,
{
    let start = |now| {
        (0..daemons)
            .map(|_| Budget::new(BOUNDS, now))
            .collect::<Vec<_>>()
    };
    // The fleet has run for longer than a window before the first request.
    let mut fleet = start(at_ms(0));
    let mut run = 0;
    for (i, budget) in fleet.iter_mut().enumerate() {
        let count = (0..daemons).filter(|j| *j == i || heard(i, *j)).count();
        budget.set_heard(count, daemons);
    }
    let mut mail = Vec::new();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for ms in (10_000..50_000).step_by(10) {
        let now = at_ms(ms);
        if restart == Some(now) {
            fleet = start(now);
            run = daemons;
            mail.clear();
        }
        let turn = (ms / 10) as usize % daemons;
        for _ in 0..2 {
            fleet[turn].request("ledger", now);
            requests.push(now);
            for _ in 0..2 {
                if now >= fails_from && fleet[turn].take("ledger", now) {
                    repeats.push(now);
                }
            }
        }
        let all = ms % 500 == 0;
        for (from, budget) in fleet.iter_mut().enumerate() {
            for (tag, counts) in budget.take_changes(all, now) {
                mail.push((now + delay, from, tag, counts));
            }
        }
        let due: Vec<_> = mail.iter().filter(|m| m.0 <= now).cloned().collect();
        mail.retain(|m| m.0 > now);
        for (_, from, tag, counts) in due {
            for to in (0..daemons).filter(|to| *to != from && heard(*to, from)) {
                fleet[to].hear(RunKey((run + from) as u32), tag, counts, now);
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
    let most = ends
        .iter()
        .map(|e| in_window(&repeats, *e))
        .fold(0.0, f64::max);
    (most, in_window(&requests, at_ms(40_000)))
}

#[test]
fn the_whole_fleet_stays_within_the_bound_and_uses_most_of_it() {
    let (repeats, requests) = play(40, at_ms(50), |_, _| true);
    let bound = BOUNDS.ratio * requests + BOUNDS.extra;
    assert!(repeats <= bound, "{repeats} of {bound}");
    assert!(repeats >= 0.6 * bound, "{repeats} of {bound}");
}

#[test]
fn daemons_that_do_not_hear_each_other_stay_within_the_bound_together() {
    for parts in [2, 4, 40] {
        let (repeats, requests) = play(40, at_ms(50), |to, from| to % parts == from % parts);
        let bound = BOUNDS.ratio * requests + BOUNDS.extra;
        assert!(repeats <= bound, "{parts} parts: {repeats} of {bound}");
    }
}

#[test]
fn a_fleet_that_restarts_as_a_whole_does_not_spend_its_budget_twice() {
    for restart_ms in [25_000, 32_500, 40_000] {
        // Failures that begin shortly before put all repeats next to the restart.
        for fails_for_ms in [restart_ms, 9_000, 4_000, 2_000] {
            let (restart, fails_from) = (at_ms(restart_ms), at_ms(restart_ms - fails_for_ms));
            let all = |_, _| true;
            let (repeats, requests) =
                play_with_restart(40, at_ms(50), Some(restart), fails_from, all);
            let bound = BOUNDS.ratio * requests + BOUNDS.extra;
            let when = format!("restart at {restart_ms} ms, failures for {fails_for_ms} ms");
            assert!(repeats <= bound, "{when}: {repeats} of {bound}");
        }
    }
}
