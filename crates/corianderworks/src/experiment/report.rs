//! Comparison of the measurements with their targets, as serialisable rows and as a table.

use comfy_table::{Table, presets};
use serde::Serialize;

use super::Results;
use super::measure::Measurements;
use super::scenario::{Deployment, Scenario};
use super::simulation::System;

/// Minimum goodput after a spike relative to before it, in percent.
const RECOVERY_TARGET_PERCENT: f64 = 95.0;

/// Result of one scenario, deployment and system.
#[derive(Debug, Serialize)]
pub struct Row {
    scenario: Scenario,
    deployment: Deployment,
    system: System,
    runs: u32,
    detection_p50_ms: Option<u64>,
    detection_p99_ms: Option<u64>,
    detection_max_ms: Option<u64>,
    undetected: u32,
    false_ejections: u32,
    false_ejections_per_server_day: f64,
    goodput_percent: f64,
    recovery_percent: Option<f64>,
    slot_overruns: u64,
    refused_percent: f64,
    violations: u64,
    target: String,
    pass: bool,
}

/// Returns the name under which a unit variant is serialised; empty for other values.
pub fn serialized_name<T>(value: &T) -> String
where
    T: Serialize,
{
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Evaluates the measurements against the targets of section 1.2.
pub fn rows(results: &Results) -> Vec<Row> {
    let row = |(key, measurements): (&(Scenario, Deployment, bool), &Measurements)| {
        let (scenario, deployment, baseline) = *key;
        let system = if baseline {
            System::Baseline
        } else {
            System::Fleet
        };
        row(scenario, deployment, system, measurements)
    };
    results.iter().map(row).collect()
}

fn row(
    scenario: Scenario,
    deployment: Deployment,
    system: System,
    measurements: &Measurements,
) -> Row {
    let detection_target = scenario.detection_target();
    let detection_ms = |quantile| {
        detection_target.map(|_| measurements.detection_time(quantile).as_millis() as u64)
    };
    let mut targets = vec!["0 violations, 0 false".to_owned()];
    let mut pass = measurements.violations == 0 && measurements.false_ejections == 0;
    if system == System::Fleet {
        pass &= measurements.overruns == 0;
        targets.push("0 overruns".to_owned());
    }
    if let Some(limit) = detection_target {
        targets.push(format!("p99 <= {} ms", limit.as_millis()));
        pass &= measurements.undetected == 0 && measurements.detection_time(0.99) <= limit;
    }
    if scenario == Scenario::LoadSpike {
        targets.push(format!("recovery >= {RECOVERY_TARGET_PERCENT}%"));
        let recovery = measurements.recovery_percent();
        pass &= recovery.is_some_and(|percent| percent >= RECOVERY_TARGET_PERCENT);
    }
    Row {
        scenario,
        deployment,
        system,
        runs: measurements.runs,
        detection_p50_ms: detection_ms(0.5),
        detection_p99_ms: detection_ms(0.99),
        detection_max_ms: detection_ms(1.0),
        undetected: measurements.undetected,
        false_ejections: measurements.false_ejections,
        false_ejections_per_server_day: measurements.false_ejections_per_server_day(),
        goodput_percent: measurements.goodput_percent(),
        recovery_percent: measurements.recovery_percent(),
        slot_overruns: measurements.overruns,
        refused_percent: measurements.refused as f64 * 100.0 / measurements.arrived.max(1) as f64,
        violations: measurements.violations,
        target: targets.join(", "),
        pass,
    }
}

/// Formats the rows as a Markdown table.
pub fn table(rows: &[Row]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN).set_header([
        "scenario",
        "deployment",
        "system",
        "runs",
        "detection ms p50/p99/max",
        "undetected",
        "false ejections (per server-day)",
        "goodput %",
        "recovery %",
        "overruns",
        "refused %",
        "violations",
        "target",
        "result",
    ]);
    for row in rows {
        let detection = match (
            row.detection_p50_ms,
            row.detection_p99_ms,
            row.detection_max_ms,
        ) {
            (Some(p50), Some(p99), Some(max)) => format!("{p50}/{p99}/{max}"),
            _ => "-".to_owned(),
        };
        let false_ejections = format!(
            "{} ({:.3})",
            row.false_ejections, row.false_ejections_per_server_day
        );
        table.add_row([
            serialized_name(&row.scenario),
            serialized_name(&row.deployment),
            serialized_name(&row.system),
            row.runs.to_string(),
            detection,
            row.undetected.to_string(),
            false_ejections,
            format!("{:.2}", row.goodput_percent),
            row.recovery_percent
                .map_or_else(|| "-".to_owned(), |p| format!("{p:.1}")),
            row.slot_overruns.to_string(),
            format!("{:.2}", row.refused_percent),
            row.violations.to_string(),
            row.target.clone(),
            if row.pass { "pass" } else { "MISSED" }.to_owned(),
        ]);
    }
    table
}
