//! Tests of the callers (address cache, retries, send times), the request mix and the report.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use corianderworks_load::caller::Caller;
use corianderworks_load::mix::{PlannedRequest, RequestMix};
use corianderworks_load::outcome::{AttemptResult, NextStep, Outcome, RetryState};
use corianderworks_load::settings::{HttpMethod, KeyKind, Phase, Weighted};
use corianderworks_load::{LoadSettings, run};
use corianderworks_standin::backend::Mode;
use support::{Behaviour, FakeDaemon, backend, daemons, settings};
use tokio::net::TcpListener;
use tokio::time::Instant;

fn addresses(daemons: &[FakeDaemon]) -> Vec<std::net::SocketAddr> {
    daemons.iter().map(|daemon| daemon.address).collect()
}

/// Checks the decision after each sequence of attempts. Guards against retrying a non-idempotent
/// request that has no key after it may have run, and against reporting `not-run` for a request
/// that may have run.
#[test]
fn next_step_after_each_attempt() {
    let not_run = || AttemptResult::NotRun { status: 503 };
    let too_many_requests = || AttemptResult::NotRun { status: 429 };
    let cases = [
        (
            vec![AttemptResult::Answered],
            false,
            Some(Outcome::Answered),
        ),
        (
            vec![AttemptResult::Status(500)],
            true,
            Some(Outcome::ErrorStatus),
        ),
        (vec![not_run()], false, None),
        (vec![not_run(), AttemptResult::NotConnected], false, None),
        (vec![AttemptResult::NotConnected], false, None),
        (vec![too_many_requests()], true, Some(Outcome::NotRun)),
        (
            vec![AttemptResult::ConnectionLost, too_many_requests()],
            true,
            Some(Outcome::Unknown),
        ),
        (
            vec![AttemptResult::ConnectionLost],
            false,
            Some(Outcome::Unknown),
        ),
        (vec![AttemptResult::Unknown], false, Some(Outcome::Unknown)),
        (vec![AttemptResult::TimedOut], false, Some(Outcome::Unknown)),
        (vec![AttemptResult::ConnectionLost], true, None),
        (vec![AttemptResult::TimedOut, not_run()], true, None),
        (
            vec![not_run(), AttemptResult::ConnectionLost],
            false,
            Some(Outcome::Unknown),
        ),
    ];
    for (results, safe_to_retry, ended) in cases {
        let mut retry_state = RetryState::default();
        let mut next_step = NextStep::Retry;
        for result in &results {
            assert_eq!(next_step, NextStep::Retry, "{results:?} ended early");
            next_step = retry_state.next_step(result, safe_to_retry, true);
        }
        let expected = ended.map_or(NextStep::Retry, NextStep::End);
        assert_eq!(
            next_step, expected,
            "{results:?} safe to retry {safe_to_retry}"
        );
    }
    let last = |results: &[AttemptResult]| {
        let mut retry_state = RetryState::default();
        let steps = results
            .iter()
            .map(|result| retry_state.next_step(result, true, false));
        steps.last()
    };
    assert_eq!(last(&[not_run()]), Some(NextStep::End(Outcome::NotRun)));
    assert_eq!(
        last(&[AttemptResult::NotConnected]),
        Some(NextStep::End(Outcome::Unsent))
    );
    assert_eq!(
        last(&[AttemptResult::ConnectionLost, not_run()]),
        Some(NextStep::End(Outcome::Unknown))
    );
}

/// Guards against a caller that keeps using a daemon that refuses requests or closes connections,
/// and against a retry that executes the request a second time.
#[tokio::test]
async fn retries_use_another_address() {
    let cases = [
        (Behaviour::Refuse, HttpMethod::Get),
        (Behaviour::Refuse, HttpMethod::Post),
        (Behaviour::CloseAfterExecution, HttpMethod::Get),
        (Behaviour::CloseAfterExecution, HttpMethod::Put),
    ];
    for (behaviour, http_method) in cases {
        let backend = backend().await;
        let daemons = daemons(backend.address(), &[behaviour, Behaviour::Correct]).await;
        let mut settings = settings(addresses(&daemons), http_method, 0);
        settings.avoid_ms = 0;
        settings.tries = 2;
        let report = run(settings, &vec![backend]).await.unwrap();
        let name = format!("{behaviour:?} {http_method:?}");
        assert_eq!(report.count(Outcome::Answered), report.requests, "{name}");
        assert_eq!(report.violation_count(), 0, "{name}");
        let first = daemons[0].requests.load(Ordering::Relaxed);
        assert!(first > 0 && report.retries >= first, "{name}");
    }
}

/// Guards against a caller that uses an address again right after it failed.
#[tokio::test]
async fn callers_avoid_a_failed_address() {
    let backend = backend().await;
    let daemons = daemons(
        backend.address(),
        &[Behaviour::CloseAfterExecution, Behaviour::Correct],
    )
    .await;
    let settings = settings(addresses(&daemons), HttpMethod::Get, 0);
    let settings = Arc::new(LoadSettings {
        callers: 1,
        avoid_ms: 60_000,
        ..settings
    });
    let caller = Arc::new(Caller::new(settings.clone(), 0));
    let planned_requests: Vec<_> = RequestMix::new(&settings, 1).collect();
    assert!(planned_requests.len() > 10);
    for planned in planned_requests {
        let finished = caller.send(planned, Instant::now()).await;
        assert_eq!(finished.outcome, Outcome::Answered);
    }
    assert_eq!(daemons[0].requests.load(Ordering::Relaxed), 1);
}

/// Guards against a retry under a new key after the key prefix has changed, which could execute the
/// request a second time.
#[tokio::test]
async fn resent_request_keeps_its_key() {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[Behaviour::CloseAfterExecution]).await;
    let mut settings = settings(addresses(&daemons), HttpMethod::Post, 0);
    settings.tries = 3;
    settings.backoff_ms = 1_000;
    let report = run(settings, &vec![backend.clone()]).await.unwrap();
    let fetched = daemons[0].address_requests.load(Ordering::Relaxed);
    assert!(fetched > 2, "the prefix never changed");
    assert_eq!(report.retries, 2 * report.requests);
    assert_eq!(backend.executions().by_key.len() as u64, report.requests);
}

/// Guards against a run that hangs or counts requests as answered when no daemon listens.
#[tokio::test]
async fn requests_without_daemons_end_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let mut settings = settings(vec![closed], HttpMethod::Post, 0);
    settings.deadline_ms = 200;
    let report = run(settings, &vec![backend().await]).await.unwrap();
    assert_eq!(report.count(Outcome::Unsent), report.requests);
    assert!(report.address_failures > 0 && report.requests > 0);
}

/// Guards against a caller that fetches addresses before every request.
#[tokio::test]
async fn address_responses_are_cached() {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[Behaviour::Correct]).await;
    let mut settings = settings(addresses(&daemons), HttpMethod::Get, 0);
    settings.callers = 3;
    let report = run(settings, &vec![backend]).await.unwrap();
    let fetched = daemons[0].address_requests.load(Ordering::Relaxed);
    assert!((1..=3).contains(&fetched), "{fetched} address requests");
    assert!(report.requests > 3);
}

/// Guards against latencies that omit the time a late request waited to be sent (coordinated
/// omission), and against more requests in flight than `in_flight`.
#[tokio::test]
async fn latency_counts_from_the_intended_send_time() {
    let backend = backend().await;
    backend.set_mode(Mode::Stall { share: 1.0 });
    let daemons = daemons(backend.address(), &[Behaviour::Correct]).await;
    let mut settings = settings(addresses(&daemons), HttpMethod::Get, 0);
    settings.in_flight = 1;
    settings.phases = vec![Phase {
        for_ms: 100,
        rate_per_s: 100.0,
    }];
    let (recovering, observed) = (backend.clone(), backend.clone());
    tokio::spawn(async move {
        while observed.stats().busy == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
        recovering.set_mode(Mode::Healthy);
    });
    settings.try_ms = 600;
    let report = run(settings, &vec![backend.clone()]).await.unwrap();
    assert_eq!(report.count(Outcome::Answered), report.requests);
    assert!(report.requests >= 3);
    assert_eq!(backend.stats().busy_peak, 1);
    // The first attempt stalls until its timeout of 600 ms, so all other requests are sent late.
    assert!(report.latency.p50_us > 300_000, "{:?}", report.latency);
    assert!(report.since_send.p50_us < report.latency.p50_us);
}

/// Guards against a mix that a seed does not reproduce, or whose weights and rates differ from the
/// settings.
#[test]
fn mix_follows_seed_weights_and_rates() {
    let mut settings = settings(Vec::new(), HttpMethod::Get, 0);
    settings.callers = 4;
    settings.phases = vec![
        Phase {
            for_ms: 10_000,
            rate_per_s: 200.0,
        },
        Phase {
            for_ms: 1_000,
            rate_per_s: 0.0,
        },
        Phase {
            for_ms: 10_000,
            rate_per_s: 800.0,
        },
    ];
    settings.routes[0].methods = vec![
        Weighted {
            value: HttpMethod::Get,
            weight: 3,
        },
        Weighted {
            value: HttpMethod::Post,
            weight: 1,
        },
    ];
    settings.keys = vec![
        Weighted {
            value: KeyKind::Issued,
            weight: 1,
        },
        Weighted {
            value: KeyKind::Own,
            weight: 1,
        },
    ];
    let planned_requests = |seed| -> Vec<PlannedRequest> {
        let mut settings = settings.clone();
        settings.seed = seed;
        RequestMix::new(&settings, 7).collect()
    };
    let debug_text = |planned_requests: &[PlannedRequest]| format!("{planned_requests:?}");
    let first = planned_requests(1);
    assert_eq!(debug_text(&first), debug_text(&planned_requests(1)));
    assert_ne!(debug_text(&first), debug_text(&planned_requests(2)));
    assert!(first.is_sorted_by_key(|p| p.at));
    let within = |from_s, to_s| {
        let range = Duration::from_secs(from_s)..Duration::from_secs(to_s);
        first.iter().filter(|p| range.contains(&p.at)).count()
    };
    assert!((1_800..2_200).contains(&within(0, 10)), "{}", within(0, 10));
    assert_eq!(within(10, 11), 0);
    assert!(
        (7_600..8_400).contains(&within(11, 21)),
        "{}",
        within(11, 21)
    );
    let posts: Vec<_> = first
        .iter()
        .filter(|p| p.http_method == HttpMethod::Post)
        .collect();
    let share = posts.len() as f64 / first.len() as f64;
    assert!((0.23..0.27).contains(&share), "{share}");
    let mut keys = BTreeMap::new();
    for planned in &posts {
        let key = planned.key("cw-d-").unwrap();
        assert_eq!(keys.insert(key.clone(), ()), None, "key {key} repeated");
        assert!(key.starts_with("cw-d-") || key.starts_with("own-"));
    }
    assert!(first.iter().all(|p| p.is_idempotent() == p.key.is_none()));
    assert!((0..4).all(|caller| first.iter().any(|p| p.caller == caller)));
}

/// Guards against a baseline run that asks daemons for addresses or is not reconciled.
#[tokio::test]
async fn direct_run_needs_no_daemon() {
    let backend = backend().await;
    let mut settings = settings(Vec::new(), HttpMethod::Post, 0);
    settings.direct = vec![backend.address()];
    let report = run(settings, &vec![backend.clone()]).await.unwrap();
    assert_eq!(report.count(Outcome::Answered), report.requests);
    assert_eq!((report.violation_count(), report.address_failures), (0, 0));
    assert_eq!(backend.stats().started, report.requests);
}

/// Guards against requests and latencies that are lost between a run and its report, and against a
/// JSON report that does not parse back to the same values.
#[tokio::test]
async fn report_matches_the_run() {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[Behaviour::Correct]).await;
    let mut settings = settings(addresses(&daemons), HttpMethod::Get, 1_000);
    settings.interval_ms = 100;
    settings.http2 = true;
    settings.phases = vec![
        Phase {
            for_ms: 200,
            rate_per_s: 100.0,
        },
        Phase {
            for_ms: 300,
            rate_per_s: 0.0,
        },
        Phase {
            for_ms: 100,
            rate_per_s: 100.0,
        },
    ];
    let report = run(settings, &vec![backend]).await.unwrap();
    let answered = report.count(Outcome::Answered);
    assert_eq!(
        (answered, report.latency.count),
        (report.requests, report.requests)
    );
    let recorded_count: u64 = report.intervals.iter().map(|i| i.latency.count).sum();
    assert_eq!(recorded_count, answered);
    assert!(
        report
            .intervals
            .iter()
            .enumerate()
            .all(|(n, i)| i.at_ms == n as u64 * 100)
    );
    let all = report.goodput_between(Duration::ZERO, Duration::from_secs(60));
    let seconds = report.intervals.len() as f64 / 10.0;
    assert!((all * seconds - answered as f64).abs() < 0.01);
    assert_eq!(
        report.goodput_between(Duration::from_secs(60), Duration::from_secs(61)),
        0.0
    );
    let json = report.to_json().unwrap();
    assert_eq!(
        serde_json::from_str::<corianderworks_load::LoadReport>(&json).unwrap(),
        report
    );
    let table = report.table();
    assert!(
        table.contains("answered") && table.contains("p99.9"),
        "{table}"
    );
    let svg = corianderworks_load::plot::svg(&report).unwrap();
    assert!(
        svg.contains("p99") && svg.contains("answered") && svg.ends_with("</svg>\n"),
        "{svg}"
    );
}
