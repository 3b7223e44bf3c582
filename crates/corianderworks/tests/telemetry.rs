//! Exported metrics, and the documentation of refusals and alarms.

use std::time::Duration;

use corianderworks::alarms::AlarmKind;
use corianderworks::reasons::Reason;
use corianderworks::telemetry::{Direction, Metrics, RequestOutcome};

/// Guards against metrics that are not exported, and against unnoticed changes of their names.
#[test]
fn rendered_metrics() {
    let metrics = Metrics::new().unwrap();
    metrics.request(RequestOutcome::Served);
    metrics.request(RequestOutcome::Unknown);
    metrics.added_latency(Duration::from_micros(1_800), true);
    metrics.relay();
    metrics.refusal(Reason::Rate);
    metrics.ejection("stock");
    metrics.slots_in_use("stock", 3);
    metrics.slots_in_use("stock", -1);
    metrics.configuration_version(7);
    metrics.platform_calls(2);
    metrics.clone().control_bytes(Direction::Sent, 40);
    insta::assert_snapshot!(metrics.render());
}

fn operator_page(name: &str) -> String {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators/");
    std::fs::read_to_string(format!("{folder}{name}")).unwrap()
}

/// Guards against a reason that is missing from the operators' documentation or differs from it,
/// and against two reasons with the same name.
#[test]
fn every_reason_is_documented() {
    let operator_page = operator_page("refusals.md");
    for reason in Reason::ALL {
        let (name, status) = (reason.name(), reason.status().as_u16());
        let (outcome, advice) = (reason.outcome().name(), reason.advice());
        let row = format!("| `{name}` | {status} | {outcome} | {advice} |");
        assert!(operator_page.contains(&row), "missing row: {row}");
        assert_eq!(Reason::from_name(name), Some(*reason));
    }
}

/// Guards against an alarm that is missing from the operators' documentation or differs from it,
/// and against two alarms with the same name.
#[test]
fn every_alarm_is_documented() {
    let operator_page = operator_page("alarms.md");
    for alarm in AlarmKind::ALL {
        let row = format!("| `{}` | {} |", alarm.name(), alarm.advice());
        assert!(operator_page.contains(&row), "missing row: {row}");
        assert_eq!(AlarmKind::from_name(alarm.name()), Some(*alarm));
    }
}
