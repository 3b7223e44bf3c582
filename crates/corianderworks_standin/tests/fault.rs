//! Tests of fault timelines and of the control addresses of the stand-ins.

mod support;

use std::sync::Arc;
use std::time::Duration;

use corianderworks_standin::backend::{BackendSettings, BackendStandIn, Mode};
use corianderworks_standin::fault::{
    Fault, FaultTarget, FaultTargets, FaultTimeline, RandomFaultSettings, TimelineError,
};
use corianderworks_standin::platform::{PlatformFault, PlatformSettings, PlatformStandIn};
use support::{HttpClient, loopback_any_port, with_timeout};

fn timeline(json: &str) -> FaultTimeline {
    serde_json::from_str(json).expect("a timeline")
}

/// The end of a fault must not end another fault of the same target. A wildcard
/// must match the targets with its prefix and no others.
#[test]
fn overlapping_faults_end_independently() {
    let timeline = timeline(
        r#"[
        {"at_ms": 10, "for_ms": 20, "target": "stock/a/*", "fault": {"kind": "drain"}},
        {"at_ms": 20, "target": "stock/a/1",
         "fault": {"kind": "backend", "mode": "slow", "factor": 10.0}}
    ]"#,
    );
    let (drain, slow) = (Fault::Drain, Fault::Backend(Mode::Slow { factor: 10.0 }));
    let changes = timeline.changes(["stock/a/1", "stock/a/2", "stock/b/1"]);
    let observed: Vec<_> = changes
        .iter()
        .map(|c| {
            (
                c.at.as_millis(),
                c.target.as_str(),
                c.active.clone(),
                c.started.clone(),
            )
        })
        .collect();
    let expected = [
        (10, "stock/a/1", vec![drain.clone()], vec![drain.clone()]),
        (10, "stock/a/2", vec![drain.clone()], vec![drain.clone()]),
        (
            20,
            "stock/a/1",
            vec![drain, slow.clone()],
            vec![slow.clone()],
        ),
        (30, "stock/a/1", vec![slow], vec![]),
        (30, "stock/a/2", vec![], vec![]),
    ];
    assert_eq!(observed, expected);
}

/// An event with an unknown target, an unsupported fault or a misspelt mode must
/// be rejected instead of being ignored.
#[tokio::test]
async fn timeline_with_unknown_names_is_rejected() {
    let backend = BackendStandIn::start(loopback_any_port(), BackendSettings::default())
        .await
        .unwrap();
    let targets = FaultTargets::from([("b".to_owned(), Arc::new(backend) as Arc<dyn FaultTarget>)]);
    let unknown = timeline(r#"[{"at_ms": 0, "target": "c", "fault": {"kind": "drain"}}]"#);
    let error = TimelineError::UnknownTarget {
        index: 0,
        target: "c".into(),
    };
    assert_eq!(with_timeout(unknown.run(&targets)).await, Err(error));
    let outage = r#"[{"at_ms": 0, "target": "*", "fault": {"kind": "platform", "outage": true}}]"#;
    let error = TimelineError::UnsupportedFault {
        index: 0,
        target: "b".into(),
    };
    assert_eq!(
        with_timeout(timeline(outage).run(&targets)).await,
        Err(error)
    );
    let misspelt = r#"[{"at_ms": 0, "target": "b", "fault": {"kind": "backend", "mode": "slwo"}}]"#;
    assert!(serde_json::from_str::<FaultTimeline>(misspelt).is_err());
}

/// A run must activate each fault at its start and deactivate it at its end.
#[tokio::test]
async fn run_applies_and_clears_faults() {
    let backend = BackendStandIn::start(loopback_any_port(), BackendSettings::default())
        .await
        .unwrap();
    let platform = PlatformStandIn::start(loopback_any_port(), PlatformSettings::default())
        .await
        .unwrap();
    let targets = FaultTargets::from([
        (
            "b".to_owned(),
            Arc::new(backend.clone()) as Arc<dyn FaultTarget>,
        ),
        (
            "p".to_owned(),
            Arc::new(platform.clone()) as Arc<dyn FaultTarget>,
        ),
    ]);
    let slow = Mode::Slow { factor: 2.0 };
    let endless_timeline = timeline(
        r#"[
        {"at_ms": 0, "target": "b", "fault": {"kind": "backend", "mode": "slow", "factor": 2.0}},
        {"at_ms": 5, "target": "b", "fault": {"kind": "drain"}},
        {"at_ms": 5, "target": "b", "fault": {"kind": "path", "clients": ["127.0.0.9"],
         "mode": {"mode": "errors", "share": 1.0, "status": 500, "run_share": 0.0}}},
        {"at_ms": 5, "target": "p", "fault": {"kind": "platform", "outage": true}}
    ]"#,
    );
    with_timeout(endless_timeline.run(&targets)).await.unwrap();
    let outage = PlatformFault {
        outage: true,
        ..PlatformFault::default()
    };
    assert_eq!((backend.mode(), platform.faults()), (slow, vec![outage]));
    let http = HttpClient::http1(backend.address());
    assert_eq!(
        with_timeout(http.get("/x"))
            .await
            .unwrap()
            .header("cw-drain"),
        Some("1")
    );
    let faulted_client = HttpClient::from_address(backend.address(), [127, 0, 0, 9]);
    assert_eq!(
        with_timeout(faulted_client.get("/x")).await.unwrap().status,
        500
    );
    let mut ended_timeline = endless_timeline.clone();
    for event in &mut ended_timeline.events {
        event.for_ms = Some(10);
    }
    with_timeout(ended_timeline.run(&targets)).await.unwrap();
    assert_eq!((backend.mode(), platform.faults()), (Mode::Healthy, vec![]));
    assert_eq!(
        with_timeout(http.get("/x"))
            .await
            .unwrap()
            .header("cw-drain"),
        None
    );
    assert_eq!(
        with_timeout(faulted_client.get("/x")).await.unwrap().status,
        200
    );
}

/// A timeline in the settings must run after the start, and one that does not fit
/// the stand-in must make the start fail.
#[tokio::test]
async fn timeline_in_settings_is_run() {
    let json = r#"{"timeline": [{"at_ms": 1, "target": "platform",
        "fault": {"kind": "platform", "outage": true}}]}"#;
    let settings: PlatformSettings = serde_json::from_str(json).unwrap();
    let platform = PlatformStandIn::start(loopback_any_port(), settings.clone())
        .await
        .unwrap();
    with_timeout(async {
        while platform.faults().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    let backend = BackendSettings {
        timeline: settings.timeline,
        ..BackendSettings::default()
    };
    assert!(
        BackendStandIn::start(loopback_any_port(), backend)
            .await
            .is_err()
    );
}

/// A PUT to `/control/faults` must change the active faults, and a malformed body
/// must be rejected.
#[tokio::test]
async fn control_address_reads_and_replaces_faults() {
    let settings = BackendSettings {
        control_address: Some(loopback_any_port()),
        ..BackendSettings::default()
    };
    let backend = BackendStandIn::start(loopback_any_port(), settings)
        .await
        .unwrap();
    let control = HttpClient::http1(backend.control_address().unwrap());
    let stall = r#"{"mode": "stall", "share": 0.5}"#;
    let put = with_timeout(control.send("PUT", "/control/faults", &[], stall))
        .await
        .unwrap();
    assert_eq!(put.status, 200);
    assert_eq!(backend.mode(), Mode::Stall { share: 0.5 });
    let malformed = with_timeout(control.send("PUT", "/control/faults", &[], "{}"))
        .await
        .unwrap();
    assert_eq!(malformed.status, 400);
    let read_back = with_timeout(control.get("/control/faults")).await.unwrap();
    assert_eq!(
        read_back.json(),
        serde_json::from_str::<serde_json::Value>(stall).unwrap()
    );

    let settings = PlatformSettings {
        control_address: Some(loopback_any_port()),
        ..PlatformSettings::default()
    };
    let platform = PlatformStandIn::start(loopback_any_port(), settings)
        .await
        .unwrap();
    let control = HttpClient::http1(platform.control_address().unwrap());
    let outage = r#"[{"outage": true}]"#;
    assert_eq!(
        with_timeout(control.send("PUT", "/control/faults", &[], outage))
            .await
            .unwrap()
            .status,
        200
    );
    let http = HttpClient::http1(platform.address());
    assert_eq!(with_timeout(http.get("/vms")).await.unwrap().status, 503);
    assert_eq!(
        with_timeout(control.get("/control/faults"))
            .await
            .unwrap()
            .json()[0]["outage"],
        true
    );
}

/// A random timeline must be reproducible from its seed, or a failing run could
/// not be repeated.
#[test]
fn random_timeline_depends_only_on_its_seed() {
    let settings = |seed| RandomFaultSettings {
        seed,
        count: 20,
        within_ms: 60_000,
        for_ms: (100, 900),
        targets: vec!["a".into(), "b".into()],
        faults: vec![Fault::Drain, Fault::ColdStart],
    };
    let first = FaultTimeline::random(&settings(1));
    assert_eq!(first, FaultTimeline::random(&settings(1)));
    assert_ne!(first, FaultTimeline::random(&settings(2)));
    assert_eq!(first.events.len(), 20);
    assert!(
        first
            .events
            .iter()
            .all(|e| (100..=900).contains(&e.for_ms.unwrap()))
    );
}
