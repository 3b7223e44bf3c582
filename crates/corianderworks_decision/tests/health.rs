//! Assessment of an upstream's health for each kind of fault.

use std::time::Duration;

use corianderworks_decision::dispatch_types::{Evidence, Prefer};
use corianderworks_decision::health::{BaselineRate, EjectionPolicy, UpstreamHealth};
use corianderworks_decision::verdict::{PeerView, Siblings, Verdict, verdict};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

const SLOW_THRESHOLD: Duration = ms(100);
const SIBLINGS: Siblings = Siblings {
    total: 7,
    known: 7,
    good: 7,
    elevated: 0,
};

/// Result of a request of one owner; one is sent every 20 ms.
#[derive(Debug, Clone, Copy)]
enum Request {
    Good,
    Fails(Evidence),
    /// Silence that a fault of one connection could explain.
    Silent,
}

fn health(requests: &[Request]) -> (UpstreamHealth, Duration) {
    let rate = BaselineRate::default();
    let mut health = UpstreamHealth::default();
    let mut now = ms(1000);
    for request in requests {
        now += ms(20);
        match request {
            Request::Good => {
                health.record_success(now, ms(20), SLOW_THRESHOLD, rate.success_weight())
            }
            Request::Fails(kind) => health.record_failure(now, *kind, rate.failure_weight(), true),
            Request::Silent => health.record_silence(now, rate.failure_weight(), true),
        }
    }
    (health, now)
}

fn peer(now: Duration, score: f64, failures: u32, success: Duration) -> PeerView {
    PeerView {
        heard: now,
        score,
        held_back: 0.0,
        failures,
        stuck: 0,
        first_failure: (failures > 0).then_some(ms(1010)),
        last_success: Some(success),
        last_slow: None,
    }
}

fn repeat(request: Request, count: usize) -> Vec<Request> {
    vec![request; count]
}

/// Guards against a failing server that stays in use, and against the ejection of a healthy one
/// because of a path fault, one faulty connection, a short disturbance, a fault shared by all
/// servers, or too few requests.
#[test]
fn verdicts_by_fault() {
    use Evidence::{Errors, Slowness, Stalls, Truncation};
    use Request::{Fails, Good, Silent};
    let errors = repeat(Fails(Errors), 15);
    let hiccup = [repeat(Fails(Errors), 5), repeat(Good, 1)].concat();
    let half = [Fails(Errors), Fails(Errors), Good].repeat(10);
    let idle = |now| Some(peer(now, 0.0, 0, ms(900)));
    let works = |now| Some(peer(now, 0.0, 0, now));
    let fails = |now| Some(peer(now, 60.0, 9, ms(900)));
    let one_error = |now| Some(peer(now, 5.5, 1, now));
    let policy = EjectionPolicy::for_preference(Prefer::Detection);
    let half_there = |now| Some(peer(now, 0.8 * policy.threshold, 4, now));
    let unknown = |_| None;
    type Peer<'a> = &'a dyn Fn(Duration) -> Option<PeerView>;
    let affected = Siblings {
        elevated: 5,
        ..SIBLINGS
    };
    let silent_siblings = Siblings {
        known: 0,
        good: 0,
        ..SIBLINGS
    };
    let slow_siblings = Siblings {
        good: 2,
        ..SIBLINGS
    };
    let stalls = repeat(Fails(Stalls), 25);
    let slow = repeat(Fails(Slowness), 25);
    let truncated = repeat(Fails(Truncation), 15);
    let cases: [(&str, Vec<Request>, Peer, Siblings, Verdict); 17] = [
        ("healthy", repeat(Good, 20), &works, SIBLINGS, Verdict::Fine),
        (
            "errors, other idle",
            errors.clone(),
            &idle,
            SIBLINGS,
            Verdict::Unhealthy(Errors),
        ),
        (
            "errors, both",
            errors.clone(),
            &fails,
            SIBLINGS,
            Verdict::Unhealthy(Errors),
        ),
        (
            "errors, alone",
            errors.clone(),
            &unknown,
            SIBLINGS,
            Verdict::Unhealthy(Errors),
        ),
        (
            "errors, other works",
            errors.clone(),
            &works,
            SIBLINGS,
            Verdict::PathFault(Errors),
        ),
        (
            "one error there",
            errors.clone(),
            &one_error,
            SIBLINGS,
            Verdict::PathFault(Errors),
        ),
        (
            "half fail at both",
            half.clone(),
            &half_there,
            SIBLINGS,
            Verdict::Unhealthy(Errors),
        ),
        (
            "half fail here",
            half,
            &idle,
            SIBLINGS,
            Verdict::Unhealthy(Errors),
        ),
        ("shared errors", errors, &fails, affected, Verdict::Shared),
        ("hiccup", hiccup, &idle, SIBLINGS, Verdict::Fine),
        (
            "two errors",
            repeat(Fails(Errors), 2),
            &fails,
            SIBLINGS,
            Verdict::Fine,
        ),
        (
            "truncation",
            truncated,
            &idle,
            SIBLINGS,
            Verdict::Unhealthy(Truncation),
        ),
        (
            "stalls",
            stalls.clone(),
            &fails,
            SIBLINGS,
            Verdict::Unhealthy(Stalls),
        ),
        (
            "one connection",
            repeat(Silent, 25),
            &idle,
            SIBLINGS,
            Verdict::Fine,
        ),
        (
            "connections at both",
            repeat(Silent, 25),
            &fails,
            SIBLINGS,
            Verdict::Unhealthy(Stalls),
        ),
        (
            "slow siblings",
            slow,
            &fails,
            slow_siblings,
            Verdict::Shared,
        ),
        (
            "nothing known of siblings",
            stalls,
            &fails,
            silent_siblings,
            Verdict::Fine,
        ),
    ];
    for (name, requests, co_owner, siblings, expected) in cases {
        let (health, now) = health(&requests);
        let found = verdict(now, &policy, &health, co_owner(now), siblings);
        assert_eq!(found, expected, "{name}");
    }
}

/// Guards against using a peer's report that is older than the failure.
#[test]
fn an_old_report_neither_confirms_nor_contradicts() {
    let (health, now) = health(&repeat(Request::Fails(Evidence::Errors), 15));
    let policy = EjectionPolicy::for_preference(Prefer::Detection);
    let at = |heard| PeerView {
        heard,
        ..peer(now, 0.0, 0, ms(900))
    };
    let judge = |heard| verdict(now, &policy, &health, Some(at(heard)), SIBLINGS);
    assert_eq!(judge(ms(1100)), Verdict::Fine);
    assert_eq!(judge(ms(1130)), Verdict::Unhealthy(Evidence::Errors));
}

/// Guards against a preference without effect: stability must need more evidence.
#[test]
fn stability_needs_more_evidence_than_detection() {
    let needed = |prefer| {
        let policy = EjectionPolicy::for_preference(prefer);
        (1..100).find(|count| {
            let (health, now) = health(&repeat(Request::Fails(Evidence::Errors), *count));
            let found = verdict(now, &policy, &health, None, SIBLINGS);
            found == Verdict::Unhealthy(Evidence::Errors)
        })
    };
    assert!(needed(Prefer::Detection) < needed(Prefer::Stability));
}

/// Guards against ejection times that do not grow, or grow without bound.
#[test]
fn penalties_grow_to_a_cap() {
    for prefer in [Prefer::Detection, Prefer::Stability] {
        let policy = EjectionPolicy::for_preference(prefer);
        let penalties: Vec<Duration> = (1..40).map(|n| policy.ejection_time(n)).collect();
        assert!(penalties.is_sorted());
        assert!(penalties[0] < penalties[1]);
        assert_eq!(penalties.last(), Some(&policy.max_ejection_time));
        assert!(policy.required_trials(1) < policy.required_trials(3));
    }
}

/// Guards against counting a request as overdue that is in time, or that is slow at an upstream
/// that always is.
#[test]
fn levels_double_from_the_slow_limit() {
    let cases = [
        (99, 0),
        (100, 1),
        (199, 1),
        (200, 2),
        (400, 3),
        (800, 4),
        (60_000, 6),
    ];
    for (latency, level) in cases {
        assert_eq!(
            UpstreamHealth::overdue_level(ms(latency), SLOW_THRESHOLD),
            level,
            "{latency}"
        );
    }
    let mut always_slower = UpstreamHealth::default();
    assert_eq!(always_slower.slow_threshold(Some(ms(25))), ms(100));
    always_slower.record_success(ms(0), ms(60), ms(1000), 1.0);
    assert_eq!(always_slower.slow_threshold(Some(ms(25))), ms(180));
    assert_eq!(always_slower.slow_threshold(None), ms(1000));
}

/// Guards against ejecting a server for one late response at each owner; both must be stuck.
#[test]
fn one_late_request_at_each_owner_is_no_verdict() {
    let weight = BaselineRate::default().failure_weight();
    let mut health = UpstreamHealth::default();
    for level in 1..=4 {
        health.record_failure(ms(1000), Evidence::Stalls, weight, level == 1);
        health.record_overdue_level(level);
    }
    let now = ms(2000);
    let late = peer(now, 3.0 * weight, 1, ms(900));
    let stuck = PeerView { stuck: 1, ..late };
    let policy = EjectionPolicy::for_preference(Prefer::Detection);
    let judge = |peer| verdict(now, &policy, &health, Some(peer), SIBLINGS);
    assert_eq!(judge(late), Verdict::Fine);
    assert_eq!(judge(stuck), Verdict::Unhealthy(Evidence::Stalls));
}
