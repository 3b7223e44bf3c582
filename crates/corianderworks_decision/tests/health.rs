//! Assessment of an upstream's health for each kind of fault.

use std::time::Duration;

use corianderworks_decision::assessment::{Assessment, PeerEvidence, Siblings, assessment};
use corianderworks_decision::dispatch_types::{Evidence, Prefer};
use corianderworks_decision::health::{BaselineRate, EjectionPolicy, UpstreamHealth};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

const SLOW_THRESHOLD: Duration = ms(100);
const SIBLINGS: Siblings = Siblings {
    total: 7,
    responding: 7,
    good: 7,
    elevated: 0,
    measured: 7,
    slowed: 0,
};

/// Result of a request of one owner; one is sent every 20 ms.
#[derive(Debug, Clone, Copy)]
enum Request {
    Succeeds,
    Fails(Evidence),
    /// Silence that a fault of one connection could explain.
    IsSilent,
}

fn health(requests: &[Request]) -> (UpstreamHealth, Duration) {
    let rate = BaselineRate::default();
    let mut health = UpstreamHealth::default();
    let mut now = ms(1000);
    for request in requests {
        now += ms(20);
        match request {
            Request::Succeeds => health.success(now, ms(20), SLOW_THRESHOLD, rate.success_weight()),
            Request::Fails(kind) => health.failure(now, *kind, rate.failure_weight(), true),
            Request::IsSilent => health.silence(now, rate.failure_weight(), true),
        }
    }
    (health, now)
}

fn peer(now: Duration, score: f64, failures: u32, success: Duration) -> PeerEvidence {
    PeerEvidence {
        received_at: now,
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
fn assessment_of_each_fault() {
    use Evidence::{Errors, Slowness, Stalls, Truncation};
    use Request::{Fails, IsSilent, Succeeds};
    let errors = repeat(Fails(Errors), 15);
    let short_disturbance = [repeat(Fails(Errors), 5), repeat(Succeeds, 1)].concat();
    let half_failing = [Fails(Errors), Fails(Errors), Succeeds].repeat(10);
    let co_owner_idle = |now| Some(peer(now, 0.0, 0, ms(900)));
    let co_owner_succeeds = |now| Some(peer(now, 0.0, 0, now));
    let co_owner_fails = |now| Some(peer(now, 60.0, 9, ms(900)));
    let co_owner_one_error = |now| Some(peer(now, 5.5, 1, now));
    let policy = EjectionPolicy::for_preference(Prefer::Detection);
    let co_owner_half_fails = |now| Some(peer(now, 0.8 * policy.threshold, 4, now));
    let no_report = |_| None;
    type Report<'a> = &'a dyn Fn(Duration) -> Option<PeerEvidence>;
    let failing_siblings = Siblings {
        elevated: 5,
        ..SIBLINGS
    };
    let silent_siblings = Siblings {
        responding: 0,
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
    let cases: [(&str, Vec<Request>, Report, Siblings, Assessment); 17] = [
        (
            "healthy",
            repeat(Succeeds, 20),
            &co_owner_succeeds,
            SIBLINGS,
            Assessment::Inconclusive,
        ),
        (
            "errors, peer idle",
            errors.clone(),
            &co_owner_idle,
            SIBLINGS,
            Assessment::Unhealthy(Errors),
        ),
        (
            "errors, peer fails",
            errors.clone(),
            &co_owner_fails,
            SIBLINGS,
            Assessment::Unhealthy(Errors),
        ),
        (
            "errors, no report",
            errors.clone(),
            &no_report,
            SIBLINGS,
            Assessment::Unhealthy(Errors),
        ),
        (
            "errors, peer succeeds",
            errors.clone(),
            &co_owner_succeeds,
            SIBLINGS,
            Assessment::PathFault(Errors),
        ),
        (
            "errors, one at the peer",
            errors.clone(),
            &co_owner_one_error,
            SIBLINGS,
            Assessment::PathFault(Errors),
        ),
        (
            "half fail, also at the peer",
            half_failing.clone(),
            &co_owner_half_fails,
            SIBLINGS,
            Assessment::Unhealthy(Errors),
        ),
        (
            "half fail, peer idle",
            half_failing,
            &co_owner_idle,
            SIBLINGS,
            Assessment::Unhealthy(Errors),
        ),
        (
            "shared errors",
            errors,
            &co_owner_fails,
            failing_siblings,
            Assessment::SharedFault,
        ),
        (
            "short disturbance",
            short_disturbance,
            &co_owner_idle,
            SIBLINGS,
            Assessment::Inconclusive,
        ),
        (
            "two errors",
            repeat(Fails(Errors), 2),
            &co_owner_fails,
            SIBLINGS,
            Assessment::Inconclusive,
        ),
        (
            "truncation",
            truncated,
            &co_owner_idle,
            SIBLINGS,
            Assessment::Unhealthy(Truncation),
        ),
        (
            "stalls",
            stalls.clone(),
            &co_owner_fails,
            SIBLINGS,
            Assessment::Unhealthy(Stalls),
        ),
        (
            "silent connections, peer idle",
            repeat(IsSilent, 25),
            &co_owner_idle,
            SIBLINGS,
            Assessment::Inconclusive,
        ),
        (
            "silent connections, peer fails",
            repeat(IsSilent, 25),
            &co_owner_fails,
            SIBLINGS,
            Assessment::Unhealthy(Stalls),
        ),
        (
            "slow siblings",
            slow,
            &co_owner_fails,
            slow_siblings,
            Assessment::SharedFault,
        ),
        (
            "no response from siblings",
            stalls,
            &co_owner_fails,
            silent_siblings,
            Assessment::Inconclusive,
        ),
    ];
    for (name, requests, co_owner, siblings, expected) in cases {
        let (health, now) = health(&requests);
        let found = assessment(now, &policy, &health, co_owner(now), siblings);
        assert_eq!(found, expected, "{name}");
    }
}

/// Guards against the ejection of a healthy server because a short disturbance follows a single
/// failure that has nothing to do with it.
#[test]
fn short_disturbance_after_a_single_failure_ejects_no_server() {
    let rate = BaselineRate::default();
    for prefer in [Prefer::Detection, Prefer::Stability] {
        let policy = EjectionPolicy::for_preference(prefer);
        let mut health = UpstreamHealth::default();
        health.failure(ms(1000), Evidence::Errors, rate.failure_weight(), true);
        health.success(ms(2000), ms(20), SLOW_THRESHOLD, rate.success_weight());
        let mut assess_after_errors_for = |from: u64, until: u64| {
            let mut now = ms(from);
            while now <= ms(until) {
                health.failure(now, Evidence::Errors, rate.failure_weight(), true);
                now += ms(20);
            }
            let now = ms(until);
            let co_owner = peer(now, 0.8 * policy.threshold, 4, ms(900));
            assessment(now, &policy, &health, Some(co_owner), SIBLINGS)
        };
        let disturbed = assess_after_errors_for(3000, 3100);
        assert_eq!(disturbed, Assessment::Inconclusive, "{prefer:?}");
        let failing = assess_after_errors_for(3120, 3500);
        let unhealthy = Assessment::Unhealthy(Evidence::Errors);
        assert_eq!(failing, unhealthy, "{prefer:?}");
    }
}

/// Guards against using a report of the other owner that was received less than 100 ms after the
/// first failure, because it may have been sent before the failure.
#[test]
fn reports_possibly_sent_before_the_failure_are_not_used() {
    let (health, now) = health(&repeat(Request::Fails(Evidence::Errors), 15));
    let policy = EjectionPolicy::for_preference(Prefer::Detection);
    let received = |received_at| PeerEvidence {
        received_at,
        ..peer(now, 0.0, 0, ms(900))
    };
    let assess_with =
        |received_at| assessment(now, &policy, &health, Some(received(received_at)), SIBLINGS);
    assert_eq!(assess_with(ms(1100)), Assessment::Inconclusive);
    assert_eq!(
        assess_with(ms(1130)),
        Assessment::Unhealthy(Evidence::Errors)
    );
}

/// Guards against a preference without effect: stability must need more evidence.
#[test]
fn stability_needs_more_evidence_than_detection() {
    let needed = |prefer| {
        let policy = EjectionPolicy::for_preference(prefer);
        (1..100).find(|count| {
            let (health, now) = health(&repeat(Request::Fails(Evidence::Errors), *count));
            let found = assessment(now, &policy, &health, None, SIBLINGS);
            found == Assessment::Unhealthy(Evidence::Errors)
        })
    };
    assert!(needed(Prefer::Detection) < needed(Prefer::Stability));
}

/// Guards against ejection times that do not grow, or grow without bound.
#[test]
fn ejection_times_grow_to_a_maximum() {
    for prefer in [Prefer::Detection, Prefer::Stability] {
        let policy = EjectionPolicy::for_preference(prefer);
        let ejection_times: Vec<Duration> = (1..40).map(|n| policy.ejection_time(n)).collect();
        assert!(ejection_times.is_sorted());
        assert!(ejection_times[0] < ejection_times[1]);
        assert_eq!(ejection_times.last(), Some(&policy.max_ejection_time));
        assert!(policy.required_trials(1) < policy.required_trials(3));
    }
}

/// Guards against counting a request as overdue that is in time, or that is no slower than usual
/// for its upstream.
#[test]
fn overdue_levels_double_from_the_slow_threshold() {
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
            UpstreamHealth::level(ms(latency), SLOW_THRESHOLD),
            level,
            "{latency}"
        );
    }
    let mut always_slower = UpstreamHealth::default();
    assert_eq!(always_slower.slow_threshold(Some(ms(25))), ms(100));
    always_slower.success(ms(0), ms(60), ms(1000), 1.0);
    assert_eq!(always_slower.slow_threshold(Some(ms(25))), ms(180));
    assert_eq!(always_slower.slow_threshold(None), ms(1000));
}

/// Guards against ejecting a server because one request at each owner is late. That is enough only
/// when both requests are stuck.
#[test]
fn one_late_request_at_each_owner_ejects_no_server() {
    let weight = BaselineRate::default().failure_weight();
    let mut health = UpstreamHealth::default();
    for level in 1..=4 {
        health.failure(ms(1000), Evidence::Stalls, weight, level == 1);
        health.record_level(level);
    }
    let now = ms(2000);
    let late = peer(now, 3.0 * weight, 1, ms(900));
    let stuck = PeerEvidence { stuck: 1, ..late };
    let policy = EjectionPolicy::for_preference(Prefer::Detection);
    let assess_with = |peer| assessment(now, &policy, &health, Some(peer), SIBLINGS);
    assert_eq!(assess_with(late), Assessment::Inconclusive);
    assert_eq!(assess_with(stuck), Assessment::Unhealthy(Evidence::Stalls));
}
