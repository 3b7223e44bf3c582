//! The permit table, the ledger of a daemon's permits, and the announcements of ejections.

use std::time::Duration;

use corianderworks_decision::dispatch_types::{Announcement, PermitNumber, Phase};
use corianderworks_decision::ejection::{AnnouncedEjections, HeldPermits};
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation, UpstreamKey};
use corianderworks_decision::permits::{
    PermitLedger, PermitTable, VmPresence, claim, floor, permit_count, release, surplus, usable,
};

fn run(daemon: u64, incarnation: u64) -> DaemonRun {
    DaemonRun {
        daemon: DaemonKey(daemon),
        incarnation: Incarnation(incarnation),
    }
}

fn table(holders: &[(u32, DaemonRun)]) -> PermitTable {
    let holders = holders.iter().map(|(p, r)| (PermitNumber(*p), *r));
    PermitTable {
        holders: holders.collect(),
    }
}

const HOMES: [DaemonKey; 3] = [DaemonKey(1), DaemonKey(2), DaemonKey(3)];

fn present(_: DaemonKey) -> VmPresence {
    VmPresence::Present
}

/// Guards against a floor that is rounded down, and against permits that leave fewer upstreams
/// than the floor.
#[test]
fn permits_leave_the_floor() {
    for upstreams in 0..40 {
        for percent in 0..=100 {
            let floor = floor(upstreams, percent);
            assert!(floor * 100 >= upstreams * percent);
            let permits = permit_count(upstreams, percent);
            assert_eq!(permits + floor, upstreams);
            for unavailable in 0..=upstreams {
                let allowed = (0..permits)
                    .filter(|p| usable(PermitNumber(*p), upstreams, unavailable, floor))
                    .count() as u32;
                assert_eq!(allowed, permits.saturating_sub(unavailable));
            }
        }
    }
}

/// Guards against a claim of a permit that another run holds, and against permits that stay with
/// a run that has ended.
#[test]
fn claims_take_only_free_permits() {
    let second_vm_removed = |daemon: DaemonKey| match daemon.0 {
        2 => VmPresence::Removed,
        _ => VmPresence::Present,
    };
    let (run_1, run_2, earlier_run_1) = (run(1, 5), run(2, 5), run(1, 4));
    let taken = claim(&table(&[]), run_1, &HOMES, 4, present);
    assert_eq!(taken, Some(table(&[(0, run_1), (2, run_1)])));
    let other = claim(&table(&[(0, run_1), (2, run_1)]), run_2, &HOMES, 4, present);
    assert_eq!(
        other,
        Some(table(&[(0, run_1), (1, run_2), (2, run_1), (3, run_2)]))
    );
    let full = table(&[(0, run_2), (1, run_2)]);
    assert_eq!(
        claim(&full, run_1, &HOMES, 2, present),
        None,
        "a live holder keeps its permits"
    );
    let freed = claim(&full, run_1, &HOMES, 2, second_vm_removed);
    assert_eq!(
        freed,
        Some(table(&[(0, run_1)])),
        "permits of a VM that is no longer listed are free"
    );
    let restarted = claim(
        &table(&[(0, earlier_run_1), (1, run_2)]),
        run_1,
        &HOMES,
        2,
        present,
    );
    assert_eq!(
        restarted,
        Some(table(&[(0, run_1), (1, run_2)])),
        "permits of an earlier run of the claimant are free"
    );
    let newer = table(&[(0, run_1)]);
    assert_eq!(
        claim(&newer, earlier_run_1, &HOMES, 1, present),
        None,
        "an earlier run releases no permit of a later one"
    );
}

/// Guards against the return of another run's permit, and against a daemon that keeps permits
/// after it is no longer a home.
#[test]
fn runs_return_only_their_own_permits() {
    let (run_1, run_2) = (run(1, 5), run(2, 5));
    let full = table(&[(0, run_1), (1, run_2), (2, run_1)]);
    let all: Vec<PermitNumber> = (0..3).map(PermitNumber).collect();
    assert_eq!(release(&full, run_1, &all), Some(table(&[(1, run_2)])));
    assert_eq!(release(&full, run(1, 4), &all), None);
    assert_eq!(surplus(&full, run_1, &HOMES, 2), [PermitNumber(2)]);
    assert_eq!(
        surplus(&full, run_1, &HOMES[1..], 3),
        [PermitNumber(0), PermitNumber(2)]
    );
}

/// Guards against the use of a permit whose return was sent and may take effect later.
#[test]
fn a_returned_permit_stays_unused_until_a_later_version() {
    let own_run = run(1, 1);
    let held = table(&[(0, own_run)]);
    let mut ledger = PermitLedger::default();
    assert_eq!(
        ledger.record_confirmed(3, &held, own_run),
        [PermitNumber(0)]
    );
    ledger.returning(&[PermitNumber(0)], 3);
    assert!(ledger.held().is_empty());
    assert!(
        ledger.record_confirmed(3, &held, own_run).is_empty(),
        "the write may still take effect"
    );
    assert_eq!(
        ledger.record_confirmed(4, &held, own_run),
        [PermitNumber(0)],
        "the conditional write can no longer take effect"
    );
    assert_eq!(
        ledger.record_confirmed(2, &table(&[]), own_run),
        [PermitNumber(0)],
        "a read of an older version is ignored"
    );
}

fn announcement(sequence: u64, upstream: Option<u64>, echo_ms: Option<u64>) -> Announcement {
    let echo = echo_ms.map(|ms| (run(9, 1), Duration::from_millis(ms)));
    Announcement {
        permit: PermitNumber(0),
        sequence,
        upstream: upstream.map(UpstreamKey),
        phase: Phase::Out,
        free: upstream.is_none(),
        holder: run(1, 1),
        echoes: echo.into_iter().collect(),
    }
}

/// Guards against ejections by an announcement that is late or repeated, or that has no echo of
/// this home's stamp.
#[test]
fn announced_ejections_expire_after_the_ttl() {
    // Announcements with sequence, upstream and echo, then the time and the upstream ejected then.
    type Case<'a> = (&'a [(u64, Option<u64>, Option<u64>)], u64, Option<u64>);
    let cases: [Case; 8] = [
        (&[(1, Some(7), Some(1_000))], 5_999, Some(7)),
        (&[(1, Some(7), Some(1_000))], 6_000, None),
        (&[(1, Some(7), None)], 0, None),
        (
            &[(1, Some(7), Some(1_000)), (2, None, Some(1_500))],
            2_000,
            None,
        ),
        (
            &[(2, None, Some(1_500)), (1, Some(7), Some(1_000))],
            2_000,
            None,
        ),
        (
            &[(2, Some(8), Some(1_500)), (1, Some(7), Some(1_000))],
            2_000,
            Some(8),
        ),
        (
            &[(1, Some(7), Some(1_000)), (1, Some(7), Some(1_000))],
            6_500,
            None,
        ),
        (
            &[(1, Some(7), Some(1_000)), (2, Some(7), Some(3_000))],
            6_500,
            Some(7),
        ),
    ];
    for (messages, now, expected) in cases {
        let mut received = AnnouncedEjections::default();
        for &(sequence, upstream, echo) in messages {
            received.record(
                Duration::ZERO,
                run(9, 1),
                &announcement(sequence, upstream, echo),
            );
        }
        let valid_ejections = received.valid_ejections(Duration::from_millis(now));
        let upstreams: Vec<u64> = valid_ejections
            .map(|(_, _, permit_use)| permit_use.upstream.0)
            .collect();
        assert_eq!(upstreams, Vec::from_iter(expected), "{messages:?} at {now}");
    }
    let mut other_run = AnnouncedEjections::default();
    other_run.record(
        Duration::ZERO,
        run(9, 2),
        &announcement(1, Some(7), Some(1_000)),
    );
    assert_eq!(
        other_run.valid_ejections(Duration::ZERO).count(),
        0,
        "the echo is of a stamp of an earlier run"
    );
}

/// Guards against the use of a permit for a second upstream while another home may still apply
/// the first ejection.
#[test]
fn a_permit_is_blocked_before_its_next_use() {
    let mut held = HeldPermits::default();
    let seconds = Duration::from_secs;
    held.set(seconds(0), &[PermitNumber(0)]);
    let mut apply = |now, upstream| held.apply(now, UpstreamKey(upstream), |_| true).is_some();
    assert!(
        !apply(seconds(4), 1),
        "the previous holder's ejection may still be valid"
    );
    assert!(apply(seconds(5), 1));
    assert!(!apply(seconds(20), 2), "one permit ejects one upstream");
    held.end(seconds(20), PermitNumber(0));
    assert!(held.used_or_blocked(seconds(24), PermitNumber(0)));
    assert!(held.apply(seconds(24), UpstreamKey(2), |_| true).is_none());
    assert!(!held.used_or_blocked(seconds(25), PermitNumber(0)));
    assert!(
        held.apply(seconds(25), UpstreamKey(2), |_| false).is_none(),
        "no free permit is usable"
    );
    assert!(held.apply(seconds(25), UpstreamKey(2), |_| true).is_some());
    assert_eq!(
        held.set(seconds(26), &[]),
        [UpstreamKey(2)],
        "a lost permit restores its upstream"
    );
}
