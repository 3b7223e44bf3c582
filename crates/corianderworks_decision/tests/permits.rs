//! Guards the permit table, the ledger and the announcements (section 2.4).

use std::time::Duration;

use corianderworks_decision::dispatch_types::{Announcement, PermitNumber, Phase};
use corianderworks_decision::ejection::{AnnouncedEjections, HeldPermits};
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation, UpstreamKey};
use corianderworks_decision::permits::{
    PermitLedger, PermitTable, VmEvidence, claim, floor, permit_count, release, surplus, usable,
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

fn present(_: DaemonKey) -> VmEvidence {
    VmEvidence::Present
}

/// Guards against rounding the floor down, and against permits that leave less than the floor.
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

/// Guards against two holders of a permit, and against permits locked by a run that is gone.
#[test]
fn claims_take_only_free_permits() {
    let gone_two = |daemon: DaemonKey| match daemon.0 {
        2 => VmEvidence::Gone,
        _ => VmEvidence::Present,
    };
    let (one, two, old_one) = (run(1, 5), run(2, 5), run(1, 4));
    let taken = claim(&table(&[]), one, &HOMES, 4, present);
    assert_eq!(taken, Some(table(&[(0, one), (2, one)])));
    let other = claim(&table(&[(0, one), (2, one)]), two, &HOMES, 4, present);
    assert_eq!(
        other,
        Some(table(&[(0, one), (1, two), (2, one), (3, two)]))
    );
    let full = table(&[(0, two), (1, two)]);
    assert_eq!(
        claim(&full, one, &HOMES, 2, present),
        None,
        "a live holder keeps its permits"
    );
    let freed = claim(&full, one, &HOMES, 2, gone_two);
    assert_eq!(freed, Some(table(&[(0, one)])), "the VM list frees them");
    let restarted = claim(&table(&[(0, old_one), (1, two)]), one, &HOMES, 2, present);
    assert_eq!(
        restarted,
        Some(table(&[(0, one), (1, two)])),
        "a restart frees its own"
    );
    let newer = table(&[(0, one)]);
    assert_eq!(
        claim(&newer, old_one, &HOMES, 1, present),
        None,
        "an old run frees nothing"
    );
}

/// Guards against returning another run's permit, and against keeping those of a former home.
#[test]
fn only_own_permits_are_returned() {
    let (one, two) = (run(1, 5), run(2, 5));
    let full = table(&[(0, one), (1, two), (2, one)]);
    let all: Vec<PermitNumber> = (0..3).map(PermitNumber).collect();
    assert_eq!(release(&full, one, &all), Some(table(&[(1, two)])));
    assert_eq!(release(&full, run(1, 4), &all), None);
    assert_eq!(surplus(&full, one, &HOMES, 2), [PermitNumber(2)]);
    assert_eq!(
        surplus(&full, one, &HOMES[1..], 3),
        [PermitNumber(0), PermitNumber(2)]
    );
}

/// Guards against using a permit after its return was sent but may take effect later.
#[test]
fn a_returned_permit_stays_unused_until_a_later_version() {
    let me = run(1, 1);
    let held = table(&[(0, me)]);
    let mut ledger = PermitLedger::default();
    assert_eq!(ledger.confirmed(3, &held, me), [PermitNumber(0)]);
    ledger.returning(&[PermitNumber(0)], 3);
    assert!(ledger.held().is_empty());
    assert!(
        ledger.confirmed(3, &held, me).is_empty(),
        "the write may still take effect"
    );
    assert_eq!(
        ledger.confirmed(4, &held, me),
        [PermitNumber(0)],
        "it lost the race"
    );
    assert_eq!(
        ledger.confirmed(2, &table(&[]), me),
        [PermitNumber(0)],
        "stale reads are ignored"
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

/// Guards against honouring a late, repeated or unechoed announcement.
#[test]
fn announcements_are_honoured_for_their_time_to_live() {
    // Announcements with sequence, upstream and echo; then the time and what is honoured.
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
            .map(|(_, _, used)| used.upstream.0)
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
        "the echo is of an earlier run"
    );
}

/// Guards against a permit that is used for a second upstream too early.
#[test]
fn a_permit_rests_before_its_next_use() {
    let mut held = HeldPermits::default();
    let at = Duration::from_secs;
    held.set(at(0), &[PermitNumber(0)]);
    let mut apply = |now, upstream| held.apply(now, UpstreamKey(upstream), |_| true).is_some();
    assert!(
        !apply(at(4), 1),
        "the previous holder may still be honoured"
    );
    assert!(apply(at(5), 1));
    assert!(!apply(at(20), 2), "one permit ejects one upstream");
    held.end(at(20), PermitNumber(0));
    assert!(held.used_or_blocked(at(24), PermitNumber(0)));
    assert!(held.apply(at(24), UpstreamKey(2), |_| true).is_none());
    assert!(!held.used_or_blocked(at(25), PermitNumber(0)));
    assert!(
        held.apply(at(25), UpstreamKey(2), |_| false).is_none(),
        "the floor decides"
    );
    assert!(held.apply(at(25), UpstreamKey(2), |_| true).is_some());
    assert_eq!(
        held.set(at(26), &[]),
        [UpstreamKey(2)],
        "a lost permit restores its upstream"
    );
}
