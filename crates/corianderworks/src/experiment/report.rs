//! Result rows, their targets, and the table.

use comfy_table::{Table, presets};
use serde::Serialize;

use super::Results;
use super::fleet::System;
use super::measure::Measures;
use super::scenario::{Deployment, Scenario};

/// Goodput after a spike relative to before it that must be reached, in percent.
const RECOVERY_TARGET_PERCENT: f64 = 95.0;

/// One line of the result.
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

/// Name of a value as JSON shows it.
pub fn name<T>(value: &T) -> String
where
    T: Serialize,
{
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Evaluates the figures against the targets of section 1.2.
pub fn rows(results: &Results) -> Vec<Row> {
    let row = |(key, measures): (&(Scenario, Deployment, bool), &Measures)| {
        let (scenario, deployment, baseline) = *key;
        let system = if baseline {
            System::Baseline
        } else {
            System::Fleet
        };
        row(scenario, deployment, system, measures)
    };
    results.iter().map(row).collect()
}

fn row(scenario: Scenario, deployment: Deployment, system: System, measures: &Measures) -> Row {
    let detection = scenario.detection_target();
    let at = |quantile| detection.map(|_| measures.detection(quantile).as_millis() as u64);
    let mut target = vec!["0 violations, 0 false".to_owned()];
    let mut pass = measures.violations == 0 && measures.false_ejections == 0;
    if system == System::Fleet {
        pass &= measures.overruns == 0;
        target.push("0 overruns".to_owned());
    }
    if let Some(limit) = detection {
        target.push(format!("p99 <= {} ms", limit.as_millis()));
        pass &= measures.undetected == 0 && measures.detection(0.99) <= limit;
    }
    if scenario == Scenario::LoadSpike {
        target.push(format!("recovery >= {RECOVERY_TARGET_PERCENT}%"));
        let recovered = measures.recovery_percent();
        pass &= recovered.is_some_and(|percent| percent >= RECOVERY_TARGET_PERCENT);
    }
    Row {
        scenario,
        deployment,
        system,
        runs: measures.runs,
        detection_p50_ms: at(0.5),
        detection_p99_ms: at(0.99),
        detection_max_ms: at(1.0),
        undetected: measures.undetected,
        false_ejections: measures.false_ejections,
        false_ejections_per_server_day: measures.false_rate(),
        goodput_percent: measures.goodput_percent(),
        recovery_percent: measures.recovery_percent(),
        slot_overruns: measures.overruns,
        refused_percent: measures.refused as f64 * 100.0 / measures.arrived.max(1) as f64,
        violations: measures.violations,
        target: target.join(", "),
        pass,
    }
}

/// Renders the rows.
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
            name(&row.scenario),
            name(&row.deployment),
            name(&row.system),
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
