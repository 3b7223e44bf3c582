//! Collection of outcomes and latencies during a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::caller::FinishedRequest;
use crate::outcome::Outcome;

/// Upper bound of the latency histograms (10 minutes); longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Quantiles of a latency distribution, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyQuantiles {
    /// Number of recorded latencies; all quantiles are 0 if it is 0.
    pub count: u64,
    /// Median (50th percentile).
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Longest recorded latency.
    pub max_us: u64,
}

impl From<&Histogram<u64>> for LatencyQuantiles {
    fn from(histogram: &Histogram<u64>) -> Self {
        let quantile = |q| histogram.value_at_quantile(q);
        Self {
            count: histogram.len(),
            p50_us: quantile(0.5),
            p90_us: quantile(0.9),
            p99_us: quantile(0.99),
            p999_us: quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Outcomes and latency of the requests that ended within one interval.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// Start of the interval, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// Number of requests by outcome; empty if none ended in the interval.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Latency of answered requests from their intended send time.
    pub latency: LatencyQuantiles,
}

/// Histogram of latencies from 1 us to 10 minutes.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        // Three significant digits, which is the resolution of the report.
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl LatencyHistogram {
    /// Records a latency; a value above the upper bound is recorded as the bound.
    pub fn record(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros() as u64);
    }

    /// Adds all latencies of another histogram.
    pub fn merge(&mut self, other: &LatencyHistogram) {
        // Both histograms have the same bounds, so no value is out of range.
        let _ = self.0.add(&other.0);
    }

    /// Quantiles of the latencies recorded so far.
    pub fn latency(&self) -> LatencyQuantiles {
        LatencyQuantiles::from(&self.0)
    }
}

/// Outcomes, failures and latencies of the requests that have ended so far.
#[derive(Debug)]
pub struct Recorder {
    interval: Duration,
    /// Finished non-idempotent requests, kept for the reconciliation.
    pub non_idempotent: Vec<FinishedRequest>,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Number of requests by service and outcome.
    pub services: BTreeMap<String, BTreeMap<Outcome, u64>>,
    /// Number of failed attempts by reason.
    pub failures: BTreeMap<String, u64>,
    /// Finished requests whose caller detected a violation.
    pub with_violation: Vec<FinishedRequest>,
    /// Number of attempts after the first one of each request.
    pub retries: u64,
    /// Number of requests answered with the recorded outcome of an earlier attempt.
    pub replayed: u64,
    /// Latency of answered requests from their intended send time.
    pub latency: LatencyHistogram,
    /// Latency of answered requests from their actual send time.
    pub since_send: LatencyHistogram,
    current_interval: Option<(u64, BTreeMap<Outcome, u64>, LatencyHistogram)>,
    intervals: Vec<Interval>,
}

impl Recorder {
    /// Creates an empty recorder that groups requests into intervals of the given length.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            non_idempotent: Vec::new(),
            outcomes: BTreeMap::new(),
            services: BTreeMap::new(),
            failures: BTreeMap::new(),
            with_violation: Vec::new(),
            retries: 0,
            replayed: 0,
            latency: LatencyHistogram::default(),
            since_send: LatencyHistogram::default(),
            current_interval: None,
            intervals: Vec::new(),
        }
    }

    /// Records a request that ended at time `at` from the start of the run.
    pub fn record(&mut self, at: Duration, mut finished: FinishedRequest) {
        // Request bodies are no longer needed and would accumulate in memory over a run.
        finished.planned.body.clear();
        let outcome = finished.outcome;
        *self.outcomes.entry(outcome).or_default() += 1;
        let service = &finished.planned.service;
        let service_outcomes = self.services.entry(service.clone()).or_default();
        *service_outcomes.entry(outcome).or_default() += 1;
        for failure in &finished.failures {
            *self.failures.entry(failure.clone()).or_default() += 1;
        }
        self.retries += u64::from(finished.tries.saturating_sub(1));
        self.replayed += u64::from(finished.replayed);
        let index = (at.as_micros() / self.interval.as_micros().max(1)) as u64;
        if self
            .current_interval
            .as_ref()
            .is_some_and(|(open_index, ..)| *open_index < index)
        {
            self.close_interval();
        }
        let (_, outcomes, latency) = self
            .current_interval
            .get_or_insert_with(|| (index, BTreeMap::new(), LatencyHistogram::default()));
        *outcomes.entry(outcome).or_default() += 1;
        if outcome == Outcome::Answered {
            latency.record(finished.latency);
            self.latency.record(finished.latency);
            self.since_send.record(finished.since_send);
        }
        if finished.violation.is_some() {
            self.with_violation.push(finished.clone());
        }
        if !finished.planned.is_idempotent() {
            self.non_idempotent.push(finished);
        }
    }

    /// Closes the current interval and returns all intervals, including empty ones in between. The
    /// recorder starts again with an empty list.
    pub fn intervals(&mut self) -> Vec<Interval> {
        self.close_interval();
        std::mem::take(&mut self.intervals)
    }

    fn close_interval(&mut self) {
        let Some((index, outcomes, latency)) = self.current_interval.take() else {
            return;
        };
        let length_ms = self.interval.as_millis() as u64;
        while (self.intervals.len() as u64) < index {
            let at_ms = self.intervals.len() as u64 * length_ms;
            self.intervals.push(Interval {
                at_ms,
                ..Interval::default()
            });
        }
        self.intervals.push(Interval {
            at_ms: index * length_ms,
            outcomes,
            latency: latency.latency(),
        });
    }
}
