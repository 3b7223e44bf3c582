//! Figures collected while a run lasts.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::caller::Finished;
use crate::outcome::Outcome;

/// Longest latency that is told apart.
const LONGEST_US: u64 = 600_000_000;

/// Quantiles of a latency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// Values recorded.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl From<&Histogram<u64>> for Latency {
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

/// Figures of one interval, by the time when requests ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// Beginning, from the start of the run.
    pub at_ms: u64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Latency of answered requests from their intended send time.
    pub latency: Latency,
}

/// Histogram of latencies in microseconds.
#[derive(Debug, Clone)]
pub struct Recording(Histogram<u64>);

impl Default for Recording {
    fn default() -> Self {
        // Three significant digits, the same resolution as the report shows.
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, 3);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl Recording {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros() as u64);
    }

    /// Adds the latencies of another recording.
    pub fn merge(&mut self, other: &Recording) {
        // Both have the same bounds, so that no value is out of range.
        let _ = self.0.add(&other.0);
    }

    /// Quantiles so far.
    pub fn latency(&self) -> Latency {
        Latency::from(&self.0)
    }
}

/// Figures collected so far.
#[derive(Debug)]
pub struct Recorder {
    interval: Duration,
    /// Finished non-idempotent requests, for the reconciliation.
    pub non_idempotent: Vec<Finished>,
    /// Requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Requests by service and outcome.
    pub services: BTreeMap<String, BTreeMap<Outcome, u64>>,
    /// Failed tries by reason.
    pub failures: BTreeMap<String, u64>,
    /// Finished requests with a violation seen by the caller.
    pub wrong: Vec<Finished>,
    /// Tries after the first.
    pub retries: u64,
    /// Answers that were recorded ones of an earlier try.
    pub replayed: u64,
    /// Latency of answered requests from their intended send time.
    pub latency: Recording,
    /// Latency of answered requests from their first send.
    pub since_send: Recording,
    current: Option<(u64, BTreeMap<Outcome, u64>, Recording)>,
    intervals: Vec<Interval>,
}

impl Recorder {
    /// Recorder with intervals of the given length.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            non_idempotent: Vec::new(),
            outcomes: BTreeMap::new(),
            services: BTreeMap::new(),
            failures: BTreeMap::new(),
            wrong: Vec::new(),
            retries: 0,
            replayed: 0,
            latency: Recording::default(),
            since_send: Recording::default(),
            current: None,
            intervals: Vec::new(),
        }
    }

    /// Records a request that ended `at` this time from the start of the run.
    pub fn record(&mut self, at: Duration, mut finished: Finished) {
        // The body is not needed any more and would add up over a run.
        finished.planned.body.clear();
        let outcome = finished.outcome;
        *self.outcomes.entry(outcome).or_default() += 1;
        let service = &finished.planned.service;
        let of_service = self.services.entry(service.clone()).or_default();
        *of_service.entry(outcome).or_default() += 1;
        for failure in &finished.failures {
            *self.failures.entry(failure.clone()).or_default() += 1;
        }
        self.retries += u64::from(finished.tries.saturating_sub(1));
        self.replayed += u64::from(finished.replayed);
        let index = (at.as_micros() / self.interval.as_micros().max(1)) as u64;
        if self
            .current
            .as_ref()
            .is_some_and(|(open, ..)| *open < index)
        {
            self.close_interval();
        }
        let (_, outcomes, latency) = self
            .current
            .get_or_insert_with(|| (index, BTreeMap::new(), Recording::default()));
        *outcomes.entry(outcome).or_default() += 1;
        if outcome == Outcome::Answered {
            latency.record(finished.latency);
            self.latency.record(finished.latency);
            self.since_send.record(finished.since_send);
        }
        if finished.violation.is_some() {
            self.wrong.push(finished.clone());
        }
        if !finished.planned.is_idempotent() {
            self.non_idempotent.push(finished);
        }
    }

    /// Closes the last interval and returns all, with empty ones in between.
    pub fn intervals(&mut self) -> Vec<Interval> {
        self.close_interval();
        std::mem::take(&mut self.intervals)
    }

    fn close_interval(&mut self) {
        let Some((index, outcomes, latency)) = self.current.take() else {
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
