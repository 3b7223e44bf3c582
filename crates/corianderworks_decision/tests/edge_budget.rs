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
    let mut fleet: Vec<_> = (0..daemons).map(|_| Budget::new(BOUNDS)).collect();
    for (i, budget) in fleet.iter_mut().enumerate() {
        let count = (0..daemons).filter(|j| *j == i || heard(i, *j)).count();
        budget.set_heard(count, daemons);
    }
    let mut mail = Vec::new();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for ms in (0..40_000).step_by(10) {
        let now = at_ms(ms);
        let turn = (ms / 10) as usize % daemons;
        for _ in 0..2 {
            fleet[turn].request("ledger", now);
            requests.push(now);
            for _ in 0..2 {
                if fleet[turn].take("ledger", now) {
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
                fleet[to].hear(RunKey(from as u32), tag, counts, now);
            }
        }
    }
    let in_window = |times: &[Duration], end: Duration| {
        times
            .iter()
            .filter(|t| **t > end.saturating_sub(BOUNDS.window) && **t <= end)
            .count() as f64
    };
    let ends: Vec<_> = (10_000..40_000).step_by(100).map(at_ms).collect();
    let most = ends
        .iter()
        .map(|e| in_window(&repeats, *e))
        .fold(0.0, f64::max);
    (most, in_window(&requests, at_ms(30_000)))
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
