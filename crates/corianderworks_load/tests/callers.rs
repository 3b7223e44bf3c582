//! Callers: cache, retries, send times and the mix.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use corianderworks_load::caller::Caller;
use corianderworks_load::mix::{Mix, Planned};
use corianderworks_load::outcome::{Next, Outcome, Tries, Try};
use corianderworks_load::settings::{KeyKind, Phase, Verb, Weighted};
use corianderworks_load::{LoadSettings, run};
use corianderworks_standin::backend::Mode;
use support::{Conduct, Daemon, backend, daemons, settings};
use tokio::net::TcpListener;
use tokio::time::Instant;

fn addresses(daemons: &[Daemon]) -> Vec<std::net::SocketAddr> {
    daemons.iter().map(|daemon| daemon.address).collect()
}

/// What a caller does after each sequence of tries. Guards against a
/// non-idempotent request that is repeated without key, and against `not-run`
/// reported for a request that may have run.
#[test]
fn decision_after_each_try() {
    let not_run = || Try::NotRun { status: 503 };
    let over_plan = || Try::NotRun { status: 429 };
    let cases = [
        (vec![Try::Answered], false, Some(Outcome::Answered)),
        (vec![Try::Status(500)], true, Some(Outcome::ErrorStatus)),
        (vec![not_run()], false, None),
        (vec![not_run(), Try::NotConnected], false, None),
        (vec![Try::NotConnected], false, None),
        (vec![over_plan()], true, Some(Outcome::NotRun)),
        (vec![Try::Broken, over_plan()], true, Some(Outcome::Unknown)),
        (vec![Try::Broken], false, Some(Outcome::Unknown)),
        (vec![Try::Unknown], false, Some(Outcome::Unknown)),
        (vec![Try::TimedOut], false, Some(Outcome::Unknown)),
        (vec![Try::Broken], true, None),
        (vec![Try::TimedOut, not_run()], true, None),
        (vec![not_run(), Try::Broken], false, Some(Outcome::Unknown)),
    ];
    for (results, can_repeat, ended) in cases {
        let mut tries = Tries::default();
        let mut next = Next::Again;
        for result in &results {
            assert_eq!(next, Next::Again, "{results:?} ended early");
            next = tries.next(result, can_repeat, true);
        }
        let expected = ended.map_or(Next::Again, Next::End);
        assert_eq!(next, expected, "{results:?} can repeat {can_repeat}");
    }
    let last = |results: &[Try]| {
        let mut tries = Tries::default();
        let ends = results.iter().map(|result| tries.next(result, true, false));
        ends.last()
    };
    assert_eq!(last(&[not_run()]), Some(Next::End(Outcome::NotRun)));
    assert_eq!(last(&[Try::NotConnected]), Some(Next::End(Outcome::Unsent)));
    assert_eq!(
        last(&[Try::Broken, not_run()]),
        Some(Next::End(Outcome::Unknown))
    );
}

/// Guards against a caller that stays at a daemon that refuses, breaks off or
/// is gone, and against a retry that executes a second time.
#[tokio::test]
async fn callers_move_to_another_address() {
    let cases = [
        (Conduct::Refuse, Verb::Get),
        (Conduct::Refuse, Verb::Post),
        (Conduct::Break, Verb::Get),
        (Conduct::Break, Verb::Put),
    ];
    for (conduct, verb) in cases {
        let backend = backend().await;
        let daemons = daemons(backend.address(), &[conduct, Conduct::Honest]).await;
        let mut settings = settings(addresses(&daemons), verb, 0);
        settings.avoid_ms = 0;
        settings.tries = 2;
        let report = run(settings, &vec![backend]).await.unwrap();
        let name = format!("{conduct:?} {verb:?}");
        assert_eq!(report.count(Outcome::Answered), report.requests, "{name}");
        assert_eq!(report.violation_count(), 0, "{name}");
        let first = daemons[0].requests.load(Ordering::Relaxed);
        assert!(first > 0 && report.retries >= first, "{name}");
    }
}

/// Guards against a caller that returns at once to an address that failed.
#[tokio::test]
async fn callers_avoid_a_failed_address() {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[Conduct::Break, Conduct::Honest]).await;
    let settings = settings(addresses(&daemons), Verb::Get, 0);
    let settings = Arc::new(LoadSettings {
        callers: 1,
        avoid_ms: 60_000,
        ..settings
    });
    let caller = Arc::new(Caller::new(settings.clone(), 0));
    let plan: Vec<_> = Mix::new(&settings, 1).collect();
    assert!(plan.len() > 10);
    for planned in plan {
        let finished = caller.send(planned, Instant::now()).await;
        assert_eq!(finished.outcome, Outcome::Answered);
    }
    assert_eq!(daemons[0].requests.load(Ordering::Relaxed), 1);
}

/// Guards against a request that is sent again under a new key after the key
/// prefix changed.
#[tokio::test]
async fn resent_request_keeps_its_key() {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[Conduct::Break]).await;
    let mut settings = settings(addresses(&daemons), Verb::Post, 0);
    settings.tries = 3;
    settings.backoff_ms = 1_000;
    let report = run(settings, &vec![backend.clone()]).await.unwrap();
    let asked = daemons[0].address_requests.load(Ordering::Relaxed);
    assert!(asked > 2, "the prefix never changed");
    assert_eq!(report.retries, 2 * report.requests);
    assert_eq!(backend.executions().by_key.len() as u64, report.requests);
}

/// Guards against a run that hangs or counts answers when no daemon listens.
#[tokio::test]
async fn without_daemons_nothing_is_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let mut settings = settings(vec![closed], Verb::Post, 0);
    settings.deadline_ms = 200;
    let report = run(settings, &vec![backend().await]).await.unwrap();
    assert_eq!(report.count(Outcome::Unsent), report.requests);
    assert!(report.address_failures > 0 && report.requests > 0);
}

/// Guards against a caller that asks for addresses before every request.
#[tokio::test]
async fn address_responses_are_cached() {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[Conduct::Honest]).await;
    let mut settings = settings(addresses(&daemons), Verb::Get, 0);
    settings.callers = 3;
    let report = run(settings, &vec![backend]).await.unwrap();
    let asked = daemons[0].address_requests.load(Ordering::Relaxed);
    assert!((1..=3).contains(&asked), "{asked} address requests");
    assert!(report.requests > 3);
}

/// Guards against latency that leaves out the time a late request waited, and
/// against more requests in flight than allowed.
#[tokio::test]
async fn latency_counts_from_the_intended_send_time() {
    let backend = backend().await;
    backend.set_mode(Mode::Stall { share: 1.0 });
    let daemons = daemons(backend.address(), &[Conduct::Honest]).await;
    let mut settings = settings(addresses(&daemons), Verb::Get, 0);
    settings.in_flight = 1;
    settings.phases = vec![Phase {
        for_ms: 100,
        rate_per_s: 100.0,
    }];
    let (healthy, recorder) = (backend.clone(), backend.clone());
    tokio::spawn(async move {
        while recorder.stats().busy == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
        healthy.set_mode(Mode::Healthy);
    });
    settings.try_ms = 600;
    let report = run(settings, &vec![backend.clone()]).await.unwrap();
    assert_eq!(report.count(Outcome::Answered), report.requests);
    assert!(report.requests >= 3);
    assert_eq!(backend.stats().busy_peak, 1);
    // The first request stalls for 600 ms, so all others are sent late.
    assert!(report.latency.p50_us > 300_000, "{:?}", report.latency);
    assert!(report.since_send.p50_us < report.latency.p50_us);
}

/// Guards against a mix that a seed does not reproduce or whose shares and
/// rates differ from the settings.
#[test]
fn mix_follows_seed_shares_and_rates() {
    let mut settings = settings(Vec::new(), Verb::Get, 0);
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
            value: Verb::Get,
            weight: 3,
        },
        Weighted {
            value: Verb::Post,
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
    let plan = |seed| -> Vec<Planned> {
        let mut settings = settings.clone();
        settings.seed = seed;
        Mix::new(&settings, 7).collect()
    };
    let text = |plan: &[Planned]| format!("{plan:?}");
    let first = plan(1);
    assert_eq!(text(&first), text(&plan(1)));
    assert_ne!(text(&first), text(&plan(2)));
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
    let posts: Vec<_> = first.iter().filter(|p| p.verb == Verb::Post).collect();
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

/// Guards against a baseline that asks the fleet or is not reconciled.
#[tokio::test]
async fn direct_run_needs_no_daemon() {
    let backend = backend().await;
    let mut settings = settings(Vec::new(), Verb::Post, 0);
    settings.direct = vec![backend.address()];
    let report = run(settings, &vec![backend.clone()]).await.unwrap();
    assert_eq!(report.count(Outcome::Answered), report.requests);
    assert_eq!((report.violation_count(), report.address_failures), (0, 0));
    assert_eq!(backend.stats().started, report.requests);
}

/// Guards against figures that get lost between a run and its report.
#[tokio::test]
async fn report_shows_the_run() {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[Conduct::Honest]).await;
    let mut settings = settings(addresses(&daemons), Verb::Get, 1_000);
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
    let summed: u64 = report.intervals.iter().map(|i| i.latency.count).sum();
    assert_eq!(summed, answered);
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
