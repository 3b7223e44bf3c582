//! Rules of one daemon's quotas, without a fleet.

use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::edge::fleet::RunKey;
use corianderworks_decision::edge::organisations::RateLimit;
use corianderworks_decision::edge::quota::{
    OrganisationTag, QuotaBounds, QuotaDecision, QuotaToken, Quotas, ReportedAdmissions,
};

const PEER: RunKey = RunKey(7);

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(rate_per_s: f64, burst: f64) -> [(Arc<str>, RateLimit); 1] {
    [("north".into(), RateLimit { rate_per_s, burst })]
}

/// Returns a daemon at the first start of a fleet of `daemons`, all of which report.
fn started(daemons: usize, rate_per_s: f64, burst: f64) -> Quotas {
    let mut quotas = Quotas::at_first_start(QuotaBounds::default(), at_ms(0));
    quotas.set_limits(limit(rate_per_s, burst), at_ms(0));
    quotas.set_reporting_daemons(daemons, Some(daemons), at_ms(0));
    quotas
}

fn admit(quotas: &mut Quotas, ms: u64) -> Result<QuotaToken, Duration> {
    // The largest number that is drawn; anything but a certain admission is refused.
    match quotas.admit("north", (1.0 - f64::EPSILON, 0.0), at_ms(ms)) {
        QuotaDecision::Admit(token) => Ok(token),
        QuotaDecision::Refuse { retry_after } => Err(retry_after),
        QuotaDecision::Unlimited => panic!("the organisation has a limit"),
    }
}

/// Returns the number of requests admitted at a time.
fn admitted(quotas: &mut Quotas, ms: u64) -> usize {
    (0..1_000).take_while(|_| admit(quotas, ms).is_ok()).count()
}

fn reported(admitted_total: u32, admitted_new: i32) -> [(OrganisationTag, ReportedAdmissions); 1] {
    let admissions = ReportedAdmissions {
        admitted_total,
        admitted_new,
        refused_new: 0,
    };
    [(OrganisationTag::of("north"), admissions)]
}

#[test]
fn a_daemon_alone_admits_the_burst_and_then_the_rate() {
    let mut quotas = started(1, 10.0, 12.0);
    // The burst, and the part of the tolerance that is added to it.
    assert_eq!(admitted(&mut quotas, 0), 18);
    let retry_after = admit(&mut quotas, 0).expect_err("a refusal");
    assert_eq!(retry_after, at_ms(200));
    assert_eq!(admitted(&mut quotas, 1_000), 10);
    let other = quotas.admit("south", (0.5, 0.5), at_ms(1_000));
    assert_eq!(other, QuotaDecision::Unlimited);
}

#[test]
fn a_token_that_is_given_back_can_be_used_again_and_is_reported() {
    let mut quotas = started(1, 0.001, 0.0);
    let tokens: Vec<_> = (0..6).map(|_| admit(&mut quotas, 0)).collect();
    assert!(admit(&mut quotas, 0).is_err());
    let counts = quotas.take_counts();
    assert_eq!(counts[0].1.admitted_total, 6);
    assert_eq!((counts[0].1.admitted_new, counts[0].1.refused_new), (6, 1));
    for token in tokens.into_iter().take(3) {
        quotas.give_back(token.expect("a token"), at_ms(0));
    }
    let counts = quotas.take_counts();
    assert_eq!(
        (counts[0].1.admitted_total, counts[0].1.admitted_new),
        (3, -3)
    );
    assert_eq!(quotas.take_counts(), []);
    assert_eq!(admitted(&mut quotas, 0), 3);
}

/// Guards against admissions that are lost with a report, counted twice, or lost where totals wrap
/// around.
#[test]
fn reported_totals_make_up_for_lost_reports() {
    let mut quotas = started(2, 0.001, 94.0);
    quotas.apply_counts(PEER, &reported(u32::MAX - 4, 10), false, at_ms(0));
    // A report with 5 admissions was lost; this one contains 15 more.
    quotas.apply_counts(PEER, &reported(15, 15), false, at_ms(0));
    // One was given back.
    quotas.apply_counts(PEER, &reported(14, -1), false, at_ms(0));
    // After the demand at the other daemon has been forgotten.
    let left = admitted(&mut quotas, 1_500);
    assert_eq!(left, 100 - 10 - 20 + 1);
}

/// Guards against a daemon that, after a partition, counts what the others had admitted of their own
/// share.
#[test]
fn admissions_of_a_daemon_that_was_silent_are_not_counted() {
    let mut quotas = started(2, 0.001, 94.0);
    quotas.apply_counts(PEER, &reported(10, 10), false, at_ms(0));
    quotas.apply_counts(PEER, &reported(5_000, 5), true, at_ms(100));
    assert_eq!(admitted(&mut quotas, 1_500), 100 - 10 - 5);
}

/// Guards against small buckets that the largest requests of other daemons block for long.
#[test]
fn debt_is_limited() {
    let mut quotas = started(2, 10.0, 10.0);
    quotas.apply_counts(PEER, &reported(1_000_000, 1_000_000), false, at_ms(0));
    // Half a window repays 25, and 6 are from the tolerance.
    for ms in (0..4_300).step_by(100) {
        quotas.set_reporting_daemons(2, Some(2), at_ms(ms));
    }
    assert!(admitted(&mut quotas, 4_300) >= 9);
}

#[test]
fn a_lowered_limit_reduces_the_bucket_at_once() {
    let mut quotas = started(1, 100.0, 100.0);
    assert!(admit(&mut quotas, 0).is_ok());
    quotas.set_limits(limit(1.0, 1.0), at_ms(10));
    assert_eq!(admitted(&mut quotas, 10), 7);
    quotas.set_limits([], at_ms(20));
    let decision = quotas.admit("north", (0.5, 0.5), at_ms(20));
    assert_eq!(decision, QuotaDecision::Unlimited);
    assert_eq!(quotas.take_counts(), []);
}

#[test]
fn a_daemon_without_reports_uses_its_own_share() {
    let mut quotas = started(100, 100.0, 194.0);
    quotas.set_reporting_daemons(1, Some(100), at_ms(100));
    assert_eq!(admitted(&mut quotas, 100), 2);
    quotas.set_reporting_daemons(1, Some(100), at_ms(1_100));
    assert_eq!(admitted(&mut quotas, 1_100), 1);
}

/// Guards against a full bucket at a daemon that doesn't know yet how large the fleet is.
#[test]
fn a_daemon_that_does_not_know_the_fleet_admits_next_to_nothing() {
    let mut quotas = Quotas::at_first_start(QuotaBounds::default(), at_ms(0));
    quotas.set_limits(limit(100.0, 100.0), at_ms(0));
    assert_eq!(admitted(&mut quotas, 0), 0);
    quotas.set_reporting_daemons(1, None, at_ms(100));
    assert_eq!(admitted(&mut quotas, 100), 0);
}

/// Guards against memory that grows with all pairs of daemons and organisations ever seen.
#[test]
fn state_of_unused_organisations_is_removed() {
    let names: Vec<Arc<str>> = (0..1_000).map(|n| format!("o{n}").into()).collect();
    let limits = names.iter().map(|name| {
        let limit = RateLimit {
            rate_per_s: 5.0,
            burst: 5.0,
        };
        (name.clone(), limit)
    });
    let mut quotas = Quotas::at_first_start(QuotaBounds::default(), at_ms(0));
    quotas.set_limits(limits, at_ms(0));
    quotas.set_reporting_daemons(430, Some(430), at_ms(0));
    let admissions = ReportedAdmissions {
        admitted_total: 1,
        admitted_new: 1,
        refused_new: 0,
    };
    for origin in 0..430 {
        let counts = names.iter().map(|n| (OrganisationTag::of(n), admissions));
        let counts: Vec<_> = counts.collect();
        quotas.apply_counts(RunKey(origin), &counts, false, at_ms(1));
    }
    assert_eq!(quotas.tracked_organisations(), names.len());
    assert_eq!(quotas.tracked_peer_totals(), 262_144);
    for ms in (0..200_000).step_by(100) {
        quotas.set_reporting_daemons(430, Some(430), at_ms(ms));
    }
    assert_eq!(quotas.tracked_organisations(), 0);
    assert_eq!(quotas.tracked_peer_totals(), 0);
}

/// Guards against a metric for each of 19,000 organisations.
#[test]
fn only_the_organisations_with_the_most_refusals_are_listed() {
    let names: Vec<Arc<str>> = (0..10).map(|n| format!("o{n}").into()).collect();
    let limit = RateLimit {
        rate_per_s: 0.001,
        burst: 0.0,
    };
    let mut quotas = Quotas::new(QuotaBounds::default(), at_ms(0));
    quotas.set_limits(names.iter().map(|n| (n.clone(), limit)), at_ms(0));
    for (refused, name) in names.iter().enumerate() {
        for _ in 0..refused {
            let decision = quotas.admit(name, (0.5, 0.5), at_ms(0));
            assert!(matches!(decision, QuotaDecision::Refuse { .. }));
        }
    }
    let (listed, others) = quotas.most_refused(2);
    assert_eq!(listed, [(names[9].clone(), 9), (names[8].clone(), 8)]);
    assert_eq!(others, (1..8).sum::<u64>());
}
