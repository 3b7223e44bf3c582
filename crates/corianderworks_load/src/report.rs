//! Report of a run as JSON and as tables.

use std::collections::BTreeMap;
use std::time::Duration;

use comfy_table::{Table, presets};
use corianderworks_standin::backend::Executions;
use serde::{Deserialize, Serialize};

use crate::caller::FinishedRequest;
use crate::check::Violation;
use crate::outcome::Outcome;
use crate::reconcile::reconcile;
use crate::recorder::{Interval, LatencyQuantiles, Recorder};
use crate::settings::LoadSettings;

/// Maximum number of examples kept for each kind of violation.
const MAX_EXAMPLES: usize = 10;

/// Request that violated a guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationExample {
    /// Check id of the request, under which backend servers count non-idempotent executions.
    pub check: String,
    /// Idempotency key; `None` if the request was sent without one.
    pub key: Option<String>,
    /// Service that the request was sent to.
    pub service: String,
    /// Outcome as the caller saw it.
    pub outcome: Outcome,
    /// Number of attempts made.
    pub tries: u32,
}

/// Number and examples of the violations of one kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationSummary {
    /// Number of requests with this violation.
    pub count: u64,
    /// The first 10 of these requests.
    pub examples: Vec<ViolationExample>,
}

/// Results of a run, with times from the callers' point of view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the request mix.
    pub seed: u64,
    /// Sum of the durations of all phases.
    pub duration_ms: u64,
    /// Number of requests that ended, with any outcome.
    pub requests: u64,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Number of requests by service and outcome.
    pub services: BTreeMap<String, BTreeMap<Outcome, u64>>,
    /// Answered requests per second of `duration_ms`.
    pub goodput_per_s: f64,
    /// Number of attempts after the first one of each request.
    pub retries: u64,
    /// Number of requests answered with the recorded outcome of an earlier attempt.
    pub replayed: u64,
    /// Number of failed attempts by reason.
    pub failures: BTreeMap<String, u64>,
    /// Number of address requests that failed.
    pub address_failures: u64,
    /// Latency of answered requests from their intended send time.
    pub latency: LatencyQuantiles,
    /// Latency of answered requests from their actual send time.
    pub since_send: LatencyQuantiles,
    /// Number of non-idempotent requests.
    pub non_idempotent: u64,
    /// Number of non-idempotent requests with the outcome `unknown`.
    pub non_idempotent_unknown: u64,
    /// Whether non-idempotent requests were reconciled with the executions.
    pub reconciled: bool,
    /// Violations by kind; empty if none was detected.
    pub violations: BTreeMap<Violation, ViolationSummary>,
    /// Outcomes and latency over time.
    pub intervals: Vec<Interval>,
}

impl LoadReport {
    /// Creates the report of the recorded requests and takes the intervals out of the recorder. If
    /// `executions` is `None`, nothing is reconciled.
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
        for finished in &recorder.with_violation {
            add_violation(&mut violations, finished.violation, finished);
        }
        if let Some(executions) = executions {
            for finished in &recorder.non_idempotent {
                add_violation(&mut violations, reconcile(finished, executions), finished);
            }
        }
        let is_unknown = |finished: &&FinishedRequest| finished.outcome == Outcome::Unknown;
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

    /// Number of requests with the given outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Total number of violations of all kinds.
    pub fn violation_count(&self) -> u64 {
        self.violations.values().map(|v| v.count).sum()
    }

    /// Answered requests per second between two times of the run. Only intervals that lie
    /// completely within the range count; 0 if there are none.
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

    /// Serialises the whole report as indented JSON.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }

    /// Formats the results and the violations as two tables for a terminal.
    pub fn table(&self) -> String {
        let mut results = Table::new();
        results.load_preset(presets::UTF8_BORDERS_ONLY);
        results.set_header(["figure", "value"]);
        let mut row = |name: &str, value: String| {
            results.add_row([name.to_owned(), value]);
        };
        row("seed", self.seed.to_string());
        row("duration", format!("{} ms", self.duration_ms));
        row("requests", self.requests.to_string());
        for (outcome, count) in &self.outcomes {
            row(&format!("  {}", json_name(outcome)), count.to_string());
        }
        row("goodput", format!("{:.1}/s", self.goodput_per_s));
        row("retries", self.retries.to_string());
        row("replayed answers", self.replayed.to_string());
        row("address requests failed", self.address_failures.to_string());
        for (name, latency) in [
            ("latency", self.latency),
            ("latency from first send", self.since_send),
        ] {
            let LatencyQuantiles {
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
        format!("{results}\n{}", self.violation_table())
    }

    fn violation_table(&self) -> Table {
        let mut table = Table::new();
        table.load_preset(presets::UTF8_BORDERS_ONLY);
        table.set_header(["violation", "guarantee", "requests", "first check id"]);
        for (violation, summary) in &self.violations {
            let first = summary
                .examples
                .first()
                .map(|example| example.check.clone());
            table.add_row([
                json_name(violation),
                violation.guarantee().to_owned(),
                summary.count.to_string(),
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

/// Name of an enum value in the JSON report; empty if the value is not serialised as a string.
pub(crate) fn json_name<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

fn add_violation(
    violations: &mut BTreeMap<Violation, ViolationSummary>,
    violation: Option<Violation>,
    finished: &FinishedRequest,
) {
    let Some(violation) = violation else { return };
    let summary = violations.entry(violation).or_default();
    summary.count += 1;
    if summary.examples.len() < MAX_EXAMPLES {
        summary.examples.push(ViolationExample {
            check: finished.planned.check.clone(),
            key: finished.key.clone(),
            service: finished.planned.service.clone(),
            outcome: finished.outcome,
            tries: finished.tries,
        });
    }
}
