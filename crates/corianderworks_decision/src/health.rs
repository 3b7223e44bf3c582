//! Evidence of failure of one upstream, collected from real requests.
//!
//! The evidence is a cumulative sum of log-likelihood ratios: each failure adds
//! `ln(failing rate / baseline rate)` and each response in time subtracts its counterpart,
//! never below zero. This detects a change of the failure rate with the least delay for a given rate
//! of false alarms.

use std::time::Duration;

use crate::dispatch_types::{Evidence, Prefer};

/// Failure rate of an unhealthy server that the weights assume.
const FAILING_RATE: f64 = 0.5;
/// Bounds of the baseline rate, so that a period without failures or with many of them cannot
/// distort the weights.
const BASELINE_RATE_BOUNDS: (f64, f64) = (0.002, 0.1);
/// Smoothing factor of the baseline rate, which averages over about 2,000 requests.
const BASELINE_SMOOTHING: f64 = 1.0 / 2000.0;
/// Highest overdue level of a request; each level is twice as late as the one before.
pub const MAX_OVERDUE_LEVEL: u8 = 6;
/// Overdue level at which a request counts as stuck. Two stuck requests replace the required
/// number of failures, because it may be impossible to send a third one.
const STUCK_LEVEL: u8 = 4;
/// Multiple of the reference latency from which a response is slow.
const SLOW_FACTOR: f64 = 4.0;
/// Multiple of the upstream's own mean latency from which a response is slow, for servers that
/// are always slower than the reference.
const SLOW_OWN_FACTOR: f64 = 3.0;
/// Minimum excess over the reference latency of a slow response, because timers and schedulers
/// are coarse.
const SLOW_MIN_EXCESS: Duration = Duration::from_millis(20);
/// Weight of a response in the mean of the last few latencies.
const RECENT_LATENCY_WEIGHT: f64 = 0.25;
/// Multiple of the reference latency from which the last few responses count as a slowdown.
const SLOWDOWN_FACTOR: f64 = 2.0;
/// Latency from which a response is slow before enough latencies are known.
const SLOW_DEFAULT: Duration = Duration::from_secs(1);
/// Evidence is dropped at the next failure when the last one was longer ago than this.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(60);
/// Share of one failure's weight below which the remaining evidence counts as refuted.
const NEGLIGIBLE_SHARE: f64 = 0.5;
/// Upper bound of the sum in multiples of the threshold, so that a recovered server is not
/// excluded for long.
const MAX_SCORE_FACTOR: f64 = 3.0;
/// Time after which an ejection no longer lengthens the next one or lowers the threshold.
const EJECTION_EXPIRY: Duration = Duration::from_secs(600);
/// Time after connections were retired in which further silence is evidence against the server.
const RETIREMENT_WINDOW: Duration = Duration::from_secs(30);
/// Time for which an upstream still counts as elevated after its evidence fell or was dropped.
const ELEVATED_HOLD_TIME: Duration = Duration::from_secs(2);
/// Share of the threshold from which the evidence on an upstream counts as elevated.
pub const ELEVATED_SHARE: f64 = 0.25;

/// Thresholds of ejection and reinstatement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EjectionPolicy {
    /// Sum of log-likelihood ratios at which an upstream is unhealthy.
    pub threshold: f64,
    /// Minimum number of failed requests before an upstream is unhealthy.
    pub min_failures: u32,
    /// Minimum time that errors must last, so that a short disturbance ejects no upstream.
    pub min_error_duration: Duration,
    /// Minimum time that slowness or stalls must last.
    pub min_slow_duration: Duration,
    /// Duration of a first ejection; it doubles with each recent one.
    pub base_ejection_time: Duration,
    /// Upper bound of the duration of an ejection.
    pub max_ejection_time: Duration,
    /// Trial requests that must succeed before a first reinstatement.
    pub trials: u32,
}

impl EjectionPolicy {
    /// Returns the thresholds for fast detection or for few false ejections.
    pub fn for_preference(prefer: Prefer) -> Self {
        match prefer {
            Prefer::Detection => Self {
                threshold: 21.5,
                min_failures: 4,
                min_error_duration: Duration::from_millis(200),
                min_slow_duration: Duration::from_millis(400),
                base_ejection_time: Duration::from_secs(5),
                max_ejection_time: Duration::from_secs(300),
                trials: 5,
            },
            Prefer::Stability => Self {
                threshold: 28.0,
                min_failures: 5,
                min_error_duration: Duration::from_millis(400),
                min_slow_duration: Duration::from_millis(800),
                base_ejection_time: Duration::from_secs(5),
                max_ejection_time: Duration::from_secs(120),
                trials: 3,
            },
        }
    }

    /// Duration of the ejection with this number among recent ones, counted from 1.
    pub fn ejection_time(&self, ejection: u32) -> Duration {
        let doublings = ejection.saturating_sub(1).min(16);
        (self.base_ejection_time * (1 << doublings)).min(self.max_ejection_time)
    }

    /// Trial requests that must succeed after this many recent ejections.
    pub fn required_trials(&self, recent_ejections: u32) -> u32 {
        self.trials + recent_ejections.saturating_sub(1).min(5) * 2
    }
}

/// Moving average of the share of a service's requests that fail or are slow without a fault.
#[derive(Debug, Clone, Copy)]
pub struct BaselineRate(f64);

impl Default for BaselineRate {
    fn default() -> Self {
        Self(BASELINE_RATE_BOUNDS.0)
    }
}

impl BaselineRate {
    /// Updates the average with one request.
    pub fn record(&mut self, failed: bool) {
        self.0 += BASELINE_SMOOTHING * (f64::from(u8::from(failed)) - self.0);
    }

    fn rate(self) -> f64 {
        self.0.clamp(BASELINE_RATE_BOUNDS.0, BASELINE_RATE_BOUNDS.1)
    }

    /// Log-likelihood ratio that a failure adds to the evidence.
    pub fn failure_weight(self) -> f64 {
        (FAILING_RATE / self.rate()).ln()
    }

    /// Log-likelihood ratio that a response in time subtracts from the evidence.
    pub fn success_weight(self) -> f64 {
        ((1.0 - self.rate()) / (1.0 - FAILING_RATE)).ln()
    }
}

/// One owner's evidence of failure of one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamHealth {
    score: f64,
    held_back: f64,
    errors: f64,
    stalls: f64,
    slow: f64,
    truncation: f64,
    failures: u32,
    stuck: u32,
    consecutive_successes: u32,
    first_failure: Option<Duration>,
    /// Time of the second failed request of the current evidence.
    second_failure: Option<Duration>,
    last_failure: Duration,
    last_success: Option<Duration>,
    last_slow: Option<Duration>,
    last_elevated: Option<Duration>,
    mean_latency: Option<f64>,
    /// Mean of the last few latencies in seconds.
    recent_latency: Option<f64>,
    retired_until: Option<Duration>,
    recent_ejections: u32,
    last_ejection: Duration,
}

impl UpstreamHealth {
    /// Latency from which a response of this upstream is slow; `reference` is the service's
    /// median.
    pub fn slow_threshold(&self, reference: Option<Duration>) -> Duration {
        let Some(reference) = reference else {
            return SLOW_DEFAULT;
        };
        let own = Duration::from_secs_f64(self.mean_latency.unwrap_or(0.0));
        let slow = reference
            .mul_f64(SLOW_FACTOR)
            .max(own.mul_f64(SLOW_OWN_FACTOR));
        slow.max(reference + SLOW_MIN_EXCESS)
    }

    /// Returns how late a request is: 0 is in time, 1 is slow, and each next level is twice as
    /// late.
    pub fn level(latency: Duration, slow_threshold: Duration) -> u8 {
        let mut limit = slow_threshold;
        let mut level = 0;
        while level < MAX_OVERDUE_LEVEL && latency >= limit {
            level += 1;
            limit *= 2;
        }
        level
    }

    /// Records the latency of a complete response, in time or not.
    pub fn record_latency(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        let mean = self.recent_latency.get_or_insert(sample);
        *mean += (sample - *mean) * RECENT_LATENCY_WEIGHT;
    }

    /// True when the last few responses were much slower than `reference`, the service's median.
    pub fn is_slowed(&self, reference: Option<Duration>) -> bool {
        let (Some(recent), Some(reference)) = (self.recent_latency, reference) else {
            return false;
        };
        recent >= reference.as_secs_f64() * SLOWDOWN_FACTOR
    }

    /// Records a complete response in time.
    ///
    /// A response that took more than half of `slow_threshold` subtracts only half the weight, and
    /// does not count as a success that contradicts the other owner's evidence.
    pub fn success(
        &mut self,
        now: Duration,
        latency: Duration,
        slow_threshold: Duration,
        weight: f64,
    ) {
        let sample = latency.as_secs_f64();
        let mean = self.mean_latency.get_or_insert(sample);
        *mean += (sample - *mean) / 500.0;
        if latency * 2 > slow_threshold {
            self.last_slow = Some(now);
            self.score = (self.score - weight / 2.0).max(0.0);
            return;
        }
        self.last_success = Some(now);
        self.consecutive_successes += 1;
        self.held_back = 0.0;
        self.score -= weight;
        if self.score <= 0.0 {
            self.clear();
        }
    }

    /// Adds a failure to the evidence; `first` is false for further evidence from the same
    /// request.
    pub fn failure(&mut self, now: Duration, kind: Evidence, weight: f64, first: bool) {
        self.count_failure(now, weight, first);
        self.score += weight;
        if matches!(kind, Evidence::Slowness | Evidence::Stalls) {
            self.last_slow = Some(now);
        }
        let sum = match kind {
            Evidence::Errors | Evidence::Announced => &mut self.errors,
            Evidence::Stalls => &mut self.stalls,
            Evidence::Slowness => &mut self.slow,
            Evidence::Truncation => &mut self.truncation,
        };
        *sum += weight;
    }

    /// Records silence that a fault of one connection could explain.
    ///
    /// Only the first such silence counts at once; the rest counts when the other owner sees
    /// failures as well.
    pub fn silence(&mut self, now: Duration, weight: f64, first: bool) {
        if self.held_back == 0.0 {
            self.failure(now, Evidence::Stalls, weight, first);
        } else {
            self.count_failure(now, weight, first);
        }
        self.held_back += weight;
    }

    fn count_failure(&mut self, now: Duration, weight: f64, first: bool) {
        // A remainder of old evidence must not make the new failure appear to have begun earlier.
        let negligible = self.score + self.held_back < weight * NEGLIGIBLE_SHARE;
        if negligible || now.saturating_sub(self.last_failure) > MAX_EVIDENCE_AGE {
            self.clear();
        }
        self.first_failure.get_or_insert(now);
        self.last_failure = now;
        self.consecutive_successes = 0;
        self.failures += u32::from(first);
        if self.failures >= 2 {
            self.second_failure.get_or_insert(now);
        }
    }

    /// Records that a request reached an overdue level, and counts it when that makes it stuck.
    pub fn record_level(&mut self, level: u8) {
        self.stuck += u32::from(level == STUCK_LEVEL);
    }

    /// Drops the evidence; latencies and earlier ejections are kept.
    pub fn clear(&mut self) {
        self.score = 0.0;
        self.held_back = 0.0;
        (self.errors, self.stalls) = (0.0, 0.0);
        (self.slow, self.truncation) = (0.0, 0.0);
        (self.failures, self.stuck) = (0, 0);
        (self.first_failure, self.second_failure) = (None, None);
    }

    /// Caps the sum, so that recovery is detected soon, and records when the evidence is elevated.
    ///
    /// A single failed request does not count as elevated: at full load some sibling always has
    /// one.
    pub fn cap_score(&mut self, now: Duration, threshold: f64) {
        self.score = self.score.min(threshold * MAX_SCORE_FACTOR);
        let multiple = self.failures >= 2 || self.held_back > 0.0;
        if multiple && self.score >= threshold * ELEVATED_SHARE {
            self.last_elevated = Some(now);
        }
    }

    /// Drops the evidence because the siblings are affected as well; the upstream still counts as
    /// elevated.
    pub fn discard_shared_evidence(&mut self, now: Duration) {
        self.clear();
        self.last_elevated = Some(now);
    }

    /// True when the evidence is elevated (see [`ELEVATED_SHARE`]) or was shortly before `now`.
    pub fn elevated(&self, now: Duration) -> bool {
        self.last_elevated
            .is_some_and(|at| now.saturating_sub(at) <= ELEVATED_HOLD_TIME)
    }

    /// True when one silent connection could explain that a request sent at `started` is stuck:
    /// no connections were retired recently, or the request was sent before they were.
    pub fn may_be_connection_fault(&self, now: Duration, started: Duration) -> bool {
        self.retired_until
            .is_none_or(|until| started <= until || now > until + RETIREMENT_WINDOW)
    }

    /// Records that connections opened at or before `until` are retired.
    pub fn retire(&mut self, until: Duration) {
        self.retired_until = Some(until);
    }

    /// True when connections were retired after a request was sent at `started`.
    pub fn connections_retired_since(&self, started: Duration) -> bool {
        self.retired_until.is_some_and(|until| until >= started)
    }

    /// Records an ejection and returns its number among recent ones, counted from 1.
    pub fn ejection(&mut self, now: Duration) -> u32 {
        self.recent_ejections = self.recent_ejections(now) + 1;
        self.last_ejection = now;
        self.recent_ejections
    }

    /// Number of ejections of which none came later than `EJECTION_EXPIRY` after the one
    /// before; 0 when the last one is older than that.
    pub fn recent_ejections(&self, now: Duration) -> u32 {
        if now.saturating_sub(self.last_ejection) > EJECTION_EXPIRY {
            0
        } else {
            self.recent_ejections
        }
    }

    /// Sum of log-likelihood ratios, at most a few thresholds and never below zero.
    pub fn score(&self) -> f64 {
        self.score
    }

    /// Evidence not in the score because one silent connection could explain it.
    pub fn held_back(&self) -> f64 {
        (self.held_back - self.stalls).max(0.0)
    }

    /// Failed requests since the evidence was last dropped.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Requests that became stuck since the evidence was last dropped.
    pub fn stuck(&self) -> u32 {
        self.stuck
    }

    /// Complete responses within half of [`slow_threshold`](Self::slow_threshold) since the last
    /// failure.
    pub fn consecutive_successes(&self) -> u32 {
        self.consecutive_successes
    }

    /// Time of the first failure of the current evidence; `None` without evidence.
    pub fn first_failure(&self) -> Option<Duration> {
        self.first_failure
    }

    /// Time since which the upstream seems to fail continually; `None` without evidence. A single
    /// failed request before the others may have nothing to do with them and doesn't count.
    pub fn failing_since(&self) -> Option<Duration> {
        self.second_failure.or(self.first_failure)
    }

    /// Time of the last failure; zero when there was none.
    pub fn last_failure(&self) -> Duration {
        self.last_failure
    }

    /// Time of the last complete response within half of [`slow_threshold`](Self::slow_threshold).
    pub fn last_success(&self) -> Option<Duration> {
        self.last_success
    }

    /// Time of the last response that took more than half of
    /// [`slow_threshold`](Self::slow_threshold), or of the last stall.
    pub fn last_slow(&self) -> Option<Duration> {
        self.last_slow
    }

    /// The kind of failure that contributed most to the evidence.
    pub fn main_evidence(&self) -> Evidence {
        let sums = [
            (self.errors, Evidence::Errors),
            (self.truncation, Evidence::Truncation),
            (self.stalls, Evidence::Stalls),
            (self.slow, Evidence::Slowness),
        ];
        let largest = sums.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
        largest.map_or(Evidence::Errors, |(_, kind)| kind)
    }
}
