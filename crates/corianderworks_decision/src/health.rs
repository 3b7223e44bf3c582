//! Evidence on one upstream from real requests, and the verdict on it.
//!
//! The evidence is a cumulative sum of log-likelihood ratios: each failure adds
//! `ln(failing rate / usual rate)` and each good response subtracts its counterpart, never below
//! zero. This detects a change of the failure rate with the least delay for a given rate of
//! false alarms.

use std::time::Duration;

use crate::dispatch_types::{Evidence, Prefer};

/// Failure rate of an unhealthy server that the sum is tuned for.
const FAILING_RATE: f64 = 0.5;
/// Bounds of the usual failure rate, so that a spotless or a bad day cannot distort the weights.
const USUAL_RATE: (f64, f64) = (0.002, 0.1);
/// Weight of one request in the usual rate: a memory of about 2,000 requests.
const USUAL_ALPHA: f64 = 1.0 / 2000.0;
/// Overdue levels of one request: each is twice as late as the one before.
pub const LEVEL_MAX: u8 = 6;
/// Level from which two stuck requests are enough, when no third one can be sent.
const LEVEL_STUCK: u8 = 4;
/// Factor on the reference latency from which a response is slow.
const SLOW_FACTOR: f64 = 4.0;
/// Factor on the upstream's own usual latency, for servers that are always slower.
const SLOW_OWN_FACTOR: f64 = 3.0;
/// Slow responses differ from the reference by at least this: timers and schedulers are coarse.
const SLOW_MIN: Duration = Duration::from_millis(20);
/// Threshold before enough latencies are known.
const SLOW_UNKNOWN: Duration = Duration::from_secs(1);
/// Evidence older than this without a new failure is dropped.
const EVIDENCE_AGE: Duration = Duration::from_secs(60);
/// Share of one failure's weight below which earlier evidence counts as refuted.
const REMAINDER: f64 = 0.5;
/// Upper bound of the sum in thresholds, so that a recovered server is not held for long.
const SCORE_CAP: f64 = 3.0;
/// Time after which an earlier ejection no longer counts against an upstream.
const OFFENSE_MEMORY: Duration = Duration::from_secs(600);
/// Time for which a second silent connection is evidence against the server.
const RETIRE_MEMORY: Duration = Duration::from_secs(30);
/// Time for which an upstream counts as affected after its evidence was dropped.
const ELEVATED_MEMORY: Duration = Duration::from_secs(2);
/// Share of the threshold from which an upstream counts as affected.
pub const ELEVATED: f64 = 0.25;

/// Weights of the evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// Sum at which an upstream is unhealthy.
    pub threshold: f64,
    /// Failed requests that a verdict needs.
    pub failures: u32,
    /// Time that errors must last, so that a short hiccup is no verdict.
    pub error_span: Duration,
    /// Time that slowness or stalls must last.
    pub slow_span: Duration,
    /// First penalty.
    pub penalty: Duration,
    /// Largest penalty.
    pub penalty_max: Duration,
    /// Trial requests that a first reinstatement needs.
    pub trials: u32,
}

impl Weights {
    /// Weights for a preference.
    pub fn of(prefer: Prefer) -> Self {
        match prefer {
            Prefer::Detection => Self {
                threshold: 21.5,
                failures: 4,
                error_span: Duration::from_millis(200),
                slow_span: Duration::from_millis(400),
                penalty: Duration::from_secs(5),
                penalty_max: Duration::from_secs(300),
                trials: 5,
            },
            Prefer::Stability => Self {
                threshold: 28.0,
                failures: 5,
                error_span: Duration::from_millis(400),
                slow_span: Duration::from_millis(800),
                penalty: Duration::from_secs(5),
                penalty_max: Duration::from_secs(120),
                trials: 3,
            },
        }
    }

    /// Penalty of the ejection with this number, counted from 1.
    pub fn penalty_of(&self, offense: u32) -> Duration {
        let doublings = offense.saturating_sub(1).min(16);
        (self.penalty * (1 << doublings)).min(self.penalty_max)
    }

    /// Trial requests needed after this many ejections.
    pub fn trials_of(&self, offenses: u32) -> u32 {
        self.trials + offenses.saturating_sub(1).min(5) * 2
    }
}

/// How often requests of the service fail when nothing is wrong.
#[derive(Debug, Clone, Copy)]
pub struct UsualRate(f64);

impl Default for UsualRate {
    fn default() -> Self {
        Self(USUAL_RATE.0)
    }
}

impl UsualRate {
    /// Records one request.
    pub fn record(&mut self, failed: bool) {
        self.0 += USUAL_ALPHA * (f64::from(u8::from(failed)) - self.0);
    }

    fn rate(self) -> f64 {
        self.0.clamp(USUAL_RATE.0, USUAL_RATE.1)
    }

    /// Weight of a failure.
    pub fn failure_weight(self) -> f64 {
        (FAILING_RATE / self.rate()).ln()
    }

    /// Weight that a good response removes.
    pub fn success_weight(self) -> f64 {
        ((1.0 - self.rate()) / (1.0 - FAILING_RATE)).ln()
    }
}

/// Evidence of one owner on one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamHealth {
    score: f64,
    held_back: f64,
    errors: f64,
    stalls: f64,
    slow: f64,
    truncated: f64,
    failures: u32,
    stuck: u32,
    streak: u32,
    first_failure: Option<Duration>,
    last_failure: Duration,
    last_success: Option<Duration>,
    last_slow: Option<Duration>,
    last_elevated: Option<Duration>,
    usual_latency: Option<f64>,
    retired_until: Option<Duration>,
    offenses: u32,
    last_offense: Duration,
}

impl UpstreamHealth {
    /// Latency from which a response of this upstream is slow; `reference` is the service's median.
    pub fn slow_from(&self, reference: Option<Duration>) -> Duration {
        let Some(reference) = reference else {
            return SLOW_UNKNOWN;
        };
        let own = Duration::from_secs_f64(self.usual_latency.unwrap_or(0.0));
        let slow = reference
            .mul_f64(SLOW_FACTOR)
            .max(own.mul_f64(SLOW_OWN_FACTOR));
        slow.max(reference + SLOW_MIN)
    }

    /// Overdue level of a request: 0 is in time, 1 is slow, and each next one is twice as late.
    pub fn level(latency: Duration, slow_from: Duration) -> u8 {
        let mut limit = slow_from;
        let mut level = 0;
        while level < LEVEL_MAX && latency >= limit {
            level += 1;
            limit *= 2;
        }
        level
    }

    /// Records a complete response in time.
    ///
    /// One that is nearly slow is weaker evidence, and none that the upstream works elsewhere.
    pub fn success(&mut self, now: Duration, latency: Duration, slow_from: Duration, weight: f64) {
        let sample = latency.as_secs_f64();
        let usual = self.usual_latency.get_or_insert(sample);
        *usual += (sample - *usual) / 500.0;
        if latency * 2 > slow_from {
            self.last_slow = Some(now);
            self.score = (self.score - weight / 2.0).max(0.0);
            return;
        }
        self.last_success = Some(now);
        self.streak += 1;
        self.held_back = 0.0;
        self.score -= weight;
        if self.score <= 0.0 {
            self.clear();
        }
    }

    /// Records a failure; `first` is false for a further sign on the same request.
    pub fn failure(&mut self, now: Duration, kind: Evidence, weight: f64, first: bool) {
        self.mark(now, weight, first);
        self.score += weight;
        if matches!(kind, Evidence::Slowness | Evidence::Stalls) {
            self.last_slow = Some(now);
        }
        let part = match kind {
            Evidence::Errors | Evidence::Announced => &mut self.errors,
            Evidence::Stalls => &mut self.stalls,
            Evidence::Slowness => &mut self.slow,
            Evidence::Truncation => &mut self.truncated,
        };
        *part += weight;
    }

    /// Records silence on a connection that may alone be at fault.
    ///
    /// Only one sign of it counts; the rest counts once the other owner sees failure as well.
    pub fn silence(&mut self, now: Duration, weight: f64, first: bool) {
        if self.held_back == 0.0 {
            self.failure(now, Evidence::Stalls, weight, first);
        } else {
            self.mark(now, weight, first);
        }
        self.held_back += weight;
    }

    fn mark(&mut self, now: Duration, weight: f64, first: bool) {
        // A remainder of old evidence must not date the new failure back.
        let remainder = self.score + self.held_back < weight * REMAINDER;
        if remainder || now.saturating_sub(self.last_failure) > EVIDENCE_AGE {
            self.clear();
        }
        self.first_failure.get_or_insert(now);
        self.last_failure = now;
        self.streak = 0;
        self.failures += u32::from(first);
    }

    /// Records that a request reached the level at which it counts as stuck.
    pub fn reached(&mut self, level: u8) {
        self.stuck += u32::from(level == LEVEL_STUCK);
    }

    /// Drops the evidence.
    pub fn clear(&mut self) {
        self.score = 0.0;
        self.held_back = 0.0;
        (self.errors, self.stalls) = (0.0, 0.0);
        (self.slow, self.truncated) = (0.0, 0.0);
        (self.failures, self.stuck) = (0, 0);
        self.first_failure = None;
    }

    /// Limits the sum, so that recovery is noticed soon, and notes whether it is high.
    ///
    /// One failed request is too common to count: at full load some sibling always has one.
    pub fn settle(&mut self, now: Duration, threshold: f64) {
        self.score = self.score.min(threshold * SCORE_CAP);
        let several = self.failures >= 2 || self.held_back > 0.0;
        if several && self.score >= threshold * ELEVATED {
            self.last_elevated = Some(now);
        }
    }

    /// Starts the evidence anew because the siblings are affected as well.
    pub fn discount(&mut self, now: Duration) {
        self.clear();
        self.last_elevated = Some(now);
    }

    /// True when the upstream shows evidence of failure now or did a moment ago.
    pub fn elevated(&self, now: Duration) -> bool {
        self.last_elevated
            .is_some_and(|at| now.saturating_sub(at) <= ELEVATED_MEMORY)
    }

    /// True when one silent connection could explain that a request sent at `started` is stuck:
    /// no connections were retired recently, or it was sent before that.
    pub fn may_be_connection(&self, now: Duration, started: Duration) -> bool {
        self.retired_until
            .is_none_or(|until| started <= until || now > until + RETIRE_MEMORY)
    }

    /// Records that connections opened until then are retired.
    pub fn retire(&mut self, until: Duration) {
        self.retired_until = Some(until);
    }

    /// True when connections were retired after a request was sent.
    pub fn retired_since(&self, started: Duration) -> bool {
        self.retired_until.is_some_and(|until| until >= started)
    }

    /// Records an ejection; returns its number among recent ones.
    pub fn offense(&mut self, now: Duration) -> u32 {
        self.offenses = self.offenses(now) + 1;
        self.last_offense = now;
        self.offenses
    }

    /// Recent ejections.
    pub fn offenses(&self, now: Duration) -> u32 {
        if now.saturating_sub(self.last_offense) > OFFENSE_MEMORY {
            0
        } else {
            self.offenses
        }
    }

    /// Sum of the evidence.
    pub fn score(&self) -> f64 {
        self.score
    }

    /// Further evidence that one silent connection could explain.
    pub fn held_back(&self) -> f64 {
        (self.held_back - self.stalls).max(0.0)
    }

    /// Failed requests behind the evidence.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Requests that are stuck for long.
    pub fn stuck(&self) -> u32 {
        self.stuck
    }

    /// Good responses since the last failure.
    pub fn streak(&self) -> u32 {
        self.streak
    }

    /// First failure of the current evidence.
    pub fn first_failure(&self) -> Option<Duration> {
        self.first_failure
    }

    /// Last failure, or zero.
    pub fn last_failure(&self) -> Duration {
        self.last_failure
    }

    /// Last complete response in time.
    pub fn last_success(&self) -> Option<Duration> {
        self.last_success
    }

    /// Last response or sign that was not clearly fast.
    pub fn last_slow(&self) -> Option<Duration> {
        self.last_slow
    }

    /// The kind that contributed most.
    pub fn main_evidence(&self) -> Evidence {
        let parts = [
            (self.errors, Evidence::Errors),
            (self.truncated, Evidence::Truncation),
            (self.stalls, Evidence::Stalls),
            (self.slow, Evidence::Slowness),
        ];
        let most = parts.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
        most.map_or(Evidence::Errors, |(_, kind)| kind)
    }
}
