//! Metrics and reasons of refusals.

#[allow(dead_code, reason = "the binary crate has no library to link against")]
#[path = "../src/reasons.rs"]
mod reasons;
#[allow(dead_code, reason = "the binary crate has no library to link against")]
#[path = "../src/telemetry.rs"]
mod telemetry;

use std::collections::BTreeSet;
use std::time::Duration;

use reasons::Reason;
use telemetry::{Direction, Metrics, RequestOutcome};

/// Guards against metrics that are not exported or change their name unnoticed.
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

/// Guards against a reason that operators cannot look up, and against two
/// reasons with one name.
#[test]
fn every_reason_is_documented() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/operators/refusals.md"
    );
    let page = std::fs::read_to_string(path).unwrap();
    for reason in Reason::ALL {
        let row = format!(
            "| `{}` | {} | {} | {} |",
            reason.name(),
            reason.status().as_u16(),
            reason.outcome().name(),
            reason.advice()
        );
        assert!(page.contains(&row), "missing row: {row}");
        assert_eq!(Reason::from_name(reason.name()), Some(*reason));
    }
    let names: BTreeSet<&str> = Reason::ALL.iter().map(|r| r.name()).collect();
    assert_eq!(names.len(), Reason::ALL.len());
}
