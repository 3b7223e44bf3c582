//! A daemon that breaks a guarantee is found out; an honest one is not.

mod support;

use corianderworks_load::check::Violation;
use corianderworks_load::outcome::Outcome;
use corianderworks_load::reconcile::{ControlAddresses, NotReconciled, Reconcile};
use corianderworks_load::settings::{KeyKind, Verb};
use corianderworks_load::{LoadError, LoadReport, LoadSettings, run};
use corianderworks_standin::backend::{BackendSettings, BackendStandIn, Mode};
use support::{Conduct, backend, daemons, only, settings};

async fn run_against(conduct: Conduct, verb: Verb, size: u64) -> LoadReport {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[conduct]).await;
    let settings = settings(vec![daemons[0].address], verb, size);
    run(settings, &vec![backend]).await.expect("a run")
}

/// Each kind of lie over each kind of request. Guards against a check that
/// passes whatever the daemon does.
#[tokio::test]
async fn each_violation_is_detected() {
    use Conduct::*;
    let cases = [
        (Honest, Verb::Get, 0, None),
        (Honest, Verb::Get, 40_000, None),
        (Honest, Verb::Put, 0, None),
        (Honest, Verb::Post, 40_000, None),
        (Duplicate, Verb::Get, 0, None),
        (Duplicate, Verb::Post, 0, Some(Violation::ExecutedTwice)),
        (
            DuplicateWithoutKey,
            Verb::Post,
            0,
            Some(Violation::ExecutedTwice),
        ),
        (Truncate, Verb::Get, 40_000, Some(Violation::WrongLength)),
        (Truncate, Verb::Get, 0, Some(Violation::WrongBody)),
        (Corrupt, Verb::Get, 40_000, Some(Violation::WrongBody)),
        (Corrupt, Verb::Get, 0, Some(Violation::WrongBody)),
        (Forge, Verb::Get, 40_000, Some(Violation::WrongBody)),
        (Forge, Verb::Get, 0, Some(Violation::WrongBody)),
        (MixUp, Verb::Get, 40_000, Some(Violation::WrongRequest)),
        (StripProof, Verb::Put, 0, Some(Violation::MissingProof)),
        (AlterRequest, Verb::Put, 0, Some(Violation::RequestAltered)),
        (LieNotRun, Verb::Get, 0, None),
        (
            LieAnswered,
            Verb::Post,
            0,
            Some(Violation::AnsweredYetNotExecuted),
        ),
        (Refuse, Verb::Post, 0, None),
        (Break, Verb::Get, 0, None),
    ];
    let check = async |(conduct, verb, size, expected): (_, _, _, Option<Violation>)| {
        let report = run_against(conduct, verb, size).await;
        let name = format!("{conduct:?} {verb:?} {size}");
        let found: Vec<_> = report.violations.keys().copied().collect();
        assert_eq!(found, Vec::from_iter(expected), "{name}");
        assert!(report.requests >= 5, "{name}: {} requests", report.requests);
        let all = if expected.is_some() {
            report.requests
        } else {
            0
        };
        assert_eq!(report.violation_count(), all, "{name}");
        if conduct == Honest {
            assert_eq!(report.count(Outcome::Answered), report.requests, "{name}");
        }
    };
    futures_util::future::join_all(cases.map(check)).await;
}

/// Guards against a lie about `not-run` that a retry covers up, and against a
/// refusal that is not believed.
#[tokio::test]
async fn lies_about_not_run_are_detected() {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[Conduct::LieNotRun]).await;
    let mut settings = settings(vec![daemons[0].address], Verb::Post, 0);
    let executed_again = run(settings.clone(), &vec![backend.clone()]).await.unwrap();
    let twice = &executed_again.violations[&Violation::ExecutedTwice];
    assert_eq!(twice.count, executed_again.requests);
    settings.tries = 1;
    let report = run(settings, &vec![backend]).await.unwrap();
    let lied = &report.violations[&Violation::NotRunYetExecuted];
    assert_eq!((lied.count, report.violations.len()), (report.requests, 1));
    assert_eq!(report.count(Outcome::NotRun), report.requests);
    assert!(lied.examples[0].key.as_ref().unwrap().starts_with("cw-d1."));
    assert!(report.table().contains("not-run-yet-executed"));
}

/// Guards against a response that breaks off being counted as answered, and
/// against a non-idempotent request without key that is sent again.
#[tokio::test]
async fn unkeyed_requests_end_unknown_after_one_try() {
    for conduct in [Conduct::Break, Conduct::Refuse, Conduct::OverPlan] {
        let backend = backend().await;
        let daemons = daemons(backend.address(), &[conduct]).await;
        let mut settings = settings(vec![daemons[0].address], Verb::Post, 0);
        settings.keys = only(KeyKind::None);
        let report = run(settings, &vec![backend]).await.unwrap();
        let sent = daemons[0]
            .requests
            .load(std::sync::atomic::Ordering::Relaxed);
        let (outcome, tries) = match conduct {
            Conduct::Break => (Outcome::Unknown, 1),
            Conduct::Refuse => (Outcome::NotRun, 4),
            _ => (Outcome::NotRun, 1),
        };
        assert_eq!(report.count(outcome), report.requests, "{conduct:?}");
        assert_eq!(sent, report.requests * tries, "{conduct:?}");
        let unknown = if conduct == Conduct::Break {
            report.requests
        } else {
            0
        };
        assert_eq!(report.non_idempotent_unknown, unknown);
        assert_eq!(report.violation_count(), 0, "{conduct:?}");
    }
}

/// Guards against a resent key whose recorded outcome is not accepted, and
/// against one that is executed twice.
#[tokio::test]
async fn resent_key_accepts_its_recorded_outcome() {
    let backend = backend().await;
    let daemons = daemons(backend.address(), &[Conduct::BreakThenRecorded]).await;
    let mut settings = settings(vec![daemons[0].address], Verb::Post, 0);
    settings.phases[0].rate_per_s = 1_000.0;
    let report = run(settings, &vec![backend.clone()]).await.unwrap();
    // The first request was executed and is answered from its record. To all
    // others, an outcome recorded before they were ever sent proves nothing.
    assert_eq!((report.replayed, report.count(Outcome::Answered)), (1, 1));
    let missing = &report.violations[&Violation::MissingProof];
    assert_eq!(missing.count, report.requests - 1);
    assert_eq!(backend.stats().started, 1);
}

/// Guards against a run that reports success without reconciliation, and
/// against executions in other processes that are not found.
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
    let daemons = daemons(backend.address(), &[Conduct::Honest]).await;
    let settings = settings(vec![daemons[0].address], Verb::Post, 0);
    let control = ControlAddresses(vec![backend.control_address().unwrap()]);
    let report = run(settings.clone(), &control).await.unwrap();
    assert_eq!(
        report.count(Outcome::ErrorStatus) + report.count(Outcome::NotRun),
        report.requests
    );
    assert!(report.reconciled);
    let read = control.executions().await.unwrap().unwrap();
    assert_eq!(read, backend.executions());
    assert!(!read.by_key.is_empty());
    let report = run(settings.clone(), &NotReconciled).await.unwrap();
    assert!(!report.reconciled && report.table().contains("not reconciled"));
    backend.stop().await;
    assert!(matches!(
        run(settings, &control).await,
        Err(LoadError::Executions(_))
    ));
}

/// Guards against settings that make an empty run which looks like a pass.
#[tokio::test]
async fn empty_settings_are_refused() {
    let valid = settings(vec!["127.0.0.1:1".parse().unwrap()], Verb::Get, 0);
    let cases: [fn(&mut LoadSettings); 6] = [
        |s| s.daemons.clear(),
        |s| s.routes.clear(),
        |s| s.routes[0].methods[0].weight = 0,
        |s| s.phases.clear(),
        |s| s.callers = 0,
        |s| s.phases[0].rate_per_s = f64::NAN,
    ];
    assert!(valid.check().is_ok());
    for (index, spoil) in cases.iter().enumerate() {
        let mut settings = valid.clone();
        spoil(&mut settings);
        let result = run(settings, &NotReconciled).await;
        assert!(
            matches!(result, Err(LoadError::Settings(_))),
            "case {index}"
        );
    }
}
