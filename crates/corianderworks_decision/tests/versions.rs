//! Faults in the delivery of a configuration version to a daemon.

use std::time::Duration;

use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};
use corianderworks_decision::placement::Candidate;
use corianderworks_decision::versions::{
    Source, VersionAction, VersionEvent, VersionTracker, configuration_readers,
};

const SECOND: Duration = Duration::from_secs(1);

fn peer(n: u64) -> Source {
    Source::Peer {
        run: DaemonRun {
            daemon: DaemonKey(n),
            incarnation: Incarnation(1),
        },
        address: ([10, 0, 0, n as u8], 7000).into(),
    }
}

fn reported(version: u64, source: Source) -> VersionEvent {
    VersionEvent::Reported { version, source }
}

fn fetched(version: u64, source: Source) -> VersionEvent {
    VersionEvent::Fetched { version, source }
}

/// Guards against a version in force that is replaced by an older one, whatever a source delivers.
#[test]
fn the_version_in_force_never_decreases() {
    let cases = [(7, 7), (8, 7), (12, 9), (9, 12)];
    for (first, second) in cases {
        let mut versions = VersionTracker::new(1);
        versions.handle(SECOND, fetched(first, peer(1)));
        let actions = versions.handle(SECOND, fetched(second, Source::Platform));
        let expected = if second > first {
            VersionAction::PutInForce { version: second }
        } else {
            VersionAction::Discard { version: second }
        };
        assert_eq!(actions, [expected]);
        assert_eq!(versions.in_force(), Some(first.max(second)));
        let old = versions.handle(SECOND, reported(first.min(second), peer(2)));
        assert_eq!(old, []);
    }
}

/// Guards against a second concurrent fetch, and against a fetch of a version already in force.
#[test]
fn one_fetch_at_a_time_from_the_first_reported_holder() {
    let mut versions = VersionTracker::new(2);
    let first = versions.handle(SECOND, reported(5, peer(1)));
    assert_eq!(
        first,
        [VersionAction::Fetch {
            version: 5,
            source: peer(1)
        }]
    );
    assert_eq!(versions.handle(SECOND, reported(5, peer(2))), []);
    assert_eq!(versions.handle(SECOND, reported(6, peer(3))), []);
    let next = versions.handle(SECOND, fetched(5, peer(1)));
    let expected = [
        VersionAction::PutInForce { version: 5 },
        VersionAction::Fetch {
            version: 6,
            source: peer(3),
        },
    ];
    assert_eq!(next, expected);
    assert_eq!(versions.handle(SECOND, fetched(6, peer(3))).len(), 1);
    assert_eq!(versions.handle(SECOND, reported(6, peer(4))), []);
}

/// Guards against a daemon that no longer retries, or that retries at once, after a fetch fails,
/// gets no response or delivers a stale manifest.
#[test]
fn every_failure_of_a_fetch_leads_to_a_delayed_retry_from_another_source() {
    let faults: [(&str, Option<VersionEvent>); 3] = [
        ("error", Some(VersionEvent::FetchFailed { source: peer(1) })),
        ("stale manifest", Some(fetched(4, peer(1)))),
        ("no response", None),
    ];
    for (name, fault) in faults {
        for seed in 0..20 {
            let mut versions = VersionTracker::new(seed);
            versions.handle(SECOND, reported(5, peer(1)));
            versions.handle(SECOND, reported(5, peer(2)));
            if let Some(event) = fault {
                let actions = versions.handle(SECOND, event);
                assert!(
                    !actions
                        .iter()
                        .any(|a| matches!(a, VersionAction::Fetch { .. })),
                    "{name}"
                );
            }
            let mut requested_from = Vec::new();
            let mut now = SECOND;
            while now < SECOND * 7 && versions.in_force() != Some(5) {
                now += Duration::from_millis(50);
                for action in versions.tick(now) {
                    if let VersionAction::Fetch { source, .. } = action {
                        requested_from.push(source);
                        let event = match source {
                            Source::Platform => VersionEvent::FetchFailed { source },
                            Source::Peer { .. } => fetched(5, source),
                        };
                        versions.handle(now, event);
                    }
                }
            }
            assert_eq!(
                requested_from,
                [Source::Platform, peer(2)],
                "{name}, seed {seed}"
            );
            assert!(now <= SECOND * 7, "{name}: in force within 6 s");
        }
    }
}

/// Guards against members that all retry at the same time after a shared source failed.
#[test]
fn retries_are_spread_over_time() {
    let retry = |seed| {
        let mut versions = VersionTracker::new(seed);
        versions.handle(SECOND, reported(5, peer(1)));
        versions.handle(SECOND, VersionEvent::FetchFailed { source: peer(1) });
        let at = |ms: &u64| {
            !versions
                .tick(SECOND + Duration::from_millis(*ms))
                .is_empty()
        };
        (0..1_000).find(at).expect("a retry within 1 s")
    };
    let mut times: Vec<u64> = (0..30).map(retry).collect();
    times.sort_unstable();
    times.dedup();
    assert!(times[0] > 0 && times.len() > 15, "{times:?}");
}

/// Guards against a failure domain without readers, and against a change of more than one reader
/// when one member fails.
#[test]
fn each_domain_has_two_readers_and_one_failure_changes_one() {
    let member = |n: u64| Candidate {
        daemon: DaemonKey::of(&n.to_string()),
        domain: format!("domain-{}", n % 4),
    };
    let mut members: Vec<Candidate> = (0..41).map(member).collect();
    members.push(Candidate {
        daemon: DaemonKey(1),
        domain: "single".into(),
    });
    let before = configuration_readers(&members);
    assert_eq!(before.len(), 9);
    members.retain(|m| m.daemon != before[0]);
    let after = configuration_readers(&members);
    assert_eq!(after.len(), 9);
    assert_eq!(before.iter().filter(|d| !after.contains(d)).count(), 1);
}
