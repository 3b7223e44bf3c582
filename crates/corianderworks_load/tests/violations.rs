//! Detection of violated guarantees, with fake daemons that violate them and correct ones.

mod support;

use corianderworks_load::check::Violation;
use corianderworks_load::outcome::Outcome;
use corianderworks_load::reconcile::{ControlAddresses, NotReconciled, Reconcile};
use corianderworks_load::settings::{HttpMethod, KeyKind};
use corianderworks_load::{LoadError, LoadReport, LoadSettings, run};
use corianderworks_standin::backend::{BackendSettings, BackendStandIn, Mode};
use support::{Behaviour, backend, daemons, settings, single};

async fn run_against(behaviour: Behaviour, http_method: HttpMethod, size: u64) -> LoadReport {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[behaviour]).await;
    let settings = settings(vec![daemons[0].address], http_method, size);
    run(settings, &vec![backend]).await.expect("a run")
}

/// Runs each behaviour of the fake daemon against suitable kinds of requests. Guards against a
/// check that passes whatever the daemon does, and against violations reported for a correct
/// daemon.
#[tokio::test]
async fn each_violation_is_detected() {
    use Behaviour::*;
    let cases = [
        (Correct, HttpMethod::Get, 0, None),
        (Correct, HttpMethod::Get, 40_000, None),
        (Correct, HttpMethod::Put, 0, None),
        (Correct, HttpMethod::Post, 40_000, None),
        (Duplicate, HttpMethod::Get, 0, None),
        (
            Duplicate,
            HttpMethod::Post,
            0,
            Some(Violation::ExecutedTwice),
        ),
        (
            DuplicateWithoutKey,
            HttpMethod::Post,
            0,
            Some(Violation::ExecutedTwice),
        ),
        (
            Truncate,
            HttpMethod::Get,
            40_000,
            Some(Violation::WrongLength),
        ),
        (Truncate, HttpMethod::Get, 0, Some(Violation::WrongBody)),
        (Corrupt, HttpMethod::Get, 40_000, Some(Violation::WrongBody)),
        (Corrupt, HttpMethod::Get, 0, Some(Violation::WrongBody)),
        (
            CorruptWithMatchingHash,
            HttpMethod::Get,
            40_000,
            Some(Violation::WrongBody),
        ),
        (
            CorruptWithMatchingHash,
            HttpMethod::Get,
            0,
            Some(Violation::WrongBody),
        ),
        (
            SwapResponse,
            HttpMethod::Get,
            40_000,
            Some(Violation::WrongRequest),
        ),
        (
            RemoveEchoHeader,
            HttpMethod::Put,
            0,
            Some(Violation::MissingProof),
        ),
        (
            AlterRequest,
            HttpMethod::Put,
            0,
            Some(Violation::RequestAltered),
        ),
        (ExecuteThenNotRun, HttpMethod::Get, 0, None),
        (
            AnswerWithoutExecuting,
            HttpMethod::Post,
            0,
            Some(Violation::AnsweredYetNotExecuted),
        ),
        (Refuse, HttpMethod::Post, 0, None),
        (CloseAfterExecution, HttpMethod::Get, 0, None),
    ];
    let check = async |(behaviour, http_method, size, expected): (_, _, _, Option<Violation>)| {
        let report = run_against(behaviour, http_method, size).await;
        let name = format!("{behaviour:?} {http_method:?} {size}");
        let found: Vec<_> = report.violations.keys().copied().collect();
        assert_eq!(found, Vec::from_iter(expected), "{name}");
        assert!(report.requests >= 5, "{name}: {} requests", report.requests);
        let expected_count = if expected.is_some() {
            report.requests
        } else {
            0
        };
        assert_eq!(report.violation_count(), expected_count, "{name}");
        if behaviour == Correct {
            assert_eq!(report.count(Outcome::Answered), report.requests, "{name}");
        }
    };
    futures_util::future::join_all(cases.map(check)).await;
}

/// A daemon executes requests and refuses them with `not-run`. Guards against a violation that a
/// retry hides, and against a refusal that the caller does not count as `not-run`.
#[tokio::test]
async fn false_not_run_is_detected() {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[Behaviour::ExecuteThenNotRun]).await;
    let mut settings = settings(vec![daemons[0].address], HttpMethod::Post, 0);
    let retried = run(settings.clone(), &vec![backend.clone()]).await.unwrap();
    let executed_twice = &retried.violations[&Violation::ExecutedTwice];
    assert_eq!(executed_twice.count, retried.requests);
    settings.tries = 1;
    let report = run(settings, &vec![backend]).await.unwrap();
    let false_not_run = &report.violations[&Violation::NotRunYetExecuted];
    assert_eq!(
        (false_not_run.count, report.violations.len()),
        (report.requests, 1)
    );
    assert_eq!(report.count(Outcome::NotRun), report.requests);
    assert!(
        false_not_run.examples[0]
            .key
            .as_ref()
            .unwrap()
            .starts_with("cw-d1.")
    );
    assert!(report.table().contains("not-run-yet-executed"));
}

/// Guards against counting an incomplete response as answered, and against retrying a
/// non-idempotent request that has no key after it may have run.
#[tokio::test]
async fn requests_without_key_are_not_retried_after_execution() {
    for behaviour in [
        Behaviour::CloseAfterExecution,
        Behaviour::Refuse,
        Behaviour::RefuseTooManyRequests,
    ] {
        let backend = backend().await;
        let daemons = daemons(backend.address(), &[behaviour]).await;
        let mut settings = settings(vec![daemons[0].address], HttpMethod::Post, 0);
        settings.keys = single(KeyKind::None);
        let report = run(settings, &vec![backend]).await.unwrap();
        let sent = daemons[0]
            .requests
            .load(std::sync::atomic::Ordering::Relaxed);
        let (outcome, tries) = match behaviour {
            Behaviour::CloseAfterExecution => (Outcome::Unknown, 1),
            Behaviour::Refuse => (Outcome::NotRun, 4),
            _ => (Outcome::NotRun, 1),
        };
        assert_eq!(report.count(outcome), report.requests, "{behaviour:?}");
        assert_eq!(sent, report.requests * tries, "{behaviour:?}");
        let unknown = if behaviour == Behaviour::CloseAfterExecution {
            report.requests
        } else {
            0
        };
        assert_eq!(report.non_idempotent_unknown, unknown);
        assert_eq!(report.violation_count(), 0, "{behaviour:?}");
    }
}

/// Guards against a retry whose recorded outcome is not accepted, and against a retry that executes
/// the request a second time.
#[tokio::test]
async fn resent_key_accepts_its_recorded_outcome() {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[Behaviour::CloseThenReplay]).await;
    let mut settings = settings(vec![daemons[0].address], HttpMethod::Post, 0);
    settings.phases[0].rate_per_s = 1_000.0;
    let report = run(settings, &vec![backend.clone()]).await.unwrap();
    // Only the first request was executed, and its retry gets the recorded outcome. All others get
    // a recorded outcome on their first attempt, which does not prove that they were executed.
    assert_eq!((report.replayed, report.count(Outcome::Answered)), (1, 1));
    let missing = &report.violations[&Violation::MissingProof];
    assert_eq!(missing.count, report.requests - 1);
    assert_eq!(backend.stats().started, 1);
}

/// Guards against a run without reconciliation that is reported as reconciled, against executions
/// in other processes that are not read, and against an ignored failure to read them.
#[tokio::test]
async fn executions_come_from_every_source() {
    let control = BackendSettings {
        control_address: Some("127.0.0.1:0".parse().unwrap()),
        mode: Mode::Errors {
            share: 1.0,
            status: 500,
            run_share: 1.0,
        },
        ..BackendSettings::default()
    };
    let backend = BackendStandIn::start("127.0.0.1:0".parse().unwrap(), control)
        .await
        .unwrap();
    let daemons = daemons(backend.address(), &[Behaviour::Correct]).await;
    let settings = settings(vec![daemons[0].address], HttpMethod::Post, 0);
    let control = ControlAddresses(vec![backend.control_address().unwrap()]);
    let report = run(settings.clone(), &control).await.unwrap();
    assert_eq!(
        report.count(Outcome::ErrorStatus) + report.count(Outcome::NotRun),
        report.requests
    );
    assert!(report.reconciled);
    let fetched = control.executions().await.unwrap().unwrap();
    assert_eq!(fetched, backend.executions());
    assert!(!fetched.by_key.is_empty());
    let report = run(settings.clone(), &NotReconciled).await.unwrap();
    assert!(!report.reconciled && report.table().contains("not reconciled"));
    backend.stop().await;
    assert!(matches!(
        run(settings, &control).await,
        Err(LoadError::Executions(_))
    ));
}

/// Guards against settings that lead to an empty run, which would look like a run without
/// violations.
#[tokio::test]
async fn invalid_settings_are_rejected() {
    let valid = settings(vec!["127.0.0.1:1".parse().unwrap()], HttpMethod::Get, 0);
    let cases: [fn(&mut LoadSettings); 6] = [
        |s| s.daemons.clear(),
        |s| s.routes.clear(),
        |s| s.routes[0].methods[0].weight = 0,
        |s| s.phases.clear(),
        |s| s.callers = 0,
        |s| s.phases[0].rate_per_s = f64::NAN,
    ];
    assert!(valid.check().is_ok());
    for (index, invalidate) in cases.iter().enumerate() {
        let mut settings = valid.clone();
        invalidate(&mut settings);
        let result = run(settings, &NotReconciled).await;
        assert!(
            matches!(result, Err(LoadError::Settings(_))),
            "case {index}"
        );
    }
}
