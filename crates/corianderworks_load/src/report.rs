//! Figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use comfy_table::{Table, presets};
use corianderworks_standin::backend::Executions;
use serde::{Deserialize, Serialize};

use crate::caller::Finished;
use crate::check::Violation;
use crate::outcome::Outcome;
use crate::reconcile::reconcile;
use crate::recorder::{Interval, Latency, Recorder};
use crate::settings::LoadSettings;

/// Examples kept for each kind of violation.
const EXAMPLES: usize = 10;

/// Request that shows a violation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Example {
    /// Check id.
    pub check: String,
    /// Key, if the request had one.
    pub key: Option<String>,
    /// Service.
    pub service: String,
    /// Outcome for the caller.
    pub outcome: Outcome,
    /// Tries made.
    pub tries: u32,
}

/// Violations of one kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Number of requests.
    pub count: u64,
    /// The first of them.
    pub examples: Vec<Example>,
}

/// Figures of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the run.
    pub seed: u64,
    /// Length of the load.
    pub duration_ms: u64,
    /// Requests that ended.
    pub requests: u64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Requests by service and outcome.
    pub services: BTreeMap<String, BTreeMap<Outcome, u64>>,
    /// Answered requests per second.
    pub goodput_per_s: f64,
    /// Tries after the first.
    pub retries: u64,
    /// Answers that were recorded ones of an earlier try.
    pub replayed: u64,
    /// Failed tries by reason.
    pub failures: BTreeMap<String, u64>,
    /// Address requests that failed.
    pub address_failures: u64,
    /// Latency of answered requests from their intended send time.
    pub latency: Latency,
    /// Latency of answered requests from their first send.
    pub since_send: Latency,
    /// Non-idempotent requests.
    pub non_idempotent: u64,
    /// Non-idempotent requests that ended unknown.
    pub non_idempotent_unknown: u64,
    /// Whether non-idempotent requests were compared with the executions.
    pub reconciled: bool,
    /// Violations by kind.
    pub violations: BTreeMap<Violation, Violations>,
    /// Figures over time.
    pub intervals: Vec<Interval>,
}

impl LoadReport {
    /// Report of the recorded requests; without executions nothing is
    /// reconciled.
    pub fn new(
        settings: &LoadSettings,
        recorder: &mut Recorder,
        executions: Option<&Executions>,
        address_failures: u64,
    ) -> Self {
        let duration_ms: u64 = settings.phases.iter().map(|phase| phase.for_ms).sum();
        let seconds = Duration::from_millis(duration_ms).as_secs_f64();
        let answered = recorder.outcomes.get(&Outcome::Answered).copied();
        let mut violations = BTreeMap::new();
        for finished in &recorder.wrong {
            add(&mut violations, finished.violation, finished);
        }
        if let Some(executions) = executions {
            for finished in &recorder.non_idempotent {
                add(&mut violations, reconcile(finished, executions), finished);
            }
        }
        let is_unknown = |finished: &&Finished| finished.outcome == Outcome::Unknown;
        let unknown = recorder.non_idempotent.iter().filter(is_unknown).count();
        Self {
            seed: settings.seed,
            duration_ms,
            requests: recorder.outcomes.values().sum(),
            outcomes: recorder.outcomes.clone(),
            services: recorder.services.clone(),
            goodput_per_s: answered.unwrap_or(0) as f64 / seconds.max(0.001),
            retries: recorder.retries,
            replayed: recorder.replayed,
            failures: recorder.failures.clone(),
            address_failures,
            latency: recorder.latency.latency(),
            since_send: recorder.since_send.latency(),
            non_idempotent: recorder.non_idempotent.len() as u64,
            non_idempotent_unknown: unknown as u64,
            reconciled: executions.is_some(),
            violations,
            intervals: recorder.intervals(),
        }
    }

    /// Requests with an outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Requests with any violation.
    pub fn violation_count(&self) -> u64 {
        self.violations.values().map(|v| v.count).sum()
    }

    /// Answered requests per second between two times of the run. Only whole
    /// intervals inside the range count.
    pub fn goodput_between(&self, from: Duration, to: Duration) -> f64 {
        let (from_ms, to_ms) = (from.as_millis() as u64, to.as_millis() as u64);
        let length_ms = match self.intervals.as_slice() {
            [first, second, ..] => second.at_ms - first.at_ms,
            _ => self.duration_ms,
        };
        let within = self
            .intervals
            .iter()
            .filter(|i| i.at_ms >= from_ms && i.at_ms + length_ms <= to_ms);
        let (mut answered, mut count) = (0, 0_u32);
        for interval in within {
            answered += interval.outcomes.get(&Outcome::Answered).unwrap_or(&0);
            count += 1;
        }
        let seconds = f64::from(count) * length_ms as f64 / 1_000.0;
        if count == 0 {
            0.0
        } else {
            answered as f64 / seconds
        }
    }

    /// JSON with all figures.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }

    /// Tables for a terminal.
    pub fn table(&self) -> String {
        let mut figures = Table::new();
        figures.load_preset(presets::UTF8_BORDERS_ONLY);
        figures.set_header(["figure", "value"]);
        let mut row = |name: &str, value: String| {
            figures.add_row([name.to_owned(), value]);
        };
        row("seed", self.seed.to_string());
        row("duration", format!("{} ms", self.duration_ms));
        row("requests", self.requests.to_string());
        for (outcome, count) in &self.outcomes {
            row(&format!("  {}", label(outcome)), count.to_string());
        }
        row("goodput", format!("{:.1}/s", self.goodput_per_s));
        row("retries", self.retries.to_string());
        row("replayed answers", self.replayed.to_string());
        row("address requests failed", self.address_failures.to_string());
        for (name, latency) in [
            ("latency", self.latency),
            ("latency from first send", self.since_send),
        ] {
            let Latency {
                p50_us,
                p99_us,
                p999_us,
                max_us,
                ..
            } = latency;
            row(
                name,
                format!("p50 {p50_us}, p99 {p99_us}, p99.9 {p999_us}, max {max_us} us"),
            );
        }
        row("non-idempotent requests", self.non_idempotent.to_string());
        row("  ended unknown", self.non_idempotent_unknown.to_string());
        for (reason, count) in &self.failures {
            row(&format!("failed tries: {reason}"), count.to_string());
        }
        format!("{figures}\n{}", self.violation_table())
    }

    fn violation_table(&self) -> Table {
        let mut table = Table::new();
        table.load_preset(presets::UTF8_BORDERS_ONLY);
        table.set_header(["violation", "guarantee", "requests", "first check id"]);
        for (violation, found) in &self.violations {
            let first = found.examples.first().map(|example| example.check.clone());
            table.add_row([
                label(violation),
                violation.guarantee().to_owned(),
                found.count.to_string(),
                first.unwrap_or_default(),
            ]);
        }
        let scope = if self.reconciled {
            "total"
        } else {
            "total (not reconciled with executions)"
        };
        let total = self.violation_count().to_string();
        table.add_row([scope, "", total.as_str(), ""]);
        table
    }
}

/// Name of a value in the JSON report.
pub(crate) fn label<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

fn add(
    violations: &mut BTreeMap<Violation, Violations>,
    violation: Option<Violation>,
    finished: &Finished,
) {
    let Some(violation) = violation else { return };
    let found = violations.entry(violation).or_default();
    found.count += 1;
    if found.examples.len() < EXAMPLES {
        found.examples.push(Example {
            check: finished.planned.check.clone(),
            key: finished.key.clone(),
            service: finished.planned.service.clone(),
            outcome: finished.outcome,
            tries: finished.tries,
        });
    }
}
